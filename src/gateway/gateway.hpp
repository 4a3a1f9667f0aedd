// One gateway: reports the events of its sockets to the Balancer and executes its decisions. All
// functions run on the event loop's thread.
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
#include "gateway/fleet_hooks.hpp"
#include "gateway/proxied_request.hpp"
#include "gateway/request_mapping.hpp"
#include "gateway/resource_limits.hpp"
#include "http/client_listener.hpp"
#include "http/upstream_pool.hpp"
#include "load_balancer/load_balancer.hpp"
#include "runtime/clock.hpp"

namespace gateway {

// The response is sent this long before the client's timeout, for its transfer and for a busy
// machine.
inline constexpr std::chrono::milliseconds kResponseMargin{10};
// New connections are accepted for this long after stop(): clients learn of it late.
inline constexpr std::chrono::milliseconds kStopAcceptingDelay{700};
// A process that starts beside one that serves already accepts clients once discovery has answered,
// or after this.
inline constexpr std::chrono::milliseconds kEndpointListTimeout{1500};

class Gateway {
 public:
  // Limits and time limits that only tests change.
  struct Overrides {
    http::ClientListener::Limits clients;
    discovery::DiscoveryClient::Waits discovery;
    // Of the balancer, of discovery and of stop(); null: the system's.
    std::shared_ptr<runtime::Clock> clock;
  };

  // Listens and polls discovery at once. Throws boost::system::system_error if it can't listen, or
  // std::invalid_argument if the passed descriptor is no listening socket.
  Gateway(boost::asio::io_context& io, const config::Config& config, const Overrides& overrides,
          std::function<void(std::string)> log);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  boost::asio::ip::tcp::endpoint local_endpoint() const { return clients_.local_endpoint(); }
  bool is_available() const { return ready_ && !stopping_ && !drained_ && clients_.accepting(); }
  // Another process of the same gateway runs: the two share the limits of one.
  void set_has_sibling(bool has_sibling);
  // An operator begins or ends the maintenance of a host. `uid` is its id in discovery.
  void set_maintenance(const std::string& uid, bool enabled);
  using FleetHooks = gateway::FleetHooks;
  // Called once at most, before the event loop runs.
  void join_fleet(FleetHooks hooks);
  // The result of FleetHooks::retries_allowed may have changed.
  void update_retry_allowance();
  // The same for a decision of the fleet. A host is in maintenance while the operator or the fleet
  // says so.
  void set_maintenance_by_fleet(const std::string& uid, bool enabled);
  // Sets the callback for each host in an endpoint list. It is called at once for the hosts that
  // were listed already.
  void on_endpoint_listed(std::function<void(const std::string& uid)> callback);
  // While drained, requests are still served, but connections are closed and /up answers 503.
  void set_drained(bool drained);
  // Applies the discovery server and the limits of a new configuration. Active requests continue.
  void reload(const config::Config& config);
  std::size_t active_requests() const { return requests_.size(); }
  std::size_t hosts() const { return hosts_.hosts(); }
  std::size_t connections() const { return clients_.connections() + hosts_.connections(); }
  // Graceful shutdown: finishes active requests, closes all connections, then calls `done`. Can't
  // be undone.
  void stop(std::function<void()> done);

 private:
  load_balancer::Time now() const;
  load_balancer::Endpoint to_endpoint(const discovery::ListedEndpoint& listed) const;
  load_balancer::Time balancer_time(std::int64_t unix_ms) const;

  void on_request(http::ClientRequest request);
  void on_body_complete(http::ExchangeId exchange);
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
  void forget_finished_requests();
  void apply_limits();

  void execute_actions();
  void execute(const load_balancer::Action& action);
  void send(const load_balancer::SendAttempt& action);
  void reject(const load_balancer::RejectRequest& rejection);
  void fail(const load_balancer::FailRequest& failure);
  void reject_or_fail(load_balancer::RequestId id, http::HttpResponse response);
  void on_attempt_finished(http::AttemptCompletion completion);
  void answer(ProxiedRequest& request, http::HttpResponse response,
              std::shared_ptr<http::BodyStream> stream = nullptr);
  void cancel_unsent(load_balancer::RequestId id);
  void wake_at(load_balancer::Time at);

  std::shared_ptr<runtime::Clock> clock_;
  std::chrono::steady_clock::time_point start_;
  std::chrono::system_clock::time_point unix_start_;
  load_balancer::Settings settings_;
  config::Config config_;  // the latest, for the limits
  Overrides overrides_;
  RequestMapper request_mapper_;
  std::function<void(std::string)> log_;
  load_balancer::Balancer balancer_;
  std::shared_ptr<http::BufferBudget> buffers_ = std::make_shared<http::BufferBudget>();
  http::UpstreamPool hosts_;
  discovery::DiscoveryClient discovery_;
  std::unordered_map<load_balancer::RequestId, ProxiedRequest> requests_;
  std::unordered_map<http::ExchangeId, load_balancer::RequestId> by_client_;
  std::unordered_set<std::string> active_request_ids_;  // of requests_
  std::vector<load_balancer::RequestId> over_;  // may be removed once the actions are executed
  std::deque<http::AttemptCompletion> ends_;    // not yet reported to the balancer
  std::unique_ptr<runtime::Timer> wakeup_timer_;
  std::unique_ptr<runtime::Timer> stop_timer_;
  std::unique_ptr<runtime::Timer> ready_timer_;
  load_balancer::RequestId last_request_ = 0;
  std::function<void()> on_stopped_;
  std::function<void(const std::string&)> on_endpoint_listed_;
  std::unordered_set<std::string> uids_before_callback_;  // until on_endpoint_listed_ is set
  std::optional<FleetHooks> fleet_;
  std::uint64_t allowed_ = UINT64_MAX;           // retries, as the balancer knows
  std::unordered_set<std::string> listed_uids_;  // only with a fleet
  std::unordered_set<std::string> maintenance_by_operator_;
  std::unordered_set<std::string> maintenance_by_fleet_;
  bool executing_ = false;
  bool ready_ = false;
  bool stopping_ = false;
  bool drained_ = false;
  ProcessRole role_ = ProcessRole::sole;
  bool socket_is_shared_ = false;  // with another process
  http::ClientListener clients_;   // last, as it may deliver requests once it is constructed
};

}  // namespace gateway
