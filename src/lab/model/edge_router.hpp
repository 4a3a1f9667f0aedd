// The edge router in front of the gateways: chooses the gateway for a client request.
#pragma once

#include <cstdint>
#include <vector>

#include "lab/model/random.hpp"
#include "lab/scenario/scenario.hpp"

namespace gateway::lab {

// One of `from`, which is not empty. All are equally likely, except for the first `heavy` gateways
// of the scenario, which are `heavy_times` as likely as the others.
inline std::uint32_t draw_gateway(const GatewaysSpec& spec, const std::vector<std::uint32_t>& from,
                                  Random& random) {
  const double max_weight = spec.heavy_count > 0 ? std::max(spec.heavy_factor, 1.0) : 1;
  for (;;) {
    const std::uint32_t gateway = from[random.below(from.size())];
    const double weight = gateway < spec.heavy_count ? spec.heavy_factor : 1;
    if (weight >= max_weight || random.chance(weight / max_weight)) {
      return gateway;
    }
  }
}

}  // namespace gateway::lab
