// The same hosts and discovery as in a virtual run, served on loopback sockets by PROTOCOL's forms,
// in real time. Everything runs on the caller's event loop, in one thread.
//
// A request tells its work and key in its target, which gateways pass on:
// /CLASS?w=MICROSECONDS&k=HEX. One without takes the class's mean.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "lab/model/discovery_model.hpp"
#include "lab/model/event_queue.hpp"
#include "lab/model/fleet_topology.hpp"
#include "lab/scenario/scenario.hpp"

namespace gateway::lab {

// Real time on the scale of the models, and what is to be done at which time. Reports how late it
// ran.
class LiveClock {
 public:
  explicit LiveClock(boost::asio::io_context& io);
  Time now() const;
  void at(Time when, std::function<void()> what);
  Duration max_delay() const {
    return max_delay_;
  }  // longest that something was done after its time
  std::uint64_t delayed_count() const {
    return delayed_count_;
  }  // things done more than kTolerance late
  static constexpr Duration kTolerance = std::chrono::milliseconds(20);

 private:
  void arm();
  void run();
  boost::asio::steady_timer timer_;
  std::chrono::steady_clock::time_point begin_;
  EventQueue<std::function<void()>> agenda_;
  Time armed_ = kNever;
  bool running_ = false;
  Duration max_delay_{};
  std::uint64_t delayed_count_ = 0;
};

// What hosts and discovery saw, for a referee. Ids are X-Request-Id read as hexadecimal.
struct LiveEyes {
  virtual ~LiveEyes() = default;
  virtual void connected(Time now, std::uint32_t host) = 0;  // a new connection came up
  virtual void arrived(Time now, std::uint64_t id,
                       std::uint32_t host) = 0;  // whole; taken or turned away
  virtual void reached(Time now, std::uint64_t id, std::uint64_t attempt,
                       std::uint32_t host) = 0;                       // taken
  virtual void not_run(std::uint64_t id, std::uint64_t attempt) = 0;  // the host said so
  virtual void over(Time now, std::uint64_t id) = 0;                  // the host is done with it
  virtual void told(Time now, std::uint32_t gateway, std::uint32_t host,
                    load_balancer::EndpointState phase) = 0;
  virtual void fell(Time now, std::uint32_t host, const Collapse& fall) = 0;
  virtual std::uint32_t gateway_of(
      std::uint64_t id) = 0;  // that its client sent it to; UINT32_MAX: unknown
};

class LiveFleet {
 public:
  // Listens for every host and, for each of the scenario's gateways, at a discovery address of its
  // own.
  LiveFleet(boost::asio::io_context& io, LiveClock& clock, const Scenario& scenario,
            std::uint64_t seed, LiveEyes* eyes);
  ~LiveFleet();

  boost::asio::ip::tcp::endpoint discovery_of(std::uint32_t gateway) const;
  boost::asio::ip::tcp::endpoint endpoint_of(std::uint32_t host) const;
  // Where a gateway is told that a host is; without, where it really is.
  using View =
      std::function<boost::asio::ip::tcp::endpoint(std::uint32_t gateway, std::uint32_t host)>;
  void set_view(View view);
  nlohmann::json endpoint_list(
      std::uint32_t gateway) const;  // whole, in discovery's form, as a gateway is told it
  const FleetTopology& topology() const;
  const FaultSchedule& fault_schedule() const;
  std::string uid_of(std::uint32_t host) const;
  std::size_t hosts() const;
  std::size_t holds(std::uint32_t host) const;
  std::size_t connections(std::uint32_t host) const;
  bool running(std::uint32_t host) const;
  double work_done() const;

  // From now on the scenario's troubles happen. Restarts of gateways are not carried out here:
  // `other` is given each such step.
  void begin_faults(const std::function<void(const FaultStep&)>& other);
  void stop_host(std::uint32_t host);
  void start_host(std::uint32_t host);  // cold
  void close();                         // of all sockets

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace gateway::lab
