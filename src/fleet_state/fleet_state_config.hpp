// Configuration of the state that the gateways of a fleet share (FleetState).
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet_state/outlier_consensus.hpp"

namespace gateway::fleet_state {

// A limit on the rate of requests that the whole fleet admits. It applies to the requests that
// match both the class and the tenant.
struct RateLimitConfig {
  std::string name;
  std::string request_class;  // empty: any class
  std::string tenant;         // empty: any tenant
  double requests_per_second = 0;
  // Until this member is bootstrapped (see FleetView): true admits every request, false none.
  bool open_until_bootstrapped = false;
};

// Must be the same in all members: a payload from a member with another configuration is rejected.
struct FleetStateConfig {
  // The least number of members by which a limit is divided, so that a member that knows only part
  // of the fleet issues itself at most 1 / min_members of it.
  std::size_t min_members = 1;
  Time slot_duration = std::chrono::seconds(1);
  // Retries per admitted request over the whole fleet; without a value there is no retry budget.
  std::optional<double> retry_ratio;
  unsigned retry_token_lifetime_slots = 10;
  unsigned limit_token_lifetime_slots = 3;
  std::vector<RateLimitConfig> limits;
  bool shares_host_health = false;  // whether health reports are exchanged
  OutlierConsensusSettings outlier_consensus;
};

// A hash of the configuration, which each payload carries. Of `outlier_consensus` it covers only
// the quorum, the maximum ejected fraction and the report lifetime.
std::uint32_t fingerprint(const FleetStateConfig& config);

}  // namespace gateway::fleet_state
