#include "fleet_state/outlier_consensus.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace gateway::fleet_state {
namespace {

// Reports from further in the future are rejected; this much allows for peers' clocks that are
// ahead.
constexpr std::int64_t kMaxClockLeadMs = 5000;
// Fewer findings than this never count as excessive, because in a small set of hosts one or two
// unhealthy ones already exceed the fraction.
constexpr std::size_t kMinExcessiveCount = 3;
// Multiple of the maximum ejected fraction up to which suspicions are plausible. More of them are
// tolerated than of unhealthy reports, because a single failure can make a host suspect.
constexpr double kSuspicionFractionFactor = 2;
// Tolerance for rounding errors in sums of weighted results.
constexpr double kEpsilon = 1e-9;

// Whether an observer has so many negative findings, more than `max_fraction` of `total`, that a
// fault of the observer is more likely than as many unhealthy hosts.
bool is_excessive(std::size_t count, double max_fraction, std::size_t total) {
  return count >= kMinExcessiveCount &&
         static_cast<double>(count) > max_fraction * static_cast<double>(total);
}

std::int64_t to_ms(std::chrono::nanoseconds duration) {
  return duration / std::chrono::milliseconds(1);
}

// The hash by which all gateways order hosts and observers alike.
std::uint64_t rank_of(const std::string& name) {
  return XXH3_64bits(name.data(), name.size());
}

}  // namespace

// --- Input

void OutlierConsensus::on_hosts(std::vector<std::string> hosts) {
  hosts_ = {hosts.begin(), hosts.end()};
  const auto is_on_unlisted_host = [this](const auto& entry) {
    return !hosts_.contains(entry.first.host);
  };
  std::erase_if(own_results_, [this](const auto& entry) { return !hosts_.contains(entry.first); });
  std::erase_if(reports_, is_on_unlisted_host);
  std::erase_if(transmissions_, is_on_unlisted_host);
  relayed_reports_.remove_hosts_unless(
      [this](const std::string& host) { return hosts_.contains(host); });
}

void OutlierConsensus::on_attempt_result(Time now, const std::string& host, bool success) {
  if (!hosts_.contains(host)) {
    return;
  }
  ResultCounts& counts = own_results_[host][now / std::chrono::seconds(1)];
  ++(success ? counts.successes : counts.failures);
}

bool OutlierConsensus::on_report(Time now, const std::string& sender, const HealthReportKey& key,
                                 const HealthReport& report) {
  if (key.observer == own_.member) {
    return true;  // this gateway's own report, returned by a relay
  }
  if (report.created_at_ms > to_ms(now) + kMaxClockLeadMs ||
      report.status > HealthStatus::unhealthy) {
    ++dropped_reports_;
    return false;
  }
  if (!hosts_.contains(key.host) ||
      report.created_at_ms < to_ms(now) - to_ms(settings_.report_lifetime)) {
    return true;
  }
  if (const auto it = reports_.find(key); it != reports_.end() && !(it->second < report)) {
    return true;
  }
  if (sender == key.observer) {
    accept(key, report);
    return true;
  }
  const RelayedReports::AddResult result = relayed_reports_.add(sender, key, report);
  if (result == RelayedReports::AddResult::dropped) {
    ++dropped_reports_;
    return false;
  }
  if (result == RelayedReports::AddResult::confirmed) {
    accept(key, report);
  }
  return true;
}

void OutlierConsensus::accept(const HealthReportKey& key, const HealthReport& report) {
  if (!merge(reports_, key, report)) {
    return;
  }
  transmissions_.erase(key);
  // A report of a second observer may turn an earlier suspicion on the same host into a shared one,
  // which is to be disseminated as well.
  for (const auto& [other_key, other_report] : reports_) {
    if (other_key.host == key.host && !transmissions_.contains(other_key) &&
        should_disseminate(other_key, other_report)) {
      transmissions_[other_key] = 0;
    }
  }
  relayed_reports_.remove(key);
}

// --- Dissemination

// A few more reports on a host than a quorum needs are enough for every member, so the remaining
// ones are not disseminated. All members choose the same reports, because they order the observers
// by the hash of their names.
bool OutlierConsensus::should_disseminate(const HealthReportKey& key,
                                          const HealthReport& report) const {
  const bool is_suspicion = report.status == HealthStatus::suspect;
  // A suspicion may stem from a single failure, which does not justify a broadcast by the whole
  // fleet: until another observer shares it, only its own observer sends it.
  if (is_suspicion && key.observer != own_.member && !is_shared_suspicion(key)) {
    return false;
  }
  std::size_t preceding = 0;
  for (const auto& [other_key, other_report] : reports_) {
    if (other_key.host == key.host && other_report.status == report.status &&
        rank_of(other_key.observer) < rank_of(key.observer)) {
      ++preceding;
    }
  }
  // Each suspicion may contribute as little as one failure, so as many suspicions are needed as
  // there are failures in a quorum.
  const std::size_t needed =
      is_suspicion ? settings_.quorum * settings_.min_failures : settings_.quorum;
  return preceding < needed + settings_.quorum;
}

bool OutlierConsensus::is_shared_suspicion(const HealthReportKey& key) const {
  return std::any_of(reports_.begin(), reports_.end(), [&key](const auto& entry) {
    return entry.first.host == key.host && entry.first.observer != key.observer &&
           entry.second.status != HealthStatus::healthy;
  });
}

bool OutlierConsensus::is_due(const TransmissionCounts::value_type& sent,
                              unsigned transmissions) const {
  const bool is_own = sent.first.observer == own_.member;
  return sent.second < (is_own ? 2 * transmissions : transmissions);
}

std::vector<std::pair<HealthReportKey, HealthReport>> OutlierConsensus::reports_to_send(
    std::size_t count, unsigned transmissions) const {
  std::vector<TransmissionCounts::const_iterator> due;
  for (auto it = transmissions_.begin(); it != transmissions_.end(); ++it) {
    if (is_due(*it, transmissions)) {
      due.push_back(it);
    }
  }
  std::stable_sort(due.begin(), due.end(), [](auto a, auto b) { return a->second < b->second; });
  if (due.size() > count) {
    due.resize(count);
  }
  std::vector<std::pair<HealthReportKey, HealthReport>> reports;
  reports.reserve(due.size());
  for (const auto& it : due) {
    reports.emplace_back(it->first, reports_.at(it->first));
  }
  return reports;
}

void OutlierConsensus::on_report_sent(const HealthReportKey& key) {
  if (const auto it = transmissions_.find(key); it != transmissions_.end()) {
    ++it->second;
  }
}

bool OutlierConsensus::has_reports_to_send(unsigned transmissions) const {
  return std::any_of(transmissions_.begin(), transmissions_.end(),
                     [&](const auto& sent) { return is_due(sent, transmissions); });
}

// A member accepts a report only after two relays have sent it. With k transmissions by each member
// the report therefore stops spreading while fewer than 2 / k^2 of the members have accepted it.
// The observer's own k transmissions reach k of the n members directly, so k / n > 2 / k^2 must
// hold, which gives k > cbrt(2n).
unsigned OutlierConsensus::transmissions_for(std::size_t members) {
  constexpr double kSafetyMargin = 1.5;
  return static_cast<unsigned>(
      std::ceil(kSafetyMargin * std::cbrt(2.0 * static_cast<double>(members))));
}

// --- Evaluation

void OutlierConsensus::on_tick(Time now, const FleetView& view) {
  drop_expired_reports(now);
  publish(now, evaluate_own_results(now));
  update_ejected(view);
}

void OutlierConsensus::drop_expired_reports(Time now) {
  const std::int64_t oldest_ms = to_ms(now) - to_ms(settings_.report_lifetime);
  std::erase_if(reports_, [&](const auto& entry) {
    if (entry.second.created_at_ms >= oldest_ms) {
      return false;
    }
    transmissions_.erase(entry.first);
    return true;
  });
  relayed_reports_.remove_older_than(oldest_ms);
}

std::set<std::string> OutlierConsensus::hosts_suspected_by_others() const {
  std::set<std::string> hosts;
  for (const auto& [key, report] : reports_) {
    if (key.observer != own_.member && report.status != HealthStatus::healthy) {
      hosts.insert(key.host);
    }
  }
  return hosts;
}

HealthStatus OutlierConsensus::status_of(const ResultCounts& counts) const {
  const std::uint32_t results = counts.successes + counts.failures;
  const double failed_fraction = results > 0 ? static_cast<double>(counts.failures) / results : 0;
  if (counts.failures >= settings_.min_failures &&
      failed_fraction >= settings_.unhealthy_fraction) {
    return HealthStatus::unhealthy;
  }
  if (counts.failures >= 1 && failed_fraction >= settings_.suspect_fraction) {
    return HealthStatus::suspect;
  }
  return HealthStatus::healthy;
}

OutlierConsensus::OwnFindings OutlierConsensus::evaluate_own_results(Time now) {
  const std::int64_t last_second_before_window =
      now / std::chrono::seconds(1) - settings_.window / std::chrono::seconds(1);
  const std::set<std::string> suspected_by_others = hosts_suspected_by_others();
  OwnFindings findings;
  for (auto& [host, seconds] : own_results_) {
    seconds.erase(seconds.begin(), seconds.upper_bound(last_second_before_window));
    ResultCounts counts;
    for (const auto& [second, second_counts] : seconds) {
      counts.successes += second_counts.successes;
      counts.failures += second_counts.failures;
    }
    findings.results += counts.successes + counts.failures;
    findings.failures += counts.failures;
    HealthReport report;
    report.status = status_of(counts);
    report.successes = counts.successes;
    report.failures = counts.failures;
    if (report.status == HealthStatus::unhealthy) {
      ++findings.unhealthy_hosts;
    }
    // A healthy host is reported only if another observer finds it suspect or unhealthy.
    const bool contradicts_others = counts.successes > 0 && suspected_by_others.contains(host);
    if (report.status != HealthStatus::healthy || contradicts_others) {
      findings.reports.emplace(host, report);
    }
  }
  std::erase_if(own_results_, [](const auto& entry) { return entry.second.empty(); });
  return findings;
}

// A gateway that is disconnected from the hosts finds all of them unhealthy although they are not.
// It therefore publishes no report at all if it finds more hosts unhealthy than may be ejected, and
// no suspicion if too many of its attempts failed.
void OutlierConsensus::publish(Time now, const OwnFindings& findings) {
  if (is_excessive(findings.unhealthy_hosts, settings_.max_ejected_fraction, hosts_.size())) {
    return;
  }
  const bool suspicions_are_unreliable =
      is_excessive(findings.failures, kSuspicionFractionFactor * settings_.max_ejected_fraction,
                   findings.results);
  for (const auto& [host, finding] : findings.reports) {
    if (suspicions_are_unreliable && finding.status == HealthStatus::suspect) {
      continue;
    }
    const HealthReportKey key{own_.member, host};
    const auto previous = reports_.find(key);
    const bool is_published = previous != reports_.end();
    if (is_published && previous->second.status == finding.status &&
        to_ms(now) - previous->second.created_at_ms < to_ms(settings_.report_lifetime) / 2) {
      continue;
    }
    HealthReport report = finding;
    report.incarnation_id = own_.id;
    report.sequence = is_published ? previous->second.sequence + 1 : 1;
    report.created_at_ms = to_ms(now);
    accept(key, report);
  }
}

// Observers that find so many hosts unhealthy or suspect that they are likely to be faulty
// themselves. Their reports are not tallied.
std::set<std::string> OutlierConsensus::untrusted_observers() const {
  struct Findings {
    std::size_t unhealthy = 0;
    std::size_t not_healthy = 0;
  };
  std::map<std::string, Findings> by_observer;
  for (const auto& [key, report] : reports_) {
    Findings& findings = by_observer[key.observer];
    findings.unhealthy += report.status == HealthStatus::unhealthy ? 1 : 0;
    findings.not_healthy += report.status != HealthStatus::healthy ? 1 : 0;
  }
  const double max_unhealthy = settings_.max_ejected_fraction;
  std::set<std::string> untrusted;
  for (const auto& [observer, findings] : by_observer) {
    if (is_excessive(findings.unhealthy, max_unhealthy, hosts_.size()) ||
        is_excessive(findings.not_healthy, kSuspicionFractionFactor * max_unhealthy,
                     hosts_.size())) {
      untrusted.insert(observer);
    }
  }
  return untrusted;
}

std::map<std::string, OutlierConsensus::HostTally> OutlierConsensus::tally_reports(
    const FleetView& view) const {
  const std::set<std::string> untrusted = untrusted_observers();
  std::map<std::string, HostTally> tallies;
  for (const auto& [key, report] : reports_) {
    if (!view.alive_members.contains(key.observer) || untrusted.contains(key.observer)) {
      continue;
    }
    HostTally& tally = tallies[key.host];
    const double results = static_cast<double>(report.successes) + report.failures;
    const double weight = std::min(1.0, settings_.min_failures / std::max(results, 1.0));
    if (report.status == HealthStatus::healthy) {
      ++tally.healthy_observers;
      tally.successes += weight * results;  // its failures are too few to count against the host
      continue;
    }
    tally.unhealthy_observers += report.status == HealthStatus::unhealthy ? 1 : 0;
    tally.observers_with_failures += report.failures > 0 ? 1 : 0;
    tally.successes += weight * report.successes;
    tally.failures += weight * report.failures;
  }
  return tallies;
}

bool OutlierConsensus::is_unhealthy(const HostTally& tally) const {
  if (tally.unhealthy_observers >= settings_.quorum &&
      tally.unhealthy_observers > tally.healthy_observers) {
    return true;
  }
  const double sufficient_failures = static_cast<double>(settings_.quorum) * settings_.min_failures;
  return tally.observers_with_failures >= settings_.quorum &&
         tally.failures >= sufficient_failures - kEpsilon &&
         tally.failures > settings_.unhealthy_fraction * (tally.failures + tally.successes);
}

// If more hosts are unhealthy than may be ejected, the order of their names' hashes decides, so
// that gateways with the same reports eject the same hosts. In a network partition each part may
// eject only the fraction of the maximum that its alive members are of all known members, so that
// all parts together stay within the maximum.
void OutlierConsensus::update_ejected(const FleetView& view) {
  const auto known = static_cast<double>(std::max<std::size_t>(view.known_count, 1));
  const double alive_fraction = std::min(static_cast<double>(view.alive_count) / known, 1.0);
  const double max_ejected =
      settings_.max_ejected_fraction * static_cast<double>(hosts_.size()) * alive_fraction;
  max_ejected_ = static_cast<std::size_t>(std::floor(max_ejected + kEpsilon));
  std::vector<std::pair<std::uint64_t, std::string>> unhealthy;
  for (const auto& [host, tally] : tally_reports(view)) {
    if (is_unhealthy(tally)) {
      unhealthy.emplace_back(rank_of(host), host);
    }
  }
  std::sort(unhealthy.begin(), unhealthy.end());
  if (unhealthy.size() > max_ejected_) {
    unhealthy.resize(max_ejected_);
  }
  ejected_.clear();
  for (auto& [rank, host] : unhealthy) {
    ejected_.insert(std::move(host));
  }
}

}  // namespace gateway::fleet_state
