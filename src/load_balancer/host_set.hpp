// The upstream hosts and this gateway's subset of them.
#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "load_balancer/context.hpp"
#include "load_balancer/host_table.hpp"
#include "load_balancer/machine_type.hpp"
#include "load_balancer/maglev_table.hpp"
#include "load_balancer/maintenance_records.hpp"

namespace load_balancer {

// Holds the hosts that endpoint lists have named, decides which of them may be used and which are
// in this gateway's subset, and counts their attempts in flight.
class HostSet {
 public:
  explicit HostSet(Context& context) : context_(context) {}

  // Applies an endpoint list of any kind but `unavailable`.
  void on_endpoint_update(EndpointUpdateKind kind, const std::vector<Endpoint>& entries);
  // See Balancer::set_maintenance.
  void set_maintenance(const std::string& address, bool in_maintenance);
  // To be called every kSweepInterval.
  void sweep();
  // Extends the subset so that a high rate of this gateway is spread. `rate`: requests per second.
  void resize_subset(double rate);
  // Forgets the host if it is removed and no active request refers to it.
  void forget_if_unused(HostId id);

  // One more than the highest id; includes forgotten hosts.
  HostId size() const { return hosts_.size(); }
  Host& at(HostId id) { return hosts_[id]; }
  const Host& at(HostId id) const { return hosts_[id]; }
  // kNone if no list has named the address.
  HostId find(std::string_view address) const { return hosts_.find(address); }
  MachineType& machine_type_of(const Host& host) { return machine_types_[host.machine_type]; }
  const MachineType& machine_type_of(const Host& host) const {
    return machine_types_[host.machine_type];
  }
  std::vector<MachineType>& machine_types() { return machine_types_; }
  // Hosts that are listed as active and not in maintenance, in order of address.
  const std::vector<HostId>& listed() const { return listed_; }
  // The same hosts, this gateway's subset first.
  const std::vector<HostId>& subset_order() const { return subset_order_; }
  // Number of hosts in the subset. The others are used only while no host of the subset is idle.
  std::size_t subset_size() const { return subset_size_; }
  // Hosts of the subset that were warming up at the last call of recount().
  const std::vector<HostId>& warming_subset_hosts() const { return warming_subset_hosts_; }
  // With key affinity: the listed host for a key's hash, the same at all gateways. There must be a
  // listed host.
  HostId host_for_key(std::uint64_t hash) const { return listed_[maglev_table_.lookup(hash)]; }

  void add_in_flight(Host& host, int attempts) {
    host.in_flight += attempts;
    if (host.counted_in_flight) {
      in_flight_ += attempts;
    }
  }
  // Updates in_flight() and warming_subset_hosts(). To be called after the health of a host has
  // changed.
  void recount();
  // Attempts in flight at listed healthy hosts. Those at unhealthy hosts are left out, since a
  // single unhealthy host must not raise the shedding threshold.
  int in_flight() const { return in_flight_; }
  // `sum` divided by the number of listed hosts.
  double per_listed(double sum) const {
    return sum / static_cast<double>(std::max<std::size_t>(listed_.size(), 1));
  }

  // True if the host started less than the warm-up duration ago.
  bool is_warming_up(const Host& host) const {
    return host.endpoint.started_at > Time{} &&
           context_.now - host.endpoint.started_at < context_.settings.warmup_duration;
  }
  // True with many gateways: each of them then has too little of the traffic to rate hosts by its
  // own attempts alone.
  bool is_large_fleet() const { return context_.settings.gateway_count >= kLargeFleetGateways; }
  // Fraction of its full capacity that the host has now, 0 to 1.
  double warmup_fraction(const Host& host) const;

 private:
  void update_selection_weight(Host& host, double penalty);
  void reset_host(Host& host);
  Time effective_start(const Endpoint& endpoint) const;
  void rebuild_listed();
  void rebuild_subset();

  static constexpr std::uint32_t kLargeFleetGateways = 8;  // gateways
  Context& context_;
  HostTable hosts_;
  std::vector<HostId> listed_;
  std::vector<HostId> subset_order_;
  std::vector<HostId> warming_subset_hosts_;
  MaglevTable maglev_table_;
  std::size_t min_subset_size_ = 0;  // without the extension by the request rate
  std::size_t subset_size_ = 0;
  int in_flight_ = 0;
  std::vector<MachineType> machine_types_;
  MaintenanceRecords maintenance_;
  double median_concurrency_penalty_ = 1;
};

}  // namespace load_balancer
