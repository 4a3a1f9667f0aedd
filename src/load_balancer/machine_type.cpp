#include "load_balancer/machine_type.hpp"

#include <algorithm>

namespace load_balancer {

std::size_t find_or_add_machine_type(std::vector<MachineType>& types, const std::string& name) {
  const auto position = std::find_if(types.begin(), types.end(),
                                     [&](const MachineType& type) { return type.name == name; });
  const auto index = static_cast<std::size_t>(position - types.begin());
  if (position == types.end()) {
    types.push_back({name});
  }
  return index;
}

}  // namespace load_balancer
