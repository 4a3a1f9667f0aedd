/// @file
/// How long an event loop works without returning, and on what.
#pragma once

#include <chrono>
#include <functional>
#include <utility>

namespace gateway::runtime {

/// A piece of work takes so long that timers and other connections are noticeably late.
inline constexpr std::chrono::milliseconds kLongWork{50};

/// Measures the handlers that are marked by a Scope. Used on the event loop's thread only.
class WorkMonitor {
 public:
  using Clock = std::chrono::steady_clock;

  struct Work {
    const char* name = "none";  ///< A static string.
    Clock::duration time{};
  };

  /// Marks the work of the enclosing block. A Scope within another one belongs to the outer one.
  class Scope {
   public:
    /// `monitor` must outlive the scope; null: nothing is measured.
    Scope(WorkMonitor* monitor, const char* name) : monitor_(monitor), name_(name) {
      if (monitor_ != nullptr && std::exchange(monitor_->measuring_, true)) {
        monitor_ = nullptr;
      }
      if (monitor_ != nullptr) {
        start_ = Clock::now();
      }
    }
    ~Scope() {
      if (monitor_ != nullptr) {
        monitor_->measuring_ = false;
        monitor_->record({name_, Clock::now() - start_});
      }
    }
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

   private:
    WorkMonitor* monitor_;
    const char* name_;
    Clock::time_point start_;
  };

  /// The longest piece of work so far.
  const Work& longest() const { return longest_; }
  /// Called after each piece of work of kLongWork or more.
  std::function<void(const Work&)> on_long_work;

 private:
  void record(const Work& work) {
    if (work.time > longest_.time) {
      longest_ = work;
    }
    if (work.time >= kLongWork && on_long_work) {
      on_long_work(work);
    }
  }

  Work longest_;
  bool measuring_ = false;
};

}  // namespace gateway::runtime
