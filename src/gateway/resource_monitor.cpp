#include "gateway/resource_monitor.hpp"

#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

namespace gateway {
namespace {

using event_log::EventKind;
using event_log::Frequency;
using std::chrono::milliseconds;

// Percentages of the memory limit at which the use is logged, up and down.
constexpr std::array<std::size_t, 5> kLevels{50, 65, 80, 90, 100};
constexpr std::size_t kPercent = 100;
// A level is left only this many percent below it, so that a use that varies around it is not
// logged all the time.
constexpr std::size_t kLevelHysteresis = 5;
// Delay of a timer that is logged.
constexpr milliseconds kLongDelay{100};
// A fall of what is held by this much gives free memory back at once.
constexpr std::size_t kLargeFallBytes = std::size_t{2} << 20;
// One by this much does so at most once in kSmallFallInterval, as giving back takes milliseconds.
constexpr std::size_t kSmallFallBytes = std::size_t{64} << 10;
constexpr milliseconds kSmallFallInterval{1000};

std::int64_t milliseconds_of(ResourceMonitor::Clock::duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace

std::size_t resident_bytes() {
  std::ifstream statm("/proc/self/statm");
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return statm ? resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)) : 0;
}

ResourceMonitor::ResourceMonitor(runtime::Clock& clock, event_log::EventLog& log, Sources sources)
    : clock_(clock), timer_(clock.make_timer()), log_(log), sources_(std::move(sources)) {
  wait();
}

void ResourceMonitor::wait() {
  due_ = clock_.now() + kSampleInterval;
  timer_->wait_until(due_, [this] { sample(); });
}

void ResourceMonitor::sample() {
  record_delay(clock_.now() - due_);
  resident_bytes_ = resident_bytes();
  peak_bytes_ = std::max(peak_bytes_, resident_bytes_);
  record_memory();
  return_free_memory();
  wait();
}

void ResourceMonitor::record_delay(Clock::duration delay) {
  longest_delay_ = std::max(longest_delay_, delay);
  if (delay >= kLongDelay) {
    log_.record(EventKind::event_loop_delayed, Frequency::rare, "timer_late",
                {{"delay_ms", milliseconds_of(delay)}});
  }
}

void ResourceMonitor::record_memory() {
  if (limit_bytes_ == 0) {
    return;
  }
  const std::size_t percent = resident_bytes_ * kPercent / limit_bytes_;
  std::size_t level = 0;
  for (std::size_t i = 0; i < kLevels.size(); ++i) {
    const std::size_t from = i < logged_level_ ? kLevels.at(i) - kLevelHysteresis : kLevels.at(i);
    if (percent >= from) {
      level = i + 1;
    }
  }
  if (level == logged_level_) {
    return;
  }
  const std::string holders = sources_.holders().dump();
  log_.record(EventKind::memory_use_changed, Frequency::rare,
              level > logged_level_ ? "risen" : "fallen",
              {{"percent", static_cast<std::int64_t>(percent)},
               {"resident_kib", static_cast<std::int64_t>(resident_bytes_ >> 10)},
               {"holders", holders}});
  logged_level_ = level;
}

// The allocator keeps free blocks that lie between used ones. What is held falls in steps of any
// size, and what the last step frees counts like what the first one did.
void ResourceMonitor::return_free_memory() {
  const std::size_t held = sources_.held_bytes();
  peak_held_bytes_ = std::max(peak_held_bytes_, held);
  const std::size_t fall = peak_held_bytes_ - held;
  const bool is_due = clock_.now() - returned_at_ >= kSmallFallInterval;
  if (fall >= kLargeFallBytes || (is_due && fall >= kSmallFallBytes)) {
    ::malloc_trim(0);
    peak_held_bytes_ = held;
    returned_at_ = clock_.now();
  }
}

nlohmann::ordered_json ResourceMonitor::to_json() const {
  return {{"resident_bytes", resident_bytes_},
          {"peak_resident_bytes", peak_bytes_},
          {"memory_limit_bytes", limit_bytes_},
          {"longest_timer_delay_ms", milliseconds_of(longest_delay_)}};
}

}  // namespace gateway
