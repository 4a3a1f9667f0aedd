// What is learned of the hosts of one machine type together.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace load_balancer {

struct MachineType {
  std::string name;
  double relative_latency = 1;  // mean over its hosts; assumed for one without responses
  double idle_weight = 0;       // endpoint weight of a host without load
  double selection_weight = 1;  // multiplier in the selection; 1 for the best machine type

  // Responses to this gateway by its warm hosts.
  double served = 0;             // since the last sweep
  double warm_hosts = 0;         // at the last sweep
  double success_rate = 0;       // successes per second and host
  double peak_success_rate = 0;  // highest success_rate, slowly decaying

  // From load reports, decayed.
  double reported_successes = 0;     // responses to this gateway
  double reported_busy_seconds = 0;  // warm seconds that its hosts were busy
  double service_time = 0;           // seconds per response of a warm host, without queueing
  double capacity = 0;               // successes per second of a warm host that is always busy
};

// Index of the machine type `name`, which is added if it is new.
std::size_t find_or_add_machine_type(std::vector<MachineType>& types, const std::string& name);

}  // namespace load_balancer
