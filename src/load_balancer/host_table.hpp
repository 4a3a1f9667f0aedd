// Storage of the hosts by id and by address.
#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "load_balancer/host.hpp"

namespace load_balancer {

// Owns the hosts. An id is an index that stays valid until the host is forgotten; it is then
// assigned again. References to hosts are invalidated when a host is added.
class HostTable {
 public:
  struct Lookup {
    HostId id;
    bool is_new;  // the id was assigned by this call
  };

  // Adds a host with this address if there is none.
  Lookup find_or_add(const std::string& address);
  HostId find(std::string_view address) const;  // kNone: no such host
  // Resets the host, in state EndpointState::removed, and releases its id.
  void forget(HostId id);

  Host& operator[](HostId id) { return hosts_[id]; }
  const Host& operator[](HostId id) const { return hosts_[id]; }
  auto begin() { return hosts_.begin(); }
  auto end() { return hosts_.end(); }
  HostId size() const { return static_cast<HostId>(hosts_.size()); }  // forgotten ones included

 private:
  std::vector<Host> hosts_;
  std::unordered_map<std::string, HostId> ids_;
  std::vector<HostId> free_ids_;
};

}  // namespace load_balancer
