// Tests of the state that a fleet shares under network partitions, lost and duplicated messages,
// restarts, faulty observers and floods. The laboratory's checker verifies the budgets; a test with
// injected faults verifies the checker.
#include "fleet_state/fleet_state.hpp"

#include <rapidcheck.h>

#include <nlohmann/json.hpp>

#include "lab/rig/fleet_check.hpp"
#include "support/fleet_simulator.hpp"

namespace gateway::testing {
namespace {

using namespace fleet_state;
using lab::FleetCheck;

constexpr fleet_state::Time kEpoch = std::chrono::seconds(1'700'000'000);

// Defects of the shared state that the checker must detect.
enum class InjectedFault {
  none,
  retries_without_token,
  transfers_counted_twice,
  dead_members_not_counted
};

// A fleet of members with their shared state in virtual time. Every request at the first
// `failing_members` fails once and then needs a retry.
class SharedFleet {
 public:
  SharedFleet(std::size_t count, std::uint64_t seed, InjectedFault fault = InjectedFault::none)
      : sim(count, seed), fault_(fault), random_(seed) {
    config.min_members = count;
    config.retry_ratio = 0.1;
    config.retry_token_lifetime_slots = 5;
    config.limits = {{"all", "", "", 100, false}};
    config.shares_host_health = true;
    sim.settings.min_suspicion_timeout = 2s;
    sim.settings.max_suspicion_timeout = 4s;
    sim.payload_for = [this](std::size_t from, const std::string& to, std::size_t max_bytes) {
      return states.at(from)->payload_for(to, max_bytes);
    };
    sim.on_payload = [this](std::size_t to, const Message& message) {
      states.at(to)->on_payload(unix_now(), message.from, message.payload);
      if (fault_ == InjectedFault::transfers_counted_twice) {
        states.at(to)->on_payload(unix_now(), message.from + "'", message.payload);
      }
    };
  }
  fleet_state::Time unix_now() const { return kEpoch + sim.now(); }
  void start(std::size_t i) {
    states.resize(sim.nodes.size());
    states[i] = std::make_unique<FleetState>(config, FleetSimulator::name(i), 1000 * i + ++starts_,
                                             unix_now());
    states[i]->on_hosts(hosts);
    sim.start(i);
    const std::uint64_t start = starts_;
    running_start_[i] = start;
    logged_counters_[i] = {};
    sim.schedule(sim.now() + 1ms, [this, i, start] { tick(i, start); });
  }
  void start_all() {
    for (std::size_t i = 0; i < sim.nodes.size(); ++i) {
      start(i);
    }
  }
  void kill(std::size_t i) {
    sim.kill(i);
    running_start_[i] = 0;
  }
  FleetCheck::Report report() const {
    lab::FleetBounds bounds;
    bounds.retry_ratio = config.retry_ratio.value();
    bounds.retry_token_lifetime_s = config.retry_token_lifetime_slots;
    bounds.limits = {{"all", config.limits[0].requests_per_second}};
    bounds.limit_token_lifetime_s = config.limit_token_lifetime_slots;
    FleetCheck check(bounds);
    for (const auto& [member, line] : log_lines) {
      check.add_line(member, line);
    }
    return check.report();
  }
  void partition(std::function<int(std::size_t)> part) {
    sim.link = partitioned_by(std::move(part));
  }

  FleetSimulator sim;
  FleetStateConfig config;
  std::vector<std::unique_ptr<FleetState>> states;
  std::vector<std::string> hosts;
  double requests_per_second = 20;  // at each member
  std::size_t failing_members = 5;
  std::vector<std::pair<std::string, std::string>> log_lines;  // with the name of the member

 private:
  void tick(std::size_t i, std::uint64_t start) {
    if (running_start_[i] != start) {
      return;
    }
    sim.schedule(sim.now() + 100ms, [this, i, start] { tick(i, start); });
    if (sim.nodes[i].paused) {
      return;
    }
    states[i]->on_tick(unix_now(), view_of(i));
    send_updates(i);
    run_requests(i);
    log_usage(i);
  }

  FleetView view_of(std::size_t i) {
    const Membership& membership = sim.at(i);
    FleetView view;
    view.alive_count = membership.alive_count();
    view.known_count = membership.known_count();
    view.is_bootstrapped = view.known_count > 1;
    view.alive_members.insert(FleetSimulator::name(i));
    for (const auto& [name, member] : membership.peers()) {
      if (membership.is_alive(name)) {
        view.alive_members.insert(name);
      }
    }
    if (fault_ == InjectedFault::dead_members_not_counted) {
      view.known_count = view.alive_count;
    }
    return view;
  }

  void send_updates(std::size_t i) {
    if (states[i]->has_urgent_update() && sim.now() - urgent_sent_at_[i] >= 400ms) {
      urgent_sent_at_[i] = sim.now();
      sim.broadcast_payload(i, 1);
    }
    for (const std::string& name : states[i]->pending_transfers()) {
      sim.send_payload_to(i, name);
    }
  }

  void run_requests(std::size_t i) {
    FleetState& state = *states[i];
    const bool without_token = fault_ == InjectedFault::retries_without_token && i == 3;
    const auto requests = std::poisson_distribution<int>(requests_per_second / 10)(random_);
    for (int n = 0; n < requests; ++n) {
      state.try_admit(unix_now(), "any", "");
      if (i >= failing_members) {
        continue;
      }
      if (state.allowed_retries() > 0 || without_token) {
        state.on_retry_sent(unix_now());
      } else {
        state.on_attempt_result(unix_now(), "some", false);
      }
    }
  }

  // Logs the increase of the counters in the format of the fleet agent's log, which the checker
  // reads.
  void log_usage(std::size_t i) {
    const FleetState::Counters& counters = states[i]->counters();
    FleetState::Counters& logged = logged_counters_[i];
    logged.admitted.resize(1);
    const nlohmann::json line{{"t", unix_now() / 1ms},
                              {"ev", "used"},
                              {"requests", counters.requests - logged.requests},
                              {"retries", counters.retries - logged.retries},
                              {"refused", counters.rejected - logged.rejected},
                              {"admitted", {{"all", counters.admitted[0] - logged.admitted[0]}}}};
    log_lines.emplace_back(FleetSimulator::name(i), line.dump());
    logged = counters;
  }

  InjectedFault fault_;
  std::mt19937_64 random_;
  std::uint64_t starts_ = 0;
  // By member: the start whose process is running, 0 after a kill. Ends the ticks of older ones.
  std::map<std::size_t, std::uint64_t> running_start_;
  std::map<std::size_t, membership::Time> urgent_sent_at_;
  std::map<std::size_t, FleetState::Counters> logged_counters_;
};

// A partition into 30 % and 70 % of the members, healed after 8 s for 4 s, a partition into three
// parts, then a link that is blocked in one direction while every link loses a fifth of its
// datagrams. In that last phase a member is killed and restarted, and another is paused for 3 s.
void run_fault_scenario(SharedFleet& fleet) {
  fleet.start_all();
  fleet.sim.run_for(6s);
  fleet.partition([](std::size_t i) { return i % 10 < 3; });
  fleet.sim.run_for(8s);
  fleet.partition([](std::size_t) { return 0; });
  fleet.sim.run_for(4s);
  fleet.partition([](std::size_t i) { return static_cast<int>(i % 3); });
  fleet.sim.run_for(8s);
  fleet.sim.link = [](std::size_t a, std::size_t b) {
    FleetSimulator::Link link;
    link.blocked = a == 4 && b == 9;
    link.loss = 0.2;
    link.jitter = 20ms;
    return link;
  };
  fleet.kill(2);
  fleet.sim.pause(7);
  fleet.sim.run_for(3s);
  fleet.sim.resume(7);
  fleet.start(2);
  fleet.sim.run_for(8s);
}

void expect_budgets_hold(const SharedFleet& fleet, std::uint64_t seed) {
  const FleetCheck::Report report = fleet.report();
  EXPECT_LE(report.retries.max_excess, 0) << "seed " << seed;
  EXPECT_LE(report.limits.at("all").max_excess, 0) << "seed " << seed;
  EXPECT_GT(report.limits.at("all").used, 37 * 70u) << "the limit admits too few requests";
  EXPECT_GT(report.retries.used, 200u);
  std::uint64_t overdrawn = 0;
  for (const auto& state : fleet.states) {
    overdrawn += state->counters().retries_overdrawn;
  }
  EXPECT_EQ(overdrawn, 0u);
}

// The parts of a partition cannot exchange what they have used. If each part used the whole budget,
// the fleet would use a multiple of it.
TEST(FleetState, RetryBudgetAndRateLimitHoldInEveryWindowUnderPartitions) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    SharedFleet fleet(20, seed);
    run_fault_scenario(fleet);
    expect_budgets_hold(fleet, seed);
  }
}

// Runs the fault scenario with an injected fault and returns what the checker finds.
FleetCheck::Report check_with(InjectedFault fault) {
  SharedFleet fleet(20, 1, fault);
  if (fault == InjectedFault::dead_members_not_counted) {
    // With 20, a limit would be divided by at least 20 members, and the fault would have no effect.
    fleet.config.min_members = 1;
  } else {
    fleet.config.limits = {{"all", "", "", 1e6, true}};
  }
  if (fault == InjectedFault::retries_without_token) {
    fleet.failing_members = 8;
    fleet.requests_per_second = 60;
  }
  fleet.config.retry_ratio = fault == InjectedFault::retries_without_token ? 0.01 : 0.1;
  run_fault_scenario(fleet);
  return fleet.report();
}

TEST(FleetState, CheckerDetectsEachInjectedFault) {
  for (const InjectedFault fault :
       {InjectedFault::retries_without_token, InjectedFault::transfers_counted_twice}) {
    EXPECT_GT(check_with(fault).retries.max_excess, 50) << static_cast<int>(fault);
  }
  const FleetCheck::Report report = check_with(InjectedFault::dead_members_not_counted);
  EXPECT_GT(report.limits.at("all").max_excess, 50);
}

// Without transfers, the members with failures could use only the tokens that they issue
// themselves.
TEST(FleetState, TokensMoveToMembersWithDemand) {
  SharedFleet fleet(50, 3);
  fleet.config.limits = {{"all", "", "", 1e6, true}};
  // Each member issues itself one retry token in five seconds, which is the lifetime of a token.
  fleet.requests_per_second = 2;
  fleet.failing_members = 4;
  fleet.start_all();
  fleet.sim.run_for(30s);
  // Per second, the fleet's 100 requests issue 10 tokens. The failing members need 8 of them and
  // issue 0.8 themselves.
  EXPECT_GT(fleet.report().retries.used, 30 * 4u);
}

// Each member issues itself only a fraction of a token within the lifetime of a token, and all
// members need one. Fractions that stayed where they are would expire unspent.
TEST(FleetState, MembersWithLittleTrafficCollectWholeTokens) {
  SharedFleet fleet(100, 3);
  fleet.config.limits = {{"all", "", "", 20, false}};
  fleet.config.retry_ratio = 0.05;
  fleet.config.retry_token_lifetime_slots = 10;
  fleet.requests_per_second = 2;
  fleet.failing_members = 100;
  fleet.start_all();
  fleet.sim.run_for(30s);
  const FleetCheck::Report report = fleet.report();
  EXPECT_GT(report.limits.at("all").used, 20 * 25 * 6 / 10u)
      << "limit of 20 per second, of which a member issues itself 0.6 within three slots";
  EXPECT_LE(report.limits.at("all").max_excess, 0);
  EXPECT_GT(report.retries.used, report.requests / 20 * 4 / 10)
      << "0.05 tokens for each admitted request";
  EXPECT_LE(report.retries.max_excess, 0);
}

TEST(FleetState, LimitIsOpenOrClosedUntilBootstrappedAsConfigured) {
  for (const bool open : {false, true}) {
    FleetStateConfig config;
    config.min_members = 10;
    config.limits = {{"seals", "seal", "", 10, open}, {"of-acme", "", "acme", 5, true}};
    FleetState state(config, "g1", 7, kEpoch);
    state.on_tick(kEpoch + 3s, {});
    EXPECT_EQ(state.try_admit(kEpoch + 3s, "seal", ""), open);
    EXPECT_TRUE(state.try_admit(kEpoch + 3s, "status", "acme"));
    // Ten members are known and seven of them dead: this member issues itself a tenth of the limit
    // in each slot, and nothing in the slot in which it started.
    int admitted = 0;
    for (int slot = 4; slot < 14; ++slot) {
      const auto now = kEpoch + std::chrono::seconds(slot);
      state.on_tick(now, {3, 10, true, {"g1"}});
      for (int i = 0; i < 10; ++i) {
        admitted += state.try_admit(now, "seal", "");
      }
    }
    EXPECT_EQ(admitted, 10);
    EXPECT_TRUE(state.try_admit(kEpoch + 14s, "status", "other")) << "no limit applies to it";
  }
}

// Runs a fleet of two until g1 has a payload for g0, and returns it.
std::string next_payload(SharedFleet& fleet) {
  std::string payload;
  while (payload.empty()) {
    fleet.sim.run_for(100ms);
    payload = fleet.states[1]->payload_for("g0", 700);
  }
  return payload;
}

// Returns the payload truncated to a random length, or with a random byte replaced.
std::string corrupted(std::string payload, std::mt19937_64& random, bool truncate) {
  if (truncate) {
    payload.resize(random() % payload.size());
  } else {
    payload[random() % payload.size()] = static_cast<char>(random());
  }
  return payload;
}

TEST(FleetState, CorruptPayloadsAreCounted) {
  SharedFleet fleet(2, 4);
  fleet.start_all();
  fleet.sim.run_for(5s);
  const std::string payload = next_payload(fleet);
  FleetState& state = *fleet.states[0];
  std::mt19937_64 random(4);
  for (int i = 0; i < 5000; ++i) {
    state.on_payload(fleet.unix_now(), "g1", corrupted(payload, random, i % 3 == 0));
  }
  // The remaining ones decode to other valid contents. In a gateway the checksum of the datagram
  // rejects those.
  EXPECT_GT(state.counters().bad_payloads + state.counters().other_config, 1000u);
}

// Tokens of a future slot would stay spendable beyond their lifetime, the second total is above the
// maximum amount, and budget 9 does not exist.
TEST(FleetState, ImplausibleTransfersAreRejected) {
  SharedFleet fleet(2, 4);
  fleet.start_all();
  fleet.sim.run_for(5s);
  FleetState& state = *fleet.states[0];
  const Amount received_before = state.retry_tokens().totals().received;
  for (const nlohmann::json& transfers : {nlohmann::json{{0, 1'700'009'999, 1000}},
                                          nlohmann::json{{0, 1'700'000'100, 2'000'000'000'000}},
                                          nlohmann::json{{9, 1'700'000'100, 1000}}}) {
    std::string payload;
    nlohmann::json::to_cbor({fingerprint(fleet.config), 5, nlohmann::json::array(), 1, transfers,
                             nlohmann::json::array(), nlohmann::json::array()},
                            payload);
    EXPECT_FALSE(state.on_payload(fleet.unix_now(), "g1", payload)) << transfers;
  }
  EXPECT_EQ(state.retry_tokens().totals().received, received_before);
}

// --- Properties

GrowOnlyCounter generate_counter() {
  GrowOnlyCounter counter(2);
  for (const auto& [process, row] :
       *rc::gen::container<std::vector<std::pair<int, std::pair<unsigned, unsigned>>>>(
           rc::gen::pair(rc::gen::inRange(0, 6),
                         rc::gen::pair(rc::gen::inRange(0U, 50U), rc::gen::inRange(0U, 50U))))) {
    counter.merge({"g" + std::to_string(process % 3), static_cast<std::uint64_t>(process / 3)},
                  {row.first, row.second});
  }
  return counter;
}

HealthReports generate_reports() {
  HealthReports reports;
  for (const auto& [key, incarnation_id, sequence, status] :
       *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
           rc::gen::tuple(rc::gen::inRange(0, 8), rc::gen::inRange(0, 3), rc::gen::inRange(0, 4),
                          rc::gen::inRange(0, 3)))) {
    reports[{"g" + std::to_string(key % 4), "h" + std::to_string(key / 4)}] = {
        static_cast<std::uint64_t>(incarnation_id), static_cast<std::uint32_t>(sequence), 5,
        static_cast<HealthStatus>(status)};
  }
  return reports;
}

TEST(GrowOnlyCounter, MergeIsCommutativeAssociativeAndIdempotent) {
  const auto merged = [](GrowOnlyCounter a, const GrowOnlyCounter& b) {
    a.merge(b);
    return a;
  };
  EXPECT_TRUE(rc::check([&] {
    const GrowOnlyCounter a = generate_counter();
    const GrowOnlyCounter b = generate_counter();
    const GrowOnlyCounter c = generate_counter();
    RC_ASSERT(merged(a, b) == merged(b, a));
    RC_ASSERT(merged(merged(a, b), c) == merged(a, merged(b, c)));
    RC_ASSERT(merged(a, a) == a);
    RC_ASSERT(merged(a, b).total(0) >= std::max(a.total(0), b.total(0)));
  }));
}

TEST(HealthReports, MergeIsCommutativeAssociativeAndIdempotent) {
  const auto merged = [](HealthReports a, const HealthReports& b) {
    merge(a, b);
    return a;
  };
  EXPECT_TRUE(rc::check([&] {
    const HealthReports a = generate_reports();
    const HealthReports b = generate_reports();
    const HealthReports c = generate_reports();
    RC_ASSERT(merged(a, b) == merged(b, a));
    RC_ASSERT(merged(merged(a, b), c) == merged(a, merged(b, c)));
    RC_ASSERT(merged(a, a) == a);
  }));
}

struct TransferMessage {
  std::size_t from = 0;
  std::size_t to = 0;
  std::vector<TokenTransfer> transfers;
};

// The escrows of four members and the transfer messages between them, with the amounts that were
// issued in each slot as the reference.
struct EscrowModel {
  static constexpr unsigned kLifetimeSlots = 3;

  static Incarnation incarnation(std::size_t i) { return {"g" + std::to_string(i), 1}; }
  void advance_all() {
    for (TokenEscrow& escrow : escrows) {
      escrow.advance(now);
    }
  }
  void issue(std::size_t i) {
    escrows[i].issue(700);
    issued[now] += 700;
  }
  void transfer(std::size_t from, std::size_t to) {
    escrows[from].transfer(incarnation(to), 900);
    messages.push_back({from, to, escrows[from].transfers_to(incarnation(to))});
  }
  bool deliver(std::size_t i) {
    const TransferMessage& message = messages[i % messages.size()];
    return escrows[message.to].receive(incarnation(message.from), message.transfers);
  }
  Amount total_spent() const {
    Amount sum = 0;
    for (const TokenEscrow& escrow : escrows) {
      sum += escrow.totals().spent;
    }
    return sum;
  }
  Amount total_held() const {
    Amount sum = 0;
    for (const TokenEscrow& escrow : escrows) {
      sum += escrow.held();
    }
    return sum;
  }
  Amount issued_since(Slot first) const {
    Amount sum = 0;
    for (auto it = issued.lower_bound(first); it != issued.end(); ++it) {
      sum += it->second;
    }
    return sum;
  }

  std::vector<TokenEscrow> escrows{4, TokenEscrow(kLifetimeSlots)};
  std::vector<TransferMessage> messages;
  Slot now = 10;
  std::map<Slot, Amount> issued;
};

// Random steps issue, spend and transfer tokens and advance the slot; messages arrive late, twice,
// in any order, or never. At no time have the members spent and do they hold more than was issued,
// or hold more than was issued within the lifetime of a token.
TEST(TokenEscrow, NoTokenIsSpentTwiceOrAfterItsExpiry) {
  EXPECT_TRUE(rc::check([] {
    enum Action { issue, spend, transfer, deliver, next_slot, nothing, count };
    EscrowModel model;
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, static_cast<int>(count)), rc::gen::inRange(0, 4),
                       rc::gen::inRange(0, 4)));
    for (const auto& [action, first, second] : steps) {
      model.advance_all();
      const auto from = static_cast<std::size_t>(first);
      const auto to = static_cast<std::size_t>(second);
      if (action == issue) {
        model.issue(from);
      } else if (action == spend) {
        model.escrows[from].spend();
      } else if (action == transfer && from != to) {
        model.transfer(from, to);
      } else if (action == deliver && !model.messages.empty()) {
        RC_ASSERT(model.deliver(from * 4 + to));
      } else if (action == next_slot) {
        ++model.now;
      }
      RC_ASSERT(model.total_spent() + model.total_held() <= model.issued_since(0));
      model.advance_all();
      const Slot oldest_valid = model.now - static_cast<Slot>(EscrowModel::kLifetimeSlots) + 1;
      RC_ASSERT(model.total_held() <= model.issued_since(oldest_valid));
    }
  }));
}

// --- Outlier consensus

// The consensus at gateway g0 in a fleet of twelve gateways (g0 to g11) with ten hosts (h0 to h9).
struct Observer {
  Observer() {
    std::vector<std::string> hosts;
    hosts.reserve(10);
    for (int i = 0; i < 10; ++i) {
      hosts.push_back("h" + std::to_string(i));
    }
    consensus.on_hosts(hosts);
    view = {12, 12, true, {}};
    for (int i = 0; i < 12; ++i) {
      view.alive_members.insert("g" + std::to_string(i));
    }
  }
  // Delivers a report of `observer` that `sender` has sent.
  bool receive_report(const std::string& sender, const std::string& observer,
                      const std::string& host, HealthStatus status = HealthStatus::unhealthy,
                      std::uint32_t sequence = 1) {
    return consensus.on_report(now, sender, {observer, host},
                               {1, sequence, now / 1ms, status, 0, 5});
  }
  // The ejected hosts after a tick.
  const std::set<std::string>& ejected() {
    consensus.on_tick(now, view);
    return consensus.ejected();
  }
  fleet_state::Time now = kEpoch;
  OutlierConsensus consensus{{}, {"g0", 1}};
  FleetView view;
};

using Names = std::set<std::string>;

TEST(OutlierConsensus, QuorumEjectsHostUntilReportsExpire) {
  Observer observer;
  observer.receive_report("g1", "g1", "h3");
  observer.receive_report("g2", "g2", "h3");
  EXPECT_EQ(observer.ejected(), Names{});
  observer.receive_report("g3", "g3", "h3");
  EXPECT_EQ(observer.ejected(), Names{"h3"});
  for (const char* by : {"g4", "g5", "g6"}) {
    observer.receive_report(by, by, "h3", HealthStatus::healthy);
  }
  EXPECT_EQ(observer.ejected(), Names{}) << "three observers find it unhealthy, three healthy";
  observer.receive_report("g7", "g7", "h3");
  EXPECT_EQ(observer.ejected(), Names{"h3"});
  observer.now += 31s;
  EXPECT_EQ(observer.ejected(), Names{});
  EXPECT_TRUE(observer.consensus.reports().empty());
}

// One faulty gateway floods g0 with reports in the name of other observers, with reports of its own
// on all hosts, and with reports of observers that do not exist.
TEST(OutlierConsensus, FaultyObserverCannotEjectHostsOrBlockCorrectReports) {
  Observer observer;
  for (std::uint32_t i = 0; i < 30000; ++i) {  // with an ascending sequence for each observer
    observer.receive_report("g9", "g" + std::to_string(1 + i % 8), "h" + std::to_string(i % 10),
                            HealthStatus::unhealthy, i);
  }
  EXPECT_EQ(observer.ejected(), Names{});
  for (int i = 0; i < 10; ++i) {
    observer.receive_report("g9", "g9", "h" + std::to_string(i));
  }
  EXPECT_EQ(observer.ejected(), Names{});
  for (int i = 0; i < 400; ++i) {
    observer.receive_report("g9", "ghost" + std::to_string(i), "h1");
  }
  EXPECT_GT(observer.consensus.dropped_reports(), 0u);
  // Correct reports are still accepted, directly and through two relays. The faulty gateway does
  // not count as the second relay.
  observer.receive_report("g1", "g1", "h2", HealthStatus::unhealthy, 1u << 31);
  observer.receive_report("g2", "g2", "h2", HealthStatus::unhealthy, 1u << 31);
  observer.receive_report("g4", "g3", "h2", HealthStatus::unhealthy, 1u << 31);
  EXPECT_EQ(observer.ejected(), Names{});
  observer.receive_report("g5", "g3", "h2", HealthStatus::unhealthy, 1u << 31);
  EXPECT_EQ(observer.ejected(), Names{"h2"});
}

// Delivers a report that each of the hosts is unhealthy from each of the reporters.
void receive_reports_on_each(Observer& observer, const std::vector<const char*>& hosts,
                             const std::vector<const char*>& reporters) {
  for (const char* host : hosts) {
    for (const char* reporter : reporters) {
      observer.receive_report(reporter, reporter, host);
    }
  }
}

// If each part of a partition ejected the maximum fraction, the parts could together eject more
// hosts than that.
TEST(OutlierConsensus, MaxEjectedFractionHoldsAndIsDividedAmongPartsOfPartition) {
  Observer observer;
  receive_reports_on_each(observer, {"h0", "h1"}, {"g1", "g2", "g3"});
  EXPECT_EQ(observer.ejected().size(), 2u);
  receive_reports_on_each(observer, {"h2", "h5", "h7"}, {"g4", "g5", "g6"});
  EXPECT_EQ(observer.ejected(), (Names{"h0", "h1"}))
      << "an observer that finds three of ten unhealthy is not trusted";
  Observer other;
  receive_reports_on_each(other, {"h0"}, {"g1", "g2", "g3"});
  receive_reports_on_each(other, {"h1"}, {"g3", "g4", "g5"});
  receive_reports_on_each(other, {"h2"}, {"g5", "g6", "g7"});
  EXPECT_EQ(other.ejected().size(), 2u) << "the maximum is a fifth of ten hosts";
  other.view.alive_count = 7;
  EXPECT_EQ(other.ejected().size(), 1u);
  other.view.alive_count = 6;
  EXPECT_EQ(other.ejected().size(), 1u);
  other.view.alive_count = 4;
  EXPECT_EQ(other.ejected(), Names{});
}

// Two unhealthy hosts of ten are plausible; an observer that fails at six hosts is more likely to
// be disconnected itself.
TEST(OutlierConsensus, ObserverDisconnectedFromHostsPublishesNothing) {
  Observer observer;
  for (int i = 0; i < 2; ++i) {
    for (int n = 0; n < 4; ++n) {
      observer.consensus.on_attempt_result(observer.now, "h" + std::to_string(i), false);
    }
  }
  observer.ejected();
  EXPECT_EQ(observer.consensus.reports().size(), 2u);
  EXPECT_TRUE(observer.consensus.has_reports_to_send(1));
  Observer other;
  for (int i = 0; i < 6; ++i) {
    for (int n = 0; n < 4; ++n) {
      other.consensus.on_attempt_result(other.now, "h" + std::to_string(i), false);
    }
  }
  other.ejected();
  EXPECT_TRUE(other.consensus.reports().empty());
}

// Delivers a report on h3 from each of the members g<first> to g<last>, with the same results.
void receive_reports_on_h3(Observer& observer, int first, int last, HealthStatus status,
                           std::uint32_t successes, std::uint32_t failures) {
  for (int i = first; i <= last; ++i) {
    const std::string name = "g" + std::to_string(i);
    observer.consensus.on_report(observer.now, name, {name, "h3"},
                                 {1, 1, observer.now / 1ms, status, successes, failures});
  }
}

// None of the gateways has enough failures to find the host unhealthy on its own.
TEST(OutlierConsensus, ObserversWithLittleTrafficEjectHostByCombinedFailures) {
  Observer observer;
  receive_reports_on_h3(observer, 1, 8, HealthStatus::suspect, 0, 1);
  EXPECT_EQ(observer.ejected(), Names{}) << "eight failures in total; nine are required";
  receive_reports_on_h3(observer, 9, 9, HealthStatus::suspect, 0, 1);
  EXPECT_EQ(observer.ejected(), Names{"h3"});
}

TEST(OutlierConsensus, SuccessesOfOthersOutweighFewCombinedFailures) {
  Observer observer;
  receive_reports_on_h3(observer, 1, 5, HealthStatus::suspect, 1, 2);
  receive_reports_on_h3(observer, 6, 11, HealthStatus::healthy, 3, 0);
  EXPECT_EQ(observer.ejected(), Names{});
}

// The failures of each observer are scaled down to three, so that a single observer with many
// requests cannot eject a host.
TEST(OutlierConsensus, FewObserversWithManyFailuresFormNoQuorum) {
  Observer observer;
  receive_reports_on_h3(observer, 1, 2, HealthStatus::unhealthy, 0, 1u << 31);
  EXPECT_EQ(observer.ejected(), Names{});
  receive_reports_on_h3(observer, 3, 4, HealthStatus::suspect, 0, 1);
  EXPECT_EQ(observer.ejected(), Names{});
  receive_reports_on_h3(observer, 5, 5, HealthStatus::suspect, 0, 1);
  EXPECT_EQ(observer.ejected(), Names{"h3"});
}

// A disconnected observer with too few attempts to find any host unhealthy finds many suspect
// instead, and must not publish these suspicions either.
TEST(OutlierConsensus, DisconnectedObserverWithLittleTrafficPublishesNoSuspicion) {
  for (const bool is_disconnected : {true, false}) {
    Observer observer;
    for (int i = 0; i < 6; ++i) {
      observer.consensus.on_attempt_result(observer.now, "h" + std::to_string(i),
                                           !is_disconnected && i > 0);
    }
    observer.ejected();
    EXPECT_EQ(observer.consensus.reports().size(), is_disconnected ? 0u : 1u);
  }
}

TEST(OutlierConsensus, FleetWithLittleTrafficEjectsUnhealthyHost) {
  SharedFleet fleet(50, 11);
  fleet.config.limits = {{"all", "", "", 1e6, true}};
  for (int i = 0; i < 20; ++i) {
    fleet.hosts.push_back("h" + std::to_string(i));
  }
  fleet.start_all();
  fleet.sim.run_for(10s);
  for (std::size_t i = 0; i < 30; ++i) {  // two results at each member, one of them a failure
    fleet.states[i]->on_attempt_result(fleet.unix_now(), "h4", false);
    fleet.states[i]->on_attempt_result(fleet.unix_now(), "h7", true);
  }
  EXPECT_TRUE(fleet.sim.run_until_done(10s, [&] {
    return std::all_of(fleet.states.begin(), fleet.states.end(),
                       [](const auto& state) { return state->ejected_hosts() == Names{"h4"}; });
  }));
}

// Twelve observers report one failure each. Members send to random members until no report is left
// to send. With too few transmissions the reports stop spreading before most members have them,
// because a member accepts a report only from two relays.
TEST(OutlierConsensus, ReportsReachWholeFleetThoughTwoRelaysAreRequired) {
  for (const std::size_t count : {50u, 300u, 1000u}) {
    SCOPED_TRACE(count);
    std::mt19937_64 random(count);
    const auto name = [](std::size_t i) {
      return "g" + std::to_string(i);
    };
    const unsigned transmissions = OutlierConsensus::transmissions_for(count);
    const fleet_state::Time now = kEpoch;
    std::vector<OutlierConsensus> all;
    FleetView view{count, count, true, {}};
    for (std::size_t i = 0; i < count; ++i) {
      view.alive_members.insert(name(i));
      all.emplace_back(OutlierConsensusSettings{}, Incarnation{name(i), i + 1});
      all[i].on_hosts({"h0", "h1", "h2", "h3", "h4", "h5"});
      if (i < 12) {
        all[i].on_attempt_result(now, "h3", false);
      }
    }
    for (OutlierConsensus& consensus : all) {
      consensus.on_tick(now, view);
    }
    for (bool has_sent = true; has_sent;) {
      has_sent = false;
      for (std::size_t i = 0; i < count; ++i) {
        const std::size_t to = (i + 1 + random() % (count - 1)) % count;
        for (const auto& [key, report] : all[i].reports_to_send(6, transmissions)) {
          all[to].on_report(now, name(i), key, report);
          all[i].on_report_sent(key);
          has_sent = true;
        }
      }
    }
    std::size_t members_with_ejection = 0;
    for (OutlierConsensus& consensus : all) {
      consensus.on_tick(now, view), members_with_ejection += consensus.ejected() == Names{"h3"};
    }
    EXPECT_GE(members_with_ejection, count * 99 / 100);
  }
}

// If every single failure were relayed by all members, failures of healthy hosts would cause
// broadcasts all the time.
TEST(OutlierConsensus, SuspicionOfSingleObserverIsSentByThatObserverOnly) {
  Observer observer;
  const auto receive_suspicion = [&](const std::string& by) {
    observer.consensus.on_report(observer.now, by, {by, "h3"},
                                 {1, 1, observer.now / 1ms, HealthStatus::suspect, 0, 1});
  };
  receive_suspicion("g1");
  EXPECT_TRUE(observer.consensus.reports_to_send(10, 1).empty());
  receive_suspicion("g2");
  EXPECT_EQ(observer.consensus.reports_to_send(10, 1).size(), 2u)
      << "a second observer shares the suspicion, so both are disseminated";
  Observer own;
  own.consensus.on_attempt_result(own.now, "h3", false);
  own.ejected();
  EXPECT_EQ(own.consensus.reports_to_send(10, 1).size(), 1u);
}

// A report that does not fit into a payload must not count as sent, or it would never reach another
// member.
TEST(OutlierConsensus, ReportThatDidNotFitIsSentInNextPayload) {
  SharedFleet fleet(2, 5);
  fleet.config.limits.clear();
  fleet.hosts = {std::string(100, 'h'), "h1", "h2", "h3", "h4"};
  FleetState state(fleet.config, "g0", 1, fleet.unix_now());
  state.on_hosts(fleet.hosts);
  for (int n = 0; n < 4; ++n) {
    state.on_attempt_result(fleet.unix_now(), fleet.hosts[0], false);
  }
  state.on_tick(fleet.unix_now(), {2, 2, true, {"g0", "g1"}});
  for (int n = 0; n < 10; ++n) {
    EXPECT_EQ(state.payload_for("g1", 100).find(fleet.hosts[0]), std::string::npos)
        << "the report on a host with a name of 100 bytes does not fit into 100 bytes";
  }
  EXPECT_NE(state.payload_for("g1", 700).find(fleet.hosts[0]), std::string::npos);
}

TEST(OutlierConsensus, FleetOfFiftyEjectsUnhealthyHostWithinSecondsUntilReportsExpire) {
  SharedFleet fleet(50, 9);
  fleet.config.limits.clear();
  fleet.config.limits = {{"all", "", "", 1e6, true}};
  for (int i = 0; i < 20; ++i) {
    fleet.hosts.push_back("h" + std::to_string(i));
  }
  fleet.start_all();
  fleet.sim.run_for(10s);
  for (std::size_t i = 0; i < 6; ++i) {
    for (int n = 0; n < 4; ++n) {
      fleet.states[i * 8]->on_attempt_result(fleet.unix_now(), "h4", false);
    }
  }
  EXPECT_TRUE(fleet.sim.run_until_done(6s, [&] {
    return std::all_of(fleet.states.begin(), fleet.states.end(),
                       [](const auto& state) { return state->ejected_hosts() == Names{"h4"}; });
  }));
  fleet.sim.run_for(35s);
  for (const auto& state : fleet.states) {
    EXPECT_EQ(state->ejected_hosts(), Names{});
  }
}

}  // namespace
}  // namespace gateway::testing
