#include "fleet_state/relayed_reports.hpp"

#include <algorithm>

namespace gateway::fleet_state {
namespace {

// Relays whose latest report is kept for each key. Reports of further relays are ignored.
constexpr std::size_t kMaxRelays = 8;
// Pending keys for which one relay may be the first to send a report. Bounds the memory that a
// flood of reports from one relay can occupy.
constexpr std::size_t kMaxFirstRelayedKeys = 256;

}  // namespace

RelayedReports::AddResult RelayedReports::add(const std::string& relay, const HealthReportKey& key,
                                              const HealthReport& report) {
  auto it = pending_.find(key);
  if (it == pending_.end()) {
    std::size_t& first_relayed_count = first_relayed_counts_[relay];
    if (first_relayed_count >= kMaxFirstRelayedKeys) {
      return AddResult::dropped;
    }
    ++first_relayed_count;
    it = pending_.emplace(key, PendingReport{relay, {}}).first;
  }
  auto& latest_by_relay = it->second.latest_by_relay;
  if (latest_by_relay.size() >= kMaxRelays && !latest_by_relay.contains(relay)) {
    return AddResult::pending;
  }
  latest_by_relay[relay] = report;
  const bool is_confirmed = std::any_of(
      latest_by_relay.begin(), latest_by_relay.end(),
      [&](const auto& entry) { return entry.first != relay && entry.second == report; });
  return is_confirmed ? AddResult::confirmed : AddResult::pending;
}

template <class Predicate>
void RelayedReports::remove_if(Predicate predicate) {
  std::erase_if(pending_, [&](const auto& entry) {
    if (!predicate(entry.first, entry.second)) {
      return false;
    }
    const auto count = first_relayed_counts_.find(entry.second.first_relay);
    if (count != first_relayed_counts_.end() && --count->second == 0) {
      first_relayed_counts_.erase(count);
    }
    return true;
  });
}

void RelayedReports::remove(const HealthReportKey& key) {
  remove_if(
      [&key](const HealthReportKey& candidate, const PendingReport&) { return candidate == key; });
}

void RelayedReports::remove_hosts_unless(
    const std::function<bool(const std::string& host)>& is_listed) {
  remove_if([&is_listed](const HealthReportKey& key, const PendingReport&) {
    return !is_listed(key.host);
  });
}

void RelayedReports::remove_older_than(std::int64_t oldest_ms) {
  remove_if([oldest_ms](const HealthReportKey&, const PendingReport& pending) {
    return std::all_of(
        pending.latest_by_relay.begin(), pending.latest_by_relay.end(),
        [oldest_ms](const auto& entry) { return entry.second.created_at_ms < oldest_ms; });
  });
}

}  // namespace gateway::fleet_state
