// Hosts that operators take out, and a gateway of two processes.
#include "support/balancer_driver.hpp"

namespace load_balancer::testing {
namespace {

class TakenOutTest : public ::testing::Test {
 protected:
  Driver d{make_settings()};
  const std::string address = make_host(0).address;

  void take(bool out) {
    d.balancer.set_maintenance(d.now, address, out);
    d.collect();
  }
  void list(int hosts, Time up_since = Time{},
            EndpointUpdateKind kind = EndpointUpdateKind::snapshot) {
    std::vector<Endpoint> entries;
    for (int i = 0; i < hosts; ++i) {
      entries.push_back(make_host(i, "east", i % 2));
    }
    if (!entries.empty()) {
      entries[0].started_at = up_since;
    }
    d.balancer.on_endpoint_update(d.now, kind, entries);
    d.collect();
  }
  // Whether host 0 gets any of so many requests, one after another.
  std::size_t gets(int count, std::uint32_t cls = 0) {
    d.clear_history();
    for (int i = 0; i < count; ++i) {
      d.request(cls);
      d.advance(milliseconds(20), milliseconds(20));
      while (!d.in_flight.empty()) {
        d.serve(SentAttempt(d.in_flight.front()));
      }
    }
    return d.balancer.find_host(address) == kNone ? 0 : d.sent_to(d.balancer.find_host(address));
  }
};

TEST_F(TakenOutTest, GetsNothingUntilOneCallBack) {
  EXPECT_GT(gets(60), 0u);
  take(true);
  take(true);
  EXPECT_EQ(gets(60), 0u);
  take(false);
  EXPECT_GT(gets(250), 0u);
}

TEST_F(TakenOutTest, ItsIdleConnectionsAreClosed) {
  take(true);
  ASSERT_EQ(d.count<CloseIdleConnections>(), 1u);
}

TEST_F(TakenOutTest, WhateverTheListSays) {
  take(true);
  list(6, d.now);  // listed as started anew
  EXPECT_EQ(gets(60), 0u);
  list(6);
  EXPECT_EQ(gets(60), 0u);
}

TEST_F(TakenOutTest, OutlivesBeingUnlisted) {
  take(true);
  d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::snapshot, {make_host(1), make_host(2)});
  d.collect();
  EXPECT_EQ(d.balancer.find_host(address), kNone);
  list(6);
  EXPECT_EQ(gets(60), 0u);
  take(false);
  EXPECT_GT(gets(250), 0u);
}

TEST_F(TakenOutTest, MayBeTakenOutBeforeItIsListed) {
  Driver other(make_settings(), 1);
  other.balancer.set_maintenance(other.now, make_host(1).address, true);
  other.balancer.on_endpoint_update(other.now, EndpointUpdateKind::snapshot,
                                    {make_host(0), make_host(1)});
  other.collect();
  other.warm_up(0, 20);
  EXPECT_EQ(other.sent_to(other.host(1)), 0u);
}

TEST_F(TakenOutTest, RetriesAndSecondCopiesPassItBy) {
  Settings s = make_settings();
  s.allow_hedging = true;
  Driver two(s, 2);
  two.warm_up(0, 20);
  two.clear_history();
  two.request(0);
  const SentAttempt first = two.last_sent();
  const int other = first.host == two.host(0) ? 1 : 0;
  two.balancer.set_maintenance(two.now, make_host(other).address, true);
  two.collect();
  two.advance(milliseconds(600));  // past the time for a second copy
  EXPECT_EQ(two.sent_to(two.host(other)), 0u);
  two.report_result(first, AttemptOutcome::server_error, false);
  EXPECT_EQ(two.sent_to(two.host(other)), 0u);
}

TEST_F(TakenOutTest, WithAllOutARequestIsRefused) {
  Driver one(make_settings(), 1);
  one.balancer.set_maintenance(one.now, make_host(0).address, true);
  one.collect();
  EXPECT_TRUE(one.rejected(one.request(1)));
}

TEST_F(TakenOutTest, ComesBackColdThoughTheListLags) {
  const std::size_t warm = gets(100);
  take(true);
  gets(50);
  take(false);
  const std::size_t first = gets(50);
  list(6);  // still with the old start
  const std::size_t cold = first + gets(50);
  EXPECT_GT(cold, 0u);
  EXPECT_LT(cold, warm / 2) << "under the budget of a cold host";
}

TEST_F(TakenOutTest, AStartThatTheListNamesLaterCounts) {
  const std::size_t warm = gets(200);
  take(true);
  d.advance(milliseconds(100));
  const Time restarted = d.now;
  list(6, restarted);
  d.advance(seconds(9), milliseconds(100));
  take(false);
  d.advance(seconds(2), milliseconds(100));  // it is warm ten seconds after its start
  EXPECT_GT(gets(200), warm / 2);
}

TEST_F(TakenOutTest, OneOfTwoProcessesKeepsToItsPartOfAColdHostsBudget) {
  const auto cold_gets = [](double part) {
    Driver d(make_settings());
    d.warm_up(0, 200, milliseconds(20));
    d.balancer.set_budget_fraction(d.now, part);
    std::vector<Endpoint> entries;
    for (int i = 0; i < 6; ++i) {
      entries.push_back(make_host(i, "east", i % 2));
    }
    entries[0].started_at = d.now;
    d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::snapshot, entries);
    d.collect();
    d.clear_history();
    d.warm_up(0, 250, milliseconds(20));
    return d.sent_to(d.host(0));
  };
  const std::size_t whole = cold_gets(1);
  const std::size_t half = cold_gets(0.5);
  EXPECT_GT(half, 0u);
  EXPECT_LT(half, whole);
}

}  // namespace
}  // namespace load_balancer::testing
