// The connections to hosts, as far as decisions depend on them: whether one has a free stream,
// whether it was idle for so long that it is likely closed, and which ones to close.
#pragma once

#include "load_balancer/active_requests.hpp"
#include "load_balancer/host_set.hpp"
#include "load_balancer/idle_loss_estimator.hpp"

namespace load_balancer {

// Estimates the state of the connections from the attempts sent and their results: the embedding
// proxy, which owns the connections, does not report it. Closes them by CloseIdleConnections.
class ConnectionTracker {
 public:
  ConnectionTracker(Context& context, HostSet& hosts) : context_(context), hosts_(hosts) {}

  // True if a connection with a free stream is open and not likely closed by others.
  bool has_open_connection(const Host& host) const {
    return has_free_stream(host) && !likely_closed(idle_step(host));
  }
  // True if in addition such a connection has kept its quiet period.
  bool has_quiet_connection(const Host& host) const;
  // True if a connection with a free stream is open, or a new one may be opened.
  bool may_use(const Host& host) const {
    return context_.now >= host.connect_backoff_until || has_open_connection(host);
  }
  // Sets the attempt's idle_step and new_connection and counts the connection that it uses. Closes
  // the host's idle connections first if they are likely closed by others.
  void on_attempt_sent(Host& host, HostId id, Attempt& attempt);
  // Updates the loss rate of the idle time of the attempt's connection, and begins the quiet period
  // of a connection that carried a whole response.
  void on_attempt_result(Host& host, const Attempt& attempt, AttemptOutcome outcome);
  // Closes unused connections to hosts outside the subset. To be called every kSweepInterval.
  void sweep();

 private:
  static constexpr std::size_t kSteps = 8;  // of idle time
  bool has_free_stream(const Host& host) const;
  // Step of the host's idle time; 0: under way, just used, or a new connection is needed.
  std::size_t idle_step(const Host& host) const;
  bool likely_closed(std::size_t step) const;

  Context& context_;
  HostSet& hosts_;
  IdleLossEstimator<kSteps> idle_loss_;
};

}  // namespace load_balancer
