// The components of a Balancer. Interface (types, events, actions):
// include/load_balancer/load_balancer.hpp.
//
// A request gets a priority score, is shed below the threshold and otherwise sent to a random idle
// host, or to the less loaded of two random ones. Each component knows only those before it.
#pragma once

#include "load_balancer/discovery_poller.hpp"
#include "load_balancer/request_scheduler.hpp"

namespace load_balancer {

struct BalancerComponents {
  Context context;
  ActiveRequests requests;
  HostSet hosts{context};
  DiscoveryPoller discovery_poller{context};
  AdmissionController admission{context, hosts};
  OutlierDetector outlier_detector{context, hosts, admission, requests};
  ConnectionTracker connections{context, hosts};
  SlowStart slow_start{context, hosts, admission};
  SelectionContext selection_context{context,          hosts,       admission,
                                     outlier_detector, connections, slow_start};
  HostSelector selector{selection_context};
  RequestScheduler scheduler{selection_context, requests, selector};
  Time next_sweep;

  BalancerComponents(Settings s, Time t)
      : context(std::move(s), t), next_sweep(t + kSweepInterval) {}

  void on_wake() {
    scheduler.on_wakeup();
    if (context.now < next_sweep) {
      return;
    }
    next_sweep = context.now + kSweepInterval;
    connections.sweep();
    outlier_detector.sweep();
    hosts.sweep();
    hosts.resize_subset(admission.confirmed_rate());
    slow_start.sweep();
    scheduler.sweep();
    admission.sweep();
  }
};

}  // namespace load_balancer
