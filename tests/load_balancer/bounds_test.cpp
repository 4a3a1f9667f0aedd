// Optional settings of a class: serialization by key, and placement by zone and machine type.
#include <set>

#include "support/balancer_driver.hpp"

namespace load_balancer::testing {
namespace {

Settings serialized_settings() {
  Settings settings = make_settings();
  settings.classes[0].serialize_by_key = true;  // idempotent
  settings.classes[1].serialize_by_key = true;  // non-idempotent
  settings.key_cooldown = milliseconds(100);
  return settings;
}

bool was_sent(const Driver& driver, RequestId id) {
  for (const SentAttempt& attempt : driver.sent) {
    if (attempt.request == id) {
      return true;
    }
  }
  return false;
}

// --- Serialization by key ---

// Requests of a key may depend on each other, whatever their class, so they must neither run at
// once nor overtake each other.
TEST(SerializationByKey, RequestsOfAKeyRunOneAtATimeInOrderAcrossClasses) {
  Driver driver(serialized_settings());
  const RequestId first = driver.request(0, seconds(1), 5);
  const RequestId second = driver.request(1, seconds(1), 5);
  const RequestId third = driver.request(0, seconds(1), 5);
  EXPECT_TRUE(was_sent(driver, first));
  EXPECT_FALSE(was_sent(driver, second) || was_sent(driver, third));
  driver.serve(SentAttempt(driver.in_flight.front()));
  EXPECT_TRUE(was_sent(driver, second));
  EXPECT_FALSE(was_sent(driver, third));
  driver.serve(SentAttempt(driver.in_flight.front()));
  EXPECT_TRUE(was_sent(driver, third));
}

// Serialization must not delay requests that it does not concern.
TEST(SerializationByKey, OtherKeysNoKeyAndOtherClassesAreNotDelayed) {
  Driver driver(serialized_settings());
  driver.request(0, seconds(1), 5);
  EXPECT_TRUE(was_sent(driver, driver.request(0, seconds(1), 6)));
  EXPECT_TRUE(was_sent(driver, driver.request(0, seconds(1))));
  EXPECT_TRUE(was_sent(driver, driver.request(0, seconds(1))));
  EXPECT_TRUE(was_sent(driver, driver.request(2, seconds(1), 5)));
}

// After an outcome that leaves unknown whether the host still runs the request, the next request of
// the key could run beside it.
TEST(SerializationByKey, KeyCooldownFollowsOnlyOutcomesOfUnknownEffect) {
  for (AttemptOutcome outcome :
       {AttemptOutcome::success, AttemptOutcome::server_error, AttemptOutcome::rejected_by_host,
        AttemptOutcome::timeout, AttemptOutcome::connect_failed, AttemptOutcome::reset,
        AttemptOutcome::cancelled, AttemptOutcome::not_sent}) {
    Settings settings = serialized_settings();
    settings.max_attempts = 1;
    Driver driver(settings);
    driver.request(1, seconds(1), 5);
    const RequestId next = driver.request(1, seconds(1), 5);
    driver.report_result(SentAttempt(driver.in_flight.front()), outcome,
                         outcome == AttemptOutcome::success);
    const bool effect_unknown = outcome == AttemptOutcome::timeout ||
                                outcome == AttemptOutcome::reset ||
                                outcome == AttemptOutcome::cancelled;
    EXPECT_EQ(was_sent(driver, next), !effect_unknown) << static_cast<int>(outcome);
    driver.advance(milliseconds(95));
    EXPECT_EQ(was_sent(driver, next), !effect_unknown) << static_cast<int>(outcome);
    driver.advance(milliseconds(10));
    EXPECT_TRUE(was_sent(driver, next)) << static_cast<int>(outcome);
  }
}

// The cooldown must not be lost when no request of the key is waiting at its start.
TEST(SerializationByKey, KeyCooldownAppliesToArrivalsAfterTheQueueHasEmptied) {
  Settings settings = serialized_settings();
  settings.max_attempts = 1;
  Driver driver(settings);
  driver.request(1, seconds(1), 5);
  driver.report_result(SentAttempt(driver.in_flight.front()), AttemptOutcome::reset, false);
  const RequestId next = driver.request(1, seconds(1), 5);
  driver.advance(milliseconds(95));
  EXPECT_FALSE(was_sent(driver, next));
  driver.advance(milliseconds(10));
  EXPECT_TRUE(was_sent(driver, next));
}

// A retry is of the same request, so it need not wait for the cooldown after its own reset.
TEST(SerializationByKey, RetryDoesNotWaitForTheKeyCooldown) {
  Driver driver(serialized_settings());
  const RequestId first = driver.request(0, seconds(1), 5);
  driver.report_result(SentAttempt(driver.in_flight.front()), AttemptOutcome::reset, false);
  EXPECT_EQ(driver.last_sent().request, first);
  EXPECT_EQ(driver.last_sent().attempt, 1u);
}

// The client disconnects while the attempt is in flight. The host may still run it, so the next
// request of the key waits for the attempt's result and for the cooldown after it.
TEST(SerializationByKey, EndedRequestBlocksItsKeyUntilItsAttemptHasEnded) {
  Driver driver(serialized_settings());
  const RequestId first = driver.request(0, seconds(1), 5);
  const RequestId second = driver.request(0, seconds(1), 5);
  driver.balancer.on_client_disconnected(driver.now, first);
  driver.collect();
  driver.advance(milliseconds(50));
  EXPECT_FALSE(was_sent(driver, second));
  driver.report_result(SentAttempt(driver.in_flight.front()), AttemptOutcome::cancelled, true);
  EXPECT_FALSE(was_sent(driver, second));
  driver.advance(milliseconds(105));
  EXPECT_TRUE(was_sent(driver, second));
}

// A queued request without a client must neither be sent nor block the requests behind it.
TEST(SerializationByKey, QueuedRequestIsRemovedWhenItsClientDisconnects) {
  Driver driver(serialized_settings());
  driver.request(0, seconds(1), 5);
  const RequestId second = driver.request(0, seconds(1), 5);
  const RequestId third = driver.request(0, seconds(1), 5);
  driver.balancer.on_client_disconnected(driver.now, second);
  driver.collect();
  driver.serve(SentAttempt(driver.in_flight.front()));
  EXPECT_FALSE(was_sent(driver, second));
  EXPECT_TRUE(was_sent(driver, third));
}

// Latency objective 400 ms, typical latency 100 ms: sent 300 ms or more after its arrival, the
// queued request would be late and only delay the requests behind it.
TEST(SerializationByKey, QueuedRequestIsRejectedBeforeItsLatencyObjectiveHasPassed) {
  Driver driver(serialized_settings());
  driver.warm_up(0, 20, milliseconds(100));
  driver.request(0, seconds(1), 5);
  const RequestId second = driver.request(0, seconds(1), 5);
  driver.advance(milliseconds(380));  // the first request does not end
  EXPECT_TRUE(driver.rejected(second));
  EXPECT_FALSE(was_sent(driver, second));
}

// At a typical latency of 100 ms, the fourth request of the key cannot meet its latency objective
// of 400 ms, and is rejected without a wait.
TEST(SerializationByKey, RequestIsRejectedAtOnceIfTheQueueExceedsItsLatencyObjective) {
  Driver driver(serialized_settings());
  driver.warm_up(0, 20, milliseconds(100));
  for (int i = 0; i < 3; ++i) {
    EXPECT_FALSE(driver.rejected(driver.request(0, seconds(1), 5)));
  }
  EXPECT_TRUE(driver.rejected(driver.request(0, seconds(1), 5)));
}

// The host is selected when the request leaves the queue, not when it enters it: one of two hosts
// starts draining in between.
TEST(SerializationByKey, QueuedRequestIsNotSentToAHostThatDrainsMeanwhile) {
  Driver driver(serialized_settings(), 2);
  driver.request(0, seconds(1), 5);
  const RequestId second = driver.request(0, seconds(1), 5);
  const SentAttempt first_attempt = driver.in_flight.front();
  for (int i = 0; i < 2; ++i) {
    Endpoint endpoint = make_host(i, "east", i % 2);
    if (driver.balancer.find_host(endpoint.address) == first_attempt.host) {
      continue;
    }
    endpoint.state = EndpointState::draining;
    driver.balancer.on_endpoint_update(driver.now, EndpointUpdateKind::delta, {endpoint});
  }
  driver.serve(first_attempt);
  EXPECT_TRUE(was_sent(driver, second));
  EXPECT_EQ(driver.last_sent().host, first_attempt.host);
}

// --- Placement ---

Settings placement_settings() {
  Settings settings = make_settings();
  settings.classes[0].zones = std::vector<std::string>{"west", "north"};
  settings.classes[1].machine_types = std::vector<std::string>{"big"};
  return settings;
}

void add_hosts_for_placement(Driver& driver) {
  std::vector<Endpoint> endpoints = {make_host(20, "west"), make_host(21, "north"),
                                     make_host(22, "east")};
  endpoints.back().machine_type = "big";
  driver.balancer.on_endpoint_update(driver.now, EndpointUpdateKind::delta, endpoints);
  driver.collect();
}

// Retries are bound to the zones of the class as first attempts are.
TEST(Placement, EveryAttemptGoesToAnAllowedZone) {
  Driver driver(placement_settings());
  add_hosts_for_placement(driver);
  const std::set<HostId> allowed = {driver.host(20), driver.host(21)};
  for (int i = 0; i < 60; ++i) {
    driver.request(0);
    while (!driver.in_flight.empty()) {
      EXPECT_TRUE(allowed.count(driver.in_flight.front().host));
      driver.report_result(SentAttempt(driver.in_flight.front()),
                           i % 2 ? AttemptOutcome::connect_failed : AttemptOutcome::server_error,
                           false);
    }
    driver.advance(milliseconds(20));
  }
  EXPECT_GT(driver.sent.size(), 60u);
}

TEST(Placement, EveryRequestGoesToAnAllowedMachineType) {
  Driver driver(placement_settings());
  add_hosts_for_placement(driver);
  for (int i = 0; i < 20; ++i) {
    driver.request(1);
  }
  ASSERT_FALSE(driver.sent.empty());
  for (const SentAttempt& attempt : driver.sent) {
    EXPECT_EQ(attempt.host, driver.host(22));
  }
}

// Without an allowed host a request must neither wait nor go to another host; classes without a
// placement are served.
TEST(Placement, RequestIsRejectedWhenAllAllowedHostsAreRemoved) {
  Driver driver(placement_settings());
  add_hosts_for_placement(driver);
  std::vector<Endpoint> removed = {make_host(20, "west"), make_host(21, "north")};
  for (Endpoint& endpoint : removed) {
    endpoint.state = EndpointState::removed;
  }
  driver.balancer.on_endpoint_update(driver.now, EndpointUpdateKind::delta, removed);
  const RequestId restricted = driver.request(0);
  const RequestId unrestricted = driver.request(2);
  EXPECT_TRUE(driver.rejected(restricted));
  EXPECT_FALSE(was_sent(driver, restricted));
  EXPECT_TRUE(was_sent(driver, unrestricted));
}

// An empty list must not be taken for "any zone".
TEST(Placement, EmptyOrUnknownZoneListAllowsNoHost) {
  for (const std::vector<std::string>& zones : {std::vector<std::string>{}, {"nowhere"}}) {
    Settings settings = make_settings();
    settings.classes[0].zones = zones;
    Driver driver(settings);
    EXPECT_TRUE(driver.rejected(driver.request(0)));
    EXPECT_TRUE(driver.sent.empty());
  }
}

}  // namespace
}  // namespace load_balancer::testing
