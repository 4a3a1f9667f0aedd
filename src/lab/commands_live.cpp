// The sub-commands that work in real time, on loopback sockets.
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "lab/commands.hpp"
#include "lab/gateway_process.hpp"
#include "lab/live_day.hpp"
#include "lab/live_fleet.hpp"
#include "lab/real_time.hpp"
#include "lab/report.hpp"

namespace fennelridge::lab {
namespace {

namespace fs = std::filesystem;
using ordered = nlohmann::ordered_json;

struct LiveCommand : DayChoice {
  std::string gateway = besideThisProgram("cairnjunction"), out, report;
  bool json = false;
  std::vector<std::string> discoveryFaults, pauses;  // as given; read by readWindow
  double withinSpread = 0;                           // 0: not judged
};

// "EVERY:OFFSET:FROM:FOR" (gateways g % EVERY == OFFSET, seconds from the start of traffic), with a fault
// behind it for discovery: ":cut", ":reset" or ":delay=MS+JITTER". Throws CLI::ValidationError with one line.
LiveOptions::DiscoveryFault readWindow(const std::string& text, bool withFault) {
  LiveOptions::DiscoveryFault w;
  char kind[16] = {};
  long delay = 0, jitter = 0;
  int used = 0;
  const int n = std::sscanf(text.c_str(), "%u:%u:%lf:%lf%n:%15[a-z]%n=%ld+%ld", &w.every, &w.offset, &w.fromS,
                            &w.forS, &used, kind, &used, &delay, &jitter);
  const std::string k = kind;
  const bool good = w.every > 0 && w.offset < w.every && w.fromS >= 0 && w.forS > 0 &&
                    (withFault ? (n == 5 && (k == "cut" || k == "reset") && used == int(text.size())) ||
                                     (n == 7 && k == "delay" && delay >= 0 && jitter >= 0)
                               : n == 4 && used == int(text.size()));
  if (!good)
    throw CLI::ValidationError(
        text, withFault ? "want EVERY:OFFSET:FROM_S:FOR_S:cut|reset|delay=MS+JITTER_MS, "
                          "OFFSET under EVERY, FOR_S over 0"
                        : "want EVERY:OFFSET:FROM_S:FOR_S, OFFSET under EVERY, FOR_S over 0");
  w.fault.kind = k == "cut" ? Fault::Kind::cut : k == "reset" ? Fault::Kind::reset : Fault::Kind::delay;
  w.fault.delay = std::chrono::milliseconds(delay);
  w.fault.jitter = std::chrono::milliseconds(jitter);
  return w;
}

// The day with gateways whose files go with it; Ctrl-C ends it early.
LiveResult playHere(const Scenario& scenario, const LiveCommand& o, bool showEachSecond, bool demo) {
  heedInterrupts();
  TemporaryFolder folder;
  LiveOptions options;
  options.gateway = fs::absolute(o.gateway).string();
  options.folder = folder.path();
  options.showEachSecond = showEachSecond;
  options.demo = demo;
  options.stopped = interrupted;
  for (const std::string& f : o.discoveryFaults) options.discoveryFaults.push_back(readWindow(f, true));
  for (const std::string& p : o.pauses) options.pauses.push_back(readWindow(p, false));
  return playLive(scenario, o.seed, options);
}

int tell(const LiveResult& live, const LiveCommand& o) {
  ordered results{{"scenario", live.day.scenario}, {"days", ordered::array({toJson(live.day, true)})}};
  ordered& day = results["days"][0];
  day["live"] = {{"void", live.isVoid},
                 {"void_reason", live.voidReason},
                 {"latest_ms", live.latestMs},
                 {"gateway_cpu_us_a_request", live.gatewayCpuUs},
                 {"gateways_died", live.gatewaysDied},
                 {"spread", toJson(live.spread)},
                 {"landed_each_second", live.landed.seconds},
                 {"events", live.events}};
  if (!o.out.empty()) writeFile(o.out, results.dump(1) + "\n");
  if (!o.report.empty()) writeFile(o.report, renderReport(results, nullptr));
  if (o.json) {
    std::cout << results.dump(1) << '\n';
  } else {
    printDays({live.day});
    std::printf("gateways: %.0f us of CPU a request; the laboratory was %.1f ms late at most\n",
                live.gatewayCpuUs, live.latestMs);
    const Spread& sp = live.spread;
    std::printf("spread at the hosts: max/mean %.2f, variation %.2f, %u idle, herd peak %.2f\n",
                sp.maxOverMean, sp.variation, sp.idle, sp.herdPeak);
    for (const std::string& e : live.events) std::printf("  %s\n", e.c_str());
    if (live.gatewaysDied > 0) std::printf("GATEWAYS DIED: %u\n", live.gatewaysDied);
    if (live.isVoid) std::printf("VOID: %s\n", live.voidReason.c_str());
  }
  const bool even = o.withinSpread <= 0 || (live.spread.maxOverMean <= o.withinSpread &&
                                            live.spread.idle == 0 && live.spread.mean > 0);
  if (!even && !o.json)
    std::printf("SPREAD: over %.2f of the mean at one host, or a host idle\n", o.withinSpread);
  return live.day.clean() && !live.isVoid && live.gatewaysDied == 0 && even ? kYes : kNo;
}

}  // namespace

void addLive(CLI::App& app, int& result) {
  auto* command = app.add_subcommand("live",
                                     "play one day in real time against real gateway processes; exit 1 if a "
                                     "rule was broken, a gateway died or the run is void");
  auto o = std::make_shared<LiveCommand>();
  addDayChoice(*command, *o);
  command->add_option("--gateway", o->gateway, "the gateway's program");
  command->add_option("--out", o->out, "write the results as JSON to this file too");
  command->add_option("--report", o->report, "write an HTML report to this file");
  command->add_flag("--json", o->json, "print JSON");
  command->add_option(
      "--discovery-fault", o->discoveryFaults,
      "EVERY:OFFSET:FROM_S:FOR_S:cut|reset|delay=MS+JITTER_MS between some gateways and their "
      "discovery, through a proxy");
  command->add_option(
      "--within-spread", o->withinSpread,
      "exit 1 also if a host got more than this multiple of the mean, or under a quarter of it");
  command->add_option("--pause", o->pauses,
                      "EVERY:OFFSET:FROM_S:FOR_S: stop some gateways (SIGSTOP), then resume");
  command->footer(
      "Examples:\n  fennelridge-lab live scenarios/rough.json --seed 3 --report rough.html\n"
      "  fennelridge-lab live scenarios/quiet.json --discovery-fault 3:0:2:6:cut --pause 8:1:4:3   # a third "
      "cut "
      "from discovery\n    for 6 s from the second 2, one gateway in eight paused for 3 s");
  command->callback([o, &result] {
    const Scenario scenario = openScenario(o->scenario, o->set);
    checkProgram(o->gateway);
    result = tell(playHere(scenario, *o, !o->json, false), *o);
  });
}

void addEmulate(CLI::App& app, int&) {
  auto* command = app.add_subcommand("emulate",
                                     "serve a scenario's hosts and discovery on loopback until Ctrl-C, for a "
                                     "gateway started by hand");
  struct Options : DayChoice {
    std::string folder = ".";
  };
  auto o = std::make_shared<Options>();
  addDayChoice(*command, *o);
  command->add_option("--folder", o->folder, "where the gateways' configuration files are written");
  command->footer("Example:\n  fennelridge-lab emulate scenarios/quiet.json --folder /tmp");
  command->callback([o] {
    const Scenario scenario = openScenario(o->scenario, o->set);
    heedInterrupts();
    boost::asio::io_context io(1);
    LiveClock clock(io);
    LiveFleet fleet(io, clock, scenario, o->seed, nullptr);
    std::printf("%zu hosts on loopback. Start a gateway with:\n", fleet.hosts());
    for (std::uint32_t g = 0; g < fleet.layout().gatewayZones.size(); ++g) {
      const std::string zone = scenario.zones[fleet.layout().gatewayZones[g]].name;
      const std::string file =
          (fs::absolute(o->folder) / ("gateway-" + std::to_string(g) + ".json")).string();
      const std::string listen = textOf(freeAddress());
      writeFile(file, nlohmann::json{{"name", "g" + std::to_string(g)},
                                     {"listen", listen},
                                     {"discovery", textOf(fleet.discoveryOf(g))},
                                     {"known", fleet.list()},
                                     {"settings",
                                      platformSettings(moduleSettings(scenario, g, zone, o->seed), scenario)}}
                          .dump(1));
      std::printf("  GW_CONFIG=%s build/cairnjunction   # clients at %s\n", file.c_str(), listen.c_str());
    }
    std::string hosts;
    for (std::uint32_t h = 0; h < fleet.hosts(); ++h) hosts += textOf(fleet.endpointOf(h)) + "\n";
    const std::string file = (fs::absolute(o->folder) / "hosts.txt").string();
    writeFile(file, hosts);
    std::printf("The hosts' own addresses are in %s (load @%s).\nCtrl-C ends it.\n", file.c_str(),
                file.c_str());
    std::fflush(stdout);
    fleet.beginTroubles([](const Step&) {});
    while (!interrupted()) io.run_for(std::chrono::milliseconds(50));
  });
}

void addDemo(CLI::App& app, int& result) {
  auto* command =
      app.add_subcommand("demo",
                         "15 s of a small fleet with two real gateways: a live table, a host taken "
                         "out by hand, another killed, a report");
  auto o = std::make_shared<LiveCommand>();
  o->scenario = "scenarios/demo.json";
  o->report = "fennelridge-demo.html";
  command->add_option("--scenario", o->scenario, "scenario file");
  command->add_option("--gateway", o->gateway, "the gateway's program");
  command->add_option("--seed", o->seed, "seed of the day");
  command->add_option("--report", o->report, "the report to write");
  command->footer("Example:\n  fennelridge-lab demo --report /tmp/demo.html");
  command->callback([o, &result] {
    const Scenario scenario = openScenario(o->scenario);
    if (scenario.hosts.count < 3)
      throw BadInput(o->scenario + ": hosts.count: the demonstration needs 3 at least");
    checkProgram(o->gateway);
    std::printf("%u gateways, %u hosts, clients and discovery on loopback, for %.0f s:\n\n",
                scenario.gateways.count, scenario.hosts.count, scenario.lengthS);
    const LiveResult live = playHere(scenario, *o, true, true);
    if (live.stopped) {
      std::printf("stopped; nothing is left running\n");
      return;
    }
    std::printf("\n");
    result = tell(live, *o);
    std::printf("report: %s\n", fs::absolute(o->report).string().c_str());
  });
}

}  // namespace fennelridge::lab
