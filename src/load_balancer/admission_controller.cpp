#include "load_balancer/admission_controller.hpp"

#include <cmath>

namespace load_balancer {
namespace {

constexpr double kSlowGain = 0.008;  // per sweep: the traffic mix is remembered about ten seconds
// In-flight overload. By Little's law the mean time in flight is in-flight / rate, so the pool
// carries `rate x aim` at most if answers are to be in time.
constexpr double kMaxFractionOfObjective =
    0.45;                                   // in-flight maximum: mean time at this share of the aim
constexpr double kInflightThreshold = 0.5;  // share of that maximum below which nothing is cut
constexpr double kInFlightGain = 0.05;      // per arrival: in-flight over the last twenty arrivals
constexpr double kInFlightSweepGain = 0.5;  // per sweep
constexpr double kInitialInFlightPerHost =
    6;  // maximum assumed for a host before anything was measured
// A maximum that follows the few answers after a burst never grows back, and hosts stand
// idle. So much may be held a host, by all gateways: a few cores' work.
constexpr double kMinInFlightPerHost = 4;
// Hosts once driven over stay slow long after, and "full" is the first that one hears of
// it.
constexpr double kRejectionFactor =
    4;  // times the share of "full" answers is taken off the maximum,
constexpr double kMaxRejectionReduction = 0.5;  // up to a half, and forgotten in half a second
// When all hosts slow down together, a maximum that follows the sinking rate idles them.
// What a host held while nothing was refused stays allowed.
constexpr double kBaselineDecay = 0.001;  // per sweep: forgotten in some minutes
// Of a trickle, what hosts say of all gateways' traffic tells more: how busy those are that it went
// to. And room, in multiples of what is held, shrinks while they are busier than the aim and grows
// while less.
constexpr double kTargetUtilization = 0.7, kHeadroomShrinkRate = 10,
                 kHeadroomGrowthRate = 3;                // the gains: per second
constexpr double kMinHeadroom = 1.05, kMaxHeadroom = 2;  // nearly all refused; none
// Error overload: share of failed attempts. A few per cent is everyday noise.
constexpr double kErrorThreshold = 0.1;
constexpr double kErrorMax = 0.7;
// attempts assumed good, so that a handful of samples proves nothing
constexpr double kErrorPrior = 10;

}  // namespace

AdmissionController::AdmissionController(Context& context, const HostSet& fleet)
    : context_(context),
      fleet_(fleet),
      quotas_(context.settings, context.now),
      arrival_rate_(kSteadyRate),
      outcomes_(kErrorPrior) {
  for (const ClassSettings& class_settings : context_.settings.classes) {
    mean_latency_objective_ += to_seconds(class_settings.latency_objective) /
                               static_cast<double>(context_.settings.classes.size());
  }
}

// Worth of what the request can still earn, by request or by unit of work as the worth is counted.
double AdmissionController::priority_weight_of(const ActiveRequest& request, std::uint32_t tenant) {
  const ClassSettings& class_settings = context_.classes[request.class_index].settings;
  double priority_weight_of = class_settings.priority_weight;
  if (context_.now >= request.objective_deadline) {
    priority_weight_of *= class_settings.late_value_fraction;
  }
  if (!quotas_.try_consume(tenant, context_.now)) {
    priority_weight_of *= context_.settings.over_quota_weight;
  }
  return priority_weight_of;
}

// A seeded draw spreads each level over its own band, so equal worth shares the loss and higher
// worth is never cut first.
double AdmissionController::priority_score(const ActiveRequest& request, std::uint32_t tenant) {
  const auto [below, same] = priority_ranks_.record(priority_weight_of(request, tenant));
  return 1 + 99 * (below + context_.draw_unit() * same);
}

void AdmissionController::on_arrival(const ActiveRequest& request) {
  const ClassState& class_state = context_.classes[request.class_index];
  // Where late answers still earn, the time that counts reaches past the aim by that share.
  const Duration late =
      scaled(std::min(class_state.usual_time_remaining - class_state.settings.latency_objective,
                      class_state.settings.latency_objective),
             class_state.settings.late_value_fraction);
  mean_latency_objective_ +=
      kMovingAverageGain *
      (to_seconds(class_state.settings.latency_objective + late) - mean_latency_objective_);
  if (class_state.typical_latency > 0) {
    mean_service_time_ += (mean_service_time_ > 0 ? kMovingAverageGain : 1.0) *
                          (class_state.typical_latency * request.cost - mean_service_time_);
  }
  arrivals_ += 1;
  smoothed_in_flight_ +=
      (fleet_.in_flight() - smoothed_in_flight_) * kInFlightGain * std::sqrt(confidence());
  update_threshold();
}

// Counted one by one, heavy answers make a gateway that is cut down to a heavy class think
// the pool slow and starve, while others take its share. By its usual time an answer weighs as its
// work.
void AdmissionController::on_success(const ActiveRequest& request) {
  const ClassState& class_state = context_.classes[request.class_index];
  const double weight =
      mean_service_time_ > 0
          ? std::clamp(class_state.typical_latency * request.cost / mean_service_time_, 0.1, 10.0)
          : 1;
  successes_in_time_ +=
      weight *
      (context_.now <= request.objective_deadline ? 1 : class_state.settings.late_value_fraction);
}

double AdmissionController::inflight_max() const {
  const double count = std::max(static_cast<double>(fleet_.listed().size()), 1.0);
  const double ease =
      1 - std::min(kRejectionFactor * rejections_ / outcomes_, kMaxRejectionReduction);
  // Before anything was measured (own start in an overload) and after a lull, per-host guesses
  // stand in.
  const double first = kInitialInFlightPerHost / context_.settings.gateway_count;
  const double floor = kMinInFlightPerHost / context_.settings.gateway_count;
  const double least = context_.now - context_.started < 10 * kSweepInterval
                           ? first
                           : std::max(floor, baseline_in_flight_);
  return ease *
         std::max(success_rate_ * mean_latency_objective_ * kMaxFractionOfObjective, least * count);
}

void AdmissionController::update_threshold() {
  const double told = std::max(1 / in_flight_headroom_, utilization_);
  const double own = smoothed_in_flight_ / inflight_max();
  const double held = utilization_ > 0 ? told + confidence() * (own - told) : own;
  const double load = (held - kInflightThreshold) / (1 - kInflightThreshold);
  const double x = std::clamp(std::max(load, error_overload_), 0.0, 1.0);
  shedding_threshold_ = 100 * x * x * x;
}

void AdmissionController::sweep() {
  success_rate_ += fast_gain() * (successes_in_time_ / to_seconds(kSweepInterval) - success_rate_);
  ++sweeps_;
  arrival_rate_ +=
      std::max(kSlowGain, 1 / sweeps_) * (arrivals_ / to_seconds(kSweepInterval) - arrival_rate_);
  successes_in_time_ = arrivals_ = 0;
  if (utilization_ > 0) {
    in_flight_headroom_ =
        std::clamp(in_flight_headroom_ *
                       std::exp((utilization_ > kTargetUtilization ? kHeadroomShrinkRate
                                                                   : kHeadroomGrowthRate) *
                                to_seconds(kSweepInterval) * (kTargetUtilization - utilization_)),
                   kMinHeadroom, kMaxHeadroom);
  }
  baseline_in_flight_ *= 1 - kBaselineDecay;
  if (shedding_threshold_ <= 1 && !fleet_.listed().empty()) {
    baseline_in_flight_ = std::max(baseline_in_flight_, fleet_.per_listed(smoothed_in_flight_));
  }
  rejections_ *= 1 - kFastGain;
  outcomes_ += kFastGain * (kErrorPrior - outcomes_);
  double outcomes = kErrorPrior;
  double errors = 0;
  double sum = 0;
  double seen = 0;
  for (HostId id : fleet_.listed()) {
    if (const Host& host = fleet_.at(id); !is_unhealthy(host)) {
      outcomes += host.recent_outcomes, errors += host.recent_errors;
    }
  }
  error_overload_ = (errors / outcomes - kErrorThreshold) / (kErrorMax - kErrorThreshold);
  for (const ClassState& class_state : context_.classes) {
    if (class_state.typical_latency > 0) {
      sum += class_state.typical_latency, seen += 1;
    }
  }
  typical_latency_ = seen > 0 ? sum / seen : 0;
  priority_ranks_.decay(kSlowGain);
  // With few arrivals a past burst would linger.
  smoothed_in_flight_ +=
      (fleet_.in_flight() - smoothed_in_flight_) * kInFlightSweepGain * confidence() * confidence();
  update_threshold();
}

}  // namespace load_balancer
