// The sub-commands of fennelridge-lab, one function each: it adds itself to the program and runs when chosen.
// Exit codes: 0 yes, 1 no (a rule was broken, a mistake was found, a run was void), 2 bad usage or input.
#pragma once

#include <CLI/CLI.hpp>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/scenario.hpp"
#include "lab/tally.hpp"

namespace fennelridge::lab {

inline constexpr int kYes = 0, kNo = 1, kBadInput = 2;

struct BadInput : std::runtime_error {  // one line for each mistake
  using std::runtime_error::runtime_error;
};

// `file` with assignments of setField carried out. Throws BadInput: "FILE: FIELD: MISTAKE", a line for each.
Scenario openScenario(const std::string& file, const std::vector<std::string>& assignments = {});

struct DayChoice {  // which day a command is about
  std::string scenario;
  std::vector<std::string> set;  // assignments
  std::uint64_t seed = 1;
};
void addDayChoice(CLI::App& command, DayChoice& choice);  // its options: scenario, --seed, --set

void addCheck(CLI::App& app, int& result);
void addFields(CLI::App& app, int& result);
void addRun(CLI::App& app, int& result);
void addCompare(CLI::App& app, int& result);
void addSweep(CLI::App& app, int& result);
void addReport(CLI::App& app, int& result);
void addEmulate(CLI::App& app, int& result);
void addLive(CLI::App& app, int& result);
void addRig(CLI::App& app, int& result);
void addDemo(CLI::App& app, int& result);
void addLoad(CLI::App& app, int& result);
void addTrace(CLI::App& app, int& result);
void addOverhead(CLI::App& app, int& result);

// What commands share.
void writeFile(const std::string& path, const std::string& text);  // throws BadInput
void printDays(const std::vector<DayResult>& days);                // a table; broken rules with their seeds

}  // namespace fennelridge::lab
