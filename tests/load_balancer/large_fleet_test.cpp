// Hundreds of gateways with little traffic each, in front of hosts of different capacities, which
// no setting states. The hosts are simulated: cores, a queue, and an overload collapse after which
// a host stays slow until it has had little load for a while.
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include "load_balancer/hashing.hpp"
#include "load_balancer/maglev_table.hpp"
#include "load_balancer/math_helpers.hpp"
#include "support/balancer_driver.hpp"

namespace load_balancer::testing {
namespace {

constexpr Duration kTick = milliseconds(10);
constexpr int kGateways = 300;

// An attempt at a host.
struct ActiveAttempt {
  std::size_t gateway;
  AttemptResult result;
  Time sent_at, timeout_at;
  Duration remaining_work;
};

struct SimulatedHost {
  Endpoint endpoint;
  int cores = 2;
  Duration service_time = milliseconds(50);
  bool sends_load_reports = true, unresponsive = false;
  std::vector<ActiveAttempt> attempts;  // the first `cores` of them run, the others are queued
  // Utilization, 0 to 1, smoothed; seconds for which the host has been overloaded, or nearly idle.
  double utilization = 0, overloaded_for = 0, nearly_idle_for = 0;
  bool collapsed = false;  // attempts take three times as long, until the host is nearly idle
  int sent = 0, served = 0, collapsed_ticks = 0;
};

// Advances in steps of kTick. Every gateway is a Balancer with a seed of its own, in the east or
// the west zone.
struct SimulatedFleet {
  std::vector<SimulatedHost> hosts;
  std::vector<std::unique_ptr<Balancer>> gateways;
  Time now = seconds(100);
  double requests_per_second = 6;  // at each gateway
  int requests = 0, responses_in_time = 0, rejected = 0;
  std::mt19937_64 random{11};
  RequestId last_request = 0;
  std::map<RequestId, Time> started_at;  // of the requests that have not ended

  void add_hosts(int count, const std::string& machine_type, int cores, Duration service_time) {
    for (int i = 0; i < count; ++i) {
      SimulatedHost host;
      host.endpoint = make_host(static_cast<int>(hosts.size()), i % 2 ? "west" : "east");
      host.endpoint.machine_type = machine_type;
      host.cores = cores;
      host.service_time = service_time;
      hosts.push_back(host);
    }
  }
  void update_endpoints(std::size_t gateway, EndpointUpdateKind kind) {
    std::vector<Endpoint> endpoints;
    for (const SimulatedHost& host : hosts) {
      endpoints.push_back(host.endpoint);
    }
    gateways[gateway]->on_endpoint_update(now, kind, endpoints);
  }
  // Creates the gateways, which get all hosts from a cached endpoint list.
  void start() {
    for (int g = 0; g < kGateways; ++g) {
      Settings settings = make_settings();
      settings.seed = static_cast<std::uint64_t>(g) + 1;
      settings.gateway_count = kGateways;
      settings.gateway_index = static_cast<std::uint32_t>(g);
      settings.zone = g % 2 ? "west" : "east";
      settings.key_affinity = true;
      settings.collapse_window = seconds(1);
      gateways.push_back(std::make_unique<Balancer>(settings, now));
      update_endpoints(gateways.size() - 1, EndpointUpdateKind::restored);
    }
  }
  void perform_actions(std::size_t g) {
    for (const Action& action : gateways[g]->actions()) {
      if (const auto* rejection = std::get_if<RejectRequest>(&action);
          rejection && started_at.erase(rejection->request)) {
        ++rejected;
      }
      if (const auto* failure = std::get_if<FailRequest>(&action)) {
        started_at.erase(failure->request);
      }
      const auto* send = std::get_if<SendAttempt>(&action);
      if (!send) {
        continue;
      }
      const SendAttempt& attempt = *send;
      const std::string& address = gateways[g]->address(attempt.host);
      for (SimulatedHost& host : hosts) {
        if (host.endpoint.address == address) {
          ++host.sent;
          const AttemptResult result{attempt.request,
                                     attempt.attempt,
                                     attempt.host,
                                     AttemptOutcome::success,
                                     {},
                                     false,
                                     false};
          host.attempts.push_back({g, result, now, now + attempt.timeout,
                                   host.service_time * (host.collapsed ? 3 : 1)});
        }
      }
    }
    gateways[g]->actions().clear();
  }
  // Gives the result of an attempt at the host to its gateway, with a load report if it succeeded.
  void finish_attempt(SimulatedHost& host, ActiveAttempt attempt, AttemptOutcome outcome) {
    attempt.result.outcome = outcome;
    attempt.result.elapsed = now - attempt.sent_at;
    attempt.result.is_final = outcome == AttemptOutcome::success;
    const auto started = started_at.find(attempt.result.request);
    if (outcome == AttemptOutcome::success && started != started_at.end()) {
      ++host.served;
      responses_in_time += now - started->second <= milliseconds(400);
      started_at.erase(started);
    }
    if (outcome == AttemptOutcome::success && host.sends_load_reports) {
      gateways[attempt.gateway]->on_load_report(
          now, attempt.result.host,
          {host.utilization, host.service_time * (host.collapsed ? 3 : 1)});
    }
    gateways[attempt.gateway]->on_attempt_result(now, attempt.result);
    perform_actions(attempt.gateway);
  }
  // Simulates a tick of the host. More than 4 attempts per core for 1.5 s make it collapse; less
  // than 0.4 per core for 3 s end the collapse.
  void advance_host(SimulatedHost& host) {
    const double tick_seconds = to_seconds(kTick);
    const double load = static_cast<double>(host.attempts.size()) / host.cores;
    host.utilization += 0.03 * (std::min(load, 1.0) - host.utilization);
    host.overloaded_for = load > 4 ? host.overloaded_for + tick_seconds : 0;
    host.nearly_idle_for = load < 0.4 ? host.nearly_idle_for + tick_seconds : 0;
    host.collapsed = host.collapsed ? host.nearly_idle_for < 3 : host.overloaded_for > 1.5;
    host.collapsed_ticks += host.collapsed;
    int running = 0;
    std::vector<std::pair<ActiveAttempt, AttemptOutcome>> ended;
    std::erase_if(host.attempts, [&](ActiveAttempt& attempt) {
      if (!host.unresponsive && running++ < host.cores) {
        attempt.remaining_work -= kTick;
      }
      const bool done = attempt.remaining_work <= Duration{};
      if (done || now >= attempt.timeout_at) {
        ended.emplace_back(attempt, done ? AttemptOutcome::success : AttemptOutcome::timeout);
      }
      return done || now >= attempt.timeout_at;
    });
    for (auto& [attempt, outcome] : ended) {
      finish_attempt(host, attempt, outcome);
    }
  }
  // Runs the fleet for `time` and calls `on_tick` before each tick. Requests arrive at random
  // times; of their 400 keys those with low numbers are more frequent.
  void run(
      Duration time, const std::function<void()>& on_tick = [] {}) {
    for (const Time end = now + time; now < end; now += kTick) {
      on_tick();
      for (SimulatedHost& host : hosts) {
        advance_host(host);
      }
      for (std::size_t g = 0; g < gateways.size(); ++g) {
        gateways[g]->on_wakeup(now);
        if (to_unit_interval(random()) < requests_per_second * to_seconds(kTick)) {
          const double key_position = to_unit_interval(random());
          Request request{++last_request,
                          0,
                          kNone,
                          seconds(1),
                          {},
                          static_cast<std::uint64_t>(key_position * key_position * 400) + 1,
                          true,
                          false};
          ++requests;
          started_at[request.id] = now;
          gateways[g]->on_request(now, request);
        }
        perform_actions(g);
      }
    }
  }
  void reset_counts() {
    requests = responses_in_time = rejected = 0;
    for (SimulatedHost& host : hosts) {
      host.sent = host.served = host.collapsed_ticks = 0;
    }
  }
  // Fraction of the requests that had a response within the latency objective of 400 ms.
  double fraction_in_time() const { return static_cast<double>(responses_in_time) / requests; }
  // Attempts at hosts of the machine type, per request.
  double attempts_per_request(const std::string& machine_type) const {
    double sent = 0;
    for (const SimulatedHost& host : hosts) {
      sent += host.endpoint.machine_type == machine_type ? host.sent : 0;
    }
    return sent / requests;
  }
  // Fraction of the host time that was spent collapsed, out of the last `time`.
  double collapsed_fraction(Duration time) const {
    double ticks = 0;
    for (const SimulatedHost& host : hosts) {
      ticks += host.collapsed_ticks;
    }
    return ticks * to_seconds(kTick) / to_seconds(time) / static_cast<double>(hosts.size());
  }
};

// The gateways estimate the capacities from response times and load reports. Spread evenly, the
// requests would overload the hosts of the weakest machine type, which then stay slow.
TEST(LargeGatewayFleet, MachineTypesAreLoadedByCapacityAndNoHostCollapses) {
  SimulatedFleet fleet;
  fleet.add_hosts(16, "new", 3, milliseconds(50));   // 60 per second each
  fleet.add_hosts(14, "std", 3, milliseconds(75));   // 40
  fleet.add_hosts(30, "old", 2, milliseconds(130));  // 15
  fleet.start();
  fleet.run(seconds(12));  // 1,800 requests per second; the capacity of all hosts is 1,970
  EXPECT_GT(fleet.fraction_in_time(), 0.62);
  EXPECT_LT(fleet.collapsed_fraction(seconds(12)), 0.05);
  EXPECT_GT(fleet.attempts_per_request("new") / 16, 1.5 * fleet.attempts_per_request("old") / 30);
}

// A low response time does not mean much capacity: with a single core, a fast host is overloaded by
// fewer requests in flight.
TEST(LargeGatewayFleet, FastMachineTypeWithOneCoreIsNotOverloaded) {
  SimulatedFleet fleet;
  fleet.requests_per_second = 5;
  fleet.add_hosts(20, "large", 4, milliseconds(90));  // 44 per second each
  fleet.add_hosts(40, "quick", 1, milliseconds(30));  // 33; responds sooner, is overloaded sooner
  fleet.start();
  fleet.run(seconds(12));
  EXPECT_GT(fleet.fraction_in_time(), 0.80);
  EXPECT_LT(fleet.collapsed_fraction(seconds(12)), 0.10);
}

// A host that never responds has no latency and no load report that could be compared, and could be
// taken for an average or idle host. A host that sends no load reports must not be avoided for
// that.
TEST(LargeGatewayFleet, UnresponsiveHostGetsFewRequestsAndHostWithoutReportsItsPart) {
  SimulatedFleet fleet;
  fleet.requests_per_second = 4;
  fleet.add_hosts(40, "std", 3, milliseconds(75));
  fleet.hosts[3].unresponsive = true;
  fleet.hosts[4].sends_load_reports = false;
  fleet.start();
  fleet.run(seconds(6));
  fleet.reset_counts();
  fleet.run(seconds(6));
  EXPECT_LT(fleet.hosts[3].sent, 0.35 * fleet.requests / 40);
  EXPECT_GT(fleet.hosts[4].sent, 0.5 * fleet.requests / 40);
  EXPECT_LT(fleet.hosts[4].sent, 1.5 * fleet.requests / 40);
}

// When all hosts of the strong machine type are replaced within 7 s, the load moves to the weak
// one. After their warm-up the new hosts must get their part again, though nothing is known of
// them.
TEST(LargeGatewayFleet, ReplacedHostsOfTheStrongMachineTypeAreUsedAgain) {
  SimulatedFleet fleet;
  fleet.requests_per_second = 4;
  fleet.add_hosts(24, "new", 3, milliseconds(50));
  fleet.add_hosts(24, "old", 2, milliseconds(130));
  fleet.start();
  fleet.run(seconds(4));
  int next_host = 0;
  for (int second = 0; second < 7; ++second) {
    for (int i = 0; i < 4 && next_host < 24; ++i, ++next_host) {
      fleet.hosts[static_cast<std::size_t>(next_host)].endpoint.address += "-b";
      fleet.hosts[static_cast<std::size_t>(next_host)].endpoint.started_at = fleet.now;
    }
    for (std::size_t g = 0; g < fleet.gateways.size(); ++g) {
      fleet.update_endpoints(g, EndpointUpdateKind::snapshot), fleet.perform_actions(g);
    }
    fleet.run(seconds(1));
  }
  fleet.run(seconds(11));  // the last replaced hosts are warm after 10 s
  fleet.reset_counts();
  fleet.run(seconds(4));
  EXPECT_GT(fleet.fraction_in_time(), 0.80);
  EXPECT_GT(fleet.attempts_per_request("new"), 2 * fleet.attempts_per_request("old"));
}

// Gateways prefer hosts of their own zone. If all of these restart at once, the preference must not
// send them more than warming hosts can serve.
TEST(LargeGatewayFleet, RestartedOwnZoneIsNotOverloadedWhileTheOtherZoneIsWarm) {
  SimulatedFleet fleet;
  fleet.requests_per_second = 2;  // 600 per second; the east alone has capacity for 800
  // 40 per second each. Hosts with even numbers are in the east.
  fleet.add_hosts(40, "std", 3, milliseconds(75));
  fleet.start();
  fleet.run(seconds(6));
  for (std::size_t i = 1; i < fleet.hosts.size(); i += 2) {  // the whole west is restarted
    fleet.hosts[i].endpoint.address += "-b";
    fleet.hosts[i].endpoint.started_at = fleet.now;
  }
  for (std::size_t g = 0; g < fleet.gateways.size(); ++g) {
    fleet.update_endpoints(g, EndpointUpdateKind::snapshot), fleet.perform_actions(g);
  }
  // In each second no warming host gets more than its capacity at the start, 40 times
  // initial_warmup_fraction (0.2). Spread evenly, the requests would be 15 per host.
  fleet.reset_counts();
  int most_per_second = 0;
  std::vector<int> sent_before(fleet.hosts.size(), 0);
  for (int second = 0; second < 4; ++second) {
    fleet.run(seconds(1));
    for (std::size_t i = 1; i < fleet.hosts.size(); i += 2) {
      most_per_second = std::max(most_per_second, fleet.hosts[i].sent - sent_before[i]);
      sent_before[i] = fleet.hosts[i].sent;
    }
  }
  EXPECT_LE(most_per_second, 8);
  EXPECT_GT(fleet.fraction_in_time(), 0.85);  // the warm east serves the rest
  fleet.run(seconds(10));                     // until all are warm again
  fleet.reset_counts();
  fleet.run(seconds(4));
  int sent_to_west = 0;
  for (std::size_t i = 1; i < fleet.hosts.size(); i += 2) {
    sent_to_west += fleet.hosts[i].sent;
  }
  EXPECT_GT(fleet.fraction_in_time(), 0.85);
  EXPECT_GT(sent_to_west, fleet.requests / 4);  // the west serves its part again
}

// Uneven entries would give some hosts more of the keys; entries that move without need would send
// keys to hosts that have not served them before.
TEST(MaglevTable, EntriesAreEvenAndFewMoveWhenAHostIsRemoved) {
  std::vector<std::uint64_t> hashes;
  for (std::uint64_t i = 0; i < 200; ++i) {
    hashes.push_back(mix_bits(i));
  }
  MaglevTable with_all_hosts;
  MaglevTable without_one_host;
  with_all_hosts.rebuild(hashes);
  hashes.erase(hashes.begin() + 50);
  without_one_host.rebuild(hashes);
  std::vector<int> entries(200);
  int moved = 0;
  for (std::uint64_t hash = 0; hash < 8192; ++hash) {
    const std::size_t before = with_all_hosts.lookup(hash);
    const std::size_t after = without_one_host.lookup(hash);
    ++entries[before];
    moved += before != 50 && after != before - (before > 50);
  }
  EXPECT_LE(*std::max_element(entries.begin(), entries.end()), 41);  // 8,192 entries / 200 hosts
  EXPECT_GE(*std::min_element(entries.begin(), entries.end()), 40);
  EXPECT_LT(moved, 8192 / 40);  // not counting the 41 entries of the removed host
}

}  // namespace
}  // namespace load_balancer::testing
