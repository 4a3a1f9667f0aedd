// Configuration of a Balancer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "load_balancer/types.hpp"

namespace load_balancer {

// Whether a request may be sent again after an attempt that may have run.
enum class Idempotency {
  idempotent,     // always
  deduplicated,   // within the deduplication window, to hosts of the deduplication scope
  non_idempotent  // never
};

// The hosts that recognise duplicates of a deduplicated request.
enum class DeduplicationScope {
  global,  // all hosts
  zone,    // those of the zone of the first attempt
  cell     // those of the zone and cell of the first attempt
};

// Settings of one request class.
struct ClassSettings {
  std::string name;
  Duration latency_objective{};     // responses within it have their full value
  Duration client_timeout{};        // total time that the client waits
  Duration deduplication_window{};  // how long duplicates of a deduplicated request are dropped
  Idempotency idempotency = Idempotency::non_idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::global;
  double priority_weight = 1;      // value of a response; higher values are shed later
  double late_value_fraction = 0;  // 0 to 1: value left to a response past the latency objective
  // Extension of the latency objective, in multiples of the request's cost.
  double latency_objective_per_cost = 0;
  // Requests with the same key run one at a time and in order, over all classes with this setting.
  bool serialize_by_key = false;
  // Zones and machine types it may be sent to. Absent: any. An empty list allows none.
  std::optional<std::vector<std::string>> zones;
  std::optional<std::vector<std::string>> machine_types;
};

// Settings of one tenant.
struct TenantSettings {
  std::string name;
  double quota_per_second = 0;  // requests per second over all gateways; 0 = no quota
};

// Settings of a gateway's Balancer. Its constructor rejects invalid ones.
struct Settings {
  std::uint64_t seed = 1;           // of the pseudo-random decisions
  std::uint32_t gateway_count = 1;  // gateways in the fleet, this one included
  std::uint32_t gateway_index = 0;  // this gateway's number among them, from 0
  std::string zone;                 // of this gateway
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  double over_quota_weight = 0.1;  // 0 to 1: factor on the priority weight beyond the quota
  bool poll_discovery = false;     // the endpoint list is updated only by polling
  // Endpoint::weight falls with the load of a host: size / (1 + requests in flight per core).
  bool dynamic_weights = false;
  bool allow_hedging = false;       // a second attempt may run beside the first one
  bool key_affinity = false;        // a host that recently served a key serves it with less work
  bool send_retry_after = false;    // clients can be given a Retry-After
  bool allow_cancellation = false;  // attempts can be cancelled
  std::uint32_t max_attempts = 1;   // for one request
  std::uint32_t streams_per_connection = 1;  // attempts that a connection carries at a time
  Duration idle_connection_timeout{};        // an unused connection is closed after it; 0 = never
  // Silence that a connection keeps after a response before it carries another attempt.
  Duration connection_quiet_period{};
  Duration max_retry_after{};       // the longest Retry-After that clients respect
  Duration max_poll_interval{};     // the longest time between two polls of discovery; 0 = no limit
  Duration event_batch_interval{};  // between batches of events: their largest delay
  Duration warmup_duration{};       // time from the start of a host to its full capacity
  double initial_warmup_fraction = 1;  // above 0, up to 1: capacity at the start, growing linearly
  // A host that is warming up collapses if it receives this multiple of its current capacity within
  // collapse_window.
  double collapse_load_factor = 3;
  Duration collapse_window{};
  // Pause of a serialized key after an attempt of unknown effect: timeout, reset or cancellation.
  Duration key_cooldown{};
};

}  // namespace load_balancer
