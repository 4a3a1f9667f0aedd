// Proves from the logs of all gateways of a fleet what it kept to: the retry budget and each limit
// over every window of time, hosts out at once, members held for dead, and how soon. Pure: events
// in, figures out.
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

struct FleetBounds {        // what the operator file bounds
  double retry_ratio = -1;  // further attempts a request; negative: not judged
  double retry_token_lifetime_s = 10;
  std::map<std::string, double> limits;  // requests a second, by name
  double limit_token_lifetime_s = 3;
  // Two logs tell of one moment in lines up to so long apart: the bounds are widened by it.
  double slack_s = 0.3;
  double bytes_from_s = 0;  // bytes are counted from so long after a process's first figure of them
};

class FleetCheck {
 public:
  explicit FleetCheck(FleetBounds bounds) : bounds_(std::move(bounds)) {}

  // One line of a gateway's log, as src/fleet writes it; `by` is its name. False: not one (a torn
  // last line).
  bool add_line(const std::string& by, std::string_view text);
  bool add_file(const std::string& by,
                const std::filesystem::path& path);  // false: it can't be read
  // What the rig did, in Unix seconds: these are the deaths that are right.
  void add_kill(const std::string& name, double at) { kills_.push_back({name, at}); }
  // From here on until `to` members that don't hear each other may rightly hold each other for
  // dead.
  void add_partition(double from, double to) { splits_.emplace_back(from, to); }

  void set_end(double at) { end_ = at; }  // what comes later is the fleet's planned end: not judged

  struct Use {
    // uses beyond what the window allowed, the worst of all windows; under 0: to spare
    double max_excess = 0;
    double max_used_fraction =
        0;  // used over allowed, the worst of all windows with 20 uses or more
    std::uint64_t used = 0;
  };
  struct Report {
    Use retries;
    std::map<std::string, Use> limits;
    std::uint64_t requests = 0, refused = 0, retries_without_token = 0, bad_payloads = 0,
                  dropped = 0;
    std::vector<double>
        detect_s;  // for each kill and each that lived on: until it doubted the killed one
    std::uint64_t undetected = 0;  // pairs that never did
    // lines that hold one for dead that was neither killed nor split off
    std::uint64_t false_deaths = 0;
    std::uint64_t false_suspicions = 0;  // the same for suspicions
    double recovery_s = -1;  // after the last split: until no member holds a living one for dead
    double bytes_per_member = 0;        // sent a second, the mean of the members
    std::size_t max_hosts_ejected = 0;  // at once, over all gateways' words
    std::set<std::string> hosts_ever_ejected;
    std::size_t logs = 0, lines = 0;
  };
  Report report() const;

 private:
  struct At {
    std::string name;
    double at;
  };
  struct Used {  // since the line before
    double at;
    double requests, retries;
    std::map<std::string, double> admitted;
  };
  struct Seen {
    double at;
    std::string by, name, to;
  };
  struct Out {
    double at;
    std::string by, host;
    bool out;
  };
  struct Traffic {
    double start_at = 0, first_at = 0, last_at = 0, first_bytes = 0, last_bytes = 0;
  };

  Use judge(const std::vector<std::pair<double, double>>& used,
            const std::vector<std::pair<double, double>>& earned, double per_second,
            double lapse_s) const;
  double death_ends(const std::string& name, double at) const;
  bool rightly(const Seen& seen) const;
  void judge_members(Report& r) const;

  FleetBounds bounds_;
  double end_ = 1e18;
  std::vector<At> kills_;
  std::vector<std::pair<double, double>> splits_;
  std::vector<Used> used_;
  std::vector<Seen> seen_;
  std::vector<Out> out_;
  std::map<std::string, std::vector<double>> starts_;  // by name
  std::map<std::string, Traffic> traffic_;             // by name and start
  std::uint64_t refused_ = 0, overdrawn_ = 0, bad_payloads_ = 0, dropped_ = 0;
  std::map<std::string, std::map<std::string, std::uint64_t>>
      gauges_;  // by name and start: last ones
  std::size_t lines_ = 0;
  std::set<std::string> logs_;
};

nlohmann::json to_json(const FleetCheck::Report& report);
double quantile(std::vector<double> values, double part);  // 0 without values

}  // namespace gateway::lab
