// Slow start: limits the requests to each host that is warming up, so that all gateways together do
// not overload it.
#pragma once

#include "load_balancer/admission_controller.hpp"

namespace load_balancer {

// Estimates the rate that each warming host tolerates from this gateway, by what warm hosts of its
// machine type have served and by load reports, and enforces it with a token bucket per host.
class SlowStart {
 public:
  SlowStart(Context& context, HostSet& hosts, const AdmissionController& admission)
      : context_(context), hosts_(hosts), admission_(admission) {}

  // True if the host may be sent one more request now; always true of a warm host. Refills the
  // host's tokens but takes none: on_sent does.
  bool try_admit(Host& host);
  // To be called for every attempt that is sent, whatever becomes of it.
  void on_sent(Host& host) { host.warmup_tokens -= hosts_.is_warming_up(host) ? 1 : 0; }
  // A host has served an attempt successfully. To be called after the load report of the same
  // response; a success without a report does not count towards the capacity.
  void on_success(Host& host) {
    hosts_.machine_type_of(host).reported_successes += host.reported_at == context_.now ? 1 : 0;
  }
  // A load report has arrived from a host, with a response or a health check.
  void on_load_report(Host& host, const LoadReport& report);
  // See Balancer::set_budget_fraction.
  void set_budget_fraction(double fraction) { budget_fraction_ = fraction; }
  // Updates the estimates by machine type. To be called every kSweepInterval.
  void sweep();

 private:
  double safe_rate(const Host& host, double window_seconds) const;
  Context& context_;
  HostSet& hosts_;
  const AdmissionController& admission_;
  double budget_fraction_ = 1;    // of the safe rate, 0 to 1
  double mean_service_time_ = 0;  // seconds of a warm host, over all machine types; 0: unknown
};

}  // namespace load_balancer
