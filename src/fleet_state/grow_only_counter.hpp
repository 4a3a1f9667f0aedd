// Fleet-wide totals: a grow-only counter (G-counter, Shapiro et al., 2011) of several quantities,
// with one row for each incarnation of a member. Rows merge by the maximum of each value, so
// reordered or repeated messages have no effect, and a later row makes up for a lost one.
//
// Pure: no I/O and no clock. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "fleet_state/token_escrow.hpp"

namespace gateway::fleet_state {

class GrowOnlyCounter {
 public:
  // One value for each quantity, counted since the incarnation started.
  using Row = std::vector<std::uint64_t>;

  explicit GrowOnlyCounter(std::size_t quantities) : quantities_(quantities) {}

  // Throws std::out_of_range if there is no such quantity.
  void increment(const Incarnation& own, std::size_t quantity, std::uint64_t by = 1);
  // Merges a row from a peer. Returns whether any value of the owner's row increased or the row is
  // new; a row with another number of quantities is ignored.
  bool merge(const Incarnation& owner, const Row& row);
  void merge(const GrowOnlyCounter& other);
  void forget(const Incarnation& owner) { rows_.erase(owner); }

  // The sum over all known rows.
  std::uint64_t total(std::size_t quantity) const;
  const std::map<Incarnation, Row>& rows() const { return rows_; }
  bool operator==(const GrowOnlyCounter&) const = default;

 private:
  std::size_t quantities_;
  std::map<Incarnation, Row> rows_;
};

}  // namespace gateway::fleet_state
