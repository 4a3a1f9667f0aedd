// The store's state machine by what it exists for: retried commands, stale owners, silent ones, old watches,
// full.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "store/machine.hpp"

namespace fennelridge::store {
namespace {

using Kind = Command::Kind;
using Status = Answer::Status;

Command put(std::string key, std::string value, std::optional<Revision> expected = {}) {
  Command c;
  c.kind = Kind::put;
  c.key = std::move(key), c.value = std::move(value), c.expected = expected;
  return c;
}
Command of(Kind kind, std::uint64_t lease = 0, Millis ttl = 0, Millis now = 0) {
  Command c;
  c.kind = kind;
  c.lease = lease, c.ttl = ttl, c.now = now;
  return c;
}

TEST(StoreMachine, AWriteThatComesAgainTakesEffectOnce) {
  Machine m;
  Command c = put("count", "1", 0);
  c.client = "g1", c.number = 5;
  const Answer first = m.apply(c);
  EXPECT_EQ(first.status, Status::done);
  m.apply(put("count", "2"));
  EXPECT_EQ(m.apply(c), first) << "not a conflict: it is told what it was told";
  EXPECT_EQ(m.get("count")->value, "2");
  c.number = 4;
  EXPECT_EQ(m.apply(c).status, Status::tooOld);
  // Also where a snapshot lies between, and each client by itself.
  Machine later;
  ASSERT_TRUE(later.restore(m.snapshot()));
  c.number = 5;
  EXPECT_EQ(later.apply(c), first);
  c.client = "g2";
  EXPECT_EQ(later.apply(c).status, Status::conflict);
}

TEST(StoreMachine, ALeaseGoesWithItsKeysWhenItsOwnerIsSilentAndAStaleOwnerWritesNothing) {
  Machine m;
  m.apply(of(Kind::pass, 0, 0, 1000));
  const Answer old = m.apply(of(Kind::grant, 0, 500));
  Command lead = put("coordinator", "g1", 0);
  lead.lease = old.lease, lead.token = old.token;
  EXPECT_EQ(m.apply(lead).status, Status::done);
  m.apply(of(Kind::pass, 0, 0, 1400));
  EXPECT_EQ(m.apply(of(Kind::renew, old.lease)).token, old.token);
  m.apply(of(Kind::pass, 0, 0, 900));  // the next leader's clock is behind: nothing goes back
  EXPECT_EQ(m.now(), 1400u);
  m.apply(of(Kind::pass, 0, 0, 1899));
  ASSERT_NE(m.get("coordinator"), nullptr);
  m.apply(of(Kind::pass, 0, 0, 1900));
  EXPECT_EQ(m.get("coordinator"), nullptr);
  const Answer next = m.apply(of(Kind::grant, 0, 500));
  EXPECT_GT(next.token, old.token);
  EXPECT_NE(next.lease, old.lease);
  Command stale = put("step", "3");
  stale.lease = old.lease, stale.token = old.token;
  EXPECT_EQ(m.apply(stale).status, Status::noLease);
  stale.lease = next.lease;
  EXPECT_EQ(m.apply(stale).status, Status::noLease) << "a guessed number without its token";
  EXPECT_EQ(m.apply(of(Kind::renew, old.lease)).status, Status::noLease);
  EXPECT_EQ(m.get("step"), nullptr);
}

TEST(StoreMachine, AWatchGetsEveryChangeInOrderOrIsToldThatItIsTooOld) {
  Bounds bounds;
  bounds.history = 5;
  Machine m(bounds);
  for (int i = 0; i < 3; ++i) m.apply(put("a/" + std::to_string(i), "x"));
  m.apply(put("b", "y"));
  Command gone = put("a/1", "");
  gone.kind = Kind::erase;
  m.apply(gone);
  const auto changes = m.since(1, "a/");
  ASSERT_TRUE(changes);
  ASSERT_EQ(changes->size(), 3u);
  EXPECT_EQ((*changes)[0], (Change{2, "a/1", "x"}));
  EXPECT_EQ((*changes)[2], (Change{5, "a/1", std::nullopt}));
  m.apply(put("b", "z"));
  EXPECT_FALSE(m.since(0, ""));
  EXPECT_TRUE(m.since(1, ""));
  Machine later(bounds);
  ASSERT_TRUE(later.restore(m.snapshot()));
  EXPECT_FALSE(later.since(3, "")) << "a snapshot has no history";
  EXPECT_TRUE(later.since(6, "")->empty());
  EXPECT_EQ(later.list("a/").size(), 2u);
}

TEST(StoreMachine, WhatIsFullRefusesAndForgetsNothing) {
  Bounds bounds;
  bounds.keys = 3, bounds.allBytes = 40, bounds.leases = 1, bounds.clients = 2;
  Machine m(bounds);
  for (const char* key : {"a", "b", "c"}) EXPECT_EQ(m.apply(put(key, "12345")).status, Status::done);
  EXPECT_EQ(m.apply(put("d", "1")).status, Status::full);
  EXPECT_EQ(m.apply(put("a", std::string(40, 'x'))).status, Status::full);
  EXPECT_EQ(m.apply(put("a", std::string(25, 'x'))).status, Status::done);
  EXPECT_EQ(m.apply(put("", "1")).status, Status::invalid);
  EXPECT_EQ(m.apply(of(Kind::grant, 0, 1000)).status, Status::done);
  EXPECT_EQ(m.apply(of(Kind::grant, 0, 1000)).status, Status::full);
  EXPECT_EQ(m.apply(of(Kind::grant, 0, 1)).status, Status::invalid);
  EXPECT_EQ(m.list("").size(), 3u);
  EXPECT_FALSE(m.restore("garbage"));
  EXPECT_EQ(m.list("").size(), 3u);
}

// Members that apply the same log, one of them by way of a snapshot at any place, are the same to the byte.
TEST(StoreMachine, TheSameLogGivesTheSameStateAndAnswers) {
  EXPECT_TRUE(rc::check([] {
    Machine a, b;
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(rc::gen::tuple(
        rc::gen::inRange(0, 6), rc::gen::inRange(0, 4), rc::gen::inRange(0, 5), rc::gen::inRange(0, 3)));
    const std::size_t cut =
        steps.empty() ? 0 : static_cast<std::size_t>(*rc::gen::inRange(0, 100)) % steps.size();
    Millis now = 0;
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < steps.size(); ++i) {
      const auto& [kind, key, n, who] = steps[i];
      Command c;
      c.kind = static_cast<Kind>(kind);
      c.key = "k" + std::to_string(key), c.value = std::to_string(n);
      if (n == 4) c.expected = a.revision();
      c.lease = static_cast<std::uint64_t>(n % 3), c.ttl = 300;
      c.now = now += 100;
      if (who > 0) c.client = "c" + std::to_string(who), c.number = ++number - (n == 3);
      RC_ASSERT(a.apply(c) == b.apply(c));
      if (i == cut) {
        Machine restored;
        RC_ASSERT(restored.restore(b.snapshot()));
        b = std::move(restored);
      }
      RC_ASSERT(a.snapshot() == b.snapshot());
      for (const auto& [name, e] : a.list("")) RC_ASSERT(e.changed <= a.revision() && e.created <= e.changed);
    }
  }));
}

}  // namespace
}  // namespace fennelridge::store
