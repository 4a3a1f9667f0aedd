/// @file
/// What an UpstreamPool reports about its connections, for logs and counters.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>

#include "load_balancer/load_balancer.hpp"

namespace gateway::http {

/// Why a connection to a host was closed.
enum class HostCloseReason {
  host_closed,       ///< By the host, while the connection was idle.
  unexpected_bytes,  ///< The host sent bytes that belong to no request.
  response_closes,   ///< The response ends the connection, or bytes followed it.
  attempt_ended,     ///< Without a complete response: see the attempt's outcome.
  stream_ended,      ///< A streamed response failed, or its client disconnected.
  idle_timeout,      ///< Before the host closes it.
  no_capacity,       ///< In favour of a connection to another host, or above a lowered limit.
  not_in_use,        ///< The host is not serving or was replaced, or the balancer does not use it.
  host_distrusted,   ///< The host wrote too late what belongs to no request.
  shutdown
};
const char* name_of(HostCloseReason reason);

/// Numbers the connections of a process, from 1.
using ConnectionId = std::uint64_t;

/// A connection was established.
struct ConnectionOpened {
  load_balancer::HostId host = load_balancer::kNone;
  boost::asio::ip::tcp::endpoint endpoint;
  ConnectionId connection = 0;
};

/// A connection was closed, or could not be established.
struct ConnectionClosed {
  /// kNone: the host was forgotten, or has another address.
  load_balancer::HostId host = load_balancer::kNone;
  boost::asio::ip::tcp::endpoint endpoint;
  ConnectionId connection = 0;
  HostCloseReason reason = HostCloseReason::shutdown;
  std::uint64_t responses = 0;  ///< Complete ones that it has carried.
};

/// A host sent bytes on a connection without a request in flight.
struct UnexpectedBytes {
  load_balancer::HostId host = load_balancer::kNone;
  ConnectionId connection = 0;
  std::size_t bytes = 0;              ///< Received so far.
  load_balancer::Duration silence{};  ///< Since the last response, or since the connect.
  std::uint64_t responses = 0;        ///< Complete ones that the connection has carried.
};

/// Called on the event loop's thread. A call must not use the pool.
class UpstreamObserver {
 public:
  virtual void on_connection_opened(const ConnectionOpened& event) = 0;
  virtual void on_connection_closed(const ConnectionClosed& event) = 0;
  virtual void on_unexpected_bytes(const UnexpectedBytes& event) = 0;
  /// From now on the connections to the host carry one request each.
  virtual void on_host_distrusted(load_balancer::HostId host) = 0;

 protected:
  ~UpstreamObserver() = default;
};

}  // namespace gateway::http
