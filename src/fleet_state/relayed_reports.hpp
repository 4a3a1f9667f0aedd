// Health reports that arrived from gateways (relays) other than their observer. A report is
// accepted only after two relays have sent the same one: a single relay may be faulty, and a
// correct gateway relays only reports that it has accepted itself (certified propagation with one
// fault; Koo, 2004).
//
// Pure: no I/O and no clock. Not thread-safe.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>

#include "fleet_state/health_report.hpp"

namespace gateway::fleet_state {

// The relayed reports that are not accepted yet. Its size is bounded for each relay.
class RelayedReports {
 public:
  enum class AddResult : std::uint8_t {
    pending,    // no second relay has sent the same report so far
    confirmed,  // a second relay has sent the same report; the caller accepts and removes it
    dropped     // too many pending keys were first sent by this relay
  };

  // Records the report as the relay's latest on this key.
  AddResult add(const std::string& relay, const HealthReportKey& key, const HealthReport& report);
  void remove(const HealthReportKey& key);
  // Removes the reports on hosts for which `is_listed` is false.
  void remove_hosts_unless(const std::function<bool(const std::string& host)>& is_listed);
  // Removes the keys whose reports were all created before the given Unix milliseconds.
  void remove_older_than(std::int64_t oldest_ms);

 private:
  struct PendingReport {
    std::string first_relay;
    std::map<std::string, HealthReport> latest_by_relay;
  };
  template <class Predicate>
  void remove_if(Predicate predicate);

  std::map<HealthReportKey, PendingReport> pending_;
  std::map<std::string, std::size_t> first_relayed_counts_;  // number of keys by first relay
};

}  // namespace gateway::fleet_state
