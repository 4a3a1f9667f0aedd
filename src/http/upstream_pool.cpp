#include "http/upstream_pool.hpp"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

namespace gateway::http {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using load_balancer::AttemptOutcome;
using load_balancer::Duration;
using load_balancer::HostId;
using tcp = asio::ip::tcp;

// Interval at which idle connections are checked against their limits.
constexpr Duration kSweepInterval = std::chrono::milliseconds(250);
// An attempt on a connection that the host is just closing ends as a reset, after which the request
// may have been executed. So idle connections are closed this much earlier than the host does.
constexpr Duration kIdleMargin = std::chrono::seconds(2);
// The margin is at most the host's idle timeout divided by this.
constexpr int kIdleMarginDivisor = 5;

}  // namespace

UpstreamPool::UpstreamPool(asio::io_context& io, Limits limits, OnCompletion on_completion,
                           UpstreamObserver& observer, std::shared_ptr<MemoryBudget> memory_budget,
                           runtime::WorkMonitor* work_monitor)
    : io_(io),
      limits_(limits),
      on_completion_(std::move(on_completion)),
      observer_(observer),
      memory_budget_(std::move(memory_budget)),
      work_monitor_(work_monitor),
      sweep_timer_(io) {
  sweep();
}

// NOLINTNEXTLINE(bugprone-exception-escape): throws only when out of memory
UpstreamPool::~UpstreamPool() {
  stop();
}

void UpstreamPool::stop() {
  sweep_timer_.cancel();
  for (auto& [key, connection] : std::exchange(active_, {})) {
    connection->close(HostCloseReason::shutdown);
  }
  for (const auto& connection : std::exchange(streaming_, {})) {
    connection->close(HostCloseReason::shutdown);
  }
  for (auto& [id, host] : hosts_) {
    for (auto& connection : std::exchange(host.idle, {})) {
      connection->close(HostCloseReason::shutdown);
    }
  }
}

void UpstreamPool::update_host(HostId host_id, const ListedHost& listed) {
  Host& host = hosts_[host_id];
  // The entry of a removed host may have neither an address nor a start.
  const bool address_changed = listed.endpoint.port() != 0 && listed.endpoint != host.endpoint;
  const bool process_changed = listed.boot_ms > 0 && listed.boot_ms != host.boot_ms;
  if (address_changed || process_changed || !listed.serving) {
    close_idle(host_id);
  }
  if (address_changed) {
    host.endpoint = listed.endpoint;
  }
  if (process_changed) {
    host.boot_ms = listed.boot_ms;
  }
  if (address_changed || process_changed || host.registration.host == load_balancer::kNone) {
    host.registration = {host_id, ++last_registration_};
  }
  host.serving = listed.serving;
}

void UpstreamPool::mark_all_not_serving() {
  for (auto& [id, host] : hosts_) {
    host.serving = false;
  }
}

void UpstreamPool::forget(HostId host) {
  close_idle(host);
  hosts_.erase(host);
}

void UpstreamPool::start(AttemptKey key, HostId host, std::shared_ptr<const HttpRequest> request,
                         Timeouts timeouts, std::shared_ptr<BodyStream> body) {
  const auto now = Clock::now();
  const auto entry = hosts_.find(host);
  if (entry == hosts_.end()) {
    return report_connect_failure(key, host);
  }
  Host& target = entry->second;
  std::shared_ptr<UpstreamConnection> connection = take_quiet(target);
  if (connection) {
    connection->assign(key, std::move(request), timeouts, std::move(body), now);
    active_.emplace(key, connection);
    return connection->write_request();
  }
  connection = take_next_quiet(target);
  if (connection) {
    connection->assign(key, std::move(request), timeouts, std::move(body), now);
    active_.emplace(key, connection);
    return connection->write_request_at(connection->idle_since() + target.trust.quiet_period(now),
                                        target.endpoint);
  }
  if (open_connections_ >= limits_.connections && !close_oldest_idle()) {
    return report_connect_failure(key, host);
  }
  UpstreamConnectionOwner& owner = *this;
  connection =
      std::make_shared<UpstreamConnection>(owner, io_, target.registration, ++last_connection_id_);
  ++open_connections_;
  connection->assign(key, std::move(request), timeouts, std::move(body), now);
  active_.emplace(key, connection);
  connection->connect(target.endpoint);
}

void UpstreamPool::report_connect_failure(AttemptKey key, HostId host) {
  AttemptCompletion completion;
  completion.key = key;
  completion.host = host;
  completion.outcome = AttemptOutcome::connect_failed;
  on_completion_(std::move(completion));
}

void UpstreamPool::cancel(AttemptKey key) {
  const auto active = active_.find(key);
  if (active == active_.end()) {
    return;
  }
  const auto connection = active->second;
  connection->cancel();
}

void UpstreamPool::close_idle(HostId host) {
  if (const auto entry = hosts_.find(host); entry != hosts_.end()) {
    for (auto& connection : std::exchange(entry->second.idle, {})) {
      connection->close(HostCloseReason::not_in_use);
    }
  }
}

template <class Predicate>
void UpstreamPool::fail_unsent_where(Predicate predicate) {
  std::vector<std::shared_ptr<UpstreamConnection>> unsent;
  for (const auto& [key, connection] : active_) {
    if (connection->not_yet_sent() && predicate(*connection)) {
      unsent.push_back(connection);
    }
  }
  for (const auto& connection : unsent) {
    if (connection->not_yet_sent()) {  // completing an attempt may cancel another
      connection->fail_unsent();
    }
  }
}

void UpstreamPool::fail_unsent(HostId host) {
  fail_unsent_where(
      [&](const UpstreamConnection& connection) { return connection.host() == host; });
}

void UpstreamPool::fail_unsent_to_non_serving() {
  fail_unsent_where([&](const UpstreamConnection& connection) { return !keeps(connection); });
}

void UpstreamPool::cancel_unsent(AttemptKey key) {
  const auto active = active_.find(key);
  if (active != active_.end() && active->second->not_yet_sent()) {
    cancel(key);
  }
}

void UpstreamPool::add_stream(const std::shared_ptr<UpstreamConnection>& connection) {
  streaming_.insert(connection);
}

void UpstreamPool::remove_stream(const std::shared_ptr<UpstreamConnection>& connection) {
  streaming_.erase(connection);
}

void UpstreamPool::report(AttemptCompletion completion) {
  on_completion_(std::move(completion));
}

bool UpstreamPool::is_current(const UpstreamConnection& connection) const {
  const auto entry = hosts_.find(connection.host());
  return entry != hosts_.end() && entry->second.registration == connection.registration();
}

HostId UpstreamPool::current_id_of(const UpstreamConnection& connection) const {
  return is_current(connection) ? connection.host() : load_balancer::kNone;
}

bool UpstreamPool::host_writes_late(const UpstreamConnection& connection) const {
  return is_current(connection) && hosts_.at(connection.host()).trust.writes_late(Clock::now());
}

bool UpstreamPool::keeps(const UpstreamConnection& connection) const {
  return is_current(connection) && hosts_.at(connection.host()).serving;
}

void UpstreamPool::add_idle(const std::shared_ptr<UpstreamConnection>& connection) {
  Host& host = hosts_.at(connection->host());
  host.idle.push_back(connection);
  if (!host.trust.allows_reuse(Clock::now())) {
    limit_observed(host);
  }
}

void UpstreamPool::limit_observed(Host& host) {
  while (host.idle.size() > kMaxObservedConnections) {
    const auto oldest = host.idle.front();
    host.idle.erase(host.idle.begin());
    oldest->close(HostCloseReason::host_distrusted);
  }
}

Duration UpstreamPool::connect_quiet_period(const UpstreamConnection& connection) const {
  return is_current(connection)
             ? hosts_.at(connection.host()).trust.connect_quiet_period(Clock::now())
             : kConnectQuietPeriod;
}

void UpstreamPool::on_idle_input(const std::shared_ptr<UpstreamConnection>& connection) {
  if (is_current(*connection)) {
    std::erase(hosts_.at(connection->host()).idle, connection);
  }
  close_after_input(*connection, connection->input());
}

void UpstreamPool::close_after_input(UpstreamConnection& connection,
                                     const UpstreamConnection::Input& input) {
  if (input.kind != UpstreamConnection::Input::Kind::bytes) {
    return connection.close(HostCloseReason::host_closed);
  }
  on_unexpected_bytes(connection, input.bytes);
  connection.close(HostCloseReason::unexpected_bytes);
}

void UpstreamPool::on_unexpected_bytes(const UpstreamConnection& connection, std::size_t bytes) {
  const auto now = Clock::now();
  const Duration silence = now - connection.idle_since();
  observer_.on_unexpected_bytes(
      {current_id_of(connection), connection.id(), bytes, silence, connection.responses()});
  if (!is_current(connection)) {
    return;
  }
  HostTrust& trust = hosts_.at(connection.host()).trust;
  const bool was_trusted = trust.allows_reuse(now);
  trust.on_unexpected_bytes(now, silence, connection.responses());
  if (was_trusted && !trust.allows_reuse(now)) {
    observer_.on_host_distrusted(connection.host());
  }
}

ConnectionId UpstreamPool::on_reconnect(const UpstreamConnection& connection,
                                        HostCloseReason reason) {
  report_closed(connection, reason);
  return ++last_connection_id_;
}

void UpstreamPool::on_connected(const UpstreamConnection& connection) {
  observer_.on_connection_opened(
      {current_id_of(connection), connection.endpoint(), connection.id()});
}

void UpstreamPool::on_connection_closed(const UpstreamConnection& connection,
                                        HostCloseReason reason) {
  --open_connections_;
  report_closed(connection, reason);
}

void UpstreamPool::report_closed(const UpstreamConnection& connection, HostCloseReason reason) {
  observer_.on_connection_closed({current_id_of(connection), connection.endpoint(), connection.id(),
                                  reason, connection.responses()});
}

std::shared_ptr<UpstreamConnection> UpstreamPool::take_quiet(Host& host) {
  if (!host.trust.allows_reuse(Clock::now())) {
    return nullptr;
  }
  const auto quiet_since = Clock::now() - host.trust.quiet_period(Clock::now());
  for (;;) {
    const auto first_unquiet = std::find_if(
        host.idle.begin(), host.idle.end(),
        [&](const auto& connection) { return connection->idle_since() > quiet_since; });
    if (first_unquiet == host.idle.begin()) {
      return nullptr;
    }
    const auto last_quiet = static_cast<std::size_t>(first_unquiet - host.idle.begin()) - 1;
    if (auto connection = take_usable(host, last_quiet)) {
      return connection;
    }
  }
}

std::shared_ptr<UpstreamConnection> UpstreamPool::take_next_quiet(Host& host) {
  if (!host.trust.allows_reuse(Clock::now())) {
    return nullptr;
  }
  while (!host.idle.empty()) {
    const auto now = Clock::now();
    const Duration wait = host.idle.front()->idle_since() + host.trust.quiet_period(now) - now;
    if (open_connections_ < limits_.connections && !host.wait_load.accepts(now, wait)) {
      host.wait_load = {};
      return nullptr;
    }
    if (auto connection = take_usable(host, 0)) {
      host.wait_load.add(now, wait);
      return connection;
    }
  }
  return nullptr;
}

// Removes an idle connection. Returns null if it may not be used, and closes it then.
std::shared_ptr<UpstreamConnection> UpstreamPool::take_usable(Host& host, std::size_t position) {
  auto connection = host.idle[position];
  host.idle.erase(host.idle.begin() + static_cast<std::ptrdiff_t>(position));
  if (has_expired(*connection)) {
    connection->close(HostCloseReason::idle_timeout);
    return nullptr;
  }
  const UpstreamConnection::Input input = connection->input();
  if (input.kind == UpstreamConnection::Input::Kind::none) {
    return connection;
  }
  close_after_input(*connection, input);
  return nullptr;
}

bool UpstreamPool::has_expired(const UpstreamConnection& connection) const {
  if (limits_.idle_timeout <= Duration::zero()) {
    return false;
  }
  const Duration margin = std::min(kIdleMargin, limits_.idle_timeout / kIdleMarginDivisor);
  return Clock::now() - connection.idle_since() >= limits_.idle_timeout - margin;
}

bool UpstreamPool::close_oldest_idle() {
  std::vector<std::shared_ptr<UpstreamConnection>>* oldest = nullptr;
  for (auto& [id, host] : hosts_) {
    if (!host.idle.empty() &&
        (oldest == nullptr || host.idle.front()->idle_since() < oldest->front()->idle_since())) {
      oldest = &host.idle;
    }
  }
  if (oldest == nullptr) {
    return false;
  }
  oldest->front()->close(HostCloseReason::no_capacity);
  oldest->erase(oldest->begin());
  return true;
}

void UpstreamPool::sweep() {
  const runtime::WorkMonitor::Scope scope(work_monitor_, "host_sweep");
  while (open_connections_ > limits_.connections && close_oldest_idle()) {
    // set_limits() may have lowered the limit.
  }
  for (auto& [id, host] : hosts_) {
    const bool allows_reuse = host.trust.allows_reuse(Clock::now());
    std::erase_if(host.idle, [&, serving = host.serving](const auto& connection) {
      if (!allows_reuse && Clock::now() - connection->idle_since() >= kObservationPeriod) {
        connection->close(HostCloseReason::host_distrusted);
        return true;
      }
      if (serving && !has_expired(*connection)) {
        return false;
      }
      connection->close(serving ? HostCloseReason::idle_timeout : HostCloseReason::not_in_use);
      return true;
    });
  }
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this, alive = std::weak_ptr(lifetime_)](error_code ec) {
    if (!ec && !alive.expired()) {
      sweep();
    }
  });
}

}  // namespace gateway::http
