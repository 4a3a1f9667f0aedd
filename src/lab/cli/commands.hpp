// The sub-commands of gateway-lab. Each add_* function registers one sub-command, which runs while
// the command line is parsed. A sub-command that can fail its checks writes the exit code into
// `result`, which must outlive the parsing. Exit codes: 0 success, 1 failed check (a violation, a
// gateway that died, a missed bound, a void run) or error at run time, 2 bad usage or input.
#pragma once

#include <CLI/CLI.hpp>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/analysis/run_metrics.hpp"
#include "lab/scenario/scenario.hpp"

namespace gateway::lab {

inline constexpr int kExitSuccess = 0, kExitCheckFailed = 1, kExitBadInput = 2;

// Input that a sub-command cannot use (exit code 2). The message has one line for each error.
struct BadInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Reads `file`, applies `assignments` in the form of set_field() and validates the result. Throws
// BadInput with a line "FILE: FIELD: ERROR" for each error.
Scenario open_scenario(const std::string& file, const std::vector<std::string>& assignments = {});

// The scenario, field assignments and seed that define a run.
struct RunSelection {
  std::string scenario;
  std::vector<std::string> set;  // in the form of set_field()
  std::uint64_t seed = 1;
};
// Adds the options scenario, --seed and --set. `selection` must outlive the parsing.
void add_run_selection(CLI::App& command, RunSelection& selection);

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
void add_strays(CLI::App& app, int& result);
void add_crowd(CLI::App& app, int& result);
void add_restarts(CLI::App& app, int& result);

// Shared by the sub-commands.

// Replaces the contents of `path`. Throws BadInput if it cannot be written.
void write_file(const std::string& path, const std::string& text);
// Prints a row for each run, the means, and the first violations of each run with its seed.
void print_runs(const std::vector<RunResult>& runs);

}  // namespace gateway::lab
