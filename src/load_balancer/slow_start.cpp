#include "load_balancer/slow_start.hpp"

#include <cmath>

namespace load_balancer {
namespace {

// Load of a cold host, as a part of the multiple that fells it: by load reports, by what warm ones
// carried.
constexpr double kReportedCapacityFraction = 0.30, kConfirmedCapacityFraction = 0.45;
constexpr double kSafetySigmas = 4;  // and the multiple must lie so many times the scatter above it
// per sweep: proven rates of a machine kind fade over half a minute
constexpr double kConfirmedRateDecay = 0.997;
constexpr double kTokenLifetimeWindows = 0.5;  // windows
// By load reports. So many answers count for what was supposed before, and so many are remembered.
constexpr double kReportPrior = 2, kReportMemory = 40;
constexpr double kReportDecay = 0.995;  // per sweep: and for some twenty seconds
constexpr double kServiceTimeGain = 0.2,
                 kMinReportedUtilization = 0.05;  // per report; who says less says nothing
constexpr Duration kMaxReportGap = std::chrono::seconds(10);  // a longer silence tells nothing more
// What a strong host bears fells a weak one. Taken of an even share, of the capacity of the
// pool.
constexpr double kUniformPriorFactor = 0.35, kMachineTypePriorFactor = 0.5;

}  // namespace

// All gateways together push a cold host over. Each keeps to its own part, refused attempts
// counted. It may be a small part of a request a window; a floor of one, times hundreds of
// gateways, would be a flood.
bool SlowStart::try_admit(Host& host) {
  if (!fleet_.is_warming_up(host)) {
    return true;
  }
  const double window = std::max(to_seconds(context_.settings.collapse_window), 0.1);
  const double rate = safe_rate(host, window) * budget_fraction_;
  // Permits that many gateways save up, one each, are spent together when their traffic
  // swings. So each comes at its time and lapses soon.
  host.warmup_tokens += rate * to_seconds(context_.now - host.warmup_tokens_at);
  host.warmup_tokens_at = context_.now;
  if (host.warmup_tokens >= 2) {
    host.warmup_tokens = 1 + std::fmod(host.warmup_tokens, 1);
  }
  return host.warmup_tokens >= 1 && host.warmup_tokens - 1 <= rate * window * kTokenLifetimeWindows;
}

// Requests a second from us that the host bears beside those of the others.
double SlowStart::safe_rate(const Host& host, double window) const {
  const MachineType& machine_type = fleet_.machine_type_of(host);
  // What warm ones of its kind were seen to carry; else, when all are cold, what the reports teach.
  // These teach too little of hosts that are crowded, less is sent, and refusals go on.
  const bool proven = machine_type.peak_success_rate > 0;
  const double part = proven ? kConfirmedCapacityFraction * (2 + admission_.confidence()) / 3
                             : kReportedCapacityFraction;
  const double borne = (proven ? machine_type.peak_success_rate : machine_type.capacity) *
                       fleet_.warmup_fraction(host) * context_.settings.collapse_load_factor;
  // Beside a limit of few requests a window, chance alone fells a host: sums scatter by the
  // root.
  const double bank = window * context_.settings.gateway_count;
  const double root =
      (std::sqrt(kSafetySigmas * kSafetySigmas + 4 * borne * bank) - kSafetySigmas) / 2;
  return std::min(part * borne, root * root / bank);
}

// Since our last answer from it the host was about as busy as it says, for all gateways, and served
// us one. Our part of what it can do is answers over busy time, summed over a kind, so that no
// single host can lie much.
void SlowStart::on_load_report(Host& host, const LoadReport& report) {
  MachineType& machine_type = fleet_.machine_type_of(host);
  if (report.recent_service_time > Duration{}) {
    const double took = to_seconds(report.recent_service_time) * fleet_.warmup_fraction(host);
    machine_type.service_time +=
        (machine_type.service_time > 0 ? kServiceTimeGain : 1) * (took - machine_type.service_time);
    mean_service_time_ +=
        (mean_service_time_ > 0 ? kServiceTimeGain : 1) * (took - mean_service_time_);
  }
  if (!(report.utilization >= 0)) {
    return;
  }
  const Duration gap =
      std::min(context_.now - std::exchange(host.reported_at, context_.now), kMaxReportGap);
  machine_type.reported_busy_seconds += std::max(report.utilization, kMinReportedUtilization) *
                                        fleet_.warmup_fraction(host) * to_seconds(gap);
}

// What a warm host of each kind carried and could carry. In a deploy of nearly all the last
// warm ones are buried, and their sinking rates would starve the cold ones that could help; hence a
// slow decay.
void SlowStart::sweep() {
  for (MachineType& machine_type : fleet_.machine_types()) {
    machine_type.served = machine_type.warm_hosts = 0;
  }
  for (std::size_t i = 0; i < fleet_.subset_order().size(); ++i) {
    Host& host = fleet_.at(fleet_.subset_order()[i]);
    if (i < fleet_.subset_size() && !fleet_.is_warming_up(host) &&
        !is_unhealthy(host)) {  // of the others we ask little
      fleet_.machine_type_of(host).served += host.served;
      fleet_.machine_type_of(host).warm_hosts += 1;
    }
    host.served = 0;
  }
  const double even = std::max(
      admission_.arrival_rate() / std::max(static_cast<double>(fleet_.subset_size()), 1.0), 1e-6);
  double answers = kReportPrior;
  double busy = kReportPrior / even;
  for (const MachineType& machine_type : fleet_.machine_types()) {
    answers += machine_type.reported_successes, busy += machine_type.reported_busy_seconds;
  }
  for (MachineType& machine_type : fleet_.machine_types()) {
    if (machine_type.warm_hosts > 0) {
      machine_type.success_rate +=
          admission_.fast_gain() *
          (machine_type.served / machine_type.warm_hosts / to_seconds(kSweepInterval) -
           machine_type.success_rate);
    }
    machine_type.peak_success_rate =
        std::max(machine_type.success_rate, machine_type.peak_success_rate * kConfirmedRateDecay);
    const double faster = machine_type.service_time > 0
                              ? std::clamp(mean_service_time_ / machine_type.service_time, 0.3, 3.0)
                              : kMachineTypePriorFactor;
    const double prior = kMachineTypePriorFactor * faster * answers / busy;
    machine_type.capacity = (machine_type.reported_successes + kReportPrior) /
                            (machine_type.reported_busy_seconds + kReportPrior / prior);
    if (mean_service_time_ <= 0) {
      machine_type.capacity = kUniformPriorFactor * even;
    }
    const double keep =
        std::min(kReportDecay, kReportMemory / std::max(machine_type.reported_successes, 1.0));
    machine_type.reported_successes *= keep;
    machine_type.reported_busy_seconds *= keep;
  }
}

}  // namespace load_balancer
