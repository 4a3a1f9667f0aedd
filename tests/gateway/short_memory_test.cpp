// Responses and uploads while memory is too short to buffer them, on real loopback sockets.
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
    host = std::make_unique<RawHost>(io);
    discovery.list.push_back(target("s-raw", host->endpoint));
    start();
  }
  std::shared_ptr<RawConnection> request_at_host() {
    EXPECT_TRUE(until(
        [&] { return !host->connections.empty() && host->connections.front()->has("\r\n\r\n"); }));
    return host->connections.front();
  }
  std::shared_ptr<RawConnection> raw_client() {
    return RawConnection::connect(io, gateway->local_endpoint());
  }
  static std::string head_of_length(std::size_t bytes) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
  }

  std::unique_ptr<RawHost> host;
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
  run_loop_for(milliseconds(300));
  EXPECT_TRUE(c->received.empty());
  upstream->send(body.substr(kBodyBytes / 2));
  ASSERT_TRUE(until([&] { return c->body_size() == kBodyBytes; }));
  EXPECT_TRUE(c->body() == body);
  run_loop_for(milliseconds(200));  // the connection to the host may be used again
  c->send(request_text("write"));
  ASSERT_TRUE(until([&] { return requests_on(*upstream) == 2; }));
  upstream->send(response_text(200, "", "next"));
  ASSERT_TRUE(until([&] { return c->has("next"); }));
  EXPECT_EQ(host->connections.size(), 1u);
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
    return host->connections.size() == 2 && requests_on(*host->connections.back()) == 1;
  }));
  host->connections.back()->send(response_text(200, "", "second"));
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
  run_loop_for(milliseconds(200));
  upstream->send("def");
  EXPECT_TRUE(until([&] { return c->has("abcdef"); }));
}

// Uploads to hosts that read nothing, beside another one that holds half of the memory.
class PausedUploadTest : public ShortMemoryTest {
 protected:
  using Clock = std::chrono::steady_clock;

  static constexpr int kUploadMemoryMb = 4;  // 1 MiB of it is for peers
  static constexpr std::size_t kOtherBytes = 900'000;
  static constexpr milliseconds kDeadline{600};
  static constexpr milliseconds kSlack{500};  // in which a response may follow the deadline

  std::shared_ptr<RawConnection> other;

  void start_beside_other_upload() {
    config["limits"]["memory_mb"] = kUploadMemoryMb;
    host = std::make_unique<RawHost>(io);
    discovery.list.push_back(target("s-raw", host->endpoint));
    start();
    other = upload_to_stopped_host(kOtherBytes, kOtherBytes - 1, milliseconds(15'000));
  }
  // Sends this part of a body, and waits until the host has the head and reads no further.
  std::shared_ptr<RawConnection> upload_to_stopped_host(std::size_t length, std::size_t sent,
                                                        milliseconds deadline) {
    const std::size_t count = host->connections.size() + 1;
    auto c = raw_client();
    c->send("POST /write HTTP/1.1\r\nHost: x\r\nX-Class: write\r\nX-Request-Id: u" +
            std::to_string(count) + "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) +
            "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" +
            std::string(std::min(sent, kFirstPart), 'x'));
    EXPECT_TRUE(until([&] {
      return host->connections.size() == count && host->connections.back()->has("\r\n\r\n");
    }));
    host->connections.back()->paused = true;
    c->send(std::string(sent - std::min(sent, kFirstPart), 'x'));
    return c;
  }
  // From now until a response has come.
  milliseconds time_to_response(RawConnection& c) {
    const auto started_at = Clock::now();
    EXPECT_TRUE(until([&] { return c.has("\r\n\r\n"); }));
    return std::chrono::duration_cast<milliseconds>(Clock::now() - started_at);
  }

  static constexpr std::size_t kFirstPart = 70'000;  // more than is buffered
};

TEST_F(PausedUploadTest, UploadThatFitsAfterOthersLeftGetsResponseByDeadline) {
  start_beside_other_upload();
  auto c = upload_to_stopped_host(450'000, 450'000, kDeadline);
  run_loop_for(milliseconds(200));
  other->close();
  EXPECT_LE(time_to_response(*c), kDeadline + kSlack);
}

// Guards against an upload that is paused for memory and not rejected in time because memory is
// free at the moment of the check.
TEST_F(PausedUploadTest, UploadThatNeverFitsGetsResponseByDeadline) {
  start_beside_other_upload();
  auto c = upload_to_stopped_host(4'000'000, 4'000'000, kDeadline);
  run_loop_for(milliseconds(200));
  other->close();
  EXPECT_LE(time_to_response(*c), kDeadline + kSlack);
}

TEST_F(PausedUploadTest, UploadIsServedWhenOthersLeftAndItsHostReadsOn) {
  start_beside_other_upload();
  auto c = upload_to_stopped_host(800'000, 800'000, milliseconds(5000));
  run_loop_for(milliseconds(200));
  other->close();
  auto upstream = host->connections.back();
  upstream->resume();
  ASSERT_TRUE(until([&] { return upstream->body_size() == 800'000; }));
  upstream->send(response_text(200, "", "done"));
  EXPECT_TRUE(until([&] { return c->has("done"); }));
}

// An upload is not rejected while its last byte can't have been sent.
TEST_F(PausedUploadTest, SlowUploadIsNotRejectedBeforeItsEnd) {
  start_beside_other_upload();
  constexpr std::size_t kBytes = 600'000;
  constexpr std::size_t kPieceBytes = 2'000;
  constexpr std::size_t kSentAtOnce = 300'000;
  auto c = upload_to_stopped_host(kBytes, kSentAtOnce, kDeadline);
  std::size_t sent = kSentAtOnce;
  for (int i = 0; i < 20; ++i, sent += kPieceBytes) {
    run_loop_for(milliseconds(50));
    c->send(std::string(kPieceBytes, 'x'));
  }
  EXPECT_TRUE(c->received.empty()) << c->received;
  auto upstream = host->connections.back();
  upstream->resume();
  c->send(std::string(kBytes - sent, 'x'));
  ASSERT_TRUE(until([&] { return upstream->body_size() == kBytes || !c->received.empty(); }));
  upstream->send(response_text(200, "", "done"));
  EXPECT_TRUE(until([&] { return c->has("done"); }));
}

}  // namespace
}  // namespace gateway::testing
