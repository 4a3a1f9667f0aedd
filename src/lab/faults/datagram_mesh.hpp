// The datagrams of a fleet, led through the laboratory: every party has a public address here, by
// which the others know it, and faults hold from one party to another, each way on its own. Runs on
// the caller's loop.
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

  // `seed` draws losses, copies, spoilt bits and jitter.
  DatagramMesh(boost::asio::io_context& io, std::uint64_t seed);
  // NOLINTNEXTLINE(bugprone-exception-escape): throws only when out of memory
  ~DatagramMesh();
  DatagramMesh(const DatagramMesh&) = delete;

  // A party that sends from `real` and is to be reached there.
  MemberIndex add(const boost::asio::ip::udp::endpoint& real);
  boost::asio::ip::udp::endpoint address(MemberIndex party) const;  // its public one

  // From now on, of what `from` sends to `to`. silentThere drops it; cut, reset and rate say
  // nothing here.
  void set_fault(MemberIndex from, MemberIndex to, const Fault& fault);

  struct Counts {
    std::uint64_t datagrams = 0, bytes = 0;  // taken from its sender, whatever becomes of them
    std::uint64_t lost = 0, duplicated = 0, corrupted = 0;
  };
  const Counts& counts(MemberIndex from) const;
  std::uint64_t unknown_senders() const;  // from an address that is no party's

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace gateway::lab
