// Token buckets for the quotas of tenants.
#pragma once

#include <cstddef>
#include <vector>

#include "load_balancer/load_balancer.hpp"

namespace load_balancer {

// Counts a token per request. The quota of a tenant is divided evenly among the gateways.
class TenantQuotas {
 public:
  TenantQuotas() = default;
  TenantQuotas(const Settings& settings, Time now);

  // Takes a token for one request; returns false if the quota is used up. Always succeeds for a
  // tenant that is unknown or has no quota.
  bool try_consume(std::size_t tenant, Time now);

 private:
  std::vector<double> per_second_;  // requests, by tenant; 0 = no quota
  std::vector<double> tokens_;      // by tenant; at most the quota of one second
  Time refilled_at_{};
};

}  // namespace load_balancer
