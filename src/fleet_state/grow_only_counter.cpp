#include "fleet_state/grow_only_counter.hpp"

namespace gateway::fleet_state {

void GrowOnlyCounter::increment(const Incarnation& own, std::size_t quantity, std::uint64_t by) {
  Row& row = rows_.try_emplace(own, Row(quantities_)).first->second;
  row.at(quantity) += by;
}

bool GrowOnlyCounter::merge(const Incarnation& owner, const Row& row) {
  if (row.size() != quantities_) {
    return false;
  }
  const auto [it, inserted] = rows_.try_emplace(owner, row);
  bool changed = inserted;
  for (std::size_t i = 0; i < quantities_; ++i) {
    if (row[i] > it->second[i]) {
      it->second[i] = row[i];
      changed = true;
    }
  }
  return changed;
}

void GrowOnlyCounter::merge(const GrowOnlyCounter& other) {
  for (const auto& [owner, row] : other.rows_) {
    merge(owner, row);
  }
}

std::uint64_t GrowOnlyCounter::total(std::size_t quantity) const {
  std::uint64_t sum = 0;
  for (const auto& [owner, row] : rows_) {
    sum += row.at(quantity);
  }
  return sum;
}

}  // namespace gateway::fleet_state
