// Regression tests: each guards against one failure of selection, outlier detection, admission or
// retries.
#include "support/balancer_driver.hpp"

namespace load_balancer::testing {
namespace {

// Serves the attempts that are older than `latency(host)`; zero: the host never responds. The
// others time out at their time limit.
template <class F>
void serve_due(Driver& d, F latency) {
  for (std::size_t k = 0; k < d.in_flight.size();) {
    const SentAttempt s = d.in_flight[k];
    const Duration host_latency = latency(s.host);
    if (host_latency > Duration{} && d.now - s.at >= host_latency) {
      d.serve(s);
    } else if (d.now - s.at >= s.timeout) {
      d.report_result(s, AttemptOutcome::timeout, false);
    } else {
      ++k;
    }
  }
}

// A host that fails every attempt at once has nothing in flight. Selection by requests in flight
// would send most of the traffic there, and its errors would count as an overload of all hosts.
TEST(OutlierDetection, EjectsHostThatFailsAtOnceWithoutRaisingSheddingThreshold) {
  Driver d(make_settings(), 6);
  d.warm_up(0, 60);
  const HostId failing_host = d.host(2);
  d.clear_history();
  for (int i = 0; i < 600; ++i) {
    d.request(0);
    d.advance(milliseconds(10));
    for (std::size_t k = 0; k < d.in_flight.size();) {
      const SentAttempt s = d.in_flight[k];
      if (s.host == failing_host) {
        d.report_result(s, AttemptOutcome::server_error, false);
      } else if (d.now - s.at >= milliseconds(30)) {
        d.serve(s);
      } else {
        ++k;
      }
    }
    EXPECT_EQ(d.balancer.shedding_threshold(), 0);
  }
  EXPECT_LT(d.sent_to(failing_host), 30u) << "with nothing in flight it would be selected first";
  EXPECT_GT(d.sent_to(failing_host), 3u) << "a few requests have to show when it has recovered";
}

TEST(OutlierDetection, ReturnsEjectedHostAfterItRecovers) {
  Driver d(make_settings(), 6);
  d.warm_up(0, 60);
  const HostId failing_host = d.host(2);
  bool is_failing = true;
  const auto run = [&](int n) {
    for (int i = 0; i < n; ++i) {
      d.request(0);
      d.advance(milliseconds(10));
      for (std::size_t k = 0; k < d.in_flight.size();) {
        const SentAttempt s = d.in_flight[k];
        if (s.host == failing_host && is_failing) {
          d.report_result(s, AttemptOutcome::connect_failed, false);
        } else if (d.now - s.at >= milliseconds(30)) {
          d.serve(s);
        } else {
          ++k;
        }
      }
    }
  };
  run(300);
  is_failing = false;
  run(1200);
  d.clear_history();
  run(300);
  EXPECT_GT(d.sent_to(failing_host) * 12, d.sent.size());
}

TEST(OutlierDetection, SendsOnlyTrialsToUnresponsiveHost) {
  Driver d(make_settings(), 4);
  d.warm_up(0, 40);
  const HostId silent_host = d.host(1);
  std::size_t sent_in_first_rounds = 0;
  d.clear_history();
  for (int i = 0; i < 150; ++i) {
    d.request(1);
    d.advance(milliseconds(10));
    serve_due(d,
              [&](HostId h) { return h == silent_host ? Duration{} : Duration(milliseconds(40)); });
    if (i == 30) {
      sent_in_first_rounds = d.sent_to(silent_host);
    }
  }
  EXPECT_GT(sent_in_first_rounds, 0u);
  EXPECT_LE(d.sent_to(silent_host), sent_in_first_rounds + 6)
      << "of about 30: only trials after its requests timed out";
}

TEST(OutlierDetection, SkipsUnresponsiveHostUnderLoad) {
  Driver d(make_settings(), 4);
  d.warm_up(0, 40);
  while (d.in_flight.empty() || d.last_sent().host != d.host(1)) {
    while (!d.in_flight.empty()) {
      d.serve(SentAttempt(d.in_flight.front()));
    }
    d.request(1);
  }
  d.advance(milliseconds(320));  // far above the usual latency, below the attempt's time limit
  d.clear_history();
  for (int i = 0; i < 12; ++i) {
    d.request(0);
  }
  EXPECT_GT(d.sent.size(), 8u);
  EXPECT_EQ(d.sent_to(d.host(1)), 0u);
}

TEST(OutlierDetection, UsesAllHostsAgainAfterAllFailedTogether) {
  Driver d(make_settings(), 6);
  d.warm_up(0, 60);
  for (int i = 0; i < 100; ++i) {
    d.request(0);
    d.advance(milliseconds(20));
    while (!d.in_flight.empty()) {
      d.report_result(SentAttempt(d.in_flight.front()), AttemptOutcome::server_error, false);
    }
  }
  d.warm_up(0, 300, milliseconds(20));
  d.clear_history();
  d.warm_up(0, 100, milliseconds(20));
  for (int i = 0; i < 6; ++i) {
    EXPECT_GT(d.sent_to(d.host(i)), 0u) << i;
  }
  EXPECT_EQ(d.balancer.shedding_threshold(), 0);
}

TEST(OutlierDetection, SendsToRestartedHostDespiteEarlierFailures) {
  Driver d(make_settings(), 4);
  d.warm_up(0, 40);
  for (int i = 0; i < 200; ++i) {
    d.request(0);
    d.advance(milliseconds(10));
    for (std::size_t k = 0; k < d.in_flight.size();) {
      const SentAttempt s = d.in_flight[k];
      if (s.host == d.host(0)) {
        d.report_result(s, AttemptOutcome::reset, false);
      } else if (d.now - s.at >= milliseconds(30)) {
        d.serve(s);
      } else {
        ++k;
      }
    }
  }
  Endpoint restarted = make_host(0);
  restarted.started_at = d.now;
  d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::delta, {restarted});
  while (!d.in_flight.empty()) {
    d.serve(SentAttempt(d.in_flight.front()));
  }
  d.clear_history();
  // The restarted host has the budget of a cold one: less than one request at first.
  for (int i = 0; i < 100; ++i) {
    d.request(0);
    d.advance(milliseconds(10));
    while (!d.in_flight.empty()) {
      d.serve(SentAttempt(d.in_flight.front()));
    }
  }
  EXPECT_GT(d.sent_to(d.host(0)), 0u);
}

// A host that rejects every attempt at once has nothing of this gateway in flight and looks idle,
// so that it would attract all retries.
TEST(HostRejections, BacksOffFromHostThatRejectsEverything) {
  Driver d(make_settings(), 4);
  d.warm_up(0, 40);
  const HostId rejecting_host = d.host(3);
  d.clear_history();
  for (int i = 0; i < 400; ++i) {
    d.request(0);
    d.advance(milliseconds(5));
    for (std::size_t k = 0; k < d.in_flight.size();) {
      const SentAttempt s = d.in_flight[k];
      if (s.host == rejecting_host) {
        d.report_result(s, AttemptOutcome::rejected_by_host, false);
      } else if (d.now - s.at >= milliseconds(20)) {
        d.serve(s);
      } else {
        ++k;
      }
    }
  }
  EXPECT_LT(d.sent_to(rejecting_host), 25u);
}

// A deploy replaces all hosts but one. The budgets of the cold hosts are small, so that all other
// traffic would go to the last warm host.
TEST(Deploy, ShedsInsteadOfOverloadingLastWarmHost) {
  Driver d(make_settings(), 6);
  d.warm_up(0, 60);
  std::vector<Endpoint> list = {make_host(0)};
  for (int i = 1; i < 6; ++i) {
    list.push_back(make_host(10 + i));
    list.back().started_at = d.now;
  }
  d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::snapshot, list);
  for (int i = 0; i < 200; ++i) {
    d.request(1);
  }
  std::size_t in_flight_at_warm_host = 0;
  for (const SentAttempt& s : d.in_flight) {
    in_flight_at_warm_host += s.host == d.host(0);
  }
  EXPECT_LE(in_flight_at_warm_host, 60u) << "of 200: the others are shed";
}

// A deploy of all hosts at once leaves no warm host to measure by. The rate that warm hosts carried
// is remembered for a while. Without it the cold hosts would get one request in a collapse window.
TEST(Deploy, SendsAtRememberedRateWhenAllHostsAreCold) {
  Driver d(make_settings(), 4);
  d.warm_up(1, 600, milliseconds(5));
  std::vector<Endpoint> list;
  for (int i = 10; i < 14; ++i) {
    list.push_back(make_host(i));
    list.back().started_at = d.now;
  }
  d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::snapshot, list);
  d.collect();
  d.clear_history();
  d.warm_up(1, 400, milliseconds(5));  // two seconds
  EXPECT_GE(d.sent.size(), 40u);
  EXPECT_LE(d.sent.size(), 200u) << "more would overload the cold hosts";
}

// Many hosts pause now and then. A short period without responses must not exclude a host for long.
TEST(OutlierDetection, SendsToHostAgainAfterShortPause) {
  Driver d(make_settings(), 3);
  d.warm_up(0, 60);
  Time paused_until = d.now + milliseconds(900);
  const HostId paused_host = d.host(0);
  std::size_t sent_before = 0;
  for (int i = 0; i < 400; ++i) {
    if (i == 200) {
      sent_before = d.sent_to(paused_host);
    }
    d.request(1);
    d.advance(milliseconds(10));
    serve_due(d, [&](HostId h) {
      return h == paused_host && d.now < paused_until ? Duration{} : Duration(milliseconds(30));
    });
  }
  EXPECT_GT(d.sent_to(paused_host) - sent_before, 30u);
}

// A host that alternates between a second of success and a second of failures must cost few
// requests and not raise the shedding threshold.
TEST(OutlierDetection, FewRequestsFailAtFlappingHost) {
  Driver d(make_settings(), 5);
  d.warm_up(0, 60);
  const HostId flapping = d.host(4);
  std::size_t failures = 0;
  for (int i = 0; i < 2000; ++i) {
    d.request(1);
    d.advance(milliseconds(10));
    for (std::size_t k = 0; k < d.in_flight.size();) {
      const SentAttempt s = d.in_flight[k];
      if (s.host == flapping && (i / 100) % 2 == 1) {
        ++failures;
        d.report_result(s, AttemptOutcome::reset, false);
      } else if (d.now - s.at >= milliseconds(30)) {
        d.serve(s);
      } else {
        ++k;
      }
    }
    EXPECT_LT(d.balancer.shedding_threshold(), 1);
  }
  EXPECT_LT(failures, 120u) << "one in five requests would go there half of the time: 200";
}

// While a whole zone is unreachable, the hosts of the other zone serve all requests. Requests
// return to the zone when it is reachable again.
TEST(Zones, AvoidsUnreachableZoneAndReturnsToIt) {
  Driver d(make_settings(), 0);
  std::vector<Endpoint> list;
  for (int i = 0; i < 8; ++i) {
    list.push_back(make_host(i, i < 4 ? "east" : "west"));
  }
  d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::snapshot, list);
  bool is_west_unreachable = true;
  const auto is_in_west = [&](HostId h) {
    return d.balancer.address(h) >= "host-104";
  };
  const auto run = [&](int n) {
    std::size_t sent_to_west = 0;
    for (int i = 0; i < n; ++i) {
      d.request(1);
      d.advance(milliseconds(10));
      for (std::size_t k = 0; k < d.in_flight.size();) {
        const SentAttempt s = d.in_flight[k];
        if (is_west_unreachable && is_in_west(s.host)) {
          if (d.now - s.at >= milliseconds(200)) {
            d.report_result(s, AttemptOutcome::connect_failed, false);
          } else {
            ++k;
          }
        } else if (d.now - s.at >= milliseconds(30)) {
          d.serve(s);
        } else {
          ++k;
        }
      }
    }
    for (const SentAttempt& s : d.sent) {
      sent_to_west += is_in_west(s.host);
    }
    return sent_to_west;
  };
  run(500);
  d.clear_history();
  EXPECT_LT(run(500), 60u);
  is_west_unreachable = false;
  run(1500);
  d.clear_history();
  EXPECT_GT(run(500), 100u);
}

// Clients that were rejected together retry together. Such a burst is shed in part, by priority,
// and must not lead to rejections afterwards.
TEST(Retries, ShedsNothingAfterSynchronizedBursts) {
  Driver d(make_settings(), 6);
  d.warm_up(0, 60);
  int rejected_in_bursts = 0;
  for (int burst = 0; burst < 5; ++burst) {
    for (int i = 0; i < 150; ++i) {
      rejected_in_bursts += d.rejected(d.request(i % 10 == 0 ? 0 : 1));
    }
    for (int i = 0; i < 20; ++i) {
      d.advance(milliseconds(10));
      serve_due(d, [](HostId) { return Duration(milliseconds(30)); });
    }
  }
  EXPECT_GT(rejected_in_bursts, 0);
  int rejected_afterwards = 0;
  for (int i = 0; i < 100; ++i) {
    rejected_afterwards += d.rejected(d.request(1));
    d.advance(milliseconds(10));
    serve_due(d, [](HostId) { return Duration(milliseconds(30)); });
  }
  EXPECT_EQ(rejected_afterwards, 0);
}

// A restored endpoint list may be long out of date. Failed connects to dead addresses prove that
// the request did not run, so they cost a retry, and few requests are rejected or failed.
TEST(Discovery, DeadHostsOfStaleListCostOnlyRetries) {
  Driver d(make_settings(), 9);
  int rejected_or_failed = 0;
  for (int i = 0; i < 300; ++i) {
    const RequestId id = d.request(1);
    d.advance(milliseconds(10));
    for (std::size_t k = 0; k < d.in_flight.size();) {
      const SentAttempt s = d.in_flight[k];
      if (s.host <= d.host(4)) {
        d.report_result(s, AttemptOutcome::connect_failed, false);
      } else if (d.now - s.at >= milliseconds(20)) {
        d.serve(s);
      } else {
        ++k;
      }
    }
    rejected_or_failed += d.rejected(id) || d.failed(id);
  }
  EXPECT_LT(rejected_or_failed, 10)
      << "five of nine hosts are dead; compared with the median host none would be ejected";
}

// The estimated in-flight maximum follows when most hosts are removed while the traffic falls
// alike.
TEST(SheddingThreshold, ShedsNothingWhenHostsAndTrafficShrinkAlike) {
  Driver d(make_settings(), 8);
  int rejected = 0;
  for (int phase = 0; phase < 3; ++phase) {
    std::vector<Endpoint> list;
    for (int i = 0; i < (8 >> phase); ++i) {
      list.push_back(make_host(i));
    }
    d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::snapshot, list);
    for (int i = 0; i < 300; ++i) {
      rejected += d.rejected(d.request(1));
      d.advance(milliseconds(5 << phase));
      serve_due(d, [](HostId) { return Duration(milliseconds(30)); });
    }
  }
  EXPECT_EQ(rejected, 0);
}

// A host with a high latency estimate gets few requests. If only new responses changed the
// estimate, it would stay high after the fault is over.
TEST(OutlierDetection, ForgetsHighLatencyOfHostWithoutRequests) {
  Driver d(make_settings(), 4);
  const HostId slow = d.host(0);
  for (int i = 0; i < 600; ++i) {
    d.request(1);
    d.advance(milliseconds(10));
    serve_due(d, [&](HostId h) { return Duration(milliseconds(h == slow ? 350 : 20)); });
  }
  d.advance(seconds(1));
  serve_due(d, [&](HostId) { return Duration(milliseconds(20)); });
  d.advance(seconds(20));  // the estimate decays more slowly at low request rates
  d.clear_history();
  for (int i = 0; i < 100; ++i) {
    d.request(1);
    d.advance(milliseconds(20));
    serve_due(d, [&](HostId) { return Duration(milliseconds(20)); });
  }
  EXPECT_GT(d.sent_to(slow), 12u);
}

// A gateway that starts during an overload has no measurements. It must neither reject nor admit
// all requests.
TEST(GatewayStart, AdmitsFirstRequestsButNotAllOfOverload) {
  Driver d(make_settings(), 8);
  int rejected = 0;
  for (int i = 0; i < 20; ++i) {
    rejected += d.rejected(d.request(1));
  }
  EXPECT_EQ(rejected, 0);
  for (int i = 0; i < 300; ++i) {
    rejected += d.rejected(d.request(1));
  }
  EXPECT_GT(rejected, 100);
}

// The estimated in-flight maximum depends on the rate of responses. After a period without
// responses it must not stay near zero.
TEST(SheddingThreshold, ShedsNothingAfterCollapseIsOver) {
  Driver d(make_settings(), 6);
  d.warm_up(0, 100, milliseconds(20));
  for (int i = 0; i < 200; ++i) {  // no host responds
    d.request(1);
    d.advance(milliseconds(20));
    serve_due(d, [](HostId) { return Duration{}; });
  }
  d.advance(seconds(2));
  serve_due(d, [](HostId) { return Duration{}; });
  int rejected = 0;
  for (int i = 0; i < 400; ++i) {
    const RequestId id = d.request(1);
    if (i >= 300) {
      rejected += d.rejected(id);
    }
    d.advance(milliseconds(10));
    serve_due(d, [](HostId) { return Duration(milliseconds(30)); });
  }
  EXPECT_EQ(rejected, 0);
}

// Hosts with about twice as many requests in flight as cores slow down and stay slow while the
// demand lasts. So shedding has to keep the mean latency well below the latency objective (400 ms
// here).
TEST(SheddingThreshold, ShedsBeforeMeanLatencyReachesObjective) {
  for (int latency_ms : {50, 250}) {
    Driver d(make_settings(), 8);
    int rejected = 0;
    for (int i = 0; i < 1500; ++i) {
      const RequestId id = d.request(1);
      if (i >= 500) {
        rejected += d.rejected(id);
      }
      d.advance(milliseconds(5));
      serve_due(d, [&](HostId) { return Duration(milliseconds(latency_ms)); });
    }
    if (latency_ms == 50) {
      EXPECT_EQ(rejected, 0);
    } else {
      EXPECT_GT(rejected, 200);
    }
  }
}

// When all hosts slow down together, their latency exceeds the target without any queue. An
// in-flight maximum that follows the falling response rate would leave the hosts idle for as long
// as that lasts.
TEST(SheddingThreshold, KeepsHostsBusyWhenAllSlowDown) {
  Driver d(make_settings(), 8);
  d.warm_up(1, 100, milliseconds(20));
  double mean_in_flight = 0;
  for (int i = 0; i < 4000; ++i) {
    d.request(1);
    d.advance(milliseconds(5));
    serve_due(d, [](HostId) { return Duration(milliseconds(300)); });
    if (i >= 3500) {
      mean_in_flight += static_cast<double>(d.in_flight.size()) / 500;
    }
  }
  EXPECT_GT(mean_in_flight, 15) << "nearly two for each of eight hosts";
}

// On hosts with many cores, the requests in flight per host that occurred while nothing was shed
// stay allowed when all hosts slow down together. At 1000 requests per second 60 are in flight,
// then the latency rises to six times.
TEST(SheddingThreshold, KeepsBaselineInFlightWhenAllHostsSlowDown) {
  Driver d(make_settings(), 8);
  double mean_in_flight = 0;
  for (int i = 0; i < 35000; ++i) {
    d.request(1);
    d.advance(milliseconds(1), milliseconds(1));
    serve_due(d, [&](HostId) { return Duration(milliseconds(i < 5000 ? 60 : 360)); });
    if (i >= 30000) {
      mean_in_flight += static_cast<double>(d.in_flight.size()) / 5000;
    }
  }
  EXPECT_GT(mean_in_flight, 40) << "the floor of four per host would be 32";
}

// In the first second the in-flight maximum is assumed, not measured, and may overload hosts with
// short queues.
TEST(GatewayStart, HostRejectionsLowerInitialMaximum) {
  Driver d(make_settings(), 8);
  int rejected = 0;
  int send_count = 0;
  for (int i = 0; i < 450; ++i) {
    rejected += d.rejected(d.request(1));
    while (++send_count % 9 == 0) {
      d.report_result(d.last_sent(), AttemptOutcome::rejected_by_host, false);
    }
    d.advance(milliseconds(2), milliseconds(2));
    serve_due(d, [](HostId) { return Duration(milliseconds(50)); });
  }
  EXPECT_GT(rejected, 20)
      << "25 are in flight of an assumed maximum of about 50, but hosts reject every ninth attempt";
}

// A gateway that sheds all but a heavy class of high priority weight gets few responses per second.
// Counted without regard to their cost, these would lower its in-flight maximum to the floor and
// keep it there, while other gateways use its part of the hosts.
TEST(SheddingThreshold, GatewayWithOnlyHeavyRequestsRegainsItsPart) {
  Settings settings = make_settings();
  settings.gateway_count = 4;
  Driver d(settings, 8);
  std::map<RequestId, bool> is_heavy_by_request;
  int rejected_heavy = 0;
  for (int i = 0; i < 20000; ++i) {  // 100 heavy and 400 light requests per second
    const bool is_heavy = i % 5 == 0;
    const RequestId id = d.request(is_heavy ? 0 : 1);
    is_heavy_by_request[id] = is_heavy;
    d.advance(milliseconds(2), milliseconds(2));
    const int latency_factor = i > 1000 && i < 16000 ? 4 : 1;  // for 30 s
    for (std::size_t k = 0; k < d.in_flight.size();) {
      const SentAttempt s = d.in_flight[k];
      if (d.now - s.at >=
          latency_factor * milliseconds(is_heavy_by_request[s.request] ? 190 : 95)) {
        d.serve(s);
      } else if (d.now - s.at >= s.timeout) {
        d.report_result(s, AttemptOutcome::timeout, false);
      } else {
        ++k;
      }
    }
    if (i >= 19000 && is_heavy) {
      rejected_heavy += d.rejected(id);
    }
  }
  EXPECT_LE(rejected_heavy, 50) << "of 200 heavy requests, 6 s after the slowdown";
}

// Overloaded hosts stay slow for long after the overload. Their rejections are the first sign, long
// before the failed attempts count as an error overload.
TEST(HostRejections, RejectionsOfManyHostsLowerInFlightMaximum) {
  int rejected[2] = {0, 0};
  for (int round : {0, 1}) {
    Driver d(make_settings(), 8);
    int send_count = 0;
    for (int i = 0; i < 3000; ++i) {
      const RequestId id = d.request(1);
      if (i >= 1000) {
        rejected[round] += d.rejected(id);
      }
      while (round == 1 && ++send_count % 15 == 0) {
        d.report_result(d.last_sent(), AttemptOutcome::rejected_by_host, false);
      }
      d.advance(milliseconds(5));
      serve_due(d, [&](HostId) { return Duration(milliseconds(105)); });
    }
  }
  EXPECT_LT(rejected[0], 100);
  EXPECT_GT(rejected[1], 3 * rejected[0] + 100)
      << "seven per cent are rejected by hosts, too few for an error overload";
}

// At a low request rate a few errors are a large fraction of the outcomes, but no overload.
TEST(LowTraffic, FewErrorsShedNothing) {
  Driver d(make_settings(), 3);
  for (int i = 0; i < 20; ++i) {
    const RequestId id = d.request(1);
    EXPECT_FALSE(d.rejected(id));
    d.advance(milliseconds(300));
    while (!d.in_flight.empty()) {
      d.report_result(SentAttempt(d.in_flight.front()),
                      i % 4 == 0 ? AttemptOutcome::server_error : AttemptOutcome::success,
                      i % 4 != 0);
    }
    d.advance(milliseconds(400));
  }
}

TEST(SingleHost, IsNeverEjected) {
  Driver d(make_settings(), 1);
  for (int i = 0; i < 50; ++i) {
    d.request(1);
    d.advance(milliseconds(50));
    while (!d.in_flight.empty()) {
      d.report_result(SentAttempt(d.in_flight.front()), AttemptOutcome::server_error, false);
    }
  }
  d.advance(seconds(3));
  d.clear_history();
  d.request(0);
  EXPECT_EQ(d.sent.size(), 1u);
}

// With many gateways, each has few requests in flight at any host. The own zone would look idle and
// be overloaded, while the other zone has free capacity.
TEST(Zones, PrefersOtherZoneWhileOwnZoneIsOverloaded) {
  Driver d(make_settings(), 0);
  d.balancer.on_endpoint_update(
      d.now, EndpointUpdateKind::snapshot,
      {make_host(0), make_host(1), make_host(2, "west"), make_host(3, "west")});
  const auto latency = [&](HostId h) {
    return h == d.host(0) || h == d.host(1) ? milliseconds(120) : milliseconds(40);
  };
  for (int i = 0; i < 400; ++i) {
    if (i == 200) {
      d.clear_history();
    }
    d.request(0);
    d.advance(milliseconds(40));
    serve_due(d, [&](HostId h) { return Duration(latency(h)); });
  }
  EXPECT_GT(d.sent_to(d.host(2)) + d.sent_to(d.host(3)), 130u);
}

// A retry by the client has less time remaining. The time used before counts against the latency
// objective, and past it a response has no value.
TEST(Retries, RejectsClientRetryPastLatencyObjective) {
  Driver d(make_settings(), 6);
  d.warm_up(0, 30);
  const RequestId id =
      d.request(0, milliseconds(500));  // 500 of 1000 ms are used; the objective is 400
  EXPECT_TRUE(d.rejected(id));
}

// A client's last retry may wait for all the time that is left, often longer than its first
// request. Taken for the usual remaining time, that would make every first request look late and
// shorten the time limit of its attempt.
TEST(Retries, LongerLastClientRetryKeepsTimeLimitOfFirstRequests) {
  Driver d(make_settings(), 6);
  for (int i = 0; i < 60; ++i) {
    d.request(0, i % 4 == 3 ? milliseconds(950) : milliseconds(600));
    const SentAttempt s = d.last_sent();
    if (i > 20) {
      EXPECT_GE(s.timeout, i % 4 == 3 ? milliseconds(320) : milliseconds(380)) << i;
    }
    if (i > 20 && i % 4 == 3) {
      EXPECT_LE(s.timeout, milliseconds(350)) << "50 ms were used before";
    }
    d.advance(milliseconds(30));
    d.serve(s);
  }
}

// Sends one request at a time, every second one after an idle time of `idle`. An attempt on a
// connection that was idle for so long is lost, unless the gateway closed the connection before and
// opened a new one. Returns how often it closed idle connections.
std::size_t closes_after_losses(Duration idle) {
  Settings s = make_settings();
  s.max_attempts = 1;
  s.idle_connection_timeout = seconds(60);
  s.streams_per_connection = 100;
  Driver d(s, 1);
  d.warm_up(0, 10);
  d.clear_history();
  for (int i = 0; i < 24; ++i) {
    const bool was_idle = i % 2 == 0;
    const std::size_t closes_before = d.count<CloseIdleConnections>();
    if (was_idle) {
      d.advance(idle);
    }
    d.request(0);
    if (d.in_flight.empty()) {
      continue;
    }
    const bool is_lost = was_idle && d.count<CloseIdleConnections>() == closes_before;
    d.report_result(SentAttempt(d.in_flight.front()),
                    is_lost ? AttemptOutcome::reset : AttemptOutcome::success, !is_lost);
  }
  return d.count<CloseIdleConnections>();
}

TEST(IdleConnections, ClosesThemAfterAttemptsWereLostOnThem) {
  EXPECT_GT(closes_after_losses(milliseconds(1100)), 1u);
}

// New connections to a host may fail while its open ones still work. If the open ones were not used
// meanwhile, they would idle until they are lost too.
TEST(NewConnections, UsesOpenConnectionsWhileNewOnesFail) {
  Settings s = make_settings();
  s.max_attempts = 1;
  Driver d(s, 2);
  d.warm_up(0, 20);
  for (int i = 0; i < 3; ++i) {
    d.request(0);
  }
  const SentAttempt first = d.in_flight[0];
  const SentAttempt second = d.in_flight[1];
  const SentAttempt third = d.in_flight[2];
  d.report_result(third, AttemptOutcome::connect_failed, false);
  d.serve(first);
  d.serve(second);
  d.clear_history();
  d.warm_up(0, 12, milliseconds(20));
  EXPECT_GT(d.sent_to(third.host), 2u);
}

TEST(NewConnections, RarelyTriesHostsThatAcceptNone) {
  Settings s = make_settings();
  s.max_attempts = 1;
  Driver d(s, 4);
  std::size_t failed_connects = 0;
  for (int i = 0; i < 1500; ++i) {
    d.request(0);
    d.advance(milliseconds(20), milliseconds(20));
    while (!d.in_flight.empty()) {
      const SentAttempt sent = d.in_flight.front();
      const bool accepts = sent.host == d.host(0);
      failed_connects += !accepts;
      d.report_result(sent, accepts ? AttemptOutcome::success : AttemptOutcome::connect_failed,
                      accepts);
    }
  }
  EXPECT_LT(failed_connects, 25u) << "for three hosts in 30 s";
}

// By its mean failure rate over all classes such a host looks healthy.
TEST(ClassHealth, HostThatFailsOneClassKeepsTheOthers) {
  Settings s = make_settings();
  s.max_attempts = 1;
  Driver d(s, 6);
  d.warm_up(0, 60);
  const HostId failing_host = d.host(0);
  std::size_t sent_to_failing[2] = {0, 0};
  for (int i = 0; i < 1200; ++i) {
    const std::uint32_t cls = i % 4 == 0 ? 1 : 0;
    d.request(cls);
    d.advance(milliseconds(20), milliseconds(20));
    while (!d.in_flight.empty()) {
      const SentAttempt sent = d.in_flight.front();
      if (i >= 600 && sent.host == failing_host) {
        ++sent_to_failing[cls];
      }
      const bool fails = cls == 1 && sent.host == failing_host;
      d.report_result(sent, fails ? AttemptOutcome::server_error : AttemptOutcome::success, !fails);
    }
  }
  EXPECT_LT(sent_to_failing[1], 10u);  // of 150; an even distribution gives 25
  EXPECT_GT(sent_to_failing[0], 40u);  // of 450; an even distribution gives 75
}

// A host that rejects one class and serves the others would keep attracting that class.
TEST(ClassHealth, HostThatRejectsOneClassKeepsTheOthers) {
  Settings s = make_settings();
  s.max_attempts = 1;
  Driver d(s, 6);
  d.warm_up(0, 60);
  const HostId rejecting_host = d.host(0);
  std::size_t sent_to_rejecting[2] = {0, 0};
  for (int i = 0; i < 1200; ++i) {
    const std::uint32_t cls = i % 4 == 0 ? 1 : 0;
    d.request(cls);
    d.advance(milliseconds(20), milliseconds(20));
    while (!d.in_flight.empty()) {
      const SentAttempt sent = d.in_flight.front();
      if (i >= 600 && sent.host == rejecting_host) {
        ++sent_to_rejecting[cls];
      }
      const bool rejects = cls == 1 && sent.host == rejecting_host;
      d.report_result(sent, rejects ? AttemptOutcome::rejected_by_host : AttemptOutcome::success,
                      !rejects);
    }
  }
  EXPECT_LT(sent_to_rejecting[1], 10u);  // of 150; an even distribution gives 25
  EXPECT_GT(sent_to_rejecting[0], 40u);  // of 450; an even distribution gives 75
}

// A request with less time left for its latency objective than responses take would be sent in vain
// and time out. Each round of 100 ms sends `competing` requests of low priority, three first
// requests of class 0 and one retry by a client that has used 250 of the 400 ms of the objective.
// Responses take 300 ms in the first quarter of the rounds and `later_latency` afterwards. Returns
// how many of the retries were rejected in the second half.
int rejected_late_requests(int competing, int rounds, Duration later_latency = milliseconds(300)) {
  Driver d(make_settings(), 6);
  d.warm_up(0, 40, milliseconds(100));
  int rejected = 0;
  for (int i = 0; i < rounds; ++i) {
    for (int k = 0; k < competing; ++k) {
      d.request(1);
    }
    for (int k = 0; k < 3; ++k) {
      d.request(0);  // so that the usual remaining time is that of first requests
    }
    const RequestId late = d.request(0, milliseconds(750));
    if (i >= rounds / 2) {
      rejected += d.rejected(late);
    }
    d.advance(milliseconds(100));
    serve_due(d,
              [&](HostId) { return i < rounds / 4 ? Duration(milliseconds(300)) : later_latency; });
  }
  return rejected;
}

TEST(LateRequests, AreRejectedUnsentDuringOverload) {
  EXPECT_GT(rejected_late_requests(14, 800), 340) << "of 400";
}

TEST(LateRequests, AreSentWithoutOverload) {
  EXPECT_EQ(rejected_late_requests(1, 800), 0);
}

// The high latency learned during the overload must not keep such requests unsent for good.
TEST(LateRequests, AreSentAgainAfterLatencyRecovers) {
  EXPECT_LT(rejected_late_requests(60, 4000, milliseconds(100)), 400)
      << "of 2000; responses are fast again";
}

}  // namespace
}  // namespace load_balancer::testing
