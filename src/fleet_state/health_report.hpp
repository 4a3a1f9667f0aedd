// Health reports: the report of one gateway (the observer) on one host, and the last-writer-wins
// map of such reports.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace gateway::fleet_state {

// The numeric values are part of the payload format.
enum class HealthStatus : std::uint8_t { healthy, suspect, unhealthy };
// The name in the response of GET /fleet: "well", "suspect" or "bad".
std::string_view to_string(HealthStatus status);

struct HealthReport {
  std::uint64_t incarnation_id = 0;  // of the observer's process
  // Numbers this observer's reports on this host within the incarnation; the highest is valid.
  std::uint32_t sequence = 0;
  std::int64_t created_at_ms = 0;  // Unix milliseconds by the observer's clock
  HealthStatus status = HealthStatus::healthy;
  // Results of attempts within the observer's window, from which the status follows.
  std::uint32_t successes = 0;
  std::uint32_t failures = 0;
  // The greater report is the newer one: incarnation and sequence decide. The remaining fields make
  // the order total, so that merging stays commutative even if a faulty observer repeats a
  // sequence. NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
  auto operator<=>(const HealthReport&) const = default;
};

struct HealthReportKey {
  std::string observer;
  std::string host;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
  auto operator<=>(const HealthReportKey&) const = default;
};

using HealthReports = std::map<HealthReportKey, HealthReport>;

// Keeps the newer report of each key. Returns whether `report` was stored: it is newer than the
// known report, or the first of its key.
bool merge(HealthReports& into, const HealthReportKey& key, const HealthReport& report);
void merge(HealthReports& into, const HealthReports& other);

}  // namespace gateway::fleet_state
