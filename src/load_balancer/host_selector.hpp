// Selection of the host of an attempt.
#pragma once

#include "load_balancer/connection_tracker.hpp"
#include "load_balancer/key_frequency.hpp"
#include "load_balancer/outlier_detector.hpp"
#include "load_balancer/slow_start.hpp"

namespace load_balancer {

// The components that selection and scheduling depend on.
struct SelectionContext {
  Context& context;
  HostSet& hosts;
  AdmissionController& admission;
  OutlierDetector& outlier_detector;
  ConnectionTracker& connections;
  SlowStart& slow_start;
};

// Selects a random idle host, weighted by latency, health and free cores, or without an idle host
// the less loaded of two random ones. With key affinity the hosts of the key come first.
class HostSelector : SelectionContext {
 public:
  explicit HostSelector(const SelectionContext& selection_context)
      : SelectionContext(selection_context) {}

  // The host for the next attempt; kNone if the rules allow no host.
  HostId select(const ActiveRequest& request);
  // Latest start of another attempt: after an attempt of a deduplicated request that may have run,
  // hosts drop duplicates only for the deduplication window. Time::max(): there is no such bound.
  Time latest_start(const ActiveRequest& request) const;

 private:
  // True if few attempts are in flight; a fast host may have more.
  bool is_idle(const Host& host) const {
    return host.in_flight < idle_threshold_ * outlier_detector.median_relative_latency() /
                                std::max(host.relative_latency, 0.05);
  }
  // In-flight count with one more attempt, weighted by the relative latency of the host.
  double relative_load(const Host& host) const {
    return (host.in_flight + 1) * host.relative_latency;
  }
  // Relative probability of the host among idle ones.
  double weight(const Host& host, const ActiveRequest& request) const;
  // A host for a request with a key, or kNone.
  HostId select_key_host();
  // Factor of the selection weight for the host's connections.
  double connection_preference(const Host& host) const;
  bool is_allowed(const ActiveRequest& request, const Host& host) const;
  // Number of hosts that serve the key of the request; 0 without a key or key affinity. Counts the
  // key with many gateways.
  std::size_t key_host_count(const ActiveRequest& request);
  // Fills candidates_. `relaxed`: also with hosts that are unhealthy, in backoff or already
  // attempted.
  void collect_candidates(const ActiveRequest& request, bool relaxed);
  void add_if_eligible(const ActiveRequest& request, HostId id, bool relaxed);

  double idle_threshold_ = 1;           // in flight at a host of median latency: fewer is idle
  std::vector<HostId> candidates_;      // for the present request
  KeyFrequency key_frequency_;          // over the selections
  bool found_idle_ = false;             // a candidate is idle
  std::uint64_t selection_number_ = 0;  // marks the hosts that a pass has examined
};

}  // namespace load_balancer
