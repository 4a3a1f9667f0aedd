// A loopback TCP proxy between two processes of a rig (gateway and host, or gateway and discovery)
// that applies faults to the links. Runs on the caller's event loop. Every fault set is logged, so
// that a run can be retraced from its log and seed.
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
  // Listens on a free loopback port and forwards each link to `target`. `log` is called with the
  // text form of each fault set. `seed` determines jitter and losses.
  FaultProxy(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& target,
             std::uint64_t seed, std::function<void(const std::string&)> log = {});
  // NOLINTNEXTLINE(bugprone-exception-escape): throws only when out of memory
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;

  boost::asio::ip::tcp::endpoint address() const;
  // Applies from now on, also to open links. Data held back by drop_forward or drop_backward is
  // forwarded once the fault ends.
  void set_fault(const Fault& fault);
  const Fault& fault() const;

  struct Counts {
    // `refused`: closed right after being accepted; `bytes`: read from both sides
    std::uint64_t accepted = 0, refused = 0, reset = 0, bytes = 0;
  };
  const Counts& counts() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace gateway::lab
