#include "load_balancer/discovery_poller.hpp"

namespace load_balancer {
namespace {

// Mean wait after a failed poll, before a jitter of +-50 %. The endpoint list must be in force 6 s
// after discovery can be reached again, whatever Settings::max_poll_interval is. In that time a
// call may be lost (2.1 s until it is overdue, see DiscoveryClient::Timeouts), this wait passes
// (1.65 s at most) and the response to the next call may take 2.1 s.
constexpr Duration kRetryDelay = std::chrono::milliseconds(1100);

}  // namespace

void DiscoveryPoller::on_endpoint_update(EndpointUpdateKind kind) {
  if (kind == EndpointUpdateKind::unavailable) {
    polling_ = false;
    // Limited before the jitter: a limit after it would make all gateways poll at the same moment.
    const Duration mean_wait = context_.settings.max_poll_interval > Duration{}
                                   ? std::min(kRetryDelay, context_.settings.max_poll_interval / 5)
                                   : kRetryDelay;
    next_poll_at_ = context_.now + scaled(mean_wait, 0.5 + context_.draw_unit());
  } else if (kind == EndpointUpdateKind::restored) {
    if (context_.settings.poll_discovery) {
      next_poll_at_ = context_.now;  // the list may be stale
    }
  } else {
    responded_ = true;
  }
}

void DiscoveryPoller::poll_if_due() {
  // Without this a lost response would end polling for good.
  const bool is_response_lost = !responded_ && context_.settings.max_poll_interval > Duration{} &&
                                context_.now - polled_at_ > context_.settings.max_poll_interval / 2;
  if (!context_.settings.poll_discovery || (polling_ && !is_response_lost) ||
      context_.now < next_poll_at_) {
    return;
  }
  context_.emit(PollEndpoints{});
  polling_ = true;
  responded_ = false;
  polled_at_ = context_.now;
}

}  // namespace load_balancer
