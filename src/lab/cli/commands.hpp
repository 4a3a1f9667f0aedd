// The sub-commands of gateway-lab, one function each: it adds itself to the program and runs
// when chosen. Exit codes: 0 yes, 1 no (a rule was broken, a mistake was found, a run was void), 2
// bad usage or input.
#pragma once

#include <CLI/CLI.hpp>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/analysis/run_metrics.hpp"
#include "lab/scenario/scenario.hpp"

namespace gateway::lab {

inline constexpr int kYes = 0, kNo = 1, kBadInput = 2;

struct BadInput : std::runtime_error {  // one line for each mistake
  using std::runtime_error::runtime_error;
};

// `file` with assignments of setField carried out. Throws BadInput: "FILE: FIELD: MISTAKE", a line
// for each.
Scenario open_scenario(const std::string& file, const std::vector<std::string>& assignments = {});

struct DayChoice {  // which day a command is about
  std::string scenario;
  std::vector<std::string> set;  // assignments
  std::uint64_t seed = 1;
};
void add_day_choice(CLI::App& command, DayChoice& choice);  // its options: scenario, --seed, --set

void add_check(CLI::App& app, int& result);
void add_fields(CLI::App& app, int& result);
void add_run(CLI::App& app, int& result);
void add_compare(CLI::App& app, int& result);
void add_sweep(CLI::App& app, int& result);
void add_report(CLI::App& app, int& result);
void add_emulate(CLI::App& app, int& result);
void add_live(CLI::App& app, int& result);
void add_rig(CLI::App& app, int& result);
void add_demo(CLI::App& app, int& result);
void add_load(CLI::App& app, int& result);
void add_trace(CLI::App& app, int& result);
void add_overhead(CLI::App& app, int& result);

// What commands share.
void write_file(const std::string& path, const std::string& text);  // throws BadInput
void print_days(const std::vector<RunResult>& days);  // a table; broken rules with their seeds

}  // namespace gateway::lab
