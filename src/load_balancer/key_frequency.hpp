// Fractions of the recent traffic by key.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace load_balancer {

// Counts requests by key. The counts are halved every few hundred requests and small ones are
// dropped, which bounds the table to some thousand keys.
class KeyFrequency {
 public:
  // Counts a request of `key` and returns the key's fraction of the recent requests, 0 to 1.
  double record(std::uint64_t key);

 private:
  std::unordered_map<std::uint64_t, double> counts_;
  double total_ = 0;
  std::size_t recorded_ = 0;
};

}  // namespace load_balancer
