// Admission control: priority scores and the shedding threshold.
#pragma once

#include <algorithm>

#include "load_balancer/active_requests.hpp"
#include "load_balancer/host_set.hpp"
#include "load_balancer/priority_ranks.hpp"
#include "load_balancer/tenant_quotas.hpp"

namespace load_balancer {

// Gives each request a priority score, 1 to 100, and computes the threshold below which requests
// are shed. The threshold is 100 x^3, where x is the larger of the error overload and the in-flight
// overload of the hosts, 0 to 1.
class AdmissionController {
 public:
  AdmissionController(Context& context, const HostSet& hosts);

  // Score by the request's rank within the recent traffic: a threshold of 20 sheds about 20 per
  // cent of it. Counts the request, also against the tenant's quota.
  double priority_score(const ActiveRequest& request, std::uint32_t tenant);
  // Counts a request whose score is set, and updates the threshold.
  void on_arrival(const ActiveRequest& request);
  // An attempt of the request has succeeded now.
  void on_success(const ActiveRequest& request);
  // A host rejected an attempt. `weight`, 0 to 1: the host's success factor for the class.
  void on_rejected_by_host(double weight) { rejections_ += weight; }
  // An attempt ended with any outcome that says something of the host.
  void on_outcome() { outcomes_ += 1; }
  // Utilization of the host of an attempt, 0 to 1. It is 1 also after a late response; a negative
  // value means unknown and is ignored. `weight`, 0 to 1, scales the sample.
  void on_utilization_sample(double host_utilization, double weight) {
    utilization_ +=
        host_utilization < 0 ? 0 : weight * kUtilizationGain * (host_utilization - utilization_);
  }
  // To be called every kSweepInterval.
  void sweep();

  // Requests with a lower score are shed, 0 to 100.
  double shedding_threshold() const { return shedding_threshold_; }
  // Mean utilization of the hosts that this gateway used, 0 to 1; 0 also if it is unknown.
  double utilization() const { return utilization_; }
  // Seconds per response, mean over the classes; 0: unknown.
  double typical_latency() const { return typical_latency_; }
  // Requests per second.
  double arrival_rate() const { return arrival_rate_; }
  // The arrival rate, reduced in the first seconds, in which it is derived from few requests.
  double damped_arrival_rate() const {
    return arrival_rate_ * sweep_count_ / (sweep_count_ + kConfirmationSweeps);
  }
  // Statistical significance of half a second of this gateway's traffic, 0.05 to 1. With few
  // requests the samples are noisy, so the gains of the estimates are scaled by it.
  double confidence() const { return std::clamp(arrival_rate_ / kFullConfidenceRate, 0.05, 1.0); }
  // Weight of estimates that include the traffic of other gateways, such as load reports, against
  // those from this gateway's traffic alone, 0 to 1.
  double uncertainty() const { return 1 - confidence(); }
  // Gain per sweep of estimates that cover about half a second.
  double fast_gain() const { return kFastGain * confidence(); }

 private:
  double inflight_max() const;
  double priority_weight_of(const ActiveRequest& request, std::uint32_t tenant);
  void update_threshold();

  Context& context_;
  const HostSet& hosts_;
  PriorityRanks priority_ranks_;
  TenantQuotas quotas_;
  double smoothed_in_flight_ = 0;
  double shedding_threshold_ = 0;
  double error_overload_ = 0;
  double successes_since_sweep_ = 0;  // weighted by service time, late ones also by their value
  double success_rate_ = 0;           // the same, per second
  double arrivals_since_sweep_ = 0;
  double arrival_rate_;
  double sweep_count_ = 0;
  double rejections_ = 0;              // decayed count
  double outcomes_;                    // decayed count
  double baseline_in_flight_ = 0;      // requests per host while nothing is shed
  double mean_latency_objective_ = 0;  // seconds, over the recent arrivals
  double mean_service_time_ = 0;       // seconds, over the recent arrivals
  double typical_latency_ = 0;         // seconds
  double in_flight_headroom_ = 2;      // possible load / present load
  double utilization_ = 0;
  static constexpr double kUtilizationGain = 0.15;   // per sample: covers the last seven
  static constexpr double kFastGain = 0.2;           // per sweep: covers about half a second
  static constexpr double kConfirmationSweeps = 30;  // sweeps until half of the rate counts
  // Requests per second from which on half a second of traffic is significant.
  static constexpr double kFullConfidenceRate = 80;
};

}  // namespace load_balancer
