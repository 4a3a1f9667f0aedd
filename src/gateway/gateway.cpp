#include "gateway/gateway.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "http/connection_reuse.hpp"

namespace gateway {
namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using load_balancer::Action;
using load_balancer::AttemptOutcome;
using load_balancer::Duration;
using load_balancer::EndpointState;
using load_balancer::EndpointUpdateKind;
using load_balancer::HostId;
using load_balancer::RequestId;
using load_balancer::Time;

// Reading of the balancer's clock when this process starts. The balancer's times are never
// negative, so the offset represents hosts that started up to 24 h earlier.
constexpr Time kClockStart = std::chrono::hours(24);
// Fraction of the balancer's budgets for each process while two serve as one gateway.
constexpr double kBudgetFractionWithSibling = 0.5;

load_balancer::Settings with_quiet_period(load_balancer::Settings settings) {
  settings.connection_quiet_period = http::kQuietPeriod;
  return settings;
}

// What a host that takes long, or a client that has left, may still do with an id.
constexpr Duration kMinIdRetention = std::chrono::seconds(15);

// The longest time for which hosts or clients may refer to a request that has ended.
Duration id_retention(const load_balancer::Settings& settings) {
  Duration longest = kMinIdRetention;
  for (const load_balancer::ClassSettings& request_class : settings.classes) {
    longest = std::max({longest, request_class.client_timeout, request_class.deduplication_window});
  }
  return longest;
}

bool may_have_run(AttemptOutcome outcome) {
  return outcome != AttemptOutcome::connect_failed && outcome != AttemptOutcome::not_sent &&
         outcome != AttemptOutcome::rejected_by_host;
}

http::HttpResponse empty_response(beast_http::status status) {
  http::HttpResponse response;
  response.status = status;
  return response;
}

}  // namespace

Gateway::Gateway(asio::io_context& io, const config::Config& config, const Overrides& overrides,
                 event_log::EventLog& log)
    : clock_(overrides.clock ? overrides.clock : std::make_shared<runtime::SystemClock>(io)),
      start_(clock_->now()),
      unix_start_(std::chrono::system_clock::now()),
      settings_(config.balancer_settings),
      config_(config),
      overrides_(overrides),
      request_mapper_(config.balancer_settings),
      log_(log),
      balancer_(with_quiet_period(config.balancer_settings), now()),
      events_(log, balancer_),
      upstream_pool_(
          io, upstream_limits(config, ProcessRole::sole),
          [this](http::AttemptCompletion completion) {
            pending_completions_.push_back(std::move(completion));
            execute_actions();
          },
          events_, memory_budget_, &work_monitor_),
      discovery_(io, *clock_, config.discovery,
                 {[this](const discovery::EndpointList& list) {
                    on_endpoint_update(
                        list, list.full ? EndpointUpdateKind::snapshot : EndpointUpdateKind::delta);
                  },
                  [this] {
                    events_.on_discovery_failed();
                    balancer_.on_endpoint_update(now(), EndpointUpdateKind::unavailable, {});
                    execute_actions();
                    if (socket_is_shared_ && upstream_pool_.hosts() > 0) {
                      become_ready();
                    }
                  }},
                 overrides.discovery),
      used_request_ids_(overrides.state_directory),
      id_retention_(id_retention(config.balancer_settings)),
      wakeup_timer_(clock_->make_timer()),
      stop_timer_(clock_->make_timer()),
      take_no_requests_timer_(clock_->make_timer()),
      ready_timer_(clock_->make_timer()),
      socket_is_shared_(config.passed_socket.has_value()),
      client_listener_(io, {config.listen, config.passed_socket},
                       client_limits(config, overrides.clients, ProcessRole::sole),
                       {[this](http::ClientRequest request) { on_request(std::move(request)); },
                        [this](http::ExchangeId exchange, std::chrono::nanoseconds waited) {
                          on_body_complete(exchange, waited);
                        },
                        [this](http::ExchangeId exchange) { on_client_disconnected(exchange); },
                        [this](const http::ClientConnectionClosed& event) {
                          events_.on_client_connection_closed(event);
                        },
                        [this](http::NotTakenReason reason, unsigned status) {
                          events_.on_request_answered(http::name_of(reason), status);
                        }},
                       memory_budget_, &work_monitor_),
      resource_monitor_(*clock_, log,
                        {[this] { return memory_holders(); },
                         [this] {
                           return memory_budget_->used();
                         }}) {
  work_monitor_.on_long_work = [this](const runtime::WorkMonitor::Work& work) {
    events_.on_long_work(work);
  };
  apply_limits();
  if (config.known_endpoints) {
    discovery_.set_known_version(config.known_endpoints->version);
  }
  // The balancer polls discovery once it has an endpoint list, even an empty one.
  on_endpoint_update(
      config.known_endpoints ? *config.known_endpoints : discovery::EndpointList{0, true, {}},
      EndpointUpdateKind::restored);
  if (!socket_is_shared_) {
    return;
  }
  ready_timer_->wait_until(clock_->now() + kEndpointListTimeout, [this] {
    if (upstream_pool_.hosts() > 0) {
      become_ready();
    }
  });
}

Gateway::~Gateway() {
  upstream_pool_.stop();
  discovery_.stop();
}

Time Gateway::now() const {
  return kClockStart + (clock_->now() - start_);
}

// Converts a time in ms since the Unix epoch. The offset between the two clocks is taken once, in
// the constructor: the balancer takes a changed start time of a host for a restart of the host.
Time Gateway::balancer_time(std::int64_t unix_ms) const {
  if (unix_ms <= 0) {
    return Time{};
  }
  const Time at =
      kClockStart + (std::chrono::milliseconds(unix_ms) - unix_start_.time_since_epoch());
  return std::max(at, Time{});
}

// --- Events ---

void Gateway::on_endpoint_update(const discovery::EndpointList& list, EndpointUpdateKind kind) {
  const runtime::WorkMonitor::Scope scope(&work_monitor_, "endpoint_list");
  events_.on_endpoint_list(list, kind);
  std::vector<load_balancer::Endpoint> endpoints;
  for (const discovery::ListedEndpoint& listed : list.hosts) {
    endpoints.push_back(to_endpoint(listed));
  }
  balancer_.on_endpoint_update(now(), kind, endpoints);
  update_upstream_hosts(list, kind);
  notify_endpoints_listed(list);
  if (fleet_hooks_) {
    report_endpoints_to_fleet(list, kind);
  }
  // A restored list may be out of date. A process whose sibling still serves clients waits for a
  // current one; a sole process accepts clients at once unless the restored list is empty.
  if (kind != EndpointUpdateKind::restored || (!socket_is_shared_ && !list.hosts.empty())) {
    become_ready();
  }
  execute_actions();
  // A pending connect could succeed much later and then send its attempt to a host that drains or
  // is removed.
  upstream_pool_.fail_unsent_to_non_serving();
}

// The balancer's address of a host is its uid: unlike the network address it never changes, and it
// is the same at all gateways.
load_balancer::Endpoint Gateway::to_endpoint(const discovery::ListedEndpoint& listed) const {
  load_balancer::Endpoint endpoint;
  endpoint.address = listed.uid;
  endpoint.zone = listed.zone;
  endpoint.machine_type = listed.machine_type;
  endpoint.cell = listed.cell;
  endpoint.weight = listed.weight;
  endpoint.started_at = balancer_time(listed.boot_ms);
  endpoint.state = EndpointState::removed;
  if (listed.state == discovery::ListedEndpointState::serving) {
    endpoint.state = EndpointState::active;
  } else if (listed.state == discovery::ListedEndpointState::draining) {
    endpoint.state = EndpointState::draining;
  }
  return endpoint;
}

void Gateway::update_upstream_hosts(const discovery::EndpointList& list, EndpointUpdateKind kind) {
  if (kind != EndpointUpdateKind::delta) {
    upstream_pool_.mark_all_not_serving();
  }
  for (const discovery::ListedEndpoint& host : list.hosts) {
    if (const HostId id = balancer_.find_host(host.uid); id != load_balancer::kNone) {
      upstream_pool_.update_host(
          id, {host.endpoint, host.boot_ms, host.state == discovery::ListedEndpointState::serving});
    }
  }
}

void Gateway::notify_endpoints_listed(const discovery::EndpointList& list) {
  for (const discovery::ListedEndpoint& host : list.hosts) {
    if (on_endpoint_listed_) {
      on_endpoint_listed_(host.uid);
    } else {
      uids_before_callback_.insert(host.uid);
    }
  }
}

void Gateway::become_ready() {
  ready_ = true;
  if (!stopping_) {
    client_listener_.start_accepting();
  }
}

void Gateway::on_request(http::ClientRequest request) {
  const http::HttpRequest& message = request.message;
  if (message.target == "/up" && message.is_read()) {
    return client_listener_.respond(
        request.exchange, empty_response(is_available() ? beast_http::status::ok
                                                        : beast_http::status::service_unavailable));
  }
  RequestMapper::Result mapped = request_mapper_.map(message);
  if (const auto* const error = std::get_if<beast_http::status>(&mapped)) {
    events_.on_request_answered("invalid", static_cast<unsigned>(*error));
    return client_listener_.respond(request.exchange, empty_response(*error));
  }
  auto& balancer_request = std::get<load_balancer::Request>(mapped);
  // Forwarding a request with the id of an active request could execute the request twice.
  std::string request_id(message.fields["X-Request-Id"]);
  bool has_claimed_id = false;
  if (!claim_id(request_id, balancer_request, has_claimed_id)) {
    events_.on_request_answered("id_in_use", static_cast<unsigned>(beast_http::status::conflict));
    return client_listener_.respond(request.exchange, empty_response(beast_http::status::conflict));
  }
  if (fleet_hooks_ && !fleet_hooks_->try_admit(settings_.classes[balancer_request.class_index].name,
                                               message.fields["X-Tenant"])) {
    active_request_ids_.erase(request_id);
    if (has_claimed_id) {
      used_request_ids_.release(request_id, RequestIdTable::Clock::now());
    }
    events_.on_request_answered("fleet_limit",
                                static_cast<unsigned>(beast_http::status::too_many_requests));
    return client_listener_.respond(request.exchange,
                                    empty_response(beast_http::status::too_many_requests));
  }
  update_retry_allowance();
  forward(std::move(request), balancer_request, {std::move(request_id), has_claimed_id});
}

// Passes a request that is accepted to the balancer.
void Gateway::forward(http::ClientRequest request, load_balancer::Request balancer_request,
                      ClaimedId id) {
  balancer_request.id = ++last_request_id_;
  balancer_request.time_remaining -= kResponseMargin;
  balancer_request.waited = request.waited;
  balancer_request.body_pending = request.body != nullptr;
  ProxiedRequest& proxied = requests_[balancer_request.id];
  proxied.exchange = request.exchange;
  proxied.client_connection = request.connection;
  proxied.received = std::move(request.message);
  proxied.memory.emplace(memory_budget_, http::MemoryUse::requests);
  proxied.memory->set(proxied.received.memory_bytes());
  proxied.body = std::move(request.body);
  proxied.request_id = std::move(id.request_id);
  proxied.has_claimed_id = id.is_claimed;
  request_by_exchange_.emplace(request.exchange, balancer_request.id);
  if (proxied.body) {
    client_listener_.set_upload_timeout(request.exchange, balancer_request.time_remaining);
  }
  events_.on_request(proxied, settings_.classes[balancer_request.class_index].name,
                     balancer_request.waited);
  balancer_.on_request(now(), balancer_request);
  execute_actions();
}

// Safe requests may run again; their ids are kept only while they are active.
bool Gateway::claim_id(const std::string& request_id, const load_balancer::Request& request,
                       bool& has_claimed) {
  if (active_request_ids_.count(request_id) > 0) {
    return false;
  }
  if (settings_.classes[request.class_index].idempotency !=
      load_balancer::Idempotency::idempotent) {
    const auto at = RequestIdTable::Clock::now();
    const RequestIdTable::Claim claim =
        used_request_ids_.claim(request_id, at, at + request.time_remaining + id_retention_);
    if (claim == RequestIdTable::Claim::in_use) {
      return false;
    }
    if (claim == RequestIdTable::Claim::accepted_forgetting_another) {
      events_.on_request_id_forgotten();
    }
    has_claimed = true;
  }
  active_request_ids_.insert(request_id);
  return true;
}

void Gateway::release_id(const ProxiedRequest& request) {
  active_request_ids_.erase(request.request_id);
  if (!request.has_claimed_id) {
    return;
  }
  const auto at = RequestIdTable::Clock::now();
  if (request.may_have_run) {
    used_request_ids_.extend(request.request_id, at, at + id_retention_);
  } else {
    used_request_ids_.release(request.request_id, at);
  }
}

void Gateway::on_body_complete(http::ExchangeId exchange, std::chrono::nanoseconds waited) {
  const auto entry = request_by_exchange_.find(exchange);
  if (entry == request_by_exchange_.end()) {
    return;
  }
  events_.on_request_body_received(requests_.at(entry->second), waited);
  balancer_.on_request_complete(now(), entry->second, waited);
  execute_actions();
}

void Gateway::on_client_disconnected(http::ExchangeId exchange) {
  const auto entry = request_by_exchange_.find(exchange);
  if (entry == request_by_exchange_.end()) {
    return;
  }
  const RequestId id = entry->second;
  request_by_exchange_.erase(entry);
  requests_.at(id).ended = true;
  events_.on_client_disconnected(requests_.at(id));
  removal_candidates_.push_back(id);
  balancer_.on_client_disconnected(now(), id);
  cancel_unsent(id);
  execute_actions();
}

void Gateway::on_attempt_finished(http::AttemptCompletion completion) {
  const auto entry = requests_.find(completion.key.request);
  if (entry == requests_.end()) {
    return completion.stream ? completion.stream->drop() : void();
  }
  ProxiedRequest& request = entry->second;
  --request.attempts_in_flight;
  request.last_outcome = completion.outcome;
  request.may_have_run |= may_have_run(completion.outcome);
  events_.on_attempt_finished(request, completion);
  removal_candidates_.push_back(completion.key.request);
  if (completion.outcome == AttemptOutcome::success && !request.ended) {
    remove_hop_by_hop_fields(completion.response.fields);
    completion.response.fields.erase("X-Load");
    respond(request, std::move(completion.response), std::move(completion.stream));
  } else if (completion.stream) {
    completion.stream->drop();
  }
  load_balancer::AttemptResult result;
  result.request = completion.key.request;
  result.attempt = completion.key.attempt;
  result.host = completion.host;
  result.outcome = completion.outcome;
  result.elapsed = completion.elapsed;
  result.is_final = request.ended;
  result.request_consumed = request.body && request.body->consumed();
  if (fleet_hooks_) {
    report_attempt_to_fleet(completion);
  }
  if (completion.load) {
    balancer_.on_load_report(now(), completion.host, *completion.load);
  }
  balancer_.on_attempt_result(now(), result);
}

// --- Actions ---

// Executes the balancer's actions in order, including those that result from them. An action may
// complete its attempt synchronously; the completion is queued, because the balancer must not be
// called while actions of an earlier event are pending.
void Gateway::execute_actions() {
  if (executing_) {
    return;
  }
  executing_ = true;
  for (;;) {
    const std::vector<Action> actions = std::exchange(balancer_.actions(), {});
    for (const Action& action : actions) {
      execute(action);
    }
    // Requests are removed only after all actions that refer to them are executed.
    if (balancer_.actions().empty()) {
      forget_finished_requests();
    }
    if (!balancer_.actions().empty()) {
      continue;
    }
    if (pending_completions_.empty()) {
      break;
    }
    http::AttemptCompletion completion = std::move(pending_completions_.front());
    pending_completions_.pop_front();
    on_attempt_finished(std::move(completion));
  }
  executing_ = false;
  update_retry_allowance();
}

void Gateway::forget_finished_requests() {
  for (const RequestId id : std::exchange(removal_candidates_, {})) {
    const auto entry = requests_.find(id);
    if (entry != requests_.end() && entry->second.ended && entry->second.attempts_in_flight == 0) {
      release_id(entry->second);
      requests_.erase(entry);
    }
  }
}

// Does nothing while actions are executed: the balancer has then subtracted the retries that it
// decided to send, and the fleet has not, as their SendAttempt actions may be pending.
void Gateway::update_retry_allowance() {
  if (!fleet_hooks_ || executing_ || fleet_hooks_->retries_allowed() == retry_allowance_) {
    return;
  }
  retry_allowance_ = fleet_hooks_->retries_allowed();
  balancer_.set_retry_allowance(now(), retry_allowance_);
}

void Gateway::report_endpoints_to_fleet(const discovery::EndpointList& list,
                                        EndpointUpdateKind kind) {
  if (kind != EndpointUpdateKind::delta) {
    listed_uids_.clear();
  }
  for (const discovery::ListedEndpoint& host : list.hosts) {
    if (host.state == discovery::ListedEndpointState::removed) {
      listed_uids_.erase(host.uid);
    } else {
      listed_uids_.insert(host.uid);
    }
  }
  fleet_hooks_->on_endpoints_listed({listed_uids_.begin(), listed_uids_.end()});
}

void Gateway::report_attempt_to_fleet(const http::AttemptCompletion& completion) {
  const bool success = completion.outcome == AttemptOutcome::success;
  const bool host_failed = completion.outcome == AttemptOutcome::server_error ||
                           completion.outcome == AttemptOutcome::timeout ||
                           completion.outcome == AttemptOutcome::reset ||
                           completion.outcome == AttemptOutcome::connect_failed;
  if (success || host_failed) {
    fleet_hooks_->on_attempt_finished(balancer_.address(completion.host), success);
  }
}

void Gateway::execute(const Action& action) {
  std::visit(
      load_balancer::ActionVisitor{
          [this](const load_balancer::SendAttempt& attempt) { send(attempt); },
          [this](const load_balancer::RejectRequest& rejection) { reject(rejection); },
          [this](const load_balancer::FailRequest& failure) { fail(failure); },
          [this](const load_balancer::CancelAttempt& attempt) {
            upstream_pool_.cancel({attempt.request, attempt.attempt});
          },
          [this](const load_balancer::CloseIdleConnections& close) {
            upstream_pool_.close_idle(close.host);
          },
          [this](const load_balancer::ForgetHost& forget) { upstream_pool_.forget(forget.host); },
          [this](const load_balancer::ScheduleWakeup& wakeup) { schedule_wakeup(wakeup.at); },
          [this](const load_balancer::PollEndpoints&) { discovery_.watch(); },
          [this](const load_balancer::LogMessage& message) { log_.write_line(message.text); },
      },
      action);
}

void Gateway::send(const load_balancer::SendAttempt& action) {
  const auto it = requests_.find(action.request);
  if (it == requests_.end()) {
    return;
  }
  ProxiedRequest& request = it->second;
  ++request.attempts_ordered;
  ++request.attempts_in_flight;
  // The client may have disconnected without a notification so far: in the same iteration of the
  // event loop, or before its request was read. Nothing is sent for such a request.
  if (request.ended || client_listener_.close_if_disconnected(request.exchange)) {
    http::AttemptCompletion unsent;
    unsent.key = {action.request, action.attempt};
    unsent.host = action.host;
    unsent.outcome = AttemptOutcome::not_sent;
    pending_completions_.push_back(std::move(unsent));
    return;
  }
  events_.on_attempt_sent(request, action);
  if (fleet_hooks_ && action.attempt > 0) {
    fleet_hooks_->on_retry_sent();
    if (retry_allowance_ > 0) {
      --retry_allowance_;  // the balancer has subtracted it as well
    }
  }
  if (!request.message) {
    request.message = to_host_message(std::move(request.received), request.body != nullptr);
  }
  upstream_pool_.start({action.request, action.attempt}, action.host, request.message,
                       {action.timeout, action.must_start_within}, request.body);
}

void Gateway::reject(const load_balancer::RejectRequest& rejection) {
  http::HttpResponse response = empty_response(beast_http::status::service_unavailable);
  if (rejection.retry_after > Duration{}) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f",
                  std::chrono::duration<double>(rejection.retry_after).count());
    response.fields.set("Retry-After", text.data());
  }
  if (const auto request = requests_.find(rejection.request);
      request != requests_.end() && !request->second.ended) {
    events_.on_rejected(request->second, rejection.reason);
  }
  end_without_response(rejection.request, std::move(response));
}

void Gateway::fail(const load_balancer::FailRequest& failure) {
  if (const auto request = requests_.find(failure.request);
      request != requests_.end() && !request->second.ended) {
    events_.on_failed(request->second, failure.reason);
  }
  end_without_response(failure.request, empty_response(beast_http::status::bad_gateway));
}

void Gateway::end_without_response(RequestId id, http::HttpResponse response) {
  const auto position = requests_.find(id);
  if (position == requests_.end() || position->second.ended) {
    return;
  }
  removal_candidates_.push_back(id);
  respond(position->second, std::move(response));
}

void Gateway::respond(ProxiedRequest& request, http::HttpResponse response,
                      std::shared_ptr<http::BodyStream> stream) {
  request.ended = true;
  if (const auto entry = request_by_exchange_.find(request.exchange);
      entry != request_by_exchange_.end()) {
    cancel_unsent(entry->second);
    request_by_exchange_.erase(entry);
  }
  client_listener_.respond(request.exchange, std::move(response), std::move(stream));
}

// Cancels the attempts of an ended request that still wait for a connection, even if the settings
// forbid cancelling attempts: nothing of these has been sent.
void Gateway::cancel_unsent(RequestId id) {
  for (std::uint32_t i = 0;; ++i) {
    const auto it = requests_.find(id);  // completing its last attempt removes it
    if (it == requests_.end() || it->second.attempts_in_flight == 0 ||
        i >= it->second.attempts_ordered) {
      return;
    }
    upstream_pool_.cancel_unsent({id, i});
  }
}

// A wait that is armed is replaced only by an earlier one. The balancer asks again with each event
// once its wakeup is due: if each of these replaced the wait, it would never end while requests
// arrive without a pause.
void Gateway::schedule_wakeup(Time at) {
  requested_wakeup_ = at;
  if (!armed_wakeup_ || at < *armed_wakeup_) {
    arm_wakeup(at);
  }
}

void Gateway::arm_wakeup(Time at) {
  armed_wakeup_ = at;
  wakeup_timer_->wait_until(start_ + (at - kClockStart), [this] {
    const runtime::WorkMonitor::Scope scope(&work_monitor_, "balancer_wakeup");
    armed_wakeup_.reset();
    const Time woken_at = now();
    balancer_.on_wakeup(woken_at);
    execute_actions();
    // The balancer takes the wakeup that it requested last for pending.
    if (!armed_wakeup_ && requested_wakeup_ > woken_at) {
      arm_wakeup(requested_wakeup_);
    }
  });
}

// --- Reload, drain, stop ---

// The listening socket and the balancer's settings change only with a restart, because active
// requests depend on them.
void Gateway::reload(const config::Config& config) {
  config_ = config;
  discovery_.switch_server(config.discovery);
  apply_limits();
}

void Gateway::apply_limits() {
  memory_budget_->set_limit(peer_memory(config_, role_));
  upstream_pool_.set_limits(upstream_limits(config_, role_));
  client_listener_.set_limits(client_limits(config_, overrides_.clients, role_));
  resource_monitor_.set_memory_limit(config_.memory_mb << 20);
}

nlohmann::ordered_json Gateway::memory_holders() const {
  nlohmann::ordered_json connections;
  for (std::size_t i = 0; i < http::kSessionStates; ++i) {
    const auto state = static_cast<http::SessionState>(i);
    if (const std::size_t count = client_listener_.connections_in(state); count > 0) {
      connections[http::name_of(state)] = count;
    }
  }
  nlohmann::ordered_json uses;
  for (std::size_t i = 0; i < http::kMemoryUses; ++i) {
    const auto use = static_cast<http::MemoryUse>(i);
    uses[http::name_of(use)] = memory_budget_->used(use);
  }
  return {{"client_connections", std::move(connections)},
          {"host_connections", upstream_pool_.connections()},
          {"active_requests", active_requests()},
          {"bytes_by_use", std::move(uses)},
          {"budget_bytes", memory_budget_->limit()},
          {"budget_peak_bytes", memory_budget_->peak()}};
}

std::string Gateway::resources_json() const {
  nlohmann::ordered_json json = resource_monitor_.to_json();
  const runtime::WorkMonitor::Work& longest = work_monitor_.longest();
  json["longest_work"] = {
      {"name", longest.name},
      {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(longest.time).count()}};
  json["holders"] = memory_holders();
  return json.dump();
}

void Gateway::join_fleet(FleetHooks hooks) {
  fleet_hooks_ = std::move(hooks);
  if (config_.known_endpoints) {
    report_endpoints_to_fleet(*config_.known_endpoints, EndpointUpdateKind::restored);
  }
  update_retry_allowance();
}

void Gateway::set_maintenance(const std::string& uid, bool enabled) {
  if (enabled) {
    maintenance_by_operator_.insert(uid);
  } else {
    maintenance_by_operator_.erase(uid);
  }
  if (!maintenance_by_fleet_.count(uid)) {
    apply_maintenance(uid, enabled);
  }
}

void Gateway::set_maintenance_by_fleet(const std::string& uid, bool enabled) {
  const bool changed =
      enabled ? maintenance_by_fleet_.insert(uid).second : maintenance_by_fleet_.erase(uid) > 0;
  if (changed && !maintenance_by_operator_.count(uid)) {
    apply_maintenance(uid, enabled);
  }
}

void Gateway::apply_maintenance(const std::string& uid, bool enabled) {
  const HostId id = balancer_.find_host(uid);
  balancer_.set_maintenance(now(), uid, enabled);
  execute_actions();
  if (enabled && id != load_balancer::kNone) {
    upstream_pool_.fail_unsent(id);
  }
}

void Gateway::on_endpoint_listed(std::function<void(const std::string&)> callback) {
  on_endpoint_listed_ = std::move(callback);
  for (const std::string& uid : std::exchange(uids_before_callback_, {})) {
    on_endpoint_listed_(uid);
  }
}

void Gateway::set_has_sibling(bool has_sibling) {
  const ProcessRole role = has_sibling ? ProcessRole::one_of_two : ProcessRole::sole;
  if (role_ == role) {
    return;
  }
  role_ = role;
  apply_limits();
  balancer_.set_budget_fraction(now(), has_sibling ? kBudgetFractionWithSibling : 1);
  execute_actions();
}

void Gateway::set_drained(bool drained) {
  const bool was_drained = std::exchange(drained_, drained);
  if (stopping_ || drained == was_drained) {
    return;
  }
  client_listener_.close_idle(drained);
  if (drained) {
    take_no_requests_after(kTakeNoRequestsAtDrain);
  } else {
    take_no_requests_timer_->cancel();
    client_listener_.take_no_requests(false);
  }
}

void Gateway::take_no_requests_after(std::chrono::milliseconds delay) {
  take_no_requests_timer_->wait_until(clock_->now() + delay,
                                      [this] { client_listener_.take_no_requests(true); });
}

void Gateway::stop(std::function<void()> done) {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  on_stopped_ = std::move(done);
  events_.on_shutdown_started(active_requests());
  balancer_.set_latest_response(now(), now() + shutdown_schedule(settings_).last_response);
  execute_actions();
  client_listener_.close_idle(true);
  take_no_requests_after(kTakeNoRequestsAtStop);
  // The connections that wait at a shared socket are accepted by the next process. At a socket that
  // is not shared they would be lost, so they are accepted for kStopAcceptingDelay.
  stop_timer_->wait_until(
      clock_->now() + (socket_is_shared_ ? std::chrono::milliseconds(0) : kStopAcceptingDelay),
      [this] {
        client_listener_.on_empty = [this] {
          on_stopped_();
        };
        client_listener_.stop_accepting();
      });
}

}  // namespace gateway
