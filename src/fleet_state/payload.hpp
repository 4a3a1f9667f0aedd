// The payload that gateways piggyback on membership messages: a CBOR array. decode_payload()
// accepts untrusted input from the network: it returns a payload with all fields within their
// bounds, or the reason for rejection.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "fleet_state/grow_only_counter.hpp"
#include "fleet_state/health_report.hpp"
#include "fleet_state/token_escrow.hpp"

namespace gateway::fleet_state {

// The tokens that a member requests of one budget. Budget 0 is the retry budget, the others are the
// rate limits in the order of the configuration.
struct BudgetDemand {
  std::size_t budget = 0;
  Amount amount = 0;
};

// A decoded payload. The transfers are those of the sender to one incarnation of the recipient.
struct Payload {
  std::uint64_t sender_id = 0;     // incarnation id of the sender
  std::uint64_t recipient_id = 0;  // incarnation id for the transfers; 0: unknown, no transfers
  std::vector<BudgetDemand> demands;
  std::map<std::size_t, std::vector<TokenTransfer>> transfers;  // by budget
  std::vector<std::pair<Incarnation, GrowOnlyCounter::Row>> counter_rows;
  std::vector<std::pair<HealthReportKey, HealthReport>> health_reports;

  // Whether there is nothing to send: all lists are empty.
  bool empty() const {
    return demands.empty() && transfers.empty() && counter_rows.empty() && health_reports.empty();
  }
};

// Why a payload is rejected.
enum class PayloadError : std::uint8_t {
  malformed,    // no CBOR, another structure, or a field out of its bounds
  other_config  // the fingerprint is that of another configuration
};

// `fingerprint`: see FleetStateConfig. `budgets`: the number of budgets, at least 1.
std::string encode_payload(const Payload& payload, std::uint32_t fingerprint);
std::variant<Payload, PayloadError> decode_payload(std::string_view data, std::uint32_t fingerprint,
                                                   std::size_t budgets);

}  // namespace gateway::fleet_state
