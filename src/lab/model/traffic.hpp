// First requests of the clients' operations, as an open-loop schedule: arrivals do not wait for
// responses, so a stall of the system does not reduce the offered load.
#pragma once

#include <cstdint>

#include "lab/model/event_queue.hpp"
#include "lab/model/random.hpp"
#include "lab/scenario/scenario.hpp"

namespace gateway::lab {

// First request of an operation.
struct Arrival {
  Time at{};  // when it is due
  std::uint32_t zone = 0, cls = 0;
  std::uint64_t key = 0;
  double work = 0;  // seconds on a core of speed 1
};

class Traffic {
 public:
  // `rate`: mean number of operations per second.
  Traffic(const Scenario& scenario, std::uint64_t seed, double rate, Time start);
  bool next(Arrival& arrival);  // false: the scenario's length is over

 private:
  const Scenario& scenario_;
  Random arrivals_, attributes_;
  std::uint64_t seed_;
  double mean_rate_, length_s_;
  Time start_;
  double elapsed_s_ = 0;
  Weighted zones_, classes_, keys_;
  std::vector<double> mean_work_, variation_;
};

// Operations per second that use `capacity` (seconds of work per second) completely.
double saturation_rate(const Scenario& scenario, double capacity);

}  // namespace gateway::lab
