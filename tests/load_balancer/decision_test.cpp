// Parts of the decision module, each alone; and what holds on fleets so large that the pick is
// sampled.
#include <set>

#include "load_balancer/components.hpp"
#include "support/balancer_driver.hpp"

namespace load_balancer::testing {
namespace {

struct ColdParts {  // cold start with what it stands on; the other parts do not exist
  explicit ColdParts(Settings s = make_settings()) : c(std::move(s), seconds(100)) {}
  void list(int hosts, Time up_since, const std::string& kind = "std") {
    std::vector<Endpoint> entries;
    for (int i = 0; i < hosts; ++i) {
      entries.push_back(make_host(static_cast<int>(fleet.size()) + i));
      entries.back().started_at = up_since;
      entries.back().machine_type = kind;
    }
    fleet.on_endpoint_update(EndpointUpdateKind::delta, entries);
  }
  void pass(Duration time) { c.now += time; }
  void answer(HostId id, double util, Duration recent = milliseconds(50)) {
    cold.on_load_report(fleet.at(id), {util, recent});
    cold.on_success(fleet.at(id));
  }
  double capacity(HostId id) const { return fleet.machine_type_of(fleet.at(id)).capacity; }

  Context c;
  HostSet fleet{c};
  AdmissionController cutoff{c, fleet};
  SlowStart cold{c, fleet, cutoff};
};

// Each of 4 warm hosts gives us 5 answers a second and says how busy it is.
void learn(ColdParts& p, const std::vector<double>& utils, int rounds = 100) {
  for (int i = 0; i < rounds; ++i) {
    p.pass(milliseconds(200));
    for (HostId id = 0; id < utils.size(); ++id) {
      p.answer(id, utils[id]);
    }
    p.cold.sweep();
  }
}

TEST(ColdStart, AnswersOverBusyTimeAreOurPartOfTheCapacity) {
  ColdParts p;
  p.list(4, Time{});
  learn(p, {0.5, 0.5, 0.5, 0.5});
  EXPECT_NEAR(p.capacity(0), 10, 1);  // 5 a second at half of its time
}

TEST(ColdStart, AHostThatSaysItIsIdleMovesItsKindByAThirdAtMost) {
  ColdParts honest;
  ColdParts lied;
  for (ColdParts* p : {&honest, &lied}) {
    p->list(4, Time{});
  }
  learn(honest, {0.5, 0.5, 0.5, 0.5});
  learn(lied, {0.5, 0.5, 0.0, 0.5});
  EXPECT_LT(lied.capacity(0), 1.34 * honest.capacity(0));
}

TEST(ColdStart, AKindNotHeardOfIsTakenForWeakerThanThePool) {
  ColdParts p;
  p.list(4, Time{});
  p.list(1, p.c.now, "new");
  learn(p, {0.5, 0.5, 0.5, 0.5});
  EXPECT_LT(p.capacity(4), 0.5 * p.capacity(0));
}

TEST(ColdStart, NothingButTheTimeOfTheAnswersTellsASlowKind) {
  ColdParts p;
  p.list(4, Time{});
  p.list(1, Time{}, "slow");
  for (int i = 0; i < 100; ++i) {
    p.pass(milliseconds(200));
    for (HostId id = 0; id < 4; ++id) {
      p.answer(id, 0.5);
    }
    if (i % 50 == 49) {
      p.answer(4, 0.5, milliseconds(200));  // two answers in all
    }
    p.cold.sweep();
  }
  EXPECT_LT(p.capacity(4), 0.3 * p.capacity(0));
}

TEST(ColdStart, ReportsThatStopLeaveWhatWasLearnedAndThenFade) {
  ColdParts p;
  p.list(4, Time{});
  learn(p, {0.25, 0.25, 0.25, 0.25});
  const double before = p.capacity(0);
  for (int i = 0; i < 20; ++i) {
    p.pass(kSweepInterval), p.cold.sweep();
  }
  EXPECT_NEAR(p.capacity(0), before, 0.1 * before);
  for (int i = 0; i < 3000; ++i) {
    p.pass(kSweepInterval), p.cold.sweep();
  }
  // What is supposed of a host of which nothing is known: half of its even share of 80 requests a
  // second.
  EXPECT_NEAR(p.capacity(0), 10, 0.1);
}

// 48 gateways without a word among them, each with its own draws, all with something to send at any
// moment.
TEST(ColdStart, PermitsOfManyGatewaysAreNotSavedUp) {
  std::vector<std::unique_ptr<ColdParts>> bank;
  for (std::uint64_t g = 0; g < 48; ++g) {
    Settings s = make_settings();
    s.gateway_count = 48;
    s.seed = g + 1;
    s.collapse_window = seconds(1);
    bank.push_back(std::make_unique<ColdParts>(s));
    bank.back()->list(4, Time{});
    learn(*bank.back(), {0.5, 0.5, 0.5, 0.5}, 50);
    bank.back()->list(1, bank.back()->c.now);
  }
  // of the cold one at its start, all gateways together
  const double capacity = bank[0]->capacity(0) * 48 * 0.2;
  int burst = 0;
  for (auto& p : bank) {
    for (int i = 0; i < 20; ++i) {
      p->pass(kSweepInterval), p->cold.try_admit(p->fleet.at(4));  // asked, but not used
    }
    burst += p->cold.try_admit(p->fleet.at(4));
  }
  EXPECT_GT(burst, 0);
  EXPECT_LT(burst,
            1.5 * capacity);  // in one moment; three times the capacity within a second fells it
}

// --- Large fleets
// -----------------------------------------------------------------------------------------

TEST(LargeFleet, AnIdleHostIsFoundAmongManyBusyOnes) {
  Driver d(make_settings(), 200);
  // Each host holds two, but for twenty that were just emptied.
  for (int i = 0; i < 400; ++i) {
    d.request(0, seconds(1));
  }
  std::map<HostId, int> holds;
  for (const SentAttempt& s : d.sent) {
    ++holds[s.host];
  }
  std::set<HostId> emptied;
  for (const SentAttempt& s : std::vector<SentAttempt>(d.sent)) {
    if (emptied.size() < 20) {
      emptied.insert(s.host);
    }
    if (emptied.count(s.host)) {
      d.report_result(s, AttemptOutcome::success, true, milliseconds(50));
    }
  }
  int to_idle = 0;
  const std::size_t before = d.sent.size();
  for (int i = 0; i < 15; ++i) {
    d.request(0, seconds(1));
  }
  for (std::size_t i = before; i < d.sent.size(); ++i) {
    to_idle += emptied.count(d.sent[i].host) ? 1 : 0;
  }
  EXPECT_GE(to_idle, 13);  // 48 looks miss one idle in ten once in 160
}

TEST(LargeFleet, NothingIsSentToHostsThatAListTookAwayWhileTheyWereCold) {
  Driver d(make_settings(), 0);
  std::vector<Endpoint> list;
  for (int i = 0; i < 100; ++i) {
    list.push_back(make_host(i));
    list.back().started_at = d.now;
  }
  d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::snapshot, list);
  list.erase(list.begin(), list.begin() + 60);
  d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::snapshot, list);
  d.collect();
  for (int i = 0; i < 300; ++i) {
    d.advance(milliseconds(20), milliseconds(20));
    d.request(0, seconds(1));
  }
  EXPECT_GE(d.sent.size(), 5u);
  for (const SentAttempt& s : d.sent) {
    EXPECT_GE(d.balancer.address(s.host), make_host(60).address);
  }
}

TEST(LargeFleet, AKeyKeepsToFewHostsAndMovesOnlyIfOneOfThemGoes) {
  Settings s = make_settings();
  s.key_affinity = true;
  const auto hosts_of = [&](int from) {
    Driver d(s, 0);
    std::vector<Endpoint> list;
    for (int i = from; i < 300; ++i) {
      list.push_back(make_host(i));
    }
    d.balancer.on_endpoint_update(d.now, EndpointUpdateKind::snapshot, list);
    d.collect();
    std::map<std::uint64_t, std::string> first;
    for (std::uint64_t key = 1; key <= 200; ++key) {
      const std::size_t before = d.sent.size();
      d.request(0, seconds(1), key * 7919);
      first[key] = d.balancer.address(d.sent.at(before).host);
      d.report_result(SentAttempt(d.sent.at(before)), AttemptOutcome::success, true,
                      milliseconds(5));
    }
    return first;
  };
  const auto all = hosts_of(0);
  const auto fewer = hosts_of(6);  // 6 of 300 hosts go: 2 %
  int moved = 0;
  for (const auto& [key, host] : all) {
    moved += fewer.at(key) != host;
  }
  EXPECT_LE(moved, 200 * 0.08);
}

}  // namespace
}  // namespace load_balancer::testing
