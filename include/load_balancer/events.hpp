// Events that the embedding proxy passes to a Balancer.
#pragma once

#include <cstdint>
#include <string>

#include "load_balancer/types.hpp"

namespace load_balancer {

enum class EndpointState { active, draining, removed };

// An upstream host as service discovery lists it.
struct Endpoint {
  std::string address;
  std::string zone;
  std::string machine_type;
  std::int64_t cell = 0;
  double weight = 1;  // relative capacity, comparable across hosts
  EndpointState state = EndpointState::active;
  Time started_at{};  // latest start of its process; zero = long ago
};

enum class EndpointUpdateKind {
  delta,       // lists the endpoints that changed
  snapshot,    // lists all endpoints; the others are removed
  restored,    // a snapshot from a cache, possibly out of date
  unavailable  // discovery did not respond; no entries
};

// A request from a client.
struct Request {
  RequestId id = 0;
  std::uint32_t class_index = kNone;   // into Settings::classes
  std::uint32_t tenant_index = kNone;  // into Settings::tenants
  Duration time_remaining{};           // from its arrival until the client stops waiting
  Duration cost{};                     // expected service time; zero = unknown
  std::uint64_t key = 0;
  bool has_key = false;
  bool body_pending = false;  // body is incomplete; its time counts from on_request_complete
  Duration waited{};          // since its arrival; not used with body_pending
};

enum class AttemptOutcome {
  success,
  server_error,      // may have run
  rejected_by_host,  // the host rejected it unprocessed
  timeout,           // may have run
  connect_failed,    // never ran
  reset,             // may have run
  cancelled,         // may have run
  not_sent,          // never ran
  bad_request        // the request itself is invalid; may have run
};

// The end of an attempt. Each SendAttempt must be followed by one result.
struct AttemptResult {
  RequestId request = 0;
  std::uint32_t attempt = 0;
  HostId host = kNone;
  AttemptOutcome outcome = AttemptOutcome::success;
  Duration elapsed{};             // since the attempt was sent
  bool is_final = false;          // the client needs no further response
  bool request_consumed = false;  // the request is no longer stored and cannot be sent again
};

// Load that a host reports, caused by all gateways together. It is delayed and noisy.
struct LoadReport {
  double utilization = -1;         // of its cores, 0 to 1; negative: not reported
  Duration recent_service_time{};  // recent time per response without queueing; 0: not reported
};

}  // namespace load_balancer
