/// @file
/// A set of ids with a limited size: beyond it, the ids that were added first are removed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_set>

namespace gateway::admin {

/// Contains the ids of the hosts that discovery has listed, so that an operator's call for another
/// host can be rejected as a mistake. Stores only a hash of each id, about 32 bytes.
class BoundedIdSet {
 public:
  /// Enough for a day in a fleet whose hosts are replaced continuously.
  static constexpr std::size_t kDefaultCapacity = 20000;

  explicit BoundedIdSet(std::size_t capacity = kDefaultCapacity) : capacity_(capacity) {}

  /// Adds an id. An id that is already in the set keeps its place in the order of removal.
  void add(std::string_view id) {
    const std::size_t hash = std::hash<std::string_view>{}(id);
    if (!hashes_.insert(hash).second) {
      return;
    }
    insertion_order_.push_back(hash);
    if (insertion_order_.size() <= capacity_) {
      return;
    }
    hashes_.erase(insertion_order_.front());
    insertion_order_.pop_front();
  }
  bool has(std::string_view id) const {
    return hashes_.count(std::hash<std::string_view>{}(id)) > 0;
  }
  std::size_t size() const { return insertion_order_.size(); }

 private:
  std::size_t capacity_;
  std::unordered_set<std::size_t> hashes_;
  std::deque<std::size_t> insertion_order_;
};

}  // namespace gateway::admin
