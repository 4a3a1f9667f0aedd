// Metrics of one run: value requested and earned by class and second, latency, attempts and host
// load; and their JSON form.
#pragma once

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "lab/analysis/invariant_checker.hpp"
#include "lab/model/fleet_topology.hpp"
#include "lab/scenario/scenario.hpp"

namespace gateway::lab {

// Milliseconds on a logarithmic scale, 0.05 ms to 100 s in steps of under 5 %.
using Latency = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(300, 0.05,
                                                                                    1e5)));
Latency make_latency();
// Upper bound in ms of the bin that holds the quantile `fraction` (0 to 1); 0 if empty.
double percentile(const Latency& histogram, double fraction);
std::uint64_t count_of(const Latency& histogram);

// Result of a client's operation over all of its requests.
enum class RequestResult { in_time, late, refused, failed, unanswered };
inline constexpr std::size_t kRequestResults = 5;
std::string_view name_of(RequestResult result);

// Value of the operations that begin within one second.
struct Second {
  double asked = 0, earned = 0;
};

struct ClassTally {
  std::string name;
  double asked = 0, earned = 0;  // value: sums of priority weights
  std::uint64_t operations = 0, requests = 0;
  std::array<std::uint64_t, kRequestResults> results{};
  Latency latency = make_latency();  // of served operations, from when they were due
  std::vector<Second> seconds;
  std::vector<std::uint32_t> rejections;  // rejections sent, by second
};

struct RunMetrics {
  explicit RunMetrics(const Scenario& scenario);

  void add_operation(std::uint32_t cls, double value, Duration begun_at);
  void add_result(std::uint32_t cls, double value, Duration begun_at, RequestResult result,
                  double late_value_fraction, Duration latency);
  void add_rejection(std::uint32_t cls, Duration at);

  std::vector<ClassTally> classes;
  std::array<std::uint64_t, 9> outcomes{};  // of attempts, by load_balancer::AttemptOutcome
  std::uint64_t attempts = 0, cross_zone_attempts = 0, handshakes = 0, second_copies = 0,
                list_lines = 0;
  double work_done = 0, work_useful = 0;    // seconds of work
  std::vector<double> shedding_thresholds;  // by second: mean over gateways, 0 to 100
  std::vector<std::vector<float>> load;  // by host and second: jobs per core; negative: not running
  std::vector<FaultInterval> troubles;
};

struct RunResult {
  std::string scenario;
  std::uint64_t seed = 0;
  RunMetrics metrics;
  std::array<std::uint64_t, kRules> violations{};
  std::vector<Violation> first_violations;
  double simulated_s = 0;
  std::uint64_t events = 0;

  // Fraction of the requested value that was earned over the whole run; 1 without requests.
  double in_time() const;
  // The same in the worst 10 s window with more than 5 % of the mean requested value.
  double worst_window() const;
  // The same of the worst class.
  double worst_class() const;
  // Weighted: 45 % whole run, 35 % worst window, 20 % worst class; BRIEF 8.1.
  double service() const;
  // Fraction of the hosts' work that produced no response.
  double wasted() const;
  // No rule was violated.
  bool is_clean() const;
};

// All figures in fixed order: equal runs give equal bytes. `full` adds the series for plots.
nlohmann::ordered_json to_json(const RunResult& run, bool full);

}  // namespace gateway::lab
