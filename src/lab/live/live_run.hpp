// One day of a scenario in real time: real gateway processes between the laboratory's clients and
// its hosts, all on loopback. The same scenario and seed as in a virtual run mean the same hosts,
// clients and troubles.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "lab/analysis/run_metrics.hpp"
#include "lab/rig/fleet_check.hpp"
#include "lab/rig/plan.hpp"
#include "lab/rig/spread.hpp"
#include "lab/scenario/scenario.hpp"

namespace gateway::lab {

struct LiveOptions {
  std::string gateway;            // executable
  std::string folder;             // for the gateways' configuration and logs; made if missing
  bool show_each_second = false;  // a line on standard output
  // Hand moves of the demonstration: one host taken out by an operator's call and called back,
  // another killed.
  bool demo = false;
  std::function<bool()> stopped;  // asked now and then: true ends the day early
  const RigPlan* rig = nullptr;   // faults between the processes, and what is done to them; none
};

struct PhaseSpread {  // of a stretch of the day, over the hosts that ran all through it
  std::string name;
  double from_s = 0, to_s = 0;
  Spread spread;
};

struct LiveResult {
  explicit LiveResult(DayResult r) : run(std::move(r)) {}
  DayResult run;
  bool is_void = false;  // the laboratory itself ran late: the figures mean nothing
  std::string void_reason;
  double max_delay_ms = 0;    // longest that the laboratory did something after its time
  double gateway_cpu_us = 0;  // of all gateways, for each request
  double gateway_memory_mb = 0,
         gateway_descriptors = 0;  // of one process, at the end: the most of any
  double host_connections = 0;     // open at one host: mean over hosts and seconds
  unsigned gateways_died = 0;      // without having been killed by the laboratory
  bool stopped = false;
  HostArrivals arrivals;  // at the hosts
  Spread spread;          // from the plan's `from_s` on
  // herd peak of 2 s before the first fault or move, the median: what chance does
  double herd_peak_baseline = 0;
  std::vector<PhaseSpread> recoveries;      // the 2 s after a move's gateways were all back
  std::optional<FleetCheck::Report> fleet;  // where the gateways shared state
  std::vector<std::string> events;  // faults and moves as carried out: "12.000 kill gateways 0-6"
};

// Throws std::runtime_error with one line when a gateway can't be started or is not ready within
// GatewayProcess::kReadinessTimeout.
LiveResult run_live(const Scenario& scenario, std::uint64_t seed, const LiveOptions& options);

}  // namespace gateway::lab
