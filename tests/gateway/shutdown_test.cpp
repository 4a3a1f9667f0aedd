// The end of a process and the drain of one, on real loopback sockets: which requests are still
// taken, and that each of them has its response before the platform kills the process.
#include "support/gateway_fixture.hpp"
#include "support/manual_clock.hpp"
#include "support/raw_peers.hpp"

namespace gateway::testing {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

// The client timeout of all classes here. The platform kills a process this long and 0.7 s after
// the start of its shutdown.
constexpr auto kClientTimeout = 1s;
constexpr auto kKillDelay = kClientTimeout + 700ms;

class ShutdownTest : public GatewayFixture {
 protected:
  bool done = false;
  Clock::time_point stopped_at;

  void SetUp() override {
    for (std::size_t i = 0; i < config["settings"]["grades"].size(); ++i) {
      shorten_class_times(i);
      // An attempt may last until the client's deadline.
      config["settings"]["grades"][i]["lateShare"] = 0.25;
    }
  }
  void stop() {
    stopped_at = Clock::now();
    gateway->stop([this] { done = true; });
  }
  void run_until_after_stop(std::chrono::milliseconds time) {
    ASSERT_TRUE(until([&] { return Clock::now() >= stopped_at + time; }));
  }
  // A host that reads requests and never responds.
  void add_hanging_host() {
    add_host("a", [](PeerConnection&, std::size_t) {});
  }
};

// review/2: requests that wait for hanging hosts got no response before SIGKILL.
TEST_F(ShutdownTest, RequestsAtHangingHostEndBeforeTheKill) {
  add_hanging_host();
  start();
  auto before = client();
  auto after = client();
  before->send(request_text("write", "X-Deadline-Ms: 20000\r\n"));
  ASSERT_TRUE(until([&] { return attempted_hosts.size() == 1; }));
  stop();
  run_until_after_stop(100ms);
  after->send(request_text("write", "X-Deadline-Ms: 20000\r\n"));
  ASSERT_TRUE(until([&] { return attempted_hosts.size() == 2; }));
  ASSERT_TRUE(until([&] { return before->closed_by_peer && after->closed_by_peer; }));
  EXPECT_LT(Clock::now() - stopped_at, kKillDelay);
  for (const auto& c : {before, after}) {
    ASSERT_EQ(c->responses.size(), 1u);
    EXPECT_EQ(c->responses[0].result_int(), 502u) << "it may have run";
  }
}

// The same for an upload, whose time starts at its last byte, after the start of the shutdown.
TEST_F(ShutdownTest, UploadToHangingHostEndsBeforeTheKill) {
  add_hanging_host();
  start();
  auto c = client();
  const std::string body = pattern(100'000);
  const std::string text = request_text("write", "X-Deadline-Ms: 20000\r\n", body);
  c->send(text.substr(0, text.size() - 1000));
  ASSERT_TRUE(until([&] { return gateway->active_requests() == 1; }));
  stop();
  run_until_after_stop(300ms);
  c->send(text.substr(text.size() - 1000));
  ASSERT_TRUE(until([&] { return c->closed_by_peer; }));
  EXPECT_LT(Clock::now() - stopped_at, kKillDelay);
  EXPECT_EQ(attempted_hosts.size(), 1u);
  ASSERT_EQ(c->responses.size(), 1u);
  EXPECT_EQ(c->responses[0].result_int(), 502u) << "it may have run";
}

// review/2: uploads were read until SIGKILL, so their last bytes could come just before it.
TEST_F(ShutdownTest, IncompleteRequestsAreRejectedBeforeTheKill) {
  auto host = std::make_unique<RawHost>(io);
  discovery.list = {target("s-raw", host->endpoint)};
  start();
  const std::string streamed = request_text("write", "", pattern(100'000));
  const std::string buffered = request_text("write", "", pattern(1000));
  struct Case {
    const char* name;
    std::string sent;
    std::shared_ptr<Client> client;
  };
  std::vector<Case> cases = {{"streamed body", streamed.substr(0, 90'000), nullptr},
                             {"buffered body", buffered.substr(0, buffered.size() - 1), nullptr},
                             {"head", buffered.substr(0, 30), nullptr}};
  for (Case& incomplete : cases) {
    incomplete.client = client();
    incomplete.client->send(incomplete.sent);
  }
  ASSERT_TRUE(until(
      [&] { return host->connections.size() == 1 && host->connections[0]->body_size() > 80'000; }));
  stop();
  run_until_after_stop(kRejectIncompleteAtStop - 100ms);
  for (const Case& incomplete : cases) {
    EXPECT_TRUE(incomplete.client->responses.empty()) << incomplete.name;
  }
  ASSERT_TRUE(until([&] { return done; }));
  EXPECT_LT(Clock::now() - stopped_at, kKillDelay);
  for (const Case& incomplete : cases) {
    ASSERT_EQ(incomplete.client->responses.size(), 1u) << incomplete.name;
    EXPECT_EQ(incomplete.client->responses[0].result_int(), 503u) << incomplete.name;
  }
  EXPECT_TRUE(until([&] { return host->connections[0]->closed; }));
  EXPECT_LT(host->connections[0]->body_size(), 100'000u) << "the host never has the last byte";
}

// The last bytes have arrived when the time comes, and are not read yet: the request is taken.
TEST_F(ShutdownTest, RequestThatIsCompleteInTheSocketIsServed) {
  const auto clock = std::make_shared<ManualClock>();
  waits.clock = clock;
  RawHost host(io);
  discovery.list = {target("s-raw", host.endpoint)};
  start();
  constexpr std::size_t kBody = 100'000;
  constexpr std::size_t kLastBytes = 10;
  auto c = RawConnection::connect(io, gateway->local_endpoint());
  const std::string text = request_text("write", "", pattern(kBody));
  c->send(text.substr(0, text.size() - kLastBytes));
  ASSERT_TRUE(until([&] {
    return host.connections.size() == 1 && host.connections[0]->body_size() == kBody - kLastBytes;
  }));
  gateway->set_drained(true);
  c->send(text.substr(text.size() - kLastBytes));  // small enough to be written at once
  const auto due = clock->now() + kRejectIncompleteAtDrain;
  while (clock->now() < due) {
    clock->advance(due);  // the event loop does not run
  }
  ASSERT_TRUE(until([&] { return host.connections[0]->body_size() == kBody || c->closed; }));
  host.connections[0]->send(response_text(200, "", "served"));
  ASSERT_TRUE(until([&] { return c->closed; }));
  EXPECT_TRUE(c->has("served")) << c->received;
}

// review/2 with a drain: 4 s after its start, an upload may not have become a request of the last
// 2 s. The end of the drain ends this too.
TEST_F(ShutdownTest, DrainRejectsIncompleteRequestsUntilItEnds) {
  add_host("a", always_reply(response_text(200, "", "served")));
  start();
  const std::string text = request_text("write", "", pattern(100'000));
  auto during = client();
  during->send(text.substr(0, 90'000));
  ASSERT_TRUE(until([&] { return gateway->active_requests() == 1; }));
  const auto drained_at = Clock::now();
  gateway->set_drained(true);
  ASSERT_TRUE(until([&] { return during->closed_by_peer; }));
  EXPECT_GE(Clock::now() - drained_at, kRejectIncompleteAtDrain);
  EXPECT_LT(Clock::now() - drained_at, 4s);
  ASSERT_EQ(during->responses.size(), 1u);
  EXPECT_EQ(during->responses[0].result_int(), 503u);
  gateway->set_drained(false);
  auto afterwards = client();
  const std::string next = request_text("write", "", pattern(100'000));
  afterwards->send(next.substr(0, 90'000));
  io.restart();
  io.run_for(300ms);  // longer than the interval of the checks
  afterwards->send(next.substr(90'000));
  ASSERT_TRUE(until([&] { return !afterwards->responses.empty(); }));
  EXPECT_EQ(afterwards->responses[0].body(), "served");
}

// The end of a drain while the process stops does not let uploads go on until SIGKILL.
TEST_F(ShutdownTest, EndOfDrainDoesNotKeepIncompleteRequestsAtStop) {
  add_host("a", always_reply(response_text(200, "", "served")));
  start();
  auto c = client();
  c->send(request_text("write", "", pattern(100'000)).substr(0, 90'000));
  ASSERT_TRUE(until([&] { return gateway->active_requests() == 1; }));
  gateway->set_drained(true);
  stop();
  gateway->set_drained(false);
  ASSERT_TRUE(until([&] { return done; }));
  EXPECT_LT(Clock::now() - stopped_at, kKillDelay);
  ASSERT_EQ(c->responses.size(), 1u);
  EXPECT_EQ(c->responses[0].result_int(), 503u);
}

}  // namespace
}  // namespace gateway::testing
