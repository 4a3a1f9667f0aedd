// One run of a scenario in real time: real gateway processes between the laboratory's clients and
// its hosts, all on loopback. With the same scenario and seed the hosts, clients and faults are
// those of a simulated run.
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
  std::string folder;             // for the gateways' configuration and logs; created if missing
  bool show_each_second = false;  // a line on standard output
  // Adds the steps of the demonstration: an operator call puts one host into maintenance and
  // another call ends it; a second host is killed and restarted.
  bool demo = false;
  std::function<bool()> stopped;  // called regularly; true ends the run early
  const RigPlan* rig = nullptr;   // link faults and process moves; null: none
};

// Spread over one interval of the run, at the hosts that were up during all of it.
struct PhaseSpread {
  std::string name;
  double from_s = 0, to_s = 0;
  Spread spread;
};

struct LiveResult {
  explicit LiveResult(RunResult r) : run(std::move(r)) {}
  RunResult run;
  bool is_void = false;  // the laboratory's own tasks were delayed: the figures are not valid
  std::string void_reason;
  double max_delay_ms = 0;    // longest delay of a task of the laboratory
  double gateway_cpu_us = 0;  // of all gateways, per request
  double gateway_memory_mb = 0,
         gateway_descriptors = 0;  // at the end, of the process with the most
  double host_connections = 0;     // open at one host: mean over hosts and seconds
  unsigned gateways_died = 0;      // without a signal from the laboratory
  bool stopped = false;
  HostArrivals arrivals;  // counted at the hosts
  Spread spread;          // from the `from_s` of the plan's bounds on
  // Median herd peak of the 2 s intervals before the first fault or move: the variation by chance.
  double herd_peak_baseline = 0;
  std::vector<PhaseSpread> recoveries;      // the 2 s after all gateways of a move are ready
  std::optional<FleetCheck::Report> fleet;  // only if the gateways share state
  std::vector<std::string>
      events;  // faults and moves with their time, such as "12.000 kill gateways 0-6"
};

// Runs the scenario; returns after all gateway processes were sent SIGTERM and waited for. Throws
// std::runtime_error with a one-line message when a gateway cannot be started or is not ready
// within GatewayProcess::kReadinessTimeout.
LiveResult run_live(const Scenario& scenario, std::uint64_t seed, const LiveOptions& options);

}  // namespace gateway::lab
