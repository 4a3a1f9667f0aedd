// The public interface, passed on to the parts of the module. Nothing is decided here.
#include "decide/parts.hpp"
#include "settings.hpp"

namespace ochrehill {

struct Balancer::Impl : Parts {
  using Parts::Parts;
  Time armed{};
  int loggedCut = 0;

  void arm() {
    const Time want = std::max(std::min(nextSweep, attempts.nextGuard()), c.now + Duration(1));
    if (armed > c.now && armed <= want) return;
    armed = want;
    c.emit(ActionKind::wake, 0, 0, kNone, want);
  }

  template <class Handler>
  void event(Time at, Handler handler) {
    c.now = at;
    handler();
    attempts.passTurns();
    subscription.ask();
    logCut();
    arm();
  }

  void logCut() {  // once a fifth of its range is crossed
    const int step = static_cast<int>(cutoff.cut() / 20);
    if (step == loggedCut || !c.mayLog()) return;
    loggedCut = step;
    c.log("cutoff " + std::to_string(static_cast<int>(cutoff.cut())) + " busy " +
          std::to_string(cutoff.busy()));
  }
};

Balancer::Balancer(Settings settings, Time now) {
  validate(settings);
  impl_ = std::make_unique<Impl>(std::move(settings), now);
}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::onHosts(Time now, ListKind kind, const std::vector<HostEntry>& entries) {
  impl_->event(now, [&] {
    impl_->subscription.onHosts(kind);
    if (kind != ListKind::unavailable) impl_->fleet.onHosts(kind, entries);
  });
}
void Balancer::onRequest(Time now, const Request& request) {
  impl_->event(now, [&] { impl_->attempts.onRequest(request); });
}
void Balancer::onWhole(Time now, RequestId request) {
  impl_->event(now, [&] { impl_->attempts.onWhole(request); });
}
void Balancer::onAnswerStarted(Time now, RequestId request, std::uint32_t attempt) {
  impl_->event(now, [&] { impl_->attempts.onAnswerStarted(request, attempt); });
}
void Balancer::onResult(Time now, const AttemptResult& result) {
  impl_->event(now, [&] { impl_->attempts.onResult(result); });
}
void Balancer::onReport(Time now, HostId host, const LoadReport& report) {
  impl_->event(now, [&] {
    if (host >= impl_->fleet.size()) return;
    impl_->cold.onReport(impl_->fleet.at(host), report);
    impl_->health.onReport(impl_->fleet.at(host), report);
  });
}
void Balancer::onClientGone(Time now, RequestId request) {
  impl_->event(now, [&] { impl_->attempts.onClientGone(request); });
}
void Balancer::onTakenOut(Time now, const std::string& address, bool out) {
  impl_->event(now, [&] { impl_->fleet.onTakenOut(address, out); });
}
void Balancer::onPart(Time now, double part) {
  impl_->event(now, [&] { impl_->cold.setPart(part); });
}
void Balancer::onAllowance(Time now, std::uint64_t furtherAttempts) {
  impl_->event(now, [&] { impl_->attempts.allow(furtherAttempts); });
}
void Balancer::onWake(Time now) {
  impl_->event(now, [&] { impl_->onWake(); });
}
std::vector<Action>& Balancer::actions() { return impl_->c.out; }
HostId Balancer::findHost(std::string_view address) const { return impl_->fleet.find(address); }
const std::string& Balancer::address(HostId host) const { return impl_->fleet.at(host).entry.address; }
double Balancer::cutoff() const { return impl_->cutoff.cut(); }
std::size_t Balancer::openRequests() const { return impl_->requests.size(); }

}  // namespace ochrehill
