// Ejection of outlier hosts by the whole fleet: gateways exchange health reports, and each gateway
// ejects a host while a quorum of independent observers finds it unhealthy, up to a maximum
// fraction of the hosts.
//
// A single faulty gateway cannot eject a host: each observer has one valid report on each host, and
// a report from a gateway other than its observer counts only after two gateways have relayed it
// (see RelayedReports). The reports of an observer that finds too many hosts unhealthy are ignored,
// because the fault is then more likely to be its own.
//
// Pure: no I/O and no clock. Not thread-safe.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fleet_state/health_report.hpp"
#include "fleet_state/relayed_reports.hpp"
#include "fleet_state/token_escrow.hpp"

namespace gateway::fleet_state {

struct OutlierConsensusSettings {
  // The age up to which results of attempts count for this gateway's reports.
  std::chrono::nanoseconds window = std::chrono::seconds(10);
  // The failures within the window from which on an observer may report a host as unhealthy. Also
  // the weight limit: where the results of several observers are added up, those of each observer
  // are scaled down to this number.
  unsigned min_failures = 3;
  // Failed fraction of the results from which on a host is unhealthy.
  double unhealthy_fraction = 0.5;
  // Failed fraction of the results from which on a host is suspect; one failure suffices.
  double suspect_fraction = 0.25;
  // Observers that must find a host unhealthy. If each has too few results for that, quorum *
  // min_failures failures in total, reported by at least `quorum` observers, suffice.
  unsigned quorum = 3;
  double max_ejected_fraction = 0.2;  // of the hosts, over the whole fleet
  // The age up to which a report is valid. Observers renew theirs after half of it.
  std::chrono::nanoseconds report_lifetime = std::chrono::seconds(30);
};

// This member's current view of the fleet from the membership protocol. Both counts include this
// member.
struct FleetView {
  std::size_t alive_count = 1;  // members that are alive or suspect
  std::size_t known_count = 1;  // the same and the dead members that are still remembered
  // This member knows another member, or the fleet may consist of this member alone.
  bool is_bootstrapped = false;
  std::set<std::string, std::less<>> alive_members;  // by name
  std::size_t non_issuing_count = 0;  // of known_count, the members that issue no tokens of limits
  bool issues_limit_tokens = true;    // this member does
};

// This gateway's reports, the accepted reports of others, and the hosts that follow as ejected.
class OutlierConsensus {
 public:
  OutlierConsensus(OutlierConsensusSettings settings, Incarnation own)
      : settings_(settings), own_(std::move(own)) {}

  // Sets the hosts that discovery lists. Results and reports on other hosts are dropped.
  void on_hosts(std::vector<std::string> hosts);
  // Counts the result of an attempt by this gateway; ignored if the host is not listed.
  void on_attempt_result(Time now, const std::string& host, bool success);
  // Handles a report from `sender`, which is its observer or a relay. False if the report is
  // dropped because it is not plausible or too many reports of this relay are pending.
  bool on_report(Time now, const std::string& sender, const HealthReportKey& key,
                 const HealthReport& report);
  // Renews this gateway's reports, drops expired ones and decides which hosts are ejected.
  void on_tick(Time now, const FleetView& view);

  const std::set<std::string>& ejected() const { return ejected_; }
  // The maximum number of ejected hosts as of the last on_tick().
  std::size_t max_ejected() const { return max_ejected_; }
  // This gateway's own reports and the accepted ones of other observers.
  const HealthReports& reports() const { return reports_; }
  // Reports for which on_report() returned false, since the start.
  std::uint64_t dropped_reports() const { return dropped_reports_; }

  // The reports to send next: up to `count` of those that were sent fewer than `transmissions`
  // times, or twice that if they are this gateway's own; the least often sent first.
  std::vector<std::pair<HealthReportKey, HealthReport>> reports_to_send(
      std::size_t count, unsigned transmissions) const;
  // Counts a transmission of a report from reports_to_send().
  void on_report_sent(const HealthReportKey& key);
  // Whether reports_to_send() would return any report.
  bool has_reports_to_send(unsigned transmissions) const;
  // How often each member has to send a report for it to reach a fleet of `members` members.
  static unsigned transmissions_for(std::size_t members);

 private:
  struct ResultCounts {
    std::uint32_t successes = 0;
    std::uint32_t failures = 0;
  };
  using ResultsBySecond = std::map<std::int64_t, ResultCounts>;
  // This gateway's findings on the hosts, from its results within the window.
  struct OwnFindings {
    std::map<std::string, HealthReport> reports;  // to publish, by host
    std::size_t unhealthy_hosts = 0;
    std::size_t results = 0;   // of attempts at all hosts
    std::size_t failures = 0;  // among them
  };
  // The sum of the reports of all trusted observers on one host. The results of each observer are
  // scaled down to at most `min_failures`.
  struct HostTally {
    std::size_t unhealthy_observers = 0;
    std::size_t healthy_observers = 0;
    std::size_t observers_with_failures = 0;
    double successes = 0;
    double failures = 0;
  };
  using TransmissionCounts = std::map<HealthReportKey, unsigned>;

  void accept(const HealthReportKey& key, const HealthReport& report);
  bool should_disseminate(const HealthReportKey& key, const HealthReport& report) const;
  bool is_shared_suspicion(const HealthReportKey& key) const;
  bool is_due(const TransmissionCounts::value_type& sent, unsigned transmissions) const;
  void drop_expired_reports(Time now);
  OwnFindings evaluate_own_results(Time now);
  HealthStatus status_of(const ResultCounts& counts) const;
  std::set<std::string> hosts_suspected_by_others() const;
  void publish(Time now, const OwnFindings& findings);
  std::set<std::string> untrusted_observers() const;
  std::map<std::string, HostTally> tally_reports(const FleetView& view) const;
  bool is_unhealthy(const HostTally& tally) const;
  void update_ejected(const FleetView& view);

  OutlierConsensusSettings settings_;
  Incarnation own_;
  std::set<std::string> hosts_;
  std::map<std::string, ResultsBySecond> own_results_;  // by host
  HealthReports reports_;
  RelayedReports relayed_reports_;
  TransmissionCounts transmissions_;  // of the reports that this member disseminates
  std::set<std::string> ejected_;
  std::size_t max_ejected_ = 0;
  std::uint64_t dropped_reports_ = 0;
};

}  // namespace gateway::fleet_state
