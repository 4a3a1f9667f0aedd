/// @file
/// The gateway's program: configuration, signals, operators' calls, fleet and exit codes.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <optional>

#include "admin/admin_server.hpp"
#include "admin/admin_service.hpp"
#include "admin/marker_file_name.hpp"
#include "config/config.hpp"
#include "event_log/event_log.hpp"
#include "event_log/log_settings.hpp"
#include "fleet_agent/fleet_agent.hpp"
#include "fleet_agent/operator_file.hpp"
#include "gateway/gateway.hpp"

namespace {

// Exit codes.
constexpr int kFailed = 1;
constexpr int kBadConfig = 2;

gateway::config::Config read_config(gateway::config::LoadReason reason) {
  return gateway::config::load_config([](const char* name) { return std::getenv(name); }, reason);
}

// Reloads the configuration on each SIGHUP. An invalid configuration is logged, and the previous
// one stays in use.
void reload_on_hangup(boost::asio::signal_set& hangup_signals, gateway::Gateway& gateway,
                      gateway::event_log::EventLog& log) {
  hangup_signals.async_wait([&](boost::system::error_code ec, int) {
    if (ec) {
      return;
    }
    try {
      gateway.reload(read_config(gateway::config::LoadReason::reload));
      log.write_line("configuration read again");
    } catch (const std::exception& error) {
      log.write_line(std::string("configuration not taken: ") + error.what());
    }
    reload_on_hangup(hangup_signals, gateway, log);
  });
}

// The directory of the state that operators have set, which the processes of this gateway share. If
// TMPDIR is not set, it is empty: the state is then not stored.
std::string state_directory(const gateway::config::Config& config,
                            gateway::event_log::EventLog& log) {
  const char* base = std::getenv("TMPDIR");
  if (!base || !*base) {
    log.write_line(
        "TMPDIR is not set: the maintenance of hosts is forgotten when this process ends");
    return {};
  }
  return std::string(base) + "/" + gateway::admin::file_name_of(config.name) + "-state";
}

// The configuration of the fleet agent, or nothing if GW_FLEET names no file: the gateway then
// belongs to no fleet.
std::optional<gateway::fleet_agent::Config> read_fleet_config(
    const gateway::config::Config& config) {
  const char* file = std::getenv("GW_FLEET");
  if (!file || !*file) {
    return std::nullopt;
  }
  return gateway::fleet_agent::load_operator_file(file, config.name);
}

void join_fleet(boost::asio::io_context& io, gateway::Gateway& gateway,
                std::optional<gateway::fleet_agent::FleetAgent>& agent,
                gateway::fleet_agent::Config config, gateway::event_log::EventLog& log) {
  using gateway::fleet_agent::StartMode;
  agent.emplace(io, std::move(config),
                gateway.may_have_sibling() ? StartMode::beside_another_process : StartMode::alone,
                gateway::fleet_agent::GatewayControls{[&](const std::string& uid, bool ejected) {
                                                        gateway.set_maintenance_by_fleet(uid,
                                                                                         ejected);
                                                      },
                                                      [&] { gateway.update_retry_allowance(); },
                                                      [&](const std::string& line) {
                                                        log.write_line(line);
                                                      }});
  gateway.join_fleet(
      {[&](std::string_view request_class, std::string_view tenant) {
         return agent->try_admit(request_class, tenant);
       },
       [&] { agent->on_retry_sent(); }, [&] { return agent->allowed_retries(); },
       [&](const std::string& uid, bool success) { agent->on_attempt_result(uid, success); },
       [&](std::vector<std::string> uids) {
         agent->on_hosts(std::move(uids));
       }});
}

// The calls that only show state are answered here, the others by the service.
gateway::admin::AdminReply handle_admin_call(
    const gateway::admin::AdminCall& call, gateway::admin::AdminService& service,
    const std::optional<gateway::fleet_agent::FleetAgent>& agent, const gateway::Gateway& gateway,
    const gateway::event_log::EventLog& log) {
  if (agent && call.path == "/fleet" && call.method == "GET") {
    return {200, agent->status_json(), {}};
  }
  if (call.path == "/events" && call.method == "GET") {
    return {200, log.counters_json(), {}};
  }
  if (call.path == "/resources" && call.method == "GET") {
    return {200, gateway.resources_json(), {}};
  }
  return service.handle(call);
}

void stop_on_signal(boost::asio::signal_set& stop_signals, boost::asio::io_context& io,
                    gateway::Gateway& gateway,
                    std::optional<gateway::fleet_agent::FleetAgent>& agent) {
  stop_signals.async_wait([&](boost::system::error_code ec, int) {
    if (ec) {
      return;
    }
    gateway.stop([&] {
      if (agent) {
        agent->leave();
      }
      io.stop();
    });
  });
}

int serve() {
  boost::asio::io_context io(1);
  // Before anything that takes time: without these handlers a signal ends the process at once.
  boost::asio::signal_set stop_signals(io, SIGTERM, SIGINT);
  boost::asio::signal_set hangup_signals(io, SIGHUP);
  const gateway::config::Config config = read_config(gateway::config::LoadReason::startup);
  std::optional<gateway::fleet_agent::Config> fleet_config = read_fleet_config(config);
  std::optional<gateway::fleet_agent::FleetAgent> agent;  // outlives the gateway, which calls it
  gateway::event_log::EventLog log(
      gateway::event_log::read_log_settings([](const char* name) { return std::getenv(name); }));
  gateway::Gateway::Overrides overrides;
  overrides.state_directory = state_directory(config, log);
  gateway::Gateway gateway(io, config, overrides, log);
  gateway::admin::AdminService admin_service(
      overrides.state_directory,
      std::chrono::ceil<std::chrono::seconds>(config.balancer_settings.warmup_duration),
      {[&] { return gateway.is_available(); }, [&](bool drained) { gateway.set_drained(drained); },
       [&](const std::string& uid, bool in_maintenance) {
         gateway.set_maintenance(uid, in_maintenance);
       },
       [&](bool has_sibling) { gateway.set_has_sibling(has_sibling); },
       [&](const std::string& line) {
         log.write_line(line);
       }});
  gateway.on_endpoint_listed(
      [&](const std::string& uid) { admin_service.on_endpoint_listed(uid); });
  gateway::admin::AdminStatePoller admin_state_poller(io, admin_service);
  if (fleet_config) {
    join_fleet(io, gateway, agent, std::move(*fleet_config), log);
  }
  std::optional<gateway::admin::AdminServer> admin_server;
  if (config.admin) {
    admin_server.emplace(io, *config.admin, gateway::admin::AdminServer::Limits{},
                         [&](const gateway::admin::AdminCall& call) {
                           return handle_admin_call(call, admin_service, agent, gateway, log);
                         });
  }
  stop_on_signal(stop_signals, io, gateway, agent);
  reload_on_hangup(hangup_signals, gateway, log);
  io.run();
  return 0;
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);  // a write to a closed connection returns an error instead
  try {
    return serve();
  } catch (const gateway::config::ConfigError& error) {
    std::cerr << "gateway: " << error.what() << '\n';
    return kBadConfig;
  } catch (const gateway::event_log::LogSettingsError& error) {
    std::cerr << "gateway: " << error.what() << '\n';
    return kBadConfig;
  } catch (const gateway::fleet_agent::OperatorFileError& error) {
    std::cerr << "gateway: " << error.what() << '\n';
    return kBadConfig;
  } catch (const std::exception& error) {
    std::cerr << "gateway: " << error.what() << '\n';
    return kFailed;
  }
}
