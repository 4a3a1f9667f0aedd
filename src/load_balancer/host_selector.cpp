#include "load_balancer/host_selector.hpp"

namespace load_balancer {
namespace {

// With more requests than hosts each holds several, a limit of one counts none as idle, and
// two blind draws decide: some hosts queue while cores of others stand free. So few is what lies
// under the mean. It could do harm where a host holds little because it fails at once; trust and
// ejection keep that one out.
constexpr double kIdleFractionOfMean = 0.75;
constexpr double kLocalZonePreference =
    2;  // own zone in the draw: yields to a host 1.4 times as fast
constexpr double kLargeFleetZonePreference =
    20;  // and of a trickle, where busyness weighs against it
// of a trickle, so much more for an open connection: it saves a handshake
constexpr double kOpenConnectionPreference = 2;
constexpr std::size_t kAffinityHosts = 3;  // that share the warmth of one key
// With many gateways the hosts of a few popular keys are crowded while others stand idle. A
// key has so many hosts at least, and a popular one so many that it is one of eight parts of what
// each of them gets.
constexpr std::size_t kMinKeyHosts = 8;
constexpr double kKeyHostFactor = 8;

// On a large fleet the idle search is sampled: so many of its own hosts are looked at, more while
// none is idle, all only if none may be used.
constexpr std::size_t kMaxFullScan = 32, kSamplesWhenIdleFound = 10, kMaxSamples = 48,
                      kWarmingSamples = 4;

}  // namespace

bool HostSelector::is_allowed(const ActiveRequest& request,
                              const Host& host) const {  // the rules on placement and repeats
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
    const Endpoint& first = hosts.at(request.attempts[i].host).endpoint;
    if (class_settings.deduplication_scope != DeduplicationScope::global &&
        first.zone != host.endpoint.zone) {
      return false;
    }
    if (class_settings.deduplication_scope == DeduplicationScope::cell &&
        first.cell != host.endpoint.cell) {
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

void HostSelector::try_candidate(const ActiveRequest& request, HostId id, bool relaxed) {
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
  ready_.push_back(id);
  found_idle_ |= idle(host);
}

std::size_t HostSelector::key_host_count(
    const ActiveRequest& request) {  // so many places of its key are looked at; 0: it has none
  if (!context.settings.key_affinity || !request.has_key) {
    return 0;
  }
  if (!hosts.is_large_fleet()) {
    return kAffinityHosts;
  }
  const double part = key_frequency_.record(request.key) * kKeyHostFactor *
                      static_cast<double>(hosts.subset_size());
  return std::max(kMinKeyHosts, static_cast<std::size_t>(part));
}

void HostSelector::collect_candidates(const ActiveRequest& request, bool relaxed) {
  const std::size_t width = hosts.subset_size();
  ++selection_number_, ready_.clear(), found_idle_ = false;
  if (const std::size_t most = relaxed || width == 0 ? 0 : key_host_count(request); most > 0) {
    for (std::size_t i = 0;
         i < kMaxSamples && ready_.size() < std::min(most, kSamplesWhenIdleFound); ++i) {
      try_candidate(request,
                    hosts.host_for_key(mix_bits(
                        request.key +
                        mix_bits(most <= kSamplesWhenIdleFound ? i : context.draw_below(most)))),
                    false);
    }
  }
  if (!found_idle_ && width > kMaxFullScan && !relaxed) {
    const std::vector<HostId>& cold_hosts = hosts.own_warming_hosts();
    for (std::size_t i = 0; i < std::min(cold_hosts.size(), kWarmingSamples); ++i) {
      try_candidate(request, cold_hosts[context.draw_below(cold_hosts.size())], false);
    }
    for (std::size_t i = 0; i < (found_idle_ ? kSamplesWhenIdleFound : kMaxSamples); ++i) {
      try_candidate(request, hosts.subset_order()[context.draw_below(width)], false);
    }
  }
  if (!ready_.empty()) {
    return;
  }
  ++selection_number_;
  for (HostId id : hosts.subset_order()) {
    if (found_idle_ && ready_.size() >= width) {
      break;
    }
    try_candidate(request, id, relaxed);
  }
}

double HostSelector::weight(const Host& host, const ActiveRequest& request) const {
  const double busy = host.utilization < 0
                          ? admission.utilization()
                          : host.utilization;  // one not heard of is like the others
  const double thin = admission.uncertainty();
  const double free = std::clamp(1.05 - busy, 0.05, 1.0);
  const double kept = host.selection_weight * hosts.machine_type_of(host).selection_weight *
                      outlier_detector.late_response_penalty(host) *
                      outlier_detector.class_success_factor(host, request.class_index);
  const double zone = !host.local              ? 1
                      : hosts.is_large_fleet() ? kLargeFleetZonePreference
                                               : kLocalZonePreference;
  const double preference =
      zone * (connections.has_open_connection(host) ? 1 + kOpenConnectionPreference * thin : 1);
  return preference * kept / std::max(host.relative_latency * host.relative_latency, 0.01) *
         (1 - thin + thin * free * free * free);
}

HostId HostSelector::select(const ActiveRequest& request) {
  idle_threshold_ = std::max(kIdleFractionOfMean * hosts.per_listed(hosts.in_flight()), 1.0);
  collect_candidates(request, false);
  if (ready_.empty()) {
    collect_candidates(request, true);  // no healthy host: any that the rules allow beats none
  }
  if (ready_.empty()) {
    return kNone;
  }
  // Among a hundred hosts a thin gateway draws the cold one it could send to once in half a
  // minute; it would stay slow_start. Its budget is small and is spent first.
  for (HostId id : ready_) {
    if (const Host& host = hosts.at(id); request.attempt_count == 0 && hosts.is_warming_up(host) &&
                                         idle(host) &&
                                         context.draw_unit() > admission.confidence()) {
      return id;
    }
  }
  if (context.settings.key_affinity && request.has_key && !hosts.is_large_fleet()) {
    for (HostId id : ready_) {
      if (idle(hosts.at(id)) && context.draw_unit() < hosts.at(id).selection_weight) {
        return id;
      }
    }
  }
  // Beside many gateways every host looks idle. So the draw leans towards hosts that answer
  // fast and say they have cores free, and to the own zone while that has.
  double sum = 0;
  HostId chosen = kNone;
  for (HostId id : ready_) {
    if (!idle(hosts.at(id))) {
      continue;
    }
    const double part = weight(hosts.at(id), request);
    sum += part;
    if (context.draw_unit() * sum < part) {
      chosen = id;
    }
  }
  if (chosen != kNone) {
    return chosen;
  }
  const HostId a = ready_[context.draw_below(ready_.size())];
  const HostId b = ready_[context.draw_below(ready_.size())];
  const Host& first = hosts.at(a);
  const Host& second = hosts.at(b);
  return load(first) * outlier_detector.class_success_factor(second, request.class_index) <=
                 load(second) * outlier_detector.class_success_factor(first, request.class_index)
             ? a
             : b;
}

}  // namespace load_balancer
