#include "gateway/event_recorder.hpp"

#include <chrono>
#include <unordered_set>

namespace gateway {
namespace {

using event_log::EventKind;
using event_log::Frequency;
using load_balancer::AttemptOutcome;
using load_balancer::Duration;
using load_balancer::EndReason;

// Between the arrival of a request's last byte and its handling.
constexpr std::chrono::milliseconds kLateRead{100};

std::int64_t milliseconds_of(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// ADDRESS:PORT
std::string text_of(const boost::asio::ip::tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

std::string_view name_of(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::success:
      return "success";
    case AttemptOutcome::server_error:
      return "server_error";
    case AttemptOutcome::rejected_by_host:
      return "rejected_by_host";
    case AttemptOutcome::timeout:
      return "timeout";
    case AttemptOutcome::connect_failed:
      return "connect_failed";
    case AttemptOutcome::reset:
      return "reset";
    case AttemptOutcome::cancelled:
      return "cancelled";
    case AttemptOutcome::not_sent:
      return "not_sent";
    case AttemptOutcome::bad_request:
      return "bad_request";
  }
  return "unknown";
}

std::string_view name_of(EndReason reason) {
  switch (reason) {
    case EndReason::below_threshold:
      return "below_threshold";
    case EndReason::no_attempt_possible:
      return "no_attempt_possible";
    case EndReason::attempts_exhausted:
      return "attempts_exhausted";
    case EndReason::key_queue_too_long:
      return "key_queue_too_long";
    case EndReason::deadline:
      return "deadline";
    case EndReason::invalid_request:
      return "invalid_request";
  }
  return "unknown";
}

std::string_view name_of(discovery::ListedEndpointState state) {
  switch (state) {
    case discovery::ListedEndpointState::serving:
      return "serving";
    case discovery::ListedEndpointState::draining:
      return "draining";
    case discovery::ListedEndpointState::removed:
      return "removed";
  }
  return "unknown";
}

std::string_view name_of(load_balancer::EndpointUpdateKind kind) {
  switch (kind) {
    case load_balancer::EndpointUpdateKind::delta:
      return "delta";
    case load_balancer::EndpointUpdateKind::snapshot:
      return "snapshot";
    case load_balancer::EndpointUpdateKind::restored:
      return "restored";
    case load_balancer::EndpointUpdateKind::unavailable:
      return "unavailable";
  }
  return "unknown";
}

}  // namespace

std::string_view EventRecorder::host_name(load_balancer::HostId host) const {
  return host == load_balancer::kNone ? std::string_view("none") : balancer_.address(host);
}

void EventRecorder::on_request(const ProxiedRequest& request, const std::string& request_class,
                               Duration waited) {
  log_.record(EventKind::request_received, Frequency::per_request, "accepted",
              {{"request", request.request_id},
               {"class", request_class},
               {"client_connection", static_cast<std::int64_t>(request.client_connection)},
               {"body_pending", std::int64_t{request.body != nullptr}}});
  if (!request.body) {
    record_late_read(request, waited);
  }
}

void EventRecorder::on_request_body_received(const ProxiedRequest& request, Duration waited) {
  log_.record(EventKind::request_body_received, Frequency::per_request, "complete",
              {{"request", request.request_id}});
  record_late_read(request, waited);
}

void EventRecorder::record_late_read(const ProxiedRequest& request, Duration waited) {
  if (waited >= kLateRead) {
    log_.record(EventKind::request_read_late, Frequency::rare, "waited",
                {{"request", request.request_id},
                 {"client_connection", static_cast<std::int64_t>(request.client_connection)},
                 {"waited_ms", milliseconds_of(waited)}});
  }
}

void EventRecorder::on_shutdown_started(std::size_t active_requests) {
  log_.record(EventKind::shutdown_started, Frequency::rare, "requested",
              {{"active_requests", static_cast<std::int64_t>(active_requests)}});
}

void EventRecorder::on_request_id_forgotten() {
  log_.record(EventKind::request_id_forgotten, Frequency::rare, "table_full", {});
}

void EventRecorder::on_long_work(const runtime::WorkMonitor::Work& work) {
  log_.record(EventKind::event_loop_delayed, Frequency::rare, work.name,
              {{"delay_ms", milliseconds_of(work.time)}});
}

void EventRecorder::on_request_answered(std::string_view reason, unsigned status) {
  log_.record(EventKind::request_invalid, Frequency::per_request, reason,
              {{"status", std::int64_t{status}}});
}

void EventRecorder::on_attempt_sent(const ProxiedRequest& request,
                                    const load_balancer::SendAttempt& attempt) {
  EventKind kind = EventKind::attempt_sent;
  Frequency frequency = Frequency::per_request;
  std::string_view reason = "first";
  if (attempt.attempt > 0) {
    const bool is_hedge = request.attempts_in_flight > 1;
    kind = is_hedge ? EventKind::attempt_hedged : EventKind::attempt_retried;
    frequency = Frequency::rare;
    reason = is_hedge ? "slow_host" : name_of(request.last_outcome);
  }
  log_.record(kind, frequency, reason,
              {{"request", request.request_id},
               {"attempt", std::int64_t{attempt.attempt}},
               {"host", host_name(attempt.host)},
               {"timeout_ms", milliseconds_of(attempt.timeout)}});
}

void EventRecorder::on_attempt_finished(const ProxiedRequest& request,
                                        const http::AttemptCompletion& completion) {
  const bool is_success = completion.outcome == AttemptOutcome::success;
  const bool is_rare = !is_success && completion.outcome != AttemptOutcome::rejected_by_host &&
                       completion.outcome != AttemptOutcome::cancelled;
  log_.record(is_success ? EventKind::attempt_succeeded : EventKind::attempt_failed,
              is_rare ? Frequency::rare : Frequency::per_request, name_of(completion.outcome),
              {{"request", request.request_id},
               {"attempt", std::int64_t{completion.key.attempt}},
               {"host", host_name(completion.host)},
               {"connection", static_cast<std::int64_t>(completion.connection)},
               {"elapsed_ms", milliseconds_of(completion.elapsed)},
               {"response_head", std::int64_t{completion.received.has_head}},
               {"body_bytes", static_cast<std::int64_t>(completion.received.body_bytes)}});
}

void EventRecorder::on_rejected(const ProxiedRequest& request, EndReason reason) {
  log_.record(
      EventKind::request_rejected, Frequency::per_request, name_of(reason),
      {{"request", request.request_id}, {"attempts", std::int64_t{request.attempts_ordered}}});
}

void EventRecorder::on_failed(const ProxiedRequest& request, EndReason reason) {
  log_.record(
      EventKind::request_failed, Frequency::rare, name_of(reason),
      {{"request", request.request_id}, {"attempts", std::int64_t{request.attempts_ordered}}});
}

void EventRecorder::on_client_disconnected(const ProxiedRequest& request) {
  log_.record(
      EventKind::client_disconnected, Frequency::per_request, "before_response",
      {{"request", request.request_id}, {"attempts", std::int64_t{request.attempts_ordered}}});
}

void EventRecorder::on_client_connection_closed(const http::ClientConnectionClosed& event) {
  const bool is_expected = event.reason == http::ClientCloseReason::client_closed ||
                           event.reason == http::ClientCloseReason::idle ||
                           event.reason == http::ClientCloseReason::after_response;
  log_.record(EventKind::client_connection_closed,
              is_expected ? Frequency::per_request : Frequency::rare, http::name_of(event.reason),
              {{"client_connection", static_cast<std::int64_t>(event.connection)},
               {"unanswered", std::int64_t{event.unanswered}}});
}

void EventRecorder::on_endpoint_list(const discovery::EndpointList& list,
                                     load_balancer::EndpointUpdateKind kind) {
  const bool is_unchanged = kind == load_balancer::EndpointUpdateKind::delta && list.hosts.empty();
  log_.record(EventKind::endpoint_list_received,
              is_unchanged ? Frequency::per_request : Frequency::rare, name_of(kind),
              {{"version", list.version}, {"hosts", static_cast<std::int64_t>(list.hosts.size())}});
  std::unordered_set<std::string_view> listed;
  for (const discovery::ListedEndpoint& host : list.hosts) {
    listed.insert(host.uid);
    record_host_state(host.uid, host.state, list.version);
  }
  if (kind == load_balancer::EndpointUpdateKind::delta) {
    return;
  }
  for (auto& [uid, state] : host_states_) {
    if (!listed.count(uid)) {
      record_host_state(uid, discovery::ListedEndpointState::removed, list.version);
    }
  }
  std::erase_if(host_states_, [](const auto& entry) {
    return entry.second == discovery::ListedEndpointState::removed;
  });
}

// The hosts of the first list are its state and no change.
void EventRecorder::record_host_state(const std::string& uid, discovery::ListedEndpointState state,
                                      std::int64_t version) {
  const auto [entry, is_new] = host_states_.try_emplace(uid, state);
  const bool is_change =
      is_new ? state != discovery::ListedEndpointState::serving : entry->second != state;
  if (!is_change) {
    return;
  }
  entry->second = state;
  log_.record(EventKind::host_state_changed, Frequency::rare, name_of(state),
              {{"host", uid}, {"version", version}});
}

void EventRecorder::on_discovery_failed() {
  log_.record(EventKind::discovery_failed, Frequency::rare, "no_list", {});
}

void EventRecorder::on_connection_opened(const http::ConnectionOpened& event) {
  log_.record(EventKind::host_connection_opened, Frequency::per_request, "connected",
              {{"host", host_name(event.host)},
               {"address", text_of(event.endpoint)},
               {"connection", static_cast<std::int64_t>(event.connection)}});
}

void EventRecorder::on_connection_closed(const http::ConnectionClosed& event) {
  const bool is_rare = event.reason == http::HostCloseReason::unexpected_bytes;
  log_.record(EventKind::host_connection_closed, is_rare ? Frequency::rare : Frequency::per_request,
              http::name_of(event.reason),
              {{"host", host_name(event.host)},
               {"address", text_of(event.endpoint)},
               {"connection", static_cast<std::int64_t>(event.connection)},
               {"responses", static_cast<std::int64_t>(event.responses)}});
}

void EventRecorder::on_unexpected_bytes(const http::UnexpectedBytes& event) {
  log_.record(EventKind::unexpected_bytes, Frequency::rare,
              event.responses == 0 ? "before_any_request" : "after_response",
              {{"host", host_name(event.host)},
               {"connection", static_cast<std::int64_t>(event.connection)},
               {"bytes", static_cast<std::int64_t>(event.bytes)},
               {"silence_ms", milliseconds_of(event.silence)},
               {"responses", static_cast<std::int64_t>(event.responses)}});
}

void EventRecorder::on_host_distrusted(load_balancer::HostId host) {
  log_.record(EventKind::host_distrusted, Frequency::rare, "late_bytes",
              {{"host", host_name(host)}});
}

}  // namespace gateway
