// The sub-commands around the load generator: load, trace and overhead.
#include <boost/asio/io_context.hpp>
#include <charconv>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "lab/cli/commands.hpp"
#include "lab/live/real_time.hpp"
#include "lab/load/load.hpp"
#include "lab/load/overhead.hpp"
#include "lab/model/fleet_topology.hpp"
#include "lab/model/traffic.hpp"
#include "lab/simulation/experiment.hpp"

namespace gateway::lab {
namespace {

using boost::asio::ip::tcp;
using ordered = nlohmann::ordered_json;

// Parses the ADDRESS:PORT of a loopback endpoint. Throws BadInput.
tcp::endpoint parse_endpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), ec);
  unsigned port = 0;
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  if (ec || colon == std::string::npos || std::from_chars(first, last, port).ptr != last ||
      port == 0 || port > 65535) {
    throw BadInput("'" + text + "' is no address and port; expected a form such as 127.0.0.1:8080");
  }
  if (!address.is_loopback()) {
    throw BadInput(text + ": is no loopback address; load is sent to loopback only");
  }
  return {address, static_cast<std::uint16_t>(port)};
}

// Parses "A,B,...", or the lines of FILE for "@FILE". Throws BadInput.
std::vector<tcp::endpoint> parse_endpoints(const std::string& text) {
  std::vector<tcp::endpoint> out;
  const bool in_file = text.rfind('@', 0) == 0;
  std::ifstream file;
  std::istringstream list(text);
  if (in_file) {
    file.open(text.substr(1));
    if (!file) {
      throw BadInput(text.substr(1) + ": cannot be read");
    }
  }
  std::istream& in = in_file ? static_cast<std::istream&>(file) : list;
  for (std::string entry; std::getline(in, entry, in_file ? '\n' : ',');) {
    if (!entry.empty()) {
      out.push_back(parse_endpoint(entry));
    }
  }
  if (out.empty()) {
    throw BadInput(text + ": contains no address");
  }
  return out;
}

// Options of the sub-command load.
struct LoadCommand {
  std::string to, stages, trace, cls = "status";
  double rate = 1000, seconds = 10, work_us = 0, deadline_ms = 2000;
  bool poisson = false, json = false, tsv = false;
  LoadOptions options;
};

std::unique_ptr<Schedule> make_schedule(const LoadCommand& o) {
  try {
    if (!o.trace.empty()) {
      return replayed(o.trace);
    }
    return staged(
        o.stages.empty() ? std::vector<Stage>{{o.rate, o.seconds}} : read_stages(o.stages),
        DueRequest{{}, o.cls, o.work_us, 0}, o.poisson, o.options.seed);
  } catch (const std::invalid_argument& error) {
    throw BadInput(error.what());
  }
}

ordered to_json(const Latency& latency) {
  ordered out;
  for (const auto& [name, fraction] :
       {std::pair{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p999", 0.999}}) {
    out[name] = percentile(latency, fraction);
  }
  return out;
}

ordered to_json(const LoadResult& r) {
  const LoadCounts& c = r.counts;
  return {
      {"due", c.due},
      {"served", c.served},
      {"refused", c.refused},
      {"failed", c.failed},
      {"broken", c.broken},
      {"unanswered", c.unanswered},
      {"connections", c.connected},
      {"waited_for_connection", c.waited},
      {"sent_late", c.late},
      {"latest_ms", to_seconds(r.worst_late) * 1e3},
      {"seconds", r.seconds},
      {"answers_a_second", static_cast<double>(count_of(r.from_due)) / std::max(r.seconds, 1e-9)},
      {"own_cpu_us_a_request",
       1e6 * r.cpu_seconds / static_cast<double>(std::max<std::uint64_t>(c.due, 1))},
      {"kept_schedule", r.kept_schedule()},
      {"latency_from_due_ms", to_json(r.from_due)},
      {"latency_from_sent_ms", to_json(r.from_sent)}};
}

// Prints a table, or with `tsv` a header line and a row of the figures of to_json().
void print_load(const LoadResult& r, bool tsv) {
  const ordered figures = to_json(r);
  if (tsv) {
    std::string header;
    std::string row;
    for (const auto& [name, value] : figures.items()) {
      if (value.is_object()) {
        for (const auto& [part, figure] : value.items()) {
          header += name + "_" + part + "\t", row += figure.dump() + "\t";
        }
      } else {
        header += name + "\t", row += value.dump() + "\t";
      }
    }
    header.back() = row.back() = '\n';
    std::cout << header << row;
    return;
  }
  const LoadCounts& c = r.counts;
  const auto n = [](std::uint64_t v) {
    return static_cast<unsigned long long>(v);
  };
  std::printf(
      "%llu due in %.1f s: %llu served, %llu refused, %llu failed, %llu broken, %llu unanswered\n",
      n(c.due), r.seconds, n(c.served), n(c.refused), n(c.failed), n(c.broken), n(c.unanswered));
  std::printf(
      "%.0f responses a second over %llu connections; %llu requests waited for a connection\n",
      static_cast<double>(count_of(r.from_due)) / std::max(r.seconds, 1e-9), n(c.connected),
      n(c.waited));
  std::printf("%-18s %9s %9s %9s %9s\n", "latency, ms", "p50", "p90", "p99", "p99.9");
  for (const auto& [name, h] : {std::pair<const char*, const Latency*>{"from due", &r.from_due},
                                {"from sent", &r.from_sent}}) {
    std::printf("%-18s %9.2f %9.2f %9.2f %9.2f\n", name, percentile(*h, 0.5), percentile(*h, 0.9),
                percentile(*h, 0.99), percentile(*h, 0.999));
  }
  if (!r.kept_schedule()) {
    std::printf(
        "SCHEDULE NOT KEPT: %llu requests were sent over %.0f ms late, the latest by %.0f ms; the "
        "load generator is too slow for this rate on this machine\n",
        n(c.late), to_seconds(LoadResult::kLate) * 1e3, to_seconds(r.worst_late) * 1e3);
  }
}

}  // namespace

// NOLINTNEXTLINE(readability-function-size): too long
void add_load(CLI::App& app, int& result) {
  auto* command = app.add_subcommand(
      "load",
      "send requests on a fixed schedule and measure latency from their due times; exits with 1 "
      "if the schedule was not kept");
  auto o = std::make_shared<LoadCommand>();
  command
      ->add_option(
          "to", o->to,
          "loopback addresses A,B,..., used round robin, or @FILE with an address on each line")
      ->required();
  auto* rate =
      command->add_option("--rate", o->rate, "requests a second")->check(CLI::Range(0.001, 1e6));
  auto* seconds =
      command->add_option("--seconds", o->seconds, "duration")->check(CLI::Range(0.001, 86400.0));
  auto* stages =
      command->add_option("--stages", o->stages, "stages of different rates: RATExSECONDS,...");
  auto* poisson =
      command->add_flag("--poisson", o->poisson, "send as a Poisson process, not evenly spaced");
  auto* trace = command->add_option("--trace", o->trace,
                                    "replay a trace file: seconds, class, work in us, key");
  stages->excludes(rate)->excludes(seconds);
  trace->excludes(stages)->excludes(rate)->excludes(seconds)->excludes(poisson);
  command
      ->add_option("--connections", o->options.connections,
                   "maximum open at once, for each address")
      ->check(CLI::Range(1, 60000));
  command->add_option("--fresh", o->options.fresh, "fraction of requests sent on a new connection")
      ->check(CLI::Range(0.0, 1.0));
  command->add_option("--class", o->cls, "class of the requests, also used as their path");
  command
      ->add_option("--work-us", o->work_us,
                   "work of an emulated host for each request, microseconds")
      ->check(CLI::Range(0.0, 1e9));
  command->add_option("--deadline-ms", o->deadline_ms, "deadline sent in X-Deadline-Ms")
      ->check(CLI::Range(1.0, 1e6));
  command->add_flag("--post", o->options.post, "POST with a small body, not GET");
  command->add_option("--seed", o->options.seed, "seed of the Poisson process and of --fresh");
  auto* json = command->add_flag("--json", o->json, "print JSON");
  command->add_flag("--tsv", o->tsv, "print a header line and a row, separated by tabs")
      ->excludes(json);
  command->footer(
      "Keeps one core busy while the next request is due within 2 ms.\n"
      "Examples:\n  gateway-lab load 127.0.0.1:8080 --rate 20000 --poisson\n"
      "  gateway-lab load 127.0.0.1:8080 --stages 1000x5,8000x2,1000x5 --class seal --post\n"
      "  gateway-lab trace scenarios/rough.json --out run.tsv && gateway-lab load "
      "127.0.0.1:8080 "
      "--trace run.tsv");
  command->callback([o, &result] {
    o->options.to = parse_endpoints(o->to);
    o->options.deadline = from_millis(o->deadline_ms);
    const std::unique_ptr<Schedule> schedule = make_schedule(*o);
    install_signal_handlers();
    o->options.stopped = interrupted;
    LoadCounts last;
    if (!o->json && !o->tsv) {
      o->options.each_second = [&last, second = 0](const LoadCounts& c) mutable {
        const auto n = [](std::uint64_t now, std::uint64_t then) {
          return static_cast<unsigned long long>(now - then);
        };
        if (second == 0) {
          std::printf("%6s %9s %9s %9s %9s\n", "second", "due", "served", "refused", "lost");
        }
        std::printf(
            "%6d %9llu %9llu %9llu %9llu\n", ++second, n(c.due, last.due), n(c.served, last.served),
            n(c.refused, last.refused),
            n(c.failed + c.broken + c.unanswered, last.failed + last.broken + last.unanswered));
        std::fflush(stdout);
        last = c;
      };
    }
    const LoadResult r = send_load(*schedule, o->options);
    if (o->json) {
      std::cout << to_json(r).dump(1) << '\n';
    } else {
      print_load(r, o->tsv);
    }
    result = r.kept_schedule() ? kExitSuccess : kExitCheckFailed;
  });
}

void add_trace(CLI::App& app, int&) {
  auto* command =
      app.add_subcommand("trace", "write the first attempts of a run as a trace for load --trace");
  struct Options : RunSelection {
    std::string out;
  };
  auto o = std::make_shared<Options>();
  add_run_selection(*command, *o);
  command->add_option("--out", o->out, "file to write; standard output if not given");
  command->footer("Example:\n  gateway-lab trace scenarios/rough.json --seed 3 --out run.tsv");
  command->callback([o] {
    const Scenario scenario = open_scenario(o->scenario, o->set);
    std::ostringstream text;
    text << "# seconds\tclass\twork in us\tkey; " << scenario.name << ", seed " << o->seed << '\n';
    Traffic traffic(scenario, o->seed, draw_topology(scenario, o->seed).request_rate, Time{});
    for (Arrival arrival; traffic.next(arrival);) {
      write_trace_line(
          text, {arrival.at, scenario.classes[arrival.cls].name, arrival.work * 1e6, arrival.key});
    }
    if (o->out.empty()) {
      std::cout << text.str();
    } else {
      write_file(o->out, text.str());
    }
  });
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): too long
void add_overhead(CLI::App& app, int& result) {
  auto* command = app.add_subcommand(
      "overhead",
      "measure the overhead of a gateway: the same load sent directly to emulated hosts and "
      "through the gateway; exits with 1 if a measurement is invalid");
  struct Options {
    std::string scenario = "scenarios/bare.json", gateway = path_beside_executable("gateway");
    std::vector<unsigned> hosts{10, 100, 1000};
    std::vector<std::string> set;
    double rate = 5000, seconds = 5;
    unsigned connections = 64, repeat = 1;
    std::uint64_t seed = 1;
    bool json = false;
  };
  auto o = std::make_shared<Options>();
  command->add_option("--scenario", o->scenario, "scenario file; requests have its first class");
  command->add_option("--hosts", o->hosts, "fleet sizes, N,N,...")
      ->delimiter(',')
      ->check(CLI::Range(1, 5000));
  command->add_option("--rate", o->rate, "requests a second")->check(CLI::Range(1.0, 1e6));
  command->add_option("--seconds", o->seconds, "duration of each measurement")
      ->check(CLI::Range(0.1, 3600.0));
  command->add_option("--connections", o->connections, "maximum open from clients to the gateway")
      ->check(CLI::Range(1, 60000));
  command
      ->add_option("--repeat", o->repeat,
                   "measurements of each fleet size; each round measures every size once")
      ->check(CLI::Range(1, 1000));
  command->add_option("--gateway", o->gateway, "the gateway executable");
  command->add_option("--set", o->set, "override a field of the scenario");
  command->add_option("--seed", o->seed, "seed of the fleet and the load");
  command->add_flag("--json", o->json, "print JSON");
  command->footer("Example:\n  gateway-lab overhead --hosts 10,1000 --rate 10000 --repeat 3");
  command->callback([o, &result] {
    require_executable(o->gateway);
    install_signal_handlers();
    ordered rows = ordered::array();
    if (!o->json) {
      std::printf("%6s %9s | %8s %8s | %8s %8s | %12s   %s\n", "hosts", "a second", "p50", "p99",
                  "p50", "p99", "gateway CPU", "valid");
    }
    if (!o->json) {
      std::printf("%16s | %17s | %17s | %12s\n", "", "direct, ms", "through it, ms",
                  "us a request");
    }
    for (unsigned round = 0; round < o->repeat && !interrupted(); ++round) {
      for (unsigned hosts : o->hosts) {
        std::vector<std::string> set = o->set;
        set.push_back("hosts.count=" + std::to_string(hosts));
        const Scenario scenario = open_scenario(o->scenario, set);
        TemporaryFolder folder;
        OverheadOptions options{std::filesystem::absolute(o->gateway).string(),
                                folder.path(),
                                o->rate,
                                o->seconds,
                                o->connections,
                                interrupted};
        const OverheadResult r = measure_overhead(scenario, o->seed, options);
        if (interrupted()) {
          break;
        }
        if (!r.is_valid()) {
          result = kExitCheckFailed;
        }
        if (o->json) {
          rows.push_back({{"hosts", r.hosts},
                          {"straight", to_json(r.direct)},
                          {"through", to_json(r.through)},
                          {"gateway_cpu_us_a_request", r.gateway_cpu_us},
                          {"emulator_late_ms", r.emulator_late_ms},
                          {"sound", r.is_valid()}});
          continue;
        }
        std::printf("%6u %9.0f | %8.2f %8.2f | %8.2f %8.2f | %12.1f   %s\n", r.hosts, o->rate,
                    percentile(r.direct.from_due, 0.5), percentile(r.direct.from_due, 0.99),
                    percentile(r.through.from_due, 0.5), percentile(r.through.from_due, 0.99),
                    r.gateway_cpu_us, r.is_valid() ? "yes" : "NO");
        std::fflush(stdout);
      }
    }
    if (o->json) {
      std::cout << rows.dump(1) << '\n';
    }
  });
}

}  // namespace gateway::lab
