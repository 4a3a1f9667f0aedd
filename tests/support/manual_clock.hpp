/// @file
/// A clock that only a test advances. Timers fire in the order of their times, independently of the
/// system's clock. Not thread-safe.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "runtime/clock.hpp"

namespace gateway::testing {

class ManualClock final : public runtime::Clock {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  TimePoint now() const override { return now_; }
  std::unique_ptr<runtime::Timer> make_timer() override {
    return std::make_unique<ManualTimer>(pending_);
  }
  bool has_pending_timers() const { return !pending_->empty(); }
  /// Time at which the next timer fires; there must be one.
  TimePoint next_expiry() const { return pending_->begin()->first; }
  /// Advances to the next timer's time, but not past `limit`, and fires that one timer if it was
  /// reached.
  void advance(TimePoint limit) {
    if (!has_pending_timers() || next_expiry() > limit) {
      now_ = limit;
      return;
    }
    now_ = std::max(now_, next_expiry());
    auto first = pending_->extract(pending_->begin());
    *first.mapped().is_pending = false;
    first.mapped().handler();
  }

 private:
  struct PendingWait {
    std::function<void()> handler;
    std::shared_ptr<bool> is_pending;  // shared with the timer
  };
  using PendingWaits = std::multimap<TimePoint, PendingWait>;

  class ManualTimer final : public runtime::Timer {
   public:
    explicit ManualTimer(std::shared_ptr<PendingWaits> waits) : waits_(std::move(waits)) {}
    ~ManualTimer() override { cancel(); }
    void wait_until(TimePoint at, std::function<void()> handler) override {
      cancel();
      *is_pending_ = true;
      position_ = waits_->emplace(at, PendingWait{std::move(handler), is_pending_});
    }
    void cancel() override {
      if (std::exchange(*is_pending_, false)) {
        waits_->erase(position_);
      }
    }

   private:
    std::shared_ptr<PendingWaits> waits_;
    std::shared_ptr<bool> is_pending_ = std::make_shared<bool>(false);
    PendingWaits::iterator position_;
  };

  std::shared_ptr<PendingWaits> pending_ = std::make_shared<PendingWaits>();
  TimePoint now_{std::chrono::hours(1)};  // not the clock's epoch, which would look unset
};

}  // namespace gateway::testing
