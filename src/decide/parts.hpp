// The decision module, put together. Interface (types, events, actions): include/ochrehill/ochrehill.hpp.
//
// A request is scored 1 to 100 by worth, refused unsent below the cutoff, else sent to a random ready host
// that holds few of ours, or the lighter of two draws. Each part knows only those before it. Plain state:
// state.hpp.
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
  Known known{c, fleet, cutoff, health, connections, cold};
  Pick pick{known};
  Attempts attempts{known, requests, pick};
  Time nextSweep;

  Parts(Settings s, Time t) : c(std::move(s), t), nextSweep(t + kSweep) {}

  void onWake() {
    attempts.onWake();
    if (c.now < nextSweep) return;
    nextSweep = c.now + kSweep;
    connections.sweep();
    health.sweep();
    fleet.sweep();
    fleet.widen(cutoff.provenRate());
    cold.sweep();
    attempts.sweep();
    cutoff.sweep();
  }
};

}  // namespace ochrehill
