// The sub-commands that work in real time, on loopback sockets.
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "lab/analysis/report.hpp"
#include "lab/cli/commands.hpp"
#include "lab/live/gateway_process.hpp"
#include "lab/live/live_fleet.hpp"
#include "lab/live/live_run.hpp"
#include "lab/live/real_time.hpp"

namespace gateway::lab {
namespace {

namespace fs = std::filesystem;
using ordered = nlohmann::ordered_json;

struct LiveCommand : DayChoice {
  std::string gateway = path_beside_executable("gateway"), out, report;
  bool json = false;
  const RigPlan* rig = nullptr;
};

// The day with gateways whose files go with it; Ctrl-C ends it early.
LiveResult play_here(const Scenario& scenario, const LiveCommand& o, bool show_each_second,
                     bool demo) {
  install_signal_handlers();
  TemporaryFolder folder;
  LiveOptions options;
  options.gateway = fs::absolute(o.gateway).string();
  options.folder = folder.path();
  options.show_each_second = show_each_second;
  options.demo = demo;
  options.stopped = interrupted;
  options.rig = o.rig;
  return run_live(scenario, o.seed, options);
}

void print_fleet(const FleetCheck::Report& f) {
  const auto use = [](const std::string& what, const FleetCheck::Use& u) {
    std::printf("%s: %llu, at worst %.0f %% of a window's budget, %+.1f uses beyond it\n",
                what.c_str(), static_cast<unsigned long long>(u.used), 100 * u.max_used_fraction,
                u.max_excess);
  };
  std::printf("shared state, from %zu logs: %llu requests taken, %llu refused\n", f.logs,
              static_cast<unsigned long long>(f.requests),
              static_cast<unsigned long long>(f.refused));
  use("retries of the fleet", f.retries);
  for (const auto& [name, u] : f.limits) {
    use("limit " + name, u);
  }
  std::printf(
      "members: killed ones doubted after %.2f s (p50), %.2f s (p99) in %zu views, never in %llu; "
      "%llu false "
      "deaths, %llu false suspicions; healed after %.1f s; %.0f bytes/s each\n",
      quantile(f.detect_s, 0.5), quantile(f.detect_s, 0.99), f.detect_s.size(),
      static_cast<unsigned long long>(f.undetected),
      static_cast<unsigned long long>(f.false_deaths),
      static_cast<unsigned long long>(f.false_suspicions), f.recovery_s, f.bytes_per_member);
  std::printf(
      "hosts out by the fleet's word: %zu at once at most, %zu in all; %llu datagrams dropped, "
      "%llu bad "
      "payloads, %llu retries without a right\n",
      f.max_hosts_ejected, f.hosts_ever_ejected.size(), static_cast<unsigned long long>(f.dropped),
      static_cast<unsigned long long>(f.bad_payloads),
      static_cast<unsigned long long>(f.retries_without_token));
}

void print_spread(const LiveResult& live) {
  const auto line = [](const char* when, const Spread& s) {
    std::printf(
        "spread at the hosts, %s: max/mean %.2f, variation %.3f, %u idle, herd peak %.2f, %.3f "
        "handshakes a "
        "request\n",
        when, s.max_over_mean, s.variation, s.idle, s.herd_peak, s.handshakes_per_request);
  };
  line("the day", live.spread);
  std::printf("herd peak of 2 s before the first fault or move, the median: %.2f\n",
              live.herd_peak_baseline);
  for (const PhaseSpread& phase : live.recoveries) {
    line(("2 s after " + phase.name).c_str(), phase.spread);
  }
  std::printf(
      "a gateway: %.1f MB and %.0f descriptors at most; a host: %.1f connections in the mean\n",
      live.gateway_memory_mb, live.gateway_descriptors, live.host_connections);
  if (live.fleet) {
    print_fleet(*live.fleet);
  }
  for (const std::string& e : live.events) {
    std::printf("  %s\n", e.c_str());
  }
}

// What of the plan's bounds the day did not keep, a line each.
std::vector<std::string> missed_bounds(const RigBounds& bounds, const LiveResult& live) {
  std::vector<std::string> out;
  const auto judge = [&](const char* what, double value, double bound, bool least) {
    if (bound < 0 || (least ? value >= bound : value <= bound)) {
      return;
    }
    char text[128];
    std::snprintf(text, sizeof text, "%s %.3f, should be at %s %.3f", what, value,
                  least ? "least" : "most", bound);
    out.emplace_back(text);
  };
  const Spread& s = live.spread;
  if (s.mean_requests <= 0) {
    out.emplace_back("no request reached a host in the time that is judged");
  }
  judge("served", live.run.in_time(), bounds.served, true);
  judge("max_over_mean", s.max_over_mean, bounds.max_over_mean, false);
  judge("variation", s.variation, bounds.variation, false);
  judge("idle_hosts", s.idle, bounds.idle_hosts, false);
  judge("handshakes_per_request", s.handshakes_per_request, bounds.handshakes_per_request, false);
  double herd = live.recoveries.empty() ? s.herd_peak : 0;
  for (const PhaseSpread& phase : live.recoveries) {
    herd = std::max(herd, phase.spread.herd_peak);
  }
  judge("herd_peak", herd, bounds.herd_peak, false);
  if (live.fleet) {
    const FleetCheck::Report& f = *live.fleet;
    judge("retries_over", f.retries.max_excess, bounds.retries_over, false);
    for (const auto& [name, use] : f.limits) {
      judge(("limits_over of " + name).c_str(), use.max_excess, bounds.limits_over, false);
    }
    judge("detect_p99_s", quantile(f.detect_s, 0.99), bounds.detect_p99_s, false);
    judge("false_deaths", static_cast<double>(f.false_deaths), bounds.false_deaths, false);
    judge("healed_s", f.recovery_s, bounds.healed_s, false);
    judge("bytes_per_member_s", f.bytes_per_member, bounds.bytes_per_member_s, false);
    judge("hosts_out", static_cast<double>(f.max_hosts_ejected), bounds.hosts_out, false);
    judge("hosts_ever_out", static_cast<double>(f.hosts_ever_ejected.size()), bounds.hosts_ever_out,
          true);
    if (f.retries_without_token > 0) {
      out.emplace_back("retries were sent without a right");
    }
    if (f.requests == 0) {
      out.emplace_back("no gateway's log tells of a request");
    }
  }
  return out;
}

// NOLINTNEXTLINE(readability-function-size): too long
int tell(const LiveResult& live, const LiveCommand& o) {
  ordered results{{"scenario", live.run.scenario},
                  {"days", ordered::array({to_json(live.run, true)})}};
  ordered& day = results["days"][0];
  day["live"] = {
      {"void", live.is_void},
      {"void_reason", live.void_reason},
      {"latest_ms", live.max_delay_ms},
      {"gateway_cpu_us_a_request", live.gateway_cpu_us},
      {"gateways_died", live.gateways_died},
      {"gateway_memory_mb", live.gateway_memory_mb},
      {"gateway_descriptors", live.gateway_descriptors},
      {"host_connections", live.host_connections},
      {"spread", to_json(live.spread)},
      {"herd_peak_in_calm", live.herd_peak_baseline},
      {"back", ordered::array()},
      {"landed_each_second", by_second(live.arrivals.requests, live.arrivals.slot_s)},
      {"handshakes_each_second", by_second(live.arrivals.handshakes, live.arrivals.slot_s)},
      {"events", live.events}};
  if (live.fleet) {
    day["live"]["fleet"] = to_json(*live.fleet);
  }
  for (const PhaseSpread& phase : live.recoveries) {
    day["live"]["back"].push_back({{"name", phase.name},
                                   {"from_s", phase.from_s},
                                   {"to_s", phase.to_s},
                                   {"spread", to_json(phase.spread)}});
  }
  if (!o.out.empty()) {
    write_file(o.out, results.dump(1) + "\n");
  }
  if (!o.report.empty()) {
    write_file(o.report, render_report(results, nullptr));
  }
  if (o.json) {
    std::cout << results.dump(1) << '\n';
  } else {
    print_days({live.run});
    std::printf("gateways: %.0f us of CPU a request; the laboratory was %.1f ms late at most\n",
                live.gateway_cpu_us, live.max_delay_ms);
    print_spread(live);
    if (live.gateways_died > 0) {
      std::printf("GATEWAYS DIED: %u\n", live.gateways_died);
    }
    if (live.is_void) {
      std::printf("VOID: %s\n", live.void_reason.c_str());
    }
  }
  const std::vector<std::string> missed =
      o.rig ? missed_bounds(o.rig->bounds, live) : std::vector<std::string>();
  for (const std::string& miss : missed) {
    if (!o.json) {
      std::printf("OUT OF BOUNDS: %s\n", miss.c_str());
    }
  }
  return live.run.is_clean() && !live.is_void && live.gateways_died == 0 && missed.empty() ? kYes
                                                                                           : kNo;
}

}  // namespace

void add_live(CLI::App& app, int& result) {
  auto* command =
      app.add_subcommand("live",
                         "play one day in real time against real gateway processes; exit 1 if a "
                         "rule was broken, a gateway died or the run is void");
  auto o = std::make_shared<LiveCommand>();
  add_day_choice(*command, *o);
  command->add_option("--gateway", o->gateway, "the gateway's program");
  command->add_option("--out", o->out, "write the results as JSON to this file too");
  command->add_option("--report", o->report, "write an HTML report to this file");
  command->add_flag("--json", o->json, "print JSON");
  command->footer("Example:\n  gateway-lab live scenarios/rough.json --seed 3 --report rough.html");
  command->callback([o, &result] {
    const Scenario scenario = open_scenario(o->scenario, o->set);
    require_executable(o->gateway);
    result = tell(play_here(scenario, *o, !o->json, false), *o);
  });
}

void add_rig(CLI::App& app, int& result) {
  auto* command = app.add_subcommand(
      "rig",
      "play a rig file: many real gateway processes, faults between them and the others, moves of "
      "the "
      "processes; "
      "exit 1 if a rule was broken, a gateway died, a bound was missed or the run is void");
  struct Options : LiveCommand {
    std::string plan;
    bool check = false;
  };
  auto o = std::make_shared<Options>();
  command->add_option("plan", o->plan, "rig file, such as those in scenarios/rig")->required();
  command->add_option("--seed", o->seed, "seed of the day and of the faults' draws");
  command->add_option("--set", o->set,
                      "set a field of its scenario first, such as gateways.count=50");
  command->add_option("--gateway", o->gateway, "the gateway's program");
  command->add_option("--out", o->out, "write the results as JSON to this file too");
  command->add_option("--report", o->report, "write an HTML report to this file");
  command->add_flag("--json", o->json, "print JSON");
  command->add_flag("--check", o->check, "only say whether the file is good");
  command->footer(
      "Examples:\n  gateway-lab rig scenarios/rig/discovery-cut.json\n"
      "  gateway-lab rig scenarios/rig/restart.json --seed 3 --set gateways.count=300 --report "
      "rig.html\n"
      "Fields of a rig file: gateway-lab fields | grep '^rig'");
  command->callback([o, &result] {
    RigReading reading = load_rig_plan(o->plan);
    std::string wrong;
    for (const ValidationError& m : reading.errors) {
      wrong += (wrong.empty() ? "" : "\n") + o->plan + ": " +
               (m.where.empty() ? "" : m.where + ": ") + m.what;
    }
    if (!wrong.empty()) {
      throw BadInput(wrong);
    }
    std::vector<std::string> set = reading.plan.overrides;
    set.insert(set.end(), o->set.begin(), o->set.end());
    const Scenario scenario = open_scenario(reading.plan.scenario_file, set);
    if (o->check) {
      std::printf("%s is good\n", o->plan.c_str());
      return;
    }
    require_executable(o->gateway);
    o->rig = &reading.plan;
    result = tell(play_here(scenario, *o, !o->json, false), *o);
    o->rig = nullptr;
  });
}

void add_emulate(CLI::App& app, int&) {
  auto* command =
      app.add_subcommand("emulate",
                         "serve a scenario's hosts and discovery on loopback until Ctrl-C, for a "
                         "gateway started by hand");
  struct Options : DayChoice {
    std::string folder = ".";
  };
  auto o = std::make_shared<Options>();
  add_day_choice(*command, *o);
  command->add_option("--folder", o->folder, "where the gateways' configuration files are written");
  command->footer("Example:\n  gateway-lab emulate scenarios/quiet.json --folder /tmp");
  command->callback([o] {
    const Scenario scenario = open_scenario(o->scenario, o->set);
    install_signal_handlers();
    boost::asio::io_context io(1);
    LiveClock clock(io);
    LiveFleet fleet(io, clock, scenario, o->seed, nullptr);
    std::printf("%zu hosts on loopback. Start a gateway with:\n", fleet.hosts());
    for (std::uint32_t g = 0; g < fleet.topology().gateway_zones.size(); ++g) {
      const std::string zone = scenario.zones[fleet.topology().gateway_zones[g]].name;
      const std::string file =
          (fs::absolute(o->folder) / ("gateway-" + std::to_string(g) + ".json")).string();
      const std::string listen = text_of(free_address());
      write_file(
          file,
          nlohmann::json{{"name", "g" + std::to_string(g)},
                         {"listen", listen},
                         {"discovery", text_of(fleet.discovery_of(g))},
                         {"known", fleet.endpoint_list(g)},
                         {"settings", platform_settings(
                                          balancer_settings(scenario, g, zone, o->seed), scenario)}}
              .dump(1));
      std::printf("  GW_CONFIG=%s build/gateway   # clients at %s\n", file.c_str(), listen.c_str());
    }
    std::string hosts;
    for (std::uint32_t h = 0; h < fleet.hosts(); ++h) {
      hosts += text_of(fleet.endpoint_of(h)) + "\n";
    }
    const std::string file = (fs::absolute(o->folder) / "hosts.txt").string();
    write_file(file, hosts);
    std::printf("The hosts' own addresses are in %s (load @%s).\nCtrl-C ends it.\n", file.c_str(),
                file.c_str());
    std::fflush(stdout);
    fleet.begin_faults([](const FaultStep&) {});
    while (!interrupted()) {
      io.run_for(std::chrono::milliseconds(50));
    }
  });
}

void add_demo(CLI::App& app, int& result) {
  auto* command =
      app.add_subcommand("demo",
                         "15 s of a small fleet with two real gateways: a live table, a host taken "
                         "out by hand, another killed, a report");
  auto o = std::make_shared<LiveCommand>();
  o->scenario = "scenarios/demo.json";
  o->report = "gateway-demo.html";
  command->add_option("--scenario", o->scenario, "scenario file");
  command->add_option("--gateway", o->gateway, "the gateway's program");
  command->add_option("--seed", o->seed, "seed of the day");
  command->add_option("--report", o->report, "the report to write");
  command->footer("Example:\n  gateway-lab demo --report /tmp/demo.html");
  command->callback([o, &result] {
    const Scenario scenario = open_scenario(o->scenario);
    if (scenario.hosts.count < 3) {
      throw BadInput(o->scenario + ": hosts.count: the demonstration needs 3 at least");
    }
    require_executable(o->gateway);
    std::printf("%u gateways, %u hosts, clients and discovery on loopback, for %.0f s:\n\n",
                scenario.gateways.count, scenario.hosts.count, scenario.length_s);
    const LiveResult live = play_here(scenario, *o, true, true);
    if (live.stopped) {
      std::printf("stopped; nothing is left running\n");
      return;
    }
    std::printf("\n");
    result = tell(live, *o);
    std::printf("report: %s\n", fs::absolute(o->report).string().c_str());
  });
}

}  // namespace gateway::lab
