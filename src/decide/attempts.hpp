// The life of a request: its first attempt, repeats, second copies, its turn among those of its key, its end.
// Exactly one of an answer, a refusal and a failure ends it.
#pragma once

#include <queue>

#include "decide/pick.hpp"

namespace ochrehill {

class Attempts : Known {
 public:
  Attempts(const Known& known, OpenRequests& requests, Pick& pick)
      : Known(known), requests_(requests), pick_(pick) {}

  void onRequest(const Request& q);
  void onWhole(RequestId id);
  void onAnswerStarted(RequestId id, std::uint32_t attempt);
  void onResult(const AttemptResult& a);
  void onClientGone(RequestId id) {
    Open* r = requests_.find(id);
    if (r && !r->ended) end(*r);
  }
  void onWake();
  void allow(std::uint64_t resends) { allowed_ = resends; }  // see Balancer::onAllowance
  void sweep() { turns_.forgetIdle(c_.now); }
  void passTurns();  // after every event
  Time nextGuard();  // Time::max(): none

 private:
  Time useful(Open& r, const Request& q);
  Time lastUse(const Open& r) const;
  Duration usualTime(const Open& r) const {
    return scaled(std::chrono::seconds(1), c_.classes[r.cls].norm * r.cost);
  }
  // Danger: one that waits for its turn past its use holds up its key and is a late failure in the end.
  bool hopeless(const Open& r, std::size_t ahead) const {
    return c_.now + static_cast<Duration::rep>(ahead + 1) * usualTime(r) >= lastUse(r);
  }
  bool inTurn(const Open& r) const { return r.hasKey && c_.classes[r.cls].set.inTurn; }
  void guard(const Open& r, Time at, Due due) { guards_.push({at, requests_.slot(r), r.generation, due}); }
  void enqueue(Open& r);
  void dispatch(Open& r);
  bool send(Open& r);
  bool resend(Open& r) {
    if (retryTokens_ < 1 || allowed_ == 0 || !send(r)) return false;
    retryTokens_ -= 1, --allowed_;
    return true;
  }
  void hold(const Open& r, Host& h) {  // the host has work of it from now on
    h.sent.push_back(requests_.reference(r));
    fleet_.hold(h, 1);
  }
  void finish(Open& r);
  void refuse(const Open& r);
  void end(Open& r) {
    r.ended = true;
    cancelOut(r);
    release(r);
  }
  void cancelOut(Open& r, std::uint32_t except = kNone);
  void release(Open& r);

  OpenRequests& requests_;
  Pick& pick_;
  std::priority_queue<Guard, std::vector<Guard>, std::greater<>> guards_;
  Turns turns_;
  std::vector<std::uint64_t> turnsDue_;  // keys whose turn may have passed on in this event
  double retryTokens_ = kRetrySaved;
  std::uint64_t allowed_ = UINT64_MAX;  // by others than this gateway
  // Resends per new request; and those that may be saved up, beyond those of a second.
  static constexpr double kRetryShare = 0.3, kRetrySaved = 3;
};

}  // namespace ochrehill
