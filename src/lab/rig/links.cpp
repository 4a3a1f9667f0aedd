#include "lab/rig/links.hpp"

#include <algorithm>

namespace gateway::lab {

RigLinks::RigLinks(boost::asio::io_context& io, const RigPlan& plan, std::uint32_t gateways,
                   std::uint64_t seed, AddressOf discovery, AddressOf host)
    : io_(io),
      plan_(plan),
      seed_(seed),
      discovery_address_(std::move(discovery)),
      host_address_(std::move(host)),
      active_(plan.faults.size(), false),
      discovery_proxies_(gateways),
      fault_groups_(gateways) {
  for (std::size_t f = 0; f < plan.faults.size(); ++f) {
    for (const std::uint32_t g : plan.faults[f].gateways.below(gateways)) {
      if (plan.faults[f].to_hosts()) {
        fault_groups_[g].push_back(f);
      } else if (!plan.faults[f].to_gateways() && !discovery_proxies_[g]) {
        discovery_proxies_[g] =
            std::make_unique<FaultProxy>(io, discovery_address_(g), seed ^ (g + 1));
      }
    }
  }
}

RigLinks::Endpoint RigLinks::discovery_of(std::uint32_t gateway) const {
  return discovery_proxies_.at(gateway) ? discovery_proxies_[gateway]->address()
                                        : discovery_address_(gateway);
}

RigLinks::Endpoint RigLinks::host_of(std::uint32_t gateway, std::uint32_t host) {
  const FaultGroup& group = fault_groups_.at(gateway);
  if (std::none_of(group.begin(), group.end(),
                   [&](std::size_t f) { return plan_.faults[f].hosts.contains(host); })) {
    return host_address_(host);
  }
  std::unique_ptr<FaultProxy>& proxy = host_proxies_[{group, host}];
  if (!proxy) {
    proxy = std::make_unique<FaultProxy>(io_, host_address_(host),
                                         seed_ ^ (0x10000ULL + host_proxies_.size()));
    proxy->set_fault(fault_at(group, host));
  }
  return proxy->address();
}

void RigLinks::set_active(std::size_t fault, bool active) {
  active_.at(fault) = active;
  const RigFault& changed = plan_.faults[fault];
  if (changed.to_hosts()) {
    for (auto& [key, proxy] : host_proxies_) {
      const auto& [group, host] = key;
      if (changed.hosts.contains(host) &&
          std::find(group.begin(), group.end(), fault) != group.end()) {
        proxy->set_fault(fault_at(group, host));
      }
    }
    return;
  }
  const auto gateways = static_cast<std::uint32_t>(discovery_proxies_.size());
  if (changed.to_gateways()) {
    for (std::uint32_t a = 0; mesh_ && a < gateways; ++a) {
      for (std::uint32_t b = 0; b < gateways; ++b) {
        if (a != b && changed.gateways.contains(a) && changed.others.contains(b)) {
          mesh_->set_fault(a, b, fault_between(a, b));
          mesh_->set_fault(b, a, fault_between(b, a));
        }
      }
    }
    return;
  }
  for (std::uint32_t g = 0; g < gateways; ++g) {
    if (changed.gateways.contains(g)) {
      discovery_proxies_[g]->set_fault(fault_at(g));
    }
  }
}

void RigLinks::connect_gateways(const std::vector<boost::asio::ip::udp::endpoint>& real) {
  mesh_ = std::make_unique<DatagramMesh>(io_, seed_);
  for (const auto& endpoint : real) {
    mesh_->add(endpoint);
  }
}

// The combined fault on datagrams from one gateway to another. For a fault that is listed from the
// other gateway's side, these datagrams travel in its backward direction.
Fault RigLinks::fault_between(std::uint32_t from, std::uint32_t to) const {
  Fault sum;
  for (std::size_t f = 0; f < active_.size(); ++f) {
    const RigFault& fault = plan_.faults[f];
    if (!active_[f] || !fault.to_gateways()) {
      continue;
    }
    if (fault.gateways.contains(from) && fault.others.contains(to)) {
      sum = combine(sum, fault.fault);
    } else if (fault.gateways.contains(to) && fault.others.contains(from)) {
      Fault back = fault.fault;
      std::swap(back.drop_forward, back.drop_backward);
      sum = combine(sum, back);
    }
  }
  return sum;
}

Fault RigLinks::fault_at(std::uint32_t gateway) const {
  Fault sum;
  for (std::size_t f = 0; f < active_.size(); ++f) {
    if (active_[f] && plan_.faults[f].to == "discovery" &&
        plan_.faults[f].gateways.contains(gateway)) {
      sum = combine(sum, plan_.faults[f].fault);
    }
  }
  return sum;
}

Fault RigLinks::fault_at(const FaultGroup& group, std::uint32_t host) const {
  Fault sum;
  for (const std::size_t f : group) {
    if (active_[f] && plan_.faults[f].hosts.contains(host)) {
      sum = combine(sum, plan_.faults[f].fault);
    }
  }
  return sum;
}

std::size_t RigLinks::proxies() const {
  return host_proxies_.size() + static_cast<std::size_t>(std::count_if(
                                    discovery_proxies_.begin(), discovery_proxies_.end(),
                                    [](const auto& p) { return p != nullptr; }));
}

}  // namespace gateway::lab
