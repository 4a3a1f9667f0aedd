/// @file
/// When a connection to a host may carry its next request. HTTP/1.1 has no mark that ties a
/// response to its request: bytes that a host writes late for an earlier request would be taken as
/// the response to the next one. So a connection is used again only after a time of silence, within
/// which such bytes arrive and spoil this connection alone.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

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

/// What a host has written that belongs to no request. The later it did so, the longer its
/// connections must be silent; one that is later than kQuietPeriod safely covers is distrusted: its
/// connections carry one request each, as long as it goes on.
class HostTrust {
 public:
  using Time = std::chrono::steady_clock::time_point;

  /// The host wrote bytes on a connection that had carried so many responses, `silence` after the
  /// last of them, or after the connect. After more than one response the silence may be wrong: if
  /// the last one was in fact written for an earlier request, these bytes are the response that was
  /// due then. So the connections of the host carry one request each for a short time, in which it
  /// shows how late it writes, unless it has shown that before.
  void on_unexpected_bytes(Time now, load_balancer::Duration silence, std::uint64_t responses);
  /// Whether a connection that has carried a response may carry another request.
  bool allows_reuse(Time now) const { return now >= distrusted_until_ && now >= observed_until_; }
  /// The host has written later than the quiet period covers: what it writes on a connection that
  /// has carried a response is no certain response to the present request.
  bool writes_late(Time now) const { return now < distrusted_until_; }
  /// Silence that a connection keeps after a response.
  load_balancer::Duration quiet_period(Time now) const {
    return now < slow_until_ ? 2 * kQuietPeriod : kQuietPeriod;
  }
  /// Silence that a new connection keeps before its first request.
  load_balancer::Duration connect_quiet_period(Time now) const {
    return now < early_until_ ? kQuietPeriod : kConnectQuietPeriod;
  }

 private:
  Time distrusted_until_{};
  Time observed_until_{};
  int prompt_strays_ = 0;  // whose silence was certain, since the last late one
  Time slow_until_{};      // until then, the host is expected to write late
  Time early_until_{};     // until then, the host is expected to write before any request
};

/// Connections of a distrusted host stay open without a request for this long, to see whether the
/// host goes on.
inline constexpr load_balancer::Duration kObservationPeriod = std::chrono::seconds(1);
/// Of each distrusted host at the same time.
inline constexpr std::size_t kMaxObservedConnections = 4;

}  // namespace gateway::http
