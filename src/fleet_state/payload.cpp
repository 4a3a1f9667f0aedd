#include "fleet_state/payload.hpp"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace gateway::fleet_state {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNameBytes = 128;    // of a host or member
constexpr std::size_t kMaxQuantities = 64;    // in a counter row
constexpr std::size_t kMaxListEntries = 256;  // in one list of a payload

// Positions of the fields in a payload's array; part of the payload format.
namespace payload_field {
enum Position : std::size_t {
  fingerprint,
  sender_id,
  demands,
  recipient_id,
  transfers,
  counter_rows,
  health_reports,
  count
};
}  // namespace payload_field

// Thrown by the read functions and caught in decode_payload().
struct MalformedPayload : std::runtime_error {
  MalformedPayload() : std::runtime_error("malformed payload") {}
};

// Returns the value, an array of at most kMaxListEntries elements.
const json& read_list(const json& value) {
  if (!value.is_array() || value.size() > kMaxListEntries) {
    throw MalformedPayload();
  }
  return value;
}

// Returns the value, an array of exactly `size` elements.
const json& read_tuple(const json& value, std::size_t size) {
  if (!value.is_array() || value.size() != size) {
    throw MalformedPayload();
  }
  return value;
}

std::uint64_t read_number(const json& value, std::uint64_t max = UINT64_MAX) {
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max) {
    throw MalformedPayload();
  }
  return value.get<std::uint64_t>();
}

std::uint32_t read_uint32(const json& value) {
  return static_cast<std::uint32_t>(read_number(value, UINT32_MAX));
}

// A time in milliseconds or a slot. The bound lets callers add two of them without overflow.
std::int64_t read_time(const json& value) {
  return static_cast<std::int64_t>(read_number(value, INT64_MAX / 2));
}

Amount read_amount(const json& value) {
  return static_cast<Amount>(read_number(value, static_cast<std::uint64_t>(kMaxAmount)));
}

std::string read_name(const json& value) {
  if (!value.is_string()) {
    throw MalformedPayload();
  }
  const auto& name = value.get_ref<const std::string&>();
  if (name.empty() || name.size() > kMaxNameBytes) {
    throw MalformedPayload();
  }
  return name;
}

GrowOnlyCounter::Row read_counter_values(const json& value) {
  if (!value.is_array() || value.size() > kMaxQuantities) {
    throw MalformedPayload();
  }
  GrowOnlyCounter::Row row;
  for (const json& quantity : value) {
    row.push_back(read_number(quantity));
  }
  return row;
}

std::pair<HealthReportKey, HealthReport> read_health_report(const json& value) {
  read_tuple(value, 8);
  HealthReportKey key{read_name(value[0]), read_name(value[1])};
  HealthReport report;
  report.incarnation_id = read_number(value[2]);
  report.sequence = read_uint32(value[3]);
  report.created_at_ms = read_time(value[4]);
  report.status = static_cast<HealthStatus>(
      read_number(value[5], static_cast<std::uint64_t>(HealthStatus::unhealthy)));
  report.successes = read_uint32(value[6]);
  report.failures = read_uint32(value[7]);
  return {std::move(key), report};
}

Payload read_payload(const json& value, std::size_t budgets) {
  Payload payload;
  payload.sender_id = read_number(value[payload_field::sender_id]);
  payload.recipient_id = read_number(value[payload_field::recipient_id]);
  for (const json& demand : read_list(value[payload_field::demands])) {
    const json& fields = read_tuple(demand, 2);
    payload.demands.push_back({read_number(fields[0], budgets - 1), read_amount(fields[1])});
  }
  for (const json& transfer : read_list(value[payload_field::transfers])) {
    const json& fields = read_tuple(transfer, 3);
    payload.transfers[read_number(fields[0], budgets - 1)].push_back(
        {read_time(fields[1]), read_amount(fields[2])});
  }
  for (const json& row : read_list(value[payload_field::counter_rows])) {
    const json& fields = read_tuple(row, 3);
    payload.counter_rows.emplace_back(Incarnation{read_name(fields[0]), read_number(fields[1])},
                                      read_counter_values(fields[2]));
  }
  for (const json& report : read_list(value[payload_field::health_reports])) {
    payload.health_reports.push_back(read_health_report(report));
  }
  return payload;
}

}  // namespace

std::string encode_payload(const Payload& payload, std::uint32_t fingerprint) {
  json demands = json::array();
  for (const BudgetDemand& demand : payload.demands) {
    demands.push_back({demand.budget, demand.amount});
  }
  json transfers = json::array();
  for (const auto& [budget, budget_transfers] : payload.transfers) {
    for (const TokenTransfer& transfer : budget_transfers) {
      transfers.push_back({budget, transfer.slot, transfer.total});
    }
  }
  json rows = json::array();
  for (const auto& [owner, row] : payload.counter_rows) {
    rows.push_back({owner.member, owner.id, row});
  }
  json reports = json::array();
  for (const auto& [key, report] : payload.health_reports) {
    reports.push_back({key.observer, key.host, report.incarnation_id, report.sequence,
                       report.created_at_ms, static_cast<unsigned>(report.status), report.successes,
                       report.failures});
  }
  const json fields{fingerprint,          payload.sender_id,    std::move(demands),
                    payload.recipient_id, std::move(transfers), std::move(rows),
                    std::move(reports)};
  std::string out;
  json::to_cbor(fields, out);
  return out;
}

std::variant<Payload, PayloadError> decode_payload(std::string_view data, std::uint32_t fingerprint,
                                                   std::size_t budgets) {
  try {
    const json fields = json::from_cbor(data.begin(), data.end());
    read_tuple(fields, payload_field::count);
    if (read_number(fields[payload_field::fingerprint]) != fingerprint) {
      return PayloadError::other_config;
    }
    return read_payload(fields, budgets);
  } catch (const json::exception&) {
    return PayloadError::malformed;
  } catch (const MalformedPayload&) {
    return PayloadError::malformed;
  }
}

}  // namespace gateway::fleet_state
