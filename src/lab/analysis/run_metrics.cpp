#include "lab/analysis/run_metrics.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace gateway::lab {
namespace {

constexpr std::array<std::string_view, kRequestResults> kResultNames{"in_time", "late", "refused",
                                                                     "failed", "unanswered"};
constexpr std::array<std::string_view, 9> kOutcomeNames{"served",    "error",          "full",
                                                        "timeout",   "connect_failed", "reset",
                                                        "cancelled", "moot",           "rejected"};
constexpr std::size_t kWindowSeconds = 10;

std::size_t second_of(Duration at) {
  return static_cast<std::size_t>(std::max(to_seconds(at), 0.0));
}

template <class T>
T& element_at(std::vector<T>& items, std::size_t at) {
  if (items.size() <= at) {
    items.resize(at + 1);
  }
  return items[at];
}

double rounded(double value) {
  return std::round(value * 1e6) / 1e6;
}

}  // namespace

std::string_view name_of(RequestResult result) {
  return kResultNames[static_cast<std::size_t>(result)];
}

Latency make_latency() {
  using namespace boost::histogram;
  return make_histogram(axis::regular<double, axis::transform::log>(300, 0.05, 1e5));
}

std::uint64_t count_of(const Latency& h) {
  double all = 0;
  for (auto&& bin : boost::histogram::indexed(h, boost::histogram::coverage::all)) {
    all += *bin;
  }
  return static_cast<std::uint64_t>(all);
}

double percentile(const Latency& h, double fraction) {
  const double target_count = fraction * static_cast<double>(count_of(h));
  double seen = 0;
  double at = 0;
  if (target_count <= 0) {
    return 0;
  }
  for (auto&& bin : boost::histogram::indexed(h, boost::histogram::coverage::all)) {
    seen += *bin;
    at = bin.bin().upper();
    if (seen >= target_count) {
      break;
    }
  }
  return std::isfinite(at) ? at : h.axis(0).bin(h.axis(0).size() - 1).upper();
}

RunMetrics::RunMetrics(const Scenario& s) {
  for (const ClassSpec& c : s.classes) {
    classes.emplace_back();
    classes.back().name = c.name;
  }
}

void RunMetrics::add_operation(std::uint32_t cls, double value, Duration begun_at) {
  ClassTally& c = classes[cls];
  ++c.operations;
  c.asked += value;
  element_at(c.seconds, second_of(begun_at)).asked += value;
}

void RunMetrics::add_result(std::uint32_t cls, double value, Duration begun_at,
                            RequestResult result, double late_value_fraction, Duration latency) {
  ClassTally& c = classes[cls];
  ++c.results[static_cast<std::size_t>(result)];
  const double earned = result == RequestResult::in_time ? value
                        : result == RequestResult::late  ? value * late_value_fraction
                                                         : 0;
  c.earned += earned;
  element_at(c.seconds, second_of(begun_at)).earned += earned;
  if (result == RequestResult::in_time || result == RequestResult::late) {
    c.latency(to_seconds(latency) * 1e3);
  }
}

void RunMetrics::add_rejection(std::uint32_t cls, Duration at) {
  ++element_at(classes[cls].rejections, second_of(at));
}

double RunResult::in_time() const {
  double asked = 0;
  double earned = 0;
  for (const ClassTally& c : metrics.classes) {
    asked += c.asked, earned += c.earned;
  }
  return asked > 0 ? earned / asked : 1;
}

double RunResult::worst_class() const {
  double worst = 1;
  for (const ClassTally& c : metrics.classes) {
    if (c.asked > 0) {
      worst = std::min(worst, c.earned / c.asked);
    }
  }
  return worst;
}

double RunResult::worst_window() const {
  std::vector<Second> all;
  for (const ClassTally& c : metrics.classes) {
    for (std::size_t i = 0; i < c.seconds.size(); ++i) {
      element_at(all, i).asked += c.seconds[i].asked;
      all[i].earned += c.seconds[i].earned;
    }
  }
  double total = 0;
  for (const Second& s : all) {
    total += s.asked;
  }
  const std::size_t window = std::min(kWindowSeconds, all.size());
  const double min_asked =
      all.empty() ? 0
                  : 0.05 * total / static_cast<double>(all.size()) * static_cast<double>(window);
  double worst = 1;
  for (std::size_t i = 0; i + window <= all.size() && window > 0; ++i) {
    Second sum;
    for (std::size_t k = 0; k < window; ++k) {
      sum.asked += all[i + k].asked, sum.earned += all[i + k].earned;
    }
    if (sum.asked > min_asked) {
      worst = std::min(worst, sum.earned / sum.asked);
    }
  }
  return worst;
}

double RunResult::service() const {
  return 0.45 * in_time() + 0.35 * worst_window() + 0.2 * worst_class();
}

double RunResult::wasted() const {
  return metrics.work_done > 0 ? std::max(1 - metrics.work_useful / metrics.work_done, 0.0) : 0;
}

bool RunResult::is_clean() const {
  return std::all_of(violations.begin(), violations.end(), [](std::uint64_t n) { return n == 0; });
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): too long
nlohmann::ordered_json to_json(const RunResult& run, bool full) {
  using json = nlohmann::ordered_json;
  const RunMetrics& t = run.metrics;
  json out{{"scenario", run.scenario},
           {"seed", run.seed},
           {"service", rounded(run.service())},
           {"in_time", rounded(run.in_time())},
           {"worst_window", rounded(run.worst_window())},
           {"worst_class", rounded(run.worst_class())},
           {"wasted", rounded(run.wasted())},
           {"simulated_s", rounded(run.simulated_s)},
           {"events", run.events}};
  json rules = json::object();
  for (std::size_t i = 0; i < kRules; ++i) {
    if (run.violations[i] > 0) {
      rules[std::string(name_of(static_cast<Rule>(i)))] = run.violations[i];
    }
  }
  out["breaches"] = rules;
  json first = json::array();
  for (const Violation& b : run.first_violations) {
    first.push_back({{"rule", name_of(b.rule)},
                     {"at_s", rounded(to_seconds(b.at))},
                     {"gateway", b.gateway},
                     {"what", b.what}});
  }
  out["first_breaches"] = first;
  json classes = json::array();
  for (const ClassTally& c : t.classes) {
    json one{{"name", c.name},
             {"wishes", c.operations},
             {"tries", c.requests},
             {"asked", rounded(c.asked)},
             {"earned", rounded(c.earned)},
             {"p50_ms", rounded(percentile(c.latency, 0.5))},
             {"p99_ms", rounded(percentile(c.latency, 0.99))}};
    for (std::size_t i = 0; i < kRequestResults; ++i) {
      one[std::string(kResultNames[i])] = c.results[i];
    }
    if (full) {
      json asked = json::array();
      json earned = json::array();
      for (const Second& s : c.seconds) {
        asked.push_back(rounded(s.asked)), earned.push_back(rounded(s.earned));
      }
      one["asked_by_second"] = asked;
      one["earned_by_second"] = earned;
      one["refusals_by_second"] = c.rejections;
      json shares = json::array();
      for (double p : {0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999}) {
        shares.push_back({p, rounded(percentile(c.latency, p))});
      }
      one["latency_ms"] = shares;
    }
    classes.push_back(one);
  }
  out["classes"] = classes;
  json outcomes = json::object();
  for (std::size_t i = 0; i < kOutcomeNames.size(); ++i) {
    outcomes[std::string(kOutcomeNames[i])] = t.outcomes[i];
  }
  out["attempts"] = {{"all", t.attempts},
                     {"crossings", t.cross_zone_attempts},
                     {"handshakes", t.handshakes},
                     {"second_copies", t.second_copies},
                     {"outcomes", outcomes}};
  out["list_lines"] = t.list_lines;
  if (full) {
    json cut = json::array();
    for (double c : t.shedding_thresholds) {
      cut.push_back(rounded(c));
    }
    out["cutoff_by_second"] = cut;
    json troubles = json::array();
    for (const FaultInterval& x : t.troubles) {
      troubles.push_back({{"name", x.name},
                          {"from_s", rounded(to_seconds(x.from))},
                          {"to_s", rounded(to_seconds(x.to))},
                          {"hits", x.hits}});
    }
    out["troubles"] = troubles;
    json load = json::array();
    for (const auto& host : t.load) {
      json row = json::array();
      for (float f : host) {
        row.push_back(std::round(static_cast<double>(f) * 100) / 100);
      }
      load.push_back(row);
    }
    out["held_per_core"] = load;
  }
  return out;
}

}  // namespace gateway::lab
