#include "event_log/line_rate_limiter.hpp"

#include <utility>

namespace gateway::event_log {
namespace {

constexpr std::chrono::seconds kWindow{1};

}  // namespace

bool LineRateLimiter::admit(Time now) {
  advance(now);
  if (written_ >= limit_) {
    ++left_out_;
    return false;
  }
  ++written_;
  return true;
}

std::optional<LineRateLimiter::Suppressed> LineRateLimiter::take_suppressed(Time now) {
  advance(now);
  if (left_out_before_ == 0) {
    return std::nullopt;
  }
  return Suppressed{std::exchange(left_out_before_, 0)};
}

void LineRateLimiter::advance(Time now) {
  if (window_start_ && now - *window_start_ < kWindow) {
    return;
  }
  window_start_ = now;
  written_ = 0;
  left_out_before_ += std::exchange(left_out_, 0);
}

}  // namespace gateway::event_log
