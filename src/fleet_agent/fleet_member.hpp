/// @file
/// One member of a fleet: runs the membership protocol and the shared state on the event loop and
/// logs their events. It makes no decisions: those are made in src/membership, src/fleet_state and
/// the balancer.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fleet_agent/event_log.hpp"
#include "fleet_agent/fleet_agent.hpp"
#include "fleet_agent/operator_file.hpp"
#include "fleet_state/fleet_state.hpp"
#include "membership/transport.hpp"

namespace gateway::fleet_agent {

/// What a process is in its fleet.
enum class MemberRole {
  member,
  /// The process of a new version, while the old one still holds the member's address. It issues no
  /// tokens of limits but gets those that the others spare, and it reports no results of hosts.
  successor
};

/// Used on the event loop's thread only.
class FleetMember {
 public:
  /// Joins the fleet. `socket` is bound; its executor must outlive the member. Throws
  /// OperatorFileError if the event log cannot be opened.
  FleetMember(boost::asio::ip::udp::socket socket, Config config, MemberRole role,
              GatewayControls controls);
  FleetMember(const FleetMember&) = delete;
  FleetMember& operator=(const FleetMember&) = delete;

  // See the functions of the same name in FleetAgent.
  bool try_admit(std::string_view request_class, std::string_view tenant);
  void on_retry_sent();
  std::uint64_t allowed_retries() const;
  void on_attempt_result(const std::string& uid, bool success);
  void on_hosts(std::vector<std::string> uids);
  std::string status_json() const;
  void leave();

  /// It has joined the fleet and issues its share of the limits, if there are any.
  bool is_settled() const;
  std::vector<membership::Address> alive_peers() const;
  const std::set<std::string>& ejected_hosts() const { return ejected_hosts_; }

 private:
  using Time = fleet_state::Time;
  using FleetState = fleet_state::FleetState;

  // Unix time, advanced by the monotonic clock: the system clock is read once, because a step back
  // of it would make expired tokens valid again.
  Time now() const {
    return unix_time_at_start_ + (std::chrono::steady_clock::now() - steady_time_at_start_);
  }
  membership::Transport::Callbacks transport_callbacks();
  void log_event(const nlohmann::ordered_json& fields) { log_.write(now(), fields); }
  void log_start();
  void log_usage();
  void add_gauges(nlohmann::ordered_json& line) const;
  void on_member_change(const membership::MemberChange& change);
  void update_view();
  void tick();
  void send_updates();
  void apply_ejections();
  void set_ejected(const std::string& host, bool ejected);
  nlohmann::ordered_json members_json() const;
  nlohmann::ordered_json limits_json() const;
  nlohmann::ordered_json health_reports_json() const;
  nlohmann::ordered_json datagrams_json() const;

  // Expires with this object: a handler that is queued by then has no error and must not run.
  std::shared_ptr<const bool> lifetime_ = std::make_shared<const bool>(true);
  Config config_;
  MemberRole role_;
  GatewayControls controls_;
  std::chrono::steady_clock::time_point steady_time_at_start_ = std::chrono::steady_clock::now();
  Time unix_time_at_start_ = std::chrono::system_clock::now().time_since_epoch();
  std::uint64_t incarnation_id_;  // of this process
  EventLog log_;
  FleetState fleet_state_;
  membership::Transport transport_;
  boost::asio::steady_timer timer_;
  fleet_state::FleetView view_;
  bool view_is_stale_ = true;
  std::set<std::string> ejected_hosts_;  // uids, as last passed to the controls
  Time urgent_update_sent_at_{};
  unsigned ticks_ = 0;
  FleetState::Counters logged_counters_;  // as of the latest "used" line
};

}  // namespace gateway::fleet_agent
