/// @file
/// The gateway's log on standard error: lines of the form `event key=value ... time=...`, with a
/// limit on the lines of a second, and a counter for each event and reason.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "event_log/event.hpp"
#include "event_log/line_rate_limiter.hpp"
#include "event_log/log_settings.hpp"

namespace gateway::event_log {

/// Used on one thread.
class EventLog {
 public:
  using Clock = std::chrono::steady_clock;
  /// Writes a line without its end.
  using Sink = std::function<void(std::string_view line)>;

  /// Writes to standard error with the time of each line.
  explicit EventLog(const LogSettings& settings);
  EventLog(const LogSettings& settings, Sink sink);

  /// Counts the event under its reason and writes it, if its frequency and the limit of lines allow
  /// that. `reason` is a static string of the code.
  void record(EventKind kind, Frequency frequency, std::string_view reason,
              std::initializer_list<Field> fields);
  /// Whether an event of this frequency is written; saves the caller work for its fields.
  bool writes(Frequency frequency) const {
    return frequency == Frequency::rare || settings_.per_request_events;
  }
  /// Writes a line that is not an event of this module, without a limit.
  void write_line(std::string_view line);
  /// The number of occurrences as {"event": {"reason": count}}, and `suppressed_lines`.
  std::string counters_json() const;
  std::uint64_t count(EventKind kind, std::string_view reason) const;

 private:
  void report_suppressed(Clock::time_point now);

  LogSettings settings_;
  Sink sink_;
  LineRateLimiter limiter_;
  std::array<std::map<std::string, std::uint64_t, std::less<>>, kEventKinds> counters_;
  std::uint64_t suppressed_lines_ = 0;
};

}  // namespace gateway::event_log
