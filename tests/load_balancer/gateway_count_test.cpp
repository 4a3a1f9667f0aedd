// Many gateways with little traffic each, which exchange nothing: the sum of what they send must
// not overload a host.
#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <random>
#include <set>

#include "load_balancer/hashing.hpp"
#include "load_balancer/math_helpers.hpp"
#include "support/balancer_driver.hpp"

namespace load_balancer::testing {
namespace {

// Balancers of all gateways, run in steps of 20 ms.
class GatewayFleet {
 public:
  GatewayFleet(Settings settings, int gateways, int hosts) : host_count(hosts) {
    settings.gateway_count = static_cast<std::uint32_t>(gateways);
    for (int g = 0; g < gateways; ++g) {
      settings.gateway_index = static_cast<std::uint32_t>(g);
      settings.seed = static_cast<std::uint64_t>(g) + 1;
      drivers.push_back(std::make_unique<Driver>(settings, 0));
    }
    update_endpoints(EndpointUpdateKind::snapshot, 0, hosts);
  }
  // Gives all gateways an update that lists the hosts from `first` up to, but not including, `end`.
  void update_endpoints(EndpointUpdateKind kind, int first, int end, Time started_at = {}) {
    std::vector<Endpoint> endpoints;
    for (int i = first; i < end; ++i) {
      endpoints.push_back(make_host(i));
      endpoints.back().started_at = started_at;
    }
    for (auto& driver : drivers) {
      driver->balancer.on_endpoint_update(driver->now, kind, endpoints);
      driver->collect();
    }
    host_count = std::max(host_count, end);
  }
  // Each gateway gets `requests_per_second`, at random times; hosts respond after `latency`.
  void run(double duration_seconds, double requests_per_second,
           Duration latency = milliseconds(40)) {
    const double arrival_probability = requests_per_second * 0.02;
    for (int i = 0; i < static_cast<int>(duration_seconds / 0.02); ++i) {
      for (auto& driver : drivers) {
        if (std::uniform_real_distribution<>()(engine) < arrival_probability) {
          driver->request(0);
        }
        driver->advance(milliseconds(20), milliseconds(20));
        while (!driver->in_flight.empty() &&
               driver->now - driver->in_flight.front().at >= latency) {
          driver->serve(SentAttempt(driver->in_flight.front()));
        }
      }
    }
  }
  void clear_history() {
    for (auto& driver : drivers) {
      driver->clear_history();
    }
  }
  // Attempts at the host by all gateways.
  std::size_t sent_to(int host) const {
    std::size_t count = 0;
    for (const auto& driver : drivers) {
      count += driver->sent_to(driver->host(host));
    }
    return count;
  }
  // Number of gateways that have sent an attempt to the host.
  std::size_t gateways_using(int host) const {
    std::size_t count = 0;
    for (const auto& driver : drivers) {
      count += driver->sent_to(driver->host(host)) > 0;
    }
    return count;
  }
  Time now() const { return drivers.front()->now; }

  std::vector<std::unique_ptr<Driver>> drivers;
  int host_count;
  std::mt19937 engine{11};
};

// If each of hundreds of gateways may send a warming host at least one request per window, or has a
// token for it from the start, their sum overloads the host.
TEST(GatewayFleet, ManyGatewaysTogetherDoNotOverloadAWarmingHost) {
  // With key affinity every gateway uses every host.
  for (bool key_affinity : {false, true}) {
    Settings settings = make_settings();
    settings.key_affinity = key_affinity;
    GatewayFleet fleet(settings, 200, 30);
    fleet.run(10, 6);
    fleet.clear_history();
    fleet.run(2, 6);
    double warm_host_requests = 0;  // mean, in a collapse window of 2 s
    for (int h = 0; h < 30; ++h) {
      warm_host_requests += static_cast<double>(fleet.sent_to(h)) / 30;
    }
    fleet.update_endpoints(EndpointUpdateKind::delta, 30, 31, fleet.now());
    std::size_t sum = 0;
    for (int window = 0; window < 3; ++window) {
      fleet.clear_history();
      fleet.run(2, 6);
      // Fraction of its full capacity that the host has when the window begins.
      const double warmup_fraction = 0.2 + 0.8 * (2 * window) / 10;
      EXPECT_LT(static_cast<double>(fleet.sent_to(30)), 3 * warmup_fraction * warm_host_requests)
          << "window " << window;
      sum += fleet.sent_to(30);
    }
    EXPECT_GT(static_cast<double>(sum), 0.3 * warm_host_requests)
        << "the host still receives requests";
  }
}

// After a restart of all gateways nothing is known of any host, and the first endpoint list may
// contain warming hosts.
TEST(GatewayFleet, RestartedGatewaysTogetherDoNotOverloadAWarmingHost) {
  Settings settings = make_settings();
  settings.key_affinity = true;
  GatewayFleet fleet(settings, 200, 30);
  fleet.update_endpoints(EndpointUpdateKind::delta, 30, 31, fleet.now());
  fleet.run(2, 6);
  double warm_host_requests = 0;
  for (int h = 0; h < 30; ++h) {
    warm_host_requests += static_cast<double>(fleet.sent_to(h)) / 30;
  }
  EXPECT_LT(static_cast<double>(fleet.sent_to(30)), 3 * 0.2 * warm_host_requests);
}

// Of 24 gateways, 6 have twenty times the traffic of the others, and hosts restart. Counts the
// attempts at each warming host in every collapse window: also those that it rejects (a fifth),
// their retries, and those of gateways that restart and lose count of what they sent. The budget N
// of a host is collapse_load_factor times its capacity at the start of the window; only what is due
// to chance may exceed it, 2 * sqrt(N) + 2.
// NOLINTNEXTLINE(readability-function-cognitive-complexity): nested loops over time and gateways
TEST(GatewayFleet, UnevenAndRestartingGatewaysStayWithinTheBudgetOfAWarmingHost) {
  constexpr int kGateways = 24;
  constexpr int kBusyGateways = 6;
  constexpr int kHosts = 12;
  constexpr int kWarmingHosts = 3;
  constexpr Duration kTick = milliseconds(10);
  constexpr Duration kWindow = seconds(1);
  // Requests per second: 0.7 of the capacity of a warm host.
  for (const double requests_per_host : {4.0, 40.0}) {
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
      SCOPED_TRACE("requests per second and host " + std::to_string(requests_per_host) + ", seed " +
                   std::to_string(seed));
      Settings settings = make_settings();
      settings.collapse_window = kWindow;
      GatewayFleet fleet(settings, kGateways, kHosts);
      std::mt19937_64 random(seed);
      const double low_rate =
          requests_per_host * kHosts / (kGateways - kBusyGateways + 20.0 * kBusyGateways);
      std::vector<Time> attempt_times[kWarmingHosts];
      // NOLINTNEXTLINE(readability-function-cognitive-complexity): nested loops over time
      const auto run_for = [&](Duration time) {
        for (const Time end = fleet.now() + time; fleet.now() < end;) {
          for (int g = 0; g < kGateways; ++g) {
            Driver& driver = *fleet.drivers[g];
            const std::size_t sent_before = driver.sent.size();
            // The random fraction makes the mean number of requests per tick exact.
            for (double due_requests =
                     (g < kBusyGateways ? 20 * low_rate : low_rate) * to_seconds(kTick) +
                     to_unit_interval(random());
                 due_requests >= 1;) {
              driver.request(0), due_requests -= 1;
            }
            driver.advance(kTick, kTick);
            for (std::size_t k = 0; k < driver.in_flight.size();) {
              const SentAttempt attempt = driver.in_flight[k];
              if (driver.now - attempt.at < milliseconds(40)) {
                ++k;
              } else if (attempt.host < kWarmingHosts && to_unit_interval(random()) < 0.2) {
                driver.report_result(attempt, AttemptOutcome::rejected_by_host, false);
              } else {
                driver.serve(attempt);
              }
            }
            for (std::size_t i = sent_before; i < driver.sent.size(); ++i) {
              for (int h = 0; h < kWarmingHosts; ++h) {
                if (driver.sent[i].host == driver.host(h)) {
                  attempt_times[h].push_back(driver.sent[i].at);
                }
              }
            }
          }
        }
      };
      run_for(seconds(8));
      for (auto& times : attempt_times) {
        times.clear();
      }
      const Time restarted_at = fleet.now();
      fleet.update_endpoints(EndpointUpdateKind::delta, 0, kWarmingHosts, restarted_at);
      for (int round = 0; round < 4; ++round) {
        run_for(seconds(1));
        // A quarter of the gateways restarts, with the present endpoint list.
        for (int g = round; g < kGateways; g += 4) {
          settings.gateway_count = kGateways;
          settings.gateway_index = static_cast<std::uint32_t>(g);
          settings.seed = random();
          const Time now = fleet.drivers[g]->now;
          fleet.drivers[g] = std::make_unique<Driver>(settings, 0);
          fleet.drivers[g]->now = now;
          std::vector<Endpoint> endpoints;
          for (int i = 0; i < kHosts; ++i) {
            endpoints.push_back(make_host(i)),
                endpoints.back().started_at = i < kWarmingHosts ? restarted_at : Time{};
          }
          fleet.drivers[g]->balancer.on_endpoint_update(now, EndpointUpdateKind::snapshot,
                                                        endpoints);
          fleet.drivers[g]->collect();
        }
      }
      for (int h = 0; h < kWarmingHosts; ++h) {
        std::sort(attempt_times[h].begin(), attempt_times[h].end());
        for (std::size_t last = 0, first = 0; last < attempt_times[h].size(); ++last) {
          while (attempt_times[h][last] - attempt_times[h][first] >= kWindow) {
            ++first;
          }
          const double warmup_fraction = settings.initial_warmup_fraction +
                                         (1 - settings.initial_warmup_fraction) *
                                             to_seconds(attempt_times[h][first] - restarted_at) /
                                             to_seconds(settings.warmup_duration);
          const double budget = settings.collapse_load_factor * warmup_fraction *
                                requests_per_host / 0.7 * to_seconds(kWindow);
          ASSERT_LE(static_cast<double>(last - first + 1), budget + 2 * std::sqrt(budget) + 2)
              << "host " << h;
        }
        EXPECT_GT(attempt_times[h].size(), requests_per_host / 4)
            << "the host still receives requests";
      }
    }
  }
}

// A host accepts a limited number of connections. If every gateway used every host, the gateways
// would exhaust that limit, and some could not connect.
TEST(GatewayFleet, EachHostIsUsedByASmallAndSimilarNumberOfGateways) {
  GatewayFleet fleet(make_settings(), 320, 50);
  fleet.run(5, 6);
  std::size_t fewest = 320;
  std::size_t most = 0;
  for (int h = 0; h < 50; ++h) {
    fewest = std::min(fewest, fleet.gateways_using(h));
    most = std::max(most, fleet.gateways_using(h));
  }
  EXPECT_LE(most, 64u) << "a fifth of the 320 gateways";
  EXPECT_GE(fewest, 20u);
}

// With random subsets, or subsets that start at fixed places of a ring, some hosts would have 4
// gateways and others 12, and load in proportion.
TEST(GatewayFleet, SubsetsCoverAllHostsEvenlyForAnyCounts) {
  for (const auto& [gateways, hosts] : {std::pair{300, 200}, {290, 171}, {150, 40}}) {
    GatewayFleet fleet(make_settings(), gateways, hosts);
    fleet.run(10, 4);
    double fewest = 1e9;
    double most = 0;
    double mean = 0;
    for (int h = 0; h < hosts; ++h) {
      const auto gateways_of_host = static_cast<double>(fleet.gateways_using(h));
      fewest = std::min(fewest, gateways_of_host), most = std::max(most, gateways_of_host),
      mean += gateways_of_host / hosts;
    }
    EXPECT_LT(most, 1.3 * mean) << gateways << " gateways, hosts: " << hosts;
    EXPECT_GT(fewest, 0.6 * mean) << gateways << " gateways, hosts: " << hosts;
  }
}

// A host that is added or removed may change only the subsets next to it. Otherwise a rolling
// deployment of the hosts would cost every gateway all its connections.
TEST(GatewayFleet, SubsetKeepsItsRemainingHostsWhileOthersAreReplaced) {
  GatewayFleet fleet(make_settings(), 100, 60);
  fleet.run(4, 4);
  std::vector<std::set<int>> hosts_before(fleet.drivers.size());
  for (std::size_t g = 0; g < hosts_before.size(); ++g) {
    for (int h = 30; h < 60; ++h) {
      if (fleet.drivers[g]->sent_to(fleet.drivers[g]->host(h)) > 0) {
        hosts_before[g].insert(h);
      }
    }
  }
  // Half of the hosts are replaced by new ones, one at a time.
  for (int h = 0; h < 30; ++h) {
    std::vector<Endpoint> change{make_host(h), make_host(60 + h)};
    change[0].state = EndpointState::removed;
    for (auto& driver : fleet.drivers) {
      driver->balancer.on_endpoint_update(driver->now, EndpointUpdateKind::delta, change);
      driver->collect();
    }
    fleet.host_count = 61 + h;
    fleet.run(0.1, 4);
  }
  fleet.clear_history();
  fleet.run(4, 4);
  std::size_t kept = 0;
  std::size_t total = 0;
  for (std::size_t g = 0; g < hosts_before.size(); ++g) {
    for (int h : hosts_before[g]) {
      ++total, kept += fleet.drivers[g]->sent_to(fleet.drivers[g]->host(h)) > 0;
    }
  }
  EXPECT_GT(static_cast<double>(kept), 0.7 * static_cast<double>(total));
}

// A gateway with twenty times the traffic of the others would overload the few hosts of a subset
// that is sized for an average gateway.
TEST(GatewayFleet, GatewayWithMuchTrafficUsesMoreHosts) {
  GatewayFleet fleet(make_settings(), 100, 80);
  const std::size_t busy_gateway = 7;
  for (int i = 0; i < 400; ++i) {
    for (int n = 0; n < 2; ++n) {
      fleet.drivers[busy_gateway]->request(0);  // 100 per second
    }
    fleet.run(0.02, 5);
  }
  std::size_t hosts_of_busy_gateway = 0;
  std::size_t hosts_of_other_gateway = 0;
  std::size_t most_attempts = 0;
  std::size_t total_attempts = 0;
  for (int h = 0; h < 80; ++h) {
    const std::size_t attempts =
        fleet.drivers[busy_gateway]->sent_to(fleet.drivers[busy_gateway]->host(h));
    hosts_of_busy_gateway += attempts > 0, total_attempts += attempts,
        most_attempts = std::max(most_attempts, attempts);
    hosts_of_other_gateway += fleet.drivers[3]->sent_to(fleet.drivers[3]->host(h)) > 0;
  }
  EXPECT_GE(hosts_of_busy_gateway, 70u);
  EXPECT_LE(hosts_of_other_gateway, 20u);
  EXPECT_LT(static_cast<double>(most_attempts), 3 * static_cast<double>(total_attempts) / 80);
}

// Connections to hosts that are no longer in the subset are not used, but count towards the
// connection limits of those hosts.
TEST(GatewayFleet, AddedHostsAreUsedAndConnectionsToFormerSubsetHostsClosed) {
  GatewayFleet fleet(make_settings(), 320, 50);
  fleet.run(3, 6);
  fleet.update_endpoints(EndpointUpdateKind::delta, 50, 100);
  fleet.run(3, 6);
  fleet.clear_history();
  fleet.run(6, 6);
  std::size_t sent_to_added = 0;
  std::size_t sent_to_all = 0;
  std::size_t closed = 0;
  for (int h = 0; h < 100; ++h) {
    sent_to_all += fleet.sent_to(h);
    if (h >= 50) {
      sent_to_added += fleet.sent_to(h);
    }
  }
  for (const auto& driver : fleet.drivers) {
    closed += driver->count<CloseIdleConnections>();
  }
  EXPECT_GT(sent_to_added, sent_to_all / 3);
  EXPECT_GT(closed, 320u) << "each gateway replaces some of its six hosts by new ones";
}

// All gateways poll the same discovery service. After a failure at the same time for all, their
// next polls must not coincide, and none may poll later than the longest poll interval allows.
TEST(GatewayFleet, PollsAreSpreadOutAfterDiscoveryWasUnavailable) {
  Settings settings = make_settings();
  settings.poll_discovery = true;
  settings.max_poll_interval = seconds(10);
  GatewayFleet fleet(settings, 200, 10);
  for (int round = 0; round < 4; ++round) {
    fleet.clear_history();
    for (auto& driver : fleet.drivers) {
      driver->balancer.on_endpoint_update(driver->now, EndpointUpdateKind::unavailable, {});
      driver->collect();
    }
    std::vector<std::size_t> polls_by_window;
    std::size_t polled_before = 0;
    for (int window = 0; window < 100; ++window) {  // of 100 ms
      std::size_t polled = 0;
      for (auto& driver : fleet.drivers) {
        driver->advance(milliseconds(100), milliseconds(20));
        polled += std::min<std::size_t>(driver->count<PollEndpoints>(), 1);
      }
      polls_by_window.push_back(polled - polled_before);
      polled_before = polled;
    }
    EXPECT_EQ(polled_before, 200u) << "all poll again within the longest poll interval";
    EXPECT_LE(*std::max_element(polls_by_window.begin(), polls_by_window.end()), 50u)
        << "round " << round;
  }
}

// The number of requests in flight at a gateway with little traffic varies by chance. The cubic
// shedding threshold must not shed because of that, but must still shed when hosts are slow.
TEST(GatewayFleet, LowTrafficGatewaysShedOnlyWhenHostsAreSlow) {
  GatewayFleet fleet(make_settings(), 100, 20);
  fleet.run(10, 6, milliseconds(110));
  fleet.clear_history();
  fleet.run(10, 6, milliseconds(110));
  std::size_t rejected_requests = 0;
  std::size_t requests = 0;
  for (auto& driver : fleet.drivers) {
    rejected_requests += driver->count<RejectRequest>();
    requests += driver->count<RejectRequest>() + driver->sent.size();
  }
  EXPECT_LT(rejected_requests * 50, requests)
      << "hosts respond in about a quarter of the latency objective";

  Settings settings = make_settings();
  settings.gateway_count = 100;
  Driver gateway(settings, 20);
  std::size_t rejected_before = 0;
  for (int i = 0; i < 600; ++i) {
    gateway.request(1);
    gateway.advance(milliseconds(150));
    for (std::size_t k = 0; k < gateway.in_flight.size();) {
      const SentAttempt attempt = gateway.in_flight[k];
      if (i < 300) {
        gateway.report_result(attempt, AttemptOutcome::success, true, milliseconds(40));
      } else if (gateway.now - attempt.at >= milliseconds(380)) {
        gateway.report_result(attempt, AttemptOutcome::timeout, false);
      } else {
        ++k;
      }
    }
    if (i == 300) {
      rejected_before = gateway.count<RejectRequest>();
    }
  }
  EXPECT_LT(rejected_before, 6u);
  EXPECT_GT(gateway.count<RejectRequest>() - rejected_before, 100u)
      << "of 300 requests, since no response is in time any more";
}

// A slow host that the gateway does not know as slow yet would use up the whole latency objective
// of a request that another host could serve in time.
TEST(Hedging, HedgedAttemptIsSentOnlyIfAllowedAndForIdempotentRequests) {
  for (bool allow_hedging : {true, false}) {
    Settings settings = make_settings();
    settings.allow_hedging = allow_hedging;
    Driver driver(settings, 6);
    for (std::uint32_t class_index : {0u, 1u}) {
      driver.warm_up(class_index, 60);
    }
    for (std::uint32_t class_index : {0u, 1u}) {
      driver.clear_history();
      driver.request(class_index);
      driver.advance(milliseconds(300));
      EXPECT_EQ(driver.sent.size(), allow_hedging && class_index == 0 ? 2u : 1u);
      if (driver.sent.size() == 2) {
        EXPECT_NE(driver.sent[0].host, driver.sent[1].host);
      }
      while (!driver.in_flight.empty()) {
        driver.report_result(SentAttempt(driver.in_flight.back()), AttemptOutcome::success,
                             driver.in_flight.size() == 1);
      }
    }
  }
}

// Popular keys can overload a host without any gateway noticing, as each has few requests in flight
// there. The weight in the endpoint list shows the load by all gateways.
TEST(DynamicWeights, LoadedHostGetsFewerRequestsUntilItRecovers) {
  Settings settings = make_settings();
  settings.dynamic_weights = true;
  Driver driver(settings, 6);
  const auto run = [&](double weight) {
    driver.clear_history();
    for (int i = 0; i < 400; ++i) {
      if (i % 10 == 0) {
        Endpoint endpoint = make_host(2);
        endpoint.weight = weight;
        driver.balancer.on_endpoint_update(driver.now, EndpointUpdateKind::delta, {endpoint});
      }
      driver.request(0);
      driver.advance(milliseconds(40));
      while (!driver.in_flight.empty()) {
        driver.serve(SentAttempt(driver.in_flight.front()));
      }
    }
    return driver.sent_to(driver.host(2));
  };
  EXPECT_GT(run(1), 40u);
  EXPECT_LT(run(0.1), 40u);
  run(1);
  EXPECT_GT(run(1), 40u);
}

// If each of hundreds of gateways could save up 30 retries, overloaded hosts would get all of them
// at once.
TEST(RetryTokens, LowTrafficGatewaySavesUpFewTokens) {
  Settings settings = make_settings();
  settings.max_attempts = 2;
  Driver driver(settings, 20);
  driver.warm_up(0, 200, milliseconds(200));
  driver.clear_history();
  for (int i = 0; i < 20; ++i) {
    driver.request(0);
    while (!driver.in_flight.empty()) {
      driver.report_result(SentAttempt(driver.in_flight.front()), AttemptOutcome::rejected_by_host,
                           false);
    }
    driver.advance(milliseconds(20));
  }
  EXPECT_LE(driver.sent.size(), 20u + 13u);  // first attempts and retries
}

// A gateway that sends a host a request once in many seconds learns its latency too late; that of
// its machine type is known sooner.
TEST(MachineTypeLatency, NewHostIsAssumedAsFastAsItsMachineType) {
  std::vector<Endpoint> endpoints;
  for (int i = 0; i < 12; ++i) {
    endpoints.push_back(make_host(i));
    endpoints.back().machine_type = i % 2 ? "slow" : "fast";
  }
  Driver driver(make_settings(), 0);
  driver.balancer.on_endpoint_update(driver.now, EndpointUpdateKind::snapshot,
                                     {endpoints.begin(), endpoints.begin() + 8});
  for (int i = 0; i < 400; ++i) {
    driver.request(0);
    while (!driver.in_flight.empty()) {
      const SentAttempt attempt = driver.in_flight.front();
      const bool slow = attempt.host == driver.host(1) || attempt.host == driver.host(3) ||
                        attempt.host == driver.host(5) || attempt.host == driver.host(7);
      driver.report_result(attempt, AttemptOutcome::success, true, milliseconds(slow ? 90 : 30));
    }
    driver.advance(milliseconds(50), milliseconds(50));
  }
  driver.balancer.on_endpoint_update(driver.now, EndpointUpdateKind::delta,
                                     {endpoints.begin() + 8, endpoints.end()});
  driver.clear_history();
  for (int i = 0; i < 60; ++i) {
    driver.request(0);
    while (!driver.in_flight.empty()) {
      // Gives no latency sample.
      driver.report_result(SentAttempt(driver.in_flight.front()), AttemptOutcome::cancelled, true);
    }
  }
  EXPECT_GT(driver.sent_to(driver.host(8)) + driver.sent_to(driver.host(10)),
            2 * (driver.sent_to(driver.host(9)) + driver.sent_to(driver.host(11))));
}

// With many gateways, the few hosts of a popular key would be overloaded while others are idle, so
// it is spread over many hosts. A key with little of the traffic stays on few hosts, the same at
// all gateways.
TEST(GatewayFleet, PopularKeyIsSpreadOverManyHostsAndOthersOverFew) {
  // Number of hosts that receive the popular key if `other_requests` requests of other keys follow
  // each request of it.
  const auto host_count_of_key = [](std::uint32_t gateway_count, std::uint64_t other_requests) {
    Settings settings = make_settings();
    settings.key_affinity = true;
    settings.gateway_count = gateway_count;
    std::set<std::string> hosts;
    for (settings.seed = 1; settings.seed <= 4; ++settings.seed) {
      Driver driver(settings, 40);
      for (std::uint64_t i = 0; i < 900; ++i) {
        const bool is_other_key = i % (other_requests + 1) != 0;
        driver.request(0, milliseconds(1000), is_other_key ? 1000 + i % 300 : 77);
        if (!is_other_key) {
          hosts.insert(driver.balancer.address(driver.last_sent().host));
        }
        driver.advance(milliseconds(20), milliseconds(20));
        while (!driver.in_flight.empty()) {
          driver.serve(SentAttempt(driver.in_flight.front()));
        }
      }
    }
    return hosts.size();
  };
  EXPECT_EQ(host_count_of_key(4, 0), 1u) << "few gateways: each sees enough of the load of a host";
  EXPECT_GT(host_count_of_key(48, 0), 30u);
  EXPECT_GT(host_count_of_key(48, 99), 1u);
  EXPECT_LE(host_count_of_key(48, 99), 8u);
}

// A failed connect costs the whole connect timeout. The host is down or accepts no more
// connections, so that the next requests must go to other hosts.
TEST(ConnectBackoff, StartsAtTheFirstFailedConnect) {
  Driver driver(make_settings(), 6);
  driver.warm_up(0, 60);
  driver.clear_history();
  for (int i = 0; i < 40; ++i) {
    driver.request(0);
    driver.advance(milliseconds(10));
    for (std::size_t k = 0; k < driver.in_flight.size();) {
      const SentAttempt attempt = driver.in_flight[k];
      if (attempt.host == driver.host(1)) {
        driver.report_result(attempt, AttemptOutcome::connect_failed, false);
      } else {
        driver.serve(attempt);
      }
    }
  }
  EXPECT_EQ(driver.sent_to(driver.host(1)), 1u);
}

// --- Load reports: what a gateway with little traffic learns of the load by all gateways ---

// A gateway of 100.
struct LowTrafficGateway : Driver {
  explicit LowTrafficGateway(int hosts = 20) : Driver(fleet_settings(), hosts) {}
  static Settings fleet_settings() {
    Settings settings = make_settings();
    settings.gateway_count = 100;
    return settings;
  }
  // Sends 15 requests per second; hosts respond after 80 ms, with a load report of `utilization`.
  // Attempts for which `handle_attempt` returns true get no such response.
  void run(double duration_seconds, double utilization,
           const std::function<bool(const SentAttempt&)>& handle_attempt = {}) {
    for (int i = 0; i < static_cast<int>(duration_seconds / 0.066); ++i) {
      request(1);
      advance(milliseconds(66), milliseconds(6));
      for (const SentAttempt& attempt : std::vector<SentAttempt>(in_flight)) {
        if (handle_attempt && handle_attempt(attempt)) {
          continue;
        }
        if (now - attempt.at < milliseconds(80)) {
          continue;
        }
        balancer.on_load_report(
            now, attempt.host,
            {utilization, attempt.host == host(0) ? host_0_service_time : milliseconds(40)});
        serve(attempt);
      }
    }
  }
  Duration host_0_service_time = milliseconds(40);
};

// The few requests in flight of such a gateway do not show whether the hosts are overloaded by the
// others; the load reports do.
TEST(LowTrafficGateway, ShedsNothingWhileHostsAreIdleAndShedsWhileTheyAreBusy) {
  LowTrafficGateway gateway;
  gateway.run(10, 0.4);
  EXPECT_EQ(gateway.count<RejectRequest>(), 0u)
      << "its requests in flight vary, but hosts are idle";
  gateway.run(4, 0.97);
  EXPECT_GT(gateway.balancer.shedding_threshold(), 20)
      << "with as few requests in flight as before";
  gateway.run(20, 0.4);
  EXPECT_LT(gateway.balancer.shedding_threshold(), 1);
}

// A host that fails at once has nothing in flight, so it looks idle and would get most of the
// requests until its failures are noticed.
TEST(LowTrafficGateway, HostThatFailsAtOnceIsAvoidedAfterFewFailures) {
  LowTrafficGateway gateway(6);
  gateway.run(5, 0.4);
  gateway.clear_history();
  gateway.run(30, 0.4, [&](const SentAttempt& attempt) {
    if (attempt.host != gateway.host(3)) {
      return false;
    }
    gateway.report_result(attempt, AttemptOutcome::server_error, false);
    return true;
  });
  EXPECT_LE(gateway.sent_to(gateway.host(3)), 6u) << "of 450 requests on 6 hosts";
}

}  // namespace
}  // namespace load_balancer::testing
