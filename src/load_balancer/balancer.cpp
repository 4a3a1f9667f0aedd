// Balancer forwards every event to the component that handles it. No decision is made here.
#include "load_balancer/components.hpp"
#include "load_balancer/settings_validation.hpp"

namespace load_balancer {

struct Balancer::Impl : BalancerComponents {
  using BalancerComponents::BalancerComponents;
  Time next_wakeup{};   // the last one that was requested
  int logged_step = 0;  // shedding threshold of the last log line, in fifths of its range

  // Requests a wakeup for the next sweep or timer, unless an earlier one is pending.
  void schedule_wakeup() {
    const Time wakeup_at =
        std::max(std::min(next_sweep, scheduler.next_timer()), context.now + Duration(1));
    if (next_wakeup > context.now && next_wakeup <= wakeup_at) {
      return;
    }
    next_wakeup = wakeup_at;
    context.emit(ScheduleWakeup{wakeup_at});
  }

  // Calls `handler` at the time of the event, then the steps that are due after every event.
  template <class Handler>
  void handle_event(Time at, Handler handler) {
    context.now = at;
    handler();
    scheduler.dispatch_queued();
    discovery_poller.poll_if_due();
    log_threshold();
    schedule_wakeup();
  }

  // Logs the shedding threshold when it has entered another fifth of its range.
  void log_threshold() {
    const int step = static_cast<int>(admission.shedding_threshold() / 20);
    if (step == logged_step || !context.may_log()) {
      return;
    }
    logged_step = step;
    context.log("admission_threshold_changed threshold=" +
                std::to_string(static_cast<int>(admission.shedding_threshold())) +
                " utilization=" + std::to_string(admission.utilization()));
  }
};

Balancer::Balancer(Settings settings, Time now) {
  validate(settings);
  impl_ = std::make_unique<Impl>(std::move(settings), now);
}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::on_endpoint_update(Time now, EndpointUpdateKind kind,
                                  const std::vector<Endpoint>& entries) {
  impl_->handle_event(now, [&] {
    impl_->discovery_poller.on_endpoint_update(kind);
    if (kind != EndpointUpdateKind::unavailable) {
      impl_->hosts.on_endpoint_update(kind, entries);
    }
  });
}
void Balancer::on_request(Time now, const Request& request) {
  impl_->handle_event(now, [&] { impl_->scheduler.on_request(request); });
}
void Balancer::on_request_complete(Time now, RequestId request, Duration waited) {
  impl_->handle_event(now, [&] { impl_->scheduler.on_request_complete(request, waited); });
}
void Balancer::on_response_started(Time now, RequestId request, std::uint32_t attempt) {
  impl_->handle_event(now, [&] { impl_->scheduler.on_response_started(request, attempt); });
}
void Balancer::on_attempt_result(Time now, const AttemptResult& result) {
  impl_->handle_event(now, [&] { impl_->scheduler.on_attempt_result(result); });
}
void Balancer::on_load_report(Time now, HostId host, const LoadReport& report) {
  impl_->handle_event(now, [&] {
    if (host >= impl_->hosts.size()) {
      return;
    }
    impl_->slow_start.on_load_report(impl_->hosts.at(host), report);
    impl_->outlier_detector.on_load_report(impl_->hosts.at(host), report);
  });
}
void Balancer::on_client_disconnected(Time now, RequestId request) {
  impl_->handle_event(now, [&] { impl_->scheduler.on_client_disconnected(request); });
}
void Balancer::set_maintenance(Time now, const std::string& address, bool in_maintenance) {
  impl_->handle_event(now, [&] { impl_->hosts.set_maintenance(address, in_maintenance); });
}
void Balancer::set_budget_fraction(Time now, double fraction) {
  impl_->handle_event(now, [&] { impl_->slow_start.set_budget_fraction(fraction); });
}
void Balancer::set_latest_response(Time now, Time latest) {
  impl_->handle_event(now, [&] { impl_->scheduler.set_latest_response(latest); });
}
void Balancer::set_retry_allowance(Time now, std::uint64_t retries) {
  impl_->handle_event(now, [&] { impl_->scheduler.set_retry_allowance(retries); });
}
void Balancer::on_wakeup(Time now) {
  impl_->handle_event(now, [&] { impl_->on_wake(); });
}
std::vector<Action>& Balancer::actions() {
  return impl_->context.actions;
}
HostId Balancer::find_host(std::string_view address) const {
  return impl_->hosts.find(address);
}
const std::string& Balancer::address(HostId host) const {
  return impl_->hosts.at(host).endpoint.address;
}
double Balancer::shedding_threshold() const {
  return impl_->admission.shedding_threshold();
}
std::size_t Balancer::active_requests() const {
  return impl_->requests.size();
}

}  // namespace load_balancer
