// The lifecycle of a request: admission, attempts, retries, hedged attempts, the queue of its key
// and its end.
#pragma once

#include <queue>

#include "load_balancer/active_requests.hpp"
#include "load_balancer/host_selector.hpp"
#include "load_balancer/key_queues.hpp"
#include "load_balancer/request_timer.hpp"

namespace load_balancer {

// Runs every active request. A request ends by exactly one of a response, RejectRequest and
// FailRequest, or with the disconnection of its client; it stays active until the results of all
// its attempts have arrived.
class RequestScheduler : SelectionContext {
 public:
  RequestScheduler(const SelectionContext& selection_context, ActiveRequests& requests,
                   HostSelector& selector)
      : SelectionContext(selection_context), requests_(requests), selector_(selector) {}

  // The events of Balancer, under the same names. Unknown ids are ignored.
  void on_request(const Request& arrival);
  void on_request_complete(RequestId id, Duration waited);
  void on_response_started(RequestId id, std::uint32_t attempt);
  void on_attempt_result(const AttemptResult& result);
  void on_client_disconnected(RequestId id) {
    ActiveRequest* request = requests_.find(id);
    if (request && !request->ended) {
      end_request(*request);
    }
  }
  // Handles the timers that are due.
  void on_wakeup();
  // See Balancer::set_latest_response.
  void set_latest_response(Time latest);
  // See Balancer::set_retry_allowance.
  void set_retry_allowance(std::uint64_t retries) { retry_allowance_ = retries; }
  // Forgets keys without requests and cooldown. To be called every kSweepInterval.
  void sweep() { key_queues_.forget_idle(context.now); }
  // Sends the queued requests whose key has become free. To be called after every event.
  void dispatch_queued();
  // Time of the earliest timer of an active request; Time::max(): there is none.
  Time next_timer();

 private:
  Time objective_deadline_of(ActiveRequest& request, const Request& arrival);
  Time latest_useful_time(const ActiveRequest& request) const;
  Duration expected_latency(const ActiveRequest& request) const {
    return scaled(std::chrono::seconds(1),
                  context.classes[request.class_index].typical_latency * request.cost);
  }
  // True if a response, after those to the `ahead` requests before it, is expected too late. Such a
  // request would delay the others of its key and fail in the end.
  bool would_be_late(const ActiveRequest& request, std::size_t ahead) const {
    return context.now + static_cast<Duration::rep>(ahead + 1) * expected_latency(request) >=
           latest_useful_time(request);
  }
  bool is_serialized(const ActiveRequest& request) const {
    return request.has_key && context.classes[request.class_index].settings.serialize_by_key;
  }
  void add_timer(const ActiveRequest& request, Time at, TimerKind kind) {
    timers_.push({at, requests_.slot(request), request.generation, kind});
  }
  void add_deadline_timer(const ActiveRequest& request) {
    add_timer(request, request.deadline - context.settings.event_batch_interval,
              TimerKind::response_deadline);
  }
  void limit_deadline(ActiveRequest& request) const {
    request.deadline = std::min(request.deadline, latest_response_);
  }
  // Counts the client's time from now on, as its body is incomplete.
  void restart_clock(ActiveRequest& request, Duration waited = {}) const {
    request.restart_clock(context.now - waited);
    limit_deadline(request);
  }
  // Appends a request to the queue of its key, or rejects it if those ahead would make it too late.
  void enqueue(ActiveRequest& request);
  void dispatch(ActiveRequest& request);
  // Sends an attempt if a host may get one and a response in time is possible. False: not sent.
  bool send(ActiveRequest& request);
  // The same for a retry or hedged attempt, within the retry budgets of gateway and fleet.
  bool retry(ActiveRequest& request) {
    if (retry_tokens_ < 1 || retry_allowance_ == 0 || !send(request)) {
      return false;
    }
    retry_tokens_ -= 1;
    --retry_allowance_;
    return true;
  }
  // Counts an attempt as load of the host.
  void track_in_flight(const ActiveRequest& request, Host& host) {
    host.outstanding_attempts.push_back(requests_.reference(request));
    hosts.add_in_flight(host, 1);
  }
  // Ends the request without a response.
  void reject_or_fail(ActiveRequest& request, EndReason reason);
  void send_rejection(const ActiveRequest& request, EndReason reason);
  void end_request(ActiveRequest& request) {
    request.ended = true;
    cancel_attempts(request);
    release_if_over(request);
  }
  // Cancels the attempts in flight, if the embedding proxy can, except the number `except`.
  void cancel_attempts(ActiveRequest& request, std::uint32_t except = kNone);
  // Removes the request if it has ended and no attempt is in flight; `request` is invalid then.
  void release_if_over(ActiveRequest& request);

  ActiveRequests& requests_;
  HostSelector& selector_;
  std::priority_queue<RequestTimer, std::vector<RequestTimer>, std::greater<>> timers_;
  KeyQueues key_queues_;
  std::vector<std::uint64_t> keys_to_dispatch_;  // those that may have become free in this event
  Time latest_response_ = Time::max();           // see Balancer::set_latest_response
  double retry_tokens_ = kMaxSavedRetryTokens;
  std::uint64_t retry_allowance_ = UINT64_MAX;  // of this gateway, from the budget of the fleet
  // Retries per request: bounds the extra load when most attempts fail.
  static constexpr double kRetryTokensPerRequest = 0.3;
  // Retries that may be saved up beyond those for the requests of one second.
  static constexpr double kMaxSavedRetryTokens = 3;
};

}  // namespace load_balancer
