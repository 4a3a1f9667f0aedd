// Who stands where: the hosts and gateways of one day, drawn from a scenario by a seed, and what
// troubles do to them, as a list of steps. Pure; both clocks carry out the same steps.
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
  // One way between zones, seconds in the mean; and between client and gateway.
  std::vector<std::vector<double>> delay;
  double client_delay = 0;
  double capacity = 0;      // work a second of all hosts, warm
  double request_rate = 0;  // first tries a second
};
FleetTopology draw_topology(const Scenario& scenario, std::uint64_t seed);

enum class FaultStepKind {
  condition_on,  // `trouble` holds for `hosts` from now on
  condition_off,
  host_stop,         // the process ends
  host_start,        // it starts, cold
  host_add,          // a new host, like `hosts[0]`, starts cold under the next number
  host_drain,        // discovery learns that it drains
  host_unreachable,  // it vanishes without a word
  host_reachable,
  gateway_stop,
  gateway_start,
  list_delay_increase,  // the list falls `amount` s further behind
  list_delay_decrease,
  discovery_down,
  discovery_up
};

struct FaultStep {
  Duration at{};  // since the clients began
  FaultStepKind kind = FaultStepKind::condition_on;
  std::uint32_t fault = 0;
  std::vector<std::uint32_t> targets;  // hosts or gateways
  double amount = 0;
};

struct FaultInterval {  // for the report
  std::string name;
  Duration from{}, to{};
  std::size_t hits = 0;  // hosts or gateways
};

struct FaultSchedule {
  std::vector<FaultStep> steps;  // in order of time
  std::vector<FaultInterval> intervals;
  std::vector<Condition> conditions;  // by trouble: what it makes of one host
};
FaultSchedule schedule_faults(const Scenario& scenario, const FleetTopology& layout,
                              std::uint64_t seed);

// Several conditions at one host.
Condition combine(const Condition& a, const Condition& b);

}  // namespace gateway::lab
