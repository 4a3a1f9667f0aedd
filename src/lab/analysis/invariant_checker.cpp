#include "lab/analysis/invariant_checker.hpp"

#include <utility>

namespace gateway::lab {
namespace {

constexpr std::uint64_t kKeepOfEach = 5;
constexpr std::array<std::string_view, kRules> kNames{
    "request lost",          "answered twice",
    "double effect",         "refused though it may have run",
    "sent after the drain",  "cold host pushed over",
    "final answer held back"};

std::uint64_t pair_of(std::uint32_t gateway, std::uint32_t host) {
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

InvariantChecker::Watched* InvariantChecker::find(RequestKey request) {
  const auto it = requests_.find(request);
  return it == requests_.end() ? nullptr : &it->second;
}

void InvariantChecker::breach(Rule rule, Time at, std::uint32_t gateway, std::string what) {
  if (counts_[static_cast<std::size_t>(rule)]++ < kKeepOfEach) {
    first_.push_back({rule, at, gateway, std::move(what)});
  }
}

bool InvariantChecker::clean() const {
  for (std::uint64_t count : counts_) {
    if (count > 0) {
      return false;
    }
  }
  return true;
}

void InvariantChecker::taken(Time now, RequestKey request, std::uint32_t cls, std::uint32_t gateway,
                             Time deadline) {
  requests_.insert_or_assign(request, Watched{cls, gateway, now, deadline, now, 0, false, {}});
}

void InvariantChecker::answered(Time now, RequestKey request, Answer answer) {
  Watched* r = find(request);
  if (!r) {
    return;
  }
  const ClassSpec& c = classes_[r->cls];
  if (std::exchange(r->ended, true)) {
    breach(Rule::answered_twice, now, r->gateway, "a second final answer to a " + c.name);
    return;
  }
  if (now > r->deadline + from_millis(rules_.response_slack_ms)) {
    breach(Rule::lost, now, r->gateway,
           "a " + c.name + " was answered " + millis(now - r->deadline) + " past its time");
  }
  if (answer == Answer::served) {
    return;
  }
  const bool provable =
      c.idempotency == "retryable" || (c.idempotency == "dedup" && c.deduplication_scope == "all");
  if (answer == Answer::refused && !provable && !r->runs.empty()) {
    breach(Rule::unproven_refusal, now, r->gateway,
           "a " + c.name + " that a host had taken was refused");
  }
  // With nothing under way there is nothing to wait for.
  if (r->out == 0 && now - r->idle_since > from_millis(rules_.max_rejection_delay_ms)) {
    breach(
        Rule::held_back, now, r->gateway,
        "a " + c.name + " was given up with nothing under way for " + millis(now - r->idle_since));
  }
}

void InvariantChecker::excused(RequestKey request) {
  if (Watched* r = find(request)) {
    r->ended = true;
  }
}

void InvariantChecker::client_gave_up(Time now, RequestKey request) {
  Watched* r = find(request);
  if (!r || std::exchange(r->ended, true)) {
    return;
  }
  breach(Rule::lost, now, r->gateway,
         "a " + classes_[r->cls].name + " had no answer " + millis(now - r->taken_at) +
             " after it was taken");
}

void InvariantChecker::sent(Time now, RequestKey request, std::uint32_t gateway,
                            std::uint32_t host) {
  if (Watched* r = find(request)) {
    ++r->out;
  }
  const auto it = barred_.find(pair_of(gateway, host));
  if (it != barred_.end() && now > it->second + from_millis(rules_.drain_grace_ms)) {
    breach(Rule::sent_after_drain, now, gateway,
           "host " + std::to_string(host) + " was sent work " + millis(now - it->second) +
               " after the word of its way out");
  }
}

void InvariantChecker::reached(Time now, RequestKey request, std::uint64_t attempt,
                               std::uint32_t host, std::uint32_t zone, std::uint32_t cell,
                               Time sent_at) {
  Watched* r = find(request);
  if (!r) {
    return;
  }
  const ClassSpec& c = classes_[r->cls];
  if (c.idempotency != "retryable") {
    for (const Run& run : r->runs) {
      const char* why = nullptr;
      if (c.idempotency == "fragile") {
        why = "may have run before";
      } else if (c.deduplication_scope != "all" && run.zone != zone) {
        why = "may have run in another zone";
      } else if (c.deduplication_scope == "cell" && run.cell != cell) {
        why = "may have run in another cell";
      } else if (sent_at > run.sent_at + from_millis(c.deduplication_window_ms)) {
        why = "may have run longer ago than repeats drop";
      }
      if (!why) {
        continue;
      }
      breach(Rule::double_effect, now, r->gateway,
             "a " + c.name + " reached host " + std::to_string(host) + " that " + why);
      break;
    }
  }
  r->runs.push_back({attempt, zone, cell, sent_at});
}

void InvariantChecker::disproved(RequestKey request, std::uint64_t attempt) {
  if (Watched* r = find(request)) {
    std::erase_if(r->runs, [&](const Run& run) { return run.attempt == attempt; });
  }
}

void InvariantChecker::settled(Time now, RequestKey request) {
  Watched* r = find(request);
  if (!r || r->out == 0) {
    return;
  }
  if (--r->out == 0) {
    r->idle_since = now;
  }
}

void InvariantChecker::told(Time now, std::uint32_t gateway, std::uint32_t host,
                            load_balancer::EndpointState phase) {
  if (phase == load_balancer::EndpointState::active) {
    barred_.erase(pair_of(gateway, host));
  } else {
    barred_.emplace(pair_of(gateway, host), now);  // told before: that word counts
  }
}

void InvariantChecker::gateway_started(std::uint32_t gateway) {
  std::erase_if(barred_, [&](const auto& entry) { return entry.first >> 32 == gateway; });
}

void InvariantChecker::resumed(Time now, std::uint32_t gateway, Time paused_at) {
  for (auto& [pair, told] : barred_) {
    if (pair >> 32 == gateway && told >= paused_at) {
      told = now;
    }
  }
}

void InvariantChecker::fell(Time now, std::uint32_t host, double known_share, double pushed,
                            double borne) {
  constexpr double kShareThatBreaks = 2.0 / 3;
  if (known_share < kShareThatBreaks) {
    return;
  }
  breach(Rule::cold_pushed, now, 0,
         "host " + std::to_string(host) + " was sent " + format_number(pushed) +
             " s of work within the window, it bears " + format_number(borne));
}

}  // namespace gateway::lab
