// A large bank of gateways, each with a trickle: what they send is summed here; they share nothing.
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

class Bank {
 public:
  Bank(Settings s, int gateways, int hosts) : host_count(hosts) {
    s.gateway_count = static_cast<std::uint32_t>(gateways);
    for (int g = 0; g < gateways; ++g) {
      s.gateway_index = static_cast<std::uint32_t>(g);
      s.seed = static_cast<std::uint64_t>(g) + 1;
      drivers.push_back(std::make_unique<Driver>(s, 0));
    }
    tell(EndpointUpdateKind::snapshot, 0, hosts);
  }
  void tell(EndpointUpdateKind kind, int from, int to, Time up_since = {}) {
    std::vector<Endpoint> list;
    for (int i = from; i < to; ++i) {
      list.push_back(make_host(i));
      list.back().started_at = up_since;
    }
    for (auto& d : drivers) {
      d->balancer.on_endpoint_update(d->now, kind, list);
      d->collect();
    }
    host_count = std::max(host_count, to);
  }
  // Each gateway gets `perSecond` requests a second; hosts take `answer`.
  void run(double for_seconds, double per_second, Duration answer = milliseconds(40)) {
    const double chance = per_second * 0.02;
    for (int i = 0; i < static_cast<int>(for_seconds / 0.02); ++i) {
      for (auto& d : drivers) {
        if (std::uniform_real_distribution<>()(engine) < chance) {
          d->request(0);
        }
        d->advance(milliseconds(20), milliseconds(20));
        while (!d->in_flight.empty() && d->now - d->in_flight.front().at >= answer) {
          d->serve(SentAttempt(d->in_flight.front()));
        }
      }
    }
  }
  void forget() {
    for (auto& d : drivers) {
      d->clear_history();
    }
  }
  std::size_t sent_to(int host) const {
    std::size_t n = 0;
    for (const auto& d : drivers) {
      n += d->sent_to(d->host(host));
    }
    return n;
  }
  std::size_t gateways_at(int host) const {
    std::size_t n = 0;
    for (const auto& d : drivers) {
      n += d->sent_to(d->host(host)) > 0;
    }
    return n;
  }
  Time now() const { return drivers.front()->now; }

  std::vector<std::unique_ptr<Driver>> drivers;
  int host_count;
  std::mt19937 engine{11};
};

// A floor of one request a window, or a first token, at each of hundreds of gateways felled every
// cold host.
TEST(Bank, AColdHostIsNotPushedOverByManyGatewaysTogether) {
  for (bool everywhere :
       {false, true}) {  // where keys are kept warm, every gateway uses every host
    Settings s = make_settings();
    s.key_affinity = everywhere;
    Bank bank(s, 200, 30);
    bank.run(10, 6);
    bank.forget();
    bank.run(2, 6);
    double warm = 0;  // in the two seconds of the rule
    for (int h = 0; h < 30; ++h) {
      warm += static_cast<double>(bank.sent_to(h)) / 30;
    }
    bank.tell(EndpointUpdateKind::delta, 30, 31, bank.now());
    std::size_t sum = 0;
    for (int window = 0; window < 3; ++window) {
      bank.forget();
      bank.run(2, 6);
      // what it can do at least when the window begins
      const double share = 0.2 + 0.8 * (2 * window) / 10;
      EXPECT_LT(static_cast<double>(bank.sent_to(30)), 3 * share * warm) << "window " << window;
      sum += bank.sent_to(30);
    }
    EXPECT_GT(static_cast<double>(sum), 0.3 * warm) << "it still gets its work";
  }
}

// After a restart of the whole bank nothing is known of any host, and the list may name cold ones
// at once.
TEST(Bank, FreshGatewaysTogetherDoNotPushAColdHostOver) {
  Settings s = make_settings();
  s.key_affinity = true;
  Bank bank(s, 200, 30);
  bank.tell(EndpointUpdateKind::delta, 30, 31, bank.now());
  bank.run(2, 6);
  double warm = 0;
  for (int h = 0; h < 30; ++h) {
    warm += static_cast<double>(bank.sent_to(h)) / 30;
  }
  EXPECT_LT(static_cast<double>(bank.sent_to(30)), 3 * 0.2 * warm);
}

// Two dozen processes, six of them with twenty times the traffic of the others, before hosts that
// come back cold: counted at the host over every window of the rule, with what it refuses, what is
// sent again for it, and gateways that restart and forget what they sent. Beyond its budget N only
// 2 x root of N + 2 is chance.
// NOLINTNEXTLINE(readability-function-cognitive-complexity): too long
TEST(Bank, UnevenAndForgetfulGatewaysKeepToTheBudgetOfAColdHostAndChance) {
  constexpr int kGateways = 24;
  constexpr int kBusy = 6;
  constexpr int kHosts = 12;
  constexpr int kCold = 3;
  constexpr Duration kTick = milliseconds(10);
  constexpr Duration kWindow = seconds(1);
  for (const double per_host : {4.0, 40.0}) {  // requests a second at 0.7 of what a warm one can do
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
      SCOPED_TRACE("a host gets " + std::to_string(per_host) + ", seed " + std::to_string(seed));
      Settings s = make_settings();
      s.collapse_window = kWindow;
      Bank bank(s, kGateways, kHosts);
      std::mt19937_64 draws(seed);
      const double thin = per_host * kHosts / (kGateways - kBusy + 20.0 * kBusy);
      std::vector<Time> reached[kCold];
      // NOLINTNEXTLINE(readability-function-cognitive-complexity): too long
      const auto play = [&](Duration time) {
        for (const Time end = bank.now() + time; bank.now() < end;) {
          for (int g = 0; g < kGateways; ++g) {
            Driver& d = *bank.drivers[g];
            const std::size_t before = d.sent.size();
            for (double due =
                     (g < kBusy ? 20 * thin : thin) * to_seconds(kTick) + to_unit_interval(draws());
                 due >= 1;) {
              d.request(0), due -= 1;
            }
            d.advance(kTick, kTick);
            for (std::size_t k = 0; k < d.in_flight.size();) {
              const SentAttempt sent = d.in_flight[k];
              if (d.now - sent.at < milliseconds(40)) {
                ++k;
              } else if (sent.host < kCold && to_unit_interval(draws()) < 0.2) {
                d.report_result(sent, AttemptOutcome::rejected_by_host, false);
              } else {
                d.serve(sent);
              }
            }
            for (std::size_t i = before; i < d.sent.size(); ++i) {
              for (int h = 0; h < kCold; ++h) {
                if (d.sent[i].host == d.host(h)) {
                  reached[h].push_back(d.sent[i].at);
                }
              }
            }
          }
        }
      };
      play(seconds(8));
      for (auto& times : reached) {
        times.clear();
      }
      const Time cold = bank.now();
      bank.tell(EndpointUpdateKind::delta, 0, kCold, cold);
      for (int round = 0; round < 4; ++round) {
        play(seconds(1));
        for (int g = round; g < kGateways;
             g += 4) {  // a quarter is restarted, and told of the list as it is
          s.gateway_count = kGateways;
          s.gateway_index = static_cast<std::uint32_t>(g);
          s.seed = draws();
          const Time now = bank.drivers[g]->now;
          bank.drivers[g] = std::make_unique<Driver>(s, 0);
          bank.drivers[g]->now = now;
          std::vector<Endpoint> list;
          for (int i = 0; i < kHosts; ++i) {
            list.push_back(make_host(i)), list.back().started_at = i < kCold ? cold : Time{};
          }
          bank.drivers[g]->balancer.on_endpoint_update(now, EndpointUpdateKind::snapshot, list);
          bank.drivers[g]->collect();
        }
      }
      for (int h = 0; h < kCold; ++h) {
        std::sort(reached[h].begin(), reached[h].end());
        for (std::size_t last = 0, first = 0; last < reached[h].size(); ++last) {
          while (reached[h][last] - reached[h][first] >= kWindow) {
            ++first;
          }
          const double warmth =
              s.initial_warmup_fraction + (1 - s.initial_warmup_fraction) *
                                              to_seconds(reached[h][first] - cold) /
                                              to_seconds(s.warmup_duration);
          const double budget =
              s.collapse_load_factor * warmth * per_host / 0.7 * to_seconds(kWindow);
          ASSERT_LE(static_cast<double>(last - first + 1), budget + 2 * std::sqrt(budget) + 2)
              << "host " << h;
        }
        EXPECT_GT(reached[h].size(), per_host / 4) << "it still gets its work";
      }
    }
  }
}

// Hosts accept so many connections: a bank in which every gateway goes everywhere shuts itself out.
TEST(Bank, AHostMeetsFewOfTheGatewaysAndAllAlike) {
  Bank bank(make_settings(), 320, 50);
  bank.run(5, 6);
  std::size_t least = 320;
  std::size_t most = 0;
  for (int h = 0; h < 50; ++h) {
    least = std::min(least, bank.gateways_at(h));
    most = std::max(most, bank.gateways_at(h));
  }
  EXPECT_LE(most, 64u) << "of 320: a fifth";
  EXPECT_GE(least, 20u);
}

// Slices by chance, or from fixed places of a ring, gave hosts 4 to 12 gateways each, and their
// load with it.
TEST(Bank, EveryHostMeetsNearlyAsManyGatewaysWhateverTheNumbers) {
  for (const auto& [gateways, hosts] : {std::pair{300, 200}, {290, 171}, {150, 40}}) {
    Bank bank(make_settings(), gateways, hosts);
    bank.run(10, 4);
    double least = 1e9;
    double most = 0;
    double sum = 0;
    for (int h = 0; h < hosts; ++h) {
      const auto n = static_cast<double>(bank.gateways_at(h));
      least = std::min(least, n), most = std::max(most, n), sum += n / hosts;
    }
    EXPECT_LT(most, 1.3 * sum) << gateways << " before " << hosts;
    EXPECT_GT(least, 0.6 * sum) << gateways << " before " << hosts;
  }
}

// A slice moves with its neighbours only: else a release of the hosts costs every gateway all its
// connections.
TEST(Bank, ASliceKeepsWhatIsLeftOfItWhileMostHostsAreReplaced) {
  Bank bank(make_settings(), 100, 60);
  bank.run(4, 4);
  std::vector<std::set<int>> before(bank.drivers.size());
  for (std::size_t g = 0; g < before.size(); ++g) {
    for (int h = 30; h < 60; ++h) {
      if (bank.drivers[g]->sent_to(bank.drivers[g]->host(h)) > 0) {
        before[g].insert(h);
      }
    }
  }
  // Half of the hosts go one by one, as many new ones come.
  for (int h = 0; h < 30; ++h) {
    std::vector<Endpoint> change{make_host(h), make_host(60 + h)};
    change[0].state = EndpointState::removed;
    for (auto& d : bank.drivers) {
      d->balancer.on_endpoint_update(d->now, EndpointUpdateKind::delta, change);
      d->collect();
    }
    bank.host_count = 61 + h;
    bank.run(0.1, 4);
  }
  bank.forget();
  bank.run(4, 4);
  std::size_t kept = 0;
  std::size_t all = 0;
  for (std::size_t g = 0; g < before.size(); ++g) {
    for (int h : before[g]) {
      ++all, kept += bank.drivers[g]->sent_to(bank.drivers[g]->host(h)) > 0;
    }
  }
  EXPECT_GT(static_cast<double>(kept), 0.7 * static_cast<double>(all));
}

// One with twenty times the traffic of the others filled the few hosts of its slice.
TEST(Bank, AGatewayWithMuchTrafficTakesMoreHosts) {
  Bank bank(make_settings(), 100, 80);
  const std::size_t heavy = 7;
  for (int i = 0; i < 400; ++i) {
    for (int n = 0; n < 2; ++n) {
      bank.drivers[heavy]->request(0);  // 100 a second
    }
    bank.run(0.02, 5);
  }
  std::size_t wide = 0;
  std::size_t usual = 0;
  std::size_t most = 0;
  std::size_t sum = 0;
  for (int h = 0; h < 80; ++h) {
    const std::size_t n = bank.drivers[heavy]->sent_to(bank.drivers[heavy]->host(h));
    wide += n > 0, sum += n, most = std::max(most, n);
    usual += bank.drivers[3]->sent_to(bank.drivers[3]->host(h)) > 0;
  }
  EXPECT_GE(wide, 70u);
  EXPECT_LE(usual, 20u);
  EXPECT_LT(static_cast<double>(most), 3 * static_cast<double>(sum) / 80);
}

TEST(Bank, NewHostsAreUsedAndConnectionsToFormerOnesGivenBack) {
  Bank bank(make_settings(), 320, 50);
  bank.run(3, 6);
  bank.tell(EndpointUpdateKind::delta, 50, 100);
  bank.run(3, 6);
  bank.forget();
  bank.run(6, 6);
  std::size_t fresh = 0;
  std::size_t all = 0;
  std::size_t closed = 0;
  for (int h = 0; h < 100; ++h) {
    all += bank.sent_to(h);
    if (h >= 50) {
      fresh += bank.sent_to(h);
    }
  }
  for (const auto& d : bank.drivers) {
    closed += d->count<CloseIdleConnections>();
  }
  EXPECT_GT(fresh, all / 3);
  EXPECT_GT(closed, 320u) << "each gateway leaves some of its six for new ones";
}

// One discovery service answers all: gateways that it turns away together must not come back
// together, and none may stay silent past the allowed time.
TEST(Bank, GatewaysTurnedAwayByDiscoveryComeBackSpread) {
  Settings s = make_settings();
  s.poll_discovery = true;
  s.max_poll_interval = seconds(10);
  Bank bank(s, 200, 10);
  for (int round = 0; round < 4; ++round) {
    bank.forget();
    for (auto& d : bank.drivers) {
      d->balancer.on_endpoint_update(d->now, EndpointUpdateKind::unavailable, {});
      d->collect();
    }
    std::vector<std::size_t> asks;
    std::size_t before = 0;
    for (int window = 0; window < 100; ++window) {  // of a tenth of a second
      std::size_t sum = 0;
      for (auto& d : bank.drivers) {
        d->advance(milliseconds(100), milliseconds(20));
        sum += std::min<std::size_t>(d->count<PollEndpoints>(), 1);
      }
      asks.push_back(sum - before);
      before = sum;
    }
    EXPECT_EQ(before, 200u) << "all ask again within the allowed time";
    EXPECT_LE(*std::max_element(asks.begin(), asks.end()), 50u) << "round " << round;
  }
}

// What a gateway with few requests holds swings by chance; the cubic must not make refusals of it,
// and still refuse when the pool is slow.
TEST(Bank, ThinGatewaysRefuseOnlyWhenThePoolIsSlow) {
  Bank bank(make_settings(), 100, 20);
  bank.run(10, 6, milliseconds(110));
  bank.forget();
  bank.run(10, 6, milliseconds(110));
  std::size_t refused = 0;
  std::size_t asked = 0;
  for (auto& d : bank.drivers) {
    refused += d->count<RejectRequest>();
    asked += d->count<RejectRequest>() + d->sent.size();
  }
  EXPECT_LT(refused * 50, asked) << "hosts answer in a quarter of the aim";

  Settings s = make_settings();
  s.gateway_count = 100;
  Driver slow(s, 20);
  std::size_t before = 0;
  for (int i = 0; i < 600; ++i) {
    slow.request(1);
    slow.advance(milliseconds(150));
    for (std::size_t k = 0; k < slow.in_flight.size();) {
      const SentAttempt o = slow.in_flight[k];
      if (i < 300) {
        slow.report_result(o, AttemptOutcome::success, true, milliseconds(40));
      } else if (slow.now - o.at >= milliseconds(380)) {
        slow.report_result(o, AttemptOutcome::timeout, false);
      } else {
        ++k;
      }
    }
    if (i == 300) {
      before = slow.count<RejectRequest>();
    }
  }
  EXPECT_LT(before, 6u);
  EXPECT_GT(slow.count<RejectRequest>() - before, 100u)
      << "of 300, after nothing comes in time any more";
}

// A slow host that this gateway cannot know yet ate the whole aim of a request that may be
// repeated.
TEST(SecondCopy, OnlyWhereAllowedAndOnlyForWhatMayBeRepeated) {
  for (bool parallel : {true, false}) {
    Settings s = make_settings();
    s.allow_hedging = parallel;
    Driver d(s, 6);
    for (std::uint32_t cls : {0u, 1u}) {
      d.warm_up(cls, 60);
    }
    for (std::uint32_t cls : {0u, 1u}) {
      d.clear_history();
      d.request(cls);
      d.advance(milliseconds(300));
      EXPECT_EQ(d.sent.size(), parallel && cls == 0 ? 2u : 1u);
      if (d.sent.size() == 2) {
        EXPECT_NE(d.sent[0].host, d.sent[1].host);
      }
      while (!d.in_flight.empty()) {
        d.report_result(SentAttempt(d.in_flight.back()), AttemptOutcome::success,
                        d.in_flight.size() == 1);
      }
    }
  }
}

// Popular keys heap up on one host unseen by gateways that each hold nothing there; the list tells
// of it.
TEST(LiveWeights, ACrowdedHostLosesShareAndGetsItBack) {
  Settings s = make_settings();
  s.dynamic_weights = true;
  Driver d(s, 6);
  const auto run = [&](double weight) {
    d.clear_history();
    for (int i = 0; i < 400; ++i) {
      if (i % 10 == 0) {
        Endpoint e = make_host(2);
        e.weight = weight;
        d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::delta, {e});
      }
      d.request(0);
      d.advance(milliseconds(40));
      while (!d.in_flight.empty()) {
        d.serve(SentAttempt(d.in_flight.front()));
      }
    }
    return d.sent_to(d.host(2));
  };
  EXPECT_GT(run(1), 40u);
  EXPECT_LT(run(0.1), 40u);
  run(1);
  EXPECT_GT(run(1), 40u);
}

// Thirty resends saved up at each of hundreds of gateways are no budget: a pool that is full would
// get them all at once.
TEST(Resends, AThinGatewaySavesUpFew) {
  Settings s = make_settings();
  s.max_attempts = 2;
  Driver d(s, 20);
  d.warm_up(0, 200, milliseconds(200));
  d.clear_history();
  for (int i = 0; i < 20; ++i) {
    d.request(0);
    while (!d.in_flight.empty()) {
      d.report_result(SentAttempt(d.in_flight.front()), AttemptOutcome::rejected_by_host, false);
    }
    d.advance(milliseconds(20));
  }
  EXPECT_LE(d.sent.size(), 20u + 13u);
}

// A gateway that meets a host once in many seconds learns it too late; its machine kind is known
// sooner.
TEST(Pace, ANewHostIsTakenForItsKind) {
  std::vector<Endpoint> list;
  for (int i = 0; i < 12; ++i) {
    list.push_back(make_host(i));
    list.back().machine_type = i % 2 ? "slow" : "fast";
  }
  Driver d(make_settings(), 0);
  d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::snapshot,
                                {list.begin(), list.begin() + 8});
  for (int i = 0; i < 400; ++i) {
    d.request(0);
    while (!d.in_flight.empty()) {
      const SentAttempt o = d.in_flight.front();
      const bool slow =
          o.host == d.host(1) || o.host == d.host(3) || o.host == d.host(5) || o.host == d.host(7);
      d.report_result(o, AttemptOutcome::success, true, milliseconds(slow ? 90 : 30));
    }
    d.advance(milliseconds(50), milliseconds(50));
  }
  d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::delta, {list.begin() + 8, list.end()});
  d.clear_history();
  for (int i = 0; i < 60; ++i) {
    d.request(0);
    while (!d.in_flight.empty()) {
      d.report_result(SentAttempt(d.in_flight.front()), AttemptOutcome::cancelled,
                      true);  // teaches nothing
    }
  }
  EXPECT_GT(d.sent_to(d.host(8)) + d.sent_to(d.host(10)),
            2 * (d.sent_to(d.host(9)) + d.sent_to(d.host(11))));
}

// Beside many gateways a key that is asked for a lot is shared out over many hosts, or these are
// crowded while others stand idle; one among many keys keeps to few, the same at all gateways.
TEST(Bank, ManyGatewaysShareAPopularKeyOutAndKeepTheOthersToFewHosts) {
  const auto used = [](std::uint32_t gateways, std::uint64_t others) {
    Settings s = make_settings();
    s.key_affinity = true;
    s.gateway_count = gateways;
    std::set<std::string> hosts;
    for (s.seed = 1; s.seed <= 4; ++s.seed) {
      Driver d(s, 40);
      for (std::uint64_t i = 0; i < 900; ++i) {
        const bool other = i % (others + 1) != 0;
        d.request(0, milliseconds(1000), other ? 1000 + i % 300 : 77);
        if (!other) {
          hosts.insert(d.balancer.address(d.last_sent().host));
        }
        d.advance(milliseconds(20), milliseconds(20));
        while (!d.in_flight.empty()) {
          d.serve(SentAttempt(d.in_flight.front()));
        }
      }
    }
    return hosts.size();
  };
  EXPECT_EQ(used(4, 0), 1u) << "a few gateways see what a host holds";
  EXPECT_GT(used(48, 0), 30u);
  EXPECT_GT(used(48, 99), 1u);
  EXPECT_LE(used(48, 99), 8u);
}

// A connect that fails costs its time-out; the host is down or at its cap, so the next ones go
// elsewhere.
TEST(Connect, AHostThatDoesNotLetUsInRestsAtOnce) {
  Driver d(make_settings(), 6);
  d.warm_up(0, 60);
  d.clear_history();
  for (int i = 0; i < 40; ++i) {
    d.request(0);
    d.advance(milliseconds(10));
    for (std::size_t k = 0; k < d.in_flight.size();) {
      const SentAttempt o = d.in_flight[k];
      if (o.host == d.host(1)) {
        d.report_result(o, AttemptOutcome::connect_failed, false);
      } else {
        d.serve(o);
      }
    }
  }
  EXPECT_EQ(d.sent_to(d.host(1)), 1u);
}

// --- What a gateway with a trickle hears of all the others, by the hosts' load reports
// ---------------------

struct Trickle : Driver {
  explicit Trickle(int hosts = 20) : Driver(settings(), hosts) {}
  static Settings settings() {
    Settings s = make_settings();
    s.gateway_count = 100;
    return s;
  }
  // Fifteen requests a second, answered after 80 ms with a report.
  void run(double for_seconds, double busy,
           const std::function<bool(const SentAttempt&)>& other = {}) {
    for (int i = 0; i < static_cast<int>(for_seconds / 0.066); ++i) {
      request(1);
      advance(milliseconds(66), milliseconds(6));
      for (const SentAttempt& s : std::vector<SentAttempt>(in_flight)) {
        if (other && other(s)) {
          continue;
        }
        if (now - s.at < milliseconds(80)) {
          continue;
        }
        balancer.on_load_report(now, s.host, {busy, s.host == host(0) ? slow : milliseconds(40)});
        serve(s);
      }
    }
  }
  Duration slow = milliseconds(40);
};

TEST(Trickle, IsNotCutWhileHostsAreIdleAndIsWhileTheyAreBusy) {
  Trickle d;
  d.run(10, 0.4);
  EXPECT_EQ(d.count<RejectRequest>(), 0u) << "what it holds swings, but the pool has room";
  d.run(4, 0.97);
  EXPECT_GT(d.balancer.shedding_threshold(), 20) << "it holds as little as before";
  d.run(20, 0.4);
  EXPECT_LT(d.balancer.shedding_threshold(), 1);
}

TEST(Trickle, AHostThatFailsAtOnceIsLeftAfterFewFailures) {
  Trickle d(6);
  d.run(5, 0.4);
  d.clear_history();
  d.run(30, 0.4, [&](const SentAttempt& s) {
    if (s.host != d.host(3)) {
      return false;
    }
    d.report_result(s, AttemptOutcome::server_error, false);
    return true;
  });
  EXPECT_LE(d.sent_to(d.host(3)), 6u) << "of 450 on 6 hosts";
}

}  // namespace
}  // namespace load_balancer::testing
