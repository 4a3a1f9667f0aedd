/// @file
/// When a connection to a host may carry its next request. HTTP/1.1 has no mark that ties a
/// response to its request: bytes that a host writes late for an earlier request would be taken as
/// the response to the next one. So a connection is used again only after a time of silence, within
/// which such bytes arrive and spoil this connection alone.
#pragma once

#include <chrono>

#include "load_balancer/load_balancer.hpp"

namespace gateway::http {

/// Silence that a connection keeps after a response before it carries another request. Hosts write
/// stray responses up to 100 ms late; the rest covers the delays of both processes.
inline constexpr load_balancer::Duration kQuietPeriod = std::chrono::milliseconds(120);

/// Silence of a new connection before its first request: hosts that write before they have read a
/// request do so when they accept the connection.
inline constexpr load_balancer::Duration kConnectQuietPeriod = std::chrono::milliseconds(5);

/// How much the attempts to a host have waited for the silence of its connections. Few waits cost
/// less than new connections, which the host has to pay for; many mean that the connections are too
/// few for the load.
class WaitLoad {
 public:
  using Time = std::chrono::steady_clock::time_point;

  /// Whether another attempt should wait so long; otherwise it should get a new connection.
  bool accepts(Time now, load_balancer::Duration wait) const;
  void add(Time now, load_balancer::Duration wait);

 private:
  double decayed_seconds(Time now) const;

  double seconds_ = 0;  // waited recently, at at_
  Time at_{};
};

}  // namespace gateway::http
