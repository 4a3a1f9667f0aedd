/// @file
/// Limits the log lines of a second, so that a flood of faults neither fills the disk nor takes the
/// CPU time that requests need.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace gateway::event_log {

/// Counts lines in windows of one second. Reads no clock.
class LineRateLimiter {
 public:
  using Time = std::chrono::steady_clock::time_point;

  /// Lines left out in a window that has ended.
  struct Suppressed {
    std::uint64_t lines = 0;
  };

  explicit LineRateLimiter(std::uint32_t lines_per_second) : limit_(lines_per_second) {}

  /// Whether a line may be written now. A line that may not is counted as left out.
  bool admit(Time now);
  /// The lines left out in the previous window, once, after that window has ended.
  std::optional<Suppressed> take_suppressed(Time now);

 private:
  void advance(Time now);

  std::uint32_t limit_;
  std::uint32_t written_ = 0;
  std::uint64_t left_out_ = 0;
  std::uint64_t left_out_before_ = 0;  // in windows that have ended
  std::optional<Time> window_start_;
};

}  // namespace gateway::event_log
