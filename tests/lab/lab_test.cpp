// The laboratory: the host model, the discovery model, the invariant checker (by policies that
// break a rule on purpose), the repeatability of runs, scenario errors and the comparison of
// results.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <variant>

#include "lab/model/discovery_model.hpp"
#include "lab/model/host_model.hpp"
#include "lab/simulation/experiment.hpp"
#include "lab/simulation/fleet_simulation.hpp"

namespace gateway::lab {
namespace {

using namespace std::chrono_literals;
using load_balancer::Action;
using load_balancer::EndpointState;
using load_balancer::HostId;
using load_balancer::RejectRequest;
using load_balancer::SendAttempt;

Scenario parse_scenario(const char* text) {
  ScenarioReading reading = read_scenario(nlohmann::json::parse(text));
  for (const ValidationError& m : reading.mistakes) {
    ADD_FAILURE() << m.where << ": " << m.what;
  }
  return reading.scenario;
}

// A 12 s run with a class of each idempotency kind, 6 hosts and 2 gateways; `troubles` is the JSON
// list of faults.
Scenario small_scenario(const std::string& troubles = "[]", const std::string& load = "0.5") {
  return parse_scenario(
      (R"({"name": "small", "length_s": 12, "zones": [{"name": "a"}, {"name": "b"}],
    "gateways": {"count": 2}, "hosts": {"count": 6},
    "clients": {"load": )" +
       load + R"(, "keys": 50, "impatient": 0.02},
    "classes": [{"name": "read"},
                {"name": "put", "effect": "dedup", "group": "zone", "window_ms": 15000, "worth": 5},
                {"name": "seal", "effect": "fragile", "worth": 9}],
    "troubles": )" +
       troubles + "}")
          .c_str());
}

HostTraits plain_host() {
  HostTraits t;
  t.cores = 2;
  t.slots = 4;
  t.queue = 2;
  t.collapse_window = 1s;
  t.handshake_work = 0.01;
  return t;
}

Job job(JobId id, double work, std::uint64_t key = 0) {
  Job j;
  j.id = id;
  j.work = work;
  j.key = key;
  j.has_key = key != 0;
  return j;
}

// Advances a host until no event is left; returns the time in seconds at which each job ended.
std::map<JobId, double> end_times(HostModel& host) {
  std::map<JobId, double> times;
  std::vector<FinishedJob> ended;
  while (host.active_jobs() > 0 && host.next_event() != kNever) {
    const Time at = host.next_event();
    host.advance(at, ended);
    for (const FinishedJob& e : ended) {
      times[e.id] = to_seconds(at);
    }
    ended.clear();
  }
  return times;
}

// --- Hosts
// ------------------------------------------------------------------------------------------------

TEST(LabHost, SharesCoresAmongSlotsQueuesTheRestAndRejectsWhenTheQueueIsFull) {
  HostModel host(plain_host(), 0s, false);
  std::vector<FinishedJob> ended;
  for (JobId id = 1; id <= 6; ++id) {
    EXPECT_EQ(host.submit(0s, job(id, 1), ended), Admission::accepted);
  }
  EXPECT_EQ(host.submit(0s, job(7, 1), ended), Admission::rejected);
  const auto times = end_times(host);
  // Four jobs share two cores at half speed and end at 2 s; the two queued jobs then run on a core
  // each.
  for (JobId id = 1; id <= 4; ++id) {
    EXPECT_NEAR(times.at(id), 2, 1e-6) << id;
  }
  for (JobId id = 5; id <= 6; ++id) {
    EXPECT_NEAR(times.at(id), 3, 1e-6) << id;
  }
}

TEST(LabHost, CancelledAndExpiredJobsFreeTheirSlots) {
  HostModel host(plain_host(), 0s, false);
  std::vector<FinishedJob> ended;
  for (JobId id = 1; id <= 4; ++id) {
    host.submit(0s, job(id, 1), ended);
  }
  Job late = job(5, 1);
  late.deadline = 500ms;
  host.submit(0s, late, ended);
  host.submit(0s, job(6, 1), ended);
  host.cancel(1s, 1, ended);  // frees a slot after the deadline of the queued job 5
  ASSERT_EQ(ended.size(), 1u);
  EXPECT_EQ(ended[0].id, 5u);
  EXPECT_EQ(ended[0].outcome, FinishedJob::Outcome::expired);
  EXPECT_EQ(end_times(host).count(6), 1u);
}

TEST(LabHost, ColdHostWarmsUpAndCollapsesWhenWorkExceedsTheLoadFactor) {
  HostTraits t = plain_host();
  t.cold_share = 0.25;
  t.cold_time = 10s;
  t.slots = 100;
  HostModel warming(t, 0s, true);
  EXPECT_NEAR(warming.capacity(0s), 0.5, 1e-9);
  EXPECT_NEAR(warming.capacity(5s), 1.25, 1e-9);
  EXPECT_NEAR(warming.capacity(10s), 2, 1e-9);

  t.cold_time = 1h;
  // It tolerates 3 x 0.5 s of work per second: 10 x 0.14 s is below the limit, 10 x 0.16 s above.
  for (const double work : {0.14, 0.16}) {
    HostModel host(t, 0s, true);
    std::vector<FinishedJob> ended;
    for (JobId id = 0; id < 10; ++id) {
      Job j = job(id + 1, work);
      j.sender_knows_start = id < 8;
      host.submit(Duration(50ms) * static_cast<int>(id), j, ended);
    }
    EXPECT_EQ(host.collapse().has_value(), work > 0.15) << work;
    if (host.collapse()) {
      EXPECT_NEAR(host.collapse()->informed_share, 0.8, 1e-9);
    }
  }
}

TEST(LabHost, StaysSlowAfterCrowdingUntilTheRecoveryTimeHasPassed) {
  HostTraits t = plain_host();
  t.crowding = true;
  t.crowding_threshold = 3;
  t.crowding_delay = 1s;
  t.crowding_slowdown = 2;
  t.recovery_threshold = 0;
  t.recovery_time = 3s;
  t.max_slow_time = 20s;
  HostModel host(t, 0s, false);
  std::vector<FinishedJob> ended;
  for (JobId id = 1; id <= 4; ++id) {
    host.submit(0s, job(id, 10), ended);
  }
  host.advance(900ms, ended);
  EXPECT_FALSE(host.is_slowed());
  host.advance(1100ms, ended);
  EXPECT_TRUE(host.is_slowed());
  for (JobId id = 1; id <= 4; ++id) {
    host.cancel(2s, id, ended);
  }
  host.advance(4900ms, ended);
  EXPECT_TRUE(host.is_slowed());
  host.advance(5100ms, ended);
  EXPECT_FALSE(host.is_slowed());
}

TEST(LabHost, WarmKeysCostLessUntilTheyExpireOrAreEvicted) {
  HostTraits t = plain_host();
  t.warm_key_saving = 0.5;
  t.warm_key_ttl = 5s;
  t.warm_keys = 2;
  HostModel host(t, 0s, false);
  std::vector<FinishedJob> ended;
  JobId id = 0;
  const auto duration_of = [&](Time at, std::uint64_t key) {
    host.submit(at, job(++id, 0.1, key), ended);
    return end_times(host).at(id) - to_seconds(at);
  };
  EXPECT_NEAR(duration_of(1s, 7), 0.1, 1e-6);
  EXPECT_NEAR(duration_of(2s, 7), 0.05, 1e-6);
  EXPECT_NEAR(duration_of(8s, 7), 0.1, 1e-6) << "the key has expired";
  duration_of(9s, 8);
  duration_of(10s, 9);
  EXPECT_NEAR(duration_of(11s, 7), 0.1, 1e-6) << "evicted by two other keys";
}

TEST(LabDiscovery, AnnouncesRemovalAfterTheDelayAndFailsCallsBeyondItsCapacity) {
  DiscoverySpec spec;
  spec.removal_delay_s = Range(2);
  spec.call_ms = 500;
  spec.line_us = 0;
  spec.timeout_ms = 900;
  DiscoveryModel list(spec, 1);
  list.publish_immediately(0s, {1, EndpointState::active, {}});
  list.publish(10s, {1, EndpointState::removed, {}});
  EXPECT_TRUE(list.advance(11900ms).empty());
  EXPECT_EQ(list.advance(12100ms).size(), 1u);
  bool is_snapshot = true;
  EXPECT_EQ(list.changes_since(1, is_snapshot).size(), 1u);
  EXPECT_FALSE(is_snapshot);
  EXPECT_TRUE(list.call(20s, 1).ok);
  EXPECT_TRUE(list.call(20s, 1).ok);
  const DiscoveryModel::Call third =
      list.call(20s, 1);  // would wait 1 s, longer than its timeout of 0.9 s
  EXPECT_FALSE(third.ok);
  EXPECT_EQ(third.at, 20900ms);
}

// --- The invariant checker
// ------------------------------------------------------------------------------------------

// Forwards all events to the balancer; derived classes change its actions to violate a rule.
class FaultyPolicy : public BalancerPolicy {
 public:
  using BalancerPolicy::BalancerPolicy;
  std::vector<Action>& actions() override {
    std::vector<Action>& pending = BalancerPolicy::actions();
    change(pending);
    return pending;
  }

 protected:
  virtual void change(std::vector<Action>& actions) = 0;
};

// Sends a second attempt of a non-idempotent request (class seal) to another host at the same time.
class DuplicatesNonIdempotentAttempt : public FaultyPolicy {
 public:
  using FaultyPolicy::FaultyPolicy;
  void on_request(load_balancer::Time now, const load_balancer::Request& q) override {
    if (q.class_index == 2) {
      unsent_seals_.insert(q.id);
    }
    FaultyPolicy::on_request(now, q);
  }

 protected:
  void change(std::vector<Action>& actions) override {
    std::vector<Action> duplicates;
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        if (unsent_seals_.erase(send->request) > 0 && last_host_ != load_balancer::kNone &&
            last_host_ != send->host) {
          SendAttempt duplicate = *send;
          duplicate.host = last_host_;
          duplicate.attempt = send->attempt + 1;
          duplicates.emplace_back(duplicate);
        }
        last_host_ = send->host;
      }
    }
    actions.insert(actions.end(), duplicates.begin(), duplicates.end());
  }

 private:
  std::set<load_balancer::RequestId> unsent_seals_;
  HostId last_host_ = load_balancer::kNone;
};

// Sees every host as active, so that draining and removed hosts still receive attempts.
class IgnoresDraining : public BalancerPolicy {
 public:
  using BalancerPolicy::BalancerPolicy;
  void on_endpoint_update(load_balancer::Time now, load_balancer::EndpointUpdateKind kind,
                          const std::vector<load_balancer::Endpoint>& entries) override {
    std::vector<load_balancer::Endpoint> changed = entries;
    for (auto& e : changed) {
      e.state = EndpointState::active;
    }
    BalancerPolicy::on_endpoint_update(now, kind, changed);
  }
};

// Sees no start time, so that every host counts as warm and cold hosts get too much work.
class IgnoresWarmUp : public BalancerPolicy {
 public:
  using BalancerPolicy::BalancerPolicy;
  void on_endpoint_update(load_balancer::Time now, load_balancer::EndpointUpdateKind kind,
                          const std::vector<load_balancer::Endpoint>& entries) override {
    std::vector<load_balancer::Endpoint> changed = entries;
    for (auto& e : changed) {
      e.started_at = {};
    }
    BalancerPolicy::on_endpoint_update(now, kind, changed);
  }
};

// Rejects each rejected request a second time.
class RejectsTwice : public FaultyPolicy {
 public:
  using FaultyPolicy::FaultyPolicy;

 protected:
  void change(std::vector<Action>& actions) override {
    std::vector<Action> doubled;
    for (const Action& action : actions) {
      doubled.push_back(action);
      if (std::holds_alternative<RejectRequest>(action)) {
        doubled.push_back(action);
      }
    }
    actions = doubled;
  }
};

// Delays each rejection by 800 ms.
class DelaysRejections : public FaultyPolicy {
 public:
  using FaultyPolicy::FaultyPolicy;
  void on_wakeup(load_balancer::Time now) override {
    now_ = now;
    FaultyPolicy::on_wakeup(now);
  }
  void on_request(load_balancer::Time now, const load_balancer::Request& q) override {
    now_ = now;
    FaultyPolicy::on_request(now, q);
  }

 protected:
  void change(std::vector<Action>& actions) override {
    std::vector<Action> released;
    for (const Action& action : actions) {
      if (std::holds_alternative<RejectRequest>(action)) {
        delayed_.emplace_back(now_ + 800ms, action);
      } else {
        released.push_back(action);
      }
    }
    while (!delayed_.empty() && delayed_.front().first <= now_) {
      released.push_back(delayed_.front().second);
      delayed_.pop_front();
    }
    actions = released;
  }

 private:
  load_balancer::Time now_{};
  std::deque<std::pair<load_balancer::Time, Action>> delayed_;
};

// Drops every hundredth request: the balancer never sees it, so that no final response is sent.
class LosesRequests : public BalancerPolicy {
 public:
  using BalancerPolicy::BalancerPolicy;
  void on_request(load_balancer::Time now, const load_balancer::Request& q) override {
    if (++count_ % 100 != 0) {
      BalancerPolicy::on_request(now, q);
    }
  }

 private:
  unsigned count_ = 0;
};

// Turns each failure into a rejection, which claims that the request was never executed, although
// an attempt that timed out may have been.
class RejectsWithoutProof : public FaultyPolicy {
 public:
  using FaultyPolicy::FaultyPolicy;

 protected:
  void change(std::vector<Action>& actions) override {
    for (Action& action : actions) {
      if (const auto* failure = std::get_if<load_balancer::FailRequest>(&action)) {
        action = RejectRequest{failure->request, {}};
      }
    }
  }
};

template <class P>
PolicyMaker maker() {
  return [](const load_balancer::Settings& s, load_balancer::Time now) {
    return std::make_unique<P>(s, now);
  };
}

std::uint64_t violation_count(const RunResult& run, Rule rule) {
  return run.violations[static_cast<std::size_t>(rule)];
}

constexpr const char* kDrain =
    R"([{"kind": "drain", "at_s": 2, "length_s": 8, "part": 0.3, "extra": 6}])";
constexpr const char* kRestart =
    R"([{"kind": "restart", "at_s": 2, "length_s": 0, "part": 0.9, "extra": 0.1}])";
constexpr const char* kSlow =
    R"([{"kind": "shared_slow", "at_s": 2, "length_s": 8, "size": 6}, 
        {"kind": "reset", "at_s": 1, "length_s": 10,
        "part": 0.5, "size": 0.2}])";

// Guards against a false alarm: the client's timer excuses a request that a paused gateway had, but
// a response that came between the timer's time and its handler was reported as lost.
TEST(LabInvariantChecker, ExcusesLateResponsesOnlyToRequestsBeforeTheEndOfAPause) {
  using std::chrono::milliseconds;
  const std::vector<ClassSpec> classes(1);
  InvariantChecker checker(RulesSpec{}, classes);
  constexpr std::uint32_t kPaused = 6;
  constexpr std::uint32_t kOther = 7;
  const Time deadline = milliseconds(2000);
  const Time late = deadline + milliseconds(51);
  checker.request_received(milliseconds(1000), 1, 0, kPaused, deadline);
  checker.request_received(milliseconds(1000), 2, 0, kOther, deadline);
  checker.gateway_resumed(milliseconds(1900), kPaused, milliseconds(900));
  checker.request_received(milliseconds(1950), 3, 0, kPaused, deadline);
  checker.response_sent(late, 1, ResponseKind::served);
  EXPECT_TRUE(checker.is_clean());
  checker.response_sent(late, 2, ResponseKind::served);
  checker.response_sent(late, 3, ResponseKind::served);
  EXPECT_EQ(checker.first_violations().size(), 2u);
}

// A checker that misses a violation would let a broken balancer pass every simulated run; a checker
// that reports the correct balancer would make every run useless.
TEST(LabInvariantChecker, ReportsTheRuleThatEachFaultyPolicyBreaksAndNoneForTheBalancer) {
  const struct {
    Rule rule;
    PolicyMaker faulty_policy;
    Scenario scenario;
    std::set<Rule> allowed = {};  // other rules that the fault may violate
  } cases[] = {
      {Rule::double_effect, maker<DuplicatesNonIdempotentAttempt>(), small_scenario()},
      {Rule::sent_after_drain, maker<IgnoresDraining>(), small_scenario(kDrain)},
      {Rule::cold_host_overloaded, maker<IgnoresWarmUp>(), small_scenario(kRestart, "1.2")},
      {Rule::answered_twice, maker<RejectsTwice>(), small_scenario(kSlow)},
      {Rule::rejection_delayed, maker<DelaysRejections>(), small_scenario(kSlow), {Rule::lost}},
      {Rule::lost, maker<LosesRequests>(), small_scenario()},
      {Rule::unproven_rejection, maker<RejectsWithoutProof>(), small_scenario(kSlow)},
  };
  for (const auto& c : cases) {
    SCOPED_TRACE(std::string(name_of(c.rule)));
    const RunResult faulty = simulate_run(c.scenario, 1, c.faulty_policy);
    EXPECT_GT(violation_count(faulty, c.rule), 0u);
    for (std::size_t i = 0; i < kRules; ++i) {
      if (static_cast<Rule>(i) != c.rule && c.allowed.count(static_cast<Rule>(i)) == 0) {
        EXPECT_EQ(faulty.violations[i], 0u)
            << "unexpected violations of: " << name_of(static_cast<Rule>(i));
      }
    }
    const RunResult correct = simulate_run(c.scenario, 1, make_balancer);
    for (const Violation& violation : correct.first_violations) {
      ADD_FAILURE() << name_of(violation.rule) << ": " << violation.what;
    }
  }
}

// --- Runs
// -------------------------------------------------------------------------------------------------

constexpr const char* kAllFaults = R"([
  {"kind": "slow", "at_s": 1, "length_s": 4, "part": 0.3, "size": 5},
  {"kind": "fast_errors", "at_s": 2, "length_s": 4, "part": 0.3, "size": 0.8},
  {"kind": "neighbour", "at_s": 1, "length_s": 6, "part": 0.5, "size": 0.5, "extra": 1},
  {"kind": "stale_list", "at_s": 1, "length_s": 5, "size": 4},
  {"kind": "discovery_down", "at_s": 3, "length_s": 2},
  {"kind": "gateway_roll", "at_s": 4, "length_s": 4, "part": 1, "size": 0.5, "extra": 0.5},
  {"kind": "shared_slow", "at_s": 6, "length_s": 2, "size": 1.5},
  {"kind": "drain", "at_s": 2, "length_s": 6, "part": 0.2, "extra": 3},
  {"kind": "replace", "at_s": 3, "length_s": 6, "part": 1, "extra": 0.5},
  {"kind": "restart", "at_s": 5, "length_s": 0, "part": 0.2, "extra": 1},
  {"kind": "zone_loss", "at_s": 8, "length_s": 2, "zone": "b"},
  {"kind": "silent_cut", "at_s": 5, "length_s": 2, "part": 0.2},
  {"kind": "reset", "at_s": 1, "length_s": 9, "part": 0.5, "size": 0.1},
  {"kind": "spoilt", "at_s": 1, "length_s": 9, "part": 0.5, "size": 0.1},
  {"kind": "slow_peers", "at_s": 2, "length_s": 3, "part": 0.3, "extra": 0.2}])";

std::string json_of(const std::vector<RunResult>& runs) {
  std::string out;
  for (const RunResult& run : runs) {
    out += to_json(run, true).dump();
  }
  return out;
}

// A result that depends on thread timing or on other hidden state could not be reproduced from its
// seed.
TEST(LabRun, RepeatsByteForByteForAnyNumberOfJobsWithAllFaultsAtOnce) {
  const Scenario scenario = small_scenario(kAllFaults);
  const std::string expected = json_of(simulate_runs(scenario, 1, 4, 1, make_balancer));
  EXPECT_EQ(expected, json_of(simulate_runs(scenario, 1, 4, 4, make_balancer)));
  EXPECT_NE(expected, json_of(simulate_runs(scenario, 2, 4, 4, make_balancer)))
      << "another seed gave the same results";
}

TEST(LabRun, EveryOperationEndsOnceWithAllFaultsAtOnce) {
  for (const RunResult& run : simulate_runs(small_scenario(kAllFaults), 1, 4, 4, make_balancer)) {
    for (const ClassTally& c : run.metrics.classes) {
      std::uint64_t ended = 0;
      for (std::uint64_t n : c.results) {
        ended += n;
      }
      EXPECT_EQ(ended, c.operations) << c.name;
      EXPECT_GT(c.results[static_cast<std::size_t>(RequestResult::in_time)], 0u) << c.name;
    }
  }
}

TEST(LabRun, BalancerViolatesNoRuleWithAllFaultsAtOnce) {
  for (const RunResult& run : simulate_runs(small_scenario(kAllFaults), 1, 8, 4, make_balancer)) {
    for (const Violation& violation : run.first_violations) {
      ADD_FAILURE() << "seed " << run.seed << " at " << to_seconds(violation.at)
                    << " s: " << name_of(violation.rule) << ": " << violation.what;
    }
  }
}

// --- Scenarios and experiments
// ----------------------------------------------------------------------------

TEST(LabScenario, EachErrorNamesItsFieldInOneLine) {
  const struct {
    const char *text, *where, *what;
  } cases[] = {
      {R"({"lenght_s": 3})", "lenght_s", "is not known; known here: zones"},
      {R"({"length_s": "3"})", "length_s", "should be a number (s)"},
      {R"({"hosts": {"kinds": [{"speed": 0}]}})", "hosts.kinds[0].speed",
       "is 0; it should be 0.01 to 100 (yardsticks)"},
      {R"({"hosts": {"kinds": [{"speed": [2, 1]}]}})", "hosts.kinds[0].speed", "the smaller one"},
      {R"({"hosts": {"kinds": []}})", "hosts.kinds", "with an entry"},
      {R"({"hosts": {"count": 1.5}})", "hosts.count", "whole number"},
      {R"({"hosts": {"start": "hot"}})", "hosts.start", R"("warm" or "cold")"},
      {R"({"limits": {"cancel": 1}})", "limits.cancel", "true or false"},
      {R"({"classes": [{"effect": "safe"}]})", "classes[0].effect", "retryable, dedup or fragile"},
      {R"({"classes": [{"aim_ms": 900, "give_up_ms": 800}]})", "classes.status.give_up_ms",
       "below aim_ms"},
      {R"({"troubles": [{"kind": "rain"}]})", "troubles[0].kind",
       "'rain' is no trouble; known: slow"},
      {R"({"troubles": [{"kind": "zone_loss", "zone": "x"}]})", "troubles[0].zone",
       "no zone is named 'x'"},
      {R"({"zones": [{"traffic": 0}]})", "zones.traffic", "all 0"},
      {R"([])", "", "should be an object"},
  };
  for (const auto& c : cases) {
    const ScenarioReading reading = read_scenario(nlohmann::json::parse(c.text));
    ASSERT_EQ(reading.mistakes.size(), 1u) << c.text;
    EXPECT_EQ(reading.mistakes[0].where, c.where);
    EXPECT_NE(reading.mistakes[0].what.find(c.what), std::string::npos) << reading.mistakes[0].what;
  }
}

TEST(LabExperiment, ReportsADifferenceOnlyWhenItExceedsNoise) {
  std::vector<double> a;
  std::vector<double> noisy;
  std::vector<double> better;
  Random random(1, "test");
  for (int i = 0; i < 40; ++i) {
    a.push_back(random.between(0.4, 0.9));
    noisy.push_back(a.back() + 0.05 * random.normal());
    better.push_back(a.back() + 0.05 * random.normal() + 0.05);
  }
  EXPECT_TRUE(compare("x", a, noisy).is_noise());
  const Difference d = compare("x", a, better);
  EXPECT_FALSE(d.is_noise());
  EXPECT_LT(d.low, 0.05);
  EXPECT_GT(d.high, 0.05);
}

TEST(LabExperiment, RethrowsTheExceptionOfAPolicy) {
  const PolicyMaker throwing_policy = [](const load_balancer::Settings&,
                                         load_balancer::Time) -> std::unique_ptr<Policy> {
    throw std::runtime_error("broken");
  };
  EXPECT_THROW(simulate_runs(small_scenario(), 1, 8, 4, throwing_policy), std::runtime_error);
}

}  // namespace
}  // namespace gateway::lab
