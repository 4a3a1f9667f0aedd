#include "fleet_state/fleet_state_config.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <nlohmann/json.hpp>

namespace gateway::fleet_state {

// The hashed text must not change between builds: gateways of different builds compare the hashes.
std::uint32_t fingerprint(const FleetStateConfig& config) {
  constexpr double kNoRetryBudget = -1;
  const OutlierConsensusSettings& consensus = config.outlier_consensus;
  nlohmann::json fields{config.min_members,
                        config.slot_duration.count(),
                        config.retry_ratio.value_or(kNoRetryBudget),
                        config.retry_token_lifetime_slots,
                        config.limit_token_lifetime_slots,
                        config.shares_host_health,
                        consensus.quorum,
                        consensus.max_ejected_fraction,
                        consensus.report_lifetime.count()};
  for (const RateLimitConfig& limit : config.limits) {
    fields.push_back({limit.name, limit.request_class, limit.tenant, limit.requests_per_second,
                      limit.open_until_bootstrapped});
  }
  const std::string text = fields.dump();
  return static_cast<std::uint32_t>(XXH3_64bits(text.data(), text.size()));
}

}  // namespace gateway::fleet_state
