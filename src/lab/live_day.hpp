// One day of a scenario in real time: real gateway processes between the laboratory's clients and its hosts,
// all on loopback. The same scenario and seed as in a virtual run mean the same hosts, clients and troubles.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "lab/scenario.hpp"
#include "lab/tally.hpp"

namespace fennelridge::lab {

struct LiveOptions {
  std::string gateway;          // executable
  std::string folder;           // for the gateways' configuration and logs; made if missing
  bool showEachSecond = false;  // a line on standard output
  // Hand moves of the demonstration: one host taken out by an operator's call and called back, another
  // killed.
  bool demo = false;
  std::function<bool()> stopped;  // asked now and then: true ends the day early
};

struct LiveResult {
  DayResult day;
  bool isVoid = false;  // the laboratory itself ran late: the figures mean nothing
  std::string voidReason;
  double latestMs = 0;        // longest that the laboratory did something after its time
  double gatewayCpuUs = 0;    // of all gateways, for each request
  unsigned gatewaysDied = 0;  // without having been killed by the laboratory
  bool stopped = false;
};

// Throws std::runtime_error with one line when a gateway can't be started or is not ready within 10 s.
LiveResult playLive(const Scenario& scenario, std::uint64_t seed, const LiveOptions& options);

}  // namespace fennelridge::lab
