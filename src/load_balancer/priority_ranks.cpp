#include "load_balancer/priority_ranks.hpp"

#include <cstddef>

namespace load_balancer {
namespace {

// Weights within a thousandth of each other share a level.
constexpr double kLowerTolerance = 0.999;
constexpr double kUpperTolerance = 1.001;
constexpr double kZeroWeightTolerance = 1e-12;
// A level whose decayed count is below this is dropped.
constexpr double kMinRequestCount = 0.01;

}  // namespace

PriorityRank PriorityRanks::record(double weight) {
  std::size_t index = 0;
  while (index < levels_.size() && levels_[index].weight < weight * kLowerTolerance) {
    ++index;
  }
  if (index == levels_.size() ||
      levels_[index].weight > weight * kUpperTolerance + kZeroWeightTolerance) {
    levels_.insert(levels_.begin() + static_cast<std::ptrdiff_t>(index), PriorityLevel{weight, 0});
  }
  levels_[index].request_count += 1;
  double count_below = 0;
  double total = 0;
  for (std::size_t i = 0; i < levels_.size(); ++i) {
    total += levels_[i].request_count;
    if (i < index) {
      count_below += levels_[i].request_count;
    }
  }
  return {count_below / total, levels_[index].request_count / total};
}

void PriorityRanks::decay(double fraction) {
  for (PriorityLevel& level : levels_) {
    level.request_count *= 1 - fraction;
  }
  std::erase_if(levels_,
                [](const PriorityLevel& level) { return level.request_count < kMinRequestCount; });
}

}  // namespace load_balancer
