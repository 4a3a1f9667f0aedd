#include "load_balancer/admission_controller.hpp"

#include <cmath>

namespace load_balancer {
namespace {

// Per sweep: the arrival rate and the mix of priority weights cover about the last ten seconds.
constexpr double kSlowGain = 0.008;

// In-flight overload. By Little's law the mean time in flight is in-flight / rate, so the hosts
// carry at most rate x latency objective requests if responses are to arrive within the objective.
// Fraction of the latency objective that the mean time in flight has at the in-flight maximum.
constexpr double kMaxFractionOfObjective = 0.45;
// Fraction of the in-flight maximum up to which nothing is shed.
constexpr double kInflightThreshold = 0.5;
constexpr double kInFlightGain = 0.05;      // per arrival: covers about the last twenty arrivals
constexpr double kInFlightSweepGain = 0.5;  // per sweep

// Requests per host, over all gateways: the in-flight maximum in the first second of this process,
// before a success rate is known.
constexpr double kInitialInFlightPerHost = 6;
// Requests per host, over all gateways: lower bound of the in-flight maximum, the work of a few
// cores. Without it a maximum computed from the few responses after a burst would never grow back,
// and hosts would be idle.
constexpr double kMinInFlightPerHost = 4;

// An overloaded host stays slow for a long time, and its rejections are the first sign of overload.
// So the in-flight maximum is reduced by this multiple of the fraction of rejected attempts, by
// half at most. Rejections older than about half a second no longer count.
constexpr double kRejectionFactor = 4;
constexpr double kMaxRejectionReduction = 0.5;

// Per sweep: decays within some minutes. When all hosts slow down together, a maximum that follows
// the falling success rate would leave them idle. So the in-flight count per host that was observed
// while nothing was shed remains allowed.
constexpr double kBaselineDecay = 0.001;

// With few requests, load reports show more than the own in-flight count, since they cover the
// traffic of all gateways: the utilization of the hosts that this gateway used, and the headroom
// derived from it. The headroom is the possible load as a multiple of the present load. It shrinks
// while the utilization is above the target and grows while it is below.
constexpr double kTargetUtilization = 0.7;
constexpr double kHeadroomShrinkRate = 10;  // per second and unit of utilization above the target
constexpr double kHeadroomGrowthRate = 3;   // per second and unit of utilization below the target
constexpr double kMinHeadroom = 1.05;       // nearly all requests are shed
constexpr double kMaxHeadroom = 2;          // no request is shed

// Error overload, from the fraction of failed and rejected attempts. Below kErrorThreshold, which
// is above the few per cent of normal operation, nothing is shed; from kErrorMax on all.
constexpr double kErrorThreshold = 0.1;
constexpr double kErrorMax = 0.7;
// Successful attempts assumed in addition, so that a handful of failures does not count as
// overload.
constexpr double kErrorPrior = 10;

}  // namespace

AdmissionController::AdmissionController(Context& context, const HostSet& hosts)
    : context_(context),
      hosts_(hosts),
      quotas_(context.settings, context.now),
      arrival_rate_(kFullConfidenceRate),
      outcomes_(kErrorPrior) {
  for (const ClassSettings& class_settings : context_.settings.classes) {
    mean_latency_objective_ += to_seconds(class_settings.latency_objective) /
                               static_cast<double>(context_.settings.classes.size());
  }
}

// Value of a response to the request at this time, per request or per unit of work, as the priority
// weights of the classes are. It is reduced once the latency objective has passed and for a tenant
// beyond its quota. Takes a token of the tenant's quota.
double AdmissionController::priority_weight_of(const ActiveRequest& request, std::uint32_t tenant) {
  const ClassSettings& class_settings = context_.classes[request.class_index].settings;
  double weight = class_settings.priority_weight;
  if (context_.now >= request.objective_deadline) {
    weight *= class_settings.late_value_fraction;
  }
  if (!quotas_.try_consume(tenant, context_.now)) {
    weight *= context_.settings.over_quota_weight;
  }
  return weight;
}

// Each priority weight has its own band of scores, within which requests are spread at random. So
// requests of equal weight are shed alike, and none is shed before those of a lower weight.
double AdmissionController::priority_score(const ActiveRequest& request, std::uint32_t tenant) {
  const auto [fraction_below, fraction_equal] =
      priority_ranks_.record(priority_weight_of(request, tenant));
  return 1 + 99 * (fraction_below + context_.draw_unit() * fraction_equal);
}

void AdmissionController::on_arrival(const ActiveRequest& request) {
  const ClassState& class_state = context_.classes[request.class_index];
  // Where late responses keep a fraction of their value, the objective is extended by that fraction
  // of the time that clients usually wait beyond it, or of the objective if that is shorter.
  const Duration late_extension =
      scaled(std::min(class_state.usual_time_remaining - class_state.settings.latency_objective,
                      class_state.settings.latency_objective),
             class_state.settings.late_value_fraction);
  mean_latency_objective_ +=
      kMovingAverageGain * (to_seconds(class_state.settings.latency_objective + late_extension) -
                            mean_latency_objective_);
  if (class_state.typical_latency > 0) {
    mean_service_time_ += (mean_service_time_ > 0 ? kMovingAverageGain : 1.0) *
                          (class_state.typical_latency * request.cost - mean_service_time_);
  }
  arrivals_since_sweep_ += 1;
  smoothed_in_flight_ +=
      (hosts_.in_flight() - smoothed_in_flight_) * kInFlightGain * std::sqrt(confidence());
  update_threshold();
}

// Weighs a response by the expected service time of its request. If each counted as 1, a gateway
// that sheds all but a class of expensive requests would see a low success rate, take the hosts for
// slow and shed still more, while other gateways use the capacity.
void AdmissionController::on_success(const ActiveRequest& request) {
  const ClassState& class_state = context_.classes[request.class_index];
  const double weight =
      mean_service_time_ > 0
          ? std::clamp(class_state.typical_latency * request.cost / mean_service_time_, 0.1, 10.0)
          : 1;
  successes_since_sweep_ +=
      weight *
      (context_.now <= request.objective_deadline ? 1 : class_state.settings.late_value_fraction);
}

double AdmissionController::inflight_max() const {
  const double host_count = std::max(static_cast<double>(hosts_.listed().size()), 1.0);
  const double rejection_factor =
      1 - std::min(kRejectionFactor * rejections_ / outcomes_, kMaxRejectionReduction);
  // In the first second, which may be during an overload, and after a period with few requests the
  // success rate is unknown or too low, so bounds per host apply.
  const double initial_per_host = kInitialInFlightPerHost / context_.settings.gateway_count;
  const double min_per_host = kMinInFlightPerHost / context_.settings.gateway_count;
  const double lower_bound_per_host = context_.now - context_.started < 10 * kSweepInterval
                                          ? initial_per_host
                                          : std::max(min_per_host, baseline_in_flight_);
  return rejection_factor *
         std::max(success_rate_ * mean_latency_objective_ * kMaxFractionOfObjective,
                  lower_bound_per_host * host_count);
}

void AdmissionController::update_threshold() {
  const double load_from_reports = std::max(1 / in_flight_headroom_, utilization_);
  const double own_load = smoothed_in_flight_ / inflight_max();
  const double load = utilization_ > 0
                          ? load_from_reports + confidence() * (own_load - load_from_reports)
                          : own_load;
  const double in_flight_overload = (load - kInflightThreshold) / (1 - kInflightThreshold);
  const double x = std::clamp(std::max(in_flight_overload, error_overload_), 0.0, 1.0);
  shedding_threshold_ = 100 * x * x * x;
}

void AdmissionController::sweep() {
  success_rate_ +=
      fast_gain() * (successes_since_sweep_ / to_seconds(kSweepInterval) - success_rate_);
  ++sweep_count_;
  arrival_rate_ += std::max(kSlowGain, 1 / sweep_count_) *
                   (arrivals_since_sweep_ / to_seconds(kSweepInterval) - arrival_rate_);
  successes_since_sweep_ = arrivals_since_sweep_ = 0;
  if (utilization_ > 0) {
    in_flight_headroom_ =
        std::clamp(in_flight_headroom_ *
                       std::exp((utilization_ > kTargetUtilization ? kHeadroomShrinkRate
                                                                   : kHeadroomGrowthRate) *
                                to_seconds(kSweepInterval) * (kTargetUtilization - utilization_)),
                   kMinHeadroom, kMaxHeadroom);
  }
  baseline_in_flight_ *= 1 - kBaselineDecay;
  if (shedding_threshold_ <= 1 && !hosts_.listed().empty()) {
    baseline_in_flight_ = std::max(baseline_in_flight_, hosts_.per_listed(smoothed_in_flight_));
  }
  rejections_ *= 1 - kFastGain;
  outcomes_ += kFastGain * (kErrorPrior - outcomes_);
  double outcomes = kErrorPrior;
  double errors = 0;
  double latency_sum = 0;
  double class_count = 0;
  for (HostId id : hosts_.listed()) {
    if (const Host& host = hosts_.at(id); !is_unhealthy(host)) {
      outcomes += host.recent_outcomes, errors += host.recent_errors;
    }
  }
  error_overload_ = (errors / outcomes - kErrorThreshold) / (kErrorMax - kErrorThreshold);
  for (const ClassState& class_state : context_.classes) {
    if (class_state.typical_latency > 0) {
      latency_sum += class_state.typical_latency, class_count += 1;
    }
  }
  typical_latency_ = class_count > 0 ? latency_sum / class_count : 0;
  priority_ranks_.decay(kSlowGain);
  // With few arrivals, updates by on_arrival alone would keep the level of a past burst.
  smoothed_in_flight_ +=
      (hosts_.in_flight() - smoothed_in_flight_) * kInFlightSweepGain * confidence() * confidence();
  update_threshold();
}

}  // namespace load_balancer
