#include "load_balancer/key_frequency.hpp"

#include <algorithm>

namespace load_balancer {
namespace {

constexpr std::size_t kDecayInterval = 256;  // requests between two halvings of the counts
constexpr double kMinCount = 0.1;            // keys with a lower count are dropped

}  // namespace

double KeyFrequency::record(std::uint64_t key) {
  if (++recorded_ % kDecayInterval == 0) {
    total_ /= 2;
    for (auto& [other_key, count] : counts_) {
      count /= 2;
    }
    std::erase_if(counts_, [](const auto& entry) { return entry.second < kMinCount; });
  }
  const double count = ++counts_[key];
  return count / std::max<double>(++total_, kDecayInterval);
}

}  // namespace load_balancer
