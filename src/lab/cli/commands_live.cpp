// The sub-commands that run in real time on loopback sockets: live, rig, emulate and demo.
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

// Options of the sub-commands live, rig and demo.
struct LiveCommand : RunSelection {
  std::string gateway = path_beside_executable("gateway"), out, report;
  bool json = false;
  const RigPlan* rig = nullptr;  // not owned; null unless the sub-command is rig
};

// Runs the scenario with gateway processes whose files are in a temporary folder, removed at the
// end. Ctrl-C ends the run early.
LiveResult run_in_temporary_folder(const Scenario& scenario, const LiveCommand& o,
                                   bool show_each_second, bool demo) {
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

// Prints the figures that FleetCheck derives from the logs of all gateways.
void print_fleet(const FleetCheck::Report& fleet) {
  const auto print_use = [](const std::string& name, const FleetCheck::Use& use) {
    std::printf("%s: %llu, at most %.0f %% of the budget of a window, maximum excess %+.1f uses\n",
                name.c_str(), static_cast<unsigned long long>(use.used),
                100 * use.max_used_fraction, use.max_excess);
  };
  std::printf("shared state, from %zu logs: %llu requests admitted, %llu refused\n", fleet.logs,
              static_cast<unsigned long long>(fleet.requests),
              static_cast<unsigned long long>(fleet.refused));
  print_use("retries of the fleet", fleet.retries);
  for (const auto& [name, limit] : fleet.limits) {
    print_use("limit " + name, limit);
  }
  std::printf(
      "members: killed members suspected after %.2f s (p50), %.2f s (p99) in %zu pairs of killed "
      "member and observer, never in %llu; %llu false deaths, %llu false suspicions; recovered "
      "%.1f s after the last partition (-1: no partition; 1e9: not recovered); %.0f bytes/s per "
      "member\n",
      quantile(fleet.detect_s, 0.5), quantile(fleet.detect_s, 0.99), fleet.detect_s.size(),
      static_cast<unsigned long long>(fleet.undetected),
      static_cast<unsigned long long>(fleet.false_deaths),
      static_cast<unsigned long long>(fleet.false_suspicions), fleet.recovery_s,
      fleet.bytes_per_member);
  std::printf(
      "hosts ejected by the fleet: at most %zu at once, %zu in total; %llu datagrams dropped, "
      "%llu bad payloads, %llu retries without a token\n",
      fleet.max_hosts_ejected, fleet.hosts_ever_ejected.size(),
      static_cast<unsigned long long>(fleet.dropped),
      static_cast<unsigned long long>(fleet.bad_payloads),
      static_cast<unsigned long long>(fleet.retries_without_token));
}

// Prints the load distribution over the hosts, resource use and the faults injected.
void print_spread(const LiveResult& live) {
  const auto print_line = [](const char* period, const Spread& s) {
    std::printf(
        "spread over the hosts, %s: max/mean %.2f, variation %.3f, %u idle, herd peak %.2f, %.3f "
        "handshakes per request\n",
        period, s.max_over_mean, s.variation, s.idle, s.herd_peak, s.handshakes_per_request);
  };
  print_line("the run", live.spread);
  std::printf(
      "herd peak in windows of 2 s before the first fault or process action, median: %.2f\n",
      live.herd_peak_baseline);
  for (const PhaseSpread& phase : live.recoveries) {
    print_line(("2 s after " + phase.name).c_str(), phase.spread);
  }
  std::printf(
      "each gateway: at most %.1f MB and %.0f descriptors; each host: %.1f connections on "
      "average\n",
      live.gateway_memory_mb, live.gateway_descriptors, live.host_connections);
  if (live.fleet) {
    print_fleet(*live.fleet);
  }
  for (const std::string& e : live.events) {
    std::printf("  %s\n", e.c_str());
  }
}

// A line for each bound of the plan that the run exceeded or did not reach. A bound below 0 is not
// checked.
std::vector<std::string> missed_bounds(const RigBounds& bounds, const LiveResult& live) {
  std::vector<std::string> out;
  const auto check = [&](const char* figure, double value, double bound, bool is_minimum) {
    if (bound < 0 || (is_minimum ? value >= bound : value <= bound)) {
      return;
    }
    char text[128];
    std::snprintf(text, sizeof text, "%s: %.3f; expected at %s %.3f", figure, value,
                  is_minimum ? "least" : "most", bound);
    out.emplace_back(text);
  };
  const Spread& s = live.spread;
  if (s.mean_requests <= 0) {
    out.emplace_back("no request reached a host in the measured period");
  }
  check("served", live.run.in_time(), bounds.served, true);
  check("max_over_mean", s.max_over_mean, bounds.max_over_mean, false);
  check("variation", s.variation, bounds.variation, false);
  check("idle_hosts", s.idle, bounds.idle_hosts, false);
  check("handshakes_per_request", s.handshakes_per_request, bounds.handshakes_per_request, false);
  double herd = live.recoveries.empty() ? s.herd_peak : 0;
  for (const PhaseSpread& phase : live.recoveries) {
    herd = std::max(herd, phase.spread.herd_peak);
  }
  check("herd_peak", herd, bounds.herd_peak, false);
  if (live.fleet) {
    const FleetCheck::Report& fleet = *live.fleet;
    check("retries_over", fleet.retries.max_excess, bounds.retries_over, false);
    for (const auto& [name, use] : fleet.limits) {
      check(("limits_over of " + name).c_str(), use.max_excess, bounds.limits_over, false);
    }
    check("detect_p99_s", quantile(fleet.detect_s, 0.99), bounds.detect_p99_s, false);
    check("false_deaths", static_cast<double>(fleet.false_deaths), bounds.false_deaths, false);
    check("healed_s", fleet.recovery_s, bounds.healed_s, false);
    check("bytes_per_member_s", fleet.bytes_per_member, bounds.bytes_per_member_s, false);
    check("hosts_out", static_cast<double>(fleet.max_hosts_ejected), bounds.hosts_out, false);
    check("hosts_ever_out", static_cast<double>(fleet.hosts_ever_ejected.size()),
          bounds.hosts_ever_out, true);
    if (fleet.retries_without_token > 0) {
      out.emplace_back("retries were sent without a token");
    }
    if (fleet.requests == 0) {
      out.emplace_back("no gateway log contains a request");
    }
  }
  return out;
}

// Writes the results to the files and to standard output as the options ask. Returns the exit code.
// NOLINTNEXTLINE(readability-function-size): too long
int report_results(const LiveResult& live, const LiveCommand& o) {
  ordered results{{"scenario", live.run.scenario},
                  {"days", ordered::array({to_json(live.run, true)})}};
  ordered& run = results["days"][0];
  run["live"] = {
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
    run["live"]["fleet"] = to_json(*live.fleet);
  }
  for (const PhaseSpread& phase : live.recoveries) {
    run["live"]["back"].push_back({{"name", phase.name},
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
    print_runs({live.run});
    std::printf("gateways: %.0f us of CPU per request; the laboratory was at most %.1f ms late\n",
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
  for (const std::string& bound : missed) {
    if (!o.json) {
      std::printf("OUT OF BOUNDS: %s\n", bound.c_str());
    }
  }
  return live.run.is_clean() && !live.is_void && live.gateways_died == 0 && missed.empty()
             ? kExitSuccess
             : kExitCheckFailed;
}

}  // namespace

void add_live(CLI::App& app, int& result) {
  auto* command = app.add_subcommand(
      "live",
      "run a scenario in real time with real gateway processes; exits with 1 after a "
      "violation, if a gateway died or if the run is void");
  auto o = std::make_shared<LiveCommand>();
  add_run_selection(*command, *o);
  command->add_option("--gateway", o->gateway, "the gateway executable");
  command->add_option("--out", o->out, "also write the results as JSON to this file");
  command->add_option("--report", o->report, "write an HTML report to this file");
  command->add_flag("--json", o->json, "print JSON");
  command->footer("Example:\n  gateway-lab live scenarios/rough.json --seed 3 --report rough.html");
  command->callback([o, &result] {
    const Scenario scenario = open_scenario(o->scenario, o->set);
    require_executable(o->gateway);
    result = report_results(run_in_temporary_folder(scenario, *o, !o->json, false), *o);
  });
}

void add_rig(CLI::App& app, int& result) {
  auto* command = app.add_subcommand(
      "rig",
      "run a rig file: many real gateway processes, network faults, and kills, pauses and restarts "
      "of processes; exits with 1 after a violation, if a gateway died, if a bound was missed or "
      "if the run is void");
  struct Options : LiveCommand {
    std::string plan;
    bool check = false;
  };
  auto o = std::make_shared<Options>();
  command->add_option("plan", o->plan, "rig file, such as those in scenarios/rig")->required();
  command->add_option("--seed", o->seed, "seed of the run and of its faults");
  command->add_option("--set", o->set,
                      "override a field of its scenario, such as gateways.count=50");
  command->add_option("--gateway", o->gateway, "the gateway executable");
  command->add_option("--out", o->out, "also write the results as JSON to this file");
  command->add_option("--report", o->report, "write an HTML report to this file");
  command->add_flag("--json", o->json, "print JSON");
  command->add_flag("--check", o->check, "only validate the file and its scenario");
  command->footer(
      "Examples:\n  gateway-lab rig scenarios/rig/discovery-cut.json\n"
      "  gateway-lab rig scenarios/rig/restart.json --seed 3 --set gateways.count=300 --report "
      "rig.html\n"
      "Fields of a rig file: gateway-lab fields | grep '^rig'");
  command->callback([o, &result] {
    RigReading reading = load_rig_plan(o->plan);
    std::string errors;
    for (const ValidationError& error : reading.errors) {
      errors += (errors.empty() ? "" : "\n") + o->plan + ": " +
                (error.where.empty() ? "" : error.where + ": ") + error.what;
    }
    if (!errors.empty()) {
      throw BadInput(errors);
    }
    std::vector<std::string> set = reading.plan.overrides;
    set.insert(set.end(), o->set.begin(), o->set.end());
    const Scenario scenario = open_scenario(reading.plan.scenario_file, set);
    if (o->check) {
      std::printf("%s is valid\n", o->plan.c_str());
      return;
    }
    require_executable(o->gateway);
    o->rig = &reading.plan;
    result = report_results(run_in_temporary_folder(scenario, *o, !o->json, false), *o);
    o->rig = nullptr;
  });
}

void add_emulate(CLI::App& app, int&) {
  auto* command = app.add_subcommand(
      "emulate",
      "serve the hosts and discovery of a scenario on loopback until Ctrl-C, for gateways that "
      "are started manually");
  struct Options : RunSelection {
    std::string folder = ".";
  };
  auto o = std::make_shared<Options>();
  add_run_selection(*command, *o);
  command->add_option("--folder", o->folder, "folder for the configuration files of the gateways");
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
    std::printf(
        "The addresses of the hosts are in %s (for gateway-lab load @%s).\nPress Ctrl-C to stop.\n",
        file.c_str(), file.c_str());
    std::fflush(stdout);
    fleet.begin_faults([](const FaultStep&) {});
    while (!interrupted()) {
      io.run_for(std::chrono::milliseconds(50));
    }
  });
}

void add_demo(CLI::App& app, int& result) {
  auto* command = app.add_subcommand(
      "demo",
      "run a small fleet with two real gateways for 15 s: a live table, a host put into "
      "maintenance, another killed, a report");
  auto o = std::make_shared<LiveCommand>();
  o->scenario = "scenarios/demo.json";
  o->report = "gateway-demo.html";
  command->add_option("--scenario", o->scenario, "scenario file");
  command->add_option("--gateway", o->gateway, "the gateway executable");
  command->add_option("--seed", o->seed, "seed of the run");
  command->add_option("--report", o->report, "HTML report to write");
  command->footer("Example:\n  gateway-lab demo --report /tmp/demo.html");
  command->callback([o, &result] {
    const Scenario scenario = open_scenario(o->scenario);
    if (scenario.hosts.count < 3) {
      throw BadInput(o->scenario + ": hosts.count: the demonstration needs at least 3 hosts");
    }
    require_executable(o->gateway);
    std::printf("%u gateways, %u hosts, clients and discovery on loopback, for %.0f s:\n\n",
                scenario.gateways.count, scenario.hosts.count, scenario.length_s);
    const LiveResult live = run_in_temporary_folder(scenario, *o, true, true);
    if (live.stopped) {
      std::printf("stopped; no process is left running\n");
      return;
    }
    std::printf("\n");
    result = report_results(live, *o);
    std::printf("report: %s\n", fs::absolute(o->report).string().c_str());
  });
}

}  // namespace gateway::lab
