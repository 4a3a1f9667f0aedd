/// @file
/// What the event log writes: the environment variables `GW_LOG_REQUESTS` and
/// `GW_LOG_LINES_PER_SECOND`.
#pragma once

#include <cstdint>
#include <functional>
#include <stdexcept>

namespace gateway::event_log {

struct LogSettings {
  /// Also writes the events of each request and connection, not only the rare ones.
  bool per_request_events = false;
  std::uint32_t lines_per_second = 100;
};

/// A variable has an invalid value. The message names the variable, the value and what is expected.
struct LogSettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// The value of an environment variable; null if it is not set.
using Environment = std::function<const char*(const char* name)>;

/// Throws LogSettingsError.
LogSettings read_log_settings(const Environment& environment);

}  // namespace gateway::event_log
