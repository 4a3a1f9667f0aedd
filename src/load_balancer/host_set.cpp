#include "load_balancer/host_set.hpp"

#include <cmath>

namespace load_balancer {
namespace {

// Hosts accept so many connections, and each gateway of a large bank opening one to every
// host shuts the others out. A gateway keeps to this many hosts, and to this many times its part of
// the pool.
constexpr double kMinSubsetSize = 6;
constexpr double kSubsetFairShares = 4;
// more mix the gateways' hosts better, and cover the pool less evenly
constexpr std::uint32_t kRings = 2;
constexpr std::uint64_t kGolden = 0x9e3779b97f4a7c15ULL;  // of the ratio, the part after the point
// requests a second for each host that a busy gateway takes in beyond
constexpr double kMinRatePerHost = 0.5;
constexpr double kOverloadMultiple = 1.5;  // times the median held: too much
constexpr double kWeightExponent =
    0.5;  // power of the excess taken off a host's share at each report
constexpr double kWeightRecovery = 1.1;       // and its way back
constexpr double kMinSelectionWeight = 0.05;  // a trickle, or it would never be known better

}  // namespace

void HostSet::on_endpoint_update(EndpointUpdateKind kind, const std::vector<Endpoint>& entries) {
  if (kind != EndpointUpdateKind::delta) {
    for (Host& host : hosts_) {
      host.endpoint.state = EndpointState::removed;  // what a whole list leaves out is gone
    }
  }
  for (Endpoint endpoint : entries) {
    endpoint.started_at = effective_start(endpoint);
    const auto [id, fresh] = hosts_.find_or_add(endpoint.address);
    Host& host = hosts_[id];
    const bool restarted = fresh || endpoint.started_at != host.endpoint.started_at;
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
    if (restarted) {
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

// Hosts are replaced all day, and each would be kept for good. But its zone binds the
// repeats of the requests that it had, so its id stays with it till they are over.
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
  const double passed = to_seconds(context_.now - host.endpoint.started_at) /
                        to_seconds(context_.settings.warmup_duration);
  return context_.settings.initial_warmup_fraction +
         (1 - context_.settings.initial_warmup_fraction) * passed;
}

// Live weights tell what a host holds of all gateways together, some time ago. A host that
// all pass over at once empties and looks best next time; so each word moves its share by a little.
void HostSet::update_selection_weight(Host& host, double penalty) {
  host.concurrency_penalty = penalty;
  const double over = penalty / (kOverloadMultiple * median_concurrency_penalty_);
  host.selection_weight = std::clamp(
      host.selection_weight * (over > 1 ? std::pow(over, -kWeightExponent) : kWeightRecovery),
      kMinSelectionWeight, 1.0);
}

void HostSet::reset_host(Host& host) {  // a new process: what was learned of the old one is void
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
  // A first request from every one of many gateways at once is a burst; a drawn phase
  // spreads them.
  host.warmup_tokens = context_.draw_unit();
  host.warmup_tokens_at = host.reported_at = context_.now;
}

// The list may not tell yet that a host was restarted while it was out; taken for warm it
// is pushed over. A host that was not restarted is spared for a while for nothing.
Time HostSet::effective_start(const Endpoint& endpoint) const {
  const MaintenanceRecord* was = maintenance_.find(endpoint.address);
  return !was || was->active || endpoint.started_at > was->started_at ? endpoint.started_at
                                                                      : was->ended_at;
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

// Own hosts first: a slice of one of a few rings. Where it begins goes by the golden ratio, so that
// gateways lie evenly over the pool however many there are, and a host that comes or goes moves
// only its neighbours.
void HostSet::rebuild_subset() {
  const std::size_t count = listed_.size();
  const double own = kMinSubsetSize + kSubsetFairShares * static_cast<double>(count) /
                                          context_.settings.gateway_count;
  own_subset_size_ =
      context_.settings.key_affinity
          ? count
          : std::min(count, static_cast<std::size_t>(own));  // keys are kept warm by all
  const std::uint64_t salt = mix_bits(context_.settings.gateway_index % kRings);
  const std::uint64_t part = context_.settings.gateway_index / kRings * kGolden >> 32;
  const auto rank = [&](HostId id) {
    return mix_bits(hosts_[id].hash ^ salt);
  };
  subset_order_ = listed_;
  std::sort(subset_order_.begin(), subset_order_.end(),
            [&](HostId a, HostId b) { return rank(a) < rank(b); });
  std::rotate(subset_order_.begin(),
              subset_order_.begin() + static_cast<std::ptrdiff_t>(part * count >> 32),
              subset_order_.end());
  std::vector<std::uint64_t> hashes;
  for (HostId id : listed_) {
    hashes.push_back(hosts_[id].hash);
  }
  if (context_.settings.key_affinity) {
    maglev_table_.rebuild(std::move(hashes));  // else nobody asks for them
  }
  subset_size_ = std::max(own_subset_size_, std::min(subset_size_, count));
  recount();
}

// A gateway that is given many times the traffic of the others pushes it all at its few
// hosts.
void HostSet::resize_subset(double rate) {
  subset_size_ = std::max(
      own_subset_size_, std::min(listed_.size(), static_cast<std::size_t>(rate / kMinRatePerHost)));
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
  own_warming_hosts_.clear();
  for (std::size_t i = 0; i < subset_size_; ++i) {
    if (is_warming_up(hosts_[subset_order_[i]])) {
      own_warming_hosts_.push_back(subset_order_[i]);
    }
  }
}

}  // namespace load_balancer
