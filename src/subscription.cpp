#include "subscription.hpp"

namespace ochrehill {
namespace {

// Before the jitter of a half. Danger: what discovery has binds some seconds after it can be reached again,
// whatever the settings say of asking, and it may answer two seconds late.
constexpr Duration kLongestWait = std::chrono::milliseconds(1300);

}  // namespace

void Subscription::onHosts(ListKind kind) {
  if (kind == ListKind::unavailable) {
    failures_ = std::min(failures_ + 1, 4);
    asking_ = false;
    Duration wait = std::min<Duration>(std::chrono::milliseconds(500) * (1 << failures_), kLongestWait);
    // Danger: a limit set after the jitter makes all gateways come back in one moment.
    if (c_.set.askWithin > Duration{}) wait = std::min(wait, c_.set.askWithin / 5);
    again_ = c_.now + scaled(wait, 0.5 + c_.drawUnit());
  } else if (kind == ListKind::restored) {
    if (c_.set.askDiscovery) again_ = c_.now;  // it may be stale: ask at once
  } else {
    failures_ = 0;
    answered_ = true;
  }
}

void Subscription::ask() {
  // Danger: a call whose answer is lost would leave the gateway silent towards discovery for good.
  const bool lost = !answered_ && c_.set.askWithin > Duration{} && c_.now - askedAt_ > c_.set.askWithin / 2;
  if (!c_.set.askDiscovery || (asking_ && !lost) || c_.now < again_) return;
  c_.emit(ActionKind::subscribe);
  asking_ = true;  // until it fails
  answered_ = false;
  askedAt_ = c_.now;
}

}  // namespace ochrehill
