// One day of a scenario in real time: real gateway processes between the laboratory's clients and its hosts,
// all on loopback. The same scenario and seed as in a virtual run mean the same hosts, clients and troubles.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "lab/faults/proxy.hpp"
#include "lab/rig/spread.hpp"
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

  // Of the rig (issue 24). Each names the gateways g with g % every == offset, and a window in seconds from
  // the start of traffic. A fault stands in a proxy between each named gateway and its discovery; without
  // any, gateways talk to discovery straight. A pause stops each named gateway (SIGSTOP) and resumes it.
  struct Window {
    std::uint32_t every = 1, offset = 0;
    double fromS = 0, forS = 0;
  };
  struct DiscoveryFault : Window {
    Fault fault;
  };
  std::vector<DiscoveryFault> discoveryFaults;
  std::vector<Window> pauses;
};

struct LiveResult {
  DayResult day;
  bool isVoid = false;  // the laboratory itself ran late: the figures mean nothing
  std::string voidReason;
  double latestMs = 0;        // longest that the laboratory did something after its time
  double gatewayCpuUs = 0;    // of all gateways, for each request
  unsigned gatewaysDied = 0;  // without having been killed by the laboratory
  bool stopped = false;
  Landed landed;  // at the hosts, each second of traffic: requests that arrived, most held at one arrival
  Spread spread;  // over all seconds of traffic
  std::vector<std::string> events;  // faults and pauses as carried out: "12.000 g3 discovery cut"
};

// Throws std::runtime_error with one line when a gateway can't be started or is not ready within 10 s.
LiveResult playLive(const Scenario& scenario, std::uint64_t seed, const LiveOptions& options);

}  // namespace fennelridge::lab
