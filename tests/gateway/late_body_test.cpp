// Responses whose body begins some time after their head, on real loopback sockets.
#include <algorithm>
#include <ostream>
#include <sstream>
#include <string>

#include "support/gateway_fixture.hpp"
#include "support/raw_peers.hpp"

namespace gateway::testing {
namespace {

using std::chrono::milliseconds;

enum class Framing { chunked, end_of_connection, http_1_0 };

struct LateBodyCase {
  const char* name;
  Framing framing;
  int deadline_ms;    // of the request
  int head_after_ms;  // of the request
  int body_after_ms;  // of the head
  std::size_t piece_bytes;
  int pieces;
  int piece_interval_ms;
  const char* request_class = "write";
};

std::ostream& operator<<(std::ostream& out, const LateBodyCase& late_body) {
  return out << late_body.name;
}

std::string head_of_response(Framing framing) {
  switch (framing) {
    case Framing::chunked:
      return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    case Framing::end_of_connection:
      return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    case Framing::http_1_0:
      return "HTTP/1.0 200 OK\r\n\r\n";
  }
  return {};
}

std::string chunk_of(const std::string& bytes) {
  std::ostringstream size;
  size << std::hex << bytes.size();
  return size.str() + "\r\n" + bytes + "\r\n";
}

class ResponseBodyTest : public GatewayFixture {
 protected:
  using Clock = std::chrono::steady_clock;

  // The connection that has carried this many requests.
  std::shared_ptr<RawConnection> request_at_host(RawHost& host, std::size_t count) {
    EXPECT_TRUE(until([&] {
      return host.connections.size() == count && host.connections.back()->has("\r\n\r\n");
    }));
    return host.connections.back();
  }
};

class LateBodyTest : public ResponseBodyTest, public ::testing::WithParamInterface<LateBodyCase> {
 protected:
  // The first bytes of a body are written at the latest so long before the client's deadline. The
  // gateway keeps a part of that time for itself.
  static constexpr milliseconds kLatestBegin{40};
  // On a busy machine the first bytes may come too late for what is tested.
  static constexpr std::size_t kMaxTries = 10;

  struct WrittenResponse {
    std::string body;
    Clock::time_point began_at;  // its first bytes were written
  };
  WrittenResponse write_response(RawConnection& connection) {
    const LateBodyCase& late_body = GetParam();
    const bool is_chunked = late_body.framing == Framing::chunked;
    run_loop_for(milliseconds(late_body.head_after_ms));
    connection.send(head_of_response(late_body.framing));
    run_loop_for(milliseconds(late_body.body_after_ms));
    WrittenResponse written;
    for (int i = 0; i < late_body.pieces; ++i) {
      const std::string piece = pattern(late_body.piece_bytes);
      written.body += piece;
      connection.send(is_chunked ? chunk_of(piece) : piece);
      run_loop_for(milliseconds(late_body.piece_interval_ms));
      if (i == 0) {
        written.began_at = Clock::now() - milliseconds(late_body.piece_interval_ms);
      }
    }
    if (is_chunked) {
      connection.send("0\r\n\r\n");
    } else {
      connection.shut_down_sending();
    }
    return written;
  }
};

// Guards against a response of unknown length whose body begins late and that is then held back:
// it was cut off at the request's deadline, although its first bytes had come before.
TEST_P(LateBodyTest, ResponseThatBeganInTimeIsNotCutOff) {
  const LateBodyCase& late_body = GetParam();
  const milliseconds deadline(late_body.deadline_ms);
  RawHost host(io);
  discovery.list.push_back(target("s-raw", host.endpoint));
  start();
  for (std::size_t attempt = 1; attempt <= kMaxTries; ++attempt) {
    auto c = client();
    const auto sent_at = Clock::now();
    c->send(request_text(late_body.request_class,
                         "X-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n"));
    auto upstream = request_at_host(host, attempt);
    const WrittenResponse written = write_response(*upstream);
    upstream->close();
    ASSERT_TRUE(until([&] { return !c->responses.empty() || c->closed_by_peer; }));
    if (written.began_at > sent_at + deadline - kLatestBegin) {
      continue;
    }
    ASSERT_FALSE(c->responses.empty()) << "the response was cut off";
    EXPECT_EQ(c->responses.front().result_int(), 200u);
    EXPECT_TRUE(c->responses.front().body() == written.body);
    return;
  }
  FAIL() << "the first bytes were never written in time";
}

INSTANTIATE_TEST_SUITE_P(
    Bodies, LateBodyTest,
    ::testing::Values(
        LateBodyCase{"over_64_kib", Framing::chunked, 600, 30, 200, 3200, 30, 25},
        LateBodyCase{"short_body", Framing::chunked, 600, 0, 200, 20, 10, 60},
        LateBodyCase{"long_pieces", Framing::chunked, 600, 0, 200, 40'000, 10, 60},
        LateBodyCase{"end_of_connection", Framing::end_of_connection, 600, 0, 200, 3200, 30, 25},
        LateBodyCase{"http_1_0", Framing::http_1_0, 600, 0, 200, 3200, 30, 25},
        LateBodyCase{"long_deadline", Framing::chunked, 1500, 0, 1200, 3200, 30, 25},
        LateBodyCase{"body_soon_after_late_head", Framing::chunked, 600, 490, 10, 3200, 30, 25},
        LateBodyCase{"body_at_once_after_late_head", Framing::chunked, 600, 500, 0, 3200, 30, 25},
        LateBodyCase{"short_deadline", Framing::chunked, 150, 40, 50, 3200, 30, 25},
        LateBodyCase{"safe_class", Framing::chunked, 600, 0, 200, 3200, 30, 25, "read"},
        LateBodyCase{"keyed_class", Framing::chunked, 600, 0, 200, 3200, 30, 25, "put"}),
    [](const auto& info) { return std::string(info.param.name); });

struct EndedBodyCase {
  const char* name;
  const char* response;
  const char* logged;
};

std::ostream& operator<<(std::ostream& out, const EndedBodyCase& ended_body) {
  return out << ended_body.name;
}

class EndedBodyTest : public ResponseBodyTest,
                      public ::testing::WithParamInterface<EndedBodyCase> {};

// A response ends with the request's time if its body never begins, and if it is short enough that
// its last bytes are due by then. The log tells these apart.
TEST_P(EndedBodyTest, EndsAtDeadlineWithItsProgressInTheLog) {
  RawHost host(io);
  discovery.list.push_back(target("s-raw", host.endpoint));
  start();
  auto c = client();
  c->send(request_text("write", "X-Deadline-Ms: 400\r\n"));
  request_at_host(host, 1)->send(GetParam().response);
  ASSERT_TRUE(until([&] { return !c->responses.empty(); }));
  EXPECT_EQ(c->responses.front().result_int(), 502u);
  const auto is_expected = [](const std::string& line) {
    return line.starts_with("attempt_failed reason=timeout ") &&
           line.find(GetParam().logged) != std::string::npos;
  };
  EXPECT_TRUE(std::any_of(log_lines.begin(), log_lines.end(), is_expected));
}

INSTANTIATE_TEST_SUITE_P(
    Bodies, EndedBodyTest,
    ::testing::Values(EndedBodyCase{"no_response", "", "response_head=0 body_bytes=0"},
                      EndedBodyCase{"no_body",
                                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                                    "response_head=1 body_bytes=0"},
                      EndedBodyCase{"known_length",
                                    "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\nabc",
                                    "response_head=1 body_bytes=3"}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace gateway::testing
