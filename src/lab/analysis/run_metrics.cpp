#include "lab/analysis/run_metrics.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace gateway::lab {
namespace {

constexpr std::array<std::string_view, kFates> kFateNames{"in_time", "late", "refused", "failed",
                                                          "unanswered"};
constexpr std::array<std::string_view, 9> kOutcomeNames{"served",    "error",          "full",
                                                        "timeout",   "connect_failed", "reset",
                                                        "cancelled", "moot",           "rejected"};
constexpr std::size_t kWindow = 10;  // seconds

std::size_t second_of(Duration at) {
  return static_cast<std::size_t>(std::max(to_seconds(at), 0.0));
}

template <class T>
T& grown(std::vector<T>& items, std::size_t at) {
  if (items.size() <= at) {
    items.resize(at + 1);
  }
  return items[at];
}

double rounded(double value) {
  return std::round(value * 1e6) / 1e6;
}

}  // namespace

std::string_view name_of(RequestResult fate) {
  return kFateNames[static_cast<std::size_t>(fate)];
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

double percentile(const Latency& h, double share) {
  const double want = share * static_cast<double>(count_of(h));
  double seen = 0;
  double at = 0;
  if (want <= 0) {
    return 0;
  }
  for (auto&& bin : boost::histogram::indexed(h, boost::histogram::coverage::all)) {
    seen += *bin;
    at = bin.bin().upper();
    if (seen >= want) {
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

void RunMetrics::wish(std::uint32_t cls, double worth, Duration born_at) {
  ClassTally& c = classes[cls];
  ++c.wishes;
  c.asked += worth;
  grown(c.seconds, second_of(born_at)).asked += worth;
}

void RunMetrics::fate(std::uint32_t cls, double worth, Duration born_at, RequestResult fate,
                      double late_share, Duration taken) {
  ClassTally& c = classes[cls];
  ++c.fates[static_cast<std::size_t>(fate)];
  const double earned = fate == RequestResult::in_time ? worth
                        : fate == RequestResult::late  ? worth * late_share
                                                       : 0;
  c.earned += earned;
  grown(c.seconds, second_of(born_at)).earned += earned;
  if (fate == RequestResult::in_time || fate == RequestResult::late) {
    c.latency(to_seconds(taken) * 1e3);
  }
}

void RunMetrics::refusal(std::uint32_t cls, Duration at) {
  ++grown(classes[cls].refusals, second_of(at));
}

double DayResult::in_time() const {
  double asked = 0;
  double earned = 0;
  for (const ClassTally& c : tally.classes) {
    asked += c.asked, earned += c.earned;
  }
  return asked > 0 ? earned / asked : 1;
}

double DayResult::worst_class() const {
  double worst = 1;
  for (const ClassTally& c : tally.classes) {
    if (c.asked > 0) {
      worst = std::min(worst, c.earned / c.asked);
    }
  }
  return worst;
}

double DayResult::worst_window() const {
  std::vector<Second> all;
  for (const ClassTally& c : tally.classes) {
    for (std::size_t i = 0; i < c.seconds.size(); ++i) {
      grown(all, i).asked += c.seconds[i].asked;
      all[i].earned += c.seconds[i].earned;
    }
  }
  double total = 0;
  for (const Second& s : all) {
    total += s.asked;
  }
  const std::size_t window = std::min(kWindow, all.size());
  const double least =
      all.empty() ? 0
                  : 0.05 * total / static_cast<double>(all.size()) * static_cast<double>(window);
  double worst = 1;
  for (std::size_t i = 0; i + window <= all.size() && window > 0; ++i) {
    Second sum;
    for (std::size_t k = 0; k < window; ++k) {
      sum.asked += all[i + k].asked, sum.earned += all[i + k].earned;
    }
    if (sum.asked > least) {
      worst = std::min(worst, sum.earned / sum.asked);
    }
  }
  return worst;
}

double DayResult::service() const {
  return 0.45 * in_time() + 0.35 * worst_window() + 0.2 * worst_class();
}

double DayResult::wasted() const {
  return tally.work_done > 0 ? std::max(1 - tally.work_useful / tally.work_done, 0.0) : 0;
}

bool DayResult::clean() const {
  return std::all_of(breaches.begin(), breaches.end(), [](std::uint64_t n) { return n == 0; });
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): too long
nlohmann::ordered_json to_json(const DayResult& day, bool full) {
  using json = nlohmann::ordered_json;
  const RunMetrics& t = day.tally;
  json out{{"scenario", day.scenario},
           {"seed", day.seed},
           {"service", rounded(day.service())},
           {"in_time", rounded(day.in_time())},
           {"worst_window", rounded(day.worst_window())},
           {"worst_class", rounded(day.worst_class())},
           {"wasted", rounded(day.wasted())},
           {"simulated_s", rounded(day.simulated_s)},
           {"events", day.events}};
  json rules = json::object();
  for (std::size_t i = 0; i < kRules; ++i) {
    if (day.breaches[i] > 0) {
      rules[std::string(name_of(static_cast<Rule>(i)))] = day.breaches[i];
    }
  }
  out["breaches"] = rules;
  json first = json::array();
  for (const Breach& b : day.first_breaches) {
    first.push_back({{"rule", name_of(b.rule)},
                     {"at_s", rounded(to_seconds(b.at))},
                     {"gateway", b.gateway},
                     {"what", b.what}});
  }
  out["first_breaches"] = first;
  json classes = json::array();
  for (const ClassTally& c : t.classes) {
    json one{{"name", c.name},
             {"wishes", c.wishes},
             {"tries", c.tries},
             {"asked", rounded(c.asked)},
             {"earned", rounded(c.earned)},
             {"p50_ms", rounded(percentile(c.latency, 0.5))},
             {"p99_ms", rounded(percentile(c.latency, 0.99))}};
    for (std::size_t i = 0; i < kFates; ++i) {
      one[std::string(kFateNames[i])] = c.fates[i];
    }
    if (full) {
      json asked = json::array();
      json earned = json::array();
      for (const Second& s : c.seconds) {
        asked.push_back(rounded(s.asked)), earned.push_back(rounded(s.earned));
      }
      one["asked_by_second"] = asked;
      one["earned_by_second"] = earned;
      one["refusals_by_second"] = c.refusals;
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
                     {"crossings", t.crossings},
                     {"handshakes", t.handshakes},
                     {"second_copies", t.second_copies},
                     {"outcomes", outcomes}};
  out["list_lines"] = t.list_lines;
  if (full) {
    json cut = json::array();
    for (double c : t.cutoffs) {
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
