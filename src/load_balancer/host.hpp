// State that this gateway keeps for an upstream host.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "load_balancer/load_balancer.hpp"

namespace load_balancer {

// `probation`: after an ejection the host gets one request at a time; the next success
// or failure makes it healthy or ejects it again.
enum class HealthState { healthy, ejected, probation };

struct Host {
  Endpoint endpoint;
  std::uint64_t hash = 0;  // of the address
  bool local = false;      // in the gateway's own zone

  // Load from this gateway.
  bool counted_in_flight = false;  // its in_flight is part of HostSet::in_flight
  int in_flight = 0;               // attempts
  int references = 0;              // attempts of active requests, completed ones included
  // (slot, generation) of the requests with an attempt at this host, in order of sending.
  std::deque<std::pair<std::uint32_t, std::uint32_t>> outstanding_attempts;
  std::uint64_t last_selection = 0;  // number of the last selection that examined it

  // Placement.
  std::size_t machine_type = 0;          // index into HostSet::machine_types
  std::vector<bool> placeable_by_class;  // by class: its placement rules allow this host

  // Performance.
  double relative_latency = 1;  // response time divided by the class's typical latency
  double served = 0;            // successful attempts since the last sweep
  Time last_response_at{};
  Time last_used_at{};

  // Outlier detection.
  double failure_rate = 0;                  // fraction of the recent attempts that failed
  std::vector<double> class_failure_rates;  // the same by class
  double recent_outcomes = 0;               // decayed count of outcomes
  double recent_errors = 0;                 // decayed count of failures and rejections
  HealthState health = HealthState::healthy;
  Time ejected_until{};
  int ejection_count = 0;
  bool unresponsive = false;       // no response for far longer than its usual latency
  int consecutive_rejections = 0;  // rejected_by_host outcomes in a row
  Time backoff_until{};            // no request is sent before

  // Connections.
  int desired_connections = 0;           // connections that should be open
  std::vector<Time> quiet_at;            // ends of the quiet periods of idle connections, ascending
  Time connect_backoff_until{};          // no new connection is opened before
  int consecutive_connect_failures = 0;  // connect_failed outcomes in a row

  // Selection. The weight and the late-response penalty are multipliers, 0 to 1.
  double concurrency_penalty = 1;    // 1 + load per core, by its latest dynamic weight
  double selection_weight = 1;       // follows the concurrency penalty
  double late_response_penalty = 1;  // at late_response_penalty_at; recovers with time
  Time late_response_penalty_at{};

  // Slow start.
  double warmup_tokens = 0;  // requests that may be sent while it warms up
  Time warmup_tokens_at{};

  // Load reports, which cover the requests of all gateways.
  double utilization = -1;  // 0 to 1; -1: not reported
  Time reported_at{};       // latest report, or when this process of the host was first listed
};

// True if outlier detection finds the host ejected, on probation or unresponsive.
inline bool is_unhealthy(const Host& host) {
  return host.health != HealthState::healthy || host.unresponsive;
}

}  // namespace load_balancer
