/// @file
/// The connections to all hosts: reuse of idle ones, limits, and the attempts that run on them.
/// Executes the balancer's decisions and never retries by itself.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "http/body_stream.hpp"
#include "http/connection_reuse.hpp"
#include "http/messages.hpp"
#include "http/upstream_connection.hpp"
#include "load_balancer/load_balancer.hpp"

namespace gateway::http {

/// Used on the event loop's thread only. The io_context must outlive the pool.
class UpstreamPool : private UpstreamConnectionOwner {
 public:
  struct Limits {
    std::size_t connections = 256;              ///< To all hosts together.
    load_balancer::Duration connect_timeout{};  ///< For a new connection.
    /// Hosts close connections that are idle for this long; 0: never.
    load_balancer::Duration idle_timeout{};
  };
  using Timeouts = AttemptTimeouts;
  /// May be called from within start(), cancel() and the functions that fail or cancel unsent
  /// attempts.
  using OnCompletion = std::function<void(AttemptCompletion)>;

  /// `observer` must outlive the pool.
  UpstreamPool(boost::asio::io_context& io, Limits limits, OnCompletion on_completion,
               UpstreamObserver& observer, std::shared_ptr<MemoryBudget> memory_budget,
               runtime::WorkMonitor* work_monitor = nullptr);
  // NOLINTNEXTLINE(bugprone-exception-escape): throws only when out of memory
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  /// Connections above a lowered limit are closed once they are idle.
  void set_limits(const Limits& limits) { limits_ = limits; }
  /// A host as the endpoint list has it.
  struct ListedHost {
    boost::asio::ip::tcp::endpoint endpoint;  ///< Port 0: unknown, as before.
    std::int64_t boot_ms = 0;                 ///< When its process started; 0: long ago.
    bool serving = false;
  };
  /// Adds or updates a host. Connections to a host that is not serving, or to an address or a
  /// process that it had before, are closed once they are idle.
  void update_host(load_balancer::HostId host, const ListedHost& listed);
  /// Marks all hosts as not serving; called before the entries of a full endpoint list are applied.
  void mark_all_not_serving();
  /// Removes a host without active attempts; its id may then be assigned to another host.
  void forget(load_balancer::HostId host);
  /// Sends the request on an idle connection that has been silent for kQuietPeriod. Without one it
  /// waits for the silence of another idle connection, or opens a new one if there is none or if
  /// the attempts have waited too much: the connections then are too few for the load. The
  /// remaining time is sent in X-Deadline-Ms. Completes exactly once, unless stop() is called
  /// before. With a `body` the request's body comes from there, and the response timeout and the
  /// elapsed time count from its end.
  void start(AttemptKey key, load_balancer::HostId host, std::shared_ptr<const HttpRequest> request,
             Timeouts timeouts, std::shared_ptr<BodyStream> body = nullptr);
  /// Completes an attempt as cancelled; ignores an unknown or finished one.
  void cancel(AttemptKey key);
  /// Closes the connections to the host that carry no attempt and no streamed response.
  void close_idle(load_balancer::HostId host);
  /// Fails the attempts to a host that still wait for a connection, so that they are never sent.
  void fail_unsent(load_balancer::HostId host);
  /// The same for all hosts that are not serving, and for all addresses that hosts had before.
  void fail_unsent_to_non_serving();
  /// Cancels an attempt if it still waits for a connection.
  void cancel_unsent(AttemptKey key);
  /// Closes all connections without completing their attempts.
  void stop();
  /// Number of open connections, including those being established.
  std::size_t connections() const { return open_connections_; }
  /// Number of hosts added and not forgotten.
  std::size_t hosts() const { return hosts_.size(); }

 private:
  using Clock = std::chrono::steady_clock;

  struct Host {
    HostRegistration registration;
    boost::asio::ip::tcp::endpoint endpoint;
    std::int64_t boot_ms = 0;
    bool serving = false;
    std::vector<std::shared_ptr<UpstreamConnection>> idle;  // in the order of their last response
    WaitLoad wait_load;
    HostTrust trust;
  };
  struct KeyHash {
    std::size_t operator()(const AttemptKey& key) const {
      return std::hash<std::uint64_t>{}(key.request * 16 + key.attempt);
    }
  };

  load_balancer::Duration connect_timeout() const override { return limits_.connect_timeout; }
  load_balancer::Duration connect_quiet_period(const UpstreamConnection& connection) const override;
  std::shared_ptr<MemoryBudget> memory_budget() const override { return memory_budget_; }
  runtime::WorkMonitor* work_monitor() const override { return work_monitor_; }
  std::array<char, kReadChunk>& read_buffer() override { return read_buffer_; }
  void release_attempt(AttemptKey key) override { active_.erase(key); }
  void add_stream(const std::shared_ptr<UpstreamConnection>& connection) override;
  void remove_stream(const std::shared_ptr<UpstreamConnection>& connection) override;
  void report(AttemptCompletion completion) override;
  bool keeps(const UpstreamConnection& connection) const override;
  bool host_writes_late(const UpstreamConnection& connection) const override;
  void add_idle(const std::shared_ptr<UpstreamConnection>& connection) override;
  void on_idle_input(const std::shared_ptr<UpstreamConnection>& connection) override;
  void on_unexpected_bytes(const UpstreamConnection& connection, std::size_t bytes) override;
  ConnectionId on_reconnect(const UpstreamConnection& connection, HostCloseReason reason) override;
  void on_connected(const UpstreamConnection& connection) override;
  void on_connection_closed(const UpstreamConnection& connection, HostCloseReason reason) override;

  // Whether the connection leads to the address of a host that is known by its id.
  bool is_current(const UpstreamConnection& connection) const;
  // The id of the connection's host; kNone if the connection is not current.
  load_balancer::HostId current_id_of(const UpstreamConnection& connection) const;
  void report_closed(const UpstreamConnection& connection, HostCloseReason reason);
  template <class Predicate>
  void fail_unsent_where(Predicate predicate);
  void report_connect_failure(AttemptKey key, load_balancer::HostId host);
  // An idle connection that has kept its quiet period: the most recently used of them.
  std::shared_ptr<UpstreamConnection> take_quiet(Host& host);
  // The idle connection whose quiet period ends next, if waiting for it is
  // better than a new connection.
  std::shared_ptr<UpstreamConnection> take_next_quiet(Host& host);
  std::shared_ptr<UpstreamConnection> take_usable(Host& host, std::size_t position);
  bool close_oldest_idle();
  /// Closes an idle connection that has received the input.
  void close_after_input(UpstreamConnection& connection, const UpstreamConnection::Input& input);
  bool has_expired(const UpstreamConnection& connection) const;
  // Closes the oldest idle connections of a distrusted host.
  static void limit_observed(Host& host);
  void sweep();

  boost::asio::io_context& io_;
  Limits limits_;
  OnCompletion on_completion_;
  UpstreamObserver& observer_;
  std::unordered_map<load_balancer::HostId, Host> hosts_;
  std::unordered_map<AttemptKey, std::shared_ptr<UpstreamConnection>, KeyHash> active_;
  // Connections whose attempts are completed and whose responses are still streamed.
  std::unordered_set<std::shared_ptr<UpstreamConnection>> streaming_;
  std::shared_ptr<MemoryBudget> memory_budget_;
  runtime::WorkMonitor* work_monitor_;
  std::array<char, kReadChunk> read_buffer_{};
  std::size_t open_connections_ = 0;
  ConnectionId last_connection_id_ = 0;
  std::uint64_t last_registration_ = 0;
  // Expires with this object: a handler that is queued by then has no error and must not run.
  std::shared_ptr<const bool> lifetime_ = std::make_shared<const bool>(true);
  boost::asio::steady_timer sweep_timer_;
};

}  // namespace gateway::http
