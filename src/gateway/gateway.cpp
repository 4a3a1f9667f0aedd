#include "gateway/gateway.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>
#include <cstdio>
#include <utility>
#include <variant>

namespace gateway {
namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using boost::beast::string_view;
using load_balancer::Action;
using load_balancer::AttemptOutcome;
using load_balancer::Duration;
using load_balancer::EndpointState;
using load_balancer::EndpointUpdateKind;
using load_balancer::HostId;
using load_balancer::RequestId;
using load_balancer::Time;

// The balancer's clock at the start of this process: hosts that started up to a day earlier have a
// positive time on it.
constexpr Time kClockStart = std::chrono::hours(24);
// The fraction of the shared budgets for each of two processes.
constexpr double kBudgetFractionOfTwo = 0.5;
http::HttpResponse plain(beast_http::status status) {
  http::HttpResponse response;
  response.result(status);
  return response;
}

}  // namespace

Gateway::Gateway(asio::io_context& io, const config::Config& config, const Overrides& overrides,
                 std::function<void(std::string)> log)
    : clock_(overrides.clock ? overrides.clock : std::make_shared<runtime::SystemClock>(io)),
      start_(clock_->now()),
      unix_start_(std::chrono::system_clock::now()),
      settings_(config.module),
      config_(config),
      overrides_(overrides),
      request_mapper_(config.module),
      log_(std::move(log)),
      balancer_(config.module, now()),
      hosts_(
          io, upstream_limits(config, ProcessRole::sole),
          [this](http::AttemptCompletion completion) {
            ends_.push_back(std::move(completion));
            execute_actions();
          },
          buffers_),
      discovery_(io, *clock_, config.discovery,
                 {[this](const discovery::EndpointList& list) {
                    on_endpoint_update(
                        list, list.full ? EndpointUpdateKind::snapshot : EndpointUpdateKind::delta);
                  },
                  [this] {
                    balancer_.on_endpoint_update(now(), EndpointUpdateKind::unavailable, {});
                    execute_actions();
                    if (socket_is_shared_ && hosts_.hosts() > 0) {
                      become_ready();
                    }
                  }},
                 overrides.discovery),
      wakeup_timer_(clock_->make_timer()),
      stop_timer_(clock_->make_timer()),
      ready_timer_(clock_->make_timer()),
      socket_is_shared_(config.passed_socket.has_value()),
      clients_(io, {config.listen, config.passed_socket},
               client_limits(config, overrides.clients, ProcessRole::sole),
               {[this](http::ClientRequest request) { on_request(std::move(request)); },
                [this](http::ExchangeId exchange) { on_body_complete(exchange); },
                [this](http::ExchangeId exchange) {
                  on_client_disconnected(exchange);
                }},
               buffers_) {
  apply_limits();
  if (config.known) {
    discovery_.set_known_version(config.known->version);
  }
  // The balancer polls discovery once it has an endpoint list, even an empty one.
  on_endpoint_update(config.known ? *config.known : discovery::EndpointList{0, true, {}},
                     EndpointUpdateKind::restored);
  if (!socket_is_shared_) {
    return;
  }
  ready_timer_->wait_until(clock_->now() + kEndpointListTimeout, [this] {
    if (hosts_.hosts() > 0) {
      become_ready();
    }
  });
}

Gateway::~Gateway() {
  hosts_.stop();
  discovery_.stop();
}

Time Gateway::now() const {
  return kClockStart + (clock_->now() - start_);
}

// The offset never changes: the balancer takes a host whose start time moves for a new process.
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
  std::vector<load_balancer::Endpoint> endpoints;
  for (const discovery::ListedEndpoint& listed : list.hosts) {
    endpoints.push_back(to_endpoint(listed));
  }
  balancer_.on_endpoint_update(now(), kind, endpoints);
  update_upstream_hosts(list, kind);
  notify_endpoints_listed(list);
  if (fleet_) {
    report_endpoints_to_fleet(list, kind);
  }
  // The restored list may be old. Beside a process that serves, there is time to poll a new one.
  if (kind != EndpointUpdateKind::restored || (!socket_is_shared_ && !list.hosts.empty())) {
    become_ready();
  }
  execute_actions();
  // A pending connect could succeed much later and begin its attempt at a host that drains or is
  // removed.
  hosts_.drop_unsent_to_unlisted();
}

// The uid identifies a host to the balancer: it is the same at all gateways, and stays when the
// address changes.
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
    hosts_.unlist_all();
  }
  for (const discovery::ListedEndpoint& host : list.hosts) {
    if (const HostId id = balancer_.find_host(host.uid); id != load_balancer::kNone) {
      hosts_.list(id, host.endpoint, host.state == discovery::ListedEndpointState::serving);
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
    clients_.start_accepting();
  }
}

void Gateway::on_request(http::ClientRequest request) {
  const http::HttpRequest& message = request.message;
  const bool is_read =
      message.method() == beast_http::verb::get || message.method() == beast_http::verb::head;
  if (message.target() == "/up" && is_read) {
    return clients_.respond(
        request.exchange,
        plain(is_available() ? beast_http::status::ok : beast_http::status::service_unavailable));
  }
  RequestMapper::Result mapped = request_mapper_.map(message);
  if (const auto* const error = std::get_if<beast_http::status>(&mapped)) {
    return clients_.respond(request.exchange, plain(*error));
  }
  auto& balancer_request = std::get<load_balancer::Request>(mapped);
  // Forwarded, a request with the id of an active one would be executed twice.
  std::string request_id = message["X-Request-Id"].to_string();
  if (!active_request_ids_.insert(request_id).second) {
    return clients_.respond(request.exchange, plain(beast_http::status::conflict));
  }
  const string_view tenant = message["X-Tenant"];
  if (fleet_ && !fleet_->try_admit(settings_.classes[balancer_request.class_index].name,
                                   std::string_view(tenant.data(), tenant.size()))) {
    active_request_ids_.erase(request_id);
    return clients_.respond(request.exchange, plain(beast_http::status::too_many_requests));
  }
  update_retry_allowance();
  balancer_request.id = ++last_request_;
  balancer_request.time_remaining -= kResponseMargin;
  balancer_request.body_pending = request.body != nullptr;
  remove_hop_by_hop_fields(request.message);
  ProxiedRequest& proxied = requests_[balancer_request.id];
  proxied.client = request.exchange;
  proxied.message = std::move(request.message);
  proxied.body = std::move(request.body);
  proxied.request_id = std::move(request_id);
  by_client_.emplace(request.exchange, balancer_request.id);
  balancer_.on_request(now(), balancer_request);
  execute_actions();
}

void Gateway::on_body_complete(http::ExchangeId client) {
  const auto known = by_client_.find(client);
  if (known == by_client_.end()) {
    return;
  }
  balancer_.on_request_complete(now(), known->second);
  execute_actions();
}

void Gateway::on_client_disconnected(http::ExchangeId client) {
  const auto known = by_client_.find(client);
  if (known == by_client_.end()) {
    return;
  }
  const RequestId id = known->second;
  by_client_.erase(known);
  requests_.at(id).ended = true;
  over_.push_back(id);
  balancer_.on_client_disconnected(now(), id);
  cancel_unsent(id);
  execute_actions();
}

void Gateway::on_attempt_finished(http::AttemptCompletion completion) {
  const auto known = requests_.find(completion.key.request);
  if (known == requests_.end()) {
    return completion.stream ? completion.stream->drop() : void();
  }
  ProxiedRequest& request = known->second;
  --request.out;
  over_.push_back(completion.key.request);
  if (completion.outcome == AttemptOutcome::success && !request.ended) {
    remove_hop_by_hop_fields(completion.response);
    completion.response.erase("X-Load");
    answer(request, std::move(completion.response), std::move(completion.stream));
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
  if (fleet_) {
    report_attempt_to_fleet(completion);
  }
  if (completion.load) {
    balancer_.on_load_report(now(), completion.host, *completion.load);
  }
  balancer_.on_attempt_result(now(), result);
}

// --- Actions ---

// Executes all actions in their order, including those that their own results cause. An action that
// ends an attempt at once must not call the balancer while earlier actions are pending.
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
    if (ends_.empty()) {
      break;
    }
    http::AttemptCompletion completion = std::move(ends_.front());
    ends_.pop_front();
    on_attempt_finished(std::move(completion));
  }
  executing_ = false;
  update_retry_allowance();
}

void Gateway::forget_finished_requests() {
  for (const RequestId id : std::exchange(over_, {})) {
    const auto known = requests_.find(id);
    if (known != requests_.end() && known->second.ended && known->second.out == 0) {
      active_request_ids_.erase(known->second.request_id);
      requests_.erase(known);
    }
  }
}

// Only between events: during one the balancer has already subtracted retries whose actions are
// still pending.
void Gateway::update_retry_allowance() {
  if (!fleet_ || executing_ || fleet_->retries_allowed() == allowed_) {
    return;
  }
  allowed_ = fleet_->retries_allowed();
  balancer_.set_retry_allowance(now(), allowed_);
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
  fleet_->on_endpoints_listed({listed_uids_.begin(), listed_uids_.end()});
}

void Gateway::report_attempt_to_fleet(const http::AttemptCompletion& completion) {
  const bool success = completion.outcome == AttemptOutcome::success;
  const bool host_failed = completion.outcome == AttemptOutcome::server_error ||
                           completion.outcome == AttemptOutcome::timeout ||
                           completion.outcome == AttemptOutcome::reset ||
                           completion.outcome == AttemptOutcome::connect_failed;
  if (success || host_failed) {
    fleet_->on_attempt_finished(balancer_.address(completion.host), success);
  }
}

void Gateway::execute(const Action& action) {
  std::visit(load_balancer::ActionVisitor{
                 [this](const load_balancer::SendAttempt& attempt) { send(attempt); },
                 [this](const load_balancer::RejectRequest& rejection) { reject(rejection); },
                 [this](const load_balancer::FailRequest& failure) { fail(failure); },
                 [this](const load_balancer::CancelAttempt& attempt) {
                   hosts_.cancel({attempt.request, attempt.attempt});
                 },
                 [this](const load_balancer::CloseIdleConnections& close) {
                   hosts_.close_idle(close.host);
                 },
                 [this](const load_balancer::ForgetHost& forget) { hosts_.forget(forget.host); },
                 [this](const load_balancer::ScheduleWakeup& wakeup) { wake_at(wakeup.at); },
                 [this](const load_balancer::PollEndpoints&) { discovery_.watch(); },
                 [this](const load_balancer::LogMessage& message) { log_(message.text); },
             },
             action);
}

void Gateway::send(const load_balancer::SendAttempt& action) {
  const auto it = requests_.find(action.request);
  if (it == requests_.end()) {
    return;
  }
  ProxiedRequest& exchange = it->second;
  ++exchange.begun;
  ++exchange.out;
  // Danger: the client's close and what brought this about may have come in one turn of the loop,
  // or the request lay unread while its client gave up: then nothing is begun for it any more.
  if (exchange.ended || clients_.left(exchange.client)) {
    http::AttemptCompletion moot;
    moot.key = {action.request, action.attempt};
    moot.host = action.host;
    moot.outcome = AttemptOutcome::not_sent;
    ends_.push_back(std::move(moot));
    return;
  }
  if (fleet_ && action.attempt > 0) {
    fleet_->on_retry_sent();
    if (allowed_ > 0) {
      --allowed_;  // as the module has
    }
  }
  http::HttpRequest message = exchange.message;
  message.version(11);
  message.keep_alive(true);
  if (exchange.body) {
    if (!message.has_content_length()) {
      message.chunked(true);
    }
  } else if (message.method() == beast_http::verb::post || !message.body().empty()) {
    message.prepare_payload();
  }
  hosts_.start({action.request, action.attempt}, action.host, std::move(message),
               {action.timeout, action.must_start_within}, exchange.body);
}

void Gateway::reject(const load_balancer::RejectRequest& rejection) {
  http::HttpResponse response = plain(beast_http::status::service_unavailable);
  if (rejection.retry_after > Duration{}) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f",
                  std::chrono::duration<double>(rejection.retry_after).count());
    response.set(beast_http::field::retry_after, text.data());
  }
  reject_or_fail(rejection.request, std::move(response));
}

void Gateway::fail(const load_balancer::FailRequest& failure) {
  reject_or_fail(failure.request, plain(beast_http::status::bad_gateway));
}

void Gateway::reject_or_fail(RequestId id, http::HttpResponse response) {
  const auto position = requests_.find(id);
  if (position == requests_.end() || position->second.ended) {
    return;
  }
  over_.push_back(id);
  answer(position->second, std::move(response));
}

void Gateway::answer(ProxiedRequest& request, http::HttpResponse response,
                     std::shared_ptr<http::BodyStream> stream) {
  request.ended = true;
  if (const auto known = by_client_.find(request.client); known != by_client_.end()) {
    cancel_unsent(known->second);
    by_client_.erase(known);
  }
  clients_.respond(request.client, std::move(response), std::move(stream));
}

// For an ended request. Also where the settings forbid to cancel attempts: one that still waits for
// a connection has not been sent.
void Gateway::cancel_unsent(RequestId id) {
  for (std::uint32_t i = 0;; ++i) {
    const auto it = requests_.find(id);  // the end of its last attempt may remove it
    if (it == requests_.end() || it->second.out == 0 || i >= it->second.begun) {
      return;
    }
    hosts_.cancel_unsent({id, i});
  }
}

// The balancer keeps one wakeup and schedules no other while it is pending, so the latest one
// replaces it: an event at the very moment of a wakeup schedules another a nanosecond later.
void Gateway::wake_at(Time at) {
  wakeup_timer_->wait_until(start_ + (at - kClockStart), [this] {
    balancer_.on_wakeup(now());
    execute_actions();
  });
}

// --- Reload, drain, stop ---

// The listener and the balancer's settings stay until a restart: active requests depend on them.
void Gateway::reload(const config::Config& config) {
  config_ = config;
  discovery_.switch_server(config.discovery);
  apply_limits();
}

void Gateway::apply_limits() {
  buffers_->limit_bytes = body_memory(config_, role_);
  hosts_.set_limits(upstream_limits(config_, role_));
  clients_.set_limits(client_limits(config_, overrides_.clients, role_));
}

void Gateway::join_fleet(FleetHooks hooks) {
  fleet_ = std::move(hooks);
  if (config_.known) {
    report_endpoints_to_fleet(*config_.known, EndpointUpdateKind::restored);
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
    hosts_.drop_unsent(id);
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
  balancer_.set_budget_fraction(now(), has_sibling ? kBudgetFractionOfTwo : 1);
  execute_actions();
}

void Gateway::set_drained(bool drained) {
  drained_ = drained;
  if (!stopping_) {
    clients_.close_idle(drained);
  }
}

void Gateway::stop(std::function<void()> done) {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  on_stopped_ = std::move(done);
  clients_.close_idle(true);
  // Connections waiting at a shared socket are accepted by the next process; at an own one they
  // would be lost.
  stop_timer_->wait_until(
      clock_->now() + (socket_is_shared_ ? std::chrono::milliseconds(0) : kStopAcceptingDelay),
      [this] {
        clients_.on_empty = [this] {
          on_stopped_();
        };
        clients_.stop_accepting();
      });
}

}  // namespace gateway
