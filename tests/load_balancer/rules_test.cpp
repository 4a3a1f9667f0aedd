// The ordinary path and the four rules.
#include <random>
#include <set>

#include "support/balancer_driver.hpp"

namespace load_balancer::testing {
namespace {

// --- Score and cutoff ---

TEST(Cutoff, ZeroBelowTheThresholdThenCubic) {
  Driver d(make_settings(), 10);  // a first maximum of 6 a host: 60
  bool rose = false;
  bool zero = false;
  double smooth = 0;
  for (int i = 0; i < 300; ++i) {
    const auto held = static_cast<double>(d.in_flight.size());
    const std::size_t before = d.in_flight.size();
    d.request(0);
    smooth += 0.05 * (held - smooth);
    const double x = std::clamp((smooth / 60 - 0.5) / 0.5, 0.0, 1.0);
    zero |= x == 0 && smooth > 15;
    EXPECT_NEAR(d.balancer.shedding_threshold(), 100 * x * x * x, 1e-6) << "at " << before;
    rose |= d.balancer.shedding_threshold() > 5;
  }
  EXPECT_TRUE(rose);
  EXPECT_TRUE(zero);
}

TEST(Score, LowWorthIsRefusedBeforeHighWorth) {
  Driver d(make_settings(), 10);
  int low = 0;
  int high = 0;
  std::mt19937 engine(3);
  for (int i = 0; i < 400; ++i) {
    const std::uint32_t cls = engine() % 4 == 0 ? 0 : 1;
    const RequestId id = d.request(cls);
    if (d.in_flight.size() > 44) {
      d.serve(SentAttempt(d.in_flight[engine() % d.in_flight.size()]));
    }
    if (d.balancer.shedding_threshold() > 60) {
      continue;  // high worth holds the top quarter of the scores
    }
    low += cls == 1 && d.rejected(id);
    high += cls == 0 && d.rejected(id);
  }
  EXPECT_GT(low, 10);
  EXPECT_EQ(high, 0);
}

TEST(Score, EqualClassesShareTheLoss) {
  Settings s = make_settings();
  Driver d(s, 10);
  std::map<std::uint32_t, int> refused;
  std::mt19937 engine(5);
  for (int i = 0; i < 12000; ++i) {
    const std::uint32_t cls = 1 + engine() % 2;
    const RequestId id = d.request(cls);
    refused[cls] += d.rejected(id);
    if (d.in_flight.size() > 42) {
      d.serve(SentAttempt(d.in_flight[engine() % d.in_flight.size()]));
    }
  }
  EXPECT_GT(refused[1], 50);
  EXPECT_LT(std::abs(refused[1] - refused[2]), (refused[1] + refused[2]) / 3);
}

TEST(Cutoff, ErrorsOfThePoolRaiseItAndItRecovers) {
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

TEST(RetryAfter, LengthensAsTheScoreFallsAndOnlyWhereReceived) {
  for (bool received : {true, false}) {
    Settings s = make_settings();
    s.send_retry_after = received;
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
    if (received) {
      EXPECT_GT(sums[1] / counts[1], sums[0] / counts[0]);
    } else {
      EXPECT_EQ(sums[0] + sums[1], 0);
    }
  }
}

// --- Pick ---

TEST(Pick, IdleHostsFirst) {
  Driver d(make_settings(), 6);
  std::set<HostId> used;
  for (int i = 0; i < 6; ++i) {
    d.request(0);
    used.insert(d.last_sent().host);
  }
  EXPECT_EQ(used.size(), 6u) << "each host gets one before any gets a second";
}

TEST(Pick, SlowHostsGetLess) {
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

TEST(Pick, WarmKeysGoToTheSameHostsAtEveryGateway) {
  Settings s = make_settings();
  s.key_affinity = true;
  Driver a(s, 8);
  s.seed = 99;
  Driver b(s, 8);
  std::set<HostId> all;
  for (std::uint64_t key = 1; key <= 60; ++key) {
    a.request(0, milliseconds(1000), key);
    b.request(0, milliseconds(1000), key);
    EXPECT_EQ(a.last_sent().host, b.last_sent().host);
    all.insert(a.last_sent().host);
    a.serve(a.last_sent());
    b.serve(b.last_sent());
  }
  EXPECT_EQ(all.size(), 8u);
}

TEST(Pick, OwnZonePreferredAndSpills) {
  Settings s = make_settings();
  Driver d(s, 0);
  d.balancer.on_endpoint_update(
      d.now, EndpointUpdateKind::snapshot,
      {make_host(0), make_host(1), make_host(2, "west"), make_host(3, "west")});
  for (int i = 0; i < 200; ++i) {
    d.request(0);
    d.serve(d.last_sent());
  }
  const std::size_t own = d.sent_to(d.host(0)) + d.sent_to(d.host(1));
  EXPECT_GT(own, 115u);
  EXPECT_LT(own, 200u);
  d.clear_history();
  for (int i = 0; i < 4; ++i) {
    d.request(0);
  }
  EXPECT_GT(d.sent_to(d.host(2)) + d.sent_to(d.host(3)), 0u);
}

// --- Rule 1: one answer, in time ---

TEST(Answers, NoHostOrNoTimeGetsAnImmediateAnswer) {
  Driver none(make_settings(), 0);
  EXPECT_TRUE(none.rejected(none.request(1)));
  Driver d(make_settings());
  EXPECT_TRUE(d.rejected(d.request(1, Duration{})));
  EXPECT_TRUE(d.rejected(d.request(1, milliseconds(-3))));
  EXPECT_EQ(d.sent.size(), 0u);
}

TEST(Answers, AnOutcomeThatNeverComesDoesNotLeaveTheClientWaiting) {
  Driver d(make_settings());
  const RequestId id = d.request(1);
  d.advance(milliseconds(1000));
  EXPECT_TRUE(d.failed(id));
  EXPECT_EQ(d.count<CancelAttempt>(), 1u);
}

TEST(Answers, AttemptsEndBeforeTheClientsDeadline) {
  Driver d(make_settings());
  d.request(0, milliseconds(300));
  EXPECT_LE(d.last_sent().timeout, milliseconds(300));
  EXPECT_GE(d.last_sent().timeout, milliseconds(200));
}

TEST(Answers, NothingAfterTheEnd) {
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

TEST(Answers, UnknownClassIsFragileAndLowest) {
  Driver d(make_settings());
  const RequestId id = d.request(57);
  d.report_result(d.last_sent(), AttemptOutcome::server_error, false);
  EXPECT_TRUE(d.failed(id));
  EXPECT_EQ(d.sent.size(), 1u);
}

TEST(Answers, StrayEventsAreIgnored) {
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

TEST(Answers, AStartedStreamIsLeftAlone) {
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

// --- Rule 2: no effect twice ---

TEST(Repeats, FragileOnlyWhenProvenUnrun) {
  for (AttemptOutcome o : {AttemptOutcome::server_error, AttemptOutcome::timeout,
                           AttemptOutcome::reset, AttemptOutcome::cancelled}) {
    Driver d(make_settings());
    const RequestId id = d.request(1);
    d.report_result(d.last_sent(), o, false);
    EXPECT_EQ(d.sent.size(), 1u);
    EXPECT_TRUE(d.failed(id)) << "a refusal would claim that a retry is harmless";
  }
  for (AttemptOutcome o : {AttemptOutcome::rejected_by_host, AttemptOutcome::connect_failed}) {
    Driver d(make_settings());
    d.request(1);
    const HostId first = d.last_sent().host;
    d.report_result(d.last_sent(), o, false);
    ASSERT_EQ(d.sent.size(), 2u);
    EXPECT_NE(d.last_sent().host, first);
  }
}

TEST(Repeats, FragileRefusedWhenAllAttemptsProvenUnrun) {
  Driver d(make_settings());
  const RequestId id = d.request(1);
  for (int i = 0; i < 4; ++i) {
    d.report_result(d.last_sent(), AttemptOutcome::rejected_by_host, false);
  }
  EXPECT_EQ(d.sent.size(), 4u) << "maxAttempts";
  EXPECT_TRUE(d.rejected(id));
}

TEST(Repeats, DedupStaysInItsGroupAndWindow) {
  for (DeduplicationScope g : {DeduplicationScope::cell, DeduplicationScope::zone}) {
    Settings s = make_settings();
    s.classes[2].deduplication_scope = g;
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
      EXPECT_EQ(first / (g == DeduplicationScope::cell ? 2 : 4),
                second / (g == DeduplicationScope::cell ? 2 : 4));
      while (!d.in_flight.empty()) {
        const int next = std::stoi(d.balancer.address(d.last_sent().host).substr(5)) - 100;
        EXPECT_EQ(first / (g == DeduplicationScope::cell ? 2 : 4),
                  next / (g == DeduplicationScope::cell ? 2 : 4));
        d.report_result(d.last_sent(), AttemptOutcome::timeout, false);
      }
      EXPECT_TRUE(d.failed(id)) << "never refused: the group is not all";
    }
  }
  Settings late = make_settings();
  late.classes[2].deduplication_window = milliseconds(100);
  Driver d(late);
  const RequestId id = d.request(2);
  d.advance(milliseconds(150));
  d.report_result(d.last_sent(), AttemptOutcome::reset, false);
  EXPECT_EQ(d.sent.size(), 1u);
  EXPECT_TRUE(d.failed(id));
}

TEST(Repeats, DedupOfGroupAllMayBeRefused) {
  Settings s = make_settings();
  s.classes[2].deduplication_scope = DeduplicationScope::global;
  s.max_attempts = 1;
  Driver d(s);
  const RequestId id = d.request(2);
  d.report_result(d.last_sent(), AttemptOutcome::server_error, false);
  EXPECT_TRUE(d.rejected(id));
}

// --- Rule 3: drains ---

TEST(Drains, NothingNewToADrainingOrGoneHost) {
  Driver d(make_settings(), 3);
  Endpoint lame = make_host(0);
  Endpoint gone = make_host(1);
  lame.state = EndpointState::draining;
  gone.state = EndpointState::removed;
  d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::delta, {lame, gone});
  d.clear_history();
  for (int i = 0; i < 30; ++i) {
    d.request(0);
    while (!d.in_flight.empty()) {
      d.serve(SentAttempt(d.in_flight.front()));
    }
  }
  EXPECT_EQ(d.sent_to(d.host(2)), 30u);
}

TEST(Drains, AWholeListDropsWhatItLeavesOut) {
  Driver d(make_settings(), 3);
  d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::snapshot, {make_host(2)});
  d.clear_history();
  for (int i = 0; i < 10; ++i) {
    d.request(0);
    d.serve(d.last_sent());
  }
  EXPECT_EQ(d.sent_to(d.host(2)), 10u);
}

TEST(Discovery, AsksAtOnceAndAgainAfterFailuresWithinTheLimit) {
  Settings s = make_settings();
  s.poll_discovery = true;
  s.max_poll_interval = seconds(3);
  Driver d(s, 3);
  EXPECT_EQ(d.count<PollEndpoints>(), 1u);
  Time asked = d.now;
  for (int i = 0; i < 8; ++i) {
    d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::unavailable, {});
    d.collect();
    const std::size_t before = d.count<PollEndpoints>();
    while (d.count<PollEndpoints>() == before && d.now - asked < s.max_poll_interval) {
      d.advance(milliseconds(50));
    }
    EXPECT_EQ(d.count<PollEndpoints>(), before + 1);
    EXPECT_GT(d.now, asked) << "no storm";
    EXPECT_LT(d.now - asked, s.max_poll_interval);
    asked = d.now;
  }
  d.request(0);
  EXPECT_EQ(d.sent.size(), 1u) << "the last list stays in use";
}

// What discovery has binds 6 s after it can be reached, also where the settings name no time for
// asking; 2.1 s of it are for a call that is lost and as many for an answer that is late.
TEST(Discovery, TheWaitAfterManyFailuresDoesNotHangOnTheSettings) {
  for (const Duration within : {Duration{}, Duration(seconds(60))}) {
    Settings s = make_settings();
    s.poll_discovery = true;
    s.max_poll_interval = within;
    Driver d(s, 3);
    for (int i = 0; i < 30; ++i) {
      d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::unavailable, {});
      d.collect();
      const Time failed = d.now;
      const std::size_t before = d.count<PollEndpoints>();
      while (d.count<PollEndpoints>() == before && d.now - failed < seconds(20)) {
        d.advance(milliseconds(10));
      }
      EXPECT_LE(d.now - failed, milliseconds(1800));
      EXPECT_GE(d.now - failed, milliseconds(400)) << "no storm";
    }
  }
}

TEST(Discovery, ALostAnswerIsAskedForAgainButNotAGivenOne) {
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

TEST(ColdStart, ABudgetInEveryWindow) {
  Settings s = make_settings();
  s.gateway_count = 2;
  Driver d(s, 4);
  d.warm_up(0, 100, milliseconds(10));
  Endpoint cold = make_host(9);
  cold.started_at = d.now;
  d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::delta, {cold});
  d.clear_history();
  std::size_t warm = 0;
  for (int i = 0; i < 200;
       ++i) {  // two seconds, the cold host refuses all: refused attempts count too
    d.request(0);
    d.advance(milliseconds(10));
    while (!d.in_flight.empty()) {
      const SentAttempt o = d.in_flight.front();
      if (o.host == d.host(9)) {
        d.report_result(o, AttemptOutcome::rejected_by_host, false);
      } else {
        d.serve(o);
      }
    }
  }
  warm = d.sent_to(d.host(0));
  EXPECT_GT(d.sent_to(d.host(9)), 0u);
  EXPECT_LT(static_cast<double>(d.sent_to(d.host(9))), 0.6 * static_cast<double>(warm));
}

TEST(ColdStart, AlsoWhenEveryHostIsCold) {
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
  EXPECT_LT(d.sent.size(), 170u) << "of 400: an even share times what a cold host may take";
}

// --- Construction ---

TEST(Settings, NonsenseIsRejectedWithItsName) {
  const auto message = [](const Settings& s) -> std::string {
    try {
      Balancer b(s, Time{});
    } catch (const std::invalid_argument& e) {
      return e.what();
    }
    return "";
  };
  EXPECT_EQ(message(make_settings()), "");
  Settings s = make_settings();
  s.classes.clear();
  EXPECT_NE(message(s).find("class"), std::string::npos);
  s = make_settings();
  s.gateway_count = 0;
  EXPECT_NE(message(s).find("groupSize"), std::string::npos);
  s = make_settings();
  s.initial_warmup_fraction = 0;
  EXPECT_NE(message(s).find("coldShare"), std::string::npos);
  s = make_settings();
  s.classes[1].latency_objective = Duration{};
  EXPECT_NE(message(s).find("write"), std::string::npos);
  s = make_settings();
  s.classes[1].priority_weight = std::nan("");
  EXPECT_NE(message(s).find("worth"), std::string::npos);
}

// --- Random legal event sequences: rules 1 to 3 on the actions, and the same actions for the same
// events ---

struct Seen {
  std::uint32_t cls;
  Time deadline;
  bool over = false;
  std::vector<SentAttempt> tries;
  std::vector<int> state;  // 0 out, 1 proven unrun, 2 may have run
};

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): too long
std::string play(std::uint64_t seed) {
  Settings s = make_settings();
  s.seed = seed;
  s.key_affinity = seed % 2 == 0;
  s.classes[2].deduplication_scope = static_cast<DeduplicationScope>(seed % 3);
  std::mt19937_64 engine(seed * 77 + 1);
  const auto below = [&](std::uint64_t n) {
    return engine() % n;
  };
  Balancer b(s, seconds(50));
  Time now = seconds(50);
  std::map<RequestId, Seen> seen;
  std::map<HostId, EndpointState> phase;
  std::map<HostId, Endpoint> entries;
  std::string trace;
  RequestId last = 0;
  std::vector<Endpoint> list;
  for (int i = 0; i < 6; ++i) {
    list.push_back(make_host(i, i % 3 ? "east" : "west", i % 3));
  }
  b.on_endpoint_update(now, EndpointUpdateKind::restored, list);
  for (const Endpoint& e : list) {
    entries[b.find_host(e.address)] = e;
  }

  // NOLINTNEXTLINE(readability-function-cognitive-complexity): too long
  const auto check = [&] {
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
      EXPECT_TRUE(seen.count(id));
      Seen& r = seen[id];
      const ClassSettings& c = s.classes[r.cls];
      bool ran = false;
      bool out_now = false;
      for (std::size_t i = 0; i < r.tries.size(); ++i) {
        ran |= r.state[i] != 1;
        out_now |= r.state[i] == 0;
      }
      if (send) {
        EXPECT_FALSE(r.over);
        EXPECT_LT(now, r.deadline);
        EXPECT_LE(now + send->timeout, r.deadline);
        EXPECT_EQ(entries.at(send->host).state, EndpointState::active);
        EXPECT_EQ(send->attempt, r.tries.size());
        EXPECT_LT(send->attempt, s.max_attempts);
        EXPECT_FALSE(out_now);
        if (c.idempotency == Idempotency::non_idempotent) {
          EXPECT_FALSE(ran);
        }
        if (c.idempotency == Idempotency::deduplicated) {
          for (std::size_t i = 0; i < r.tries.size(); ++i) {
            if (r.state[i] == 1) {
              continue;
            }
            const Endpoint& was = entries.at(r.tries[i].host);
            const Endpoint& is = entries.at(send->host);
            if (c.deduplication_scope != DeduplicationScope::global) {
              EXPECT_EQ(was.zone, is.zone);
            }
            if (c.deduplication_scope == DeduplicationScope::cell) {
              EXPECT_EQ(was.cell, is.cell);
            }
            EXPECT_LE(now, r.tries[i].at + c.deduplication_window);
          }
        }
        r.tries.push_back({send->request, send->attempt, send->host, now, send->timeout});
        r.state.push_back(0);
      } else if (rejection || failure) {
        EXPECT_FALSE(r.over);
        EXPECT_LE(now, r.deadline);
        r.over = true;
        if (rejection && ran) {
          EXPECT_NE(c.idempotency, Idempotency::non_idempotent);
          if (c.idempotency == Idempotency::deduplicated) {
            EXPECT_EQ(c.deduplication_scope, DeduplicationScope::global);
          }
        }
      }
    }
    b.actions().clear();
  };
  check();
  for (int i = 0; i < 4000; ++i) {
    now += milliseconds(5) * static_cast<int>(below(2));
    const std::uint64_t what = below(10);
    if (what < 4) {
      Request q;
      q.id = ++last;
      q.class_index = static_cast<std::uint32_t>(below(3));
      q.time_remaining = milliseconds(static_cast<int>(below(1000)) + 1);
      q.has_key = true;
      q.key = below(20);
      seen[q.id] = {q.class_index, now + q.time_remaining, false, {}, {}};
      b.on_request(now, q);
    } else if (what < 8 && !seen.empty()) {
      std::vector<std::pair<RequestId, std::size_t>> open;
      for (auto& [id, r] : seen) {
        for (std::size_t k = 0; k < r.tries.size(); ++k) {
          if (r.state[k] == 0) {
            open.emplace_back(id, k);
          }
        }
      }
      if (!open.empty()) {
        const auto [id, k] = open[below(open.size())];
        Seen& r = seen[id];
        const auto o = static_cast<AttemptOutcome>(below(9));
        r.state[k] = o == AttemptOutcome::rejected_by_host || o == AttemptOutcome::connect_failed ||
                             o == AttemptOutcome::not_sent
                         ? 1
                         : 2;
        const bool terminal = r.over || o == AttemptOutcome::success;
        if (terminal) {
          r.over = true;
        }
        b.on_attempt_result(now, {id, static_cast<std::uint32_t>(k), r.tries[k].host, o,
                                  now - r.tries[k].at, terminal});
      }
    } else if (what == 8 && below(10) == 0) {
      Endpoint& e = list[below(list.size())];
      e.state = static_cast<EndpointState>(below(3));
      if (below(3) == 0) {
        e.started_at = now;
      }
      b.on_endpoint_update(now, EndpointUpdateKind::delta, {e});
      // One that is gone keeps its id while an open request was sent to it; then another may have
      // it.
      if (const HostId id = b.find_host(e.address); id != kNone) {
        entries[id] = e;
      }
    } else if (below(20) == 0 && last > 0) {
      const RequestId id = 1 + below(last);
      if (!seen[id].over) {
        seen[id].over = true;
        b.on_client_disconnected(now, id);
      }
    } else {
      b.on_wakeup(now);
    }
    check();
    for (auto it = seen.begin(); it != seen.end();) {
      if (!it->second.over) {
        EXPECT_LT(now, it->second.deadline + milliseconds(20)) << "left without an answer";
      }
      bool out_now = false;
      for (int st : it->second.state) {
        out_now |= st == 0;
      }
      if (it->second.over && !out_now) {
        it = seen.erase(it);
      } else {
        ++it;
      }
    }
    b.on_wakeup(
        now);  // in every step: settings.step says that the clock is read no later than that
    check();
    if (::testing::Test::HasFailure()) {
      break;
    }
  }
  return trace;
}

TEST(Random, RulesHoldOnFixedSeedSequences) {
  for (std::uint64_t seed = 1; seed <= 24 && !HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    const std::string trace = play(seed);
    EXPECT_GT(trace.size(), 1000u);
    if (seed <= 6) {
      EXPECT_TRUE(trace == play(seed)) << "the same events give the same actions";
    }
  }
}

}  // namespace
}  // namespace load_balancer::testing
