// Selects the host of an attempt: a random idle one, or the less loaded of two random ones. With
// key affinity the hosts of the key come first.
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

class HostSelector : SelectionContext {
 public:
  explicit HostSelector(const SelectionContext& selection_context)
      : SelectionContext(selection_context) {}

  // kNone: no host is allowed.
  HostId select(const ActiveRequest& request);
  // Hosts drop duplicates of the request until this time. Time::max(): there is no such bound.
  Time latest_start(const ActiveRequest& request) const;

 private:
  // Few attempts are in flight; a fast host may have more.
  bool idle(const Host& host) const {
    return host.in_flight < idle_threshold_ * outlier_detector.median_relative_latency() /
                                std::max(host.relative_latency, 0.05);
  }
  double load(const Host& host) const { return (host.in_flight + 1) * host.relative_latency; }
  double weight(const Host& host, const ActiveRequest& request) const;  // relative probability
  bool is_allowed(const ActiveRequest& request, const Host& host) const;
  std::size_t key_host_count(const ActiveRequest& request);
  void collect_candidates(const ActiveRequest& request, bool relaxed);
  void try_candidate(const ActiveRequest& request, HostId id, bool relaxed);

  double idle_threshold_ = 1;   // in flight at a host of median latency: fewer is idle
  std::vector<HostId> ready_;   // candidates for the present request
  KeyFrequency key_frequency_;  // of the selections
  bool found_idle_ = false;     // a candidate is idle
  std::uint64_t selection_number_ = 0;
};

}  // namespace load_balancer
