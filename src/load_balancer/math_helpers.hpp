// Arithmetic on durations and samples that several components share.
#pragma once

#include <chrono>
#include <vector>

#include "load_balancer/load_balancer.hpp"

namespace load_balancer {

inline double to_seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

inline Duration scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

// Returns the sample at `fraction` (0 to 1) of the sorted order, or `default_value` without
// samples. Reorders `samples`.
double quantile(std::vector<double>& samples, double fraction, double default_value);

}  // namespace load_balancer
