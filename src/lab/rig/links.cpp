#include "lab/rig/links.hpp"

#include <algorithm>

namespace gateway::lab {

RigLinks::RigLinks(boost::asio::io_context& io, const RigPlan& plan, std::uint32_t gateways,
                   std::uint64_t seed, Place discovery, Place host)
    : io_(io),
      plan_(plan),
      seed_(seed),
      discovery_(std::move(discovery)),
      host_(std::move(host)),
      on_(plan.faults.size(), false),
      discoveries_(gateways),
      groups_(gateways) {
  for (std::size_t f = 0; f < plan.faults.size(); ++f) {
    for (const std::uint32_t g : plan.faults[f].gateways.below(gateways)) {
      if (plan.faults[f].to_hosts()) {
        groups_[g].push_back(f);
      } else if (!plan.faults[f].to_gateways() && !discoveries_[g]) {
        discoveries_[g] = std::make_unique<FaultProxy>(io, discovery_(g), seed ^ (g + 1));
      }
    }
  }
}

RigLinks::Endpoint RigLinks::discovery_of(std::uint32_t gateway) const {
  return discoveries_.at(gateway) ? discoveries_[gateway]->address() : discovery_(gateway);
}

RigLinks::Endpoint RigLinks::host_of(std::uint32_t gateway, std::uint32_t host) {
  const Group& group = groups_.at(gateway);
  if (std::none_of(group.begin(), group.end(),
                   [&](std::size_t f) { return plan_.faults[f].hosts.contains(host); })) {
    return host_(host);
  }
  std::unique_ptr<FaultProxy>& proxy = hosts_[{group, host}];
  if (!proxy) {
    proxy = std::make_unique<FaultProxy>(io_, host_(host), seed_ ^ (0x10000ULL + hosts_.size()));
    proxy->set_fault(at(group, host));
  }
  return proxy->address();
}

void RigLinks::turn(std::size_t fault, bool on) {
  on_.at(fault) = on;
  const RigFault& changed = plan_.faults[fault];
  if (changed.to_hosts()) {
    for (auto& [place, proxy] : hosts_) {
      const auto& [group, host] = place;
      if (changed.hosts.contains(host) &&
          std::find(group.begin(), group.end(), fault) != group.end()) {
        proxy->set_fault(at(group, host));
      }
    }
    return;
  }
  const auto gateways = static_cast<std::uint32_t>(discoveries_.size());
  if (changed.to_gateways()) {
    for (std::uint32_t a = 0; mesh_ && a < gateways; ++a) {
      for (std::uint32_t b = 0; b < gateways; ++b) {
        if (a != b && changed.gateways.contains(a) && changed.others.contains(b)) {
          mesh_->set_fault(a, b, between(a, b));
          mesh_->set_fault(b, a, between(b, a));
        }
      }
    }
    return;
  }
  for (std::uint32_t g = 0; g < gateways; ++g) {
    if (changed.gateways.contains(g)) {
      discoveries_[g]->set_fault(at(g));
    }
  }
}

void RigLinks::mesh_gateways(const std::vector<boost::asio::ip::udp::endpoint>& real) {
  mesh_ = std::make_unique<DatagramMesh>(io_, seed_);
  for (const auto& endpoint : real) {
    mesh_->add(endpoint);
  }
}

// Of what one gateway sends another: a fault named from the other's side meets it on its way back.
Fault RigLinks::between(std::uint32_t from, std::uint32_t to) const {
  Fault sum;
  for (std::size_t f = 0; f < on_.size(); ++f) {
    const RigFault& fault = plan_.faults[f];
    if (!on_[f] || !fault.to_gateways()) {
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

Fault RigLinks::at(std::uint32_t gateway) const {
  Fault sum;
  for (std::size_t f = 0; f < on_.size(); ++f) {
    if (on_[f] && plan_.faults[f].to == "discovery" && plan_.faults[f].gateways.contains(gateway)) {
      sum = combine(sum, plan_.faults[f].fault);
    }
  }
  return sum;
}

Fault RigLinks::at(const Group& group, std::uint32_t host) const {
  Fault sum;
  for (const std::size_t f : group) {
    if (on_[f] && plan_.faults[f].hosts.contains(host)) {
      sum = combine(sum, plan_.faults[f].fault);
    }
  }
  return sum;
}

std::size_t RigLinks::proxies() const {
  return hosts_.size() +
         static_cast<std::size_t>(std::count_if(discoveries_.begin(), discoveries_.end(),
                                                [](const auto& p) { return p != nullptr; }));
}

}  // namespace gateway::lab
