#include "lab/simulation/experiment.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <exception>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <thread>

#include "lab/simulation/fleet_simulation.hpp"

namespace gateway::lab {

std::vector<RunResult> simulate_runs(const Scenario& scenario, std::uint64_t first, unsigned seeds,
                                     unsigned jobs, const PolicyMaker& policy,
                                     const Progress& progress) {
  std::vector<std::optional<RunResult>> days(seeds);
  std::vector<std::atomic<unsigned>> shares(seeds);
  std::atomic<unsigned> next{0};
  std::atomic<unsigned> running{0};
  std::vector<std::exception_ptr> failures(seeds);
  const auto work = [&] {
    for (unsigned i = next++; i < seeds; i = next++) {
      try {
        days[i] = simulate_run(scenario, first + i, policy, &shares[i]);
        shares[i] = 1000;
      } catch (...) {
        failures[i] = std::current_exception();
        next = seeds;
      }
    }
    --running;
  };
  std::vector<std::thread> threads;
  const unsigned count = std::max(1u, std::min(jobs, seeds));
  running = count;
  for (unsigned i = 0; i < count; ++i) {
    threads.emplace_back(work);
  }
  while (progress && running > 0) {
    double sum = 0;
    for (const auto& s : shares) {
      sum += s;
    }
    progress(sum / 1000 / seeds);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  for (std::thread& t : threads) {
    t.join();
  }
  for (const std::exception_ptr& failure : failures) {
    if (failure) {
      std::rethrow_exception(failure);
    }
  }
  std::vector<RunResult> results;
  results.reserve(days.size());
  for (auto& day : days) {
    results.push_back(std::move(*day));
  }
  return results;
}

Difference compare(const std::string& figure, const std::vector<double>& a,
                   const std::vector<double>& b) {
  constexpr std::size_t kResamples = 10000;
  Difference d;
  d.figure = figure;
  d.pairs = std::min(a.size(), b.size());
  if (d.pairs == 0) {
    return d;
  }
  std::vector<double> differences;
  for (std::size_t i = 0; i < d.pairs; ++i) {
    d.mean_a += a[i] / static_cast<double>(d.pairs);
    d.mean_b += b[i] / static_cast<double>(d.pairs);
    differences.push_back(b[i] - a[i]);
  }
  d.mean = d.mean_b - d.mean_a;
  Random random(d.pairs, "bootstrap " + figure);
  std::vector<double> means(kResamples);
  for (double& mean : means) {
    double sum = 0;
    for (std::size_t i = 0; i < d.pairs; ++i) {
      sum += differences[random.below(d.pairs)];
    }
    mean = sum / static_cast<double>(d.pairs);
  }
  std::sort(means.begin(), means.end());
  d.low = means[kResamples / 40];
  d.high = means[kResamples - 1 - kResamples / 40];
  return d;
}

std::vector<Difference> compare_results(const nlohmann::ordered_json& a,
                                        const nlohmann::ordered_json& b) {
  const auto by_seed = [](const nlohmann::ordered_json& results, const char* side) {
    if (!results.is_object() || !results.contains("days") || !results["days"].is_array()) {
      throw std::invalid_argument(std::string(side) + " holds no results of `run --json`");
    }
    std::map<std::uint64_t, const nlohmann::ordered_json*> days;
    for (const auto& day : results["days"]) {
      days[day.at("seed").get<std::uint64_t>()] = &day;
    }
    return days;
  };
  const auto days_a = by_seed(a, "A");
  const auto days_b = by_seed(b, "B");
  if (a.value("scenario", "") != b.value("scenario", "")) {
    throw std::invalid_argument("A is of scenario '" + a.value("scenario", "") + "', B of '" +
                                b.value("scenario", "") + "'; only the same scenario compares");
  }
  std::vector<Difference> out;
  for (const char* figure : {"service", "in_time", "worst_window", "worst_class", "wasted"}) {
    std::vector<double> values_a;
    std::vector<double> values_b;
    for (const auto& [seed, day] : days_a) {
      if (const auto it = days_b.find(seed); it != days_b.end()) {
        values_a.push_back(day->at(figure).get<double>());
        values_b.push_back(it->second->at(figure).get<double>());
      }
    }
    if (values_a.empty()) {
      throw std::invalid_argument("A and B share no seed");
    }
    out.push_back(compare(figure, values_a, values_b));
  }
  return out;
}

void set_field(nlohmann::json& scenario, const std::string& assignment) {
  const auto equals = assignment.find('=');
  if (equals == std::string::npos || equals == 0) {
    throw std::invalid_argument("'" + assignment + "' is no PATH=VALUE, such as clients.load=0.9");
  }
  std::string pointer = "/";
  for (char c : assignment.substr(0, equals)) {
    if (c == '.' || c == '[') {
      pointer += '/';
    } else if (c != ']') {
      pointer += c;
    }
  }
  const std::string text = assignment.substr(equals + 1);
  const auto value = nlohmann::json::parse(text, nullptr, false);
  try {
    scenario[nlohmann::json::json_pointer(pointer)] =
        value.is_discarded() ? nlohmann::json(text) : value;
  } catch (const nlohmann::json::exception&) {
    throw std::invalid_argument("'" + assignment.substr(0, equals) +
                                "' names no place in the scenario");
  }
}

}  // namespace gateway::lab
