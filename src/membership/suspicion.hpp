// The suspicion of a member: which members reported it and when the suspect is declared dead
// (Lifeguard's dynamic suspicion timeout).
#pragma once

#include <set>
#include <string>

#include "membership/settings.hpp"

namespace gateway::membership {

struct Suspicion {
  Time started_at{};
  std::set<std::string> reporters;  // the first reporter and the members that confirmed it
  unsigned final_pings = 0;         // sent to the suspect shortly before the deadline, so far

  // When the suspect is to be declared dead: after the maximum timeout without a confirmation, less
  // with each confirmation, and after the minimum with all expected ones. `known_members` includes
  // this process.
  Time deadline(const Settings& settings, std::size_t known_members) const;

  // When the next direct ping to the suspect is due; Time::max() after the last one. These pings
  // carry the suspicion to the suspect itself, so that it can refute it even if gossip about the
  // suspicion or its refutation has not arrived.
  Time next_final_ping(const Settings& settings, std::size_t known_members) const;
};

}  // namespace gateway::membership
