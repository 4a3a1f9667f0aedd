/// @file
/// Logs and counts what happens to requests, attempts, connections and hosts, in the terms of
/// docs/on-call.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "discovery/endpoint_list.hpp"
#include "event_log/event_log.hpp"
#include "gateway/proxied_request.hpp"
#include "http/client_session.hpp"
#include "http/upstream_connection.hpp"
#include "http/upstream_observer.hpp"
#include "load_balancer/load_balancer.hpp"
#include "runtime/work_monitor.hpp"

namespace gateway {

/// Used on the event loop's thread only. The log and the balancer must outlive it.
class EventRecorder : public http::UpstreamObserver {
 public:
  EventRecorder(event_log::EventLog& log, const load_balancer::Balancer& balancer)
      : log_(log), balancer_(balancer) {}

  /// `waited`: since the request's last byte arrived.
  void on_request(const ProxiedRequest& request, const std::string& request_class,
                  load_balancer::Duration waited);
  /// The last byte of a body that was streamed has arrived.
  void on_request_body_received(const ProxiedRequest& request, load_balancer::Duration waited);
  /// The gateway answers a request by itself, without the balancer.
  void on_request_answered(std::string_view reason, unsigned status);
  void on_attempt_sent(const ProxiedRequest& request, const load_balancer::SendAttempt& attempt);
  void on_attempt_finished(const ProxiedRequest& request,
                           const http::AttemptCompletion& completion);
  void on_rejected(const ProxiedRequest& request, load_balancer::EndReason reason);
  void on_failed(const ProxiedRequest& request, load_balancer::EndReason reason);
  void on_client_disconnected(const ProxiedRequest& request);
  void on_client_connection_closed(const http::ClientConnectionClosed& event);
  void on_shutdown_started(std::size_t active_requests);
  void on_endpoint_list(const discovery::EndpointList& list,
                        load_balancer::EndpointUpdateKind kind);
  void on_discovery_failed();
  /// The table of used ids was full.
  void on_request_id_forgotten();
  void on_long_work(const runtime::WorkMonitor::Work& work);

  void on_connection_opened(const http::ConnectionOpened& event) override;
  void on_connection_closed(const http::ConnectionClosed& event) override;
  void on_unexpected_bytes(const http::UnexpectedBytes& event) override;
  void on_host_distrusted(load_balancer::HostId host) override;

 private:
  void record_late_read(const ProxiedRequest& request, load_balancer::Duration waited);
  std::string_view host_name(load_balancer::HostId host) const;
  void record_host_state(const std::string& uid, discovery::ListedEndpointState state,
                         std::int64_t version);

  event_log::EventLog& log_;
  const load_balancer::Balancer& balancer_;
  std::unordered_map<std::string, discovery::ListedEndpointState> host_states_;
};

}  // namespace gateway
