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

// Options of the sub-commands that simulate runs in virtual time.
struct RunOptions {
  std::string scenario, out;
  std::vector<std::string> set;
  unsigned seeds = 10, jobs = std::max(1u, std::thread::hardware_concurrency());
  std::uint64_t first = 1;
  bool json = false, full = false;
};

void add_run_options(CLI::App& command, RunOptions& o) {
  command.add_option("scenario", o.scenario, "scenario file")->required();
  command.add_option("--seeds", o.seeds, "number of runs, with consecutive seeds")
      ->check(CLI::Range(1, 1000000));
  command.add_option("--first", o.first, "first seed");
  command.add_option("--jobs", o.jobs, "runs in parallel; does not change the results")
      ->check(CLI::Range(1, 1024));
  command.add_option(
      "--set", o.set,
      "override a field of the scenario, such as clients.load=0.9 (may be repeated)");
  command.add_flag("--json", o.json, "print JSON");
}

// The results of `runs` as JSON; `full` adds the figures by second and host.
ordered to_results(const Scenario& scenario, const std::vector<RunResult>& runs, bool full) {
  ordered out{{"scenario", scenario.name}, {"days", ordered::array()}};
  for (const RunResult& run : runs) {
    out["days"].push_back(to_json(run, full));
  }
  return out;
}

// The violated invariants with their counts, "-" if there are none.
std::string violations_text(const RunResult& run) {
  std::string text;
  for (std::size_t i = 0; i < kRules; ++i) {
    if (run.violations[i] > 0) {
      text += (text.empty() ? "" : ", ") + std::string(name_of(static_cast<Rule>(i))) + " x" +
              std::to_string(run.violations[i]);
    }
  }
  return text.empty() ? "-" : text;
}

std::vector<RunResult> simulate(const Scenario& scenario, const RunOptions& o,
                                const std::string& label) {
  ProgressBar bar(label);
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

// Results of `source`: the contents of a .json file, else the output of `run --json` of that
// gateway-lab executable, which popen() starts in a shell; every argument is quoted, so that the
// shell does not interpret it. Throws BadInput if there are no results.
ordered load_results(const std::string& source, const RunOptions& o,
                     const std::vector<std::string>& set) {
  std::ifstream file(source);
  if (!file) {
    throw BadInput(source + ": cannot be read");
  }
  if (source.size() > 5 && source.ends_with(".json")) {
    ordered parsed = ordered::parse(file, nullptr, false);
    if (parsed.is_discarded()) {
      throw BadInput(source + ": is not valid JSON");
    }
    return parsed;
  }
  if (o.scenario.empty()) {
    throw BadInput(source + ": is not a .json file; an executable needs --scenario");
  }
  const auto quoted = [](const std::string& argument) {
    std::string text = "'";
    for (char c : argument) {
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
  char buffer[65536];
  while (const std::size_t n = std::fread(buffer, 1, sizeof buffer, pipe)) {
    text.append(buffer, n);
  }
  pclose(pipe);
  ordered parsed = ordered::parse(text, nullptr, false);
  if (parsed.is_discarded()) {
    throw BadInput(source +
                   ": printed no valid JSON; expected an executable that supports `run --json`");
  }
  return parsed;
}

}  // namespace

void add_run_selection(CLI::App& command, RunSelection& selection) {
  command.add_option("scenario", selection.scenario, "scenario file")->required();
  command.add_option("--seed", selection.seed, "seed of the run");
  command.add_option("--set", selection.set,
                     "override a field of the scenario, such as clients.load=0.9");
}

void write_file(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  file.close();
  if (!file) {
    throw BadInput(path + ": cannot be written");
  }
}

void print_runs(const std::vector<RunResult>& runs) {
  std::printf("%8s %8s %8s %8s %8s %8s  %s\n", "seed", "service", "in time", "window", "class",
              "wasted", "violations");
  double service = 0;
  double in_time = 0;
  double window = 0;
  double worst_class = 0;
  double wasted = 0;
  for (const RunResult& run : runs) {
    std::printf("%8llu %8.3f %8.3f %8.3f %8.3f %8.3f  %s\n",
                static_cast<unsigned long long>(run.seed), run.service(), run.in_time(),
                run.worst_window(), run.worst_class(), run.wasted(), violations_text(run).c_str());
    const auto n = static_cast<double>(runs.size());
    service += run.service() / n, in_time += run.in_time() / n, window += run.worst_window() / n;
    worst_class += run.worst_class() / n, wasted += run.wasted() / n;
  }
  std::printf("%8s %8.3f %8.3f %8.3f %8.3f %8.3f\n", "mean", service, in_time, window, worst_class,
              wasted);
  for (const RunResult& run : runs) {
    for (const Violation& b : run.first_violations) {
      std::printf("VIOLATION, seed %llu, at %.3f s, gateway %u: %s: %s\n",
                  static_cast<unsigned long long>(run.seed), to_seconds(b.at), b.gateway,
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
      reading = load_scenario(path);  // reports the error and its position
    } else {
      try {
        for (const std::string& a : assignments) {
          set_field(json, a);
        }
      } catch (const std::invalid_argument& error) {
        throw BadInput(path + ": --set " + error.what());
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
  auto* command = app.add_subcommand(
      "check", "validate scenario files; prints a line for each error, then exits with 2");
  auto files = std::make_shared<std::vector<std::string>>();
  command->add_option("files", *files, "scenario files")->required();
  command->footer("Example:\n  gateway-lab check scenarios/*.json");
  command->callback([files] {
    std::string errors;
    for (const std::string& file : *files) {
      try {
        open_scenario(file);
      } catch (const BadInput& error) {
        errors += (errors.empty() ? "" : "\n") + std::string(error.what());
      }
    }
    if (!errors.empty()) {
      throw BadInput(errors);
    }
    std::printf("%zu files are valid\n", files->size());
  });
}

void add_fields(CLI::App& app, int&) {
  auto* command =
      app.add_subcommand("fields", "print all fields of scenarios and rig files, tab-separated");
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
      "run", "simulate runs of a scenario in virtual time; exits with 1 after a violation");
  auto o = std::make_shared<RunOptions>();
  add_run_options(*command, *o);
  command->add_flag("--full", o->full, "include figures by second and host, for plots");
  command->add_option("--out", o->out, "also write the JSON to this file");
  command->footer(
      "Examples:\n  gateway-lab run scenarios/rough.json --seeds 20\n"
      "  gateway-lab run scenarios/quiet.json --seeds 5 --set clients.load=0.9 --json\n"
      "  gateway-lab run scenarios/rough.json --first 7 --seeds 1 --full --out run7.json");
  command->callback([o, &result] {
    const Scenario scenario = open_scenario(o->scenario, o->set);
    const std::vector<RunResult> runs = simulate(scenario, *o, scenario.name);
    const ordered results = to_results(scenario, runs, o->full);
    if (!o->out.empty()) {
      write_file(o->out, results.dump(1) + "\n");
    }
    if (o->json) {
      std::cout << results.dump(1) << '\n';
    } else {
      print_runs(runs);
    }
    for (const RunResult& run : runs) {
      if (!run.is_clean()) {
        result = kExitCheckFailed;
      }
    }
  });
}

void add_compare(CLI::App& app, int&) {
  auto* command = app.add_subcommand(
      "compare",
      "compare two builds or settings, paired by seed, with bootstrap confidence intervals");
  struct Options : RunOptions {
    std::string a, b;
    std::vector<std::string> set_a, set_b;
  };
  auto o = std::make_shared<Options>();
  command
      ->add_option("A", o->a, "results of `run --out FILE.json`, or another build of this program")
      ->required();
  command->add_option("B", o->b, "results or build to compare with A")->required();
  command->add_option("--scenario", o->scenario, "scenario file, required if A or B is a build");
  command->add_option("--seeds", o->seeds, "number of runs")->check(CLI::Range(1, 1000000));
  command->add_option("--first", o->first, "first seed");
  command->add_option("--jobs", o->jobs, "runs in parallel")->check(CLI::Range(1, 1024));
  command->add_option("--set-a", o->set_a, "override a field of the scenario for A");
  command->add_option("--set-b", o->set_b, "override a field of the scenario for B");
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
    const ordered a = load_results(o->a, *o, o->set_a);
    const ordered b = load_results(o->b, *o, o->set_b);
    try {
      print_differences(compare_results(a, b), o->json);
    } catch (const std::invalid_argument& error) {
      throw BadInput(error.what());
    }
  });
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): too long
void add_sweep(CLI::App& app, int& result) {
  auto* command = app.add_subcommand(
      "sweep",
      "simulate a scenario for each value of one or two fields; prints tab-separated rows");
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
        throw BadInput("--vary " + vary + ": expected FIELD=V1,V2,...");
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
        points;  // all are validated before the first is simulated
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
      const auto runs = simulate(scenario, *o, name);
      double sums[5] = {};
      std::uint64_t breaches = 0;
      for (const RunResult& run : runs) {
        const double values[5] = {run.service(), run.in_time(), run.worst_window(),
                                  run.worst_class(), run.wasted()};
        for (int i = 0; i < 5; ++i) {
          sums[i] += values[i] / static_cast<double>(runs.size());
        }
        for (std::uint64_t n : run.violations) {
          breaches += n;
        }
      }
      if (breaches > 0) {
        result = kExitCheckFailed;
      }
      if (o->json) {
        out.push_back({{"point", name},
                       {"service", sums[0]},
                       {"in_time", sums[1]},
                       {"worst_window", sums[2]},
                       {"worst_class", sums[3]},
                       {"wasted", sums[4]},
                       {"breaches", breaches}});
      } else {
        std::printf("%s\t%.4f\t%.4f\t%.4f\t%.4f\t%.4f\t%llu\n", name.c_str(), sums[0], sums[1],
                    sums[2], sums[3], sums[4], static_cast<unsigned long long>(breaches));
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
      "report", "write an HTML report of one run, or of two side by side; needs no network");
  struct Options {
    std::vector<std::string> files;
    std::string out = "report.html";
  };
  auto o = std::make_shared<Options>();
  command->add_option("results", o->files, "one or two files of `run --full --out`")
      ->required()
      ->expected(1, 2);
  command->add_option("--out", o->out, "HTML file to write");
  command->footer(
      "Example:\n  gateway-lab run scenarios/rough.json --full --out a.json\n"
      "  gateway-lab report a.json --out rough.html");
  command->callback([o] {
    const ordered a = load_results(o->files[0], {}, {});
    const ordered b = o->files.size() > 1 ? load_results(o->files[1], {}, {}) : ordered();
    try {
      write_file(o->out, render_report(a, o->files.size() > 1 ? &b : nullptr));
    } catch (const std::invalid_argument& error) {
      throw BadInput(error.what());
    }
    std::printf("%s\n", o->out.c_str());
  });
}

}  // namespace gateway::lab
