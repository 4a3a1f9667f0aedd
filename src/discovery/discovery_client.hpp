/// @file
/// Client of the discovery server: fetches the endpoint list and watches it for changes. After a
/// failure the load balancer decides when the next watch begins.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

#include "discovery/discovery_call.hpp"
#include "discovery/endpoint_list.hpp"
#include "runtime/clock.hpp"

namespace gateway::discovery {

/// Requests the endpoint list, or the changes since a known version, then long-polls for further
/// changes. Used on the event loop's thread only; the io_context and the clock must outlive it.
///
/// A call without a response within its timeout is overdue: it stays open, so that a late response
/// is still used, and a second call is sent in parallel. If the second call is overdue too, or a
/// call fails, the watch has failed. The load balancer then has watch() called within 1.65 s,
/// rounded up to the next step of its clock (0.1 s).
///
/// The default timeouts follow from the deadlines for putting a change in force while a busy
/// discovery server responds 2.01 s late. For a draining endpoint 0.5 s more is allowed.
/// discovery_paths_test checks each path:
/// - A long poll without a response: the change is in force 0.4 + 2.01 s after the end of
///   `long_poll_wait`; allowed are 2 s + 0.5 s.
/// - The first call to a new server after a reload without a response: 2.1 + 2.01 s after the
///   reload; allowed are 4 s + 0.5 s. If that call fails, it is repeated immediately.
/// - Two calls in a row without a response, which is a failure of the watch:
///   2.1 + 1.65 + 0.1 + 2.01 s after the second of them; allowed are 6 s after discovery becomes
///   reachable.
class DiscoveryClient : private DiscoveryCall::Observer {
 public:
  struct Callbacks {
    /// A new snapshot or delta; the list is valid only during the call.
    std::function<void(const EndpointList&)> on_endpoint_update;
    /// The watch has failed; the next one begins with watch().
    std::function<void()> on_failure;
  };

  struct Timeouts {
    /// How long discovery may delay the response to a long poll while nothing changes.
    std::chrono::milliseconds long_poll_wait{20000};
    /// A long poll is overdue this long after the end of `long_poll_wait`.
    std::chrono::milliseconds long_poll_margin{400};
    /// Any other call is overdue after this time.
    std::chrono::milliseconds call_timeout{2100};
    /// How long an overdue call stays open after its timeout. Discovery takes a response as
    /// received once it has written it, so a call closed earlier could lose a change permanently.
    std::chrono::milliseconds overdue_timeout{2500};
  };

  /// Sends nothing before watch(). Callbacks run on the event loop, never in the constructor.
  DiscoveryClient(boost::asio::io_context& io, runtime::Clock& clock,
                  boost::asio::ip::tcp::endpoint server, Callbacks callbacks, Timeouts timeouts);
  ~DiscoveryClient();
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  /// Sets the version of the endpoint list that the gateway already has; the watch requests only
  /// the changes since that version. Call it before watch().
  void set_known_version(std::int64_t version) { version_ = version; }
  /// Begins a watch. No effect while a call to the server is within its timeout.
  void watch();
  /// Changes the server. The watch on the previous server continues until the new server has sent
  /// a full list.
  void switch_server(const boost::asio::ip::tcp::endpoint& server);
  /// Cancels all calls; no callback follows.
  void stop();

 private:
  using CallPointer = DiscoveryCall::Pointer;

  /// The calls to a server; null where there is none.
  struct ServerCalls {
    CallPointer active;   // within its timeout
    CallPointer overdue;  // past its timeout; a late response is still used
    void cancel();
  };

  bool on_call_overdue(const CallPointer& call) override;
  void on_call_finished(const CallPointer& call, const std::optional<EndpointList>& list) override;
  void on_overdue_finished(const CallPointer& call, const std::optional<EndpointList>& list);
  void on_new_server_finished(const CallPointer& call, const std::optional<EndpointList>& list);
  void adopt_new_server(const CallPointer& call, const EndpointList& list);
  void request_from_current_server(RequestKind kind);
  void start_watch();
  void request_from_new_server();
  void start_call(CallPointer& call, const boost::asio::ip::tcp::endpoint& server, RequestKind kind,
                  std::chrono::milliseconds wait);
  void fail_watch();
  void restart_on_new_connection();

  boost::asio::io_context& io_;
  runtime::Clock& clock_;
  boost::asio::ip::tcp::endpoint server_;
  Callbacks callbacks_;
  Timeouts timeouts_;
  std::optional<std::int64_t> version_;  // of the gateway's endpoint list; none: no list yet
  // Incremented when the version numbers start again (discovery was restarted or replaced). Late
  // responses to requests of an earlier epoch are ignored: their versions are not comparable.
  std::uint64_t epoch_ = 0;
  ServerCalls current_calls_;
  std::optional<boost::asio::ip::tcp::endpoint> new_server_;  // set during a switch
  ServerCalls new_server_calls_;
};

}  // namespace gateway::discovery
