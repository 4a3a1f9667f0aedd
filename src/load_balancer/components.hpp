// The components of a Balancer, whose interface is include/load_balancer/load_balancer.hpp.
#pragma once

#include "load_balancer/discovery_poller.hpp"
#include "load_balancer/request_scheduler.hpp"

namespace load_balancer {

// A request gets a priority score. If the score is below the shedding threshold, the request is
// shed, otherwise it is sent to a random idle host or, without one, to the less loaded of two
// random hosts. Components are listed in order of dependency: each refers only to those before it.
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

  BalancerComponents(Settings settings, Time start)
      : context(std::move(settings), start), next_sweep(start + kSweepInterval) {}

  // Handles the timers that are due and, every kSweepInterval, updates the statistics.
  void on_wake() {
    scheduler.on_wakeup();
    if (context.now < next_sweep) {
      return;
    }
    next_sweep = context.now + kSweepInterval;
    connections.sweep();
    outlier_detector.sweep();
    hosts.sweep();
    hosts.resize_subset(admission.damped_arrival_rate());
    slow_start.sweep();
    scheduler.sweep();
    admission.sweep();
  }
};

}  // namespace load_balancer
