// One day of a scenario in virtual time: hosts, discovery, clients and gateways in this process,
// driven by one agenda. Same scenario, seed and policy: same result, byte for byte.
#pragma once

#include <atomic>
#include <cstdint>

#include "lab/analysis/run_metrics.hpp"
#include "lab/model/policy.hpp"
#include "lab/scenario/scenario.hpp"

namespace gateway::lab {

// `progress`, if given, is set to the simulated share of the day, in thousandths.
DayResult simulate_run(const Scenario& scenario, std::uint64_t seed, const PolicyMaker& policy,
                       std::atomic<unsigned>* progress = nullptr);

}  // namespace gateway::lab
