// Admission, host selection and the four rules: one response in time, no duplicate effect, nothing
// to draining or removed hosts, limited load on cold hosts.
#include <random>
#include <set>

#include "support/balancer_driver.hpp"

namespace load_balancer::testing {
namespace {

// --- Priority score and shedding threshold ---

TEST(SheddingThreshold, IsZeroAtLowLoadThenCubic) {
  Driver d(make_settings(), 10);  // assumed at the start: at most 6 in flight per host, 60 in all
  bool has_risen = false;
  bool was_zero_at_load = false;
  double smoothed_in_flight = 0;
  for (int i = 0; i < 300; ++i) {
    const auto in_flight = static_cast<double>(d.in_flight.size());
    const std::size_t in_flight_before = d.in_flight.size();
    d.request(0);
    smoothed_in_flight += 0.05 * (in_flight - smoothed_in_flight);
    const double x = std::clamp((smoothed_in_flight / 60 - 0.5) / 0.5, 0.0, 1.0);
    was_zero_at_load |= x == 0 && smoothed_in_flight > 15;
    EXPECT_NEAR(d.balancer.shedding_threshold(), 100 * x * x * x, 1e-6)
        << "in flight: " << in_flight_before;
    has_risen |= d.balancer.shedding_threshold() > 5;
  }
  EXPECT_TRUE(has_risen);
  EXPECT_TRUE(was_zero_at_load);
}

TEST(PriorityScore, ShedsLowPriorityBeforeHighPriority) {
  Driver d(make_settings(), 10);
  int rejected_low = 0;
  int rejected_high = 0;
  std::mt19937 engine(3);
  for (int i = 0; i < 400; ++i) {
    const std::uint32_t cls = engine() % 4 == 0 ? 0 : 1;
    const RequestId id = d.request(cls);
    if (d.in_flight.size() > 44) {
      d.serve(SentAttempt(d.in_flight[engine() % d.in_flight.size()]));
    }
    if (d.balancer.shedding_threshold() > 60) {
      continue;  // requests of high priority have the top quarter of the scores
    }
    rejected_low += cls == 1 && d.rejected(id);
    rejected_high += cls == 0 && d.rejected(id);
  }
  EXPECT_GT(rejected_low, 10);
  EXPECT_EQ(rejected_high, 0);
}

TEST(PriorityScore, ShedsClassesOfEqualPriorityAlike) {
  Settings s = make_settings();
  Driver d(s, 10);
  std::map<std::uint32_t, int> rejected;
  std::mt19937 engine(5);
  for (int i = 0; i < 12000; ++i) {
    const std::uint32_t cls = 1 + engine() % 2;
    const RequestId id = d.request(cls);
    rejected[cls] += d.rejected(id);
    if (d.in_flight.size() > 42) {
      d.serve(SentAttempt(d.in_flight[engine() % d.in_flight.size()]));
    }
  }
  EXPECT_GT(rejected[1], 50);
  EXPECT_LT(std::abs(rejected[1] - rejected[2]), (rejected[1] + rejected[2]) / 3);
}

TEST(SheddingThreshold, RisesWithErrorsOfAllHostsAndFallsAgain) {
  Driver d(make_settings());
  d.warm_up(0, 60);
  for (int i = 0; i < 60; ++i) {
    d.request(1);
    d.advance(milliseconds(20));
    while (!d.in_flight.empty()) {
      d.report_result(SentAttempt(d.in_flight.front()), AttemptOutcome::server_error, false);
    }
  }
  EXPECT_GT(d.balancer.shedding_threshold(), 1);
  d.warm_up(0, 200);
  EXPECT_EQ(d.balancer.shedding_threshold(), 0);
}

TEST(RetryAfter, GrowsAsScoreFallsAndIsZeroIfNotEnabled) {
  for (bool enabled : {true, false}) {
    Settings s = make_settings();
    s.send_retry_after = enabled;
    s.max_retry_after = milliseconds(1000);
    Driver d(s, 10);
    double sums[2] = {0, 0};
    int counts[2] = {0, 0};
    for (int i = 0; i < 2000; ++i) {
      const std::uint32_t cls = i % 2;
      const RequestId id = d.request(cls);
      if (!d.rejected(id)) {
        continue;
      }
      ++counts[cls];
      sums[cls] += static_cast<double>(d.retry_after[id].count());
      EXPECT_LE(d.retry_after[id], s.max_retry_after);
    }
    ASSERT_GT(counts[0], 0);
    ASSERT_GT(counts[1], 0);
    if (enabled) {
      EXPECT_GT(sums[1] / counts[1], sums[0] / counts[0]);
    } else {
      EXPECT_EQ(sums[0] + sums[1], 0);
    }
  }
}

// --- Host selection ---

TEST(HostSelection, PrefersIdleHosts) {
  Driver d(make_settings(), 6);
  std::set<HostId> used;
  for (int i = 0; i < 6; ++i) {
    d.request(0);
    used.insert(d.last_sent().host);
  }
  EXPECT_EQ(used.size(), 6u) << "each host gets one request before any gets a second";
}

TEST(HostSelection, SendsLessToSlowHosts) {
  Driver d(make_settings(), 4);
  const HostId slow = d.host(0);
  for (int i = 0; i < 400; ++i) {
    d.request(0);
    d.advance(milliseconds(10));
    for (std::size_t k = 0; k < d.in_flight.size();) {
      const SentAttempt s = d.in_flight[k];
      if (d.now - s.at >= milliseconds(s.host == slow ? 90 : 30)) {
        d.serve(s);
      } else {
        ++k;
      }
    }
  }
  EXPECT_LT(d.sent_to(slow) * 3, d.sent_to(d.host(1)) * 2);
  EXPECT_GT(d.sent_to(slow), 5u);
}

TEST(HostSelection, SendsKeyToTheSameHostAtEveryGateway) {
  Settings s = make_settings();
  s.key_affinity = true;
  Driver a(s, 8);
  s.seed = 99;
  Driver b(s, 8);
  std::set<HostId> hosts_used;
  for (std::uint64_t key = 1; key <= 60; ++key) {
    a.request(0, milliseconds(1000), key);
    b.request(0, milliseconds(1000), key);
    EXPECT_EQ(a.last_sent().host, b.last_sent().host);
    hosts_used.insert(a.last_sent().host);
    a.serve(a.last_sent());
    b.serve(b.last_sent());
  }
  EXPECT_EQ(hosts_used.size(), 8u);
}

TEST(HostSelection, PrefersOwnZoneAndSpillsOver) {
  Settings s = make_settings();
  Driver d(s, 0);
  d.balancer.on_endpoint_update(
      d.now, EndpointUpdateKind::snapshot,
      {make_host(0), make_host(1), make_host(2, "west"), make_host(3, "west")});
  for (int i = 0; i < 200; ++i) {
    d.request(0);
    d.serve(d.last_sent());
  }
  const std::size_t sent_to_own_zone = d.sent_to(d.host(0)) + d.sent_to(d.host(1));
  EXPECT_GT(sent_to_own_zone, 115u);
  EXPECT_LT(sent_to_own_zone, 200u);
  d.clear_history();
  for (int i = 0; i < 4; ++i) {
    d.request(0);
  }
  EXPECT_GT(d.sent_to(d.host(2)) + d.sent_to(d.host(3)), 0u);
}

// --- Rule 1: one response, in time ---

TEST(Responses, RejectsAtOnceWithoutHostOrTime) {
  Driver without_hosts(make_settings(), 0);
  EXPECT_TRUE(without_hosts.rejected(without_hosts.request(1)));
  Driver d(make_settings());
  EXPECT_TRUE(d.rejected(d.request(1, Duration{})));
  EXPECT_TRUE(d.rejected(d.request(1, milliseconds(-3))));
  EXPECT_EQ(d.sent.size(), 0u);
}

TEST(Responses, FailsRequestAtDeadlineIfAttemptHasNoResult) {
  Driver d(make_settings());
  const RequestId id = d.request(1);
  d.advance(milliseconds(1000));
  EXPECT_TRUE(d.failed(id));
  EXPECT_EQ(d.count<CancelAttempt>(), 1u);
}

TEST(Responses, AttemptTimeoutEndsBeforeClientDeadline) {
  Driver d(make_settings());
  d.request(0, milliseconds(300));
  EXPECT_LE(d.last_sent().timeout, milliseconds(300));
  EXPECT_GE(d.last_sent().timeout, milliseconds(200));
}

TEST(Responses, SendsNothingAfterClientDisconnects) {
  Driver d(make_settings());
  const RequestId id = d.request(0);
  const SentAttempt first = d.last_sent();
  d.balancer.on_client_disconnected(d.now, id);
  d.collect();
  EXPECT_EQ(d.count<CancelAttempt>(), 1u);
  d.report_result(first, AttemptOutcome::connect_failed, false);
  EXPECT_EQ(d.sent.size(), 1u);
  EXPECT_EQ(d.gateway_responses.count(id), 0u);
  EXPECT_EQ(d.balancer.active_requests(), 0u);
}

TEST(Responses, FailsUnknownClassWithoutRetryAfterServerError) {
  Driver d(make_settings());
  const RequestId id = d.request(57);
  d.report_result(d.last_sent(), AttemptOutcome::server_error, false);
  EXPECT_TRUE(d.failed(id));
  EXPECT_EQ(d.sent.size(), 1u);
}

TEST(Responses, IgnoresEventsOfUnknownRequestsAndAttempts) {
  Driver d(make_settings());
  const RequestId id = d.request(0);
  const SentAttempt s = d.last_sent();
  d.balancer.on_attempt_result(d.now,
                               {id + 50, 0, s.host, AttemptOutcome::server_error, {}, false});
  d.balancer.on_attempt_result(d.now, {id, 3, s.host, AttemptOutcome::server_error, {}, false});
  d.balancer.on_client_disconnected(d.now, 999);
  d.balancer.on_response_started(d.now, 999, 0);
  d.request(0);
  d.collect();
  EXPECT_EQ(d.gateway_responses.size(), 0u);
  d.serve(s);
  d.balancer.on_attempt_result(d.now, {id, 0, s.host, AttemptOutcome::success, {}, true});
  EXPECT_EQ(d.balancer.active_requests(), 1u);
}

TEST(Responses, StartedResponseIsNeitherTimedOutNorRetried) {
  Settings s = make_settings();
  Driver d(s);
  const RequestId id = d.request(0);
  d.balancer.on_response_started(d.now, id, 0);
  d.advance(seconds(3));
  EXPECT_EQ(d.gateway_responses.count(id), 0u);
  d.report_result(d.last_sent(), AttemptOutcome::reset, true);
  EXPECT_EQ(d.sent.size(), 1u);
  EXPECT_EQ(d.balancer.active_requests(), 0u);
}

// --- Rule 2: no duplicate effect ---

TEST(RetrySafety, RetriesNonIdempotentOnlyIfItDidNotRun) {
  for (AttemptOutcome outcome : {AttemptOutcome::server_error, AttemptOutcome::timeout,
                                 AttemptOutcome::reset, AttemptOutcome::cancelled}) {
    Driver d(make_settings());
    const RequestId id = d.request(1);
    d.report_result(d.last_sent(), outcome, false);
    EXPECT_EQ(d.sent.size(), 1u);
    EXPECT_TRUE(d.failed(id)) << "a rejection would state that a retry by the client is safe";
  }
  for (AttemptOutcome outcome :
       {AttemptOutcome::rejected_by_host, AttemptOutcome::connect_failed}) {
    Driver d(make_settings());
    d.request(1);
    const HostId first = d.last_sent().host;
    d.report_result(d.last_sent(), outcome, false);
    ASSERT_EQ(d.sent.size(), 2u);
    EXPECT_NE(d.last_sent().host, first);
  }
}

TEST(RetrySafety, RejectsNonIdempotentIfNoAttemptRan) {
  Driver d(make_settings());
  const RequestId id = d.request(1);
  for (int i = 0; i < 4; ++i) {
    d.report_result(d.last_sent(), AttemptOutcome::rejected_by_host, false);
  }
  EXPECT_EQ(d.sent.size(), 4u) << "max_attempts";
  EXPECT_TRUE(d.rejected(id));
}

TEST(RetrySafety, RetriesDeduplicatedOnlyWithinScopeAndWindow) {
  for (DeduplicationScope scope : {DeduplicationScope::cell, DeduplicationScope::zone}) {
    Settings s = make_settings();
    s.classes[2].deduplication_scope = scope;
    for (std::uint64_t seed = 1; seed < 20; ++seed) {
      s.seed = seed;
      Driver d(s, 0);
      std::vector<Endpoint> list;
      for (int i = 0; i < 8; ++i) {
        list.push_back(make_host(i, i < 4 ? "east" : "west", i / 2));
      }
      d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::snapshot, list);
      const RequestId id = d.request(2);
      const int first = std::stoi(d.balancer.address(d.last_sent().host).substr(5)) - 100;
      d.report_result(d.last_sent(), AttemptOutcome::reset, false);
      ASSERT_EQ(d.sent.size(), 2u);
      const int second = std::stoi(d.balancer.address(d.last_sent().host).substr(5)) - 100;
      EXPECT_EQ(first / (scope == DeduplicationScope::cell ? 2 : 4),
                second / (scope == DeduplicationScope::cell ? 2 : 4));
      while (!d.in_flight.empty()) {
        const int next = std::stoi(d.balancer.address(d.last_sent().host).substr(5)) - 100;
        EXPECT_EQ(first / (scope == DeduplicationScope::cell ? 2 : 4),
                  next / (scope == DeduplicationScope::cell ? 2 : 4));
        d.report_result(d.last_sent(), AttemptOutcome::timeout, false);
      }
      EXPECT_TRUE(d.failed(id)) << "not rejected: the scope is not global";
    }
  }
  Settings short_window = make_settings();
  short_window.classes[2].deduplication_window = milliseconds(100);
  Driver d(short_window);
  const RequestId id = d.request(2);
  d.advance(milliseconds(150));
  d.report_result(d.last_sent(), AttemptOutcome::reset, false);
  EXPECT_EQ(d.sent.size(), 1u);
  EXPECT_TRUE(d.failed(id));
}

TEST(RetrySafety, RejectsGloballyDeduplicatedThatMayHaveRun) {
  Settings s = make_settings();
  s.classes[2].deduplication_scope = DeduplicationScope::global;
  s.max_attempts = 1;
  Driver d(s);
  const RequestId id = d.request(2);
  d.report_result(d.last_sent(), AttemptOutcome::server_error, false);
  EXPECT_TRUE(d.rejected(id));
}

// Guards against a client that repeats a rejected request after the hosts have forgotten it: it
// would be executed twice.
TEST(RetrySafety, FailsGloballyDeduplicatedAfterItsWindow) {
  Settings s = make_settings();
  s.classes[2].deduplication_scope = DeduplicationScope::global;
  s.classes[2].client_timeout = milliseconds(3000);
  s.max_attempts = 1;
  Driver d(s);
  const RequestId id = d.request(2, milliseconds(3000));
  d.advance(milliseconds(900));
  d.report_result(d.last_sent(), AttemptOutcome::reset, false);
  EXPECT_FALSE(d.rejected(id));
  EXPECT_TRUE(d.failed(id));
}

TEST(RetrySafety, FailsGloballyDeduplicatedIfTheRetryMayComeAfterItsWindow) {
  Settings s = make_settings();
  s.classes[2].deduplication_scope = DeduplicationScope::global;
  s.max_retry_after = milliseconds(500);
  s.max_attempts = 1;
  Driver d(s);
  const RequestId id = d.request(2);
  d.advance(milliseconds(400));
  d.report_result(d.last_sent(), AttemptOutcome::reset, false);
  EXPECT_TRUE(d.failed(id));
}

// --- Rule 3: draining and removed hosts; discovery ---

TEST(Drains, SendsNothingToDrainingOrRemovedHost) {
  Driver d(make_settings(), 3);
  Endpoint draining = make_host(0);
  Endpoint removed = make_host(1);
  draining.state = EndpointState::draining;
  removed.state = EndpointState::removed;
  d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::delta, {draining, removed});
  d.clear_history();
  for (int i = 0; i < 30; ++i) {
    d.request(0);
    while (!d.in_flight.empty()) {
      d.serve(SentAttempt(d.in_flight.front()));
    }
  }
  EXPECT_EQ(d.sent_to(d.host(2)), 30u);
}

TEST(Drains, SnapshotRemovesHostsThatItDoesNotList) {
  Driver d(make_settings(), 3);
  d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::snapshot, {make_host(2)});
  d.clear_history();
  for (int i = 0; i < 10; ++i) {
    d.request(0);
    d.serve(d.last_sent());
  }
  EXPECT_EQ(d.sent_to(d.host(2)), 10u);
}

TEST(Discovery, PollsAtOnceAndAfterFailuresWithinMaxInterval) {
  Settings s = make_settings();
  s.poll_discovery = true;
  s.max_poll_interval = seconds(3);
  Driver d(s, 3);
  EXPECT_EQ(d.count<PollEndpoints>(), 1u);
  Time polled_at = d.now;
  for (int i = 0; i < 8; ++i) {
    d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::unavailable, {});
    d.collect();
    const std::size_t polls_before = d.count<PollEndpoints>();
    while (d.count<PollEndpoints>() == polls_before && d.now - polled_at < s.max_poll_interval) {
      d.advance(milliseconds(50));
    }
    EXPECT_EQ(d.count<PollEndpoints>(), polls_before + 1);
    EXPECT_GT(d.now, polled_at) << "not at once";
    EXPECT_LT(d.now - polled_at, s.max_poll_interval);
    polled_at = d.now;
  }
  d.request(0);
  EXPECT_EQ(d.sent.size(), 1u) << "the last endpoint list stays in use";
}

// A change of the endpoint list has to take effect within 6 s of discovery becoming reachable, also
// if max_poll_interval is not set. Of that, 2.1 s pass until a lost poll counts as failed and up to
// 2.1 s until a late response arrives, which leaves 1.8 s for the delay before the next poll.
TEST(Discovery, RetryDelayIsBoundedForAnyMaxInterval) {
  for (const Duration max_interval : {Duration{}, Duration(seconds(60))}) {
    Settings s = make_settings();
    s.poll_discovery = true;
    s.max_poll_interval = max_interval;
    Driver d(s, 3);
    for (int i = 0; i < 30; ++i) {
      d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::unavailable, {});
      d.collect();
      const Time failed_at = d.now;
      const std::size_t polls_before = d.count<PollEndpoints>();
      while (d.count<PollEndpoints>() == polls_before && d.now - failed_at < seconds(20)) {
        d.advance(milliseconds(10));
      }
      EXPECT_LE(d.now - failed_at, milliseconds(1800));
      EXPECT_GE(d.now - failed_at, milliseconds(400)) << "not at once";
    }
  }
}

TEST(Discovery, PollsAgainOnlyIfResponseIsLost) {
  Settings s = make_settings();
  s.poll_discovery = true;
  s.max_poll_interval = seconds(3);
  Driver d(s, 3);
  d.advance(seconds(2), milliseconds(50));
  EXPECT_EQ(d.count<PollEndpoints>(), 2u);
  d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::delta, {});
  d.advance(seconds(10), milliseconds(50));
  EXPECT_EQ(d.count<PollEndpoints>(), 2u);
}

// --- Rule 4: cold hosts ---

TEST(SlowStart, LimitsAttemptsToColdHostInEveryWindow) {
  Settings s = make_settings();
  s.gateway_count = 2;
  Driver d(s, 4);
  d.warm_up(0, 100, milliseconds(10));
  Endpoint cold = make_host(9);
  cold.started_at = d.now;
  d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::delta, {cold});
  d.clear_history();
  std::size_t sent_to_warm = 0;
  // For 2 s the cold host rejects all attempts; these count towards its budget too.
  for (int i = 0; i < 200; ++i) {
    d.request(0);
    d.advance(milliseconds(10));
    while (!d.in_flight.empty()) {
      const SentAttempt attempt = d.in_flight.front();
      if (attempt.host == d.host(9)) {
        d.report_result(attempt, AttemptOutcome::rejected_by_host, false);
      } else {
        d.serve(attempt);
      }
    }
  }
  sent_to_warm = d.sent_to(d.host(0));
  EXPECT_GT(d.sent_to(d.host(9)), 0u);
  EXPECT_LT(static_cast<double>(d.sent_to(d.host(9))), 0.6 * static_cast<double>(sent_to_warm));
}

TEST(SlowStart, LimitsAttemptsWhenAllHostsAreCold) {
  Settings s = make_settings();
  Driver d(s, 0);
  std::vector<Endpoint> list;
  for (int i = 0; i < 3; ++i) {
    list.push_back(make_host(i));
    list.back().started_at = d.now;
  }
  d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::snapshot, list);
  for (int i = 0; i < 400; ++i) {
    d.request(0);
    d.advance(milliseconds(5));
    while (!d.in_flight.empty()) {
      d.serve(SentAttempt(d.in_flight.front()));
    }
  }
  EXPECT_GT(d.sent.size(), 0u);
  EXPECT_LT(d.sent.size(), 170u)
      << "of 400: an even part for each host times the fraction that a cold host may take";
}

// --- Construction ---

TEST(Settings, ErrorNamesInvalidSetting) {
  const auto error_message = [](const Settings& s) -> std::string {
    try {
      Balancer b(s, Time{});
    } catch (const std::invalid_argument& e) {
      return e.what();
    }
    return "";
  };
  EXPECT_EQ(error_message(make_settings()), "");
  Settings s = make_settings();
  s.classes.clear();
  EXPECT_NE(error_message(s).find("class"), std::string::npos);
  s = make_settings();
  s.gateway_count = 0;
  EXPECT_NE(error_message(s).find("groupSize"), std::string::npos);
  s = make_settings();
  s.initial_warmup_fraction = 0;
  EXPECT_NE(error_message(s).find("coldShare"), std::string::npos);
  s = make_settings();
  s.classes[1].latency_objective = Duration{};
  EXPECT_NE(error_message(s).find("write"), std::string::npos);
  s = make_settings();
  s.classes[1].priority_weight = std::nan("");
  EXPECT_NE(error_message(s).find("points"), std::string::npos);
}

// --- Random valid event sequences: rules 1 to 3 hold for the actions, and the same events give the
// same actions ---

// What the check of the rules records of a request.
struct TrackedRequest {
  std::uint32_t cls;
  Time deadline;
  bool ended = false;
  std::vector<SentAttempt> attempts;
  std::vector<int> state;  // of each attempt: 0 in flight, 1 did not run, 2 may have run
};

// Checks the actions of 4000 random events and returns them as text.
// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): event cases
std::string run_random_events(std::uint64_t seed) {
  Settings s = make_settings();
  s.seed = seed;
  s.key_affinity = seed % 2 == 0;
  s.classes[2].deduplication_scope = static_cast<DeduplicationScope>(seed % 3);
  std::mt19937_64 engine(seed * 77 + 1);
  const auto random_below = [&](std::uint64_t n) {
    return engine() % n;
  };
  Balancer b(s, seconds(50));
  Time now = seconds(50);
  std::map<RequestId, TrackedRequest> requests;
  std::map<HostId, EndpointState> phase;
  std::map<HostId, Endpoint> endpoints;
  std::string trace;
  RequestId last_id = 0;
  std::vector<Endpoint> list;
  for (int i = 0; i < 6; ++i) {
    list.push_back(make_host(i, i % 3 ? "east" : "west", i % 3));
  }
  b.on_endpoint_update(now, EndpointUpdateKind::restored, list);
  for (const Endpoint& e : list) {
    endpoints[b.find_host(e.address)] = e;
  }

  // NOLINTNEXTLINE(readability-function-cognitive-complexity): one branch per rule and action
  const auto check_actions = [&] {
    for (const Action& action : b.actions()) {
      trace += describe(action) + " ";
      const auto* send = std::get_if<SendAttempt>(&action);
      const auto* rejection = std::get_if<RejectRequest>(&action);
      const auto* failure = std::get_if<FailRequest>(&action);
      const auto* cancellation = std::get_if<CancelAttempt>(&action);
      if (!send && !rejection && !failure && !cancellation) {
        continue;
      }
      const RequestId id = send        ? send->request
                           : rejection ? rejection->request
                           : failure   ? failure->request
                                       : cancellation->request;
      EXPECT_TRUE(requests.count(id));
      TrackedRequest& r = requests[id];
      const ClassSettings& c = s.classes[r.cls];
      bool may_have_run = false;
      bool has_attempt_in_flight = false;
      for (std::size_t i = 0; i < r.attempts.size(); ++i) {
        may_have_run |= r.state[i] != 1;
        has_attempt_in_flight |= r.state[i] == 0;
      }
      if (send) {
        EXPECT_FALSE(r.ended);
        EXPECT_LT(now, r.deadline);
        EXPECT_LE(now + send->timeout, r.deadline);
        EXPECT_EQ(endpoints.at(send->host).state, EndpointState::active);
        EXPECT_EQ(send->attempt, r.attempts.size());
        EXPECT_LT(send->attempt, s.max_attempts);
        EXPECT_FALSE(has_attempt_in_flight);
        if (c.idempotency == Idempotency::non_idempotent) {
          EXPECT_FALSE(may_have_run);
        }
        if (c.idempotency == Idempotency::deduplicated) {
          for (std::size_t i = 0; i < r.attempts.size(); ++i) {
            if (r.state[i] == 1) {
              continue;
            }
            const Endpoint& earlier = endpoints.at(r.attempts[i].host);
            const Endpoint& next = endpoints.at(send->host);
            if (c.deduplication_scope != DeduplicationScope::global) {
              EXPECT_EQ(earlier.zone, next.zone);
            }
            if (c.deduplication_scope == DeduplicationScope::cell) {
              EXPECT_EQ(earlier.cell, next.cell);
            }
            EXPECT_LE(now, r.attempts[i].at + c.deduplication_window);
          }
        }
        r.attempts.push_back({send->request, send->attempt, send->host, now, send->timeout});
        r.state.push_back(0);
      } else if (rejection || failure) {
        EXPECT_FALSE(r.ended);
        EXPECT_LE(now, r.deadline);
        r.ended = true;
        if (rejection && may_have_run) {
          EXPECT_NE(c.idempotency, Idempotency::non_idempotent);
          if (c.idempotency == Idempotency::deduplicated) {
            EXPECT_EQ(c.deduplication_scope, DeduplicationScope::global);
          }
        }
      }
    }
    b.actions().clear();
  };
  check_actions();
  for (int i = 0; i < 4000; ++i) {
    now += milliseconds(5) * static_cast<int>(random_below(2));
    const std::uint64_t event = random_below(10);
    if (event < 4) {
      Request q;
      q.id = ++last_id;
      q.class_index = static_cast<std::uint32_t>(random_below(3));
      q.time_remaining = milliseconds(static_cast<int>(random_below(1000)) + 1);
      q.has_key = true;
      q.key = random_below(20);
      requests[q.id] = {q.class_index, now + q.time_remaining, false, {}, {}};
      b.on_request(now, q);
    } else if (event < 8 && !requests.empty()) {
      std::vector<std::pair<RequestId, std::size_t>> in_flight;
      for (auto& [id, r] : requests) {
        for (std::size_t k = 0; k < r.attempts.size(); ++k) {
          if (r.state[k] == 0) {
            in_flight.emplace_back(id, k);
          }
        }
      }
      if (!in_flight.empty()) {
        const auto [id, k] = in_flight[random_below(in_flight.size())];
        TrackedRequest& r = requests[id];
        const auto outcome = static_cast<AttemptOutcome>(random_below(9));
        r.state[k] = outcome == AttemptOutcome::rejected_by_host ||
                             outcome == AttemptOutcome::connect_failed ||
                             outcome == AttemptOutcome::not_sent
                         ? 1
                         : 2;
        const bool is_final = r.ended || outcome == AttemptOutcome::success;
        if (is_final) {
          r.ended = true;
        }
        b.on_attempt_result(now, {id, static_cast<std::uint32_t>(k), r.attempts[k].host, outcome,
                                  now - r.attempts[k].at, is_final});
      }
    } else if (event == 8 && random_below(10) == 0) {
      Endpoint& e = list[random_below(list.size())];
      e.state = static_cast<EndpointState>(random_below(3));
      if (random_below(3) == 0) {
        e.started_at = now;
      }
      b.on_endpoint_update(now, EndpointUpdateKind::delta, {e});
      // A removed host keeps its id while an active request names it. Afterwards the id may be
      // assigned to another host.
      if (const HostId id = b.find_host(e.address); id != kNone) {
        endpoints[id] = e;
      }
    } else if (random_below(20) == 0 && last_id > 0) {
      const RequestId id = 1 + random_below(last_id);
      if (!requests[id].ended) {
        requests[id].ended = true;
        b.on_client_disconnected(now, id);
      }
    } else {
      b.on_wakeup(now);
    }
    check_actions();
    for (auto it = requests.begin(); it != requests.end();) {
      if (!it->second.ended) {
        EXPECT_LT(now, it->second.deadline + milliseconds(20))
            << "a request has no response after its deadline";
      }
      bool has_attempt_in_flight = false;
      for (int attempt_state : it->second.state) {
        has_attempt_in_flight |= attempt_state == 0;
      }
      if (it->second.ended && !has_attempt_in_flight) {
        it = requests.erase(it);
      } else {
        ++it;
      }
    }
    // In every step, since event_batch_interval bounds the delay of the clock.
    b.on_wakeup(now);
    check_actions();
    if (::testing::Test::HasFailure()) {
      break;
    }
  }
  return trace;
}

TEST(RandomEvents, RulesHoldAndActionsRepeatForEachSeed) {
  for (std::uint64_t seed = 1; seed <= 24 && !HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    const std::string trace = run_random_events(seed);
    EXPECT_GT(trace.size(), 1000u);
    if (seed <= 6) {
      EXPECT_TRUE(trace == run_random_events(seed)) << "the same events give the same actions";
    }
  }
}

}  // namespace
}  // namespace load_balancer::testing
