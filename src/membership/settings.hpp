// Settings of the membership protocol. The operator file sets some of them.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "membership/member.hpp"

namespace gateway::membership {

struct Settings {
  std::string name;  // of this member; must be unique in the fleet and the same after a restart
  Address address;   // at which the other members reach this one

  Duration probe_interval = std::chrono::milliseconds(200);  // one member is probed per interval
  // Without an ack within this time the member is probed indirectly, through other members.
  Duration probe_timeout = std::chrono::milliseconds(80);
  unsigned indirect_probe_count = 3;  // members that receive a ping request for one failed probe

  // A suspect is declared dead after the maximum if only one member suspects it, and after the
  // minimum once `expected_confirmations` more members do. A process that is paused for less than
  // the minimum is not declared dead.
  Duration min_suspicion_timeout = std::chrono::seconds(6);
  Duration max_suspicion_timeout = std::chrono::seconds(12);
  unsigned expected_confirmations = 3;

  // Upper limit of the local health score (0: healthy). Probe timers are multiplied by the score
  // plus one.
  unsigned max_local_health_score = 8;
  // Each member transmits an update retransmit_multiplier * log10(alive members + 1) times, rounded
  // up.
  double retransmit_multiplier = 4;
  // Estimated bytes of updates in one message. With fewer, gossip about the simultaneous loss of a
  // tenth of 300 members takes longer than 2 s to reach every member.
  std::size_t max_update_bytes = 700;

  Duration sync_interval = std::chrono::seconds(15);      // mean; with one random member
  Duration reconnect_interval = std::chrono::seconds(1);  // one random dead member is pinged
  // A member that has been dead or left for this long is removed from the member table. Until then
  // a dead member counts as known.
  Duration dead_member_retention = std::chrono::seconds(600);
};

}  // namespace gateway::membership
