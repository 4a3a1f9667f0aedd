// The plain front layer: which of the gateways that it takes for alive gets the next request.
#pragma once

#include <cstdint>
#include <vector>

#include "lab/model/random.hpp"
#include "lab/scenario/scenario.hpp"

namespace gateway::lab {

// One of `from`, which is not empty: each as likely, but for the scenario's heavy ones.
inline std::uint32_t draw_gateway(const GatewaysSpec& spec, const std::vector<std::uint32_t>& from,
                                  Random& random) {
  const double most = spec.heavy > 0 ? std::max(spec.heavy_times, 1.0) : 1;
  for (;;) {
    const std::uint32_t gateway = from[random.below(from.size())];
    const double weight = gateway < spec.heavy ? spec.heavy_times : 1;
    if (weight >= most || random.chance(weight / most)) {
      return gateway;
    }
  }
}

}  // namespace gateway::lab
