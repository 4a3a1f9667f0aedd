#include "fleet_agent/fleet_agent.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "fleet_agent/fleet_member.hpp"
#include "fleet_agent/successor_name.hpp"

namespace gateway::fleet_agent {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

// Interval at which a successor tries to take over the member's address.
constexpr auto kTakeoverInterval = std::chrono::milliseconds(50);

// Returns nothing if another process holds the address.
std::optional<udp::socket> bind_if_free(asio::io_context& io, const udp::endpoint& endpoint) {
  udp::socket socket(io, endpoint.protocol());
  error_code ec;
  socket.bind(endpoint, ec);
  if (ec == asio::error::address_in_use) {
    return std::nullopt;
  }
  if (ec) {
    throw boost::system::system_error(ec, "bind");
  }
  return socket;
}

}  // namespace

class FleetAgent::Impl {
 public:
  Impl(asio::io_context& io, Config config, StartMode mode, GatewayControls controls)
      : io_(io), config_(std::move(config)), controls_(std::move(controls)), timer_(io) {
    if (auto socket = bind_if_free(io_, config_.listen)) {
      start_member(std::move(*socket), {});
      return;
    }
    if (mode == StartMode::alone) {
      throw boost::system::system_error(asio::error::address_in_use, "bind");
    }
    start_successor();
    wait_for_address();
  }

  // The part of this process in the fleet. While it takes over from another process, the successor
  // admits until the member does.
  FleetMember& active() { return successor_ ? *successor_ : *member_; }
  const FleetMember& active() const { return successor_ ? *successor_ : *member_; }

  void on_hosts(std::vector<std::string> uids) {
    hosts_ = std::move(uids);
    if (successor_) {
      successor_->on_hosts(hosts_);
    }
    if (member_) {
      member_->on_hosts(hosts_);
    }
  }
  void leave() {
    timer_.cancel();
    if (successor_) {
      successor_->leave();
    }
    if (member_) {
      member_->leave();
    }
  }

 private:
  void start_member(udp::socket socket, const std::vector<membership::Address>& known_peers) {
    Config config = config_;
    config.seeds.insert(config.seeds.end(), known_peers.begin(), known_peers.end());
    member_.emplace(std::move(socket), std::move(config), MemberRole::member,
                    controls_for(MemberRole::member));
    member_->on_hosts(hosts_);
  }

  // Joins through the process that holds the address as well: the fleet may have no other member.
  void start_successor() {
    udp::socket socket(io_, udp::endpoint(config_.listen.address(), 0));
    Config config = config_;
    config.seeds.push_back(config_.membership.address);
    config.membership.name = successor_name_of(config_.membership.name);
    config.membership.address.port = socket.local_endpoint().port();
    successor_.emplace(std::move(socket), std::move(config), MemberRole::successor,
                       controls_for(MemberRole::successor));
    controls_.log("fleet: another process holds " +
                  membership::to_string(config_.membership.address) + "; taking part as " +
                  successor_name_of(config_.membership.name) + " until it ends");
  }

  GatewayControls controls_for(MemberRole role) {
    GatewayControls controls = controls_;
    controls.set_host_ejected = [this, role](const std::string& uid, bool ejected) {
      const bool is_active = successor_.has_value() == (role == MemberRole::successor);
      if (is_active) {
        controls_.set_host_ejected(uid, ejected);
      }
    };
    return controls;
  }

  void wait_for_address() {
    timer_.expires_after(kTakeoverInterval);
    timer_.async_wait([this](error_code ec) {
      if (!ec) {
        take_over();
      }
    });
  }

  void take_over() {
    if (!member_) {
      if (auto socket = bind_if_free(io_, config_.listen)) {
        start_member(std::move(*socket), successor_->alive_peers());
      }
    }
    if (!member_ || !member_->is_settled()) {
      return wait_for_address();
    }
    end_succession();
  }

  void end_succession() {
    successor_->leave();
    const std::set<std::string> ejected = successor_->ejected_hosts();
    successor_.reset();
    for (const std::string& uid : ejected) {
      if (!member_->ejected_hosts().contains(uid)) {
        controls_.set_host_ejected(uid, false);
      }
    }
    for (const std::string& uid : member_->ejected_hosts()) {
      if (!ejected.contains(uid)) {
        controls_.set_host_ejected(uid, true);
      }
    }
    controls_.on_allowed_retries_changed();
    controls_.log("fleet: " + config_.membership.name + " has taken over " +
                  membership::to_string(config_.membership.address));
  }

  asio::io_context& io_;
  Config config_;
  GatewayControls controls_;
  std::vector<std::string> hosts_;
  std::optional<FleetMember> member_;
  std::optional<FleetMember> successor_;
  asio::steady_timer timer_;
};

FleetAgent::FleetAgent(asio::io_context& io, Config config, StartMode mode,
                       GatewayControls controls)
    : impl_(std::make_unique<Impl>(io, std::move(config), mode, std::move(controls))) {}

FleetAgent::~FleetAgent() = default;

bool FleetAgent::try_admit(std::string_view request_class, std::string_view tenant) {
  return impl_->active().try_admit(request_class, tenant);
}

void FleetAgent::on_retry_sent() {
  impl_->active().on_retry_sent();
}

std::uint64_t FleetAgent::allowed_retries() const {
  return impl_->active().allowed_retries();
}

void FleetAgent::on_attempt_result(const std::string& uid, bool success) {
  impl_->active().on_attempt_result(uid, success);
}

void FleetAgent::on_hosts(std::vector<std::string> uids) {
  impl_->on_hosts(std::move(uids));
}

std::string FleetAgent::status_json() const {
  return impl_->active().status_json();
}

void FleetAgent::leave() {
  impl_->leave();
}

}  // namespace gateway::fleet_agent
