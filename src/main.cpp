// The gateway as a program: configuration, signals, exit codes.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <optional>

#include "fleet/agent.hpp"
#include "fleet/config.hpp"
#include "net/config.hpp"
#include "net/gateway.hpp"
#include "ops/admin_server.hpp"
#include "ops/console.hpp"

namespace {

constexpr int kFailed = 1, kBadConfig = 2;

using cairnjunction::Config;
using cairnjunction::Reading;

void log(const std::string& line) { std::cerr << line << '\n'; }

Config readFile(Reading reading) {
  return cairnjunction::readConfig([](const char* name) { return std::getenv(name); }, reading);
}

// SIGHUP: the file is read anew. A bad one is a line in the log, and the old settings go on.
void reloadAtEachHangup(boost::asio::signal_set& hangups, cairnjunction::Gateway& gateway) {
  hangups.async_wait([&](boost::system::error_code ec, int) {
    if (ec) return;
    try {
      gateway.reload(readFile(Reading::again));
      log("configuration read again");
    } catch (const std::exception& bad) {
      log(std::string("configuration not taken: ") + bad.what());
    }
    reloadAtEachHangup(hangups, gateway);
  });
}

// What operators set is kept where the next process of this gateway finds it.
std::string stateDirectory(const Config& config) {
  const char* base = std::getenv("TMPDIR");
  if (!base || !*base) {
    log("TMPDIR is not set: hosts taken out are forgotten when this process ends");
    return {};
  }
  return std::string(base) + "/" + cairnjunction::fileNameOf(config.name) + "-state";
}

// What the gateway shares with its fleet; nothing unless an operator names a file.
std::optional<fennelridge::fleet::Config> readFleet(const Config& config) {
  const char* file = std::getenv("GW_FLEET");
  if (!file || !*file) return std::nullopt;
  return fennelridge::fleet::readFleetFile(file, config.name);
}

void joinFleet(boost::asio::io_context& io, cairnjunction::Gateway& gateway,
               std::optional<fennelridge::fleet::Agent>& agent, fennelridge::fleet::Config config) {
  agent.emplace(io, std::move(config),
                fennelridge::fleet::Agent::Controls{
                    [&](const std::string& uid, bool out) { gateway.takeOutForFleet(uid, out); },
                    [&] { gateway.allowanceMoved(); }, log});
  gateway.joinFleet(
      {[&](std::string_view cls, std::string_view tenant) { return agent->mayTake(cls, tenant); },
       [&] { agent->retried(); }, [&] { return agent->retriesAllowed(); },
       [&](const std::string& uid, bool good) { agent->attemptEnded(uid, good); },
       [&](std::vector<std::string> uids) { agent->listed(std::move(uids)); }});
}

int serve() {
  boost::asio::io_context io(1);
  // Danger: until they are taken, signals end the process; so before anything that takes its time.
  boost::asio::signal_set stops(io, SIGTERM, SIGINT), hangups(io, SIGHUP);
  const Config config = readFile(Reading::atStart);
  std::optional<fennelridge::fleet::Config> fleetConfig = readFleet(config);
  std::optional<fennelridge::fleet::Agent> agent;  // outlives the gateway, which asks and tells it
  cairnjunction::Gateway gateway(io, config, {}, log);
  cairnjunction::Console console(
      stateDirectory(config), std::chrono::ceil<std::chrono::seconds>(config.module.coldTime),
      {[&] { return gateway.takesClients(); }, [&](bool drained) { gateway.setDrained(drained); },
       [&](const std::string& uid, bool out) { gateway.takeOut(uid, out); },
       [&](bool paired) { gateway.setPaired(paired); }, log});
  gateway.onListed([&](const std::string& uid) { console.listed(uid); });
  cairnjunction::ConsoleWatch watch(io, console);
  if (fleetConfig) joinFleet(io, gateway, agent, std::move(*fleetConfig));
  std::optional<cairnjunction::AdminServer> admin;
  if (config.admin)
    admin.emplace(io, *config.admin, cairnjunction::AdminServer::Limits{},
                  [&](const cairnjunction::AdminCall& call) {
                    if (agent && call.path == "/fleet" && call.method == "GET")
                      return cairnjunction::AdminReply{200, agent->report(), {}};
                    return console.handle(call);
                  });
  stops.async_wait([&](boost::system::error_code ec, int) {
    if (ec) return;
    gateway.stop([&] {
      if (agent) agent->leave();
      io.stop();
    });
  });
  reloadAtEachHangup(hangups, gateway);
  io.run();
  return 0;
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);  // a peer that left shows as an error of the write
  try {
    return serve();
  } catch (const cairnjunction::BadConfig& bad) {
    std::cerr << "cairnjunction: " << bad.what() << '\n';
    return kBadConfig;
  } catch (const fennelridge::fleet::BadFleetFile& bad) {
    std::cerr << "cairnjunction: " << bad.what() << '\n';
    return kBadConfig;
  } catch (const std::exception& bad) {
    std::cerr << "cairnjunction: " << bad.what() << '\n';
    return kFailed;
  }
}
