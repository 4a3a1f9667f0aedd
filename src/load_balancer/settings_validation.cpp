#include "load_balancer/settings_validation.hpp"

#include <cmath>
#include <stdexcept>

namespace load_balancer {
namespace {

void require(bool valid, const std::string& message) {
  if (!valid) {
    throw std::invalid_argument("settings: " + message);
  }
}

}  // namespace

void validate(const Settings& settings) {
  require(settings.gateway_count >= 1, "groupSize must be at least 1");
  require(!settings.classes.empty(), "grades must name at least one class");
  require(settings.max_attempts >= 1, "maxAttempts must be at least 1");
  require(settings.streams_per_connection >= 1, "streamsPerConnection must be at least 1");
  require(settings.initial_warmup_fraction > 0 && settings.initial_warmup_fraction <= 1,
          "coldShare must lie in (0, 1]");
  require(settings.collapse_load_factor > 0, "fallMultiple must be above 0");
  require(settings.over_quota_weight >= 0 && settings.over_quota_weight <= 1,
          "overShareWorth must lie in [0, 1]");
  for (const Duration duration :
       {settings.max_retry_after, settings.max_poll_interval, settings.event_batch_interval,
        settings.warmup_duration, settings.collapse_window, settings.key_cooldown,
        settings.idle_connection_timeout}) {
    require(duration >= Duration::zero(),
            "durations must not be negative: maxRetryAfterNs, askWithinNs, stepNs, coldNs, fallNs, "
            "keyRestNs, idleCloseNs");
  }
  for (const ClassSettings& class_settings : settings.classes) {
    require(!class_settings.name.empty(), "grades: the name of a class must not be empty");
    require(class_settings.latency_objective > Duration::zero(),
            "class " + class_settings.name + ": aimNs must be above 0");
    require(class_settings.client_timeout >= class_settings.latency_objective,
            "class " + class_settings.name + ": giveUpNs must not be below aimNs");
    require(std::isfinite(class_settings.priority_weight) && class_settings.priority_weight >= 0,
            "class " + class_settings.name + ": points must be 0 or more");
    require(class_settings.late_value_fraction >= 0 && class_settings.late_value_fraction <= 1,
            "class " + class_settings.name + ": lateShare must lie in [0, 1]");
    require(class_settings.latency_objective_per_cost >= 0,
            "class " + class_settings.name + ": aimStretch must be 0 or more");
    require(class_settings.deduplication_window >= Duration::zero(),
            "class " + class_settings.name + ": windowNs must not be negative");
  }
  for (const TenantSettings& tenant : settings.tenants) {
    require(std::isfinite(tenant.quota_per_second) && tenant.quota_per_second >= 0,
            "tenant " + tenant.name + ": quotaRps must be 0 or more");
  }
}

}  // namespace load_balancer
