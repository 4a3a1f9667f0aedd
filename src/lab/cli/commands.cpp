#include "lab/cli/commands.hpp"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "lab/analysis/report.hpp"
#include "lab/cli/progress_bar.hpp"
#include "lab/rig/plan.hpp"
#include "lab/simulation/experiment.hpp"
#include "lab/simulation/fleet_simulation.hpp"

namespace gateway::lab {
namespace {

using ordered = nlohmann::ordered_json;

struct RunOptions {
  std::string scenario, out;
  std::vector<std::string> set;
  unsigned seeds = 10, jobs = std::max(1u, std::thread::hardware_concurrency());
  std::uint64_t first = 1;
  bool json = false, full = false;
};

void add_run_options(CLI::App& command, RunOptions& o) {
  command.add_option("scenario", o.scenario, "scenario file")->required();
  command.add_option("--seeds", o.seeds, "days to play, a seed each")
      ->check(CLI::Range(1, 1000000));
  command.add_option("--first", o.first, "first seed");
  command.add_option("--jobs", o.jobs, "days at a time; does not change the result")
      ->check(CLI::Range(1, 1024));
  command.add_option("--set", o.set,
                     "set a field first, such as clients.load=0.9 (may be repeated)");
  command.add_flag("--json", o.json, "print JSON");
}

ordered results_of(const Scenario& scenario, const std::vector<RunResult>& days, bool full) {
  ordered out{{"scenario", scenario.name}, {"days", ordered::array()}};
  for (const RunResult& day : days) {
    out["days"].push_back(to_json(day, full));
  }
  return out;
}

std::string broken_rules(const RunResult& day) {
  std::string text;
  for (std::size_t i = 0; i < kRules; ++i) {
    if (day.violations[i] > 0) {
      text += (text.empty() ? "" : ", ") + std::string(name_of(static_cast<Rule>(i))) + " x" +
              std::to_string(day.violations[i]);
    }
  }
  return text.empty() ? "-" : text;
}

std::vector<RunResult> play(const Scenario& scenario, const RunOptions& o,
                            const std::string& what) {
  ProgressBar bar(what);
  return simulate_runs(scenario, o.first, o.seeds, o.jobs, make_balancer, bar.callback());
}

void print_differences(const std::vector<Difference>& differences, bool json) {
  if (json) {
    ordered out = ordered::array();
    for (const Difference& d : differences) {
      out.push_back({{"figure", d.figure},
                     {"mean_a", d.mean_a},
                     {"mean_b", d.mean_b},
                     {"difference", d.mean},
                     {"low", d.low},
                     {"high", d.high},
                     {"pairs", d.pairs},
                     {"noise", d.is_noise()}});
    }
    std::cout << out.dump(1) << '\n';
    return;
  }
  std::printf("%-14s %8s %8s %9s   %-20s %s\n", "figure", "A", "B", "B - A", "95 % interval",
              "verdict");
  for (const Difference& d : differences) {
    char interval[64];
    std::snprintf(interval, sizeof interval, "[%+.4f, %+.4f]", d.low, d.high);
    std::printf("%-14s %8.4f %8.4f %+9.4f   %-20s %s\n", d.figure.c_str(), d.mean_a, d.mean_b,
                d.mean, interval,
                d.is_noise() ? "noise"
                : d.mean > 0 ? "B higher"
                             : "B lower");
  }
}

// Results of another build: its own `run --json`. The program is started without a shell's help in
// its words.
ordered results_from(const std::string& source, const RunOptions& o,
                     const std::vector<std::string>& set) {
  std::ifstream file(source);
  if (!file) {
    throw BadInput(source + ": cannot be read");
  }
  if (source.size() > 5 && source.ends_with(".json")) {
    ordered parsed = ordered::parse(file, nullptr, false);
    if (parsed.is_discarded()) {
      throw BadInput(source + ": is not JSON");
    }
    return parsed;
  }
  if (o.scenario.empty()) {
    throw BadInput(source + ": a program needs --scenario to play");
  }
  const auto quoted = [](const std::string& word) {
    std::string text = "'";
    for (char c : word) {
      text += c == '\'' ? std::string("'\\''") : std::string(1, c);
    }
    return text + "'";
  };
  std::string command = quoted(std::filesystem::absolute(source).string()) + " run " +
                        quoted(o.scenario) + " --seeds " + std::to_string(o.seeds) + " --first " +
                        std::to_string(o.first) + " --jobs " + std::to_string(o.jobs) + " --json";
  for (const std::string& s : set) {
    command += " --set " + quoted(s);
  }
  std::FILE* pipe = popen(command.c_str(), "r");
  if (!pipe) {
    throw BadInput(source + ": cannot be started");
  }
  std::string text;
  char part[65536];
  while (const std::size_t n = std::fread(part, 1, sizeof part, pipe)) {
    text.append(part, n);
  }
  pclose(pipe);
  ordered parsed = ordered::parse(text, nullptr, false);
  if (parsed.is_discarded()) {
    throw BadInput(source + ": gave no results (does it know `run --json`?)");
  }
  return parsed;
}

}  // namespace

void add_day_choice(CLI::App& command, DayChoice& choice) {
  command.add_option("scenario", choice.scenario, "scenario file")->required();
  command.add_option("--seed", choice.seed, "seed of the day");
  command.add_option("--set", choice.set, "set a field first, such as clients.load=0.9");
}

void write_file(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  file.close();
  if (!file) {
    throw BadInput(path + ": cannot be written");
  }
}

void print_days(const std::vector<RunResult>& days) {
  std::printf("%8s %8s %8s %8s %8s %8s  %s\n", "seed", "service", "in time", "window", "class",
              "wasted", "rules broken");
  double service = 0;
  double in_time = 0;
  double window = 0;
  double cls = 0;
  double wasted = 0;
  for (const RunResult& d : days) {
    std::printf("%8llu %8.3f %8.3f %8.3f %8.3f %8.3f  %s\n",
                static_cast<unsigned long long>(d.seed), d.service(), d.in_time(), d.worst_window(),
                d.worst_class(), d.wasted(), broken_rules(d).c_str());
    const auto n = static_cast<double>(days.size());
    service += d.service() / n, in_time += d.in_time() / n, window += d.worst_window() / n;
    cls += d.worst_class() / n, wasted += d.wasted() / n;
  }
  std::printf("%8s %8.3f %8.3f %8.3f %8.3f %8.3f\n", "mean", service, in_time, window, cls, wasted);
  for (const RunResult& d : days) {
    for (const Violation& b : d.first_violations) {
      std::printf("RULE BROKEN, seed %llu, at %.3f s, gateway %u: %s: %s\n",
                  static_cast<unsigned long long>(d.seed), to_seconds(b.at), b.gateway,
                  std::string(name_of(b.rule)).c_str(), b.what.c_str());
    }
  }
}

Scenario open_scenario(const std::string& path, const std::vector<std::string>& assignments) {
  ScenarioReading reading;
  if (assignments.empty()) {
    reading = load_scenario(path);
  } else {
    std::ifstream file(path);
    nlohmann::json json = nlohmann::json::parse(file, nullptr, false);
    if (json.is_discarded()) {
      reading = load_scenario(path);  // says what is wrong
    } else {
      try {
        for (const std::string& a : assignments) {
          set_field(json, a);
        }
      } catch (const std::invalid_argument& bad) {
        throw BadInput(path + ": --set " + bad.what());
      }
      reading = read_scenario(json);
    }
  }
  std::string lines;
  for (const ValidationError& m : reading.mistakes) {
    lines += (lines.empty() ? "" : "\n") + path + ": " + (m.where.empty() ? "" : m.where + ": ") +
             m.what;
  }
  if (!lines.empty()) {
    throw BadInput(lines);
  }
  return reading.scenario;
}

void add_check(CLI::App& app, int&) {
  auto* command =
      app.add_subcommand("check", "check scenario files; a line for each mistake, exit 2");
  auto files = std::make_shared<std::vector<std::string>>();
  command->add_option("files", *files, "scenario files")->required();
  command->footer("Example:\n  gateway-lab check scenarios/*.json");
  command->callback([files] {
    std::string all;
    for (const std::string& file : *files) {
      try {
        open_scenario(file);
      } catch (const BadInput& bad) {
        all += (all.empty() ? "" : "\n") + std::string(bad.what());
      }
    }
    if (!all.empty()) {
      throw BadInput(all);
    }
    std::printf("%zu good\n", files->size());
  });
}

void add_fields(CLI::App& app, int&) {
  auto* command =
      app.add_subcommand("fields", "the reference of all fields of a scenario, tab-separated");
  auto json = std::make_shared<bool>(false);
  command->add_flag("--json", *json, "print JSON");
  command->footer("Example:\n  gateway-lab fields | grep hosts.crowding");
  command->callback([json] {
    std::vector<FieldRow> rows = describe_scenario();
    for (FieldRow& row : describe_rig_plan()) {
      rows.push_back(std::move(row));
    }
    if (*json) {
      ordered out = ordered::array();
      for (const FieldRow& r : rows) {
        out.push_back({{"section", r.section},
                       {"field", r.name},
                       {"unit", r.unit},
                       {"bounds", r.bounds},
                       {"default", r.default_value},
                       {"meaning", r.about}});
      }
      std::cout << out.dump(1) << '\n';
      return;
    }
    std::cout << "section\tfield\tunit\tbounds\tdefault\tmeaning\n";
    for (const FieldRow& r : rows) {
      std::cout << r.section << '\t' << r.name << '\t' << r.unit << '\t' << r.bounds << '\t'
                << r.default_value << '\t' << r.about << '\n';
    }
  });
}

void add_run(CLI::App& app, int& result) {
  auto* command = app.add_subcommand(
      "run", "play days of a scenario in virtual time; exit 1 if a rule was broken");
  auto o = std::make_shared<RunOptions>();
  add_run_options(*command, *o);
  command->add_flag("--full", o->full, "with figures by second and host, for plots");
  command->add_option("--out", o->out, "write the JSON to this file too");
  command->footer(
      "Examples:\n  gateway-lab run scenarios/rough.json --seeds 20\n"
      "  gateway-lab run scenarios/quiet.json --seeds 5 --set clients.load=0.9 --json\n"
      "  gateway-lab run scenarios/rough.json --first 7 --seeds 1 --full --out day7.json");
  command->callback([o, &result] {
    const Scenario scenario = open_scenario(o->scenario, o->set);
    const std::vector<RunResult> days = play(scenario, *o, scenario.name);
    const ordered results = results_of(scenario, days, o->full);
    if (!o->out.empty()) {
      write_file(o->out, results.dump(1) + "\n");
    }
    if (o->json) {
      std::cout << results.dump(1) << '\n';
    } else {
      print_days(days);
    }
    for (const RunResult& d : days) {
      if (!d.is_clean()) {
        result = kNo;
      }
    }
  });
}

void add_compare(CLI::App& app, int&) {
  auto* command = app.add_subcommand(
      "compare", "two builds or two settings, paired by seed, with a bootstrap interval");
  struct Options : RunOptions {
    std::string a, b;
    std::vector<std::string> set_a, set_b;
  };
  auto o = std::make_shared<Options>();
  command
      ->add_option("A", o->a, "results of `run --out FILE.json`, or another build of this program")
      ->required();
  command->add_option("B", o->b, "likewise")->required();
  command->add_option("--scenario", o->scenario, "what programs play");
  command->add_option("--seeds", o->seeds, "days to play")->check(CLI::Range(1, 1000000));
  command->add_option("--first", o->first, "first seed");
  command->add_option("--jobs", o->jobs, "days at a time")->check(CLI::Range(1, 1024));
  command->add_option("--set-a", o->set_a, "a field set for A");
  command->add_option("--set-b", o->set_b, "a field set for B");
  command->add_flag("--json", o->json, "print JSON");
  command->footer(
      "Examples:\n  gateway-lab compare before.json after.json\n"
      "  gateway-lab compare old/gateway-lab build/gateway-lab --scenario "
      "scenarios/rough.json "
      "--seeds 40\n"
      "  gateway-lab compare build/gateway-lab build/gateway-lab --scenario "
      "scenarios/rough.json "
      "--set-b limits.second_copies=false");
  command->callback([o] {
    const ordered a = results_from(o->a, *o, o->set_a);
    const ordered b = results_from(o->b, *o, o->set_b);
    try {
      print_differences(compare_results(a, b), o->json);
    } catch (const std::invalid_argument& bad) {
      throw BadInput(bad.what());
    }
  });
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): too long
void add_sweep(CLI::App& app, int& result) {
  auto* command = app.add_subcommand(
      "sweep", "play a scenario over the values of one or two fields; tab-separated");
  struct Options : RunOptions {
    std::vector<std::string> vary;
  };
  auto o = std::make_shared<Options>();
  add_run_options(*command, *o);
  command->add_option("--vary", o->vary, "FIELD=V1,V2,... (once or twice)")
      ->required()
      ->expected(1, 2);
  command->footer(
      "Example:\n  gateway-lab sweep scenarios/quiet.json --vary clients.load=0.3,0.6,0.9,1.2 "
      "--seeds "
      "10\n"
      "  gateway-lab sweep scenarios/quiet.json --vary gateways.count=4,16,48 "
      "--vary clients.load=0.5,0.9");
  // NOLINTNEXTLINE(readability-function-cognitive-complexity): too long
  command->callback([o, &result] {
    std::vector<std::vector<std::string>> axes;
    for (const std::string& vary : o->vary) {
      const auto equals = vary.find('=');
      if (equals == std::string::npos) {
        throw BadInput("--vary " + vary + ": should be FIELD=V1,V2,...");
      }
      axes.emplace_back();
      for (std::size_t at = equals + 1; at <= vary.size();) {
        const std::size_t comma = std::min(vary.find(',', at), vary.size());
        axes.back().push_back(vary.substr(0, equals + 1) + vary.substr(at, comma - at));
        at = comma + 1;
      }
    }
    if (axes.size() == 1) {
      axes.push_back({""});
    }
    std::vector<std::pair<std::vector<std::string>, Scenario>>
        points;  // all are checked before the first is played
    for (const std::string& x : axes[0]) {
      for (const std::string& y : axes[1]) {
        std::vector<std::string> set = o->set;
        set.push_back(x);
        if (!y.empty()) {
          set.push_back(y);
        }
        points.emplace_back(set, open_scenario(o->scenario, set));
      }
    }
    ordered out = ordered::array();
    if (!o->json) {
      std::printf("point\tservice\tin_time\tworst_window\tworst_class\twasted\tbreaches\n");
    }
    for (const auto& [set, scenario] : points) {
      std::string name;
      for (std::size_t i = o->set.size(); i < set.size(); ++i) {
        name += (name.empty() ? "" : " ") + set[i];
      }
      const auto days = play(scenario, *o, name);
      double sums[5] = {};
      std::uint64_t violations = 0;
      for (const RunResult& d : days) {
        const double values[5] = {d.service(), d.in_time(), d.worst_window(), d.worst_class(),
                                  d.wasted()};
        for (int i = 0; i < 5; ++i) {
          sums[i] += values[i] / static_cast<double>(days.size());
        }
        for (std::uint64_t n : d.violations) {
          violations += n;
        }
      }
      if (violations > 0) {
        result = kNo;
      }
      if (o->json) {
        out.push_back({{"point", name},
                       {"service", sums[0]},
                       {"in_time", sums[1]},
                       {"worst_window", sums[2]},
                       {"worst_class", sums[3]},
                       {"wasted", sums[4]},
                       {"breaches", violations}});
      } else {
        std::printf("%s\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%llu\n", name.c_str(), sums[0], sums[1],
                    sums[2], sums[3], sums[4], static_cast<unsigned long long>(violations));
      }
      std::fflush(stdout);
    }
    if (o->json) {
      std::cout << out.dump(1) << '\n';
    }
  });
}

void add_report(CLI::App& app, int&) {
  auto* command = app.add_subcommand(
      "report", "one HTML file of a run, or of two set side by side; opens offline");
  struct Options {
    std::vector<std::string> files;
    std::string out = "report.html";
  };
  auto o = std::make_shared<Options>();
  command->add_option("results", o->files, "A.json, or A.json B.json, of `run --full --out`")
      ->required()
      ->expected(1, 2);
  command->add_option("--out", o->out, "the file to write");
  command->footer(
      "Example:\n  gateway-lab run scenarios/rough.json --full --out a.json\n"
      "  gateway-lab report a.json --out rough.html");
  command->callback([o] {
    const ordered a = results_from(o->files[0], {}, {});
    const ordered b = o->files.size() > 1 ? results_from(o->files[1], {}, {}) : ordered();
    try {
      write_file(o->out, render_report(a, o->files.size() > 1 ? &b : nullptr));
    } catch (const std::invalid_argument& bad) {
      throw BadInput(bad.what());
    }
    std::printf("%s\n", o->out.c_str());
  });
}

}  // namespace gateway::lab
