#include "load_balancer/outlier_detector.hpp"

namespace load_balancer {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// per sweep without requests: an old pace fades in two seconds at least
constexpr double kLatencyDecay = 0.05;
constexpr double kLatencyGain = 0.1;  // per answer: a host's pace, over its last ten answers
constexpr double kTimeoutGain = 0.5;  // per time-out, where the own traffic tells nothing
constexpr double kMachineTypeLateReduction = 0.25,
                 kMachineTypeInTimeGrowth = 0.03;  // so one in nine late is borne
constexpr double kHostLateReduction = 0.8, kHostInTimeGrowth = 1.3, kMinPenaltyFactor = 0.01;
constexpr double kFailureGain = 0.12;          // per outcome: five failures on end make one half
constexpr double kEjectionFailureRate = 0.45;  // failure share that ejects,
// if it is also this many times that of the better quarter of the pool
constexpr double kPeerFailureMultiple = 2.5;
// A host may fail or swallow one class and serve the others; by the mean of all it looks
// well.
// per outcome of the class at the host: three on end make a half
constexpr double kClassFailureGain = 0.25;
// per outcome of the class anywhere: what its peers do, over fifty
constexpr double kClassPeerGain = 0.02;
constexpr double kClassPeerMultiple =
    1.5;  // times what its peers fail is noise in a trouble of all hosts
// of its draws for the class: a trickle tells when it is well again
constexpr double kMinClassFactor = 0.03;
constexpr double kMaxEjectedFraction =
    0.5;  // of the pool at most, so a pool-wide trouble never empties it
constexpr Duration kBaseEjectionTime = seconds(1);  // doubled each time,
constexpr int kMaxEjectionDoublings = 3;            // up to so often
constexpr double kUnresponsiveLatencies =
    4;  // silent: nothing heard for so many times the usual time,
// and at least for this long (short pauses are normal)
constexpr Duration kMinUnresponsiveTime = milliseconds(150);
constexpr int kMaxConsecutiveRejections = 3;  // "full" so often on end: not a short peak, it rests,
constexpr Duration kRejectionBackoff = milliseconds(100);  // a few unloaded answer times
// none to be had: down or at its cap; doubled as ejections are
constexpr Duration kConnectBackoff = seconds(1);

}  // namespace

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): too long
void OutlierDetector::on_attempt_result(Host& host, const ActiveRequest& request,
                                        const AttemptResult& result) {
  ClassState& class_state = context_.classes[request.class_index];
  // zero would make every ratio meaningless
  const double taken = std::max(to_seconds(result.elapsed), 1e-6);
  bool failed = false;
  switch (result.outcome) {
    case AttemptOutcome::success: {
      host.last_response_at = context_.now;
      host.consecutive_rejections = 0;
      host.served += 1;
      const double usual = taken / request.cost;
      if (class_state.typical_latency <= 0) {
        class_state.typical_latency = usual;
      }
      const double sample = std::min(taken / (class_state.typical_latency * request.cost), 20.0);
      host.relative_latency += kLatencyGain * (sample - host.relative_latency);
      MachineType& machine_type = fleet_.machine_type_of(host);
      machine_type.relative_latency +=
          kMovingAverageGain * (sample - machine_type.relative_latency);
      class_state.typical_latency += kMovingAverageGain * (usual - class_state.typical_latency);
      admission_.on_success(request);
      if (context_.now <= request.objective_deadline) {
        on_response_timeliness(host, false);
      }
      break;
    }
    case AttemptOutcome::rejected_by_host:  // One that stays full, or drains unannounced,
                                            // holds little: it looks idle.
      host.last_response_at = context_.now;
      host.recent_errors += 1;
      if (host.consecutive_rejections < kMaxConsecutiveRejections) {
        admission_.on_rejected_by_host(class_success_factor(
            host, request.class_index));  // beyond that only this host is in trouble
      }
      if (++host.consecutive_rejections >= kMaxConsecutiveRejections) {
        host.backoff_until = context_.now + scaled(kRejectionBackoff, 0.5 + context_.draw_unit());
      }
      break;
    case AttemptOutcome::timeout:
      if (class_state.typical_latency > 0 && taken > class_state.typical_latency * request.cost) {
        host.relative_latency +=
            std::max(kLatencyGain, kTimeoutGain * admission_.uncertainty()) *
            (std::min(taken / (class_state.typical_latency * request.cost), 20.0) -
             host.relative_latency);
      }
      if (context_.now < request.objective_deadline) {
        on_response_timeliness(host, true);  // else it was late before
      }
      failed = true;
      break;
    case AttemptOutcome::server_error:
      host.last_response_at = context_.now;
      failed = true;
      break;
    case AttemptOutcome::connect_failed:
      // Open connections outlive the trouble of new ones; left unused they are closed or
      // lost.
      host.connect_backoff_until =
          context_.now + scaled(kConnectBackoff * (1 << host.consecutive_connect_failures),
                                0.5 + context_.draw_unit());
      host.consecutive_connect_failures =
          std::min(host.consecutive_connect_failures + 1, kMaxEjectionDoublings);
      [[fallthrough]];
    case AttemptOutcome::reset:
      failed = true;
      host.desired_connections = std::max(host.desired_connections - 1, 0);
      break;
    case AttemptOutcome::bad_request:
      host.last_response_at = context_.now;
      return;  // the request's fault, anywhere
    case AttemptOutcome::cancelled:
    case AttemptOutcome::not_sent:
      return;
  }
  host.recent_outcomes += 1;
  admission_.on_outcome();
  if (failed) {
    host.recent_errors += 1;
  }
  // From a trickle five failures on end take half a minute, at each of many gateways.
  if (result.outcome != AttemptOutcome::rejected_by_host) {
    host.failure_rate +=
        std::max(kFailureGain, admission_.uncertainty() / (1 + host.recent_outcomes)) *
        ((failed ? 1.0 : 0.0) - host.failure_rate);
  }
  if (result.outcome != AttemptOutcome::connect_failed) {
    const double lost = failed || result.outcome == AttemptOutcome::rejected_by_host ? 1 : 0;
    host.class_failure_rates[request.class_index] +=
        kClassFailureGain * (lost - host.class_failure_rates[request.class_index]);
    class_state.failure_rate += kClassPeerGain * (lost - class_state.failure_rate);
  }
  if (host.health == HealthState::probation && result.outcome != AttemptOutcome::rejected_by_host) {
    if (failed) {
      return eject(host, "probation_failed");
    }
    host.health = HealthState::healthy;
    host.failure_rate = 0;
    fleet_.recount();
    if (context_.may_log()) {
      context_.log("host_returned host=" + host.endpoint.address);
    }
  }
}

// Weak machines are crowded into lasting slowness while strong ones stand idle, and from a
// trickle nobody learns of each host in time. So in a herd every kind keeps as much as leaves all
// kinds late alike, and a host that was late rests. The cut hears least of the kinds that are
// passed over.
void OutlierDetector::on_response_timeliness(Host& host, bool late) {
  MachineType& machine_type = fleet_.machine_type_of(host);
  const double thin = fleet_.is_large_fleet() ? admission_.uncertainty() : 0;
  if (!late || admission_.utilization() > 0) {
    admission_.on_utilization_sample(late ? 1 : host.utilization, machine_type.selection_weight);
  }
  machine_type.selection_weight *=
      late ? 1 - kMachineTypeLateReduction * thin : 1 + kMachineTypeInTimeGrowth * thin;
  double most = 0;
  for (const MachineType& other_type : fleet_.machine_types()) {
    most = std::max(most, other_type.selection_weight);
  }
  for (MachineType& other_type : fleet_.machine_types()) {
    other_type.selection_weight = std::max(other_type.selection_weight / most, kMinPenaltyFactor);
  }
  host.late_response_penalty = std::clamp(
      late_response_penalty(host) * (late ? 1 - kHostLateReduction * thin : kHostInTimeGrowth),
      kMinPenaltyFactor, 1.0);
  host.late_response_penalty_at = context_.now;
}

double OutlierDetector::class_success_factor(const Host& host, std::uint32_t class_index) const {
  const double well =
      1 - std::max(host.class_failure_rates[class_index] -
                       kClassPeerMultiple * context_.classes[class_index].failure_rate,
                   0.0);
  return std::max(well * well * well, kMinClassFactor);
}

void OutlierDetector::eject(Host& host, const char* why) {
  host.health = HealthState::ejected;
  host.ejected_until = context_.now + scaled(kBaseEjectionTime * (1 << host.ejection_count),
                                             (0.75 + 0.5 * context_.draw_unit()) /
                                                 std::max(admission_.confidence(), 0.2));
  host.ejection_count = std::min(host.ejection_count + 1, kMaxEjectionDoublings);
  if (context_.may_log()) {
    context_.log("host_ejected host=" + host.endpoint.address + " reason=" + why);
  }
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): too long
void OutlierDetector::sweep() {
  std::vector<double> relative_latencies;
  std::vector<double> failure_rates;
  std::size_t away = 0;
  for (HostId id : fleet_.listed()) {
    Host& host = fleet_.at(id);
    // A pace learned in trouble keeps requests away, and without them it would never
    // change.
    if (host.served <= 0 && host.in_flight == 0) {
      host.relative_latency +=
          kLatencyDecay * admission_.confidence() *
          (fleet_.machine_type_of(host).relative_latency - host.relative_latency);
      if (host.utilization >= 0) {
        host.utilization += kLatencyDecay * (admission_.utilization() - host.utilization);
      }
    }
    host.recent_outcomes *= 1 - admission_.fast_gain();
    host.recent_errors *= 1 - admission_.fast_gain();
    if (host.health == HealthState::ejected && context_.now >= host.ejected_until) {
      host.health = HealthState::probation;  // back by a trickle of real requests
    }
    if (host.health != HealthState::healthy) {
      ++away;
    }
    relative_latencies.push_back(host.relative_latency);
    failure_rates.push_back(host.failure_rate);
    // A paused or lost host gathers requests until they time out.
    while (!host.outstanding_attempts.empty() &&
           !requests_.attempt_in_flight(host.outstanding_attempts.front(), id)) {
      host.outstanding_attempts.pop_front();
    }
    const Duration limit =
        std::max(kMinUnresponsiveTime,
                 scaled(seconds(1), kUnresponsiveLatencies * admission_.typical_latency() *
                                        std::max(1.0, host.relative_latency)));
    host.unresponsive =
        !host.outstanding_attempts.empty() &&
        context_.now -
                std::max(
                    host.last_response_at,
                    requests_.attempt_in_flight(host.outstanding_attempts.front(), id)->sent_at) >
            limit;
    if (host.unresponsive && host.utilization >= 0) {
      host.utilization = 1;
    }
  }
  median_relative_latency_ = quantile(relative_latencies, 0.5, 1);
  // a quarter of the peers well: the others are outliers
  const double peer_failure_rate = quantile(failure_rates, 0.25, 0);
  for (HostId id :
       fleet_.listed()) {  // judged against the peers, so that a pool-wide trouble ejects nobody
    Host& host = fleet_.at(id);
    if (host.health != HealthState::healthy ||
        static_cast<double>(away + 1) >
            kMaxEjectedFraction * static_cast<double>(fleet_.listed().size())) {
      continue;
    }
    if (host.failure_rate >
        std::max(kEjectionFailureRate, kPeerFailureMultiple * peer_failure_rate)) {
      eject(host, "failure_rate");
      ++away;
    } else if (host.ejection_count > 0 && host.failure_rate < 0.05 &&
               context_.now > host.ejected_until + 4 * kBaseEjectionTime) {
      host.ejection_count = 0;
    }
  }
  fleet_.recount();
}

}  // namespace load_balancer
