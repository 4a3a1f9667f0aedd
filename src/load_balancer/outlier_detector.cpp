#include "load_balancer/outlier_detector.hpp"

namespace load_balancer {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Per sweep without requests: an old relative latency fades in 2 s, or longer with little traffic.
constexpr double kLatencyDecay = 0.05;
// Per response: a host's relative latency covers its last ten responses.
constexpr double kLatencyGain = 0.1;
// Per timeout, scaled by the uncertainty: with little traffic a single timeout counts more.
constexpr double kTimeoutGain = 0.5;
// Change of a machine type's selection weight per late response and per response in time: with one
// late response in nine the weight stays about the same.
constexpr double kMachineTypeLateReduction = 0.25;
constexpr double kMachineTypeInTimeGrowth = 0.03;
// The same for the late-response penalty of one host.
constexpr double kHostLateReduction = 0.8;
constexpr double kHostInTimeGrowth = 1.3;  // factor
// Lower bound of both multipliers: a few requests still show a recovery.
constexpr double kMinPenaltyFactor = 0.01;
// Per outcome: five failures in a row raise the failure rate from 0 to almost a half.
constexpr double kFailureGain = 0.12;
// A host is ejected above this failure rate, if the rate also exceeds this multiple of the lower
// quartile of all hosts.
constexpr double kEjectionFailureRate = 0.45;
constexpr double kPeerFailureMultiple = 2.5;
// A host may fail or lose the requests of one class and serve the others; its mean failure rate
// then stays low, so each class has a failure rate of its own. Gain per outcome of the class at the
// host: three failures in a row raise the rate above a half.
constexpr double kClassFailureGain = 0.25;
// Gain per outcome of the class at any host: the rate of all hosts covers the last fifty.
constexpr double kClassPeerGain = 0.02;
// Up to this multiple of the rate of all hosts, a host's rate is noise within a common fault.
constexpr double kClassPeerMultiple = 1.5;
// Lower bound of the class's multiplier: a few requests still show when the host recovers.
constexpr double kMinClassFactor = 0.03;
// Bound on the hosts that are ejected or in probation, so that a common fault never ejects all.
constexpr double kMaxEjectedFraction = 0.5;
constexpr Duration kBaseEjectionTime = seconds(1);  // doubled with each further ejection,
constexpr int kMaxEjectionDoublings = 3;            // at most this often
// A host is unresponsive if its last response, and the start of its oldest attempt in flight, are
// longer ago than this multiple of its expected latency and than the minimum: short pauses are
// normal.
constexpr double kUnresponsiveLatencies = 4;
constexpr Duration kMinUnresponsiveTime = milliseconds(150);
// With this many rejections in a row the host is overloaded for more than a short peak.
constexpr int kMaxConsecutiveRejections = 3;
constexpr Duration kRejectionBackoff = milliseconds(100);  // a few response times without queueing
// The host is down or at its connection limit. Doubled with each further failure, as for ejections.
constexpr Duration kConnectBackoff = seconds(1);

}  // namespace

// With little traffic five failures in a row take half a minute, at each of many gateways, so the
// gain of the failure rate is higher after few outcomes.
// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): one switch
void OutlierDetector::on_attempt_result(Host& host, const ActiveRequest& request,
                                        const AttemptResult& result) {
  ClassState& class_state = context_.classes[request.class_index];
  // Above zero, since latency ratios are formed from it.
  const double elapsed = std::max(to_seconds(result.elapsed), 1e-6);
  bool failed = false;
  switch (result.outcome) {
    case AttemptOutcome::success: {
      host.last_response_at = context_.now;
      host.consecutive_rejections = 0;
      host.served += 1;
      const double latency_at_mean_cost = elapsed / request.cost;
      if (class_state.typical_latency <= 0) {
        class_state.typical_latency = latency_at_mean_cost;
      }
      const double sample = std::min(elapsed / (class_state.typical_latency * request.cost), 20.0);
      host.relative_latency += kLatencyGain * (sample - host.relative_latency);
      MachineType& machine_type = hosts_.machine_type_of(host);
      machine_type.relative_latency +=
          kMovingAverageGain * (sample - machine_type.relative_latency);
      class_state.typical_latency +=
          kMovingAverageGain * (latency_at_mean_cost - class_state.typical_latency);
      admission_.on_success(request);
      if (context_.now <= request.objective_deadline) {
        on_response_timeliness(host, false);
      }
      break;
    }
    case AttemptOutcome::rejected_by_host:
      // A host that rejects all requests, because it is overloaded or draining unannounced, has few
      // attempts in flight and looks idle to the selection; hence the backoff.
      host.last_response_at = context_.now;
      host.recent_errors += 1;
      if (host.consecutive_rejections < kMaxConsecutiveRejections) {
        // Further rejections concern only this host and must not raise the shedding threshold.
        admission_.on_rejected_by_host(class_success_factor(host, request.class_index));
      }
      if (++host.consecutive_rejections >= kMaxConsecutiveRejections) {
        host.backoff_until = context_.now + scaled(kRejectionBackoff, 0.5 + context_.draw_unit());
      }
      break;
    case AttemptOutcome::timeout:
      if (class_state.typical_latency > 0 && elapsed > class_state.typical_latency * request.cost) {
        host.relative_latency +=
            std::max(kLatencyGain, kTimeoutGain * admission_.uncertainty()) *
            (std::min(elapsed / (class_state.typical_latency * request.cost), 20.0) -
             host.relative_latency);
      }
      if (context_.now < request.objective_deadline) {
        on_response_timeliness(host, true);  // else counted when the objective passed
      }
      failed = true;
      break;
    case AttemptOutcome::server_error:
      host.last_response_at = context_.now;
      failed = true;
      break;
    case AttemptOutcome::connect_failed:
      // Open connections may still work and are used on: without requests they would become idle
      // and be closed or lost. Only new ones are delayed.
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
      return;  // any host would have failed this request
    case AttemptOutcome::cancelled:
    case AttemptOutcome::not_sent:
      return;
  }
  host.recent_outcomes += 1;
  admission_.on_outcome();
  if (failed) {
    host.recent_errors += 1;
  }
  if (result.outcome != AttemptOutcome::rejected_by_host) {
    host.failure_rate +=
        std::max(kFailureGain, admission_.uncertainty() / (1 + host.recent_outcomes)) *
        ((failed ? 1.0 : 0.0) - host.failure_rate);
  }
  if (result.outcome != AttemptOutcome::connect_failed) {
    const double failure_sample =
        failed || result.outcome == AttemptOutcome::rejected_by_host ? 1 : 0;
    host.class_failure_rates[request.class_index] +=
        kClassFailureGain * (failure_sample - host.class_failure_rates[request.class_index]);
    class_state.failure_rate += kClassPeerGain * (failure_sample - class_state.failure_rate);
  }
  if (host.health == HealthState::probation && result.outcome != AttemptOutcome::rejected_by_host) {
    if (failed) {
      return eject(host, "probation_failed");
    }
    host.health = HealthState::healthy;
    host.failure_rate = 0;
    hosts_.recount();
    if (context_.may_log()) {
      context_.log("host_returned host=" + host.endpoint.address);
    }
  }
}

// In a large fleet a gateway gets too few responses to rate each host in time, and without a rating
// weak machines would be overloaded and stay slow while strong ones are idle. So the weight of each
// machine type follows the late responses of all its hosts, until the types are late equally often,
// and a host with a late response gets fewer requests for a while. Utilization samples are weighted
// by the same weight: machine types that are rarely selected affect the shedding threshold least.
// A late response counts as a utilization of 1, but only if hosts report their utilization at all.
void OutlierDetector::on_response_timeliness(Host& host, bool late) {
  MachineType& machine_type = hosts_.machine_type_of(host);
  const double uncertainty = hosts_.is_large_fleet() ? admission_.uncertainty() : 0;
  if (!late || admission_.utilization() > 0) {
    admission_.on_utilization_sample(late ? 1 : host.utilization, machine_type.selection_weight);
  }
  machine_type.selection_weight *= late ? 1 - kMachineTypeLateReduction * uncertainty
                                        : 1 + kMachineTypeInTimeGrowth * uncertainty;
  double max_weight = 0;
  for (const MachineType& other_type : hosts_.machine_types()) {
    max_weight = std::max(max_weight, other_type.selection_weight);
  }
  for (MachineType& other_type : hosts_.machine_types()) {
    other_type.selection_weight =
        std::max(other_type.selection_weight / max_weight, kMinPenaltyFactor);
  }
  host.late_response_penalty =
      std::clamp(late_response_penalty(host) *
                     (late ? 1 - kHostLateReduction * uncertainty : kHostInTimeGrowth),
                 kMinPenaltyFactor, 1.0);
  host.late_response_penalty_at = context_.now;
}

double OutlierDetector::class_success_factor(const Host& host, std::uint32_t class_index) const {
  const double success_rate =
      1 - std::max(host.class_failure_rates[class_index] -
                       kClassPeerMultiple * context_.classes[class_index].failure_rate,
                   0.0);
  return std::max(success_rate * success_rate * success_rate, kMinClassFactor);
}

void OutlierDetector::eject(Host& host, const char* reason) {
  host.health = HealthState::ejected;
  host.ejected_until = context_.now + scaled(kBaseEjectionTime * (1 << host.ejection_count),
                                             (0.75 + 0.5 * context_.draw_unit()) /
                                                 std::max(admission_.confidence(), 0.2));
  host.ejection_count = std::min(host.ejection_count + 1, kMaxEjectionDoublings);
  if (context_.may_log()) {
    context_.log("host_ejected host=" + host.endpoint.address + " reason=" + reason);
  }
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): two passes
void OutlierDetector::sweep() {
  std::vector<double> relative_latencies;
  std::vector<double> failure_rates;
  std::size_t unavailable_hosts = 0;  // ejected or in probation
  for (HostId id : hosts_.listed()) {
    Host& host = hosts_.at(id);
    // A high relative latency from a past fault keeps requests away from the host, and without
    // requests it would never be corrected. So it returns to the mean of the machine type.
    if (host.served <= 0 && host.in_flight == 0) {
      host.relative_latency +=
          kLatencyDecay * admission_.confidence() *
          (hosts_.machine_type_of(host).relative_latency - host.relative_latency);
      if (host.utilization >= 0) {
        host.utilization += kLatencyDecay * (admission_.utilization() - host.utilization);
      }
    }
    host.recent_outcomes *= 1 - admission_.fast_gain();
    host.recent_errors *= 1 - admission_.fast_gain();
    if (host.health == HealthState::ejected && context_.now >= host.ejected_until) {
      host.health = HealthState::probation;  // single requests test whether it has recovered
    }
    if (host.health != HealthState::healthy) {
      ++unavailable_hosts;
    }
    relative_latencies.push_back(host.relative_latency);
    failure_rates.push_back(host.failure_rate);
    // A paused or lost host would collect requests until their timeouts, so the time since its
    // last response is checked.
    while (!host.outstanding_attempts.empty() &&
           !requests_.attempt_in_flight(host.outstanding_attempts.front(), id)) {
      host.outstanding_attempts.pop_front();
    }
    const Duration max_silence =
        std::max(kMinUnresponsiveTime,
                 scaled(seconds(1), kUnresponsiveLatencies * admission_.typical_latency() *
                                        std::max(1.0, host.relative_latency)));
    host.unresponsive =
        !host.outstanding_attempts.empty() &&
        context_.now -
                std::max(
                    host.last_response_at,
                    requests_.attempt_in_flight(host.outstanding_attempts.front(), id)->sent_at) >
            max_silence;
    if (host.unresponsive && host.utilization >= 0) {
      host.utilization = 1;
    }
  }
  median_relative_latency_ = quantile(relative_latencies, 0.5, 1);
  // If at least a quarter of the hosts has a low failure rate, those with a high one are outliers.
  const double peer_failure_rate = quantile(failure_rates, 0.25, 0);
  // Compared with the other hosts, so that a fault of all hosts ejects none.
  for (HostId id : hosts_.listed()) {
    Host& host = hosts_.at(id);
    if (host.health != HealthState::healthy ||
        static_cast<double>(unavailable_hosts + 1) >
            kMaxEjectedFraction * static_cast<double>(hosts_.listed().size())) {
      continue;
    }
    if (host.failure_rate >
        std::max(kEjectionFailureRate, kPeerFailureMultiple * peer_failure_rate)) {
      eject(host, "failure_rate");
      ++unavailable_hosts;
    } else if (host.ejection_count > 0 && host.failure_rate < 0.05 &&
               context_.now > host.ejected_until + 4 * kBaseEjectionTime) {
      host.ejection_count = 0;
    }
  }
  hosts_.recount();
}

}  // namespace load_balancer
