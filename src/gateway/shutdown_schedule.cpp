#include "gateway/shutdown_schedule.hpp"

#include <algorithm>

namespace gateway {
namespace {

using load_balancer::Duration;

constexpr Duration kLongestCountedTimeout = std::chrono::seconds(3);
constexpr Duration kKillDelayAfterTimeout = std::chrono::milliseconds(700);
// The process notices the signal late on a busy machine, and a response takes time to be written.
constexpr Duration kKillMargin = std::chrono::milliseconds(200);

}  // namespace

ShutdownSchedule shutdown_schedule(const load_balancer::Settings& settings) {
  Duration longest_timeout{};
  for (const load_balancer::ClassSettings& request_class : settings.classes) {
    longest_timeout = std::max(longest_timeout, request_class.client_timeout);
  }
  const Duration kill_at =
      std::min(longest_timeout, kLongestCountedTimeout) + kKillDelayAfterTimeout;
  return {kill_at - kKillMargin};
}

}  // namespace gateway
