#include "load_balancer/host_selector.hpp"

namespace load_balancer {
namespace {

// A host is idle below this fraction of the mean in-flight count per host, or below 1 if that is
// more. With a fixed limit of 1, no host would be idle once there are more requests than hosts, and
// the choice between two random hosts would let requests queue at some hosts while others have free
// cores. A host with few requests because it fails at once would look idle; the class success
// factor and ejection keep requests away from it.
constexpr double kIdleFractionOfMean = 0.75;

// Factors on the selection weight.
// Hosts of the gateway's own zone. A host elsewhere has the same weight if it is 1.4 times as fast.
constexpr double kLocalZonePreference = 2;
// The same with many gateways, where the utilization of the host counts against it.
constexpr double kLargeFleetZonePreference = 20;
// Added to 1 for a host with an open connection, which saves a handshake, times the uncertainty of
// the own traffic: it counts only with few requests.
constexpr double kOpenConnectionPreference = 2;
// Added to 1 for a host with a connection that has kept its quiet period: on another one the
// attempt would wait for the silence.
constexpr double kQuietConnectionPreference = 4;

// Hosts that serve a key, so that few hosts need its cached data.
constexpr std::size_t kAffinityHosts = 3;
// With many gateways the hosts of a few popular keys would be overloaded while others are idle. So
// a key has at least kMinKeyHosts, and a popular key so many that it makes up one part in
// kKeyHostFactor of the mean traffic of each.
constexpr std::size_t kMinKeyHosts = 8;
constexpr double kKeyHostFactor = 8;

// In a large subset the hosts are sampled. All are examined only if no sampled host may be used.
constexpr std::size_t kMaxFullScan = 32;           // hosts of a subset that is not sampled
constexpr std::size_t kSamplesWhenIdleFound = 10;  // samples if one of them is idle
constexpr std::size_t kMaxSamples = 48;            // samples if none is idle
constexpr std::size_t kWarmingSamples = 4;         // samples of the hosts that are warming up

}  // namespace

// Checks the placement rules of the class and, after an attempt that may have run, whether the
// class allows another one at this host and at this time.
bool HostSelector::is_allowed(const ActiveRequest& request, const Host& host) const {
  const ClassSettings& class_settings = context.classes[request.class_index].settings;
  if (!host.placeable_by_class[request.class_index]) {
    return false;
  }
  for (std::uint32_t i = 0; i < request.attempt_count; ++i) {
    if (!request.attempts[i].may_have_run ||
        class_settings.idempotency == Idempotency::idempotent) {
      continue;
    }
    if (class_settings.idempotency == Idempotency::non_idempotent) {
      return false;
    }
    const Endpoint& attempted = hosts.at(request.attempts[i].host).endpoint;
    if (class_settings.deduplication_scope != DeduplicationScope::global &&
        attempted.zone != host.endpoint.zone) {
      return false;
    }
    if (class_settings.deduplication_scope == DeduplicationScope::cell &&
        attempted.cell != host.endpoint.cell) {
      return false;
    }
  }
  return context.now <= latest_start(request);
}

Time HostSelector::latest_start(const ActiveRequest& request) const {
  const ClassSettings& class_settings = context.classes[request.class_index].settings;
  for (std::uint32_t i = 0;
       i < request.attempt_count && class_settings.idempotency == Idempotency::deduplicated; ++i) {
    if (request.attempts[i].may_have_run) {
      return request.attempts[i].sent_at + class_settings.deduplication_window -
             2 * context.settings.event_batch_interval;
    }
  }
  return Time::max();
}

void HostSelector::add_if_eligible(const ActiveRequest& request, HostId id, bool relaxed) {
  Host& host = hosts.at(id);
  if (host.last_selection == selection_number_) {
    return;
  }
  host.last_selection = selection_number_;
  if (!relaxed) {
    if (context.now < host.backoff_until || !connections.may_use(host) || host.unresponsive ||
        host.health == HealthState::ejected ||
        (host.health == HealthState::probation && host.in_flight > 0)) {
      return;
    }
    for (std::uint32_t i = 0; i < request.attempt_count; ++i) {
      if (request.attempts[i].host == id) {
        return;
      }
    }
  }
  if (!is_allowed(request, host) || !slow_start.try_admit(host)) {
    return;
  }
  candidates_.push_back(id);
  found_idle_ |= is_idle(host);
}

std::size_t HostSelector::key_host_count(const ActiveRequest& request) {
  if (!context.settings.key_affinity || !request.has_key) {
    return 0;
  }
  if (!hosts.is_large_fleet()) {
    return kAffinityHosts;
  }
  const double host_count = key_frequency_.record(request.key) * kKeyHostFactor *
                            static_cast<double>(hosts.subset_size());
  return std::max(kMinKeyHosts, static_cast<std::size_t>(host_count));
}

void HostSelector::collect_candidates(const ActiveRequest& request, bool relaxed) {
  const std::size_t subset_size = hosts.subset_size();
  ++selection_number_, candidates_.clear(), found_idle_ = false;
  if (const std::size_t key_hosts = relaxed || subset_size == 0 ? 0 : key_host_count(request);
      key_hosts > 0) {
    for (std::size_t i = 0;
         i < kMaxSamples && candidates_.size() < std::min(key_hosts, kSamplesWhenIdleFound); ++i) {
      add_if_eligible(
          request,
          hosts.host_for_key(mix_bits(request.key + mix_bits(key_hosts <= kSamplesWhenIdleFound
                                                                 ? i
                                                                 : context.draw_below(key_hosts)))),
          false);
    }
  }
  if (!found_idle_ && subset_size > kMaxFullScan && !relaxed) {
    const std::vector<HostId>& warming_hosts = hosts.warming_subset_hosts();
    for (std::size_t i = 0; i < std::min(warming_hosts.size(), kWarmingSamples); ++i) {
      add_if_eligible(request, warming_hosts[context.draw_below(warming_hosts.size())], false);
    }
    for (std::size_t i = 0; i < (found_idle_ ? kSamplesWhenIdleFound : kMaxSamples); ++i) {
      add_if_eligible(request, hosts.subset_order()[context.draw_below(subset_size)], false);
    }
  }
  if (!candidates_.empty()) {
    return;
  }
  ++selection_number_;
  for (HostId id : hosts.subset_order()) {
    if (found_idle_ && candidates_.size() >= subset_size) {
      break;
    }
    add_if_eligible(request, id, relaxed);
  }
}

double HostSelector::weight(const Host& host, const ActiveRequest& request) const {
  // A host without load reports counts as average.
  const double utilization = host.utilization < 0 ? admission.utilization() : host.utilization;
  const double uncertainty = admission.uncertainty();
  const double free_fraction = std::clamp(1.05 - utilization, 0.05, 1.0);
  const double host_factor = host.selection_weight * hosts.machine_type_of(host).selection_weight *
                             outlier_detector.late_response_penalty(host) *
                             outlier_detector.class_success_factor(host, request.class_index);
  const double zone_preference = !host.local              ? 1
                                 : hosts.is_large_fleet() ? kLargeFleetZonePreference
                                                          : kLocalZonePreference;
  return zone_preference * connection_preference(host) * host_factor /
         std::max(host.relative_latency * host.relative_latency, 0.01) *
         (1 - uncertainty + uncertainty * free_fraction * free_fraction * free_fraction);
}

// An idle host of the key. On one without a quiet connection the attempt would wait, so the key's
// other hosts come before it.
HostId HostSelector::select_key_host() {
  if (context.settings.connection_quiet_period > Duration{}) {
    for (HostId id : candidates_) {
      if (is_idle(hosts.at(id)) && connections.has_quiet_connection(hosts.at(id)) &&
          context.draw_unit() < hosts.at(id).selection_weight) {
        return id;
      }
    }
  }
  for (HostId id : candidates_) {
    if (is_idle(hosts.at(id)) && context.draw_unit() < hosts.at(id).selection_weight) {
      return id;
    }
  }
  return kNone;
}

double HostSelector::connection_preference(const Host& host) const {
  double preference = 1;
  if (connections.has_open_connection(host)) {
    preference += kOpenConnectionPreference * admission.uncertainty();
  }
  if (context.settings.connection_quiet_period > Duration{} &&
      connections.has_quiet_connection(host)) {
    preference += kQuietConnectionPreference;
  }
  return preference;
}

// The first attempt of a request prefers an idle host that is warming up, the more often the less
// traffic the gateway has. Among a hundred hosts a gateway with few requests would otherwise draw
// the warming host that its budget allows only once in half a minute, and the host would not warm
// up. Such budgets are small, so they are used first.
//
// With many gateways every host looks idle to each of them. So the random choice among idle hosts
// is weighted towards hosts that respond fast and report free cores, and towards the own zone while
// it has free cores.
HostId HostSelector::select(const ActiveRequest& request) {
  idle_threshold_ = std::max(kIdleFractionOfMean * hosts.per_listed(hosts.in_flight()), 1.0);
  collect_candidates(request, false);
  if (candidates_.empty()) {
    collect_candidates(request, true);  // no healthy host: use any that the rules allow
  }
  if (candidates_.empty()) {
    return kNone;
  }
  for (HostId id : candidates_) {
    if (const Host& host = hosts.at(id); request.attempt_count == 0 && hosts.is_warming_up(host) &&
                                         is_idle(host) &&
                                         context.draw_unit() > admission.confidence()) {
      return id;
    }
  }
  if (context.settings.key_affinity && request.has_key && !hosts.is_large_fleet()) {
    if (const HostId id = select_key_host(); id != kNone) {
      return id;
    }
  }
  double weight_sum = 0;
  HostId chosen = kNone;
  for (HostId id : candidates_) {
    if (!is_idle(hosts.at(id))) {
      continue;
    }
    const double host_weight = weight(hosts.at(id), request);
    weight_sum += host_weight;
    if (context.draw_unit() * weight_sum < host_weight) {
      chosen = id;
    }
  }
  if (chosen != kNone) {
    return chosen;
  }
  const HostId first_id = candidates_[context.draw_below(candidates_.size())];
  const HostId second_id = candidates_[context.draw_below(candidates_.size())];
  const Host& first = hosts.at(first_id);
  const Host& second = hosts.at(second_id);
  return relative_load(first) *
                     outlier_detector.class_success_factor(second, request.class_index) <=
                 relative_load(second) *
                     outlier_detector.class_success_factor(first, request.class_index)
             ? first_id
             : second_id;
}

}  // namespace load_balancer
