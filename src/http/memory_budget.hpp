/// @file
/// The memory that peers make a gateway hold, in one account.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <memory>
#include <utility>

namespace gateway::http {

/// What holds the memory.
enum class MemoryUse {
  connections,  ///< What each connection needs, whatever it carries.
  input,        ///< Received and not parsed yet, or sent ahead by a client.
  requests,     ///< Heads and buffered bodies of requests.
  responses,    ///< Heads and buffered bodies of responses.
  streams,      ///< Bodies on their way from one connection to another.
  output        ///< Being written.
};
inline constexpr std::size_t kMemoryUses = 6;
const char* name_of(MemoryUse use);

/// Shared by everything on one event loop that holds memory for peers.
class MemoryBudget {
 public:
  void set_limit(std::size_t bytes) { limit_bytes_ = bytes; }
  std::size_t limit() const { return limit_bytes_; }
  std::size_t used() const { return used_bytes_; }
  std::size_t used(MemoryUse use) const { return used_by_.at(static_cast<std::size_t>(use)); }
  std::size_t peak() const { return peak_bytes_; }
  std::size_t free() const { return limit_bytes_ - std::min(limit_bytes_, used_bytes_); }
  /// Whether one holder may hold so many bytes now. What a holder may have shrinks with what is
  /// free, so the large ones are refused first and small ones still find room.
  bool admits(std::size_t bytes) const { return bytes <= free() / kHolderDivisor; }
  /// The same for a response: its request may have been executed, so it gets more of what is free
  /// than a request that can still be refused.
  bool admits_response(std::size_t bytes) const { return bytes <= free() / kResponseDivisor; }

  void add(MemoryUse use, std::size_t bytes) {
    used_by_.at(static_cast<std::size_t>(use)) += bytes;
    used_bytes_ += bytes;
    peak_bytes_ = std::max(peak_bytes_, used_bytes_);
  }
  void subtract(MemoryUse use, std::size_t bytes) {
    used_by_.at(static_cast<std::size_t>(use)) -= bytes;
    used_bytes_ -= bytes;
  }

 private:
  static constexpr std::size_t kHolderDivisor = 16;
  static constexpr std::size_t kResponseDivisor = 4;

  std::size_t limit_bytes_ = 64 << 20;
  std::size_t used_bytes_ = 0;
  std::size_t peak_bytes_ = 0;
  std::array<std::size_t, kMemoryUses> used_by_{};
};

/// Empties a value and frees what it holds. Assigning an empty string keeps the capacity, also
/// where the string is a member of what is assigned.
template <class T>
void release_memory(T& value) {
  const T released = std::move(value);
  value = T();
}

/// The part of a budget that one holder uses; returned when the holder is destroyed.
class MemoryCharge {
 public:
  MemoryCharge(std::shared_ptr<MemoryBudget> budget, MemoryUse use)
      : budget_(std::move(budget)), use_(use) {}
  ~MemoryCharge() { set(0); }
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  void set(std::size_t bytes) {
    if (bytes == bytes_) {
      return;
    }
    budget_->subtract(use_, bytes_);
    budget_->add(use_, bytes);
    bytes_ = bytes;
  }
  std::size_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<MemoryBudget> budget_;
  MemoryUse use_;
  std::size_t bytes_ = 0;
};

}  // namespace gateway::http
