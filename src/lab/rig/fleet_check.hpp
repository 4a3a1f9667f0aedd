// Checks the logs of all gateways of a fleet: the retry budget and each request limit over every
// time window, the number of hosts ejected at once, and which members were regarded as dead and how
// soon. Pure apart from add_file(): events in, figures out.
#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace gateway::lab {

struct FleetBounds {        // bounds set by the operator file
  double retry_ratio = -1;  // retries per request; negative: not checked
  double retry_token_lifetime_s = 10;
  std::map<std::string, double> limits;  // requests per second, by name
  double limit_token_lifetime_s = 3;
  // Two logs may record the same moment up to this long apart; every window is widened by it.
  double slack_s = 0.3;
  double bytes_from_s =
      0;  // bytes are counted from this long after the first byte count of a process
};

class FleetCheck {
 public:
  explicit FleetCheck(FleetBounds bounds) : bounds_(std::move(bounds)) {}

  // Adds one line of the fleet log of the gateway `member`. False: the line is no event, such as an
  // incomplete last line.
  bool add_line(const std::string& member, std::string_view text);
  bool add_file(const std::string& member,
                const std::filesystem::path& path);  // false: the file cannot be read
  // The rig killed or stopped member `name`, in Unix seconds. Suspicions and deaths of that member
  // are expected until it is back.
  void add_kill(const std::string& name, double at) { kills_.push_back({name, at}); }
  // Between `from` and `to` members cannot all reach each other, so suspicions and deaths are
  // expected.
  void add_partition(double from, double to) { partitions_.emplace_back(from, to); }

  void set_end(double at) {
    end_ = at;
  }  // later events belong to the planned end of the fleet and are ignored

  struct Use {
    // Uses beyond the allowed number, in the worst of all windows; negative: all windows had budget
    // left.
    double max_excess = 0;
    double max_used_fraction =
        0;  // used over allowed, in the worst of the windows with at least 20 uses
    std::uint64_t used = 0;
  };
  struct Report {
    Use retries;
    std::map<std::string, Use> limits;
    std::uint64_t requests = 0, refused = 0, retries_without_token = 0, bad_payloads = 0,
                  dropped = 0;
    std::vector<double>
        detect_s;  // per kill and surviving member: time until the member suspected the killed one
    std::uint64_t undetected = 0;  // pairs of kill and survivor without a suspicion
    // events that declare a member dead that was neither killed nor behind a partition
    std::uint64_t false_deaths = 0;
    std::uint64_t false_suspicions = 0;  // the same for suspicions
    double recovery_s =
        -1;  // from the end of the last partition until no member regards a live member as dead
    double bytes_per_member = 0;        // sent per second, mean over the members
    std::size_t max_hosts_ejected = 0;  // at once, ejected by any gateway
    std::set<std::string> hosts_ever_ejected;
    std::size_t logs = 0, lines = 0;
  };
  Report report() const;

 private:
  struct Kill {
    std::string name;
    double at;
  };
  struct UsageEntry {  // counts since the previous line of the same member
    double at;
    double requests, retries;
    std::map<std::string, double> admitted;
  };
  struct MemberEvent {
    double at;
    std::string member, name, to;
  };
  struct EjectionEvent {
    double at;
    std::string member, host;
    bool out;
  };
  struct Traffic {
    double start_at = 0, first_at = 0, last_at = 0, first_bytes = 0, last_bytes = 0;
  };

  // Compares the uses with the granted tokens plus `per_second`, over every window. Both lists:
  // time and count, in order of time.
  Use check_budget(const std::vector<std::pair<double, double>>& used,
                   const std::vector<std::pair<double, double>>& granted, double per_second,
                   double token_lifetime_s) const;
  double death_expected_until(const std::string& name, double at) const;
  bool is_justified(const MemberEvent& event) const;
  void check_members(Report& r) const;

  FleetBounds bounds_;
  double end_ = 1e18;
  std::vector<Kill> kills_;
  std::vector<std::pair<double, double>> partitions_;
  std::vector<UsageEntry> usage_;
  std::vector<MemberEvent> member_events_;
  std::vector<EjectionEvent> ejection_events_;
  std::map<std::string, std::vector<double>> starts_;  // by name
  std::map<std::string, Traffic> traffic_;             // by "NAME/START"
  std::uint64_t refused_ = 0, overdrawn_ = 0, bad_payloads_ = 0, dropped_ = 0;
  std::map<std::string, std::map<std::string, std::uint64_t>>
      gauges_;  // last values, by "NAME/START"
  std::size_t lines_ = 0;
  std::set<std::string> logs_;
};

nlohmann::json to_json(const FleetCheck::Report& report);
// The `fraction` quantile of the values; 0 without values.
double quantile(std::vector<double> values, double fraction);

}  // namespace gateway::lab
