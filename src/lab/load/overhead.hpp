// Measures the overhead of a gateway: the same load sent directly to emulated hosts and through one
// gateway process.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lab/load/load.hpp"
#include "lab/scenario/scenario.hpp"

namespace gateway::lab {

struct OverheadOptions {
  std::string gateway, folder;      // the executable, and a folder for its files
  double rate = 2000, seconds = 5;  // requests a second; duration of each of the two loads
  unsigned connections = 64;        // maximum open connections from clients to the gateway
  std::function<bool()> stopped;    // as LoadOptions::stopped
};

struct OverheadResult {
  unsigned hosts = 0;
  LoadResult direct, through;  // sent to the hosts, and to the gateway
  double gateway_cpu_us = 0;   // CPU time of the gateway for each request with a response
  // Longest delay of the emulator behind its timers. Above 100 ms the figures are invalid.
  double emulator_late_ms = 0;
  // All requests were served, both loads kept their schedule, and the emulator kept its limit.
  bool is_valid() const;
};

// Emulated hosts and discovery run in their own thread. Of the scenario's traffic only the first
// class is requested; its faults are not injected. Throws std::runtime_error if the gateway does
// not become ready in time.
OverheadResult measure_overhead(const Scenario& scenario, std::uint64_t seed,
                                const OverheadOptions& options);

}  // namespace gateway::lab
