// Actions that the embedding proxy has to carry out after an event: one type for each.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "load_balancer/types.hpp"

namespace load_balancer {

// Send the request to a host.
struct SendAttempt {
  RequestId request = 0;
  std::uint32_t attempt = 0;  // number of the attempt within the request, from 0
  HostId host = kNone;
  Duration timeout{};  // time limit of the whole attempt
  // The host must receive the first byte within this time, because the deduplication window of an
  // earlier attempt closes then. Otherwise the attempt must not begin and is reported as
  // AttemptOutcome::not_sent.
  // Duration::max(): no such bound.
  Duration must_start_within = Duration::max();
};

// Why a request ended without a response of a host.
enum class EndReason {
  below_threshold,      // its priority score is below the shedding threshold
  no_attempt_possible,  // no host may be used, or no response in time is possible
  attempts_exhausted,   // the last attempt failed and another is not possible
  key_queue_too_long,   // the requests before it with the same key would make it late
  deadline,             // no response came in time
  invalid_request       // a host found the request invalid
};

// Respond to the client that the request was rejected. A retry is safe: no attempt can have run at
// its host, or the class is idempotent, or it is deduplicated by all hosts, no attempt is in flight
// and the deduplication window is open for the retry.
struct RejectRequest {
  RequestId request = 0;
  Duration retry_after{};  // wait before a retry that the client is asked for; zero: none
  EndReason reason = EndReason::below_threshold;
};

// Respond to the client with an error. The request may have had an effect.
struct FailRequest {
  RequestId request = 0;
  EndReason reason = EndReason::attempts_exhausted;
};

// Cancel an attempt. Its result is still reported, as for every attempt.
struct CancelAttempt {
  RequestId request = 0;
  std::uint32_t attempt = 0;
};

// Close the connections to a host that carry no attempt.
struct CloseIdleConnections {
  HostId host = kNone;
};

// Drop what is stored for the host: it is no longer listed and no active request refers to it. Its
// id may be assigned again.
struct ForgetHost {
  HostId host = kNone;
};

// Call Balancer::on_wakeup at this time. A wakeup that is still pending for a later time may be
// dropped.
struct ScheduleWakeup {
  Time at{};
};

// Request the endpoint list from service discovery.
struct PollEndpoints {};

// Write a line to the log, in the form `event key=value ...`.
struct LogMessage {
  std::string text;
};

using Action =
    std::variant<SendAttempt, RejectRequest, FailRequest, CancelAttempt, CloseIdleConnections,
                 ForgetHost, ScheduleWakeup, PollEndpoints, LogMessage>;

// Combines one handler per action into a visitor for std::visit. An action without a handler is an
// error at compile time.
template <class... Handlers>
struct ActionVisitor : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
ActionVisitor(Handlers...) -> ActionVisitor<Handlers...>;

}  // namespace load_balancer
