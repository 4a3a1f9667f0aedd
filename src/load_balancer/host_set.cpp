#include "load_balancer/host_set.hpp"

#include <cmath>

namespace load_balancer {
namespace {

// A host accepts a limited number of connections. If each of many gateways opened one to every
// host, some gateways could not connect at all. So a gateway has a subset of kMinSubsetSize hosts
// plus kSubsetFairShares times its fair share of the hosts, which is hosts / gateways.
constexpr double kMinSubsetSize = 6;
constexpr double kSubsetFairShares = 4;
// Orders of the hosts that subsets are taken from. With more of them, gateways that share one host
// share fewer others, but the subsets cover the hosts less evenly.
constexpr std::uint32_t kRings = 2;
// Fractional part of the golden ratio, in units of 2^-64.
constexpr std::uint64_t kGoldenRatioFraction = 0x9e3779b97f4a7c15ULL;
// Requests per second and host. A gateway with more than this on each host of its subset uses
// further hosts.
constexpr double kMinRatePerHost = 0.5;
// Selection weight by the concurrency penalty that dynamic weights show.
constexpr double kOverloadMultiple = 1.5;  // multiple of the median penalty that is an overload
constexpr double kWeightExponent = 0.5;    // per report: the weight is divided by excess^this
constexpr double kWeightRecovery = 1.1;    // per report without overload: factor on the weight
// At a weight of 0 a host would get no requests, and its recovery would not be seen.
constexpr double kMinSelectionWeight = 0.05;

}  // namespace

void HostSet::on_endpoint_update(EndpointUpdateKind kind, const std::vector<Endpoint>& entries) {
  if (kind != EndpointUpdateKind::delta) {
    for (Host& host : hosts_) {
      host.endpoint.state = EndpointState::removed;  // unless the complete list names it
    }
  }
  for (Endpoint endpoint : entries) {
    endpoint.started_at = effective_start(endpoint);
    const auto [id, is_new] = hosts_.find_or_add(endpoint.address);
    Host& host = hosts_[id];
    const bool is_restarted = is_new || endpoint.started_at != host.endpoint.started_at;
    host.endpoint = endpoint;
    host.local = endpoint.zone == context_.settings.zone;
    host.placeable_by_class.clear();
    for (const ClassState& class_state : context_.classes) {
      host.placeable_by_class.push_back(
          is_placement_allowed(class_state.settings.zones, endpoint.zone) &&
          is_placement_allowed(class_state.settings.machine_types, endpoint.machine_type));
    }
    host.machine_type = find_or_add_machine_type(machine_types_, endpoint.machine_type);
    machine_type_of(host).idle_weight =
        std::max(machine_type_of(host).idle_weight, endpoint.weight);
    if (context_.settings.dynamic_weights && kind != EndpointUpdateKind::restored) {
      update_selection_weight(host,
                              machine_type_of(host).idle_weight / std::max(endpoint.weight, 0.001));
    }
    if (is_restarted) {
      reset_host(host);
    }
  }
  rebuild_listed();
  for (HostId id = 0; id < hosts_.size(); ++id) {
    forget_if_unused(id);
  }
}

void HostSet::set_maintenance(const std::string& address, bool in_maintenance) {
  if (!maintenance_.set(context_.now, address, in_maintenance)) {
    return;
  }
  const HostId id = find(address);
  if (id == kNone) {
    return;
  }
  Host& host = hosts_[id];
  context_.emit(CloseIdleConnections{id});
  host.endpoint.started_at = effective_start(host.endpoint);
  host.backoff_until = host.connect_backoff_until = Time{};
  reset_host(host);
  rebuild_listed();
}

void HostSet::sweep() {
  std::vector<double> penalties;
  for (HostId id : listed_) {
    penalties.push_back(hosts_[id].concurrency_penalty);
  }
  median_concurrency_penalty_ = quantile(penalties, 0.5, 1);
  maintenance_.forget_ended_before(context_.now - context_.settings.warmup_duration);
}

// Hosts are replaced all the time, so the table would grow without bound if removed hosts were
// kept. But the zone and cell of a host restrict further attempts of the requests that it received,
// so its id remains assigned until those requests have ended.
void HostSet::forget_if_unused(HostId id) {
  const Host& host = hosts_[id];
  if (host.endpoint.state != EndpointState::removed || host.references > 0 ||
      host.endpoint.address.empty()) {
    return;
  }
  hosts_.forget(id);
  context_.emit(ForgetHost{id});
}

double HostSet::warmup_fraction(const Host& host) const {
  if (!is_warming_up(host)) {
    return 1;
  }
  const double elapsed_fraction = to_seconds(context_.now - host.endpoint.started_at) /
                                  to_seconds(context_.settings.warmup_duration);
  return context_.settings.initial_warmup_fraction +
         (1 - context_.settings.initial_warmup_fraction) * elapsed_fraction;
}

// Dynamic weights show the requests in flight at a host from all gateways, with a delay. If all
// gateways avoided a loaded host at once, it would run empty, look best in the next list and be
// overloaded again. So each update changes the selection weight by a small factor.
void HostSet::update_selection_weight(Host& host, double penalty) {
  host.concurrency_penalty = penalty;
  const double excess = penalty / (kOverloadMultiple * median_concurrency_penalty_);
  host.selection_weight = std::clamp(
      host.selection_weight * (excess > 1 ? std::pow(excess, -kWeightExponent) : kWeightRecovery),
      kMinSelectionWeight, 1.0);
}

// Discards what was learned of the previous process of the host.
void HostSet::reset_host(Host& host) {
  host.health = HealthState::healthy;
  host.ejection_count = 0;
  host.failure_rate = 0;
  host.class_failure_rates.assign(context_.classes.size(), 0);
  host.consecutive_rejections = 0;
  host.unresponsive = false;
  host.desired_connections = host.consecutive_connect_failures = 0;
  host.selection_weight = host.concurrency_penalty = host.late_response_penalty = 1;
  host.utilization = -1;
  host.relative_latency = machine_type_of(host).relative_latency / std::sqrt(warmup_fraction(host));
  // If many gateways sent their first request to a restarted host at once, the burst could overload
  // it. A random number of tokens spreads the requests over time.
  host.warmup_tokens = context_.draw_unit();
  host.warmup_tokens_at = host.reported_at = context_.now;
}

// The endpoint list may not show yet that a host was restarted during its maintenance. If it
// counted as warm, it would be overloaded. So unless the list names a start after that of the
// maintenance, the host counts as started at the end of the maintenance. A host that was not
// restarted then gets less load than it could handle for the warm-up time.
Time HostSet::effective_start(const Endpoint& endpoint) const {
  const MaintenanceRecord* record = maintenance_.find(endpoint.address);
  return !record || record->active || endpoint.started_at > record->started_at ? endpoint.started_at
                                                                               : record->ended_at;
}

void HostSet::rebuild_listed() {
  listed_.clear();
  for (HostId id = 0; id < hosts_.size(); ++id) {
    if (hosts_[id].endpoint.state == EndpointState::active &&
        !maintenance_.is_active(hosts_[id].endpoint.address)) {
      listed_.push_back(id);
    }
  }
  std::sort(listed_.begin(), listed_.end(), [&](HostId a, HostId b) {
    return hosts_[a].endpoint.address < hosts_[b].endpoint.address;
  });
  rebuild_subset();
}

// Orders the listed hosts so that this gateway's subset comes first: consecutive hosts of one of a
// few rings, which are orders by salted hash. The gateways' start positions are multiples of the
// golden ratio, so that any number of gateways covers the hosts evenly, and adding or removing a
// host changes only the subsets around its position.
void HostSet::rebuild_subset() {
  const std::size_t count = listed_.size();
  const double fair_size = kMinSubsetSize + kSubsetFairShares * static_cast<double>(count) /
                                                context_.settings.gateway_count;
  // With key affinity a request may have to go to any host.
  min_subset_size_ =
      context_.settings.key_affinity ? count : std::min(count, static_cast<std::size_t>(fair_size));
  const std::uint64_t salt = mix_bits(context_.settings.gateway_index % kRings);
  // Start of the subset as a fraction of the ring, in units of 2^-32.
  const std::uint64_t start = context_.settings.gateway_index / kRings * kGoldenRatioFraction >> 32;
  const auto rank = [&](HostId id) {
    return mix_bits(hosts_[id].hash ^ salt);
  };
  subset_order_ = listed_;
  std::sort(subset_order_.begin(), subset_order_.end(),
            [&](HostId a, HostId b) { return rank(a) < rank(b); });
  std::rotate(subset_order_.begin(),
              subset_order_.begin() + static_cast<std::ptrdiff_t>(start * count >> 32),
              subset_order_.end());
  std::vector<std::uint64_t> hashes;
  for (HostId id : listed_) {
    hashes.push_back(hosts_[id].hash);
  }
  if (context_.settings.key_affinity) {
    maglev_table_.rebuild(std::move(hashes));  // not used without key affinity
  }
  subset_size_ = std::max(min_subset_size_, std::min(subset_size_, count));
  recount();
}

// A gateway that receives many times the traffic of the others would overload the few hosts of a
// subset of the usual size.
void HostSet::resize_subset(double rate) {
  subset_size_ = std::max(
      min_subset_size_, std::min(listed_.size(), static_cast<std::size_t>(rate / kMinRatePerHost)));
}

void HostSet::recount() {
  in_flight_ = 0;
  for (Host& host : hosts_) {
    host.counted_in_flight = false;
  }
  for (HostId id : listed_) {
    if (Host& host = hosts_[id]; !is_unhealthy(host)) {
      host.counted_in_flight = true, in_flight_ += host.in_flight;
    }
  }
  warming_subset_hosts_.clear();
  for (std::size_t i = 0; i < subset_size_; ++i) {
    if (is_warming_up(hosts_[subset_order_[i]])) {
      warming_subset_hosts_.push_back(subset_order_[i]);
    }
  }
}

}  // namespace load_balancer
