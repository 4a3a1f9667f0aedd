#include "load_balancer/slow_start.hpp"

#include <cmath>

namespace load_balancer {
namespace {

// Target load of a warming host, as a fraction of the load at which it collapses. The first applies
// if only load reports are known, the second if the peak success rate of its machine type is known.
constexpr double kReportedCapacityFraction = 0.30;
constexpr double kPeakRateCapacityFraction = 0.45;
// Distance between the mean load and the collapse load, in standard deviations of the number of
// requests in a collapse window.
constexpr double kSafetySigmas = 4;
// Per sweep: the peak success rate of a machine type fades over half a minute.
constexpr double kPeakRateDecay = 0.997;
constexpr double kTokenLifetimeWindows = 0.5;  // collapse windows
// Weight of the assumed capacity beside the load reports, in successes.
constexpr double kReportPrior = 2;
// Load reports are remembered for this many successes,
constexpr double kReportMemory = 40;
// and over about 20 s (factor per sweep).
constexpr double kReportDecay = 0.995;
constexpr double kServiceTimeGain = 0.2;  // per report
// A lower report counts as this, so that hosts that report no load do not appear unlimited.
constexpr double kMinReportedUtilization = 0.05;
// A report describes recent load only, so a longer gap since the last one counts as this.
constexpr Duration kMaxReportGap = std::chrono::seconds(10);
// Capacity assumed for a machine type without load reports. It may be much weaker than the others,
// so the assumption is a fraction: of the mean request rate per host if no host has reported a
// service time, else of the mean capacity of the reporting hosts.
constexpr double kUniformPriorFactor = 0.35;
constexpr double kMachineTypePriorFactor = 0.5;  // also the speed assumed without a service time

}  // namespace

// The load of all gateways together makes a warming host collapse, so each gateway keeps to its own
// part, in which attempts that the host rejects count too. The part may be a small fraction of a
// request per window: a lower bound of one request, times hundreds of gateways, would overload the
// host.
bool SlowStart::try_admit(Host& host) {
  if (!hosts_.is_warming_up(host)) {
    return true;
  }
  const double window_seconds = std::max(to_seconds(context_.settings.collapse_window), 0.1);
  const double rate = safe_rate(host, window_seconds) * budget_fraction_;
  // If each of many gateways saved a token, a rise of the traffic would spend them all at once.
  // So tokens accrue continuously, at most one is available, and it expires soon.
  host.warmup_tokens += rate * to_seconds(context_.now - host.warmup_tokens_at);
  host.warmup_tokens_at = context_.now;
  if (host.warmup_tokens >= 2) {
    host.warmup_tokens = 1 + std::fmod(host.warmup_tokens, 1);
  }
  return host.warmup_tokens >= 1 &&
         host.warmup_tokens - 1 <= rate * window_seconds * kTokenLifetimeWindows;
}

// Requests per second that this gateway may send to the host, if all other gateways do the same.
double SlowStart::safe_rate(const Host& host, double window_seconds) const {
  const MachineType& machine_type = hosts_.machine_type_of(host);
  // The peak rate that warm hosts of its machine type have served applies; the capacity by load
  // reports only if there is none. Reports of overloaded hosts give too low a capacity: by them
  // less would be sent to the warming hosts, and requests would be shed for longer.
  const bool has_peak_rate = machine_type.peak_success_rate > 0;
  const double capacity_fraction =
      has_peak_rate ? kPeakRateCapacityFraction * (2 + admission_.confidence()) / 3
                    : kReportedCapacityFraction;
  const double collapse_rate =
      (has_peak_rate ? machine_type.peak_success_rate : machine_type.capacity) *
      hosts_.warmup_fraction(host) * context_.settings.collapse_load_factor;
  // If the limit is a few requests per window, random bursts alone make a host collapse: with a
  // mean of m requests the standard deviation is sqrt(m). This is the largest mean for which
  // m + kSafetySigmas * sqrt(m) stays within the limit.
  const double gateway_seconds = window_seconds * context_.settings.gateway_count;
  const double sqrt_mean =
      (std::sqrt(kSafetySigmas * kSafetySigmas + 4 * collapse_rate * gateway_seconds) -
       kSafetySigmas) /
      2;
  return std::min(capacity_fraction * collapse_rate, sqrt_mean * sqrt_mean / gateway_seconds);
}

// The reported utilization, by the load of all gateways, is taken for the time since the host's
// last report, in which the host has served this gateway one response. Successes divided by busy
// time are this gateway's part of the capacity. Both are summed over the machine type, which bounds
// the effect of a host that reports wrong values.
void SlowStart::on_load_report(Host& host, const LoadReport& report) {
  MachineType& machine_type = hosts_.machine_type_of(host);
  if (report.recent_service_time > Duration{}) {
    const double service_time =
        to_seconds(report.recent_service_time) * hosts_.warmup_fraction(host);
    machine_type.service_time += (machine_type.service_time > 0 ? kServiceTimeGain : 1) *
                                 (service_time - machine_type.service_time);
    mean_service_time_ +=
        (mean_service_time_ > 0 ? kServiceTimeGain : 1) * (service_time - mean_service_time_);
  }
  if (!(report.utilization >= 0)) {
    return;
  }
  const Duration gap =
      std::min(context_.now - std::exchange(host.reported_at, context_.now), kMaxReportGap);
  machine_type.reported_busy_seconds += std::max(report.utilization, kMinReportedUtilization) *
                                        hosts_.warmup_fraction(host) * to_seconds(gap);
}

// Updates for each machine type the peak success rate and the estimated capacity of a warm host.
// When nearly all hosts restart, the last warm ones are overloaded and their rates fall. If the
// peak rate followed at once, the warming hosts would get too few requests to relieve them; hence
// its slow decay.
void SlowStart::sweep() {
  for (MachineType& machine_type : hosts_.machine_types()) {
    machine_type.served = machine_type.warm_hosts = 0;
  }
  for (std::size_t i = 0; i < hosts_.subset_order().size(); ++i) {
    Host& host = hosts_.at(hosts_.subset_order()[i]);
    if (i < hosts_.subset_size() && !hosts_.is_warming_up(host) &&
        !is_unhealthy(host)) {  // the others get too few requests to show what they can serve
      hosts_.machine_type_of(host).served += host.served;
      hosts_.machine_type_of(host).warm_hosts += 1;
    }
    host.served = 0;
  }
  const double uniform_rate = std::max(
      admission_.arrival_rate() / std::max(static_cast<double>(hosts_.subset_size()), 1.0), 1e-6);
  double successes = kReportPrior;
  double busy_seconds = kReportPrior / uniform_rate;
  for (const MachineType& machine_type : hosts_.machine_types()) {
    successes += machine_type.reported_successes,
        busy_seconds += machine_type.reported_busy_seconds;
  }
  for (MachineType& machine_type : hosts_.machine_types()) {
    if (machine_type.warm_hosts > 0) {
      machine_type.success_rate +=
          admission_.fast_gain() *
          (machine_type.served / machine_type.warm_hosts / to_seconds(kSweepInterval) -
           machine_type.success_rate);
    }
    machine_type.peak_success_rate =
        std::max(machine_type.success_rate, machine_type.peak_success_rate * kPeakRateDecay);
    const double relative_speed =
        machine_type.service_time > 0
            ? std::clamp(mean_service_time_ / machine_type.service_time, 0.3, 3.0)
            : kMachineTypePriorFactor;
    const double prior_capacity =
        kMachineTypePriorFactor * relative_speed * successes / busy_seconds;
    machine_type.capacity = (machine_type.reported_successes + kReportPrior) /
                            (machine_type.reported_busy_seconds + kReportPrior / prior_capacity);
    if (mean_service_time_ <= 0) {
      machine_type.capacity = kUniformPriorFactor * uniform_rate;
    }
    const double retention =
        std::min(kReportDecay, kReportMemory / std::max(machine_type.reported_successes, 1.0));
    machine_type.reported_successes *= retention;
    machine_type.reported_busy_seconds *= retention;
  }
}

}  // namespace load_balancer
