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
  // What is due by then has run, also if the machine was busy at that moment.
  void run_until_after_stop(std::chrono::milliseconds time) {
    ASSERT_TRUE(until([&] { return Clock::now() >= stopped_at + time; }));
    io.restart();
    io.run_for(10ms);
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
  run_until_after_stop(kTakeNoRequestsAtStop - 100ms);
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
  const auto due = clock->now() + kTakeNoRequestsAtDrain;
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
  EXPECT_GE(Clock::now() - drained_at, kTakeNoRequestsAtDrain);
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

// Long responses that are passed on while the process stops or is drained.
class ResponseDuringShutdownTest : public ShutdownTest {
 protected:
  static constexpr std::size_t kBody = 200'000;
  std::unique_ptr<RawHost> host;
  std::shared_ptr<RawConnection> reader;
  std::shared_ptr<RawConnection> stream;  // to the host

  // A client that has the head of its response, which says that the connection is kept.
  void begin_response() {
    host = std::make_unique<RawHost>(io);
    discovery.list = {target("s-raw", host->endpoint)};
    start();
    reader = RawConnection::connect(io, gateway->local_endpoint());
    reader->send(request_text("read"));
    ASSERT_TRUE(until(
        [&] { return host->connections.size() == 1 && host->connections[0]->has("\r\n\r\n"); }));
    stream = host->connections[0];
    stream->send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBody) + "\r\n\r\n" +
                 pattern(1000));
    ASSERT_TRUE(until([&] { return reader->body_size() == 1000; }));
    ASSERT_FALSE(reader->has("Connection: close"));
  }
  void end_response() {
    stream->send(pattern(kBody).substr(1000));
    ASSERT_TRUE(until([&] { return reader->body_size() >= kBody; }));
  }
  // Requests that have arrived at the host.
  std::size_t forwarded() const {
    std::size_t count = 0;
    for (const auto& connection : host->connections) {
      count += requests_on(*connection);
    }
    return count;
  }
};

// review/3: the connection of a long response was kept after SIGTERM, and the answer to its next
// request was cut off by SIGKILL.
TEST_F(ResponseDuringShutdownTest, ConnectionCarriesNoFurtherRequestOnceNothingIsTaken) {
  for (const bool is_drain : {false, true}) {
    SCOPED_TRACE(is_drain ? "drain" : "stop");
    begin_response();
    stopped_at = Clock::now();
    if (is_drain) {
      gateway->set_drained(true);
    } else {
      gateway->stop([this] { done = true; });
    }
    run_until_after_stop((is_drain ? kTakeNoRequestsAtDrain : kTakeNoRequestsAtStop) + 50ms);
    end_response();
    reader->send(request_text("read"));  // the gateway's event loop has not run since
    ASSERT_TRUE(until([&] { return reader->closed || forwarded() > 1; }));
    EXPECT_EQ(forwarded(), 1u);
    const std::string rest = reader->body().substr(kBody);
    EXPECT_TRUE(rest.empty() || rest.find("HTTP/1.1 503") == 0)
        << "the request either crosses the close or is rejected: " << rest;
    gateway.reset();
    discovery.pending_watches.clear();
    config.erase("known");
  }
}

// The same with the next request sent ahead: it was read, so it needs an answer.
TEST_F(ResponseDuringShutdownTest, RequestSentAheadIsRejectedOnceNothingIsTaken) {
  begin_response();
  stop();
  reader->send(request_text("read"));
  run_until_after_stop(kTakeNoRequestsAtStop + 50ms);
  end_response();
  ASSERT_TRUE(until([&] { return reader->closed || forwarded() > 1; }));
  EXPECT_EQ(forwarded(), 1u);
  EXPECT_TRUE(reader->has("HTTP/1.1 503")) << "it was not executed";
}

// The same with a connection that was idle for a short time when the time came.
TEST_F(ResponseDuringShutdownTest, IdleConnectionIsClosedOnceNothingIsTaken) {
  begin_response();
  stop();
  run_until_after_stop(kTakeNoRequestsAtStop - 200ms);
  end_response();
  run_until_after_stop(kTakeNoRequestsAtStop + 50ms);
  EXPECT_TRUE(reader->closed);
  reader->send(request_text("read"));
  ASSERT_TRUE(until([&] { return done || forwarded() > 1; }));
  EXPECT_EQ(forwarded(), 1u);
}

// Until then the connection is kept, and its next request is served.
TEST_F(ResponseDuringShutdownTest, ConnectionIsKeptUntilNothingIsTaken) {
  begin_response();
  stop();
  end_response();
  reader->send(request_text("read"));
  ASSERT_TRUE(until([&] { return forwarded() == 2; }));
  host->connections.back()->send(response_text(200, "", "second"));
  ASSERT_TRUE(until([&] { return reader->closed; }));
  EXPECT_TRUE(reader->has("second"));
  EXPECT_TRUE(reader->has("Connection: close"));
}

}  // namespace
}  // namespace gateway::testing
