#include "load_balancer/math_helpers.hpp"

#include <algorithm>
#include <cstddef>

namespace load_balancer {

double quantile(std::vector<double>& samples, double fraction, double default_value) {
  if (samples.empty()) {
    return default_value;
  }
  const auto last = static_cast<double>(samples.size() - 1);
  const auto nth = samples.begin() + static_cast<std::ptrdiff_t>(fraction * last);
  std::nth_element(samples.begin(), nth, samples.end());
  return *nth;
}

}  // namespace load_balancer
