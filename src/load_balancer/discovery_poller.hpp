// Polls service discovery for the endpoint list. It decides nothing about requests.
#pragma once

#include "load_balancer/context.hpp"

namespace load_balancer {

// A successful poll is not repeated: the embedding proxy then passes on every change by itself. A
// poll is repeated after a failure, and if its response is overdue by half of
// Settings::max_poll_interval.
class DiscoveryPoller {
 public:
  explicit DiscoveryPoller(Context& context) : context_(context) {}
  // Discovery has responded, failed (`unavailable`) or the list comes from a cache (`restored`).
  void on_endpoint_update(EndpointUpdateKind kind);
  // Emits PollEndpoints if a poll is due. To be called after every event. Never polls unless
  // Settings::poll_discovery is set.
  void poll_if_due();

 private:
  Context& context_;
  bool polling_ = false;    // a poll was sent and has not failed
  bool responded_ = false;  // discovery has responded to the last poll
  Time polled_at_{};
  Time next_poll_at_{};
};

}  // namespace load_balancer
