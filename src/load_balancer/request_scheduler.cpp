#include "load_balancer/request_scheduler.hpp"

namespace load_balancer {
namespace {

// A hedged attempt is sent after this multiple of the expected latency.
constexpr double kHedgeLatencies = 2.5;
// Remaining times that differ by less than this fraction of the client timeout count as equal.
constexpr double kTimeBucketFraction = 0.02;
// Lower bound of the Retry-After, as a fraction of the maximum. It applies to the highest scores.
constexpr double kMinRetryAfterFraction = 0.1;

}  // namespace

void RequestScheduler::on_request(const Request& arrival) {
  ActiveRequest* added = requests_.add(arrival.id);
  if (!added) {
    return;
  }
  ActiveRequest& request = *added;
  request.started_at = context.now;
  request.body_pending = arrival.body_pending;
  const auto unknown_class = static_cast<std::uint32_t>(context.settings.classes.size());
  request.class_index = std::min(arrival.class_index, unknown_class);
  ClassState& class_state = context.classes[request.class_index];
  const double cost = to_seconds(arrival.cost);
  if (cost > 0) {
    class_state.mean_cost =
        class_state.mean_cost > 0
            ? class_state.mean_cost + kMovingAverageGain * (cost - class_state.mean_cost)
            : cost;
  }
  request.cost = cost > 0 ? std::clamp(cost / class_state.mean_cost, 0.2, 5.0) : 1.0;
  request.key = arrival.key;
  request.has_key = arrival.has_key;
  const Duration waited = arrival.body_pending ? Duration{} : arrival.waited;
  request.deadline = context.now - waited + arrival.time_remaining;
  limit_deadline(request);
  request.objective_deadline = objective_deadline_of(request, arrival) - waited;
  request.priority_score = admission.priority_score(request, arrival.tenant_index);
  admission.on_arrival(request);
  retry_tokens_ =
      std::min(retry_tokens_ + kRetryTokensPerRequest,
               kMaxSavedRetryTokens + kRetryTokensPerRequest * admission.arrival_rate());
  if (request.priority_score < admission.shedding_threshold()) {
    send_rejection(request, EndReason::below_threshold);
    end_request(request);
  } else if (is_serialized(request)) {
    enqueue(request);
  } else {
    if (!request.body_pending) {
      add_deadline_timer(request);
    }
    dispatch(request);
  }
}

// Returns the time at which the latency objective of the client's operation passes. The first
// request of an operation arrives with the whole client timeout, a retry by the client with the
// rest of it, so the remaining time shows how much of the objective has been used before. The usual
// remaining time, that of first requests, is the most frequent one and not the median: in an
// overload client retries outnumber first requests, and by the median first requests would look
// late, would be shed and retried, which sustains the overload. Remaining times of first requests
// coincide while those of retries vary. The estimate is wrong if clients use many different
// timeouts.
Time RequestScheduler::objective_deadline_of(ActiveRequest& request, const Request& arrival) {
  ClassState& class_state = context.classes[request.class_index];
  const Duration bucket_width = scaled(class_state.settings.client_timeout, kTimeBucketFraction);
  const std::size_t bucket = class_state.record_time_remaining(
      to_seconds(arrival.time_remaining) / std::max(to_seconds(bucket_width), 1e-9));
  if (bucket == class_state.usual_bucket) {
    class_state.usual_time_remaining = arrival.time_remaining;
  }
  const bool has_usual_time_remaining =
      arrival.time_remaining > class_state.usual_time_remaining - bucket_width &&
      arrival.time_remaining < class_state.usual_time_remaining + bucket_width;
  const Duration time_used =
      has_usual_time_remaining
          ? Duration{}
          : std::max(class_state.settings.client_timeout - arrival.time_remaining, Duration{});
  return context.now - time_used + class_state.settings.latency_objective +
         scaled(arrival.cost, class_state.settings.latency_objective_per_cost);
}

// Sends the first attempt. With little traffic a response that misses the latency objective is
// reported at that moment, not only with the result of the attempt.
void RequestScheduler::dispatch(ActiveRequest& request) {
  const ClassState& class_state = context.classes[request.class_index];
  if (!send(request)) {
    return reject_or_fail(request, EndReason::no_attempt_possible);
  }
  if (admission.confidence() < 1) {
    add_timer(request, request.objective_deadline, TimerKind::latency_objective);
  }
  if (context.settings.allow_hedging && !request.body_pending &&
      class_state.settings.idempotency != Idempotency::non_idempotent &&
      class_state.typical_latency > 0) {
    add_timer(request, context.now + scaled(expected_latency(request), kHedgeLatencies),
              TimerKind::hedge);
  }
}

bool RequestScheduler::send(ActiveRequest& request) {
  const Time attempt_deadline = latest_useful_time(request);
  if (attempt_deadline <= context.now ||
      request.attempt_count >=
          std::min<std::size_t>(context.settings.max_attempts, kMaxRecordedAttempts)) {
    return false;
  }
  // While load is shed, an attempt whose response is expected too late would only take capacity
  // from other requests. Otherwise there is capacity to try it.
  if (admission.shedding_threshold() > 1 && would_be_late(request, 0)) {
    return false;
  }
  const HostId id = selector_.select(request);
  if (id == kNone) {
    return false;
  }
  const Time latest_start = selector_.latest_start(request);
  Host& host = hosts.at(id);
  slow_start.on_sent(host);
  Attempt& attempt = request.attempts[request.attempt_count];
  attempt = {id, context.now, true, true};
  connections.on_attempt_sent(host, id, attempt);
  if (!request.body_pending) {
    track_in_flight(request, host);
  }
  ++host.references;
  ++request.attempts_in_flight;
  const Duration must_start_within =
      latest_start < Time::max() ? latest_start - context.now : Duration::max();
  context.emit(SendAttempt{request.id, request.attempt_count++, id, attempt_deadline - context.now,
                           must_start_within});
  return true;
}

// NOLINTNEXTLINE(readability-function-size): all effects of a result
void RequestScheduler::on_attempt_result(const AttemptResult& result) {
  ActiveRequest* active = requests_.find(result.request);
  if (!active || result.attempt >= active->attempt_count ||
      !active->attempts[result.attempt].in_flight) {
    return;
  }
  ActiveRequest& request = *active;
  Attempt& attempt = request.attempts[result.attempt];
  Host& host = hosts.at(attempt.host);
  attempt.in_flight = false;
  --request.attempts_in_flight;
  if (request.body_pending) {
    restart_clock(request);
  } else {
    hosts.add_in_flight(host, -1);
  }
  if (result.outcome == AttemptOutcome::rejected_by_host ||
      result.outcome == AttemptOutcome::connect_failed ||
      result.outcome == AttemptOutcome::not_sent) {
    attempt.may_have_run = false;
  }
  outlier_detector.on_attempt_result(host, request, result);
  if (result.outcome == AttemptOutcome::success) {
    slow_start.on_success(host);
  }
  host.last_used_at = context.now;
  if (attempt.new_connection && result.outcome == AttemptOutcome::success) {
    host.consecutive_connect_failures = 0;
  }
  connections.on_attempt_result(host, attempt, result.outcome);
  const bool effect_unknown = result.outcome == AttemptOutcome::timeout ||
                              result.outcome == AttemptOutcome::reset ||
                              result.outcome == AttemptOutcome::cancelled;
  if (effect_unknown && is_serialized(request)) {
    key_queues_.set_cooldown(request.key, context.now + context.settings.key_cooldown);
  }
  if (result.is_final && !request.ended) {
    return end_request(request);
  }
  if (request.ended) {
    return release_if_over(request);
  }
  if (request.response_started || request.attempts_in_flight > 0) {
    return;
  }
  if (result.outcome == AttemptOutcome::bad_request) {
    context.emit(FailRequest{request.id, EndReason::invalid_request});
    return end_request(request);
  }
  const bool may_retry = !result.request_consumed && latest_useful_time(request) > context.now &&
                         result.outcome != AttemptOutcome::not_sent;
  if (!may_retry || !retry(request)) {
    reject_or_fail(request, EndReason::attempts_exhausted);
  }
}

// From here on the attempts count as load of their hosts. If they counted from the first byte of
// the request, a long upload would make its host appear slow and all hosts overloaded.
void RequestScheduler::on_request_complete(RequestId id, Duration waited) {
  ActiveRequest* request = requests_.find(id);
  if (!request || !request->body_pending) {
    return;
  }
  restart_clock(*request, waited);
  request->body_pending = false;
  for (std::uint32_t i = 0; i < request->attempt_count; ++i) {
    if (request->attempts[i].in_flight) {
      request->attempts[i].sent_at = context.now;
      track_in_flight(*request, hosts.at(request->attempts[i].host));
    }
  }
  if (!request->ended) {
    add_deadline_timer(*request);
  }
}

void RequestScheduler::set_latest_response(Time latest) {
  latest_response_ = latest;
  requests_.for_each([&](ActiveRequest& request) {
    if (request.ended || request.deadline <= latest) {
      return;
    }
    limit_deadline(request);
    add_deadline_timer(request);
  });
}

void RequestScheduler::on_response_started(RequestId id, std::uint32_t attempt) {
  ActiveRequest* request = requests_.find(id);
  if (!request || request->ended || attempt >= request->attempt_count) {
    return;
  }
  request->response_started = true;
  cancel_attempts(*request, attempt);
}

// Sends a rejection if a retry by the client is safe: no attempt can have run at its host, or the
// class is idempotent, or it is deduplicated by all hosts, no attempt is in flight and a retry
// after the longest Retry-After comes within the deduplication window. Otherwise the request fails.
void RequestScheduler::reject_or_fail(ActiveRequest& request, EndReason reason) {
  const ClassSettings& class_settings = context.classes[request.class_index].settings;
  bool may_have_run = false;
  for (std::uint32_t i = 0; i < request.attempt_count; ++i) {
    may_have_run |= request.attempts[i].may_have_run;
  }
  const bool is_retry_safe =
      !may_have_run || class_settings.idempotency == Idempotency::idempotent ||
      (class_settings.idempotency == Idempotency::deduplicated &&
       class_settings.deduplication_scope == DeduplicationScope::global &&
       request.attempts_in_flight == 0 &&
       context.now + context.settings.max_retry_after <= selector_.latest_start(request));
  if (is_retry_safe) {
    send_rejection(request, reason);
  } else {
    context.emit(FailRequest{request.id, reason});
  }
  end_request(request);
}

// The Retry-After grows as the score falls. Its jitter of -50 % to 0 spreads the clients' retries.
void RequestScheduler::send_rejection(const ActiveRequest& request, EndReason reason) {
  Duration retry_after{};
  if (context.settings.send_retry_after) {
    retry_after = scaled(context.settings.max_retry_after,
                         std::max(1 - request.priority_score / 100, kMinRetryAfterFraction) *
                             (0.5 + 0.5 * context.draw_unit()));
  }
  context.emit(RejectRequest{request.id, retry_after, reason});
}

void RequestScheduler::cancel_attempts(ActiveRequest& request, std::uint32_t except) {
  if (!context.settings.allow_cancellation) {
    return;
  }
  for (std::uint32_t i = 0; i < request.attempt_count; ++i) {
    if (request.attempts[i].in_flight && !request.attempts[i].cancelled && i != except) {
      request.attempts[i].cancelled = true;
      context.emit(CancelAttempt{request.id, i});
    }
  }
}

void RequestScheduler::release_if_over(ActiveRequest& request) {
  if (!request.ended || request.attempts_in_flight > 0) {
    return;
  }
  if (is_serialized(request)) {
    key_queues_.remove(request.key, requests_.slot(request));
    keys_to_dispatch_.push_back(request.key);
  }
  requests_.remove(request);
  for (std::uint32_t i = 0; i < request.attempt_count; ++i) {
    --hosts.at(request.attempts[i].host).references;
    hosts.forget_if_unused(request.attempts[i].host);
  }
}

// --- Requests that run one at a time by key ---

// Requests of one key must neither run at the same time nor out of order. A request stays in the
// queue of its key until all its attempts have ended, and only the first one in the queue is sent.
// After an outcome of unknown effect the key has a cooldown, because the host may still process the
// attempt. Keys that become free during the loop are appended to its list.
void RequestScheduler::dispatch_queued() {
  // NOLINTNEXTLINE(modernize-loop-convert): the loop appends to the list
  for (std::size_t i = 0; i < keys_to_dispatch_.size(); ++i) {
    const KeyQueue* queue = key_queues_.find_waiting(keys_to_dispatch_[i]);
    if (!queue) {
      continue;
    }
    ActiveRequest& request = requests_.at(queue->slots.front());
    if (request.ended || request.attempt_count > 0) {
      continue;
    }
    if (context.now < queue->cooldown_until) {
      add_timer(request, queue->cooldown_until, TimerKind::key_turn);
    } else {
      dispatch(request);
    }
  }
  keys_to_dispatch_.clear();
}

void RequestScheduler::enqueue(ActiveRequest& request) {
  const std::size_t ahead = key_queues_.enqueue(request.key, requests_.slot(request));
  if (ahead > 0 && would_be_late(request, ahead)) {
    return reject_or_fail(request, EndReason::key_queue_too_long);
  }
  add_deadline_timer(request);
  add_timer(request, latest_useful_time(request) - expected_latency(request), TimerKind::key_turn);
  keys_to_dispatch_.push_back(request.key);
}

// Latest time at which a response still has a value and reaches the client. The margin of two batch
// intervals covers the delay of the events, once for the attempt and once for its result.
Time RequestScheduler::latest_useful_time(const ActiveRequest& request) const {
  const Time latest = request.deadline - 2 * context.settings.event_batch_interval;
  return context.classes[request.class_index].settings.late_value_fraction > 0
             ? latest
             : std::min(latest,
                        request.objective_deadline - 2 * context.settings.event_batch_interval);
}

void RequestScheduler::on_wakeup() {
  while (!timers_.empty() && timers_.top().at <= context.now) {
    const RequestTimer timer = timers_.top();
    timers_.pop();
    ActiveRequest* request =
        requests_.find(ActiveRequests::Reference{timer.slot, timer.generation});
    if (!request || request->ended || request->response_started) {
      continue;
    }
    // The response deadline covers results that never arrive. A hedged attempt limits the delay by
    // a slow host that outlier detection has not found yet; it is sent only while no load is shed.
    if (timer.kind == TimerKind::key_turn && is_serialized(*request) &&
        request->attempt_count == 0) {
      keys_to_dispatch_.push_back(request->key);
      if (would_be_late(*request, 0)) {
        reject_or_fail(*request, EndReason::key_queue_too_long);
      }
    } else if (timer.kind == TimerKind::response_deadline && !request->body_pending) {
      reject_or_fail(*request, EndReason::deadline);
    } else if (timer.kind == TimerKind::latency_objective && request->attempts_in_flight > 0) {
      outlier_detector.on_response_timeliness(
          hosts.at(request->attempts[request->attempt_count - 1].host), true);
    } else if (timer.kind == TimerKind::hedge && request->attempts_in_flight == 1 &&
               admission.shedding_threshold() <= 1) {
      retry(*request);
    }
  }
}

Time RequestScheduler::next_timer() {
  while (!timers_.empty()) {
    const ActiveRequest* request =
        requests_.find(ActiveRequests::Reference{timers_.top().slot, timers_.top().generation});
    if (request && !request->ended) {
      return timers_.top().at;
    }
    timers_.pop();
  }
  return Time::max();
}

}  // namespace load_balancer
