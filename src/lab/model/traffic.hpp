// Clients' first tries: an open-loop schedule that waits for no answer, so a stall hides nothing.
#pragma once

#include <cstdint>

#include "lab/model/event_queue.hpp"
#include "lab/model/random.hpp"
#include "lab/scenario/scenario.hpp"

namespace gateway::lab {

struct Arrival {
  Time at{};  // when it is due
  std::uint32_t zone = 0, cls = 0;
  std::uint64_t key = 0;
  double work = 0;  // seconds on a core of speed 1
};

class Traffic {
 public:
  // `rate`: first tries a second in the mean.
  Traffic(const Scenario& scenario, std::uint64_t seed, double rate, Time start);
  bool next(Arrival& into);  // false: the day is over

 private:
  const Scenario& scenario_;
  Random arrivals_, what_;
  std::uint64_t seed_;
  double rate_, length_;
  Time start_;
  double at_ = 0;
  Weighted zones_, classes_, keys_;
  std::vector<double> mean_work_, variation_;
};

// First tries a second that all warm hosts of the scenario can just do, with `capacity` work a
// second.
double rate_for(const Scenario& scenario, double capacity);

}  // namespace gateway::lab
