// Responses while memory is too short to buffer them, on real loopback sockets.
#include <string>

#include "support/gateway_fixture.hpp"
#include "support/raw_peers.hpp"

namespace gateway::testing {
namespace {

using std::chrono::milliseconds;

class ShortMemoryTest : public GatewayFixture {
 protected:
  // The least that the configuration takes: below a quarter of it lies no response of this length.
  static constexpr int kMemoryMb = 1;
  static constexpr std::size_t kBodyBytes = 60'000;

  void start_with_short_memory() {
    config["limits"]["memory_mb"] = kMemoryMb;
    host_ = std::make_unique<RawHost>(io);
    discovery.list.push_back(target("s-raw", host_->endpoint));
    start();
  }
  std::shared_ptr<RawConnection> request_at_host() {
    EXPECT_TRUE(until([&] {
      return !host_->connections.empty() && host_->connections.front()->has("\r\n\r\n");
    }));
    return host_->connections.front();
  }
  std::shared_ptr<RawConnection> raw_client() {
    return RawConnection::connect(io, gateway->local_endpoint());
  }
  void pass(milliseconds time) {
    bool is_over = false;
    asio::steady_timer timer(io, time);
    timer.async_wait([&](error_code) { is_over = true; });
    EXPECT_TRUE(until([&] { return is_over; }));
  }
  static std::string head_of_length(std::size_t bytes) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
  }

  std::unique_ptr<RawHost> host_;
};

// Guards against a response without memory that is passed on in parts, and then fails or comes too
// late, and against a connection that keeps waiting for as many bytes at its next response.
TEST_F(ShortMemoryTest, ResponseIsPassedOnOnceItHasArrivedWhole) {
  start_with_short_memory();
  const std::string body = pattern(kBodyBytes);
  auto c = raw_client();
  c->send(request_text("write"));
  auto upstream = request_at_host();
  upstream->send(head_of_length(kBodyBytes) + body.substr(0, kBodyBytes / 2));
  pass(milliseconds(300));
  EXPECT_TRUE(c->received.empty());
  upstream->send(body.substr(kBodyBytes / 2));
  ASSERT_TRUE(until([&] { return c->body_size() == kBodyBytes; }));
  EXPECT_TRUE(c->body() == body);
  pass(milliseconds(200));  // the connection to the host may be used again
  c->send(request_text("write"));
  ASSERT_TRUE(until([&] { return requests_on(*upstream) == 2; }));
  upstream->send(response_text(200, "", "next"));
  ASSERT_TRUE(until([&] { return c->has("next"); }));
  EXPECT_EQ(host_->connections.size(), 1u);
}

TEST_F(ShortMemoryTest, ResponseThatIsNotWholeAtDeadlineFails) {
  start_with_short_memory();
  auto c = client();
  c->send(request_text("write", "X-Deadline-Ms: 400\r\n"));
  request_at_host()->send(head_of_length(kBodyBytes) + pattern(kBodyBytes / 2));
  ASSERT_TRUE(until([&] { return !c->responses.empty(); }));
  EXPECT_EQ(c->responses.front().result_int(), 502u);
}

TEST_F(ShortMemoryTest, ResponseThatHostBreaksOffFails) {
  start_with_short_memory();
  auto c = client();
  c->send(request_text("write"));
  auto upstream = request_at_host();
  upstream->send(head_of_length(kBodyBytes) + pattern(kBodyBytes / 2));
  upstream->shut_down_sending();
  ASSERT_TRUE(until([&] { return !c->responses.empty(); }));
  EXPECT_EQ(c->responses.front().result_int(), 502u);
}

TEST_F(ShortMemoryTest, SafeRequestWhoseHostBreaksOffIsRetried) {
  start_with_short_memory();
  auto c = client();
  c->send(request_text("read"));
  auto upstream = request_at_host();
  upstream->send(head_of_length(kBodyBytes) + pattern(kBodyBytes / 2));
  upstream->shut_down_sending();
  ASSERT_TRUE(until([&] {
    return host_->connections.size() == 2 && requests_on(*host_->connections.back()) == 1;
  }));
  host_->connections.back()->send(response_text(200, "", "second"));
  ASSERT_TRUE(until([&] { return !c->responses.empty(); }));
  EXPECT_EQ(c->responses.front().body(), "second");
}

TEST_F(ShortMemoryTest, ResponseOfUnknownLengthIsPassedOnAtOnce) {
  start_with_short_memory();
  auto c = raw_client();
  c->send(request_text("write"));
  auto upstream = request_at_host();
  upstream->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  ASSERT_TRUE(until([&] { return c->has("abc"); }));
  upstream->send("2\r\nde\r\n0\r\n\r\n");
  EXPECT_TRUE(until([&] { return c->has("0\r\n\r\n"); }));
}

TEST_F(ShortMemoryTest, SmallResponseIsBuffered) {
  start_with_short_memory();
  auto c = raw_client();
  c->send(request_text("write"));
  auto upstream = request_at_host();
  upstream->send(head_of_length(6) + "abc");
  pass(milliseconds(200));
  upstream->send("def");
  EXPECT_TRUE(until([&] { return c->has("abcdef"); }));
}

}  // namespace
}  // namespace gateway::testing
