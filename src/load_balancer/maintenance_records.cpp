#include "load_balancer/maintenance_records.hpp"

namespace load_balancer {

bool MaintenanceRecords::set(Time now, const std::string& address, bool in_maintenance) {
  if (in_maintenance == is_active(address)) {
    return false;
  }
  MaintenanceRecord& record = records_[address];
  if (in_maintenance) {
    record = {now};
  } else {
    record.active = false;
    record.ended_at = now;
  }
  return true;
}

bool MaintenanceRecords::is_active(const std::string& address) const {
  const MaintenanceRecord* record = find(address);
  return record && record->active;
}

const MaintenanceRecord* MaintenanceRecords::find(const std::string& address) const {
  const auto position = records_.find(address);
  return position == records_.end() ? nullptr : &position->second;
}

void MaintenanceRecords::forget_ended_before(Time limit) {
  std::erase_if(records_, [&](const auto& entry) {
    return !entry.second.active && entry.second.ended_at < limit;
  });
}

}  // namespace load_balancer
