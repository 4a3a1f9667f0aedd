/// @file
/// How a gateway uses the fleet that it belongs to.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace gateway {

/// All hooks must be set. They are called on the event loop's thread, in the order of the events.
struct FleetHooks {
  /// Returns false if the quota of the tenant is used up: the response is 429.
  std::function<bool(std::string_view request_class, std::string_view tenant)> try_admit;
  /// An attempt other than the first of its request is about to be sent.
  std::function<void()> on_retry_sent;
  /// Number of retries that may be sent now; UINT64_MAX: unlimited.
  std::function<std::uint64_t()> retries_allowed;
  /// An attempt succeeded or failed through the fault of the host; other ends are not reported.
  std::function<void(const std::string& uid, bool success)> on_attempt_finished;
  /// Called with all hosts that discovery lists, for each endpoint list.
  std::function<void(std::vector<std::string> uids)> on_endpoints_listed;
};

}  // namespace gateway
