// Load balancing, admission control and retries for a fleet of HTTP gateways.
//
// The embedding proxy passes events with their time to a Balancer and carries out the actions that
// it returns. The Balancer does no I/O, reads no clock, starts no thread and has no global state:
// the same settings, seed and events give the same actions. It is not thread-safe.
//
// An event that names an unknown request, attempt or host is ignored, as is a second request under
// an id that is still active. A request of an unknown class is handled as
// Idempotency::non_idempotent with the lowest priority.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "load_balancer/actions.hpp"
#include "load_balancer/events.hpp"
#include "load_balancer/settings.hpp"
#include "load_balancer/types.hpp"

namespace load_balancer {

class Balancer {
 public:
  // Throws std::invalid_argument, whose message names the invalid setting.
  Balancer(Settings settings, Time now);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Service discovery has responded, or has failed to (EndpointUpdateKind::unavailable).
  void on_endpoint_update(Time now, EndpointUpdateKind kind, const std::vector<Endpoint>& entries);

  void on_request(Time now, const Request& request);

  // The body of a request with Request::body_pending is complete, and has been for `waited`.
  void on_request_complete(Time now, RequestId request, Duration waited = {});

  // The response to an attempt has begun to reach the client, so other attempts are useless.
  void on_response_started(Time now, RequestId request, std::uint32_t attempt);

  void on_attempt_result(Time now, const AttemptResult& result);

  // A load report of a host, from a health check or with a response. In the latter case it precedes
  // on_attempt_result.
  void on_load_report(Time now, HostId host, const LoadReport& report);

  void on_client_disconnected(Time now, RequestId request);

  // An operator puts a host into maintenance or ends it. Meanwhile nothing is sent to the host,
  // even if it is listed. When the maintenance ends, the host counts as started at `now`, unless
  // the endpoint list names a start within the maintenance.
  void set_maintenance(Time now, const std::string& address, bool in_maintenance);

  // Sets the fraction, 0 to 1, of its budgets for hosts that are warming up that this process may
  // use: less than 1 while another process serves the same gateway.
  void set_budget_fraction(Time now, double fraction);

  // The process ends soon: from now on every request gets its response, rejection or failure by
  // `latest`, also if its client waits longer. Requests whose body is pending are excepted until it
  // is complete.
  void set_latest_response(Time now, Time latest);

  // Limits the retries and hedged requests over all requests until the next call. There is no limit
  // before the first call.
  void set_retry_allowance(Time now, std::uint64_t retries);

  // The time of a ScheduleWakeup has been reached. Additional calls are harmless.
  void on_wakeup(Time now);

  // Actions since they were last cleared, in the order in which they have to be carried out. The
  // caller clears them.
  std::vector<Action>& actions();

  // kNone if no list has named the address.
  HostId find_host(std::string_view address) const;
  const std::string& address(HostId host) const;

  // Requests with a lower priority score are shed at present; 0 to 100.
  double shedding_threshold() const;

  // Number of requests without a response or with attempts in flight.
  std::size_t active_requests() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace load_balancer
