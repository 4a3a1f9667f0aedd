/// @file
/// A gateway process without its command line, signals and operators' calls: reports the events of
/// the sockets to the Balancer and executes the Balancer's actions.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "config/config.hpp"
#include "discovery/discovery_client.hpp"
#include "event_log/event_log.hpp"
#include "gateway/event_recorder.hpp"
#include "gateway/fleet_hooks.hpp"
#include "gateway/proxied_request.hpp"
#include "gateway/request_id_table.hpp"
#include "gateway/request_mapping.hpp"
#include "gateway/resource_limits.hpp"
#include "gateway/resource_monitor.hpp"
#include "gateway/shutdown_schedule.hpp"
#include "http/client_listener.hpp"
#include "http/upstream_pool.hpp"
#include "load_balancer/load_balancer.hpp"
#include "runtime/clock.hpp"
#include "runtime/work_monitor.hpp"

namespace gateway {

/// The balancer gets this much less time than the client's timeout: a response takes time to reach
/// the client, and more on a busy machine.
inline constexpr std::chrono::milliseconds kResponseMargin{10};
/// A process that starts beside a serving sibling accepts clients once discovery has sent an
/// endpoint list. With restored hosts it accepts them after this time at the latest.
inline constexpr std::chrono::milliseconds kEndpointListTimeout{1500};

/// Used on the event loop's thread only; callbacks run on it too. The io_context must outlive the
/// gateway.
class Gateway {
 public:
  /// Limits, time limits and the clock; the program uses the defaults, tests change them.
  struct Overrides {
    http::ClientListener::Limits clients;
    discovery::DiscoveryClient::Timeouts discovery;
    /// Used by the balancer, discovery, stop() and kEndpointListTimeout. Null: the system's clock.
    std::shared_ptr<runtime::Clock> clock;
    /// Shared by the processes of this gateway; empty: they share nothing.
    std::string state_directory;
  };

  /// Listens and polls discovery at once. `log` must outlive the gateway. Throws
  /// boost::system::system_error if it can't listen, std::invalid_argument if the passed descriptor
  /// is no listening socket or a setting of the balancer is invalid.
  Gateway(boost::asio::io_context& io, const config::Config& config, const Overrides& overrides,
          event_log::EventLog& log);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Address of the clients' listening socket.
  boost::asio::ip::tcp::endpoint local_endpoint() const {
    return client_listener_.local_endpoint();
  }
  /// Whether new clients should use this process: the result of GET /up.
  bool is_available() const {
    return ready_ && !stopping_ && !drained_ && client_listener_.accepting();
  }
  /// Sets whether another process of the same gateway runs: the two then share the limits of one.
  void set_has_sibling(bool has_sibling);
  /// Another process of the same gateway runs, or may run, as the listening socket was passed.
  bool may_have_sibling() const { return role_ == ProcessRole::one_of_two || socket_is_shared_; }
  /// Begins or ends the maintenance of a host by an operator. `uid` is the host's id in discovery.
  void set_maintenance(const std::string& uid, bool enabled);
  using FleetHooks = gateway::FleetHooks;
  /// Called at most once, before the event loop runs.
  void join_fleet(FleetHooks hooks);
  /// Called when the result of FleetHooks::retries_allowed may have changed.
  void update_retry_allowance();
  /// Begins or ends the maintenance of a host by the fleet, when it ejects a host or returns it. A
  /// host is in maintenance as long as an operator, the fleet or both have put it there.
  void set_maintenance_by_fleet(const std::string& uid, bool enabled);
  /// Sets the callback for each host in an endpoint list. It is called at once for the hosts that
  /// have been listed so far.
  void on_endpoint_listed(std::function<void(const std::string& uid)> callback);
  /// While drained, requests are still served, but each connection is closed after its response or
  /// once it is idle, and GET /up responds with 503. From kTakeNoRequestsAtDrain on, requests
  /// that are incomplete are rejected.
  void set_drained(bool drained);
  /// Applies the discovery server and the limits of a new configuration. Active requests continue.
  void reload(const config::Config& config);
  /// Requests without a response or with attempts in flight.
  std::size_t active_requests() const { return requests_.size(); }
  /// Number of hosts that discovery lists or that have active requests.
  std::size_t hosts() const { return upstream_pool_.hosts(); }
  /// Number of connections to clients and hosts.
  std::size_t connections() const {
    return client_listener_.connections() + upstream_pool_.connections();
  }
  /// Memory, connections and delays of the event loop as JSON, for operators.
  std::string resources_json() const;
  /// Begins a graceful shutdown: finishes active requests within the times of ShutdownSchedule,
  /// closes all connections, then calls `done`. Can't be undone; further calls have no effect.
  void stop(std::function<void()> done);

 private:
  load_balancer::Time now() const;
  load_balancer::Endpoint to_endpoint(const discovery::ListedEndpoint& listed) const;
  load_balancer::Time balancer_time(std::int64_t unix_ms) const;

  void on_request(http::ClientRequest request);
  struct ClaimedId {
    std::string request_id;
    bool is_claimed = false;  // in used_request_ids_
  };
  void forward(http::ClientRequest request, load_balancer::Request balancer_request, ClaimedId id);
  void on_body_complete(http::ExchangeId exchange, std::chrono::nanoseconds waited);
  void on_client_disconnected(http::ExchangeId exchange);
  void on_endpoint_update(const discovery::EndpointList& list,
                          load_balancer::EndpointUpdateKind kind);
  void become_ready();
  void update_upstream_hosts(const discovery::EndpointList& list,
                             load_balancer::EndpointUpdateKind kind);
  void notify_endpoints_listed(const discovery::EndpointList& list);
  void apply_maintenance(const std::string& uid, bool enabled);
  void report_attempt_to_fleet(const http::AttemptCompletion& completion);
  void report_endpoints_to_fleet(const discovery::EndpointList& list,
                                 load_balancer::EndpointUpdateKind kind);
  bool claim_id(const std::string& request_id, const load_balancer::Request& request,
                bool& has_claimed);
  void release_id(const ProxiedRequest& request);
  void forget_finished_requests();
  void apply_limits();
  void take_no_requests_after(std::chrono::milliseconds delay);
  nlohmann::ordered_json memory_holders() const;

  void execute_actions();
  void execute(const load_balancer::Action& action);
  void send(const load_balancer::SendAttempt& action);
  void reject(const load_balancer::RejectRequest& rejection);
  void fail(const load_balancer::FailRequest& failure);
  void end_without_response(load_balancer::RequestId id, http::HttpResponse response);
  void on_attempt_finished(http::AttemptCompletion completion);
  void respond(ProxiedRequest& request, http::HttpResponse response,
               std::shared_ptr<http::BodyStream> stream = nullptr);
  void cancel_unsent(load_balancer::RequestId id);
  void schedule_wakeup(load_balancer::Time at);
  void arm_wakeup(load_balancer::Time at);

  std::shared_ptr<runtime::Clock> clock_;
  std::chrono::steady_clock::time_point start_;
  std::chrono::system_clock::time_point unix_start_;
  load_balancer::Settings settings_;
  config::Config config_;  // the latest one; its limits and known hosts are in use
  Overrides overrides_;
  RequestMapper request_mapper_;
  event_log::EventLog& log_;
  load_balancer::Balancer balancer_;
  EventRecorder events_;
  runtime::WorkMonitor work_monitor_;
  std::shared_ptr<http::MemoryBudget> memory_budget_ = std::make_shared<http::MemoryBudget>();
  http::UpstreamPool upstream_pool_;
  discovery::DiscoveryClient discovery_;
  std::unordered_map<load_balancer::RequestId, ProxiedRequest> requests_;
  // Requests without a response.
  std::unordered_map<http::ExchangeId, load_balancer::RequestId> request_by_exchange_;
  std::unordered_set<std::string> active_request_ids_;  // X-Request-Id of requests_
  // Of requests that must not run twice: the active ones, and those that may have run.
  RequestIdTable used_request_ids_;
  load_balancer::Duration id_retention_{};
  // Requests that may be finished; checked once all pending actions are executed.
  std::vector<load_balancer::RequestId> removal_candidates_;
  std::deque<http::AttemptCompletion> pending_completions_;  // not yet reported to the balancer
  std::unique_ptr<runtime::Timer> wakeup_timer_;
  load_balancer::Time requested_wakeup_{};           // the last one that the balancer asked for
  std::optional<load_balancer::Time> armed_wakeup_;  // of wakeup_timer_
  std::unique_ptr<runtime::Timer> stop_timer_;
  std::unique_ptr<runtime::Timer> take_no_requests_timer_;
  std::unique_ptr<runtime::Timer> ready_timer_;
  load_balancer::RequestId last_request_id_ = 0;
  std::function<void()> on_stopped_;
  std::function<void(const std::string&)> on_endpoint_listed_;
  std::unordered_set<std::string> uids_before_callback_;  // until on_endpoint_listed_ is set
  std::optional<FleetHooks> fleet_hooks_;
  std::uint64_t retry_allowance_ = UINT64_MAX;   // retries that the balancer may still send
  std::unordered_set<std::string> listed_uids_;  // only with a fleet
  std::unordered_set<std::string> maintenance_by_operator_;
  std::unordered_set<std::string> maintenance_by_fleet_;
  bool executing_ = false;
  bool ready_ = false;
  bool stopping_ = false;
  bool drained_ = false;
  ProcessRole role_ = ProcessRole::sole;
  bool socket_is_shared_ = false;         // with a sibling
  http::ClientListener client_listener_;  // its callbacks use the members before it
  ResourceMonitor resource_monitor_;
};

}  // namespace gateway
