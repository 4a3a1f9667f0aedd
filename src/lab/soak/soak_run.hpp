// A run of real gateway processes, faulty hosts, discovery and clients on loopback.
#pragma once

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "lab/soak/client_crowd.hpp"
#include "lab/soak/faulty_host.hpp"
#include "lab/soak/gateway_restarts.hpp"
#include "lab/soak/host_replacements.hpp"
#include "lab/soak/processor_share.hpp"
#include "lab/soak/request_ledger.hpp"
#include "lab/soak/soak_clients.hpp"

namespace gateway::lab {

struct SoakPlan {
  std::uint64_t seed = 1;
  std::size_t gateways = 1;
  std::size_t hosts = 6;  // in two zones, alternately
  std::size_t descriptors = 1024;
  std::size_t memory_mb = 192;  // limit of each gateway, by its resident memory
  bool allow_hedging = false;
  ClientPlan clients;
  HostPlan host;  // of each host, apart from `uid` and `zone`
  RestartPlan restarts;
  ReplacementPlan replacements;
  CrowdPlan crowd;
  ProcessorPlan processor;  // of the gateways
  // Further environment variables of the gateways, NAME=VALUE.
  std::vector<std::string> environment;
};

// Planned restarts with hanging hosts, hosts that are replaced, long responses and slow uploads.
SoakPlan restart_soak_plan(std::uint64_t seed, std::size_t requests);

// The same with crowds that hold memory, slow and stuck hosts, fast uploads with short deadlines,
// clients that leave and ids that return. The seed draws counts, shares and limits.
SoakPlan pressure_soak_plan(std::uint64_t seed, std::size_t requests);

struct SoakResult {
  RequestLedger ledger;
  std::size_t strays_sent = 0;
  std::size_t connections_to_hosts = 0;  // opened over the whole run
  std::size_t max_open_connections = 0;  // the sum of each host's highest number
  double gateway_cpu_seconds = 0;        // of all gateways
  std::size_t restarts = 0;
  std::size_t kills = 0;            // restarts in which SIGKILL ended the process
  std::size_t replacements = 0;     // of hosts
  std::size_t not_taken = 0;        // requests whose connection ended before their last byte
  double longest_lab_delay_ms = 0;  // of the run's own event loop
  double peak_resident_mb = 0;      // of the gateway that had most
  double initial_resident_mb = 0;   // of the gateway that has most before the first request
  double final_resident_mb = 0;     // of the gateway that has most at the end
  std::vector<std::string> process_failures;  // a gateway was not ready or ended by itself
};

// One line of figures, and a line for each of the first violations.
std::string summary(const SoakResult& result);

// Runs `program`, the gateway executable, until each request has its result. `folder` gets the
// gateways' configurations and logs and is created.
SoakResult run_soak(const std::string& program, const SoakPlan& plan,
                    const std::filesystem::path& folder);

}  // namespace gateway::lab
