#include "lab/model/clients.hpp"

#include <algorithm>

namespace gateway::lab {

Clients::Clients(const Scenario& s, std::uint64_t seed, Time start, RunMetrics& metrics)
    : scenario_(s), metrics_(metrics), random_(seed, "clients"), start_(start) {
  timeout_share_ = s.clients.timeout_share.draw(random_);
  backoff_ = s.clients.backoff_ms.draw(random_) / 1e3;
}

Clients::OperationId Clients::begin_operation(const Arrival& arrival) {
  if (free_ids_.empty()) {
    free_ids_.push_back(static_cast<OperationId>(operations_.size()));
    operations_.emplace_back();
  }
  const OperationId id = free_ids_.back();
  free_ids_.pop_back();
  ++open_operations_;
  const ClassSpec& c = scenario_.classes[arrival.cls];
  Operation& operation = operations_[id] = Operation{};
  operation.arrival = arrival;
  operation.deadline = arrival.at + from_millis(c.client_timeout_ms);
  operation.honours_retry_after = random_.chance(scenario_.clients.retry_after_compliance);
  operation.timeout_share = timeout_share_;
  operation.backoff = backoff_;
  operation.value = c.priority_weight * arrival.work;  // the weight counts per unit of work
  metrics_.add_operation(arrival.cls, operation.value, arrival.at - start_);
  return id;
}

Clients::RequestPlan Clients::begin_request(Time now, OperationId id) {
  Operation& operation = operations_[id];
  ++operation.requests;
  ++metrics_.classes[operation.arrival.cls].requests;
  const Duration client_timeout =
      from_millis(scenario_.classes[operation.arrival.cls].client_timeout_ms);
  RequestPlan plan;
  plan.timeout =
      std::min(Duration(static_cast<Duration::rep>(static_cast<double>(client_timeout.count()) *
                                                   operation.timeout_share)),
               operation.deadline - now);
  if (random_.chance(scenario_.clients.early_disconnect_share)) {
    plan.disconnect_after = Duration(
        static_cast<Duration::rep>(static_cast<double>(plan.timeout.count()) * random_.unit()));
  }
  return plan;
}

// Clients retry after any failure if the class is idempotent or deduplicated by all hosts. They
// retry other requests only when these cannot have run: after a rejection or without a connection.
bool Clients::may_retry(const Operation& operation, RequestOutcome outcome) const {
  if (outcome == RequestOutcome::served || operation.requests > scenario_.clients.retries) {
    return false;
  }
  const ClassSpec& c = scenario_.classes[operation.arrival.cls];
  if (outcome == RequestOutcome::refused || outcome == RequestOutcome::unreachable) {
    return true;
  }
  return c.idempotency == "retryable" ||
         (c.idempotency == "dedup" && c.deduplication_scope == "all");
}

std::optional<Duration> Clients::end_request(Time now, OperationId id, RequestOutcome outcome,
                                             Duration retry_after) {
  Operation& operation = operations_[id];
  const ClassSpec& c = scenario_.classes[operation.arrival.cls];
  if (outcome == RequestOutcome::refused) {
    metrics_.add_rejection(operation.arrival.cls, now - start_);
  }
  if (may_retry(operation, outcome)) {
    double wait = operation.backoff *
                  static_cast<double>(1u << std::min(operation.requests - 1, 10u)) *
                  random_.between(0.5, 1.5);
    if (outcome == RequestOutcome::refused && operation.honours_retry_after) {
      const Duration bounded_retry_after =
          std::min(retry_after, from_millis(scenario_.limits.max_retry_after_ms));
      wait = std::max(wait, to_seconds(bounded_retry_after));
    }
    if (now + from_seconds(wait) < operation.deadline) {
      return from_seconds(wait);
    }
  }
  const Duration elapsed = now - operation.arrival.at;
  RequestResult result = RequestResult::failed;
  if (outcome == RequestOutcome::served) {
    result = elapsed <= from_millis(c.latency_objective_ms) ? RequestResult::in_time
                                                            : RequestResult::late;
  } else if (outcome == RequestOutcome::refused) {
    result = RequestResult::refused;
  } else if (outcome == RequestOutcome::unanswered || outcome == RequestOutcome::unreachable) {
    result = RequestResult::unanswered;
  }
  metrics_.add_result(operation.arrival.cls, operation.value, operation.arrival.at - start_, result,
                      c.late_value_fraction, elapsed);
  free_ids_.push_back(id);
  --open_operations_;
  return std::nullopt;
}

}  // namespace gateway::lab
