// A gateway's part in its fleet, also while a process of a new version takes over from the old one.
// Must be used from the event loop's thread only.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fleet_agent/operator_file.hpp"

namespace gateway::fleet_agent {

// Callbacks by which the fleet agent acts on the gateway. All of them must be set.
struct GatewayControls {
  // Called when the fleet ejects the host with this uid or returns it.
  std::function<void(const std::string& uid, bool ejected)> set_host_ejected;
  // Called when the value of allowed_retries() may have changed.
  std::function<void()> on_allowed_retries_changed;
  // Writes a line to the operators' log.
  std::function<void(std::string)> log;
};

// Whether another process of the same gateway may run when the agent starts, and hold its address.
enum class StartMode { alone, beside_another_process };

// A gateway's membership in its fleet. `io` must outlive it.
class FleetAgent {
 public:
  // Binds the UDP socket and joins the fleet. While another process of this gateway holds the
  // address, the agent takes part at another port and under another name, and takes over as soon as
  // the address is free. Throws boost::system::system_error if the address cannot be bound and
  // OperatorFileError if the event log cannot be opened.
  FleetAgent(boost::asio::io_context& io, Config config, StartMode mode, GatewayControls controls);
  ~FleetAgent();
  FleetAgent(const FleetAgent&) = delete;
  FleetAgent& operator=(const FleetAgent&) = delete;

  // Returns whether the fleet's rate limits admit a request, and counts it as admitted or rejected.
  bool try_admit(std::string_view request_class, std::string_view tenant);
  void on_retry_sent();  // counts a retry and spends a token of the retry budget
  // How many retries the retry budget allows now; UINT64_MAX: unlimited.
  std::uint64_t allowed_retries() const;
  // Records the result of an attempt on the host with this uid for the health reports.
  void on_attempt_result(const std::string& uid, bool success);
  void on_hosts(std::vector<std::string> uids);  // uids of all hosts that discovery lists

  std::string status_json() const;  // body of the response to GET /fleet, on one line
  // Announces the departure to other members; from then on this gateway neither sends nor receives
  // shared state.
  void leave();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gateway::fleet_agent
