// A scenario: the fleet, its clients and its faults, with every constant of the model. The tables
// in scenario.cpp give the unit, bounds and meaning of each field; `gateway-lab fields` prints
// them. A field that is a Range is drawn anew for each seed.
#pragma once

#include <filesystem>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lab/scenario/fields.hpp"
#include "load_balancer/load_balancer.hpp"

namespace gateway::lab {

struct ZoneSpec {
  std::string name = "a";
  double traffic = 1, hosts = 1;  // weights against the other zones
};

struct NetworkSpec {  // delays in one direction
  Range same_ms{0.09, 0.33}, cross_ms{9, 16}, client_ms{0.3, 1.1};
  double jitter = 0.15;  // standard deviation, as a share of the mean
};

struct KindSpec {  // a machine type
  std::string name = "std";
  double share = 1;
  unsigned cores = 3;
  Range speed{1};            // at 1, work of 1 s takes 1 s of one core
  Range slots_per_core{16};  // running requests
  Range queue_per_core{16};  // waiting requests
  Range thrash{0.08};        // efficiency lost per running request and core above thrash_at
  Range thrash_at{6};        // running requests per core
  Range cold_share{0.2};     // initial share of the capacity
  Range cold_s{18};          // until full capacity
  Range error_rate{0.0005};  // share of responses that are errors, without a fault
};

// Lasting slowness: a host with more active requests than a threshold for some time turns slow, and
// stays so until it has been mostly idle for some time, or for at most max_slow_s.
struct CrowdingSpec {
  bool on = true;
  Range threshold_per_core{4, 7}, delay_s{1.5, 2.5}, slowdown{2, 3.4},
      recovery_threshold_per_core{0.25, 0.4}, recovery_s{2.6, 4.5}, max_slow_s{18, 32};
};

struct WarmSpec {  // a key that the host served recently costs less work
  bool on = true;
  Range saving{0.36, 0.62}, ttl_s{2.3, 9.7}, keys_per_core{4.8, 9.5};
};

struct ConnectionSpec {
  unsigned handshake_trips = 2;
  Range handshake_us{1700, 4000};  // of the host's work for one handshake
  double idle_close_s = 15, timeout_ms = 250;
  Range cap_per_core{600, 900};
  Range full_tax{0.16, 0.38};  // of the capacity lost at a full connection table
};

struct ReportSpec {  // load reports on responses
  Range period_ms{320, 1500}, delay_ms{150, 490};
  double noise = 0.03;
};

struct HostsSpec {
  unsigned count = 13;
  unsigned cell_size = 4;
  std::string start = "warm";  // or "cold": all hosts have just been restarted
  std::vector<KindSpec> kinds{KindSpec{}};
  CrowdingSpec crowding;
  WarmSpec warm;
  ConnectionSpec connections;
  ReportSpec report;
};

struct GatewaysSpec {
  unsigned count = 4;
  Range failure_detection_s{0.94, 4};  // the edge router still sends to a dead gateway
  unsigned heavy_count = 0;            // the first so many get heavy_factor times the traffic
  double heavy_factor = 20;
};

struct ClientsSpec {
  Range load{0.5};        // of the capacity of all warm hosts; unused with rate_per_s
  double rate_per_s = 0;  // of operations, over the whole fleet; 0: from load
  double swing = 0.2;     // amplitude of one sine of the rate over the run
  unsigned keys = 400;
  double key_skew = 0.8;  // Zipf exponent
  unsigned retries = 2;
  Range timeout_share{0.4, 0.8};         // of the class's client timeout, for one request
  Range backoff_ms{60, 480};             // doubled at each retry
  double retry_after_compliance = 0.85;  // share of operations that respect Retry-After
  double early_disconnect_share = 0.01;  // share of requests whose client disconnects early
};

struct ClassSpec {
  std::string name = "status";
  double share = 1;
  Range work_ms{100};
  Range variation{0.3};  // coefficient of variation of the work
  double latency_objective_ms = 600, client_timeout_ms = 2500, priority_weight = 1,
         late_value_fraction = 0.25;
  std::string idempotency = "retryable";    // or dedup, fragile
  std::string deduplication_scope = "all";  // or zone, cell
  double deduplication_window_ms = 5000;
};

struct DiscoverySpec {
  Range removal_delay_s{0.5, 4.9},
      addition_delay_s{1, 2.1};       // until the list shows a removal or drain; a start
  Range spread_ms{31, 110};           // from the list to a watching gateway
  double call_ms = 4, line_us = 100;  // work for one call; for one line
  double timeout_ms = 2000;           // a call that waits longer fails
};

// Constants of the rules that the invariant checker and the host model apply.
struct RulesSpec {
  double response_slack_ms = 50, drain_grace_ms = 550, collapse_load_factor = 3,
         collapse_window_ms = 1000, collapse_slack_ms = 300;
  double max_rejection_delay_ms = 100;  // a later rejection counts as held back
};

struct LimitsSpec {  // features and limits of the gateways
  unsigned max_attempts = 4;
  double max_retry_after_ms = 2000;
  bool cancel = true, hedging = true, retry_after = true;
};

enum class FaultKind {
  slow,
  fast_errors,
  neighbour,
  stale_list,
  discovery_down,
  gateway_roll,
  shared_slow,
  drain,
  replace,
  restart,
  zone_loss,
  silent_cut,
  reset,
  spoilt,
  slow_peers
};
std::string_view name_of(FaultKind kind);

struct FaultSpec {
  std::string kind_name = "slow";
  FaultKind kind = FaultKind::slow;
  Range at_s{10}, length_s{10};
  Range part{0.2};   // of the hosts (gateway_roll: of the gateways)
  Range size{2};     // by kind, see `gateway-lab fields`
  Range extra{1};    // by kind
  std::string zone;  // zone_loss: the zone; empty: drawn
};

struct Scenario {
  std::string name = "unnamed", about;
  double length_s = 40;
  std::vector<ZoneSpec> zones{ZoneSpec{}};
  NetworkSpec network;
  GatewaysSpec gateways;
  HostsSpec hosts;
  ClientsSpec clients;
  std::vector<ClassSpec> classes{ClassSpec{}};
  DiscoverySpec discovery;
  RulesSpec rules;
  LimitsSpec limits;
  std::vector<FaultSpec> faults;
};

// A scenario and the mistakes found in it; with any mistake the scenario must not be used.
struct ScenarioReading {
  Scenario scenario;
  std::vector<ValidationError> mistakes;
};
ScenarioReading read_scenario(const nlohmann::json& json);
// A file that cannot be read or parsed is one mistake.
ScenarioReading load_scenario(const std::filesystem::path& file);

// One row for each field of a scenario.
std::vector<FieldRow> describe_scenario();

// The balancer's settings for one gateway of the scenario, as the platform would configure them.
load_balancer::Settings balancer_settings(const Scenario& scenario, unsigned gateway_index,
                                          const std::string& zone, std::uint64_t seed);

}  // namespace gateway::lab
