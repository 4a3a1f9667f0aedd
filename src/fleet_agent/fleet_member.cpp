#include "fleet_agent/fleet_member.hpp"

#include <sys/random.h>

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "fleet_agent/successor_name.hpp"

namespace gateway::fleet_agent {

using fleet_state::Time;
using nlohmann::ordered_json;

namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(100);
constexpr unsigned kTicksPerGaugeLine = 10;  // one line of gauges per second
// Members to which an urgent update is sent without waiting for a protocol message to carry it, and
// the minimum time between two such updates. Gossip delivers it to the other members.
constexpr std::size_t kUrgentUpdateRecipients = 1;
constexpr auto kUrgentUpdateInterval = std::chrono::milliseconds(400);

// Returns a random id other than 0; in payloads 0 means that there is no id.
std::uint64_t random_incarnation_id() {
  std::uint64_t id = 0;
  if (::getrandom(&id, sizeof id, 0) != sizeof id) {
    id = static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
  }
  return id | 1;
}

double to_tokens(fleet_state::Amount amount) {
  return static_cast<double>(amount) / fleet_state::kOneToken;
}

}  // namespace

FleetMember::FleetMember(boost::asio::ip::udp::socket socket, Config config, MemberRole role,
                         GatewayControls controls)
    : config_(std::move(config)),
      role_(role),
      controls_(std::move(controls)),
      incarnation_id_(random_incarnation_id()),
      log_(config_.event_log_path),
      fleet_state_(config_.fleet_state, config_.membership.name, incarnation_id_, now()),
      transport_(std::move(socket), membership::fleet_id(config_.fleet_name), config_.membership,
                 static_cast<std::uint64_t>(now() / std::chrono::milliseconds(1)), incarnation_id_,
                 transport_callbacks()),
      timer_(transport_.executor()) {
  logged_counters_.admitted.resize(config_.fleet_state.limits.size());
  log_start();
  update_view();
  transport_.join(config_.seeds);
  tick();
}

membership::Transport::Callbacks FleetMember::transport_callbacks() {
  membership::Transport::Callbacks callbacks;
  callbacks.payload_for = [this](const std::string& member, std::size_t max_bytes) {
    return fleet_state_.payload_for(member, max_bytes);
  };
  callbacks.on_payload = [this](const std::string& member, std::string_view payload) {
    fleet_state_.on_payload(now(), member, payload);
    controls_.on_allowed_retries_changed();
  };
  callbacks.on_change = [this](const membership::MemberChange& change) {
    on_member_change(change);
  };
  return callbacks;
}

// --- Membership

void FleetMember::on_member_change(const membership::MemberChange& change) {
  view_is_stale_ = true;
  if (change.kind == membership::MemberChangeKind::forgotten) {
    return;
  }
  const bool joined = change.kind == membership::MemberChangeKind::joined;
  log_event({{"ev", "member"},
             {"name", change.name},
             {"from", joined ? "unknown" : std::string(to_string(change.from))},
             {"to", std::string(to_string(change.to))}});
}

bool FleetMember::is_settled() const {
  return fleet_state_.is_bootstrapped() &&
         (config_.fleet_state.limits.empty() || fleet_state_.issues_limit_tokens());
}

std::vector<membership::Address> FleetMember::alive_peers() const {
  std::vector<membership::Address> addresses;
  for (const auto& [name, member] : transport_.membership().peers()) {
    if (is_alive_or_suspect(member.state)) {
      addresses.push_back(member.address);
    }
  }
  return addresses;
}

bool FleetMember::try_admit(std::string_view request_class, std::string_view tenant) {
  return fleet_state_.try_admit(now(), request_class, tenant);
}

void FleetMember::on_retry_sent() {
  fleet_state_.on_retry_sent(now());
}

std::uint64_t FleetMember::allowed_retries() const {
  const unsigned retries = fleet_state_.allowed_retries();
  return retries == FleetState::kUnlimited ? UINT64_MAX : retries;
}

// A successor observes the same hosts as the member that it succeeds, which must not count twice.
void FleetMember::on_attempt_result(const std::string& uid, bool success) {
  if (role_ == MemberRole::member) {
    fleet_state_.on_attempt_result(now(), uid, success);
  }
}

void FleetMember::on_hosts(std::vector<std::string> uids) {
  fleet_state_.on_hosts(std::move(uids));
}

// Updates the shared state's view of the fleet. `is_bootstrapped` is false if this process is
// superseded, or if the fleet should have several members and no other member is known.
void FleetMember::update_view() {
  view_is_stale_ = false;
  const membership::Membership& membership = transport_.membership();
  const bool has_joined_fleet =
      membership.known_count() > 1 || config_.fleet_state.min_members <= 1;
  view_.alive_count = membership.alive_count();
  view_.known_count = membership.known_count();
  view_.is_bootstrapped = !membership.is_superseded() && has_joined_fleet;
  view_.issues_limit_tokens = role_ == MemberRole::member;
  view_.non_issuing_count = role_ == MemberRole::member ? 0 : 1;
  view_.alive_members = {config_.membership.name};
  for (const auto& [name, member] : membership.peers()) {
    if (is_successor_name(name) && member.state != membership::MemberState::left) {
      ++view_.non_issuing_count;
    }
    if (is_alive_or_suspect(member.state)) {
      view_.alive_members.insert(name);
    }
  }
}

void FleetMember::leave() {
  timer_.cancel();
  log_event({{"ev", "leave"}});
  transport_.leave();
}

// --- Ticks

void FleetMember::tick() {
  if (view_is_stale_) {
    update_view();
  }
  fleet_state_.on_tick(now(), view_);
  apply_ejections();
  send_updates();
  controls_.on_allowed_retries_changed();
  log_usage();
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this, alive = std::weak_ptr(lifetime_)](boost::system::error_code ec) {
    if (!ec && !alive.expired()) {
      tick();
    }
  });
}

// Sends the payloads that cannot wait for a protocol message to carry them.
void FleetMember::send_updates() {
  if (fleet_state_.has_urgent_update() && now() - urgent_update_sent_at_ >= kUrgentUpdateInterval) {
    urgent_update_sent_at_ = now();
    transport_.broadcast_payload(kUrgentUpdateRecipients);
  }
  for (const std::string& member : fleet_state_.pending_transfers()) {
    transport_.send_payload_to(member);
  }
}

// Passes the hosts that were ejected or returned since the latest call to the gateway.
void FleetMember::apply_ejections() {
  if (fleet_state_.ejected_hosts() == ejected_hosts_) {
    return;
  }
  const std::set<std::string> previously_ejected =
      std::exchange(ejected_hosts_, fleet_state_.ejected_hosts());
  for (const std::string& host : previously_ejected) {
    if (!ejected_hosts_.contains(host)) {
      set_ejected(host, false);
    }
  }
  for (const std::string& host : ejected_hosts_) {
    if (!previously_ejected.contains(host)) {
      set_ejected(host, true);
    }
  }
}

void FleetMember::set_ejected(const std::string& host, bool ejected) {
  controls_.set_host_ejected(host, ejected);
  controls_.log(
      "fleet: host " + host +
      (ejected ? " ejected: a quorum of members reports it unhealthy" : " no longer ejected"));
  ordered_json observers = ordered_json::array();
  for (const auto& [key, report] : fleet_state_.outlier_consensus().reports()) {
    if (key.host == host && report.status == fleet_state::HealthStatus::unhealthy) {
      observers.push_back(key.observer);
    }
  }
  log_event({{"ev", ejected ? "host_out" : "host_back"},
             {"host", host},
             {"bad_by", observers},
             {"cap", fleet_state_.outlier_consensus().max_ejected()},
             {"alive", view_.alive_count},
             {"known", view_.known_count}});
}

// --- Log

// Logs the start of this process with the settings of its retry budget and rate limits.
void FleetMember::log_start() {
  constexpr double kNoRetryBudget = -1;
  const fleet_state::FleetStateConfig& shared = config_.fleet_state;
  log_event({{"ev", "start"},
             {"name", config_.membership.name},
             {"life", incarnation_id_},
             {"fleet", config_.fleet_name},
             {"members", shared.min_members},
             {"slot_ms", shared.slot_duration / std::chrono::milliseconds(1)},
             {"retry_share", shared.retry_ratio.value_or(kNoRetryBudget)},
             {"retry_slots", shared.retry_token_lifetime_slots},
             {"limit_slots", shared.limit_token_lifetime_slots}});
}

// Logs the requests, retries and rejections since the latest such line, if there were any, and once
// a second also the gauges. The laboratory's fleet check adds up the lines of all members.
void FleetMember::log_usage() {
  const FleetState::Counters& current = fleet_state_.counters();
  const FleetState::Counters& logged = logged_counters_;
  ++ticks_;
  const bool with_gauges = ticks_ % kTicksPerGaugeLine == 0;
  const bool changed = current.requests != logged.requests || current.retries != logged.retries ||
                       current.rejected != logged.rejected;
  if (!log_.enabled() || (!with_gauges && !changed)) {
    return;
  }
  ordered_json line{{"ev", "used"},
                    {"requests", current.requests - logged.requests},
                    {"retries", current.retries - logged.retries},
                    {"refused", current.rejected - logged.rejected}};
  if (!current.admitted.empty()) {
    ordered_json admitted = ordered_json::object();
    for (std::size_t i = 0; i < current.admitted.size(); ++i) {
      admitted[config_.fleet_state.limits[i].name] = current.admitted[i] - logged.admitted[i];
    }
    line["admitted"] = std::move(admitted);
  }
  logged_counters_ = current;
  if (with_gauges) {
    add_gauges(line);
  }
  log_event(line);
}

void FleetMember::add_gauges(ordered_json& line) const {
  const FleetState::Counters& counters = fleet_state_.counters();
  const membership::Transport::Counters& datagrams = transport_.counters();
  line.update({{"alive", view_.alive_count},
               {"known", view_.known_count},
               {"rights", to_tokens(fleet_state_.retry_tokens().held())},
               {"overdrawn", counters.retries_overdrawn},
               {"bad_payloads", counters.bad_payloads},
               {"sent_bytes", datagrams.sent_bytes},
               {"sent", datagrams.sent},
               {"received", datagrams.received},
               {"dropped", datagrams.malformed + datagrams.other_fleet + datagrams.other_format},
               {"fleet_requests", fleet_state_.fleet_counter().total(FleetState::kRequests)},
               {"health", transport_.membership().local_health_score()}});
}

// --- GET /fleet

ordered_json FleetMember::members_json() const {
  ordered_json members = ordered_json::object();
  for (const auto& [name, member] : transport_.membership().peers()) {
    members[name] = {{"state", std::string(to_string(member.state))},
                     {"address", to_string(member.address)}};
  }
  return members;
}

ordered_json FleetMember::limits_json() const {
  const FleetState::Counters& counters = fleet_state_.counters();
  ordered_json limits = ordered_json::object();
  for (std::size_t i = 0; i < counters.admitted.size(); ++i) {
    limits[config_.fleet_state.limits[i].name] = {
        {"admitted", counters.admitted[i]},
        {"fleet_admitted", fleet_state_.fleet_counter().total(FleetState::kFirstLimit + i)},
        {"rights", to_tokens(fleet_state_.limit_tokens()[i].held())}};
  }
  return limits;
}

ordered_json FleetMember::health_reports_json() const {
  ordered_json reports = ordered_json::object();
  for (const auto& [key, report] : fleet_state_.outlier_consensus().reports()) {
    reports[key.host][key.observer] = {{"verdict", std::string(to_string(report.status))},
                                       {"good", report.successes},
                                       {"failed", report.failures},
                                       {"at_ms", report.created_at_ms}};
  }
  return reports;
}

ordered_json FleetMember::datagrams_json() const {
  const membership::Transport::Counters& datagrams = transport_.counters();
  return {{"sent", datagrams.sent},
          {"sent_bytes", datagrams.sent_bytes},
          {"received", datagrams.received},
          {"malformed", datagrams.malformed},
          {"other_fleet", datagrams.other_fleet},
          {"other_format", datagrams.other_format},
          {"not_its_address", datagrams.sender_mismatches},
          {"bad_payloads", fleet_state_.counters().bad_payloads},
          {"other_plan", fleet_state_.counters().other_config}};
}

std::string FleetMember::status_json() const {
  const membership::Membership& membership = transport_.membership();
  const FleetState::Counters& counters = fleet_state_.counters();
  const fleet_state::GrowOnlyCounter& fleet_counter = fleet_state_.fleet_counter();
  const ordered_json status{{"fleet", config_.fleet_name},
                            {"name", config_.membership.name},
                            {"settled", fleet_state_.is_bootstrapped()},
                            {"superseded", membership.is_superseded()},
                            {"alive", membership.alive_count()},
                            {"known", membership.known_count()},
                            {"health", membership.local_health_score()},
                            {"requests",
                             {{"taken", counters.requests},
                              {"refused", counters.rejected},
                              {"fleet_taken", fleet_counter.total(FleetState::kRequests)}}},
                            {"retries",
                             {{"sent", counters.retries},
                              {"overdrawn", counters.retries_overdrawn},
                              {"rights", to_tokens(fleet_state_.retry_tokens().held())},
                              {"fleet_sent", fleet_counter.total(FleetState::kRetries)}}},
                            {"limits", limits_json()},
                            {"hosts_out", fleet_state_.ejected_hosts()},
                            {"hosts_judged", health_reports_json()},
                            {"datagrams", datagrams_json()},
                            {"members", members_json()}};
  return status.dump();
}

}  // namespace gateway::fleet_agent
