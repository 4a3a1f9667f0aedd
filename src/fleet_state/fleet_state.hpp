// The state that a gateway shares with its fleet: a retry budget, rate limits and host health.
// The caller passes in events and received payloads, and obtains decisions and payloads to send.
// Used only if an operator file configures it; see docs/fleet.md and docs/design/shared-state.md.
//
// Pure: no I/O, clock or globals. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fleet_state/fleet_state_config.hpp"
#include "fleet_state/grow_only_counter.hpp"
#include "fleet_state/outlier_consensus.hpp"
#include "fleet_state/payload.hpp"
#include "fleet_state/token_escrow.hpp"

namespace gateway::fleet_state {

// One member's part of the shared state. `now` is Unix time in all functions, see Time.
class FleetState {
 public:
  static constexpr unsigned kUnlimited = UINT32_MAX;

  // Indices of the quantities in fleet_counter(). The admitted requests of limit i have the index
  // kFirstLimit + i.
  static constexpr std::size_t kRequests = 0;
  static constexpr std::size_t kRetries = 1;
  static constexpr std::size_t kFirstLimit = 2;

  // `incarnation_id`: not 0, and different for each process of this member. Tokens of limits are
  // issued from the next slot on, because a previous process of this member may have spent those of
  // the current slot.
  FleetState(FleetStateConfig config, std::string member, std::uint64_t incarnation_id, Time now);

  // Whether a request is admitted; if so, counts it, spends a token of each limit that applies and
  // issues retry_ratio retry tokens. The caller rejects a request that is not admitted.
  bool try_admit(Time now, std::string_view request_class, std::string_view tenant);
  // Counts a retry and spends a token of the retry budget.
  void on_retry_sent(Time now);
  // The number of retries that may be sent now; kUnlimited without a retry budget.
  unsigned allowed_retries() const;
  void on_attempt_result(Time now, const std::string& host, bool success);
  // Sets the hosts that discovery lists.
  void on_hosts(std::vector<std::string> hosts) { consensus_.on_hosts(std::move(hosts)); }
  // To be called about ten times a second.
  void on_tick(Time now, const FleetView& view);

  // The payload to send to a member, at most `max_bytes` long; empty: nothing to send. Counts its
  // contents as sent.
  std::string payload_for(std::string_view member, std::size_t max_bytes);
  // Handles a payload from the member `from`, whose address the caller has verified. False if it is
  // malformed, of another configuration or not plausible; see counters().
  bool on_payload(Time now, const std::string& from, std::string_view data);
  // Whether the caller should send a payload at once instead of with the next membership message:
  // tokens are needed, or a health report has not been sent yet.
  bool has_urgent_update() const;
  // Members to which tokens were transferred since the last payload_for() them. The caller sends
  // each of them a payload.
  std::vector<std::string> pending_transfers() const {
    return {pending_transfers_.begin(), pending_transfers_.end()};
  }

  const std::set<std::string>& ejected_hosts() const { return consensus_.ejected(); }
  struct Counters {              // since the start
    std::uint64_t requests = 0;  // admitted
    std::uint64_t rejected = 0;  // not admitted
    std::uint64_t retries = 0;
    std::uint64_t retries_overdrawn = 0;  // sent without a token
    std::uint64_t bad_payloads = 0;       // malformed or not plausible
    std::uint64_t other_config = 0;       // payloads of another configuration
    std::vector<std::uint64_t> admitted;  // by limit
  };
  const Counters& counters() const { return counters_; }
  const GrowOnlyCounter& fleet_counter() const { return fleet_counter_; }
  const OutlierConsensus& outlier_consensus() const { return consensus_; }
  const TokenEscrow& retry_tokens() const { return retry_tokens_; }
  const std::vector<TokenEscrow>& limit_tokens() const { return limit_tokens_; }
  bool is_bootstrapped() const { return is_bootstrapped_; }
  // Whether this member issues itself its share of the limits in the current slot.
  bool issues_limit_tokens() const;

 private:
  // The dissemination of a counter row since its last change. This member's own row counts as
  // changed at regular intervals.
  struct DisseminationState {
    Time changed_at{};
    unsigned transmissions = 0;
  };
  class PayloadBuilder;

  // Budget 0 is the retry budget, the others are the limits in the order of the configuration.
  std::size_t budget_count() const { return 1 + limit_tokens_.size(); }
  TokenEscrow& budget(std::size_t i) { return i == 0 ? retry_tokens_ : limit_tokens_[i - 1]; }
  bool has_retry_budget() const { return config_.retry_ratio.has_value(); }
  void advance_slot(Time now);
  void issue_limit_tokens();
  void request_limit_tokens();
  Amount share_of_limit(std::size_t limit) const;
  bool has_precedence(std::string_view peer) const;
  void disseminate_own_row(Time now);
  void forget_finished_rows(Time now);

  Payload token_payload_for(std::string_view member);
  void add_health_reports(PayloadBuilder& builder);
  void add_counter_row(PayloadBuilder& builder);
  bool apply_payload(Time now, const std::string& from, const Payload& payload);
  bool apply_transfers(const Incarnation& sender, const Payload& payload);
  void serve_demands(const Incarnation& sender, const Payload& payload);

  FleetStateConfig config_;
  std::uint32_t fingerprint_;
  Incarnation own_;
  Slot slot_;
  Slot first_issue_slot_;  // the first slot for which tokens of limits are issued
  TokenEscrow retry_tokens_;
  std::vector<TokenEscrow> limit_tokens_;
  GrowOnlyCounter fleet_counter_;
  std::map<Incarnation, DisseminationState> row_dissemination_;
  Time own_row_scheduled_at_{};
  OutlierConsensus consensus_;
  std::set<std::string, std::less<>> pending_transfers_;
  // The sender's incarnation id in the last payload from each member.
  std::map<std::string, std::uint64_t, std::less<>> peer_incarnation_ids_;
  FleetView view_;
  bool is_bootstrapped_ = false;
  Counters counters_;
};

}  // namespace gateway::fleet_state
