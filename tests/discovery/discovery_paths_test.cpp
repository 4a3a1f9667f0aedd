// How long it takes until a change in discovery is in force in the gateway, on every path through
// the discovery client. Sockets are real, but all timers of the gateway and of the scripted
// discovery server run on a manual clock. Each response is sent 2.01 s late, as by a busy server,
// and each change is made at the moment from which it takes longest.
#include <algorithm>

#include "support/gateway_fixture.hpp"
#include "support/manual_clock.hpp"

namespace gateway::testing {
namespace {

using namespace std::chrono_literals;
using TimePoint = ManualClock::TimePoint;

/// How late a busy discovery server responds.
constexpr auto kResponseDelay = 2010ms;
/// Time within which a change must be in force after discovery has become reachable.
constexpr auto kUpdateDeadline = 6000ms;
/// The same, after a reload of the configuration (SIGHUP).
constexpr auto kReloadDeadline = 4000ms;
/// The same, after the start of a long poll of 20 s without a response: 2 s after the 20 s.
constexpr auto kUnansweredPollDeadline = 22000ms;
/// How long after such a deadline the gateway may still use an endpoint that drains.
constexpr auto kDrainAllowance = 500ms;

/// What the scripted discovery server does with a call.
enum class Reaction {
  responds,
  ignores,  // keeps the connection open without a response
  rejects,  // responds with status 503
  closes    // closes the connection without a response
};

class DiscoveryPathsTest : public GatewayFixture {
 protected:
  using Script = std::function<Reaction(std::size_t call)>;

  // A scripted discovery server. It lists a second host while `changed` is true.
  struct Server {
    Server(DiscoveryPathsTest& test, Script reactions)
        : script(std::move(reactions)), peer(test.io, [this, &test](PeerConnection& c) {
            calls.push_back(test.clock->now());
            const std::string path = c.request.target().to_string();
            const Reaction reaction = script(calls.size() - 1);
            if (reaction == Reaction::ignores) {
              return;
            }
            const bool is_long_poll = path.find("timeout_ms=20000") != std::string::npos;
            // A long poll gets a response once there is a change; an error comes without delay.
            if (is_long_poll && reaction == Reaction::responds && !changed) {
              return;
            }
            timers.push_back(test.clock->make_timer());
            const bool is_full = path.find("since=") == std::string::npos;
            timers.back()->wait_until(test.clock->now() + (is_long_poll ? 0ms : kResponseDelay),
                                      [this, &test, reaction, is_full, c = c.shared_from_this()] {
                                        reply(test, *c, reaction, is_full);
                                      });
          }) {}
    void reply(DiscoveryPathsTest& test, PeerConnection& c, Reaction reaction, bool is_full) {
      if (reaction == Reaction::closes) {
        return c.close();
      }
      if (reaction == Reaction::rejects) {
        return c.reply(response_text(503, "Connection: close\r\n", ""), true);
      }
      json hosts = json::array();
      if (is_full) {
        hosts.push_back(target("s-0", test.hosts[0]->endpoint));
      }
      if (changed) {
        hosts.push_back(target("s-1", test.hosts[1]->endpoint));
      }
      c.reply(response_text(
          200, "", json{{"rev", changed ? 9 : 1}, {"all", is_full}, {"targets", hosts}}.dump()));
    }
    Script script;
    bool changed = true;
    std::vector<TimePoint> calls;  // time of arrival of each call
    std::vector<std::unique_ptr<runtime::Timer>> timers;
    Peer peer;
  };

  void begin(Server& server, const char* seed, json max_poll_interval) {
    hosts.clear();
    discovery.list = json::array();
    clock = std::make_shared<ManualClock>();
    waits.clock = clock;
    add_host("a", always_reply(response_text(200, "", "0")));
    hosts.push_back(std::make_unique<Peer>(io, nullptr));  // the second host, not listed yet
    config = config_json();
    config["seed"] = seed;
    config["settings"]["rules"]["askWithinNs"] = std::move(max_poll_interval);
    discovery.peer.endpoint = server.peer.endpoint;
    start();
  }
  // Delivers all data in transit between the sockets of this thread, without advancing the clock.
  void deliver_pending() {
    io.restart();
    if (io.poll() == 0) {
      return;  // data sent over loopback is readable immediately
    }
    do {
      io.restart();
    } while (io.poll() > 0 || io.run_one_for(1ms) > 0);
  }
  // Advances the clock until the predicate is true, at most by 60 s. Returns the predicate's value.
  template <class Predicate>
  bool advance_until(Predicate predicate) {
    const TimePoint limit = clock->now() + 60s;
    for (deliver_pending(); !predicate() && clock->now() < limit; deliver_pending()) {
      clock->advance(limit);
    }
    return predicate();
  }
  // Advances the clock until the gateway knows the second host, and returns the time.
  TimePoint wait_for_second_host() {
    advance_until([&] { return gateway->hosts() >= 2; });
    return clock->now();
  }
  void TearDown() override { gateway.reset(); }

  std::shared_ptr<ManualClock> clock;
};

long long ms(ManualClock::TimePoint::duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

struct Variant {
  const char* seed;                // determines the jitter of the backoff after a failed call
  std::int64_t max_poll_interval;  // longest interval between two polls, in ns
  friend std::ostream& operator<<(std::ostream& out, const Variant& variant) {
    return out << variant.seed << " " << variant.max_poll_interval;
  }
};
class DiscoveryDeadline : public DiscoveryPathsTest, public ::testing::WithParamInterface<Variant> {
 protected:
  void begin(Server& server) {
    DiscoveryPathsTest::begin(server, GetParam().seed, GetParam().max_poll_interval);
  }
  // The first `lost` calls fail with the given reaction; discovery is reachable from immediately
  // after the last of them.
  void expect_update_after_lost_calls(std::size_t lost,
                                      const std::function<Reaction(std::size_t)>& reaction) {
    Server server(*this,
                  [&](std::size_t n) { return n < lost ? reaction(n) : Reaction::responds; });
    begin(server);
    const TimePoint known = wait_for_second_host();
    ASSERT_GT(server.calls.size(), lost);
    EXPECT_LE(ms(known - server.calls[lost - 1]), ms(kUpdateDeadline)) << lost << " calls lost";
    gateway.reset();
  }
};

// Timeouts, backoff and the response's delay add up; together they must not exceed the deadline,
// whatever the number of lost calls.
TEST_P(DiscoveryDeadline, UpdatesAfterUnansweredFirstCalls) {
  for (std::size_t lost = 1; lost <= 6; ++lost) {
    expect_update_after_lost_calls(lost, [](std::size_t) { return Reaction::ignores; });
  }
}

TEST_P(DiscoveryDeadline, UpdatesAfterRejectedOrClosedFirstCalls) {
  for (std::size_t lost = 1; lost <= 6; ++lost) {
    for (const Reaction reaction : {Reaction::rejects, Reaction::closes}) {
      expect_update_after_lost_calls(lost, [&](std::size_t) { return reaction; });
    }
  }
}

TEST_P(DiscoveryDeadline, UpdatesAfterAlternatelyIgnoredAndRejectedCalls) {
  for (std::size_t lost = 2; lost <= 6; ++lost) {
    for (const std::size_t ignored_parity : {0u, 1u}) {
      expect_update_after_lost_calls(lost, [&](std::size_t n) {
        return n % 2 == ignored_parity ? Reaction::ignores : Reaction::rejects;
      });
    }
  }
}

// The change is made while a long poll is open that gets no response. Without a timeout for the
// long poll the gateway would wait for it forever.
TEST_P(DiscoveryDeadline, UpdatesAfterUnansweredLongPoll) {
  Server server(*this,
                [](std::size_t n) { return n == 1 ? Reaction::ignores : Reaction::responds; });
  server.changed = false;
  begin(server);
  ASSERT_TRUE(advance_until([&] { return server.calls.size() == 2; }));
  server.changed = true;
  const TimePoint poll_started = server.calls[1];
  EXPECT_LE(ms(wait_for_second_host() - poll_started),
            ms(kUnansweredPollDeadline + kDrainAllowance));
}

// The long poll ends with an error, or is closed without a response, although there is a change.
TEST_P(DiscoveryDeadline, UpdatesAfterFailedLongPoll) {
  for (const Reaction reaction : {Reaction::rejects, Reaction::closes}) {
    Server server(*this, [&](std::size_t n) { return n == 1 ? reaction : Reaction::responds; });
    server.changed = false;
    begin(server);
    ASSERT_TRUE(advance_until([&] { return server.calls.size() == 2; }));
    server.changed = true;
    const TimePoint poll_failed = server.calls[1];
    EXPECT_LE(ms(wait_for_second_host() - poll_failed), ms(kUpdateDeadline));
    gateway.reset();
  }
}

// After a reload the new server ignores, rejects or closes the first call. The backoff of the load
// balancer before the second call would exceed the deadline.
TEST_P(DiscoveryDeadline, UpdatesAfterFailedFirstCallOnReload) {
  for (const Reaction reaction : {Reaction::ignores, Reaction::rejects, Reaction::closes}) {
    Server old_server(*this, [](std::size_t) { return Reaction::responds; });
    old_server.changed = false;
    Server new_server(*this, [&](std::size_t n) { return n == 0 ? reaction : Reaction::responds; });
    begin(old_server);
    ASSERT_TRUE(advance_until([&] { return old_server.calls.size() == 2; }));
    config["discovery"] = text_of(new_server.peer.endpoint);
    const TimePoint reloaded_at = clock->now();
    gateway->reload(config::parse_config(config, [](const char*) { return nullptr; }));
    EXPECT_LE(ms(wait_for_second_host() - reloaded_at), ms(kReloadDeadline + kDrainAllowance));
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
