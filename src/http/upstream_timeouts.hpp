/// @file
/// Time limits of the connections to hosts.
#pragma once

#include <chrono>

#include "load_balancer/load_balancer.hpp"

namespace gateway::http {

/// A request or a response whose body makes no progress at the host for this long has failed.
inline constexpr load_balancer::Duration kStallTimeout = std::chrono::seconds(10);
/// A response of unknown length is buffered for this long before it is streamed: most of them are
/// complete by then, and one that fails while it is buffered can be replaced by a retry's.
inline constexpr load_balancer::Duration kStreamingDelay = std::chrono::milliseconds(100);
/// Such a response is streamed at the latest this long before the attempt's time limit, which ends
/// a response that is still buffered.
inline constexpr load_balancer::Duration kStreamingMargin = std::chrono::milliseconds(20);

}  // namespace gateway::http
