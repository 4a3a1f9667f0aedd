// Checks the rules that BRIEF, WIRE and PROTOCOL set for a gateway, using only events observed at
// hosts, clients and discovery, never the gateway's own state. The simulation or the live run
// reports the events in the order in which they happen. The rules are those of WIRE, "Four things
// never to do"; PROTOCOL, "The rules on sockets"; BRIEF, "Final answers are not to be delayed".
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "lab/model/event_queue.hpp"
#include "lab/scenario/scenario.hpp"
#include "load_balancer/load_balancer.hpp"

namespace gateway::lab {

// The invariants; name_of() gives the name under which reports list each.
enum class Rule {
  lost,
  answered_twice,
  double_effect,
  unproven_rejection,
  sent_after_drain,
  cold_host_overloaded,
  rejection_delayed
};
inline constexpr std::size_t kRules = 7;
std::string_view name_of(Rule rule);

// One observed violation of a rule; `what` describes it in one line.
struct Violation {
  Rule rule;
  Time at;
  std::uint32_t gateway;
  std::string what;
};

// The kind of a final response: success, rejection before execution, or failure.
enum class ResponseKind { served, refused, failed };

// Counts violations and keeps a description of the first few of each rule. Events of requests that
// it does not know are ignored. Keeps a reference to `classes`, which has to outlive it.
class InvariantChecker {
 public:
  using RequestKey = std::uint64_t;

  InvariantChecker(const RulesSpec& rules, const std::vector<ClassSpec>& classes);

  // A gateway has received the last byte of a request; its client times out at `deadline`.
  void request_received(Time now, RequestKey request, std::uint32_t cls, std::uint32_t gateway,
                        Time deadline);
  // The gateway sent its final response.
  void response_sent(Time now, RequestKey request, ResponseKind response);
  // The client disconnected early or the gateway died: no response is required any more.
  void release(RequestKey request);
  // The client timeout and the response slack have passed. Without a response the request is lost.
  void client_timed_out(Time now, RequestKey request);

  // The gateway sends an attempt; the drain rule applies to the time of sending.
  void attempt_sent(Time now, RequestKey request, std::uint32_t gateway, std::uint32_t host);
  // A host has received the last byte of an attempt and accepted it: it may execute from now on.
  void attempt_received(Time now, RequestKey request, std::uint64_t attempt, std::uint32_t host,
                        std::uint32_t zone, std::uint32_t cell, Time sent_at);
  // The gateway has proof that the attempt was never executed.
  void attempt_not_executed(RequestKey request, std::uint64_t attempt);
  // An attempt has ended, with any outcome.
  void attempt_ended(Time now, RequestKey request);
  // No further event of the request follows.
  void forget(RequestKey request) { requests_.erase(request); }

  // Discovery has announced the state of a host to a gateway.
  void endpoint_announced(Time now, std::uint32_t gateway, std::uint32_t host,
                          load_balancer::EndpointState state);
  // A gateway has (re)started with an empty endpoint list.
  void gateway_started(std::uint32_t gateway);
  // A gateway resumes after SIGSTOP at `paused_at`: what discovery announced meanwhile counts as
  // announced now, because the gateway could not read it earlier. A late response to a request that
  // it had received before is excused, as a missing one is.
  void gateway_resumed(Time now, std::uint32_t gateway, Time paused_at);
  // A cold host collapsed under `work_sent` seconds of work within the collapse window, of which it
  // tolerates `work_limit`; the fraction `informed_share` of the work came from gateways that
  // discovery had informed of its start.
  void cold_host_collapsed(Time now, std::uint32_t host, double informed_share, double work_sent,
                           double work_limit);

  const std::array<std::uint64_t, kRules>& counts() const { return counts_; }
  // The first five of each rule, in order of occurrence.
  const std::vector<Violation>& first_violations() const { return first_violations_; }
  bool is_clean() const;
  // Requests not yet forgotten.
  std::size_t open() const { return requests_.size(); }

 private:
  struct Execution {  // an attempt that may have been executed
    std::uint64_t attempt;
    std::uint32_t zone, cell;
    Time sent_at;
  };
  struct TrackedRequest {
    std::uint32_t cls, gateway;
    Time received_at, deadline, idle_since;  // idle_since: no attempt in flight since then
    std::uint32_t in_flight = 0;
    bool ended = false;
    std::vector<Execution> executions;
  };
  TrackedRequest* find(RequestKey request);
  bool was_paused(const TrackedRequest& request) const;
  void add_violation(Rule rule, Time at, std::uint32_t gateway, std::string what);

  RulesSpec rules_;
  const std::vector<ClassSpec>& classes_;
  std::unordered_map<RequestKey, TrackedRequest> requests_;  // never iterated: order unspecified
  std::unordered_map<std::uint64_t, Time>
      draining_since_;  // by (gateway, host): first announced as draining or removed
  std::unordered_map<std::uint32_t, Time> resumed_at_;  // by gateway: its latest pause
  std::array<std::uint64_t, kRules> counts_{};
  std::vector<Violation> first_violations_;
};

}  // namespace gateway::lab
