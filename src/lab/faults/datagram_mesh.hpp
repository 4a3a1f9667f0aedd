// Forwards the datagrams of a fleet through the laboratory. Every member has a public address at
// the mesh, by which the others know it. Faults apply per pair of members and direction. Runs on
// the caller's event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "lab/faults/fault.hpp"

namespace gateway::lab {

class DatagramMesh {
 public:
  using MemberIndex = std::size_t;  // in order of add()

  // `seed` determines losses, duplicates, corruption and jitter.
  DatagramMesh(boost::asio::io_context& io, std::uint64_t seed);
  // NOLINTNEXTLINE(bugprone-exception-escape): throws only when out of memory
  ~DatagramMesh();
  DatagramMesh(const DatagramMesh&) = delete;

  // Adds a member that sends from and receives at `real`.
  MemberIndex add(const boost::asio::ip::udp::endpoint& real);
  boost::asio::ip::udp::endpoint address(MemberIndex member) const;  // public address at the mesh

  // Applies from now on to datagrams from `from` to `to`. drop_forward drops them; drop_backward,
  // disconnect, reset and the rate have no effect on datagrams.
  void set_fault(MemberIndex from, MemberIndex to, const Fault& fault);

  struct Counts {
    std::uint64_t datagrams = 0, bytes = 0;  // received from this member, whether delivered or not
    std::uint64_t lost = 0, duplicated = 0, corrupted = 0;
  };
  const Counts& counts(MemberIndex from) const;
  std::uint64_t unknown_senders() const;  // datagrams received from an address of no member

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace gateway::lab
