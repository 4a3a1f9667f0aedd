// The hosts that an operator has put into maintenance.
#pragma once

#include <string>
#include <unordered_map>

#include "load_balancer/load_balancer.hpp"

namespace load_balancer {

// The latest maintenance of a host.
struct MaintenanceRecord {
  Time started_at{};
  Time ended_at{};  // only if it is not active
  bool active = true;
};

// Stored by address, because a host may be missing from the endpoint list during its maintenance. A
// record remains after the end of the maintenance until forget_ended_before removes it: the
// endpoint list may not show yet that the host was restarted meanwhile.
class MaintenanceRecords {
 public:
  // Starts or ends the maintenance of a host. Returns false if nothing changed.
  bool set(Time now, const std::string& address, bool in_maintenance);
  bool is_active(const std::string& address) const;
  const MaintenanceRecord* find(const std::string& address) const;  // null: no record
  // Removes the records of maintenance that ended before `limit`.
  void forget_ended_before(Time limit);

 private:
  std::unordered_map<std::string, MaintenanceRecord> records_;
};

}  // namespace load_balancer
