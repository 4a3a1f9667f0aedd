#include "load_balancer/tenant_quotas.hpp"

#include <algorithm>
#include <utility>

#include "load_balancer/math_helpers.hpp"

namespace load_balancer {

TenantQuotas::TenantQuotas(const Settings& settings, Time now) : refilled_at_(now) {
  for (const TenantSettings& tenant : settings.tenants) {
    per_second_.push_back(tenant.quota_per_second / settings.gateway_count);
  }
  tokens_.assign(per_second_.size(), 0);
}

bool TenantQuotas::try_consume(std::size_t tenant, Time now) {
  if (tenant >= per_second_.size() || per_second_[tenant] <= 0) {
    return true;
  }
  const double elapsed = to_seconds(now - std::exchange(refilled_at_, now));
  for (std::size_t i = 0; i < tokens_.size(); ++i) {
    tokens_[i] = std::min(tokens_[i] + elapsed * per_second_[i], per_second_[i]);
  }
  if (tokens_[tenant] < 1) {
    return false;
  }
  tokens_[tenant] -= 1;
  return true;
}

}  // namespace load_balancer
