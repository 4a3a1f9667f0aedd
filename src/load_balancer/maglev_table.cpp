#include "load_balancer/maglev_table.hpp"

#include <utility>

#include "load_balancer/hashing.hpp"
#include "load_balancer/load_balancer.hpp"

namespace load_balancer {

void MaglevTable::rebuild(std::vector<std::uint64_t> hashes) {
  if (hashes == hashes_) {
    return;
  }
  hashes_ = std::move(hashes);
  std::size_t size = kMinSize;
  while (size < kEntriesPerHost * hashes_.size()) {
    size *= 2;
  }
  hosts_.assign(hashes_.empty() ? 0 : size, kNone);
  // The next preferred entry of each host. An odd stride visits all entries of the table.
  std::vector<std::uint64_t> next(hashes_.size());
  for (std::size_t i = 0; i < next.size(); ++i) {
    next[i] = mix_bits(hashes_[i]);
  }
  for (std::size_t unassigned = hosts_.size(); unassigned > 0;) {
    for (std::size_t i = 0; i < next.size() && unassigned > 0; ++i, --unassigned) {
      while (hosts_[next[i] & (size - 1)] != kNone) {
        next[i] += hashes_[i] | 1;
      }
      hosts_[next[i] & (size - 1)] = static_cast<std::uint32_t>(i);
    }
  }
}

}  // namespace load_balancer
