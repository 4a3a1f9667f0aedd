/// @file
/// A body that is streamed from one connection to another, with backpressure.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "http/buffer_budget.hpp"

namespace gateway::http {

/// Buffers the bytes that the receiving side has read from its socket and the sending side has not
/// taken yet. The receiving side stops reading while the stream is full, so a slow receiver of the
/// body slows down its sender instead of filling the gateway's memory. Shared by both sides; used
/// on the event loop's thread only. Callbacks may call back into the stream and may replace
/// themselves.
class BodyStream {
 public:
  explicit BodyStream(std::shared_ptr<BufferBudget> budget) : budget_(std::move(budget)) {}
  ~BodyStream() { budget_->used_bytes -= buffered_.size(); }
  BodyStream(const BodyStream&) = delete;
  BodyStream& operator=(const BodyStream&) = delete;

  // --- The side that receives the body ---

  /// Appends to the body. Ignored after drop().
  void push(std::string_view bytes) {
    if (dropped_ || bytes.empty()) {
      return;
    }
    buffered_ += bytes;
    budget_->used_bytes += bytes.size();
    call(on_data);
  }
  /// The body is complete. Only the first call of finish() or abort() has an effect.
  void finish() { end(End::complete); }
  /// No more bytes follow, and the body is incomplete.
  void abort() { end(End::aborted); }
  /// The receiving side must stop reading until on_writable is called.
  bool full() const {
    const bool within_budget = budget_->used_bytes < budget_->limit_bytes;
    return buffered_.size() >= (within_budget ? kFullAtBytes : kFullAtBytesOverBudget);
  }
  bool dropped() const { return dropped_; }
  std::function<void()> on_writable;  ///< Bytes were taken.
  std::function<void()> on_dropped;   ///< drop() was called.

  // --- The side that sends the body ---

  /// Returns and removes all buffered bytes.
  std::string take() {
    consumed_ = consumed_ || !buffered_.empty();
    budget_->used_bytes -= buffered_.size();
    std::string bytes = std::exchange(buffered_, {});
    if (!bytes.empty()) {
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
    budget_->used_bytes -= buffered_.size();
    buffered_ = {};
    call(on_dropped);
  }
  bool empty() const { return buffered_.empty(); }
  bool finished() const { return end_ == End::complete; }
  bool aborted() const { return end_ == End::aborted; }
  /// Bytes were taken, so the body can't be sent again from its beginning.
  bool consumed() const { return consumed_; }
  std::function<void()> on_data;  ///< Bytes were added, or finish() or abort() was called.

 private:
  // Buffered bytes at which a stream is full: a few reads ahead of a fast peer. Fewer once the
  // shared budget is used up, but not zero, so that every stream still makes progress.
  static constexpr std::size_t kFullAtBytes = 64 << 10;
  static constexpr std::size_t kFullAtBytesOverBudget = 8 << 10;

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

  std::shared_ptr<BufferBudget> budget_;
  std::string buffered_;
  End end_ = End::none;
  bool dropped_ = false;
  bool consumed_ = false;
};

}  // namespace gateway::http
