/// @file
/// The state of a client's request in the gateway.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "http/client_session.hpp"
#include "http/memory_budget.hpp"
#include "http/messages.hpp"
#include "load_balancer/load_balancer.hpp"

namespace gateway {

/// Kept until the request has ended and none of its attempts is in flight.
struct ProxiedRequest {
  http::ExchangeId exchange = 0;
  http::ClientConnectionId client_connection = 0;
  /// As it came from the client; empty once an attempt was sent.
  http::HttpRequest received;
  /// As it is sent to hosts, shared by its attempts. Null: no attempt was sent.
  std::shared_ptr<const http::HttpRequest> message;
  std::shared_ptr<http::BodyStream> body;  ///< Null: the message contains the complete body.
  std::string request_id;                  ///< The client's X-Request-Id.
  /// By the balancer, including those that were not sent.
  std::uint32_t attempts_ordered = 0;
  /// Ordered attempts whose result has not been reported to the balancer.
  std::uint32_t attempts_in_flight = 0;
  /// Of the attempt that ended last.
  load_balancer::AttemptOutcome last_outcome = load_balancer::AttemptOutcome::not_sent;
  std::optional<http::MemoryCharge> memory;  ///< Of its message.
  /// A host may have executed it.
  bool may_have_run = false;
  /// Its id is in the RequestIdTable.
  bool has_claimed_id = false;
  bool ended = false;  ///< The listener has the response, or the client has disconnected.
};

}  // namespace gateway
