// What one day showed: worth asked and earned, by class and second; latency; attempts; load. And
// its JSON.
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
double percentile(const Latency& histogram, double share);  // in ms; 0 when empty
std::uint64_t count_of(const Latency& histogram);

enum class RequestResult {
  in_time,
  late,
  refused,
  failed,
  unanswered
};  // of a client's wish, over all of its tries
inline constexpr std::size_t kFates = 5;
std::string_view name_of(RequestResult fate);

struct Second {  // of clients' wishes born in it
  double asked = 0, earned = 0;
};

struct ClassTally {
  std::string name;
  double asked = 0, earned = 0;  // worth
  std::uint64_t wishes = 0, tries = 0;
  std::array<std::uint64_t, kFates> fates{};
  Latency latency = make_latency();  // of those that were served, from when they were due
  std::vector<Second> seconds;
  std::vector<std::uint32_t> refusals;  // answers by the second
};

struct RunMetrics {
  explicit RunMetrics(const Scenario& scenario);

  void wish(std::uint32_t cls, double worth, Duration born_at);
  void fate(std::uint32_t cls, double worth, Duration born_at, RequestResult fate,
            double late_share, Duration taken);
  void refusal(std::uint32_t cls, Duration at);

  std::vector<ClassTally> classes;
  std::array<std::uint64_t, 9> outcomes{};  // of attempts, by load_balancer::AttemptOutcome
  std::uint64_t attempts = 0, crossings = 0, handshakes = 0, second_copies = 0, list_lines = 0;
  double work_done = 0, work_useful = 0;  // seconds of work
  std::vector<double> cutoffs;            // by second: mean over gateways
  std::vector<std::vector<float>> load;   // by host, by second: held a core; negative: not running
  std::vector<FaultInterval> troubles;
};

struct DayResult {
  std::string scenario;
  std::uint64_t seed = 0;
  RunMetrics tally;
  std::array<std::uint64_t, kRules> breaches{};
  std::vector<Breach> first_breaches;
  double simulated_s = 0;
  std::uint64_t events = 0;

  double in_time() const;  // share of the worth earned, over the whole day
  double worst_window()
      const;  // in the worst 10 s that had a twentieth of the mean traffic at least
  double worst_class() const;
  double service() const;  // 45 % whole, 35 % worst window, 20 % worst class; BRIEF 8.1
  double wasted() const;   // share of the hosts' work that produced no answer
  bool clean() const;
};

// All figures, in fixed order: the same day gives the same bytes. `full`: with what is needed for
// plots.
nlohmann::ordered_json to_json(const DayResult& day, bool full);

}  // namespace gateway::lab
