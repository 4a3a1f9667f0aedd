// The hosts and gateways of one run, drawn from a scenario by a seed, and the scenario's faults as
// a schedule of steps. Pure functions; the simulation and the live run carry out the same steps.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/model/host_model.hpp"
#include "lab/scenario/scenario.hpp"

namespace gateway::lab {

struct HostPlacement {
  HostTraits traits;
  std::uint32_t zone = 0, kind = 0, cell = 0;
};

struct FleetTopology {
  std::vector<HostPlacement> hosts;
  std::vector<std::uint32_t> gateway_zones;
  // Mean network delay in one direction, in seconds: between zones; between client and gateway.
  std::vector<std::vector<double>> delay;
  double client_delay = 0;
  double capacity = 0;      // seconds of work per second, of all hosts when warm
  double request_rate = 0;  // operations per second
};
FleetTopology draw_topology(const Scenario& scenario, std::uint64_t seed);

enum class FaultStepKind {
  condition_on,  // `fault` affects `targets` from now on
  condition_off,
  host_stop,         // its process ends
  host_start,        // its process starts, cold
  host_add,          // a host like `targets[0]` starts cold under the next index
  host_drain,        // the host list shows it as draining, after discovery's delay
  host_unreachable,  // packets to and from it are lost; connections stay open
  host_reachable,
  gateway_stop,
  gateway_start,
  list_delay_increase,  // changes reach the host list `amount` s later
  list_delay_decrease,
  discovery_down,
  discovery_up
};

struct FaultStep {
  Duration at{};  // since the clients' first request
  FaultStepKind kind = FaultStepKind::condition_on;
  std::uint32_t fault = 0;
  std::vector<std::uint32_t> targets;  // hosts or gateways, by index
  double amount = 0;
};

// When a fault was active, for the report.
struct FaultInterval {
  std::string name;
  Duration from{}, to{};
  std::size_t hits = 0;  // affected hosts or gateways
};

struct FaultSchedule {
  std::vector<FaultStep> steps;  // in order of time
  std::vector<FaultInterval> intervals;
  std::vector<Condition> conditions;  // by fault: its effect on one host
};
FaultSchedule schedule_faults(const Scenario& scenario, const FleetTopology& topology,
                              std::uint64_t seed);

// The joint effect of two conditions on one host.
Condition combine(const Condition& a, const Condition& b);

}  // namespace gateway::lab
