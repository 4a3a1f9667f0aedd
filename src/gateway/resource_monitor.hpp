/// @file
/// What the process uses: resident memory, connections, delays of its event loop. For the
/// operators' call GET /resources, and for the log on each change that matters.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>

#include "event_log/event_log.hpp"
#include "runtime/clock.hpp"

namespace gateway {

/// Resident memory of this process in bytes; 0 if the system does not tell.
std::size_t resident_bytes();

/// Samples the process every kSampleInterval. Used on the event loop's thread only; the clock and
/// the log must outlive it.
class ResourceMonitor {
 public:
  using Clock = std::chrono::steady_clock;
  static constexpr std::chrono::milliseconds kSampleInterval{100};

  struct Sources {
    /// What holds memory, as an object of names and bytes or counts. It is written with each line
    /// about memory: the next line may be the last one before the platform kills the process.
    std::function<nlohmann::ordered_json()> holders;
    /// Bytes held for peers. When they have fallen, free memory is given back to the system.
    std::function<std::size_t()> held_bytes;
  };

  ResourceMonitor(runtime::Clock& clock, event_log::EventLog& log, Sources sources);

  void set_memory_limit(std::size_t bytes) { limit_bytes_ = bytes; }
  std::size_t resident() const { return resident_bytes_; }
  /// Resident memory, its peak and limit, and the longest delay of a timer.
  nlohmann::ordered_json to_json() const;

 private:
  void sample();
  void wait();
  void record_memory();
  void record_delay(Clock::duration delay);
  void return_free_memory();

  runtime::Clock& clock_;
  std::unique_ptr<runtime::Timer> timer_;
  event_log::EventLog& log_;
  Sources sources_;
  Clock::time_point due_;
  Clock::duration longest_delay_{};
  std::size_t limit_bytes_ = 0;
  std::size_t resident_bytes_ = 0;
  std::size_t peak_bytes_ = 0;
  std::size_t logged_level_ = 0;
  std::size_t peak_held_bytes_ = 0;  // since free memory was given back
  Clock::time_point returned_at_;    // when it was
};

}  // namespace gateway
