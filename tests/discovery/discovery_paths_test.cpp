// How long it takes until a change in discovery is in force, on every path. Sockets are real, but
// all timers of the gateway and of the discovery server run on a manual clock. Discovery answers
// 2.01 s late throughout, as a busy one does, and the script puts each race at its worst
// moment.
#include <algorithm>

#include "support/gateway_fixture.hpp"
#include "support/manual_clock.hpp"

namespace gateway::testing {
namespace {

using namespace std::chrono_literals;
using TimePoint = ManualClock::TimePoint;

/// How late a busy discovery server answers.
constexpr auto kResponseDelay = 2010ms;
/// Within what time a change must be in force after discovery can be reached.
constexpr auto kUpdateDeadline = 6000ms;
/// The same after a reload (SIGHUP).
constexpr auto kReloadDeadline = 4000ms;
/// The same for a long poll of 20 s that is never answered: 2 s after its wait.
constexpr auto kSilentWatchDeadline = 22000ms;
/// A draining endpoint must be respected this long after its deadline.
constexpr auto kDrainAllowance = 500ms;

/// How the scripted discovery server reacts to a call.
enum class Reaction {
  answers,
  is_silent,
  refuses,
  ends  // closes without a response
};

class DiscoveryPathsTest : public GatewayFixture {
 protected:
  using Script = std::function<Reaction(std::size_t call)>;

  // A scripted discovery server. Once `changed` is set it lists a second host.
  struct Server {
    Server(DiscoveryPathsTest& test, Script s)
        : script(std::move(s)), peer(test.io, [this, &test](PeerConnection& c) {
            calls.push_back(test.clock->now());
            const std::string path = c.request.target().to_string();
            const Reaction reaction = script(calls.size() - 1);
            if (reaction == Reaction::is_silent) {
              return;
            }
            const bool watch = path.find("timeout_ms=20000") != std::string::npos;
            // A long poll is answered only when there is a change, and fails immediately.
            if (watch && reaction == Reaction::answers && !changed) {
              return;
            }
            timers.push_back(test.clock->make_timer());
            const bool full = path.find("since=") == std::string::npos;
            timers.back()->wait_until(test.clock->now() + (watch ? 0ms : kResponseDelay),
                                      [this, &test, reaction, full, c = c.shared_from_this()] {
                                        reply(test, *c, reaction, full);
                                      });
          }) {}
    void reply(DiscoveryPathsTest& test, PeerConnection& c, Reaction reaction, bool full) {
      if (reaction == Reaction::ends) {
        return c.close();
      }
      if (reaction == Reaction::refuses) {
        return c.reply(response_text(503, "Connection: close\r\n", ""), true);
      }
      json hosts = json::array();
      if (full) {
        hosts.push_back(target("s-0", test.hosts[0]->endpoint));
      }
      if (changed) {
        hosts.push_back(target("s-1", test.hosts[1]->endpoint));
      }
      c.reply(response_text(
          200, "", json{{"rev", changed ? 9 : 1}, {"all", full}, {"targets", hosts}}.dump()));
    }
    Script script;
    bool changed = true;
    std::vector<TimePoint> calls;  // arrival times
    std::vector<std::unique_ptr<runtime::Timer>> timers;
    Peer peer;
  };

  void begin(Server& server, const char* seed, json max_poll_interval) {
    hosts.clear();
    discovery.list = json::array();
    clock = std::make_shared<ManualClock>();
    waits.clock = clock;
    add_host("a", always_reply(response_text(200, "", "0")));
    hosts.push_back(std::make_unique<Peer>(io, nullptr));  // unknown at first
    config = config_json();
    config["seed"] = seed;
    config["settings"]["rules"]["askWithinNs"] = std::move(max_poll_interval);
    discovery.peer.endpoint = server.peer.endpoint;
    start();
  }
  // Delivers all data under way between the sockets of this thread; no time passes on the clock.
  void deliver_pending() {
    io.restart();
    if (io.poll() == 0) {
      return;  // over loopback sent data is readable at once
    }
    do {
      io.restart();
    } while (io.poll() > 0 || io.run_one_for(1ms) > 0);
  }
  // Advances the clock by a minute at most.
  template <class Predicate>
  bool advance_until(Predicate predicate) {
    const TimePoint limit = clock->now() + 60s;
    for (deliver_pending(); !predicate() && clock->now() < limit; deliver_pending()) {
      clock->advance(limit);
    }
    return predicate();
  }
  // The time at which the gateway knows the second host.
  TimePoint second_host_listed() {
    advance_until([&] { return gateway->hosts() >= 2; });
    return clock->now();
  }
  void TearDown() override { gateway.reset(); }

  std::shared_ptr<ManualClock> clock;
};

long long ms(ManualClock::TimePoint::duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// The seed determines the jitter of the backoff after a failed call; the setting is the longest
// interval between two polls.
struct Variant {
  const char* seed;
  std::int64_t max_poll_interval;
  friend std::ostream& operator<<(std::ostream& out, const Variant& variant) {
    return out << variant.seed << " " << variant.max_poll_interval;
  }
};
class DiscoveryDeadline : public DiscoveryPathsTest, public ::testing::WithParamInterface<Variant> {
 protected:
  void begin(Server& server) {
    DiscoveryPathsTest::begin(server, GetParam().seed, GetParam().max_poll_interval);
  }
  // The first calls are lost; discovery can be reached from just after the last of them.
  void expect_update_after_lost_calls(std::size_t lost,
                                      const std::function<Reaction(std::size_t)>& reaction) {
    Server server(*this, [&](std::size_t n) { return n < lost ? reaction(n) : Reaction::answers; });
    begin(server);
    const TimePoint listed = second_host_listed();
    ASSERT_GT(server.calls.size(), lost);
    EXPECT_LE(ms(listed - server.calls[lost - 1]), ms(kUpdateDeadline)) << lost << " calls lost";
    gateway.reset();
  }
};

TEST_P(DiscoveryDeadline, UpdatesAfterUnansweredFirstCalls) {
  for (std::size_t lost = 1; lost <= 6; ++lost) {
    expect_update_after_lost_calls(lost, [](std::size_t) { return Reaction::is_silent; });
  }
}

TEST_P(DiscoveryDeadline, UpdatesAfterRefusedOrClosedFirstCalls) {
  for (std::size_t lost = 1; lost <= 6; ++lost) {
    for (const Reaction reaction : {Reaction::refuses, Reaction::ends}) {
      expect_update_after_lost_calls(lost, [&](std::size_t) { return reaction; });
    }
  }
}

TEST_P(DiscoveryDeadline, UpdatesAfterAlternatingSilenceAndRefusals) {
  for (std::size_t lost = 2; lost <= 6; ++lost) {
    for (const std::size_t odd : {0u, 1u}) {
      expect_update_after_lost_calls(lost, [&](std::size_t n) {
        return n % 2 == odd ? Reaction::is_silent : Reaction::refuses;
      });
    }
  }
}

// The change is made while a long poll is open that is never answered.
TEST_P(DiscoveryDeadline, UpdatesAfterUnansweredLongPoll) {
  Server server(*this,
                [](std::size_t n) { return n == 1 ? Reaction::is_silent : Reaction::answers; });
  server.changed = false;
  begin(server);
  ASSERT_TRUE(advance_until([&] { return server.calls.size() == 2; }));
  server.changed = true;
  const TimePoint silent = server.calls[1];
  EXPECT_LE(ms(second_host_listed() - silent), ms(kSilentWatchDeadline + kDrainAllowance));
}

// The long poll ends with an error or without a response although there is a change.
TEST_P(DiscoveryDeadline, UpdatesAfterFailedLongPoll) {
  for (const Reaction reaction : {Reaction::refuses, Reaction::ends}) {
    Server server(*this, [&](std::size_t n) { return n == 1 ? reaction : Reaction::answers; });
    server.changed = false;
    begin(server);
    ASSERT_TRUE(advance_until([&] { return server.calls.size() == 2; }));
    server.changed = true;
    const TimePoint ended = server.calls[1];
    EXPECT_LE(ms(second_host_listed() - ended), ms(kUpdateDeadline));
    gateway.reset();
  }
}

// After a reload the first call to the new server is not answered, refused, or closed.
TEST_P(DiscoveryDeadline, UpdatesAfterFailedFirstCallOnReload) {
  for (const Reaction reaction : {Reaction::is_silent, Reaction::refuses, Reaction::ends}) {
    Server old(*this, [](std::size_t) { return Reaction::answers; });
    old.changed = false;
    Server moved(*this, [&](std::size_t n) { return n == 0 ? reaction : Reaction::answers; });
    begin(old);
    ASSERT_TRUE(advance_until([&] { return old.calls.size() == 2; }));
    config["discovery"] = text_of(moved.peer.endpoint);
    const TimePoint reloaded = clock->now();
    gateway->reload(config::parse_config(config, [](const char*) { return nullptr; }));
    EXPECT_LE(ms(second_host_listed() - reloaded), ms(kReloadDeadline + kDrainAllowance));
    gateway.reset();
  }
}

std::vector<Variant> variants() {
  std::vector<Variant> all;
  for (const std::int64_t seconds : {0, 1, 3, 10, 60}) {
    for (const char* seed : {"1", "2f", "8c1f30d27a5be964", "55aa", "deadbeef", "777"}) {
      all.push_back({seed, seconds * 1'000'000'000});
    }
  }
  return all;
}

INSTANTIATE_TEST_SUITE_P(Paths, DiscoveryDeadline, ::testing::ValuesIn(variants()),
                         [](const auto& info) {
                           return std::string(info.param.seed) + "_" +
                                  std::to_string(info.param.max_poll_interval / 1'000'000'000) +
                                  "s";
                         });

}  // namespace
}  // namespace gateway::testing
