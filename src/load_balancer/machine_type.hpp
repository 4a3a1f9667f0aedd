// Statistics of the hosts of a machine type.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace load_balancer {

struct MachineType {
  std::string name;
  double relative_latency = 1;  // mean over its hosts; assumed for a host without responses
  double idle_weight = 0;       // endpoint weight of a host without load
  double selection_weight = 1;  // multiplier, 0 to 1; 1 for the best machine type

  // Successful responses of its warm hosts to this gateway.
  double served = 0;             // since the last sweep
  double warm_hosts = 0;         // at the last sweep
  double success_rate = 0;       // successes per second and host
  double peak_success_rate = 0;  // highest success_rate, slowly decaying

  // From load reports; the first two are decayed sums.
  double reported_successes = 0;     // successful responses to this gateway
  double reported_busy_seconds = 0;  // busy time of its hosts, scaled by their warm-up fraction
  double service_time = 0;           // seconds per response of a warm host, without queueing
  double capacity = 0;  // successes per second to this gateway by a warm host that is always busy
};

// Returns the index of the machine type `name`, which is added if it is new.
std::size_t find_or_add_machine_type(std::vector<MachineType>& types, const std::string& name);

}  // namespace load_balancer
