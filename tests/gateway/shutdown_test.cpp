// The end of a process and the drain of one, on real loopback sockets: which requests are still
// taken, and that each of them has its response before the platform kills the process.
#include "support/gateway_fixture.hpp"
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

}  // namespace
}  // namespace gateway::testing
