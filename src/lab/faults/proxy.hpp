// A loopback TCP proxy that stands between two parties of a rig (gateway and host, gateway and discovery)
// and applies faults to what passes. It runs on the caller's event loop; every fault set is logged with its
// time, so that a run can be read back beside its seed.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace fennelridge::lab {

struct Fault {
  enum class Kind {
    pass,   // bytes go through as they come
    delay,  // each piece waits `delay` plus up to `jitter` (drawn evenly), in order
    cut,    // connections open are closed, new ones are closed as soon as taken: a partition
    reset,  // connections open are reset (RST) once; new ones pass
  };
  Kind kind = Kind::pass;
  std::chrono::milliseconds delay{0}, jitter{0};
};

std::string textOf(const Fault& fault);  // "pass", "delay 50+20 ms", "cut", "reset"

class FaultProxy {
 public:
  // Listens on a free loopback port and forwards each connection to `target`. `log` is told each fault set,
  // as one line. `seed` draws the jitter.
  FaultProxy(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint target, std::uint64_t seed,
             std::function<void(const std::string&)> log = {});
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;

  boost::asio::ip::tcp::endpoint address() const;
  void set(const Fault& fault);
  const Fault& fault() const;

  struct Counts {
    std::uint64_t accepted = 0, refused = 0, reset = 0, bytes = 0;
  };
  const Counts& counts() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace fennelridge::lab
