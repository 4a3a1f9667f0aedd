/// @file
/// A body that is streamed from one connection to another, with backpressure.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "http/memory_budget.hpp"

namespace gateway::http {

/// When the receiving side of a body has to wait for the sending side.
enum class Backpressure {
  /// Some reads ahead of the sending side: a slow peer slows down the other one.
  at_few_reads,
  /// Only when memory is short. The end of the body is noticed when it arrives, whatever the
  /// sending side does; the time of a request starts there.
  at_memory_share
};

/// Buffers the bytes that the receiving side has read from its socket and the sending side has not
/// taken yet. The receiving side stops reading while the stream is full. Shared by both sides; used
/// on the event loop's thread only. Callbacks may call back into the stream and may replace
/// themselves.
class BodyStream {
 public:
  using Clock = std::chrono::steady_clock;

  explicit BodyStream(std::shared_ptr<MemoryBudget> budget,
                      Backpressure backpressure = Backpressure::at_few_reads)
      : budget_(std::move(budget)),
        charge_(budget_, MemoryUse::streams),
        backpressure_(backpressure) {}
  BodyStream(const BodyStream&) = delete;
  BodyStream& operator=(const BodyStream&) = delete;

  // --- The side that receives the body ---

  /// Appends to the body. Ignored after drop().
  void push(std::string_view bytes) {
    if (dropped_ || bytes.empty()) {
      return;
    }
    if (pieces_.empty() || pieces_.back().size() + bytes.size() > kPieceBytes) {
      pieces_.emplace_back();
    }
    pieces_.back() += bytes;
    charge_.set(charge_.bytes() + bytes.size());
    call(on_data);
  }
  /// The body is complete; its last byte arrived at `completed_at`. Only the first call of finish()
  /// or abort() has an effect.
  void finish(Clock::time_point completed_at = Clock::now()) {
    if (end_ == End::none) {
      completed_at_ = completed_at;
    }
    end(End::complete);
  }
  /// No more bytes follow, and the body is incomplete.
  void abort() { end(End::aborted); }
  /// The receiving side must stop reading until on_writable is called.
  bool full() const {
    if (backpressure_ == Backpressure::at_memory_share) {
      return charge_.bytes() >= std::max(kFullAtBytesOverBudget, budget_->free());
    }
    return charge_.bytes() >= (budget_->free() > 0 ? kFullAtBytes : kFullAtBytesOverBudget);
  }
  bool dropped() const { return dropped_; }
  std::function<void()> on_writable;  ///< Bytes were taken.
  std::function<void()> on_dropped;   ///< drop() was called.

  // --- The side that sends the body ---

  /// Returns and removes the first buffered bytes: all, or about kFullAtBytes of them.
  std::string take() {
    std::string bytes;
    while (!pieces_.empty() && bytes.size() < kFullAtBytes) {
      bytes += pieces_.front();
      pieces_.pop_front();
    }
    if (!bytes.empty()) {
      consumed_ = true;
      charge_.set(charge_.bytes() - bytes.size());
      call(on_writable);
    }
    return bytes;
  }
  /// Discards the buffered bytes and all that follow. on_data is not called any more.
  void drop() {
    if (std::exchange(dropped_, true)) {
      return;
    }
    on_data = nullptr;
    charge_.set(0);
    pieces_.clear();
    call(on_dropped);
  }
  bool empty() const { return pieces_.empty(); }
  bool finished() const { return end_ == End::complete; }
  /// See finish(); unspecified before.
  Clock::time_point completed_at() const { return completed_at_; }
  bool aborted() const { return end_ == End::aborted; }
  /// Bytes were taken, so the body can't be sent again from its beginning.
  bool consumed() const { return consumed_; }
  std::function<void()> on_data;  ///< Bytes were added, or finish() or abort() was called.

 private:
  // Buffered bytes at which a stream is full: a few reads ahead of a fast peer. Fewer once the
  // shared budget is used up, but not zero, so that every stream still makes progress.
  static constexpr std::size_t kFullAtBytes = 64 << 10;
  static constexpr std::size_t kFullAtBytesOverBudget = 8 << 10;
  static constexpr std::size_t kPieceBytes = 16 << 10;

  enum class End { none, complete, aborted };

  void end(End kind) {
    if (end_ != End::none) {
      return;
    }
    end_ = kind;
    call(on_data);
  }
  static void call(const std::function<void()>& callback) {
    if (!callback) {
      return;
    }
    const auto copy = callback;  // outlives the call, in which the callback may be replaced
    copy();
  }

  std::shared_ptr<MemoryBudget> budget_;
  MemoryCharge charge_;  // of the buffered bytes
  Backpressure backpressure_;
  std::deque<std::string> pieces_;
  End end_ = End::none;
  Clock::time_point completed_at_;
  bool dropped_ = false;
  bool consumed_ = false;
};

}  // namespace gateway::http
