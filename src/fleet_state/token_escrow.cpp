#include "fleet_state/token_escrow.hpp"

#include <algorithm>
#include <iterator>

namespace gateway::fleet_state {

void TokenEscrow::advance(Slot now) {
  if (now <= now_) {
    return;
  }
  now_ = now;
  while (!held_by_slot_.empty() && is_expired(held_by_slot_.begin()->first)) {
    held_ -= held_by_slot_.begin()->second;
    totals_.expired += held_by_slot_.begin()->second;
    held_by_slot_.erase(held_by_slot_.begin());
  }
  drop_expired(demand_by_slot_);
  drop_expired(transferred_);
  drop_expired(received_);
}

void TokenEscrow::drop_expired(AmountBySlot& amounts) const {
  while (!amounts.empty() && is_expired(amounts.begin()->first)) {
    amounts.erase(amounts.begin());
  }
}

void TokenEscrow::drop_expired(std::map<Incarnation, AmountBySlot>& transfers) const {
  for (auto& [peer, amounts] : transfers) {
    drop_expired(amounts);
  }
  std::erase_if(transfers, [](const auto& entry) { return entry.second.empty(); });
}

void TokenEscrow::add(Slot slot, Amount amount) {
  if (amount <= 0) {
    return;
  }
  held_by_slot_[slot] += amount;
  held_ += amount;
}

void TokenEscrow::remove_from(AmountBySlot::iterator slot, Amount amount) {
  slot->second -= amount;
  held_ -= amount;
  if (slot->second == 0) {
    held_by_slot_.erase(slot);
  }
}

void TokenEscrow::issue(Amount amount) {
  add(now_, amount);
  totals_.issued += std::max<Amount>(amount, 0);
}

bool TokenEscrow::spend() {
  record_demand();
  if (held_ < kOneToken) {
    return false;
  }
  for (Amount remaining = kOneToken; remaining > 0;) {
    const auto oldest = held_by_slot_.begin();
    const Amount amount = std::min(remaining, oldest->second);
    remove_from(oldest, amount);
    remaining -= amount;
  }
  totals_.spent += kOneToken;
  return true;
}

Amount TokenEscrow::usable_in_next_slot() const {
  if (held_by_slot_.empty()) {
    return held_;
  }
  const auto& [oldest_slot, oldest_amount] = *held_by_slot_.begin();
  const bool expires_next = oldest_slot + static_cast<Slot>(lifetime_slots_) == now_ + 1;
  return expires_next ? held_ - oldest_amount : held_;
}

Amount TokenEscrow::recent_demand() const {
  Amount sum = 0;
  for (const auto& [slot, amount] : demand_by_slot_) {
    sum += amount;
  }
  return sum;
}

Amount TokenEscrow::shortfall() const {
  return std::max<Amount>(recent_demand() - held_, 0);
}

void TokenEscrow::transfer(const Incarnation& to, Amount requested, bool peer_has_precedence) {
  const Amount own_demand = recent_demand();
  const bool transfers_fraction = held_ < kOneToken && peer_has_precedence;
  const Amount spare =
      own_demand == 0 || transfers_fraction ? held_ : std::max<Amount>(held_ - own_demand, 0) / 2;
  // The newest tokens are transferred first: the message to the peer takes up part of the tokens'
  // lifetime, and these have the longest left.
  for (Amount remaining = std::min(requested, spare); remaining > 0;) {
    const auto newest = std::prev(held_by_slot_.end());
    const Amount amount = std::min(remaining, newest->second);
    transferred_[to][newest->first] += amount;
    totals_.transferred += amount;
    remaining -= amount;
    remove_from(newest, amount);
  }
}

std::vector<TokenTransfer> TokenEscrow::transfers_to(const Incarnation& to) const {
  std::vector<TokenTransfer> transfers;
  if (const auto it = transferred_.find(to); it != transferred_.end()) {
    for (const auto& [slot, total] : it->second) {
      transfers.push_back({slot, total});
    }
  }
  return transfers;
}

bool TokenEscrow::receive(const Incarnation& from, const std::vector<TokenTransfer>& transfers) {
  // The peer's clock may be ahead by up to one slot. Tokens of a later slot would stay spendable
  // beyond their lifetime.
  const auto is_plausible = [this](const TokenTransfer& transfer) {
    return transfer.total >= 0 && transfer.total <= kMaxAmount && transfer.slot <= now_ + 1;
  };
  if (!std::all_of(transfers.begin(), transfers.end(), is_plausible)) {
    return false;
  }
  for (const TokenTransfer& transfer : transfers) {
    if (is_expired(transfer.slot)) {
      continue;
    }
    Amount& known_total = received_[from][transfer.slot];
    if (transfer.total <= known_total) {
      continue;
    }
    add(transfer.slot, transfer.total - known_total);
    totals_.received += transfer.total - known_total;
    known_total = transfer.total;
  }
  return true;
}

}  // namespace gateway::fleet_state
