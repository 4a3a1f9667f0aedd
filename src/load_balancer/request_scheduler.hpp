// The lifecycle of a request: admission, attempts, retries, hedged requests, the queue of its key
// and its end. A request ends by exactly one of a response, a rejection and a failure.
#pragma once

#include <queue>

#include "load_balancer/active_requests.hpp"
#include "load_balancer/host_selector.hpp"
#include "load_balancer/key_queues.hpp"
#include "load_balancer/request_timer.hpp"

namespace load_balancer {

class RequestScheduler : SelectionContext {
 public:
  RequestScheduler(const SelectionContext& selection_context, ActiveRequests& requests,
                   HostSelector& selector)
      : SelectionContext(selection_context), requests_(requests), selector_(selector) {}

  void on_request(const Request& arrival);
  void on_request_complete(RequestId id);
  void on_response_started(RequestId id, std::uint32_t attempt);
  void on_attempt_result(const AttemptResult& result);
  void on_client_disconnected(RequestId id) {
    ActiveRequest* request = requests_.find(id);
    if (request && !request->ended) {
      end_request(*request);
    }
  }
  void on_wakeup();
  // See Balancer::set_retry_allowance.
  void set_retry_allowance(std::uint64_t retries) { retry_allowance_ = retries; }
  void sweep() { key_queues_.forget_idle(context.now); }
  // Sends the requests whose key has become free. To be called after every event.
  void dispatch_queued();
  // Time of the earliest timer; Time::max(): there is none.
  Time next_timer();

 private:
  Time objective_deadline_of(ActiveRequest& request, const Request& arrival);
  Time latest_useful_time(const ActiveRequest& request) const;
  Duration expected_latency(const ActiveRequest& request) const {
    return scaled(std::chrono::seconds(1),
                  context.classes[request.class_index].typical_latency * request.cost);
  }
  // True if a response after that of the `ahead` requests before it is expected too late. Such a
  // request would block its key and fail in the end.
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
  void enqueue(ActiveRequest& request);
  void dispatch(ActiveRequest& request);
  bool send(ActiveRequest& request);
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
  void reject_or_fail(ActiveRequest& request);
  void send_rejection(const ActiveRequest& request);
  void end_request(ActiveRequest& request) {
    request.ended = true;
    cancel_attempts(request);
    release_if_over(request);
  }
  void cancel_attempts(ActiveRequest& request, std::uint32_t except = kNone);
  void release_if_over(ActiveRequest& request);

  ActiveRequests& requests_;
  HostSelector& selector_;
  std::priority_queue<RequestTimer, std::vector<RequestTimer>, std::greater<>> timers_;
  KeyQueues key_queues_;
  std::vector<std::uint64_t> keys_to_dispatch_;  // may have become free in this event
  double retry_tokens_ = kMaxSavedRetryTokens;
  std::uint64_t retry_allowance_ = UINT64_MAX;  // set from outside this gateway
  static constexpr double kRetryTokensPerRequest = 0.3;
  // Retries that may be saved up, beyond those of one second's requests.
  static constexpr double kMaxSavedRetryTokens = 3;
};

}  // namespace load_balancer
