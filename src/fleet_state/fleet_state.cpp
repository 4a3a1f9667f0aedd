#include "fleet_state/fleet_state.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace gateway::fleet_state {
namespace {

constexpr std::size_t kMaxReportsPerPayload = 6;
// The number of payloads in which each member sends a counter row after it has changed.
constexpr unsigned kRowTransmissions = 2;
// The interval at which a member disseminates its own row is this duration multiplied by the number
// of known members, so that the traffic of a member does not grow with the fleet, but at least
// kMinOwnRowInterval.
constexpr Time kOwnRowIntervalPerMember = std::chrono::milliseconds(100);
constexpr Time kMinOwnRowInterval = std::chrono::seconds(2);
// A row that has not changed for this duration belongs to a process that has ended.
constexpr Time kRowRetention = std::chrono::seconds(300);

Amount floor_to_amount(double tokens) {
  return static_cast<Amount>(std::floor(tokens));
}

}  // namespace

FleetState::FleetState(FleetStateConfig config, std::string member, std::uint64_t incarnation_id,
                       Time now)
    : config_(std::move(config)),
      fingerprint_(fingerprint(config_)),
      own_{std::move(member), incarnation_id},
      slot_(now / config_.slot_duration),
      first_issue_slot_(slot_ + 1),
      retry_tokens_(config_.retry_token_lifetime_slots),
      limit_tokens_(config_.limits.size(), TokenEscrow(config_.limit_token_lifetime_slots)),
      fleet_counter_(kFirstLimit + config_.limits.size()),
      consensus_(config_.outlier_consensus, own_) {
  counters_.admitted.resize(config_.limits.size());
  view_.alive_members.insert(own_.member);
  for (std::size_t i = 0; i < budget_count(); ++i) {
    budget(i).advance(slot_);
  }
}

// --- Budgets

void FleetState::advance_slot(Time now) {
  const Slot slot = now / config_.slot_duration;
  if (slot <= slot_) {
    return;
  }
  slot_ = slot;
  for (std::size_t i = 0; i < budget_count(); ++i) {
    budget(i).advance(slot);
  }
  if (issues_limit_tokens()) {
    issue_limit_tokens();
  } else if (is_bootstrapped_ && !view_.issues_limit_tokens) {
    request_limit_tokens();
  }
}

bool FleetState::issues_limit_tokens() const {
  return view_.issues_limit_tokens && is_bootstrapped_ && slot_ >= first_issue_slot_;
}

// In each slot every issuing member issues itself an equal fraction of every limit.
void FleetState::issue_limit_tokens() {
  for (std::size_t i = 0; i < limit_tokens_.size(); ++i) {
    limit_tokens_[i].issue(share_of_limit(i));
  }
}

// A member that issues no tokens expects half of the requests of the one that it succeeds. Asked
// for only when a request has come, the tokens would be late for that request.
void FleetState::request_limit_tokens() {
  for (std::size_t i = 0; i < limit_tokens_.size(); ++i) {
    limit_tokens_[i].record_demand(share_of_limit(i) / 2);
  }
}

// What one issuing member issues in a slot. Unreachable members are included in the divisor,
// because each may still run and spend its own fraction.
Amount FleetState::share_of_limit(std::size_t limit) const {
  const std::size_t issuing_count = view_.known_count - view_.non_issuing_count;
  const auto members = static_cast<double>(std::max(issuing_count, config_.min_members));
  const double seconds = std::chrono::duration<double>(config_.slot_duration).count();
  const double per_second = config_.limits[limit].requests_per_second;
  return floor_to_amount(per_second * seconds * static_cast<double>(kOneToken) / members);
}

bool FleetState::try_admit(Time now, std::string_view request_class, std::string_view tenant) {
  advance_slot(now);
  std::vector<std::size_t> applicable;
  for (std::size_t i = 0; i < limit_tokens_.size(); ++i) {
    const RateLimitConfig& limit = config_.limits[i];
    if ((!limit.request_class.empty() && limit.request_class != request_class) ||
        (!limit.tenant.empty() && limit.tenant != tenant)) {
      continue;
    }
    const bool is_admitted =
        is_bootstrapped_ ? limit_tokens_[i].held() >= kOneToken : limit.open_until_bootstrapped;
    if (!is_admitted) {
      if (is_bootstrapped_) {
        limit_tokens_[i].record_demand();
      }
      ++counters_.rejected;
      return false;
    }
    applicable.push_back(i);
  }
  for (std::size_t i : applicable) {
    if (is_bootstrapped_) {
      limit_tokens_[i].spend();
    }
    ++counters_.admitted[i];
    fleet_counter_.increment(own_, kFirstLimit + i);
  }
  ++counters_.requests;
  fleet_counter_.increment(own_, kRequests);
  if (has_retry_budget()) {
    retry_tokens_.issue(floor_to_amount(*config_.retry_ratio * static_cast<double>(kOneToken)));
  }
  return true;
}

// Excludes tokens that expire at the end of the current slot: the balancer may act on the returned
// number in the next slot.
unsigned FleetState::allowed_retries() const {
  if (!has_retry_budget()) {
    return kUnlimited;
  }
  return static_cast<unsigned>(retry_tokens_.usable_in_next_slot() / kOneToken);
}

void FleetState::on_retry_sent(Time now) {
  advance_slot(now);
  if (has_retry_budget() && !retry_tokens_.spend()) {
    ++counters_.retries_overdrawn;
  }
  ++counters_.retries;
  fleet_counter_.increment(own_, kRetries);
}

void FleetState::on_attempt_result(Time now, const std::string& host, bool success) {
  // The balancer requests no retry that allowed_retries() excludes, so without a usable token each
  // failure counts as demand for a retry.
  if (!success && has_retry_budget() && retry_tokens_.usable_in_next_slot() < kOneToken) {
    advance_slot(now);
    retry_tokens_.record_demand();
  }
  if (config_.shares_host_health) {
    consensus_.on_attempt_result(now, host, success);
  }
}

// Whether a peer with demand may receive all that this member holds if that is less than one token.
// The order of precedence differs from slot to slot, so that no member is always last.
bool FleetState::has_precedence(std::string_view peer) const {
  const auto rank = [this](std::string_view name) {
    return XXH3_64bits_withSeed(name.data(), name.size(), static_cast<std::uint64_t>(slot_));
  };
  return rank(peer) < rank(own_.member);
}

// --- Ticks

void FleetState::on_tick(Time now, const FleetView& view) {
  view_ = view;
  is_bootstrapped_ = is_bootstrapped_ || view.is_bootstrapped;
  advance_slot(now);
  if (config_.shares_host_health) {
    consensus_.on_tick(now, view);
  }
  disseminate_own_row(now);
  forget_finished_rows(now);
}

void FleetState::disseminate_own_row(Time now) {
  const Time interval = std::max<Time>(
      kMinOwnRowInterval, kOwnRowIntervalPerMember * static_cast<Time::rep>(view_.known_count));
  if (now - own_row_scheduled_at_ >= interval && fleet_counter_.rows().contains(own_)) {
    own_row_scheduled_at_ = now;
    row_dissemination_[own_] = {now, 0};
  }
}

void FleetState::forget_finished_rows(Time now) {
  std::erase_if(row_dissemination_, [&](const auto& entry) {
    if (entry.first == own_ || now - entry.second.changed_at < kRowRetention) {
      return false;
    }
    fleet_counter_.forget(entry.first);
    return true;
  });
}

bool FleetState::has_urgent_update() const {
  const auto needs_tokens = [](const TokenEscrow& tokens) {
    return tokens.held() < kOneToken && tokens.shortfall() >= kOneToken;
  };
  if (has_retry_budget() && needs_tokens(retry_tokens_)) {
    return true;
  }
  if (std::any_of(limit_tokens_.begin(), limit_tokens_.end(), needs_tokens)) {
    return true;
  }
  return config_.shares_host_health && consensus_.has_reports_to_send(1);
}

// --- Sending payloads

// Builds a payload from entries, and leaves out those with which the encoding would exceed the
// maximum size.
class FleetState::PayloadBuilder {
 public:
  PayloadBuilder(Payload payload, std::uint32_t fingerprint, std::size_t max_bytes)
      : payload_(std::move(payload)), fingerprint_(fingerprint), max_bytes_(max_bytes) {
    if (!payload_.empty()) {
      encoded_ = encode_payload(payload_, fingerprint_);
    }
  }

  // Adds an entry to one of the payload's lists. False if it does not fit.
  template <class Entry>
  bool add(std::vector<Entry> Payload::*list, Entry entry) {
    (payload_.*list).push_back(std::move(entry));
    std::string larger = encode_payload(payload_, fingerprint_);
    if (larger.size() > max_bytes_) {
      (payload_.*list).pop_back();
      return false;
    }
    encoded_ = std::move(larger);
    return true;
  }

  // Empty if there is nothing to send or even the tokens alone do not fit.
  std::string finish() && {
    return encoded_.size() <= max_bytes_ ? std::move(encoded_) : std::string();
  }

 private:
  Payload payload_;
  std::uint32_t fingerprint_;
  std::size_t max_bytes_;
  std::string encoded_;
};

std::string FleetState::payload_for(std::string_view member, std::size_t max_bytes) {
  if (const auto it = pending_transfers_.find(member); it != pending_transfers_.end()) {
    pending_transfers_.erase(it);
  }
  PayloadBuilder builder(token_payload_for(member), fingerprint_, max_bytes);
  if (config_.shares_host_health) {
    add_health_reports(builder);
  }
  add_counter_row(builder);
  return std::move(builder).finish();
}

Payload FleetState::token_payload_for(std::string_view member) {
  Payload payload;
  payload.sender_id = own_.id;
  const auto peer = peer_incarnation_ids_.find(member);
  payload.recipient_id = peer == peer_incarnation_ids_.end() ? 0 : peer->second;
  for (std::size_t i = has_retry_budget() ? 0 : 1; i < budget_count(); ++i) {
    if (const Amount shortfall = budget(i).shortfall(); shortfall > 0) {
      payload.demands.push_back({i, std::min(shortfall, kMaxAmount)});
    }
    if (payload.recipient_id == 0) {
      continue;
    }
    const Incarnation recipient{std::string(member), payload.recipient_id};
    if (auto transfers = budget(i).transfers_to(recipient); !transfers.empty()) {
      payload.transfers[i] = std::move(transfers);
    }
  }
  return payload;
}

void FleetState::add_health_reports(PayloadBuilder& builder) {
  const unsigned transmissions = OutlierConsensus::transmissions_for(view_.alive_count);
  for (auto& entry : consensus_.reports_to_send(kMaxReportsPerPayload, transmissions)) {
    if (builder.add(&Payload::health_reports, entry)) {
      consensus_.on_report_sent(entry.first);
    }
  }
}

void FleetState::add_counter_row(PayloadBuilder& builder) {
  auto next = row_dissemination_.end();
  for (auto it = row_dissemination_.begin(); it != row_dissemination_.end(); ++it) {
    const bool is_due = it->second.transmissions < kRowTransmissions;
    if (is_due && (next == row_dissemination_.end() ||
                   it->second.transmissions < next->second.transmissions)) {
      next = it;
    }
  }
  if (next == row_dissemination_.end()) {
    return;
  }
  const GrowOnlyCounter::Row& row = fleet_counter_.rows().at(next->first);
  if (builder.add(&Payload::counter_rows, std::pair(next->first, row))) {
    ++next->second.transmissions;
  }
}

// --- Receiving payloads

bool FleetState::on_payload(Time now, const std::string& from, std::string_view data) {
  advance_slot(now);
  const auto decoded = decode_payload(data, fingerprint_, budget_count());
  if (const auto* error = std::get_if<PayloadError>(&decoded)) {
    ++(*error == PayloadError::other_config ? counters_.other_config : counters_.bad_payloads);
    return false;
  }
  const bool is_plausible = apply_payload(now, from, std::get<Payload>(decoded));
  if (!is_plausible) {
    ++counters_.bad_payloads;
  }
  return is_plausible;
}

bool FleetState::apply_payload(Time now, const std::string& from, const Payload& payload) {
  peer_incarnation_ids_[from] = payload.sender_id;
  const Incarnation sender{from, payload.sender_id};
  bool is_plausible = apply_transfers(sender, payload);
  serve_demands(sender, payload);
  for (const auto& [owner, row] : payload.counter_rows) {
    if (owner != own_ && fleet_counter_.merge(owner, row)) {
      row_dissemination_[owner] = {now, 0};
    }
  }
  if (config_.shares_host_health) {
    for (const auto& [key, report] : payload.health_reports) {
      is_plausible &= consensus_.on_report(now, from, key, report);
    }
  }
  return is_plausible;
}

bool FleetState::apply_transfers(const Incarnation& sender, const Payload& payload) {
  if (payload.recipient_id != own_.id) {
    return true;  // for a previous process of this member; those tokens expire unspent
  }
  bool is_plausible = true;
  for (const auto& [budget_index, transfers] : payload.transfers) {
    is_plausible &= budget(budget_index).receive(sender, transfers);
  }
  return is_plausible;
}

void FleetState::serve_demands(const Incarnation& sender, const Payload& payload) {
  for (const BudgetDemand& demand : payload.demands) {
    TokenEscrow& tokens = budget(demand.budget);
    const Amount held_before = tokens.held();
    tokens.transfer(sender, demand.amount, has_precedence(sender.member));
    if (tokens.held() < held_before) {
      pending_transfers_.insert(sender.member);
    }
  }
}

}  // namespace gateway::fleet_state
