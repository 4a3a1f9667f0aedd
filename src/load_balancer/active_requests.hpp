// The active requests, with their attempts: those that have no response, rejection or failure yet,
// or that have attempts in flight.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

#include "load_balancer/load_balancer.hpp"

namespace load_balancer {

// Attempts recorded for one request; Settings::max_attempts has no effect beyond it.
constexpr std::size_t kMaxRecordedAttempts = 8;

// An attempt of an active request. Its number is its index in ActiveRequest::attempts.
struct Attempt {
  HostId host = kNone;
  Time sent_at{};
  bool in_flight = false;       // its result has not arrived
  bool may_have_run = false;    // the host may have processed it
  bool cancelled = false;       // CancelAttempt was emitted
  bool new_connection = false;  // no open connection had a free stream
  // Idle time of the connection it uses, as a step of IdleLossEstimator; 0: new or just used.
  std::size_t idle_step = 0;
};

// A request, with what its scheduling depends on.
struct ActiveRequest {
  RequestId id = 0;
  std::uint32_t generation = 0;  // of its slot
  std::uint32_t class_index = kNone;
  Time started_at{};
  Time deadline{};            // end of the client's timeout
  Time objective_deadline{};  // a later response has only the late value fraction of its class
  double cost = 0;            // multiple of the class's mean, 0.2 to 5; 1: unknown
  double priority_score = 0;  // 1 to 100
  std::uint64_t key = 0;
  bool has_key = false;
  bool is_live = false;           // its slot is in use
  bool ended = false;             // the client needs no further response
  bool response_started = false;  // a response has begun to reach the client
  bool body_pending = false;      // see Request::body_pending
  std::array<Attempt, kMaxRecordedAttempts> attempts;
  std::uint32_t attempt_count = 0;  // elements of `attempts` in use
  std::uint32_t attempts_in_flight = 0;

  // Sets its start to `now` and moves its deadlines by the same time. Called while its body is
  // incomplete, as the time of the upload does not count.
  void restart_clock(Time now);
};

// Owns the active requests, in slots. Slots are reused, so a reference to a request is its slot and
// the generation of the slot. Pointers and references to a request are valid until the next add().
class ActiveRequests {
 public:
  using Reference = std::pair<std::uint32_t, std::uint32_t>;  // slot, generation

  // Null if a request with that id is active.
  ActiveRequest* add(RequestId id);
  void remove(ActiveRequest& request);
  ActiveRequest* find(RequestId id);         // null: not active
  ActiveRequest* find(Reference reference);  // null: removed; its slot may be reused
  ActiveRequest& at(std::uint32_t slot) { return slots_[slot]; }
  std::uint32_t slot(const ActiveRequest& request) const {
    return static_cast<std::uint32_t>(&request - slots_.data());
  }
  Reference reference(const ActiveRequest& request) const {
    return {slot(request), request.generation};
  }
  std::size_t size() const { return slot_of_.size(); }
  // Calls `handler` for each request; it must neither add nor remove one.
  template <class Handler>
  void for_each(Handler handler) {
    for (ActiveRequest& request : slots_) {
      if (request.is_live) {
        handler(request);
      }
    }
  }

  // The request's first attempt in flight at `host`; null if there is none or the request is over.
  const Attempt* attempt_in_flight(Reference reference, HostId host) const;

 private:
  std::vector<ActiveRequest> slots_;
  std::vector<std::uint32_t> free_slots_;
  std::unordered_map<RequestId, std::uint32_t> slot_of_;
};

}  // namespace load_balancer
