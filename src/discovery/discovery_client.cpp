#include "discovery/discovery_client.hpp"

#include <memory>
#include <string>
#include <utility>

namespace gateway::discovery {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr const char* kPath = "/discovery/hosts";
/// How long discovery may delay the response to the first request of a watch. Practically not at
/// all: the response informs the load balancer immediately that the watch is running.
constexpr std::chrono::milliseconds kWatchStartWait{1};

void cancel_and_reset(DiscoveryCall::Pointer& call) {
  if (const DiscoveryCall::Pointer cancelled = std::exchange(call, nullptr)) {
    cancelled->cancel();
  }
}

}  // namespace

DiscoveryClient::DiscoveryClient(asio::io_context& io, runtime::Clock& clock, tcp::endpoint server,
                                 Callbacks callbacks, Timeouts timeouts)
    : io_(io),
      clock_(clock),
      server_(std::move(server)),
      callbacks_(std::move(callbacks)),
      timeouts_(timeouts) {}

DiscoveryClient::~DiscoveryClient() {
  stop();
}

void DiscoveryClient::ServerCalls::cancel() {
  cancel_and_reset(active);
  cancel_and_reset(overdue);
}

void DiscoveryClient::stop() {
  current_calls_.cancel();
  new_server_calls_.cancel();
}

// A call within its timeout is not replaced. If it were, no call would ever get a response while
// discovery responds more slowly than the poll interval of the load balancer's settings.
void DiscoveryClient::watch() {
  const ServerCalls& calls = new_server_ ? new_server_calls_ : current_calls_;
  if (calls.active) {
    return;
  }
  if (new_server_) {
    return request_from_new_server();
  }
  start_watch();
}

void DiscoveryClient::switch_server(const tcp::endpoint& server) {
  if (server == (new_server_ ? *new_server_ : server_)) {
    return;
  }
  new_server_calls_.cancel();
  new_server_ = server;
  request_from_new_server();
}

void DiscoveryClient::start_watch() {
  request_from_current_server(version_ ? RequestKind::watch_start : RequestKind::full_list);
}

void DiscoveryClient::request_from_current_server(RequestKind kind) {
  start_call(current_calls_.active, server_, kind,
             kind == RequestKind::long_poll ? timeouts_.long_poll_wait : kWatchStartWait);
}

void DiscoveryClient::request_from_new_server() {
  cancel_and_reset(new_server_calls_.active);
  start_call(new_server_calls_.active, *new_server_, RequestKind::full_list,
             std::chrono::milliseconds(0));
}

void DiscoveryClient::start_call(CallPointer& call, const tcp::endpoint& server, RequestKind kind,
                                 std::chrono::milliseconds wait) {
  if (!call || !call->is_connected()) {
    DiscoveryCall::Observer& observer = *this;
    call = std::make_shared<DiscoveryCall>(io_, clock_, server, observer);
  }
  std::string target = kPath;
  if (kind != RequestKind::full_list) {
    target += "?since=" + std::to_string(*version_) + "&timeout_ms=" + std::to_string(wait.count());
  }
  const auto timeout =
      kind == RequestKind::long_poll ? wait + timeouts_.long_poll_margin : timeouts_.call_timeout;
  call->start({kind, std::move(target), epoch_, timeout});
}

bool DiscoveryClient::on_call_overdue(const CallPointer& call) {
  const bool to_new_server = call == new_server_calls_.active;
  if (!to_new_server && (call != current_calls_.active || new_server_)) {
    return false;  // overdue for the second time, or a switch to another server is in progress
  }
  ServerCalls& calls = to_new_server ? new_server_calls_ : current_calls_;
  cancel_and_reset(calls.overdue);
  calls.overdue = std::exchange(calls.active, nullptr);
  call->set_timeout(timeouts_.overdue_timeout);
  // Two overdue calls in a row: the server is down. The load balancer schedules the next watch.
  if (call->is_retry()) {
    callbacks_.on_failure();
    return true;
  }
  if (to_new_server) {
    request_from_new_server();
  } else {
    start_watch();
  }
  calls.active->mark_as_retry();
  return true;
}

void DiscoveryClient::on_call_finished(const CallPointer& call,
                                       const std::optional<EndpointList>& list) {
  if (call == new_server_calls_.active || call == new_server_calls_.overdue) {
    return on_new_server_finished(call, list);
  }
  if (call == current_calls_.overdue) {
    return on_overdue_finished(call, list);
  }
  const RequestKind kind = call->kind();
  if (new_server_ && (!list || (!list->full && list->version < version_.value_or(0)))) {
    // Not reported as a failure: fail_watch() would cancel the call to the new server.
    current_calls_.active.reset();
    call->cancel();
    return;
  }
  if (!list) {
    return fail_watch();
  }
  // An older version on a kept connection may be a response that was written for an earlier call. A
  // new connection tells: its first response can't be.
  if (version_ && list->version < *version_ && !call->is_first_on_connection()) {
    return restart_on_new_connection();
  }
  // A lower version means that discovery was restarted and its version numbers start again. A delta
  // to a list that the gateway does not have is discarded: hosts that were removed before it would
  // stay in the gateway's list permanently.
  const bool versions_restarted = version_ && list->version < *version_;
  if (versions_restarted) {
    ++epoch_;
  }
  if (!list->full && (kind == RequestKind::full_list || versions_restarted)) {
    version_.reset();
    return fail_watch();
  }
  version_ = list->version;
  request_from_current_server(RequestKind::long_poll);
  callbacks_.on_endpoint_update(*list);
}

// The parallel call may already have returned a newer list. A list of an earlier epoch, or a delta
// to a list that the gateway does not have, cannot be applied.
void DiscoveryClient::on_overdue_finished(const CallPointer& call,
                                          const std::optional<EndpointList>& list) {
  current_calls_.overdue.reset();
  call->cancel();
  if (!list || call->epoch() != epoch_) {
    return;
  }
  const bool applicable = version_ ? list->version > *version_ : list->full;
  if (!applicable) {
    return;
  }
  version_ = list->version;
  callbacks_.on_endpoint_update(*list);
}

// The known endpoints and the watch on the previous server stay in use until the new server has
// sent a full list.
void DiscoveryClient::on_new_server_finished(const CallPointer& call,
                                             const std::optional<EndpointList>& list) {
  const bool was_overdue = call == new_server_calls_.overdue;
  (was_overdue ? new_server_calls_.overdue : new_server_calls_.active).reset();
  if (list && list->full) {
    return adopt_new_server(call, *list);
  }
  call->cancel();
  if (was_overdue) {
    return;
  }
  if (call->is_retry()) {
    return callbacks_.on_failure();
  }
  // The new server's list must be in force 4 s after the switch. This leaves no time for the load
  // balancer's backoff, so the first failed call is repeated immediately.
  request_from_new_server();
  new_server_calls_.active->mark_as_retry();
}

void DiscoveryClient::adopt_new_server(const CallPointer& call, const EndpointList& list) {
  current_calls_.cancel();
  new_server_calls_.cancel();
  current_calls_.active = call;
  server_ = *new_server_;
  new_server_.reset();
  version_ = list.version;
  ++epoch_;  // each server has its own version numbers
  request_from_current_server(RequestKind::long_poll);
  callbacks_.on_endpoint_update(list);
}

void DiscoveryClient::restart_on_new_connection() {
  cancel_and_reset(current_calls_.active);
  request_from_current_server(RequestKind::full_list);
}

void DiscoveryClient::fail_watch() {
  cancel_and_reset(current_calls_.active);
  cancel_and_reset(new_server_calls_.active);
  callbacks_.on_failure();
}

}  // namespace gateway::discovery
