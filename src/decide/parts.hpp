// The decision module, put together. Interface (types, events, actions): include/ochrehill/ochrehill.hpp.
//
// A request is scored 1 to 100 by worth, refused unsent when it scores below the cutoff, and otherwise sent
// to a random ready host that holds few of our requests, else to the lighter of two draws. Each part
// knows only those before it. Plain state types and pure helpers: state.hpp.
#pragma once

#include "decide/attempts.hpp"
#include "subscription.hpp"

namespace ochrehill {

struct Parts {
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

  Parts(Settings s, Time t) : c(std::move(s), t), nextSweep(t + kSweep) {}

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

}  // namespace ochrehill
