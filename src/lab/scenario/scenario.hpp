// A scenario: the fleet, its clients, its troubles. Every constant of the model stands here, with
// its unit in the name. Bounds and meanings: the tables in scenario.cpp, printed by
// `gateway-lab fields`.
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
  double traffic = 1, hosts = 1;  // shares, against the other zones
};

struct NetworkSpec {  // one way each
  Range same_ms{0.09, 0.33}, cross_ms{9, 16}, client_ms{0.3, 1.1};
  double jitter = 0.15;  // standard deviation, as a share of the mean
};

struct KindSpec {  // machines of one size
  std::string name = "std";
  double share = 1;
  unsigned cores = 3;
  Range speed{1};            // yardstick 1: work of 1 s takes 1 s of one core
  Range slots_per_core{16};  // requests in work
  Range queue_per_core{16};  // waiting room
  Range thrash{0.08};        // efficiency lost for each request a core above thrashAt
  Range thrash_at{6};        // requests a core
  Range cold_share{0.2};     // of its capacity, at its start
  Range cold_s{18};          // to full capacity
  Range error_rate{0.0005};  // answers that fail at any time
};

struct CrowdingSpec {  // lasting slowness after too many waited
  bool on = true;
  Range holds_per_core{4, 7}, for_s{1.5, 2.5}, slower{2, 3.4}, below_per_core{0.25, 0.4},
      rest_s{2.6, 4.5}, most_s{18, 32};
};

struct WarmSpec {  // a key met lately costs less
  bool on = true;
  Range gain{0.36, 0.62}, for_s{2.3, 9.7}, keys_per_core{4.8, 9.5};
};

struct ConnectionSpec {
  unsigned handshake_trips = 2;
  Range handshake_us{1700, 4000};  // of the host's work
  double idle_close_s = 15, timeout_ms = 250;
  Range cap_per_core{600, 900};
  Range full_tax{0.16, 0.38};  // of the capacity, at a full table
};

struct ReportSpec {  // load reports on answers
  Range period_ms{320, 1500}, delay_ms{150, 490};
  double noise = 0.03;
};

struct HostsSpec {
  unsigned count = 13;
  unsigned cell_size = 4;
  std::string start = "warm";  // or "cold": all have been restarted just before
  std::vector<KindSpec> kinds{KindSpec{}};
  CrowdingSpec crowding;
  WarmSpec warm;
  ConnectionSpec connections;
  ReportSpec report;
};

struct GatewaysSpec {
  unsigned count = 4;
  Range failure_detection_s{0.94, 4};  // the front goes on sending to a dead one
  unsigned heavy = 0;  // the first so many are given `heavyTimes` the traffic of the others
  double heavy_times = 20;
};

struct ClientsSpec {
  Range load{0.5};        // of what all warm hosts can do; not used where ratePerS is set
  double rate_per_s = 0;  // of first tries, over the whole fleet
  double swing = 0.2;     // the rate swings by this share, once over the run
  unsigned keys = 400;
  double key_skew = 0.8;  // Zipf exponent
  unsigned retries = 2;
  Range try_share{0.4, 0.8};  // of the class's total wait, for one try
  Range backoff_ms{60, 480};  // doubled at each retry
  double honour = 0.85;       // share of clients that heed Retry-After
  double impatient = 0.01;    // share that leaves early
};

struct ClassSpec {
  std::string name = "status";
  double share = 1;
  Range work_ms{100};
  Range variation{0.3};  // coefficient of variation of the work
  double latency_objective_ms = 600, client_timeout_ms = 2500, priority_weight = 1,
         late_value_fraction = 0.25;
  std::string idempotency = "retryable";    // dedup, fragile
  std::string deduplication_scope = "all";  // zone, cell
  double deduplication_window_ms = 5000;
};

struct DiscoverySpec {
  Range removal_delay_s{0.5, 4.9},
      addition_delay_s{1, 2.1};       // until the list knows of a way out; of a start
  Range spread_ms{31, 110};           // from the list to a gateway that watches
  double call_ms = 4, line_us = 100;  // its work for one call; for one line
  double timeout_ms = 2000;           // a call that waits longer fails
};

struct RulesSpec {
  double response_slack_ms = 50, drain_grace_ms = 550, collapse_load_factor = 3,
         collapse_window_ms = 1000, collapse_slack_ms = 300;
  double max_rejection_delay_ms = 100;  // a refusal with nothing under way for longer was held back
};

struct LimitsSpec {  // what the gateways are allowed
  unsigned max_attempts = 4;
  double max_retry_after_ms = 2000;
  bool cancel = true, second_copies = true, retry_after = true;
};

enum class TroubleKind {
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
std::string_view name_of(TroubleKind kind);

struct TroubleSpec {
  std::string kind_name = "slow";
  TroubleKind kind = TroubleKind::slow;
  Range at_s{10}, length_s{10};
  Range part{0.2};   // of the hosts (gatewayRoll: of the gateways)
  Range size{2};     // by kind, see `gateway-lab fields`
  Range extra{1};    // by kind
  std::string zone;  // zoneLoss: which one; empty: drawn
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
  std::vector<TroubleSpec> troubles;
};

// A scenario, or the mistakes in it (then the scenario is not to be used).
struct ScenarioReading {
  Scenario scenario;
  std::vector<ValidationError> mistakes;
};
ScenarioReading read_scenario(const nlohmann::json& json);
ScenarioReading load_scenario(
    const std::filesystem::path& file);  // an unreadable file is one mistake

// The reference of all fields.
std::vector<FieldRow> describe_scenario();

// The module's settings for gateway `number`, as the platform would tell them.
load_balancer::Settings balancer_settings(const Scenario& scenario, unsigned number,
                                          const std::string& zone, std::uint64_t seed);

}  // namespace gateway::lab
