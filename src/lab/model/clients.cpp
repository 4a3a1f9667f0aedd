#include "lab/model/clients.hpp"

#include <algorithm>

namespace gateway::lab {

Clients::Clients(const Scenario& s, std::uint64_t seed, Time start, RunMetrics& tally)
    : scenario_(s), tally_(tally), random_(seed, "clients"), start_(start) {
  share_ = s.clients.try_share.draw(random_);
  backoff_ = s.clients.backoff_ms.draw(random_) / 1e3;
}

Clients::OperationId Clients::begin_operation(const Arrival& first) {
  if (free_.empty()) {
    free_.push_back(static_cast<OperationId>(wishes_.size()));
    wishes_.emplace_back();
  }
  const OperationId id = free_.back();
  free_.pop_back();
  ++open_;
  const ClassSpec& c = scenario_.classes[first.cls];
  Wish& w = wishes_[id] = Wish{};
  w.first = first;
  w.deadline = first.at + from_millis(c.client_timeout_ms);
  w.honours = random_.chance(scenario_.clients.honour);
  w.share = share_;
  w.backoff = backoff_;
  w.worth = c.priority_weight * first.work;  // worth counts for each unit of work; BRIEF 4.2
  tally_.add_operation(first.cls, w.worth, first.at - start_);
  return id;
}

Clients::RequestPlan Clients::begin_request(Time now, OperationId id) {
  Wish& w = wishes_[id];
  ++w.tries;
  ++tally_.classes[w.first.cls].requests;
  const Duration whole = from_millis(scenario_.classes[w.first.cls].client_timeout_ms);
  RequestPlan plan;
  plan.timeout =
      std::min(Duration(static_cast<Duration::rep>(static_cast<double>(whole.count()) * w.share)),
               w.deadline - now);
  if (random_.chance(scenario_.clients.impatient)) {
    plan.disconnect_after = Duration(
        static_cast<Duration::rep>(static_cast<double>(plan.timeout.count()) * random_.unit()));
  }
  return plan;
}

// Clients repeat what is safe after any failure, what hosts drop anywhere likewise, and anything
// else only where nothing can have run. Source: WIRE, "What clients do".
bool Clients::may_come_again(const Wish& w, RequestOutcome end) const {
  if (end == RequestOutcome::served || w.tries > scenario_.clients.retries) {
    return false;
  }
  const ClassSpec& c = scenario_.classes[w.first.cls];
  if (end == RequestOutcome::refused || end == RequestOutcome::unreachable) {
    return true;
  }
  return c.idempotency == "retryable" ||
         (c.idempotency == "dedup" && c.deduplication_scope == "all");
}

std::optional<Duration> Clients::end_request(Time now, OperationId id, RequestOutcome end,
                                             Duration retry_after) {
  Wish& w = wishes_[id];
  const ClassSpec& c = scenario_.classes[w.first.cls];
  if (end == RequestOutcome::refused) {
    tally_.add_rejection(w.first.cls, now - start_);
  }
  if (may_come_again(w, end)) {
    double wait = w.backoff * static_cast<double>(1u << std::min(w.tries - 1, 10u)) *
                  random_.between(0.5, 1.5);
    if (end == RequestOutcome::refused && w.honours) {
      const Duration heeded =
          std::min(retry_after, from_millis(scenario_.limits.max_retry_after_ms));
      wait = std::max(wait, to_seconds(heeded));
    }
    if (now + from_seconds(wait) < w.deadline) {
      return from_seconds(wait);
    }
  }
  const Duration taken = now - w.first.at;
  RequestResult fate = RequestResult::failed;
  if (end == RequestOutcome::served) {
    fate =
        taken <= from_millis(c.latency_objective_ms) ? RequestResult::in_time : RequestResult::late;
  } else if (end == RequestOutcome::refused) {
    fate = RequestResult::refused;
  } else if (end == RequestOutcome::unanswered || end == RequestOutcome::unreachable) {
    fate = RequestResult::unanswered;
  }
  tally_.add_result(w.first.cls, w.worth, w.first.at - start_, fate, c.late_value_fraction, taken);
  free_.push_back(id);
  --open_;
  return std::nullopt;
}

}  // namespace gateway::lab
