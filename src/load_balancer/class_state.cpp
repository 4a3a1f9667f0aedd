#include "load_balancer/class_state.hpp"

#include <algorithm>

namespace load_balancer {
namespace {

constexpr double kHistogramRetention = 0.98;  // per request: the counts cover the last fifty
// Buckets with at least this fraction of the highest count are equally full.
constexpr double kEqualBuckets = 0.9;

}  // namespace

std::size_t ClassState::record_time_remaining(double bucket_position) {
  const auto last = static_cast<double>(time_remaining_histogram.size() - 1);
  const auto bucket = static_cast<std::size_t>(std::clamp(bucket_position, 0.0, last));
  for (double& count : time_remaining_histogram) {
    count *= kHistogramRetention;
  }
  time_remaining_histogram[bucket] += 1;
  const auto fullest =
      std::max_element(time_remaining_histogram.rbegin(), time_remaining_histogram.rend(),
                       [](double a, double b) { return a < kEqualBuckets * b; });
  usual_bucket = static_cast<std::size_t>(time_remaining_histogram.rend() - fullest) - 1;
  return bucket;
}

ClassSettings unknown_class_settings(ClassSettings base) {
  base.name = "unknown";
  base.idempotency = Idempotency::non_idempotent;
  base.priority_weight = 0;
  return base;
}

bool is_placement_allowed(const std::optional<std::vector<std::string>>& allowed_names,
                          const std::string& name) {
  return !allowed_names ||
         std::find(allowed_names->begin(), allowed_names->end(), name) != allowed_names->end();
}

}  // namespace load_balancer
