#include "fleet_state/health_report.hpp"

#include <array>

namespace gateway::fleet_state {

std::string_view to_string(HealthStatus status) {
  constexpr std::array<std::string_view, 3> kNames{"well", "suspect", "bad"};
  return kNames[static_cast<std::size_t>(status)];
}

bool merge(HealthReports& into, const HealthReportKey& key, const HealthReport& report) {
  const auto [it, inserted] = into.try_emplace(key, report);
  if (!inserted && !(it->second < report)) {
    return false;
  }
  it->second = report;
  return true;
}

void merge(HealthReports& into, const HealthReports& other) {
  for (const auto& [key, report] : other) {
    merge(into, key, report);
  }
}

}  // namespace gateway::fleet_state
