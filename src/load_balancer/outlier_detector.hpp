// Outlier detection: the health of each host by the outcomes of this gateway's attempts, namely
// relative latency, failure rates, ejection, probation, backoff and unresponsiveness.
#pragma once

#include <cmath>

#include "load_balancer/active_requests.hpp"
#include "load_balancer/admission_controller.hpp"

namespace load_balancer {

// Compares each host with the others, so that a fault which affects all hosts ejects none of them.
// Writes its findings into Host, MachineType and ClassState, and reports overload samples to the
// AdmissionController.
class OutlierDetector {
 public:
  OutlierDetector(Context& context, HostSet& hosts, AdmissionController& admission,
                  const ActiveRequests& requests)
      : context_(context), hosts_(hosts), admission_(admission), requests_(requests) {}

  // The result of an attempt at `host`. In probation it decides whether the host returns.
  void on_attempt_result(Host& host, const ActiveRequest& request, const AttemptResult& result);
  // Stores the reported utilization, if there is one.
  void on_load_report(Host& host, const LoadReport& report) {
    host.utilization = report.utilization >= 0 ? report.utilization : host.utilization;
  }
  // Updates unresponsiveness and the end of ejections, and ejects outliers. To be called every
  // kSweepInterval.
  void sweep();
  // A response arrived within the latency objective, or, if `late`, the objective passed without
  // one.
  void on_response_timeliness(Host& host, bool late);

  // Multiplier in the selection after late responses, 0 to 1; 1: no penalty. It recovers with time.
  double late_response_penalty(const Host& host) const {
    return std::min(1.0, host.late_response_penalty *
                             std::exp(to_seconds(context_.now - host.late_response_penalty_at) /
                                      kPenaltyRecoverySeconds));
  }
  // Multiplier in the selection for a class, 0 to 1. It falls as the host fails requests of the
  // class more often than the other hosts do.
  double class_success_factor(const Host& host, std::uint32_t class_index) const;
  // Median of Host::relative_latency over the listed hosts, at the last sweep.
  double median_relative_latency() const { return median_relative_latency_; }

 private:
  void eject(Host& host, const char* reason);

  Context& context_;
  HostSet& hosts_;
  AdmissionController& admission_;
  const ActiveRequests& requests_;
  // An overloaded host stays slow for about this long.
  static constexpr double kPenaltyRecoverySeconds = 20;
  double median_relative_latency_ = 1;
};

}  // namespace load_balancer
