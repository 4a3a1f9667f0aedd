// Rules that some deployments add: turns per key, and placement.
#include <set>

#include "support/balancer_driver.hpp"

namespace load_balancer::testing {
namespace {

Settings in_turn_settings() {
  Settings s = make_settings();
  s.classes[0].serialize_by_key = true;  // retryable
  s.classes[1].serialize_by_key = true;  // fragile
  s.key_cooldown = milliseconds(100);
  return s;
}

bool was_sent(const Driver& d, RequestId id) {
  for (const SentAttempt& s : d.sent) {
    if (s.request == id) {
      return true;
    }
  }
  return false;
}

// --- Order ---

TEST(Order, OneAtATimeInOrderOverAllClassesOfTheKey) {
  Driver d(in_turn_settings());
  const RequestId a = d.request(0, seconds(1), 5);
  const RequestId b = d.request(1, seconds(1), 5);
  const RequestId c = d.request(0, seconds(1), 5);
  EXPECT_TRUE(was_sent(d, a));
  EXPECT_FALSE(was_sent(d, b) || was_sent(d, c));
  d.serve(SentAttempt(d.in_flight.front()));
  EXPECT_TRUE(was_sent(d, b));
  EXPECT_FALSE(was_sent(d, c));
  d.serve(SentAttempt(d.in_flight.front()));
  EXPECT_TRUE(was_sent(d, c));
}

TEST(Order, OtherKeysNoKeyAndOtherClassesAreFree) {
  Driver d(in_turn_settings());
  d.request(0, seconds(1), 5);
  EXPECT_TRUE(was_sent(d, d.request(0, seconds(1), 6)));
  EXPECT_TRUE(was_sent(d, d.request(0, seconds(1))));
  EXPECT_TRUE(was_sent(d, d.request(0, seconds(1))));
  EXPECT_TRUE(was_sent(d, d.request(2, seconds(1), 5)));
}

TEST(Order, TheKeyRestsAfterEachUnsureOutcomeOnly) {
  for (AttemptOutcome outcome :
       {AttemptOutcome::success, AttemptOutcome::server_error, AttemptOutcome::rejected_by_host,
        AttemptOutcome::timeout, AttemptOutcome::connect_failed, AttemptOutcome::reset,
        AttemptOutcome::cancelled, AttemptOutcome::not_sent}) {
    Settings s = in_turn_settings();
    s.max_attempts = 1;
    Driver d(s);
    d.request(1, seconds(1), 5);
    const RequestId next = d.request(1, seconds(1), 5);
    d.report_result(SentAttempt(d.in_flight.front()), outcome, outcome == AttemptOutcome::success);
    const bool unsure = outcome == AttemptOutcome::timeout || outcome == AttemptOutcome::reset ||
                        outcome == AttemptOutcome::cancelled;
    EXPECT_EQ(was_sent(d, next), !unsure) << static_cast<int>(outcome);
    d.advance(milliseconds(95));
    EXPECT_EQ(was_sent(d, next), !unsure) << static_cast<int>(outcome);
    d.advance(milliseconds(10));
    EXPECT_TRUE(was_sent(d, next)) << static_cast<int>(outcome);
  }
}

TEST(Order, TheKeyRestsForArrivalsAfterTheQueueHasEmptied) {
  Settings s = in_turn_settings();
  s.max_attempts = 1;
  Driver d(s);
  d.request(1, seconds(1), 5);
  d.report_result(SentAttempt(d.in_flight.front()), AttemptOutcome::reset, false);
  const RequestId next = d.request(1, seconds(1), 5);
  d.advance(milliseconds(95));
  EXPECT_FALSE(was_sent(d, next));
  d.advance(milliseconds(10));
  EXPECT_TRUE(was_sent(d, next));
}

TEST(Order, TheOneWithTheTurnTriesAgainWithoutAWait) {
  Driver d(in_turn_settings());
  const RequestId a = d.request(0, seconds(1), 5);
  d.report_result(SentAttempt(d.in_flight.front()), AttemptOutcome::reset, false);
  EXPECT_EQ(d.last_sent().request, a);
  EXPECT_EQ(d.last_sent().attempt, 1u);
}

TEST(Order, AnEndedRequestKeepsTheTurnUntilItsAttemptSettles) {
  Driver d(in_turn_settings());
  const RequestId a = d.request(0, seconds(1), 5);
  const RequestId b = d.request(0, seconds(1), 5);
  d.balancer.on_client_disconnected(d.now, a);
  d.collect();
  d.advance(milliseconds(50));
  EXPECT_FALSE(was_sent(d, b));
  d.report_result(SentAttempt(d.in_flight.front()), AttemptOutcome::cancelled, true);
  EXPECT_FALSE(was_sent(d, b));
  d.advance(milliseconds(105));
  EXPECT_TRUE(was_sent(d, b));
}

TEST(Order, AWaitingClientThatLeavesGivesUpItsPlace) {
  Driver d(in_turn_settings());
  d.request(0, seconds(1), 5);
  const RequestId b = d.request(0, seconds(1), 5);
  const RequestId c = d.request(0, seconds(1), 5);
  d.balancer.on_client_disconnected(d.now, b);
  d.collect();
  d.serve(SentAttempt(d.in_flight.front()));
  EXPECT_FALSE(was_sent(d, b));
  EXPECT_TRUE(was_sent(d, c));
}

TEST(Order, OneThatCanEarnNoMoreIsRefusedWithinItsAim) {
  Driver d(in_turn_settings());
  d.warm_up(0, 20, milliseconds(100));
  d.request(0, seconds(1), 5);
  const RequestId b = d.request(0, seconds(1), 5);
  d.advance(milliseconds(380));  // aim 400, usual time 100: the first is stuck
  EXPECT_TRUE(d.rejected(b));
  EXPECT_FALSE(was_sent(d, b));
}

TEST(Order, AQueueTooLongForTheAimIsRefusedAtOnce) {
  Driver d(in_turn_settings());
  d.warm_up(0, 20, milliseconds(100));
  for (int i = 0; i < 3; ++i) {
    EXPECT_FALSE(d.rejected(d.request(0, seconds(1), 5)));
  }
  EXPECT_TRUE(d.rejected(d.request(0, seconds(1), 5)));
}

TEST(Order, AHeldRequestFindsNoDrainedHost) {
  Driver d(in_turn_settings(), 2);
  d.request(0, seconds(1), 5);
  const RequestId b = d.request(0, seconds(1), 5);
  const SentAttempt first = d.in_flight.front();
  for (int i = 0; i < 2; ++i) {
    Endpoint e = make_host(i, "east", i % 2);
    if (d.balancer.find_host(e.address) == first.host) {
      continue;
    }
    e.state = EndpointState::draining;
    d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::delta, {e});
  }
  d.serve(first);
  EXPECT_TRUE(was_sent(d, b));
  EXPECT_EQ(d.last_sent().host, first.host);
}

// --- Placement ---

Settings bound_settings() {
  Settings s = make_settings();
  s.classes[0].zones = std::vector<std::string>{"west", "north"};
  s.classes[1].machine_types = std::vector<std::string>{"big"};
  return s;
}

void add_places(Driver& d) {
  std::vector<Endpoint> list = {make_host(20, "west"), make_host(21, "north"),
                                make_host(22, "east")};
  list.back().machine_type = "big";
  d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::delta, list);
  d.collect();
}

TEST(Placement, EveryAttemptStaysWithinTheZones) {
  Driver d(bound_settings());
  add_places(d);
  const std::set<HostId> open = {d.host(20), d.host(21)};
  for (int i = 0; i < 60; ++i) {
    d.request(0);
    while (!d.in_flight.empty()) {
      EXPECT_TRUE(open.count(d.in_flight.front().host));
      d.report_result(SentAttempt(d.in_flight.front()),
                      i % 2 ? AttemptOutcome::connect_failed : AttemptOutcome::server_error, false);
    }
    d.advance(milliseconds(20));
  }
  EXPECT_GT(d.sent.size(), 60u);
}

TEST(Placement, KindsBindToo) {
  Driver d(bound_settings());
  add_places(d);
  for (int i = 0; i < 20; ++i) {
    d.request(1);
  }
  ASSERT_FALSE(d.sent.empty());
  for (const SentAttempt& s : d.sent) {
    EXPECT_EQ(s.host, d.host(22));
  }
}

TEST(Placement, WithAllItsHostsGoneARequestEndsAndOthersGoOn) {
  Driver d(bound_settings());
  add_places(d);
  std::vector<Endpoint> gone = {make_host(20, "west"), make_host(21, "north")};
  for (Endpoint& e : gone) {
    e.state = EndpointState::removed;
  }
  d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::delta, gone);
  const RequestId bound = d.request(0);
  const RequestId free = d.request(2);
  EXPECT_TRUE(d.rejected(bound));
  EXPECT_FALSE(was_sent(d, bound));
  EXPECT_TRUE(was_sent(d, free));
}

TEST(Placement, AListThatNamesNothingKnownAllowsNothing) {
  for (const std::vector<std::string>& list : {std::vector<std::string>{}, {"nowhere"}}) {
    Settings s = make_settings();
    s.classes[0].zones = list;
    Driver d(s);
    EXPECT_TRUE(d.rejected(d.request(0)));
    EXPECT_TRUE(d.sent.empty());
  }
}

}  // namespace
}  // namespace load_balancer::testing
