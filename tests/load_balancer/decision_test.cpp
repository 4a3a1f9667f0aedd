// Slow start without the rest of the Balancer, and host selection among so many hosts that only a
// sample of them is examined.
#include <set>

#include "load_balancer/components.hpp"
#include "support/balancer_driver.hpp"

namespace load_balancer::testing {
namespace {

// SlowStart with only the components that it depends on.
struct SlowStartFixture {
  explicit SlowStartFixture(Settings settings = make_settings())
      : context(std::move(settings), seconds(100)) {}
  // Adds hosts, numbered from the present count of hosts.
  void add_hosts(int count, Time started_at, const std::string& machine_type = "std") {
    std::vector<Endpoint> entries;
    for (int i = 0; i < count; ++i) {
      entries.push_back(make_host(static_cast<int>(hosts.size()) + i));
      entries.back().started_at = started_at;
      entries.back().machine_type = machine_type;
    }
    hosts.on_endpoint_update(EndpointUpdateKind::delta, entries);
  }
  void advance(Duration time) { context.now += time; }
  // The host gives a successful response with a load report.
  void respond(HostId id, double utilization, Duration service_time = milliseconds(50)) {
    slow_start.on_load_report(hosts.at(id), {utilization, service_time});
    slow_start.on_success(hosts.at(id));
  }
  // Estimated successes per second of a warm host of the same machine type at full utilization.
  double capacity(HostId id) const { return hosts.machine_type_of(hosts.at(id)).capacity; }

  Context context;
  HostSet hosts{context};
  AdmissionController admission{context, hosts};
  SlowStart slow_start{context, hosts, admission};
};

// For `rounds` times 200 ms, hosts 0, 1, ... each give 5 responses per second with a load report;
// `utilizations` has the reported utilization of each host.
void respond_regularly(SlowStartFixture& fixture, const std::vector<double>& utilizations,
                       int rounds = 100) {
  for (int i = 0; i < rounds; ++i) {
    fixture.advance(milliseconds(200));
    for (HostId id = 0; id < utilizations.size(); ++id) {
      fixture.respond(id, utilizations[id]);
    }
    fixture.slow_start.sweep();
  }
}

// The utilization of a host is that by all gateways together. Divided by it, the rate of the
// responses to this gateway gives this gateway's part of the host's capacity.
TEST(SlowStartComponent, CapacityIsSuccessesPerBusyTime) {
  SlowStartFixture fixture;
  fixture.add_hosts(4, Time{});
  respond_regularly(fixture, {0.5, 0.5, 0.5, 0.5});
  EXPECT_NEAR(fixture.capacity(0), 10, 1);  // 5 per second at a utilization of 0.5
}

// The estimate is summed over a machine type, so that the false reports of one host cannot make the
// gateways overload all hosts of its type.
TEST(SlowStartComponent, FalseIdleReportsOfOneHostRaiseTheCapacityByAThirdAtMost) {
  SlowStartFixture with_correct_reports;
  SlowStartFixture with_false_report;
  for (SlowStartFixture* fixture : {&with_correct_reports, &with_false_report}) {
    fixture->add_hosts(4, Time{});
  }
  respond_regularly(with_correct_reports, {0.5, 0.5, 0.5, 0.5});
  respond_regularly(with_false_report, {0.5, 0.5, 0.0, 0.5});
  EXPECT_LT(with_false_report.capacity(0), 1.34 * with_correct_reports.capacity(0));
}

// A weak machine type that is assumed to be as strong as the others would be overloaded by the
// first requests.
TEST(SlowStartComponent, MachineTypeWithoutReportsIsAssumedWeakerThanTheOthers) {
  SlowStartFixture fixture;
  fixture.add_hosts(4, Time{});
  fixture.add_hosts(1, fixture.context.now, "new");
  respond_regularly(fixture, {0.5, 0.5, 0.5, 0.5});
  EXPECT_LT(fixture.capacity(4), 0.5 * fixture.capacity(0));
}

// Two responses in 20 s are too few to estimate the capacity from utilization; only the reported
// service time shows that the machine type is slow.
TEST(SlowStartComponent, MachineTypeWithFewResponsesIsRatedByItsServiceTime) {
  SlowStartFixture fixture;
  fixture.add_hosts(4, Time{});
  fixture.add_hosts(1, Time{}, "slow");
  for (int i = 0; i < 100; ++i) {
    fixture.advance(milliseconds(200));
    for (HostId id = 0; id < 4; ++id) {
      fixture.respond(id, 0.5);
    }
    if (i % 50 == 49) {
      fixture.respond(4, 0.5, milliseconds(200));  // two responses in all
    }
    fixture.slow_start.sweep();
  }
  EXPECT_LT(fixture.capacity(4), 0.3 * fixture.capacity(0));
}

// A short lack of load reports must not change the estimate, but an old estimate must not stay in
// use.
TEST(SlowStartComponent, CapacityFadesSlowlyWithoutReports) {
  SlowStartFixture fixture;
  fixture.add_hosts(4, Time{});
  respond_regularly(fixture, {0.25, 0.25, 0.25, 0.25});
  const double learned_capacity = fixture.capacity(0);
  for (int i = 0; i < 20; ++i) {
    fixture.advance(kSweepInterval), fixture.slow_start.sweep();
  }
  EXPECT_NEAR(fixture.capacity(0), learned_capacity, 0.1 * learned_capacity);
  for (int i = 0; i < 3000; ++i) {
    fixture.advance(kSweepInterval), fixture.slow_start.sweep();
  }
  // Estimate without reports: half of an even part of 80 requests per second.
  EXPECT_NEAR(fixture.capacity(0), 10, 0.1);
}

// 48 gateways, which exchange nothing, can each have requests for a warming host at any moment.
// Tokens that the gateways saved up while they had none would be spent together, in one burst that
// overloads the host.
TEST(SlowStartComponent, UnusedTokensOfManyGatewaysDoNotAccumulate) {
  std::vector<std::unique_ptr<SlowStartFixture>> gateways;
  for (std::uint64_t i = 0; i < 48; ++i) {
    Settings settings = make_settings();
    settings.gateway_count = 48;
    settings.seed = i + 1;
    settings.collapse_window = seconds(1);
    gateways.push_back(std::make_unique<SlowStartFixture>(settings));
    gateways.back()->add_hosts(4, Time{});
    respond_regularly(*gateways.back(), {0.5, 0.5, 0.5, 0.5}, 50);
    gateways.back()->add_hosts(1, gateways.back()->context.now);
  }
  // Capacity of the warming host at its start, for all gateways together.
  const double capacity = gateways[0]->capacity(0) * 48 * 0.2;
  int burst = 0;
  for (auto& gateway : gateways) {
    // try_admit() without on_sent(): an available token is not spent.
    for (int i = 0; i < 20; ++i) {
      gateway->advance(kSweepInterval), gateway->slow_start.try_admit(gateway->hosts.at(4));
    }
    burst += gateway->slow_start.try_admit(gateway->hosts.at(4));
  }
  EXPECT_GT(burst, 0);
  // A host collapses under three times its capacity within a second; the burst is instantaneous.
  EXPECT_LT(burst, 1.5 * capacity);
}

// --- Selection among many hosts ---

// With 200 hosts the selection examines only a sample. If the sample were too small, requests would
// queue at busy hosts while others are idle.
TEST(SampledSelection, IdleHostsAreFoundAmongManyBusyHosts) {
  Driver driver(make_settings(), 200);
  // Each host has two attempts in flight; then those of twenty hosts end.
  for (int i = 0; i < 400; ++i) {
    driver.request(0, seconds(1));
  }
  std::map<HostId, int> attempts_in_flight;
  for (const SentAttempt& attempt : driver.sent) {
    ++attempts_in_flight[attempt.host];
  }
  std::set<HostId> idle_hosts;
  for (const SentAttempt& attempt : std::vector<SentAttempt>(driver.sent)) {
    if (idle_hosts.size() < 20) {
      idle_hosts.insert(attempt.host);
    }
    if (idle_hosts.count(attempt.host)) {
      driver.report_result(attempt, AttemptOutcome::success, true, milliseconds(50));
    }
  }
  int sent_to_idle = 0;
  const std::size_t before = driver.sent.size();
  for (int i = 0; i < 15; ++i) {
    driver.request(0, seconds(1));
  }
  for (std::size_t i = before; i < driver.sent.size(); ++i) {
    sent_to_idle += idle_hosts.count(driver.sent[i].host) ? 1 : 0;
  }
  // 48 sampled hosts include no idle host once in 160 selections if a tenth of all hosts is idle.
  EXPECT_GE(sent_to_idle, 13);
}

// Warming hosts are sampled from a list of their own, which must not keep hosts that a snapshot has
// removed.
TEST(SampledSelection, WarmingHostsRemovedByASnapshotReceiveNothing) {
  Driver driver(make_settings(), 0);
  std::vector<Endpoint> endpoints;
  for (int i = 0; i < 100; ++i) {
    endpoints.push_back(make_host(i));
    endpoints.back().started_at = driver.now;
  }
  driver.balancer.on_endpoint_update(driver.now, EndpointUpdateKind::snapshot, endpoints);
  endpoints.erase(endpoints.begin(), endpoints.begin() + 60);
  driver.balancer.on_endpoint_update(driver.now, EndpointUpdateKind::snapshot, endpoints);
  driver.collect();
  for (int i = 0; i < 300; ++i) {
    driver.advance(milliseconds(20), milliseconds(20));
    driver.request(0, seconds(1));
  }
  EXPECT_GE(driver.sent.size(), 5u);
  for (const SentAttempt& attempt : driver.sent) {
    EXPECT_GE(driver.balancer.address(attempt.host), make_host(60).address);
  }
}

// Hosts serve a key faster once they have served it. If a change of the endpoint list gave all keys
// to other hosts, all hosts would serve unknown keys at once.
TEST(SampledSelection, MostKeysKeepTheirHostWhenFewHostsAreRemoved) {
  Settings settings = make_settings();
  settings.key_affinity = true;
  const auto hosts_by_key = [&](int first_host) {
    Driver driver(settings, 0);
    std::vector<Endpoint> endpoints;
    for (int i = first_host; i < 300; ++i) {
      endpoints.push_back(make_host(i));
    }
    driver.balancer.on_endpoint_update(driver.now, EndpointUpdateKind::snapshot, endpoints);
    driver.collect();
    std::map<std::uint64_t, std::string> host_by_key;
    for (std::uint64_t key = 1; key <= 200; ++key) {
      const std::size_t before = driver.sent.size();
      driver.request(0, seconds(1), key * 7919);
      host_by_key[key] = driver.balancer.address(driver.sent.at(before).host);
      driver.report_result(SentAttempt(driver.sent.at(before)), AttemptOutcome::success, true,
                           milliseconds(5));
    }
    return host_by_key;
  };
  const auto with_all_hosts = hosts_by_key(0);
  const auto with_fewer_hosts = hosts_by_key(6);  // without 6 of the 300 hosts: 2 %
  int moved = 0;
  for (const auto& [key, host] : with_all_hosts) {
    moved += with_fewer_hosts.at(key) != host;
  }
  EXPECT_LE(moved, 200 * 0.08);
}

// Guards against attempts that wait for the silence of a connection while another host of the key
// has a quiet one.
TEST(KeyAffinity, PrefersHostWithQuietConnection) {
  Settings s = make_settings();
  s.key_affinity = true;
  s.connection_quiet_period = milliseconds(120);
  Driver d(s, 3);
  constexpr std::uint64_t kKey = 5;
  const auto send = [&] {
    d.request(0, milliseconds(1000), kKey);
    return d.last_sent();
  };
  const auto first = send();
  const auto second = send();
  ASSERT_NE(first.host, second.host);
  d.serve(first);
  d.serve(second);
  d.advance(milliseconds(200));
  const auto third = send();
  d.serve(third);
  const auto fourth = send();
  EXPECT_NE(fourth.host, third.host);
  d.serve(fourth);
  d.advance(milliseconds(200));
  EXPECT_EQ(send().host, third.host) << "the first host of the key, once its connection is quiet";
}

}  // namespace
}  // namespace load_balancer::testing
