// Consistent hashing by the table of Eisenbud et al., "Maglev", NSDI 2016.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace load_balancer {

// Lookup table from hashes to hosts. Hosts have equal numbers of entries, give or take one. Adding
// or removing a host leaves nearly all entries of the other hosts unchanged, and the same list
// gives the same table at every gateway.
class MaglevTable {
 public:
  // Builds the table from the hosts' hashes, whose order must be the same at all gateways. Does
  // nothing if they are the same as before.
  void rebuild(std::vector<std::uint64_t> hashes);
  // Index of the host that `hash` maps to. The table must not be empty.
  std::size_t lookup(std::uint64_t hash) const { return hosts_[hash & (hosts_.size() - 1)]; }

 private:
  static constexpr std::size_t kMinSize = 8192;       // entries
  static constexpr std::size_t kEntriesPerHost = 16;  // at least
  std::vector<std::uint64_t> hashes_;
  std::vector<std::uint32_t> hosts_;  // index into hashes_; its size is a power of two, or 0
};

}  // namespace load_balancer
