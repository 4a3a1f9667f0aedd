// The sub-commands that run gateway processes in front of faulty hosts.
#include <unistd.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <iostream>

#include "lab/cli/commands.hpp"
#include "lab/soak/soak_run.hpp"

namespace gateway::lab {
namespace {

using std::chrono::milliseconds;

struct NamedKind {
  const char* name;
  StrayKind kind;
};
constexpr std::array<NamedKind, 9> kStrayKinds{{{"none", StrayKind::none},
                                                {"ok", StrayKind::ok},
                                                {"server-error", StrayKind::server_error},
                                                {"unavailable", StrayKind::unavailable},
                                                {"not-run", StrayKind::unavailable_not_run},
                                                {"interim", StrayKind::interim},
                                                {"half", StrayKind::half_response},
                                                {"same-write", StrayKind::same_write},
                                                {"before-request", StrayKind::before_request}}};

StrayKind kind_of(const std::string& name) {
  std::string known;
  for (const NamedKind& entry : kStrayKinds) {
    if (name == entry.name) {
      return entry.kind;
    }
    known += std::string(known.empty() ? "" : ", ") + entry.name;
  }
  throw BadInput("--kind: '" + name + "' is unknown; expected one of " + known);
}

enum class MemoryCheck { limit, none };

int run_and_print(const std::string& gateway, const SoakPlan& plan,
                  MemoryCheck check = MemoryCheck::limit) {
  const auto folder =
      std::filesystem::temp_directory_path() / ("gateway-soak-" + std::to_string(::getpid()));
  const SoakResult result = run_soak(gateway, plan, folder);
  std::cout << summary(result) << std::endl;
  const bool within_memory =
      check == MemoryCheck::none || result.peak_resident_mb <= static_cast<double>(plan.memory_mb);
  if (!within_memory) {
    std::cout << "  a gateway passed its limit of " << plan.memory_mb << " MB\n";
  }
  const bool passed =
      result.ledger.violations() == 0 && result.process_failures.empty() && within_memory;
  if (passed) {
    std::filesystem::remove_all(folder);
    return kExitSuccess;
  }
  const std::string kept = folder.string() + "-seed-" + std::to_string(plan.seed);
  std::filesystem::remove_all(kept);
  std::filesystem::rename(folder, kept);
  std::cout << "  logs: " << kept << std::endl;
  return kExitCheckFailed;
}

struct StrayOptions {
  std::string gateway;
  std::string kind = "ok";
  double share = 0.1;
  int min_delay_ms = 1;
  int max_delay_ms = 100;
  double rate = 100;
  std::size_t requests = 2000;
  std::size_t hosts = 6;
  std::size_t descriptors = 1024;
  double rejected_share = 0.03;
  std::uint64_t seed = 1;
  std::vector<std::string> environment;
};

int run_strays(const StrayOptions& options) {
  SoakPlan plan;
  plan.seed = options.seed;
  plan.hosts = options.hosts;
  plan.descriptors = options.descriptors;
  plan.clients.rate = options.rate;
  plan.clients.requests = options.requests;
  plan.host.rejected_share = options.rejected_share;
  plan.host.stray = {kind_of(options.kind), options.share, milliseconds(options.min_delay_ms),
                     milliseconds(options.max_delay_ms)};
  plan.environment = options.environment;
  return run_and_print(options.gateway, plan);
}

struct CrowdOptions {
  std::string gateway;
  std::vector<std::string> kinds;
  std::size_t connections = 330;
  std::size_t memory_mb = 32;
  std::size_t descriptors = 1024;
  int running_ms = 0;
  int stopped_ms = 0;
  double hang_share = 0;
  double rate = 50;
  std::size_t requests = 300;
  std::uint64_t seed = 1;
  std::vector<std::string> environment;
};

CrowdKind crowd_kind_of(const std::string& name) {
  std::string known;
  for (const CrowdKind kind : kAllCrowdKinds) {
    if (name == name_of(kind)) {
      return kind;
    }
    known += std::string(known.empty() ? "" : ", ") + name_of(kind);
  }
  throw BadInput("--kind: '" + name + "' is unknown; expected one of " + known);
}

int run_crowd(const CrowdOptions& options) {
  SoakPlan plan;
  plan.seed = options.seed;
  plan.memory_mb = options.memory_mb;
  plan.descriptors = options.descriptors;
  plan.clients.rate = options.rate;
  plan.clients.requests = options.requests;
  plan.host.hang_share = options.hang_share;
  plan.processor = {milliseconds(options.running_ms), milliseconds(options.stopped_ms)};
  for (const std::string& kind : options.kinds) {
    plan.crowd.kinds.push_back(crowd_kind_of(kind));
  }
  if (!plan.crowd.kinds.empty()) {
    plan.crowd.connections = options.connections;
    plan.crowd.starts_after = milliseconds(500);
    plan.crowd.duration = milliseconds(4000);
  }
  plan.environment = options.environment;
  return run_and_print(options.gateway, plan);
}

struct RestartOptions {
  std::string gateway;
  std::size_t requests = 5000;
  std::uint64_t seed = 1;
  std::uint64_t seeds = 1;
  bool pressure = false;
  bool any_memory = false;
  std::vector<std::string> environment;
};

int run_restarts(const RestartOptions& options) {
  int result = kExitSuccess;
  for (std::uint64_t seed = options.seed; seed < options.seed + options.seeds; ++seed) {
    SoakPlan plan = options.pressure ? pressure_soak_plan(seed, options.requests)
                                     : restart_soak_plan(seed, options.requests);
    plan.environment = options.environment;
    std::cout << "seed " << seed << ": ";
    result = std::max(result,
                      run_and_print(options.gateway, plan,
                                    options.any_memory ? MemoryCheck::none : MemoryCheck::limit));
  }
  return result;
}

}  // namespace

void add_strays(CLI::App& app, int& result) {
  auto* command = app.add_subcommand(
      "strays", "A gateway process in front of hosts that write bytes which belong to no request.");
  auto options = std::make_shared<StrayOptions>();
  command->add_option("--gateway", options->gateway, "The gateway executable")->required();
  command->add_option("--kind", options->kind, "What the hosts write")->capture_default_str();
  command->add_option("--share", options->share, "Of the responses or connections")
      ->capture_default_str();
  command->add_option("--min-delay-ms", options->min_delay_ms, "After the response")
      ->capture_default_str();
  command->add_option("--max-delay-ms", options->max_delay_ms, "After the response")
      ->capture_default_str();
  command->add_option("--rate", options->rate, "Requests a second")->capture_default_str();
  command->add_option("--requests", options->requests, "In all")->capture_default_str();
  command->add_option("--hosts", options->hosts, "Number of hosts")->capture_default_str();
  command->add_option("--descriptors", options->descriptors, "Limit of the gateway")
      ->capture_default_str();
  command->add_option("--rejected", options->rejected_share, "Share that hosts reject unprocessed")
      ->capture_default_str();
  command->add_option("--seed", options->seed, "Of the run")->capture_default_str();
  command->add_option("--env", options->environment, "NAME=VALUE for the gateway");
  command->footer(
      "Example:\n  gateway-lab strays --gateway build/gateway --kind not-run --rate 600 "
      "--requests 20000");
  command->callback([options, &result] { result = run_strays(*options); });
}

void add_crowd(CLI::App& app, int& result) {
  auto* command = app.add_subcommand(
      "crowd", "Clients that hold a gateway's memory or keep it busy, beside ordinary ones.");
  auto options = std::make_shared<CrowdOptions>();
  command->add_option("--gateway", options->gateway, "The gateway executable")->required();
  command->add_option("--kind", options->kinds, "Of the crowd's clients; none: no crowd");
  command->add_option("--connections", options->connections, "Of the crowd")->capture_default_str();
  command->add_option("--memory-mb", options->memory_mb, "Limit of the gateway")
      ->capture_default_str();
  command->add_option("--descriptors", options->descriptors, "Limit of the gateway")
      ->capture_default_str();
  command->add_option("--running-ms", options->running_ms, "Of each slice of processor time")
      ->capture_default_str();
  command->add_option("--stopped-ms", options->stopped_ms, "Of each slice; 0: a whole core")
      ->capture_default_str();
  command->add_option("--hanging", options->hang_share, "Share of requests at hosts that hang")
      ->capture_default_str();
  command->add_option("--rate", options->rate, "Ordinary requests a second")->capture_default_str();
  command->add_option("--requests", options->requests, "Ordinary ones")->capture_default_str();
  command->add_option("--seed", options->seed, "Of the run")->capture_default_str();
  command->add_option("--env", options->environment, "NAME=VALUE for the gateway");
  command->footer(
      "Example, a tenth of a core:\n  gateway-lab crowd --gateway build/gateway --kind many_fields "
      "--connections 100 --running-ms 4 --stopped-ms 36");
  command->callback([options, &result] { result = run_crowd(*options); });
}

void add_restarts(CLI::App& app, int& result) {
  auto* command = app.add_subcommand(
      "restarts",
      "Planned restarts of two gateway processes while hosts hang, are replaced and write long "
      "responses.");
  auto options = std::make_shared<RestartOptions>();
  command->add_option("--gateway", options->gateway, "The gateway executable")->required();
  command->add_option("--requests", options->requests, "In all, 100 a second")
      ->capture_default_str();
  command->add_option("--seed", options->seed, "Of the first run")->capture_default_str();
  command->add_option("--seeds", options->seeds, "Number of runs")->capture_default_str();
  command->add_flag("--pressure", options->pressure,
                    "With crowds, slow hosts and returning ids, drawn by the seed");
  command->add_flag("--any-memory", options->any_memory,
                    "Memory is not checked: the sanitizers' own is above any limit");
  command->add_option("--env", options->environment, "NAME=VALUE for the gateways");
  command->footer("Example:\n  gateway-lab restarts --gateway build/gateway --requests 60000");
  command->callback([options, &result] { result = run_restarts(*options); });
}

}  // namespace gateway::lab
