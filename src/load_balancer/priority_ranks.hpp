// Ranks of requests within the recent traffic.
#pragma once

#include <vector>

namespace load_balancer {

// Position of a request, as fractions of the recent traffic, 0 to 1.
struct PriorityRank {
  double fraction_below;  // with a lower weight
  double fraction_equal;  // with the same weight
};

// Counts the recent requests by priority weight; similar weights share a level.
class PriorityRanks {
 public:
  // Counts a request of the weight `weight` and returns its rank.
  PriorityRank record(double weight);
  // Reduces all counts by `fraction`, 0 to 1, and drops levels without recent traffic.
  void decay(double fraction);

 private:
  struct PriorityLevel {
    double weight = 0;
    double request_count = 0;
  };

  std::vector<PriorityLevel> levels_;  // in ascending order of weight
};

}  // namespace load_balancer
