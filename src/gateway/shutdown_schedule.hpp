/// @file
/// When a process that was told to end does what, so that each request that it has taken gets its
/// response before the platform kills it.
#pragma once

#include <chrono>

#include "load_balancer/settings.hpp"

namespace gateway {

/// How long a process whose listening socket is not shared accepts connections after the start of
/// its shutdown: clients stop connecting to it only with a delay.
inline constexpr std::chrono::milliseconds kStopAcceptingDelay{700};

/// Since the start of a shutdown; see ClientListener::take_no_requests. The platform holds a
/// request that gets no response before the kill against the process if it came more than 0.7 s
/// after the start. Clients go on connecting for up to 0.4 s.
inline constexpr std::chrono::milliseconds kTakeNoRequestsAtStop{500};
/// Since the start of a drain; the same. Operators expect that 4 s after its start no connection
/// carries a request of the last 2 s.
inline constexpr std::chrono::milliseconds kTakeNoRequestsAtDrain{1800};

/// Times since the start of a shutdown.
struct ShutdownSchedule {
  /// Every request has its response by then. The platform kills a process once the longest client
  /// timeout of its classes and 0.7 s have passed; a timeout over 3 s counts as 3 s.
  load_balancer::Duration last_response{};
};

ShutdownSchedule shutdown_schedule(const load_balancer::Settings& settings);

}  // namespace gateway
