// One member's part of a token escrow, which bounds how often a whole fleet performs an operation.
// Each token is held by one member at a time: the bounded counter of Balegas et al. (2015) with
// tokens that expire by time slot. A member spends only tokens that it holds, so the fleet never
// spends a token twice, even if messages are lost, delayed or duplicated or the network is
// partitioned.
//
// Pure: no I/O and no clock. Not thread-safe.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gateway::fleet_state {

// Unix time, read once at the start of the process and advanced by the monotonic clock.
using Time = std::chrono::nanoseconds;
using Slot = std::int64_t;    // Unix time divided by the slot duration
using Amount = std::int64_t;  // thousandths of a token; one token allows one operation
inline constexpr Amount kOneToken = 1000;
// The largest amount in a payload; a transfer with a larger total is rejected as implausible.
inline constexpr Amount kMaxAmount = 1'000'000'000'000;

// One process of a member. A restarted member holds none of the tokens of its previous process.
struct Incarnation {
  std::string member;
  std::uint64_t id = 0;  // random, not 0
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
  auto operator<=>(const Incarnation&) const = default;
};

// The tokens of one slot that one incarnation has transferred to another so far. The total never
// decreases, so that repeated or reordered reports of it are harmless.
struct TokenTransfer {
  Slot slot = 0;     // in which the tokens were issued
  Amount total = 0;  // since the start of the sending incarnation
  auto operator<=>(const TokenTransfer&) const = default;
};

// The tokens that one member holds of one budget, and its transfers to and from other members.
class TokenEscrow {
 public:
  // A token issued in slot s may be spent in the slots s to s + lifetime_slots - 1, by any member.
  explicit TokenEscrow(unsigned lifetime_slots) : lifetime_slots_(lifetime_slots) {}

  // Sets the current slot and drops expired tokens and transfers. An earlier slot is ignored.
  void advance(Slot now);
  // Adds tokens that are issued in the current slot.
  void issue(Amount amount);
  // Spends one token, the oldest first. False if less than one token is held. Either result counts
  // as demand for one token.
  bool spend();
  // Counts as demand an operation that was not performed for lack of a token, or that is expected.
  void record_demand(Amount amount = kOneToken) { demand_by_slot_[now_] += amount; }

  Amount held() const { return held_; }
  // Of the tokens held, those that do not expire at the end of the current slot.
  Amount usable_in_next_slot() const;
  // By how much the demand within the token lifetime, met or unmet, exceeds the tokens held; the
  // amount to request from other members.
  Amount shortfall() const;

  // Transfers up to `requested` to a peer, limited to what is spare here: everything held if there
  // was no demand within the token lifetime, else half of what exceeds that demand.
  // When all members are short of tokens, each may hold a fraction of a token, which none can
  // spend. Less than one token is therefore spare as a whole for a peer with precedence. All
  // members must agree on the order of precedence.
  void transfer(const Incarnation& to, Amount requested, bool peer_has_precedence = false);
  // The unexpired transfers to a peer. Each message to the peer may report them again.
  std::vector<TokenTransfer> transfers_to(const Incarnation& to) const;
  // Adds the tokens that `from` reports to have transferred; the caller must have the report from
  // that member itself. False if a transfer is not plausible; then none of them is added.
  bool receive(const Incarnation& from, const std::vector<TokenTransfer>& transfers);

  // Amounts since the start. held() is issued + received - transferred - spent - expired.
  struct Totals {
    Amount issued = 0;
    Amount received = 0;
    Amount transferred = 0;
    Amount spent = 0;
    Amount expired = 0;
  };
  const Totals& totals() const { return totals_; }

 private:
  using AmountBySlot = std::map<Slot, Amount>;
  bool is_expired(Slot slot) const { return slot + static_cast<Slot>(lifetime_slots_) <= now_; }
  void drop_expired(AmountBySlot& amounts) const;
  void drop_expired(std::map<Incarnation, AmountBySlot>& transfers) const;
  void add(Slot slot, Amount amount);
  void remove_from(AmountBySlot::iterator slot, Amount amount);
  Amount recent_demand() const;

  unsigned lifetime_slots_;
  Slot now_ = 0;
  AmountBySlot held_by_slot_;
  Amount held_ = 0;
  std::map<Incarnation, AmountBySlot> transferred_;
  std::map<Incarnation, AmountBySlot> received_;
  AmountBySlot demand_by_slot_;  // one token for each operation, performed or not
  Totals totals_;
};

}  // namespace gateway::fleet_state
