// Serves the hosts and the discovery service of a scenario on loopback sockets in real time, with
// the same models as a simulated run. Everything runs on the caller's event loop, in one thread.
//
// The target of a request names its work and key, and gateways forward it unchanged:
// /CLASS?w=MICROSECONDS&k=HEX. A request without `w` costs the mean work of its class.
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

// Maps real time to the time of the models and runs tasks at given times. Records by how much tasks
// were delayed, so that a run on an overloaded machine can be declared void.
class LiveClock {
 public:
  explicit LiveClock(boost::asio::io_context& io);
  Time now() const;
  // Runs `task` on the event loop at `when`, or as soon as possible if that time is past.
  void at(Time when, std::function<void()> task);
  Duration max_delay() const { return max_delay_; }  // of the task that ran latest after its time
  std::uint64_t delayed_count() const {
    return delayed_count_;
  }  // tasks delayed by more than kTolerance
  static constexpr Duration kTolerance = std::chrono::milliseconds(20);

 private:
  void arm_timer();
  void run_due_tasks();
  boost::asio::steady_timer timer_;
  std::chrono::steady_clock::time_point begin_;
  EventQueue<std::function<void()>> tasks_;
  Time armed_for_ = kNever;
  bool is_running_tasks_ = false;
  Duration max_delay_{};
  std::uint64_t delayed_count_ = 0;
};

// Receives what the hosts and the discovery service see, for the invariant checker. `id` is the
// X-Request-Id header read as a hexadecimal number.
struct FleetObserver {
  virtual ~FleetObserver() = default;
  // A connection to `host` was accepted.
  virtual void on_connected(Time now, std::uint32_t host) = 0;
  // A whole request was received, before the host accepts or rejects it.
  virtual void on_arrived(Time now, std::uint64_t id, std::uint32_t host) = 0;
  // The host accepted the request as `attempt`; it may run from now on.
  virtual void on_accepted(Time now, std::uint64_t id, std::uint64_t attempt,
                           std::uint32_t host) = 0;
  // The host responds that the attempt never ran.
  virtual void on_not_run(std::uint64_t id, std::uint64_t attempt) = 0;
  // The attempt ended at the host, with whatever result.
  virtual void on_finished(Time now, std::uint64_t id) = 0;
  // An endpoint list sent to `gateway` contains `host` in `state`.
  virtual void on_endpoint_sent(Time now, std::uint32_t gateway, std::uint32_t host,
                                load_balancer::EndpointState state) = 0;
  // A cold host collapsed under overload.
  virtual void on_collapsed(Time now, std::uint32_t host, const Collapse& collapse) = 0;
  // Gateway to which the client sent the request; UINT32_MAX if unknown.
  virtual std::uint32_t gateway_of(std::uint64_t id) = 0;
};

// The hosts of a scenario and its discovery service, each on loopback addresses of its own.
class LiveFleet {
 public:
  // Opens a listening socket for every host and a discovery address for each gateway of the
  // scenario. `io`, `clock` and `scenario` must outlive the fleet; `observer` may be null.
  LiveFleet(boost::asio::io_context& io, LiveClock& clock, const Scenario& scenario,
            std::uint64_t seed, FleetObserver* observer);
  ~LiveFleet();

  boost::asio::ip::tcp::endpoint discovery_of(std::uint32_t gateway) const;
  boost::asio::ip::tcp::endpoint endpoint_of(std::uint32_t host) const;
  // Address of a host in the endpoint list sent to a gateway, such as that of a fault proxy in
  // front of the host. Without such a function the list contains the host's own address.
  using HostAddress =
      std::function<boost::asio::ip::tcp::endpoint(std::uint32_t gateway, std::uint32_t host)>;
  void set_host_address(HostAddress host_address);
  // The whole endpoint list as discovery sends it to this gateway.
  nlohmann::json endpoint_list(std::uint32_t gateway) const;
  const FleetTopology& topology() const;
  const FaultSchedule& fault_schedule() const;
  std::string uid_of(std::uint32_t host) const;
  std::size_t hosts() const;
  std::size_t active_requests(std::uint32_t host) const;
  std::size_t connections(std::uint32_t host) const;  // open ones
  bool running(std::uint32_t host) const;             // and reachable
  double work_done() const;                           // seconds of work, of all hosts

  // Starts the scenario's fault schedule at the present time. Steps that stop or start gateways are
  // passed to `on_gateway_step`.
  void begin_faults(const std::function<void(const FaultStep&)>& on_gateway_step);
  void stop_host(std::uint32_t host);
  // Starts a cold process of the host, after stopping a running one.
  void start_host(std::uint32_t host);
  void close();  // closes all sockets

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace gateway::lab
