#include "membership/suspicion.hpp"

#include <algorithm>
#include <cmath>

namespace gateway::membership {
namespace {

// Pings to a suspect before its deadline. Several, because a datagram may be lost.
constexpr unsigned kFinalPings = 3;
// Between final pings, and between the last of them and the deadline.
constexpr Duration kFinalPingInterval = std::chrono::milliseconds(700);

}  // namespace

Time Suspicion::deadline(const Settings& settings, std::size_t known_members) const {
  // Neither the suspect nor its first reporter can confirm the suspicion, so in a small fleet fewer
  // than `settings.expected_confirmations` are possible.
  const auto possible_confirmations =
      static_cast<double>(std::max<std::size_t>(known_members, 3) - 2);
  const double expected_confirmations =
      std::min<double>(settings.expected_confirmations, possible_confirmations);
  const double confirmations =
      std::min(static_cast<double>(reporters.size()) - 1, expected_confirmations);
  const double fraction = std::log(confirmations + 1) / std::log(expected_confirmations + 1);
  const auto timeout_range_ns = static_cast<double>(
      (settings.max_suspicion_timeout - settings.min_suspicion_timeout).count());
  const Duration reduction(static_cast<Duration::rep>(timeout_range_ns * fraction));
  return started_at + settings.max_suspicion_timeout - reduction;
}

Time Suspicion::next_final_ping(const Settings& settings, std::size_t known_members) const {
  if (final_pings >= kFinalPings) {
    return Time::max();
  }
  return deadline(settings, known_members) - (kFinalPings - final_pings) * kFinalPingInterval;
}

}  // namespace gateway::membership
