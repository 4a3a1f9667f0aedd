// The links of a rig's gateways to discovery, hosts and each other, with the faults of the rig
// plan. A link that a fault names leads through a proxy; any other link is direct.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "lab/faults/datagram_mesh.hpp"
#include "lab/faults/proxy.hpp"
#include "lab/rig/plan.hpp"

namespace gateway::lab {

class RigLinks {
 public:
  using Endpoint = boost::asio::ip::tcp::endpoint;
  // Own address of a host, or of a gateway's discovery, by index.
  using AddressOf = std::function<Endpoint(std::uint32_t)>;

  // `io` and `plan` must outlive this object.
  RigLinks(boost::asio::io_context& io, const RigPlan& plan, std::uint32_t gateways,
           std::uint64_t seed, AddressOf discovery, AddressOf host);

  Endpoint discovery_of(std::uint32_t gateway) const;
  // Address at which the gateway reaches the host. Gateways that are subject to the same faults
  // share one proxy per host, created by the first call that needs it.
  Endpoint host_of(std::uint32_t gateway, std::uint32_t host);

  // Creates the datagram mesh between the gateways. `real`: the addresses on which the gateways
  // listen, by gateway index.
  void connect_gateways(const std::vector<boost::asio::ip::udp::endpoint>& real);
  // Address by which the other gateways know this one; only after connect_gateways().
  boost::asio::ip::udp::endpoint mesh_address_of(std::uint32_t gateway) const {
    return mesh_->address(gateway);
  }

  // Begin and end a fault, by its index in plan.faults.
  void begin(std::size_t fault) { set_active(fault, true); }
  void end(std::size_t fault) { set_active(fault, false); }
  std::size_t proxies() const;

 private:
  using FaultGroup =
      std::vector<std::size_t>;  // indices of the host faults that apply to a gateway

  void set_active(std::size_t fault, bool active);
  Fault fault_at(std::uint32_t gateway) const;
  Fault fault_between(std::uint32_t from, std::uint32_t to) const;
  Fault fault_at(const FaultGroup& group, std::uint32_t host) const;

  boost::asio::io_context& io_;
  const RigPlan& plan_;
  std::uint64_t seed_;
  AddressOf discovery_address_, host_address_;
  std::vector<bool> active_;                                    // by fault index
  std::vector<std::unique_ptr<FaultProxy>> discovery_proxies_;  // by gateway; null: direct
  std::vector<FaultGroup> fault_groups_;                        // by gateway
  std::map<std::pair<FaultGroup, std::uint32_t>, std::unique_ptr<FaultProxy>> host_proxies_;
  std::unique_ptr<DatagramMesh> mesh_;
};

}  // namespace gateway::lab
