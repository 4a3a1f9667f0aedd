// Hosts in maintenance, and the budget for warming hosts while two processes serve a gateway.
#include "support/balancer_driver.hpp"

namespace load_balancer::testing {
namespace {

class MaintenanceTest : public ::testing::Test {
 protected:
  Driver driver{make_settings()};
  const std::string address = make_host(0).address;

  void set_maintenance(bool in_maintenance) {
    driver.balancer.set_maintenance(driver.now, address, in_maintenance);
    driver.collect();
  }
  // Lists the first `count` hosts, host 0 as started at `started_at`.
  void update_endpoints(int count, Time started_at = Time{},
                        EndpointUpdateKind kind = EndpointUpdateKind::snapshot) {
    std::vector<Endpoint> entries;
    for (int i = 0; i < count; ++i) {
      entries.push_back(make_host(i, "east", i % 2));
    }
    if (!entries.empty()) {
      entries[0].started_at = started_at;
    }
    driver.balancer.on_endpoint_update(driver.now, kind, entries);
    driver.collect();
  }
  // Serves `count` requests one after another and returns the number of attempts at host 0.
  std::size_t attempts_at_host(int count, std::uint32_t class_index = 0) {
    driver.clear_history();
    for (int i = 0; i < count; ++i) {
      driver.request(class_index);
      driver.advance(milliseconds(20), milliseconds(20));
      while (!driver.in_flight.empty()) {
        driver.serve(SentAttempt(driver.in_flight.front()));
      }
    }
    return driver.balancer.find_host(address) == kNone
               ? 0
               : driver.sent_to(driver.balancer.find_host(address));
  }
};

// Starting the maintenance twice has no further effect, so that one call ends it.
TEST_F(MaintenanceTest, HostReceivesNothingUntilOneCallEndsTheMaintenance) {
  EXPECT_GT(attempts_at_host(60), 0u);
  set_maintenance(true);
  set_maintenance(true);
  EXPECT_EQ(attempts_at_host(60), 0u);
  set_maintenance(false);
  EXPECT_GT(attempts_at_host(250), 0u);
}

// Nothing is sent on them during the maintenance, in which the host may be restarted.
TEST_F(MaintenanceTest, IdleConnectionsOfTheHostAreClosed) {
  set_maintenance(true);
  ASSERT_EQ(driver.count<CloseIdleConnections>(), 1u);
}

// Discovery does not know of the maintenance: it may list the host as before, or as restarted.
TEST_F(MaintenanceTest, EndpointUpdatesDoNotEndTheMaintenance) {
  set_maintenance(true);
  update_endpoints(6, driver.now);  // with a new start
  EXPECT_EQ(attempts_at_host(60), 0u);
  update_endpoints(6);
  EXPECT_EQ(attempts_at_host(60), 0u);
}

// Discovery may remove a host that is restarted during its maintenance, and list it again later.
TEST_F(MaintenanceTest, RemovalFromTheEndpointListDoesNotEndTheMaintenance) {
  set_maintenance(true);
  driver.balancer.on_endpoint_update(driver.now, EndpointUpdateKind::snapshot,
                                     {make_host(1), make_host(2)});
  driver.collect();
  EXPECT_EQ(driver.balancer.find_host(address), kNone);
  update_endpoints(6);
  EXPECT_EQ(attempts_at_host(60), 0u);
  set_maintenance(false);
  EXPECT_GT(attempts_at_host(250), 0u);
}

// An operator can put a host into maintenance before the gateway has its endpoint, as at the start
// of the gateway.
TEST_F(MaintenanceTest, HostPutIntoMaintenanceBeforeItIsListedReceivesNothing) {
  Driver new_gateway(make_settings(), 1);
  new_gateway.balancer.set_maintenance(new_gateway.now, make_host(1).address, true);
  new_gateway.balancer.on_endpoint_update(new_gateway.now, EndpointUpdateKind::snapshot,
                                          {make_host(0), make_host(1)});
  new_gateway.collect();
  new_gateway.warm_up(0, 20);
  EXPECT_EQ(new_gateway.sent_to(new_gateway.host(1)), 0u);
}

// With two hosts, of which the other one is in maintenance, neither the hedged attempt nor the
// retry has a host to go to.
TEST_F(MaintenanceTest, RetriesAndHedgedAttemptsAreNotSentToTheHost) {
  Settings settings = make_settings();
  settings.allow_hedging = true;
  Driver two_hosts(settings, 2);
  two_hosts.warm_up(0, 20);
  two_hosts.clear_history();
  two_hosts.request(0);
  const SentAttempt first = two_hosts.last_sent();
  const int other_host = first.host == two_hosts.host(0) ? 1 : 0;
  two_hosts.balancer.set_maintenance(two_hosts.now, make_host(other_host).address, true);
  two_hosts.collect();
  two_hosts.advance(milliseconds(600));  // past the time of a hedged attempt
  EXPECT_EQ(two_hosts.sent_to(two_hosts.host(other_host)), 0u);
  two_hosts.report_result(first, AttemptOutcome::server_error, false);
  EXPECT_EQ(two_hosts.sent_to(two_hosts.host(other_host)), 0u);
}

TEST_F(MaintenanceTest, RequestIsRejectedWhenAllHostsAreInMaintenance) {
  Driver one_host(make_settings(), 1);
  one_host.balancer.set_maintenance(one_host.now, make_host(0).address, true);
  one_host.collect();
  EXPECT_TRUE(one_host.rejected(one_host.request(1)));
}

// A host is often restarted during its maintenance. The endpoint list may show that late, and a
// host that restarted but counts as warm would be overloaded.
TEST_F(MaintenanceTest, HostWarmsUpAfterwardsWhileTheListHasItsOldStart) {
  const std::size_t warm = attempts_at_host(100);
  set_maintenance(true);
  attempts_at_host(50);
  set_maintenance(false);
  const std::size_t before_update = attempts_at_host(50);
  update_endpoints(6);  // still with the old start
  const std::size_t total = before_update + attempts_at_host(50);
  EXPECT_GT(total, 0u);
  EXPECT_LT(total, warm / 2) << "within the budget of a warming host";
}

// If the endpoint list names a start during the maintenance, the warm-up counts from that start and
// not from the end of the maintenance.
TEST_F(MaintenanceTest, WarmUpCountsFromAStartListedDuringTheMaintenance) {
  const std::size_t warm = attempts_at_host(200);
  set_maintenance(true);
  driver.advance(milliseconds(100));
  const Time restarted = driver.now;
  update_endpoints(6, restarted);
  driver.advance(seconds(9), milliseconds(100));
  set_maintenance(false);
  driver.advance(seconds(2), milliseconds(100));  // 11 s after its start; warm after 10 s
  EXPECT_GT(attempts_at_host(200), warm / 2);
}

// Two processes of a gateway, each with the whole budget for a warming host, would together send it
// twice as much.
TEST_F(MaintenanceTest, LowerBudgetFractionSendsLessToAWarmingHost) {
  const auto attempts_at_warming_host = [](double budget_fraction) {
    Driver driver(make_settings());
    driver.warm_up(0, 200, milliseconds(20));
    driver.balancer.set_budget_fraction(driver.now, budget_fraction);
    std::vector<Endpoint> entries;
    for (int i = 0; i < 6; ++i) {
      entries.push_back(make_host(i, "east", i % 2));
    }
    entries[0].started_at = driver.now;
    driver.balancer.on_endpoint_update(driver.now, EndpointUpdateKind::snapshot, entries);
    driver.collect();
    driver.clear_history();
    driver.warm_up(0, 250, milliseconds(20));
    return driver.sent_to(driver.host(0));
  };
  const std::size_t with_whole_budget = attempts_at_warming_host(1);
  const std::size_t with_half_budget = attempts_at_warming_host(0.5);
  EXPECT_GT(with_half_budget, 0u);
  EXPECT_LT(with_half_budget, with_whole_budget);
}

}  // namespace
}  // namespace load_balancer::testing
