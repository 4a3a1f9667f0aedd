// The gateway as a program: configuration, signals, exit codes.
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
#include "fleet_agent/fleet_agent.hpp"
#include "fleet_agent/operator_file.hpp"
#include "gateway/gateway.hpp"

namespace {

constexpr int kFailed = 1, kBadConfig = 2;

void log(const std::string& line) {
  std::cerr << line << '\n';
}

gateway::config::Config read_file(gateway::config::ConfigSource reading) {
  return gateway::config::load_config([](const char* name) { return std::getenv(name); }, reading);
}

// SIGHUP: the file is read anew. A bad one is a line in the log, and the old settings go on.
void reload_at_each_hangup(boost::asio::signal_set& hangups, gateway::Gateway& gateway) {
  hangups.async_wait([&](boost::system::error_code ec, int) {
    if (ec) {
      return;
    }
    try {
      gateway.reload(read_file(gateway::config::ConfigSource::again));
      log("configuration read again");
    } catch (const std::exception& bad) {
      log(std::string("configuration not taken: ") + bad.what());
    }
    reload_at_each_hangup(hangups, gateway);
  });
}

// What operators set is kept where the next process of this gateway finds it.
std::string state_directory(const gateway::config::Config& config) {
  const char* base = std::getenv("TMPDIR");
  if (!base || !*base) {
    log("TMPDIR is not set: hosts taken out are forgotten when this process ends");
    return {};
  }
  return std::string(base) + "/" + gateway::admin::file_name_of(config.name) + "-state";
}

// What the gateway shares with its fleet; nothing unless an operator names a file.
std::optional<gateway::fleet_agent::Config> read_fleet(const gateway::config::Config& config) {
  const char* file = std::getenv("GW_FLEET");
  if (!file || !*file) {
    return std::nullopt;
  }
  return gateway::fleet_agent::load_operator_file(file, config.name);
}

void join_fleet(boost::asio::io_context& io, gateway::Gateway& gateway,
                std::optional<gateway::fleet_agent::FleetAgent>& agent,
                gateway::fleet_agent::Config config) {
  agent.emplace(
      io, std::move(config),
      gateway::fleet_agent::GatewayControls{
          [&](const std::string& uid, bool out) { gateway.set_maintenance_by_fleet(uid, out); },
          [&] { gateway.update_retry_allowance(); }, log});
  gateway.join_fleet(
      {[&](std::string_view cls, std::string_view tenant) { return agent->try_admit(cls, tenant); },
       [&] { agent->on_retry_sent(); }, [&] { return agent->allowed_retries(); },
       [&](const std::string& uid, bool good) { agent->on_attempt_result(uid, good); },
       [&](std::vector<std::string> uids) {
         agent->on_hosts(std::move(uids));
       }});
}

int serve() {
  boost::asio::io_context io(1);
  // Danger: until they are taken, signals end the process; so before anything that takes its time.
  boost::asio::signal_set stops(io, SIGTERM, SIGINT);
  boost::asio::signal_set hangups(io, SIGHUP);
  const gateway::config::Config config = read_file(gateway::config::ConfigSource::at_start);
  std::optional<gateway::fleet_agent::Config> fleet_config = read_fleet(config);
  std::optional<gateway::fleet_agent::FleetAgent>
      agent;  // outlives the gateway, which asks and tells it
  gateway::Gateway gateway(io, config, {}, log);
  gateway::admin::AdminService console(
      state_directory(config),
      std::chrono::ceil<std::chrono::seconds>(config.module.warmup_duration),
      {[&] { return gateway.is_available(); }, [&](bool drained) { gateway.set_drained(drained); },
       [&](const std::string& uid, bool out) { gateway.set_maintenance(uid, out); },
       [&](bool paired) { gateway.set_has_sibling(paired); }, log});
  gateway.on_endpoint_listed([&](const std::string& uid) { console.on_endpoint_listed(uid); });
  gateway::admin::AdminStatePoller watch(io, console);
  if (fleet_config) {
    join_fleet(io, gateway, agent, std::move(*fleet_config));
  }
  std::optional<gateway::admin::AdminServer> admin;
  if (config.admin) {
    admin.emplace(io, *config.admin, gateway::admin::AdminServer::Limits{},
                  [&](const gateway::admin::AdminCall& call) {
                    if (agent && call.path == "/fleet" && call.method == "GET") {
                      return gateway::admin::AdminReply{200, agent->status_json(), {}};
                    }
                    return console.handle(call);
                  });
  }
  stops.async_wait([&](boost::system::error_code ec, int) {
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
  reload_at_each_hangup(hangups, gateway);
  io.run();
  return 0;
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);  // a peer that left shows as an error of the write
  try {
    return serve();
  } catch (const gateway::config::ConfigError& bad) {
    std::cerr << "gateway: " << bad.what() << '\n';
    return kBadConfig;
  } catch (const gateway::fleet_agent::OperatorFileError& bad) {
    std::cerr << "gateway: " << bad.what() << '\n';
    return kBadConfig;
  } catch (const std::exception& bad) {
    std::cerr << "gateway: " << bad.what() << '\n';
    return kFailed;
  }
}
