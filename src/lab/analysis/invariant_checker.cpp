#include "lab/analysis/invariant_checker.hpp"

#include <utility>

namespace gateway::lab {
namespace {

constexpr std::uint64_t kMaxViolationsKeptPerRule = 5;
constexpr std::array<std::string_view, kRules> kNames{
    "request lost",          "answered twice",
    "double effect",         "refused though it may have run",
    "sent after the drain",  "cold host pushed over",
    "final answer held back"};

std::uint64_t pair_key(std::uint32_t gateway, std::uint32_t host) {
  return (static_cast<std::uint64_t>(gateway) << 32) | host;
}

std::string millis(Duration d) {
  const auto whole_microseconds = std::chrono::duration_cast<std::chrono::microseconds>(d).count();
  return format_number(static_cast<double>(whole_microseconds) / 1e3) + " ms";
}

}  // namespace

std::string_view name_of(Rule rule) {
  return kNames[static_cast<std::size_t>(rule)];
}

InvariantChecker::InvariantChecker(const RulesSpec& rules, const std::vector<ClassSpec>& classes)
    : rules_(rules), classes_(classes) {}

InvariantChecker::TrackedRequest* InvariantChecker::find(RequestKey request) {
  const auto it = requests_.find(request);
  return it == requests_.end() ? nullptr : &it->second;
}

void InvariantChecker::add_violation(Rule rule, Time at, std::uint32_t gateway, std::string what) {
  if (counts_[static_cast<std::size_t>(rule)]++ < kMaxViolationsKeptPerRule) {
    first_violations_.push_back({rule, at, gateway, std::move(what)});
  }
}

bool InvariantChecker::is_clean() const {
  for (std::uint64_t count : counts_) {
    if (count > 0) {
      return false;
    }
  }
  return true;
}

void InvariantChecker::request_received(Time now, RequestKey request, std::uint32_t cls,
                                        std::uint32_t gateway, Time deadline) {
  requests_.insert_or_assign(request,
                             TrackedRequest{cls, gateway, now, deadline, now, 0, false, {}});
}

void InvariantChecker::response_sent(Time now, RequestKey request, ResponseKind response) {
  TrackedRequest* r = find(request);
  if (!r) {
    return;
  }
  const ClassSpec& c = classes_[r->cls];
  if (std::exchange(r->ended, true)) {
    add_violation(Rule::answered_twice, now, r->gateway, "second final response to a " + c.name);
    return;
  }
  if (now > r->deadline + from_millis(rules_.response_slack_ms) && !was_paused(*r)) {
    add_violation(
        Rule::lost, now, r->gateway,
        "a " + c.name + " was answered " + millis(now - r->deadline) + " past its deadline");
  }
  if (response == ResponseKind::served) {
    return;
  }
  const bool provable =
      c.idempotency == "retryable" || (c.idempotency == "dedup" && c.deduplication_scope == "all");
  if (response == ResponseKind::refused && !provable && !r->executions.empty()) {
    add_violation(Rule::unproven_rejection, now, r->gateway,
                  "a " + c.name + " was rejected although a host had accepted it");
  }
  // Without an attempt in flight the gateway has no response to wait for.
  if (r->in_flight == 0 && now - r->idle_since > from_millis(rules_.max_rejection_delay_ms)) {
    add_violation(Rule::rejection_delayed, now, r->gateway,
                  "a " + c.name +
                      " was rejected or failed after no attempt had been in flight for " +
                      millis(now - r->idle_since));
  }
}

void InvariantChecker::release(RequestKey request) {
  if (TrackedRequest* r = find(request)) {
    r->ended = true;
  }
}

void InvariantChecker::client_timed_out(Time now, RequestKey request) {
  TrackedRequest* r = find(request);
  if (!r || std::exchange(r->ended, true)) {
    return;
  }
  add_violation(Rule::lost, now, r->gateway,
                "a " + classes_[r->cls].name + " had no final response " +
                    millis(now - r->received_at) + " after the gateway received it");
}

void InvariantChecker::attempt_sent(Time now, RequestKey request, std::uint32_t gateway,
                                    std::uint32_t host) {
  if (TrackedRequest* r = find(request)) {
    ++r->in_flight;
  }
  const auto it = draining_since_.find(pair_key(gateway, host));
  if (it != draining_since_.end() && now > it->second + from_millis(rules_.drain_grace_ms)) {
    add_violation(Rule::sent_after_drain, now, gateway,
                  "host " + std::to_string(host) + " was sent work " + millis(now - it->second) +
                      " after it was announced as draining or removed");
  }
}

void InvariantChecker::attempt_received(Time now, RequestKey request, std::uint64_t attempt,
                                        std::uint32_t host, std::uint32_t zone, std::uint32_t cell,
                                        Time sent_at) {
  TrackedRequest* r = find(request);
  if (!r) {
    return;
  }
  const ClassSpec& c = classes_[r->cls];
  if (c.idempotency != "retryable") {
    for (const Execution& earlier : r->executions) {
      const char* conflict = nullptr;
      if (c.idempotency == "fragile") {
        conflict = "follows a possible earlier execution";
      } else if (c.deduplication_scope != "all" && earlier.zone != zone) {
        conflict = "follows a possible execution in another zone";
      } else if (c.deduplication_scope == "cell" && earlier.cell != cell) {
        conflict = "follows a possible execution in another cell";
      } else if (sent_at > earlier.sent_at + from_millis(c.deduplication_window_ms)) {
        conflict = "follows a possible execution outside the deduplication window";
      }
      if (!conflict) {
        continue;
      }
      add_violation(
          Rule::double_effect, now, r->gateway,
          "a " + c.name + " attempt that reached host " + std::to_string(host) + " " + conflict);
      break;
    }
  }
  r->executions.push_back({attempt, zone, cell, sent_at});
}

void InvariantChecker::attempt_not_executed(RequestKey request, std::uint64_t attempt) {
  if (TrackedRequest* r = find(request)) {
    std::erase_if(r->executions, [&](const Execution& e) { return e.attempt == attempt; });
  }
}

void InvariantChecker::attempt_ended(Time now, RequestKey request) {
  TrackedRequest* r = find(request);
  if (!r || r->in_flight == 0) {
    return;
  }
  if (--r->in_flight == 0) {
    r->idle_since = now;
  }
}

void InvariantChecker::endpoint_announced(Time now, std::uint32_t gateway, std::uint32_t host,
                                          load_balancer::EndpointState state) {
  if (state == load_balancer::EndpointState::active) {
    draining_since_.erase(pair_key(gateway, host));
  } else {
    draining_since_.emplace(pair_key(gateway, host), now);  // the first announcement counts
  }
}

void InvariantChecker::gateway_started(std::uint32_t gateway) {
  std::erase_if(draining_since_, [&](const auto& entry) { return entry.first >> 32 == gateway; });
}

bool InvariantChecker::was_paused(const TrackedRequest& request) const {
  const auto resumed = resumed_at_.find(request.gateway);
  return resumed != resumed_at_.end() && request.received_at < resumed->second;
}

void InvariantChecker::gateway_resumed(Time now, std::uint32_t gateway, Time paused_at) {
  resumed_at_[gateway] = now;
  for (auto& [pair, announced_at] : draining_since_) {
    if (pair >> 32 == gateway && announced_at >= paused_at) {
      announced_at = now;
    }
  }
}

void InvariantChecker::cold_host_collapsed(Time now, std::uint32_t host, double informed_share,
                                           double work_sent, double work_limit) {
  // Below this fraction, senders that could not know of the start caused the collapse.
  constexpr double kMinInformedShare = 2.0 / 3;
  if (informed_share < kMinInformedShare) {
    return;
  }
  add_violation(Rule::cold_host_overloaded, now, 0,
                "host " + std::to_string(host) + " was sent " + format_number(work_sent) +
                    " s of work within the collapse window; it tolerates " +
                    format_number(work_limit));
}

}  // namespace gateway::lab
