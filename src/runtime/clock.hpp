/// @file
/// The clock that timeouts are measured by, and its timers: the system's steady clock in the
/// program, a manual one in tests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

namespace gateway::runtime {

/// Waits for one point in time. Used on the event loop's thread only.
class Timer {
 public:
  Timer() = default;
  virtual ~Timer() = default;
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  /// Calls `handler` at that time on the event loop, never from within this function. A wait that
  /// is cancelled, replaced by another one, or whose timer is destroyed never calls its handler,
  /// even if its time had come.
  virtual void wait_until(std::chrono::steady_clock::time_point at,
                          std::function<void()> handler) = 0;
  /// Cancels the wait, if there is one.
  virtual void cancel() = 0;
};

/// Must outlive its timers. Used on the event loop's thread only.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual std::chrono::steady_clock::time_point now() const = 0;
  virtual std::unique_ptr<Timer> make_timer() = 0;
};

/// The system's steady clock; the io_context must outlive it.
class SystemClock final : public Clock {
 public:
  explicit SystemClock(boost::asio::io_context& io) : io_(io) {}
  std::chrono::steady_clock::time_point now() const override {
    return std::chrono::steady_clock::now();
  }
  std::unique_ptr<Timer> make_timer() override { return std::make_unique<SystemTimer>(io_); }

 private:
  class SystemTimer final : public Timer {
   public:
    explicit SystemTimer(boost::asio::io_context& io) : timer_(io) {}
    void wait_until(std::chrono::steady_clock::time_point at,
                    std::function<void()> handler) override {
      timer_.expires_at(at);
      timer_.async_wait([latest = std::weak_ptr(latest_wait_), wait = ++*latest_wait_,
                         handler = std::move(handler)](boost::system::error_code ec) {
        // A wait that had expired before it was cancelled completes without an error, so the
        // error code alone does not say whether the handler may run.
        const auto current = latest.lock();
        if (!ec && current && *current == wait) {
          handler();
        }
      });
    }
    void cancel() override {
      ++*latest_wait_;
      timer_.cancel();
    }

   private:
    boost::asio::steady_timer timer_;
    // Number of the wait that may call its handler; expired once the timer is destroyed.
    std::shared_ptr<std::uint64_t> latest_wait_ = std::make_shared<std::uint64_t>(0);
  };

  boost::asio::io_context& io_;
};

}  // namespace gateway::runtime
