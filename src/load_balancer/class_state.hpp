// Settings and estimates of one request class.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "load_balancer/load_balancer.hpp"

namespace load_balancer {

// The estimates of a request class, from this gateway's requests.
struct ClassState {
  ClassSettings settings;
  double typical_latency = 0;  // seconds, at the mean cost; 0 until the first response
  double mean_cost = 0;        // seconds, of the cost hints
  double failure_rate = 0;     // fraction of attempts that failed or were rejected, over all hosts
  // Most frequent remaining time of a request until its client gives up: that of first requests.
  Duration usual_time_remaining{};
  std::size_t usual_bucket = 0;                       // of usual_time_remaining
  std::array<double, 64> time_remaining_histogram{};  // decayed counts of the last fifty requests

  // Counts a request by its remaining time in bucket widths and returns its bucket. The usual
  // bucket becomes that with the most requests; of about equally full ones, that with the longest
  // time.
  std::size_t record_time_remaining(double bucket_position);
};

// Settings for requests of a class that is not configured, derived from those of a configured
// class. Such requests have the lowest priority and no retry after an attempt that may have run.
ClassSettings unknown_class_settings(ClassSettings base);

// True if a placement rule allows `name`; without a rule every name is allowed.
bool is_placement_allowed(const std::optional<std::vector<std::string>>& allowed_names,
                          const std::string& name);

}  // namespace load_balancer
