#include "load_balancer/host_table.hpp"

#include "load_balancer/hashing.hpp"

namespace load_balancer {

HostTable::Lookup HostTable::find_or_add(const std::string& address) {
  const HostId next = free_ids_.empty() ? static_cast<HostId>(hosts_.size()) : free_ids_.back();
  const auto [position, is_new] = ids_.emplace(address, next);
  if (is_new) {
    if (free_ids_.empty()) {
      hosts_.emplace_back();
    } else {
      free_ids_.pop_back();
    }
    hosts_[next].hash = hash_text(address);
  }
  return {position->second, is_new};
}

HostId HostTable::find(std::string_view address) const {
  const auto position = ids_.find(std::string(address));
  return position == ids_.end() ? kNone : position->second;
}

void HostTable::forget(HostId id) {
  ids_.erase(hosts_[id].endpoint.address);
  hosts_[id] = Host{};
  hosts_[id].endpoint.state = EndpointState::removed;
  free_ids_.push_back(id);
}

}  // namespace load_balancer
