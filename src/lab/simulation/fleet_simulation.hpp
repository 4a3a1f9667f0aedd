// One run of a scenario in virtual time: hosts, discovery, clients and gateways in this process,
// driven by one event queue. The same scenario, seed and policy give the same result, byte for
// byte.
#pragma once

#include <atomic>
#include <cstdint>

#include "lab/analysis/run_metrics.hpp"
#include "lab/model/policy.hpp"
#include "lab/scenario/scenario.hpp"

namespace gateway::lab {

// `progress`, if given, is set to the simulated part of the scenario's length, in thousandths.
// Throws std::logic_error when the policy sends to an unknown host, and what the policy throws.
RunResult simulate_run(const Scenario& scenario, std::uint64_t seed, const PolicyMaker& policy,
                       std::atomic<unsigned>* progress = nullptr);

}  // namespace gateway::lab
