// The decision module. Interface (types, events, actions): include/ochrehill/ochrehill.hpp.
//
// A request is scored 1 to 100 by worth, refused unsent when it scores below the cutoff, and otherwise sent
// to a random ready host that holds few of our requests, else to the lighter of two draws. Here the parts are
// put together, each of which knows only those above it: hosts and lists (fleet), score and cutoff, health of
// hosts, connections, budgets of cold hosts, pick, attempts. Plain state types and pure helpers: state.hpp.
#include "decide/attempts.hpp"
#include "settings.hpp"

namespace ochrehill {

struct Balancer::Impl {
  Context c;
  OpenRequests requests;
  Fleet fleet{c};
  Subscription subscription{c};
  Cutoff cutoff{c, fleet};
  HostHealth health{c, fleet, cutoff, requests};
  Connections connections{c, fleet};
  ColdStart cold{c, fleet, cutoff};
  Pick pick{c, fleet, cutoff, health, connections, cold};
  Attempts attempts{c, requests, fleet, cutoff, health, connections, cold, pick};
  Time nextSweep, armed{};

  Impl(Settings s, Time t) : c(std::move(s), t), nextSweep(t + kSweep) {}

  void onWake() {
    attempts.onWake();
    if (c.now < nextSweep) return;
    nextSweep = c.now + kSweep;
    connections.sweep();
    health.sweep();
    fleet.sweep();
    cold.sweep();
    attempts.sweep();
    cutoff.sweep();
  }

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
    arm();
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
void Balancer::onClientGone(Time now, RequestId request) {
  impl_->event(now, [&] { impl_->attempts.onClientGone(request); });
}
void Balancer::onTakenOut(Time now, const std::string& address, bool out) {
  impl_->event(now, [&] { impl_->fleet.onTakenOut(address, out); });
}
void Balancer::onPart(Time now, double part) {
  impl_->event(now, [&] { impl_->cold.setPart(part); });
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
