/// @file
/// The events that the gateway logs and counts. docs/on-call.md says which question each answers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>

namespace gateway::event_log {

enum class EventKind {
  request_received,
  request_body_received,
  request_served,
  request_rejected,
  request_failed,
  request_invalid,
  client_disconnected,
  client_connection_closed,
  attempt_sent,
  attempt_retried,
  attempt_hedged,
  attempt_succeeded,
  attempt_failed,
  host_connection_opened,
  host_connection_closed,
  unexpected_bytes,
  host_distrusted,
  host_state_changed,
  endpoint_list_received,
  discovery_failed,
  shutdown_started,
  memory_use_changed,
  event_loop_delayed,
  request_id_forgotten,
  request_read_late,
};
inline constexpr std::size_t kEventKinds = 25;

/// How often an event occurs in a service without faults.
enum class Frequency {
  rare,         ///< Written always, within the limit of lines.
  per_request,  ///< Written only if LogSettings::per_request_events is set.
};

std::string_view name_of(EventKind kind);

/// One `key=value` of a line.
struct Field {
  std::string_view key;
  std::variant<std::string_view, std::int64_t> value;
};

}  // namespace gateway::event_log
