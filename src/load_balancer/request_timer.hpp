// Timers of active requests.
#pragma once

#include <cstdint>

#include "load_balancer/load_balancer.hpp"

namespace load_balancer {

enum class TimerKind {
  response_deadline,  // last moment for a rejection or failure that still reaches the client
  hedge,              // a hedged attempt may be sent
  key_turn,           // the cooldown of a queued request's key ends, or the request may be too late
  latency_objective   // the latency objective has passed
};

// The time at which the scheduler has to check a request again. A timer is not removed when its
// request is: ActiveRequests::find then returns null for the slot and generation.
struct RequestTimer {
  Time at;
  std::uint32_t slot;  // with the generation: an ActiveRequests::Reference
  std::uint32_t generation;
  TimerKind kind;

  // Earlier timers come first; the slot makes the order of equal times the same in every run.
  bool operator>(const RequestTimer& other) const {
    return at != other.at ? at > other.at : slot > other.slot;
  }
};

}  // namespace load_balancer
