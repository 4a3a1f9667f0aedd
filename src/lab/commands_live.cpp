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
  const RigPlan* rig = nullptr;
};

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
  options.rig = o.rig;
  return playLive(scenario, o.seed, options);
}

void printFleet(const FleetCheck::Report& f) {
  const auto use = [](const std::string& what, const FleetCheck::Use& u) {
    std::printf("%s: %llu, at worst %.0f %% of a window's budget, %+.1f uses beyond it\n", what.c_str(),
                static_cast<unsigned long long>(u.used), 100 * u.worstShare, u.worstOver);
  };
  std::printf("shared state, from %zu logs: %llu requests taken, %llu refused\n", f.logs,
              static_cast<unsigned long long>(f.requests), static_cast<unsigned long long>(f.refused));
  use("retries of the fleet", f.retries);
  for (const auto& [name, u] : f.limits) use("limit " + name, u);
  std::printf(
      "members: killed ones doubted after %.2f s (p50), %.2f s (p99) in %zu views, never in %llu; %llu false "
      "deaths, %llu false suspicions; healed after %.1f s; %.0f bytes/s each\n",
      quantile(f.detectS, 0.5), quantile(f.detectS, 0.99), f.detectS.size(),
      static_cast<unsigned long long>(f.undetected), static_cast<unsigned long long>(f.falseDeaths),
      static_cast<unsigned long long>(f.falseDoubts), f.healedS, f.bytesPerMember);
  std::printf(
      "hosts out by the fleet's word: %zu at once at most, %zu in all; %llu datagrams dropped, %llu bad "
      "payloads, %llu retries without a right\n",
      f.hostsOutMost, f.hostsEverOut.size(), static_cast<unsigned long long>(f.dropped),
      static_cast<unsigned long long>(f.badPayloads), static_cast<unsigned long long>(f.overdrawn));
}

void printSpread(const LiveResult& live) {
  const auto line = [](const char* when, const Spread& s) {
    std::printf(
        "spread at the hosts, %s: max/mean %.2f, variation %.3f, %u idle, herd peak %.2f, %.3f handshakes a "
        "request\n",
        when, s.maxOverMean, s.variation, s.idle, s.herdPeak, s.handshakes);
  };
  line("the day", live.spread);
  std::printf("herd peak of 2 s before the first fault or move, the median: %.2f\n", live.herdInCalm);
  for (const PhaseSpread& phase : live.back) line(("2 s after " + phase.name).c_str(), phase.spread);
  std::printf("a gateway: %.1f MB and %.0f descriptors at most; a host: %.1f connections in the mean\n",
              live.gatewayMemoryMb, live.gatewayDescriptors, live.hostConnections);
  if (live.fleet) printFleet(*live.fleet);
  for (const std::string& e : live.events) std::printf("  %s\n", e.c_str());
}

// What of the plan's bounds the day did not keep, a line each.
std::vector<std::string> missedBounds(const RigBounds& bounds, const LiveResult& live) {
  std::vector<std::string> out;
  const auto judge = [&](const char* what, double value, double bound, bool least) {
    if (bound < 0 || (least ? value >= bound : value <= bound)) return;
    char text[128];
    std::snprintf(text, sizeof text, "%s %.3f, should be at %s %.3f", what, value, least ? "least" : "most",
                  bound);
    out.push_back(text);
  };
  const Spread& s = live.spread;
  if (s.mean <= 0) out.push_back("no request reached a host in the time that is judged");
  judge("served", live.day.inTime(), bounds.served, true);
  judge("max_over_mean", s.maxOverMean, bounds.maxOverMean, false);
  judge("variation", s.variation, bounds.variation, false);
  judge("idle_hosts", s.idle, bounds.idleHosts, false);
  judge("handshakes_per_request", s.handshakes, bounds.handshakesPerRequest, false);
  double herd = live.back.empty() ? s.herdPeak : 0;
  for (const PhaseSpread& phase : live.back) herd = std::max(herd, phase.spread.herdPeak);
  judge("herd_peak", herd, bounds.herdPeak, false);
  if (live.fleet) {
    const FleetCheck::Report& f = *live.fleet;
    judge("retries_over", f.retries.worstOver, bounds.retriesOver, false);
    for (const auto& [name, use] : f.limits)
      judge(("limits_over of " + name).c_str(), use.worstOver, bounds.limitsOver, false);
    judge("detect_p99_s", quantile(f.detectS, 0.99), bounds.detectP99S, false);
    judge("false_deaths", static_cast<double>(f.falseDeaths), bounds.falseDeaths, false);
    judge("healed_s", f.healedS, bounds.healedS, false);
    judge("bytes_per_member_s", f.bytesPerMember, bounds.bytesPerMemberS, false);
    judge("hosts_out", static_cast<double>(f.hostsOutMost), bounds.hostsOut, false);
    judge("hosts_ever_out", static_cast<double>(f.hostsEverOut.size()), bounds.hostsEverOut, true);
    if (f.overdrawn > 0) out.push_back("retries were sent without a right");
    if (f.requests == 0) out.push_back("no gateway's log tells of a request");
  }
  return out;
}

int tell(const LiveResult& live, const LiveCommand& o) {
  ordered results{{"scenario", live.day.scenario}, {"days", ordered::array({toJson(live.day, true)})}};
  ordered& day = results["days"][0];
  day["live"] = {{"void", live.isVoid},
                 {"void_reason", live.voidReason},
                 {"latest_ms", live.latestMs},
                 {"gateway_cpu_us_a_request", live.gatewayCpuUs},
                 {"gateways_died", live.gatewaysDied},
                 {"gateway_memory_mb", live.gatewayMemoryMb},
                 {"gateway_descriptors", live.gatewayDescriptors},
                 {"host_connections", live.hostConnections},
                 {"spread", toJson(live.spread)},
                 {"herd_peak_in_calm", live.herdInCalm},
                 {"back", ordered::array()},
                 {"landed_each_second", bySecond(live.landed.requests, live.landed.slotS)},
                 {"handshakes_each_second", bySecond(live.landed.handshakes, live.landed.slotS)},
                 {"events", live.events}};
  if (live.fleet) day["live"]["fleet"] = toJson(*live.fleet);
  for (const PhaseSpread& phase : live.back)
    day["live"]["back"].push_back({{"name", phase.name},
                                   {"from_s", phase.fromS},
                                   {"to_s", phase.toS},
                                   {"spread", toJson(phase.spread)}});
  if (!o.out.empty()) writeFile(o.out, results.dump(1) + "\n");
  if (!o.report.empty()) writeFile(o.report, renderReport(results, nullptr));
  if (o.json) {
    std::cout << results.dump(1) << '\n';
  } else {
    printDays({live.day});
    std::printf("gateways: %.0f us of CPU a request; the laboratory was %.1f ms late at most\n",
                live.gatewayCpuUs, live.latestMs);
    printSpread(live);
    if (live.gatewaysDied > 0) std::printf("GATEWAYS DIED: %u\n", live.gatewaysDied);
    if (live.isVoid) std::printf("VOID: %s\n", live.voidReason.c_str());
  }
  const std::vector<std::string> missed =
      o.rig ? missedBounds(o.rig->within, live) : std::vector<std::string>();
  for (const std::string& miss : missed)
    if (!o.json) std::printf("OUT OF BOUNDS: %s\n", miss.c_str());
  return live.day.clean() && !live.isVoid && live.gatewaysDied == 0 && missed.empty() ? kYes : kNo;
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
  command->footer("Example:\n  fennelridge-lab live scenarios/rough.json --seed 3 --report rough.html");
  command->callback([o, &result] {
    const Scenario scenario = openScenario(o->scenario, o->set);
    checkProgram(o->gateway);
    result = tell(playHere(scenario, *o, !o->json, false), *o);
  });
}

void addRig(CLI::App& app, int& result) {
  auto* command = app.add_subcommand(
      "rig",
      "play a rig file: many real gateway processes, faults between them and the others, moves of the "
      "processes; "
      "exit 1 if a rule was broken, a gateway died, a bound was missed or the run is void");
  struct Options : LiveCommand {
    std::string plan;
    bool check = false;
  };
  auto o = std::make_shared<Options>();
  command->add_option("plan", o->plan, "rig file, such as those in scenarios/rig")->required();
  command->add_option("--seed", o->seed, "seed of the day and of the faults' draws");
  command->add_option("--set", o->set, "set a field of its scenario first, such as gateways.count=50");
  command->add_option("--gateway", o->gateway, "the gateway's program");
  command->add_option("--out", o->out, "write the results as JSON to this file too");
  command->add_option("--report", o->report, "write an HTML report to this file");
  command->add_flag("--json", o->json, "print JSON");
  command->add_flag("--check", o->check, "only say whether the file is good");
  command->footer(
      "Examples:\n  fennelridge-lab rig scenarios/rig/discovery-cut.json\n"
      "  fennelridge-lab rig scenarios/rig/restart.json --seed 3 --set gateways.count=300 --report rig.html\n"
      "Fields of a rig file: fennelridge-lab fields | grep '^rig'");
  command->callback([o, &result] {
    RigReading reading = loadRigPlan(o->plan);
    std::string wrong;
    for (const Mistake& m : reading.mistakes)
      wrong +=
          (wrong.empty() ? "" : "\n") + o->plan + ": " + (m.where.empty() ? "" : m.where + ": ") + m.what;
    if (!wrong.empty()) throw BadInput(wrong);
    std::vector<std::string> set = reading.plan.set;
    set.insert(set.end(), o->set.begin(), o->set.end());
    const Scenario scenario = openScenario(reading.plan.scenarioFile, set);
    if (o->check) {
      std::printf("%s is good\n", o->plan.c_str());
      return;
    }
    checkProgram(o->gateway);
    o->rig = &reading.plan;
    result = tell(playHere(scenario, *o, !o->json, false), *o);
    o->rig = nullptr;
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
                                     {"known", fleet.list(g)},
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
