// The sub-commands that send load of their own: load, trace, overhead.
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

tcp::endpoint read_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), ec);
  unsigned port = 0;
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  if (ec || colon == std::string::npos || std::from_chars(first, last, port).ptr != last ||
      port == 0 || port > 65535) {
    throw BadInput("'" + text + "' should be an address and port, such as 127.0.0.1:8080");
  }
  if (!address.is_loopback()) {
    throw BadInput(text + ": load is sent to loopback only");
  }
  return {address, static_cast<std::uint16_t>(port)};
}

// "A,B,..." or "@FILE" with an address on each line.
std::vector<tcp::endpoint> read_addresses(const std::string& text) {
  std::vector<tcp::endpoint> out;
  const bool in_file = text.rfind('@', 0) == 0;
  std::ifstream file;
  std::istringstream listed(text);
  if (in_file) {
    file.open(text.substr(1));
    if (!file) {
      throw BadInput(text.substr(1) + ": cannot be read");
    }
  }
  std::istream& in = in_file ? static_cast<std::istream&>(file) : listed;
  for (std::string one; std::getline(in, one, in_file ? '\n' : ',');) {
    if (!one.empty()) {
      out.push_back(read_address(one));
    }
  }
  if (out.empty()) {
    throw BadInput(text + ": names no address");
  }
  return out;
}

struct LoadCommand {
  std::string to, stages, trace, cls = "status";
  double rate = 1000, seconds = 10, work_us = 0, deadline_ms = 2000;
  bool poisson = false, json = false, tsv = false;
  LoadOptions options;
};

std::unique_ptr<Schedule> schedule_of(const LoadCommand& o) {
  try {
    if (!o.trace.empty()) {
      return replayed(o.trace);
    }
    return staged(
        o.stages.empty() ? std::vector<Stage>{{o.rate, o.seconds}} : read_stages(o.stages),
        DueRequest{{}, o.cls, o.work_us, 0}, o.poisson, o.options.seed);
  } catch (const std::invalid_argument& bad) {
    throw BadInput(bad.what());
  }
}

ordered to_json(const Latency& latency) {
  ordered out;
  for (const auto& [name, share] :
       {std::pair{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p999", 0.999}}) {
    out[name] = percentile(latency, share);
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

void print_load(const LoadResult& r, bool tsv) {
  const ordered figures = to_json(r);
  if (tsv) {
    std::string head;
    std::string row;
    for (const auto& [name, value] : figures.items()) {
      if (value.is_object()) {
        for (const auto& [part, figure] : value.items()) {
          head += name + "_" + part + "\t", row += figure.dump() + "\t";
        }
      } else {
        head += name + "\t", row += value.dump() + "\t";
      }
    }
    head.back() = row.back() = '\n';
    std::cout << head << row;
    return;
  }
  const LoadCounts& c = r.counts;
  const auto n = [](std::uint64_t v) {
    return static_cast<unsigned long long>(v);
  };
  std::printf(
      "%llu due in %.1f s: %llu served, %llu refused, %llu failed, %llu broken, %llu unanswered\n",
      n(c.due), r.seconds, n(c.served), n(c.refused), n(c.failed), n(c.broken), n(c.unanswered));
  std::printf("%.0f answers a second over %llu connections; %llu requests waited for one\n",
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
        "SCHEDULE NOT KEPT: %llu requests were sent over %.0f ms late, the worst %.0f ms; the load "
        "tool "
        "is too slow for this rate here\n",
        n(c.late), to_seconds(LoadResult::kLate) * 1e3, to_seconds(r.worst_late) * 1e3);
  }
}

}  // namespace

// NOLINTNEXTLINE(readability-function-size): too long
void add_load(CLI::App& app, int& result) {
  auto* command = app.add_subcommand(
      "load",
      "send requests on a fixed schedule, latency from when each was due; exit 1 "
      "if the schedule was not kept");
  auto o = std::make_shared<LoadCommand>();
  command
      ->add_option("to", o->to,
                   "addresses on loopback, A,B,... in turn, or @FILE with one on each line")
      ->required();
  auto* rate =
      command->add_option("--rate", o->rate, "requests a second")->check(CLI::Range(0.001, 1e6));
  auto* seconds =
      command->add_option("--seconds", o->seconds, "length")->check(CLI::Range(0.001, 86400.0));
  auto* stages = command->add_option("--stages", o->stages, "steps instead: RATExSECONDS,...");
  auto* poisson =
      command->add_flag("--poisson", o->poisson, "at random times of that rate, not evenly spaced");
  auto* trace = command->add_option("--trace", o->trace,
                                    "replay a file of seconds, class, work in us and key");
  stages->excludes(rate)->excludes(seconds);
  trace->excludes(stages)->excludes(rate)->excludes(seconds)->excludes(poisson);
  command->add_option("--connections", o->options.connections, "open at a time, to each address")
      ->check(CLI::Range(1, 60000));
  command->add_option("--fresh", o->options.fresh, "share of requests with a new connection")
      ->check(CLI::Range(0.0, 1.0));
  command->add_option("--class", o->cls, "class of the requests, and their path");
  command->add_option("--work-us", o->work_us, "work that emulated hosts do for each, microseconds")
      ->check(CLI::Range(0.0, 1e9));
  command->add_option("--deadline-ms", o->deadline_ms, "told in X-Deadline-Ms")
      ->check(CLI::Range(1.0, 1e6));
  command->add_flag("--post", o->options.post, "POST with a small body, not GET");
  command->add_option("--seed", o->options.seed, "of random times");
  auto* json = command->add_flag("--json", o->json, "print JSON");
  command->add_flag("--tsv", o->tsv, "print a head and a row, set apart by tabs")->excludes(json);
  command->footer(
      "It keeps one core busy while the next request is less than 2 ms away.\n"
      "Examples:\n  gateway-lab load 127.0.0.1:8080 --rate 20000 --poisson\n"
      "  gateway-lab load 127.0.0.1:8080 --stages 1000x5,8000x2,1000x5 --class seal --post\n"
      "  gateway-lab trace scenarios/rough.json --out day.tsv && gateway-lab load "
      "127.0.0.1:8080 "
      "--trace day.tsv");
  command->callback([o, &result] {
    o->options.to = read_addresses(o->to);
    o->options.deadline = from_millis(o->deadline_ms);
    const std::unique_ptr<Schedule> schedule = schedule_of(*o);
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
    result = r.kept_schedule() ? kYes : kNo;
  });
}

void add_trace(CLI::App& app, int&) {
  auto* command =
      app.add_subcommand("trace", "write a day's first tries as a trace that load can replay");
  struct Options : DayChoice {
    std::string out;
  };
  auto o = std::make_shared<Options>();
  add_day_choice(*command, *o);
  command->add_option("--out", o->out, "file to write; else standard output");
  command->footer("Example:\n  gateway-lab trace scenarios/rough.json --seed 3 --out day.tsv");
  command->callback([o] {
    const Scenario scenario = open_scenario(o->scenario, o->set);
    std::ostringstream text;
    text << "# seconds\tclass\twork in us\tkey; " << scenario.name << ", seed " << o->seed << '\n';
    Traffic traffic(scenario, o->seed, draw_topology(scenario, o->seed).request_rate, Time{});
    for (Arrival t; traffic.next(t);) {
      write_trace_line(text, {t.at, scenario.classes[t.cls].name, t.work * 1e6, t.key});
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
      "what a gateway costs: the same load straight to emulated hosts and through "
      "it; exit 1 if a figure is not sound");
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
  command->add_option("--scenario", o->scenario, "scenario file; its first class is asked for");
  command->add_option("--hosts", o->hosts, "fleet sizes, N,N,...")
      ->delimiter(',')
      ->check(CLI::Range(1, 5000));
  command->add_option("--rate", o->rate, "requests a second")->check(CLI::Range(1.0, 1e6));
  command->add_option("--seconds", o->seconds, "length of each measurement")
      ->check(CLI::Range(0.1, 3600.0));
  command->add_option("--connections", o->connections, "of clients to the gateway")
      ->check(CLI::Range(1, 60000));
  command->add_option("--repeat", o->repeat, "measurements of each size, the sizes in turn")
      ->check(CLI::Range(1, 1000));
  command->add_option("--gateway", o->gateway, "the gateway's program");
  command->add_option("--set", o->set, "set a field first");
  command->add_option("--seed", o->seed, "seed");
  command->add_flag("--json", o->json, "print JSON");
  command->footer("Example:\n  gateway-lab overhead --hosts 10,1000 --rate 10000 --repeat 3");
  command->callback([o, &result] {
    require_executable(o->gateway);
    install_signal_handlers();
    ordered rows = ordered::array();
    if (!o->json) {
      std::printf("%6s %9s | %8s %8s | %8s %8s | %12s   %s\n", "hosts", "a second", "p50", "p99",
                  "p50", "p99", "gateway CPU", "sound");
    }
    if (!o->json) {
      std::printf("%16s | %17s | %17s | %12s\n", "", "straight, ms", "through it, ms",
                  "us a request");
    }
    for (unsigned n = 0; n < o->repeat && !interrupted(); ++n) {
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
        if (!r.sound()) {
          result = kNo;
        }
        if (o->json) {
          rows.push_back({{"hosts", r.hosts},
                          {"straight", to_json(r.straight)},
                          {"through", to_json(r.through)},
                          {"gateway_cpu_us_a_request", r.gateway_cpu_us},
                          {"emulator_late_ms", r.emulator_late_ms},
                          {"sound", r.sound()}});
          continue;
        }
        std::printf("%6u %9.0f | %8.2f %8.2f | %8.2f %8.2f | %12.1f   %s\n", r.hosts, o->rate,
                    percentile(r.straight.from_due, 0.5), percentile(r.straight.from_due, 0.99),
                    percentile(r.through.from_due, 0.5), percentile(r.through.from_due, 0.99),
                    r.gateway_cpu_us, r.sound() ? "yes" : "NO");
        std::fflush(stdout);
      }
    }
    if (o->json) {
      std::cout << rows.dump(1) << '\n';
    }
  });
}

}  // namespace gateway::lab
