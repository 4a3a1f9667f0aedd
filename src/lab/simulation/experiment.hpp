// Many runs: one for each seed, and the paired comparison of two sets of results.
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "lab/analysis/run_metrics.hpp"
#include "lab/model/policy.hpp"
#include "lab/scenario/scenario.hpp"

namespace gateway::lab {

using Progress = std::function<void(double share)>;  // 0 to 1; called from the caller's thread

// One run for each of `seeds` seeds from `first` on, `jobs` at a time. Results are in order of seed
// and do not depend on `jobs`. An exception of one run, such as from the policy, ends all runs and
// is rethrown.
std::vector<RunResult> simulate_runs(const Scenario& scenario, std::uint64_t first, unsigned seeds,
                                     unsigned jobs, const PolicyMaker& policy,
                                     const Progress& progress = {});

struct Difference {
  std::string figure;
  double mean_a = 0, mean_b = 0;
  double mean = 0, low = 0, high = 0;  // B minus A, paired by seed; 95 % interval
  std::size_t pairs = 0;
  bool is_noise() const { return low <= 0 && high >= 0; }
};

// Mean of paired differences with a percentile bootstrap of 10,000 resamples, seeded: same input,
// same output.
Difference compare(const std::string& figure, const std::vector<double>& a,
                   const std::vector<double>& b);

// Two results as written by `run --json`, paired by seed. Throws std::invalid_argument with one
// line when they do not hold the same scenario, or share no seed.
std::vector<Difference> compare_results(const nlohmann::ordered_json& a,
                                        const nlohmann::ordered_json& b);

// "path=value" set in a scenario's JSON: clients.load=0.9, hosts.kinds[0].cores=4. The value is
// JSON, or taken for a text. Throws std::invalid_argument with one line.
void set_field(nlohmann::json& scenario, const std::string& assignment);

}  // namespace gateway::lab
