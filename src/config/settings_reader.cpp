#include "config/settings_reader.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/config_error.hpp"
#include "config/json_fields.hpp"

namespace gateway::config {
namespace {

using load_balancer::DeduplicationScope;
using load_balancer::Idempotency;
using nlohmann::json;

/// The idempotency for a value of the field `effect`.
Idempotency parse_idempotency(const std::string& effect) {
  if (effect == "retryable") {
    return Idempotency::idempotent;
  }
  if (effect == "dedup") {
    return Idempotency::deduplicated;
  }
  if (effect != "fragile") {
    throw field_error("effect", "unknown '" + effect + "'", "retryable, dedup or fragile");
  }
  return Idempotency::non_idempotent;
}

/// The scope for a value of the field `group`.
DeduplicationScope parse_deduplication_scope(const std::string& group) {
  if (group == "zone") {
    return DeduplicationScope::zone;
  }
  if (group == "cell") {
    return DeduplicationScope::cell;
  }
  if (group != "all") {
    throw field_error("group", "unknown '" + group + "'", "all, zone or cell");
  }
  return DeduplicationScope::global;
}

/// Reads an entry of `grades`: the settings of a request class.
load_balancer::ClassSettings read_class(const json& object) {
  if (!object.is_object()) {
    throw field_error("grades", "an entry is no object", "a list of objects");
  }
  load_balancer::ClassSettings request_class;
  std::string effect = "fragile";
  std::string group = "all";
  read_field(object, "name", request_class.name);
  read_field(object, "aimNs", request_class.latency_objective);
  read_field(object, "giveUpNs", request_class.client_timeout);
  read_field(object, "windowNs", request_class.deduplication_window);
  read_field(object, "points", request_class.priority_weight);
  read_field(object, "lateShare", request_class.late_value_fraction);
  read_field(object, "aimStretch", request_class.latency_objective_per_cost);
  read_field(object, "inTurn", request_class.serialize_by_key);
  read_field(object, "effect", effect);
  read_field(object, "group", group);
  request_class.idempotency = parse_idempotency(effect);
  request_class.deduplication_scope = parse_deduplication_scope(group);
  if (object.contains("staysIn")) {
    std::vector<std::string> zones;
    read_field(object, "staysIn", zones);
    request_class.zones = zones;
  }
  if (object.contains("boundTo")) {
    std::vector<std::string> machine_types;
    read_field(object, "boundTo", machine_types);
    request_class.machine_types = machine_types;
  }
  request_class.client_timeout =
      std::max(request_class.client_timeout, request_class.latency_objective);
  return request_class;
}

/// Reads the fields that belong to no other section.
void read_general(const json& object, load_balancer::Settings& settings) {
  std::string weight_mode;
  read_field(object, "groupSize", settings.gateway_count);
  read_field(object, "myNumber", settings.gateway_index);
  read_field(object, "zone", settings.zone);
  read_field(object, "overShareWorth", settings.over_quota_weight);
  read_field(object, "weights", weight_mode);
  read_field(object, "stepNs", settings.event_batch_interval);
  settings.dynamic_weights = weight_mode == "live";
  read_field(object_field(object, "domain"), "warmKeys", settings.key_affinity);
}

void read_ceilings(const json& ceilings, load_balancer::Settings& settings) {
  read_field(ceilings, "parallelTries", settings.allow_hedging);
  read_field(ceilings, "retryAfter", settings.send_retry_after);
  read_field(ceilings, "cancel", settings.allow_cancellation);
  read_field(ceilings, "maxAttempts", settings.max_attempts);
  read_field(ceilings, "idleCloseNs", settings.idle_connection_timeout);
  read_field(ceilings, "maxRetryAfterNs", settings.max_retry_after);
}

void read_rules(const json& rules, load_balancer::Settings& settings) {
  read_field(rules, "askWithinNs", settings.max_poll_interval);
  read_field(rules, "coldNs", settings.warmup_duration);
  read_field(rules, "coldShare", settings.initial_warmup_fraction);
  read_field(rules, "fallMultiple", settings.collapse_load_factor);
  read_field(rules, "fallNs", settings.collapse_window);
  read_field(rules, "keyRestNs", settings.key_cooldown);
}

void read_classes(const json& object, load_balancer::Settings& settings) {
  const auto classes = object.find("grades");
  if (classes == object.end() || !classes->is_array()) {
    throw field_error("grades", "missing or no list", "a list of objects");
  }
  for (const json& request_class : *classes) {
    settings.classes.push_back(read_class(request_class));
  }
}

void read_tenants(const json& object, load_balancer::Settings& settings) {
  const auto tenants = object.find("tenants");
  if (tenants == object.end() || !tenants->is_array()) {
    return;
  }
  for (const json& entry : *tenants) {
    load_balancer::TenantSettings tenant;
    read_field(entry, "name", tenant.name);
    read_field(entry, "quotaRps", tenant.quota_per_second);
    settings.tenants.push_back(tenant);
  }
}

}  // namespace

load_balancer::Settings read_settings(const json& object) {
  load_balancer::Settings settings;
  // Discovery doesn't push endpoint lists over sockets, whatever the settings for the simulator
  // say: without polling the gateway would keep its initial list.
  settings.poll_discovery = true;
  // An HTTP/1.1 connection carries one request at a time. With more streams the load balancer would
  // treat a connection with an attempt in flight as free.
  settings.streams_per_connection = 1;
  read_general(object, settings);
  read_ceilings(object_field(object, "ceilings"), settings);
  read_rules(object_field(object, "rules"), settings);
  read_classes(object, settings);
  read_tenants(object, settings);
  return settings;
}

std::uint64_t read_seed(const std::string& text) {
  constexpr int kHexadecimal = 16;
  std::uint64_t seed = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, seed, kHexadecimal);
  if (error != std::errc{} || end != last) {
    throw field_error("seed", "'" + text + "' is no hexadecimal number", "hexadecimal digits");
  }
  return seed;
}

}  // namespace gateway::config
