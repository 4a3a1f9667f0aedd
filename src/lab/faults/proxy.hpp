// A loopback TCP proxy that stands between two parties of a rig (gateway and host, gateway and
// discovery) and applies faults to what passes. It runs on the caller's event loop; every fault set
// is logged, so that a run can be read back beside its seed.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "lab/faults/fault.hpp"

namespace gateway::lab {

class FaultProxy {
 public:
  // Listens on a free loopback port and forwards each link to `target`. `log` is told each fault
  // set, as one line. `seed` draws jitter and losses.
  FaultProxy(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& target,
             std::uint64_t seed, std::function<void(const std::string&)> log = {});
  // NOLINTNEXTLINE(bugprone-exception-escape): throws only when out of memory
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;

  boost::asio::ip::tcp::endpoint address() const;
  // Holds from now on, also for links that are open. What a silence held back passes once it is
  // over.
  void set_fault(const Fault& fault);
  const Fault& fault() const;

  struct Counts {
    std::uint64_t accepted = 0, refused = 0, reset = 0, bytes = 0;
  };
  const Counts& counts() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace gateway::lab
