#include "load_balancer/connection_tracker.hpp"

#include <algorithm>
#include <cstddef>

namespace load_balancer {
namespace {

// Connections to a host outside the subset are closed if they were unused for this time.
constexpr Duration kUnusedHostTimeout = std::chrono::seconds(5);
// A middlebox may drop idle connections without closing them, and a request sent over such a
// connection is lost without an error. Losses are counted by the idle time of the connection, in
// steps: the first one begins at this idle time, and each further one at twice the last.
constexpr Duration kIdleStep = std::chrono::milliseconds(250);
constexpr double kLossGain = 0.2;  // per attempt: over the last five of its step
// Per sweep: connections with a high loss rate are used again after about 20 s.
constexpr double kLossDecay = 0.005;
// Idle connections are closed instead of used if their loss rate exceeds that of connections
// without idle time by this much.
constexpr double kMaxExcessLoss = 0.3;

}  // namespace

void ConnectionTracker::on_attempt_sent(Host& host, HostId id, Attempt& attempt) {
  attempt.idle_step = idle_step(host);
  if (likely_closed(attempt.idle_step)) {
    context_.emit(CloseIdleConnections{id});
    host.desired_connections = 0;
    attempt.idle_step = 0;
  }
  attempt.new_connection = !has_free_stream(host);
  host.last_used_at = context_.now;
  if (!has_free_stream(host)) {
    ++host.desired_connections;
  }
}

void ConnectionTracker::on_attempt_result(Host& host, const Attempt& attempt,
                                          AttemptOutcome outcome) {
  const bool may_have_response =
      outcome == AttemptOutcome::success || outcome == AttemptOutcome::rejected_by_host ||
      outcome == AttemptOutcome::server_error || outcome == AttemptOutcome::bad_request;
  std::erase_if(host.quiet_at, [&](Time quiet_at) { return quiet_at <= context_.now; });
  if (may_have_response && context_.settings.connection_quiet_period > Duration{}) {
    host.quiet_at.push_back(context_.now + context_.settings.connection_quiet_period);
  }
  const bool is_lost = outcome == AttemptOutcome::timeout || outcome == AttemptOutcome::reset;
  if (is_lost || outcome == AttemptOutcome::success || outcome == AttemptOutcome::server_error ||
      outcome == AttemptOutcome::rejected_by_host) {
    idle_loss_.record(attempt.idle_step, is_lost, kLossGain);
  }
}

// Hosts limit their connections. If every gateway kept those to hosts that have left its subset, or
// that it used only while the subset had no idle host, hosts would reach their limit and refuse
// other gateways.
void ConnectionTracker::sweep() {
  idle_loss_.decay(kLossDecay);
  for (std::size_t i = hosts_.subset_size(); i < hosts_.subset_order().size(); ++i) {
    const HostId id = hosts_.subset_order()[i];
    Host& host = hosts_.at(id);
    if (host.desired_connections == 0 || host.in_flight > 0 ||
        context_.now - host.last_used_at < kUnusedHostTimeout) {
      continue;
    }
    host.desired_connections = 0;
    context_.emit(CloseIdleConnections{id});
  }
}

// Connections are closed after Settings::idle_connection_timeout without an attempt.
bool ConnectionTracker::has_free_stream(const Host& host) const {
  const bool closed = context_.settings.idle_connection_timeout > Duration{} &&
                      host.in_flight == 0 &&
                      context_.now - host.last_used_at >= context_.settings.idle_connection_timeout;
  return !closed && static_cast<std::uint32_t>(host.in_flight) <
                        static_cast<std::uint32_t>(host.desired_connections) *
                            context_.settings.streams_per_connection;
}

bool ConnectionTracker::has_quiet_connection(const Host& host) const {
  if (!has_open_connection(host)) {
    return false;
  }
  const auto first_unquiet =
      std::upper_bound(host.quiet_at.begin(), host.quiet_at.end(), context_.now);
  const std::ptrdiff_t unquiet = host.quiet_at.end() - first_unquiet;
  return host.in_flight + unquiet < host.desired_connections;
}

std::size_t ConnectionTracker::idle_step(const Host& host) const {
  std::size_t step = 0;
  if (!has_free_stream(host) || host.in_flight > 0) {
    return step;
  }
  for (Duration step_start = kIdleStep;
       step + 1 < kSteps && context_.now - host.last_used_at >= step_start; step_start *= 2) {
    ++step;
  }
  return step;
}

bool ConnectionTracker::likely_closed(std::size_t step) const {
  return step > 0 && idle_loss_.loss_rate(step) > kMaxExcessLoss + idle_loss_.loss_rate(0);
}

}  // namespace load_balancer
