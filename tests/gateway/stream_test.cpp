// Bodies and answers of any size and pace, and all forms of framing, on real loopback sockets.
#include "http/body_stream.hpp"
#include "support/gateway_fixture.hpp"

namespace gateway::testing {
namespace {

// One end of a connection that exposes the raw bytes and reads only while reading is enabled.
class Raw : public std::enable_shared_from_this<Raw> {
 public:
  explicit Raw(tcp::socket socket) : socket_(std::move(socket)) {}
  static std::shared_ptr<Raw> connect(asio::io_context& io, const tcp::endpoint& to) {
    tcp::socket socket(io);
    socket.connect(to);
    auto raw = std::make_shared<Raw>(std::move(socket));
    raw->read();
    return raw;
  }
  void send(const std::string& text) {
    auto buffer = std::make_shared<std::string>(text);
    pending += text.size();
    asio::async_write(
        socket_, asio::buffer(*buffer),
        [self = shared_from_this(), buffer](error_code, std::size_t n) { self->pending -= n; });
  }
  void read() {
    socket_.async_read_some(asio::buffer(piece_),
                            [self = shared_from_this()](error_code ec, std::size_t n) {
                              self->received.append(self->piece_.data(), n);
                              if (ec) {
                                self->closed = true;
                              } else if (!self->paused) {
                                self->read();
                              } else {
                                self->stopped = true;
                              }
                            });
  }
  void resume() {
    paused = false;
    if (std::exchange(stopped, false)) {
      read();
    }
  }
  void close() { socket_.close(); }
  std::string body() const {
    return received.substr(std::min(received.find("\r\n\r\n") + 4, received.size()));
  }
  std::size_t body_size() const {
    if (!head_size_) {
      const std::size_t end = received.find("\r\n\r\n");
      if (end == std::string::npos) {
        return 0;
      }
      head_size_ = end + 4;
    }
    return received.size() - head_size_;
  }
  bool has(const std::string& text) const { return received.find(text) != std::string::npos; }

  std::string received;
  std::size_t pending = 0;
  bool closed = false, paused = false, stopped = false;

 private:
  tcp::socket socket_;
  std::array<char, 65536> piece_{};
  mutable std::size_t head_size_ = 0;
};

class RawHost {  // accepts and reads; the test says what is sent
 public:
  explicit RawHost(asio::io_context& io)
      : acceptor_(io, loopback()), endpoint(acceptor_.local_endpoint()) {
    accept();
  }
  std::vector<std::shared_ptr<Raw>> connections;

 private:
  void accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) {
        return;
      }
      connections.push_back(std::make_shared<Raw>(std::move(socket)));
      connections.back()->read();
      accept();
    });
  }
  tcp::acceptor acceptor_;

 public:
  tcp::endpoint endpoint;
};

std::string pattern(std::size_t size) {
  std::string text(size, ' ');
  for (std::size_t i = 0; i < size; ++i) {
    text[i] = static_cast<char>('a' + (i * 7 + i / 251) % 26);
  }
  return text;
}

class StreamTest : public GatewayFixture {
 protected:
  std::unique_ptr<RawHost> host;

  void raw_host() {
    host = std::make_unique<RawHost>(io);
    discovery.list.push_back(target("s-raw", host->endpoint));
    start();
  }
  std::shared_ptr<Raw> raw() { return Raw::connect(io, gateway->local_endpoint()); }
  std::string head_of(const std::string& kind, const std::string& headers) {
    return "POST /" + kind + " HTTP/1.1\r\nX-Request-Id: q" + std::to_string(++serial) + "\r\n" +
           headers + "\r\n";
  }
  // A client that sent a fifth of its body.
  std::shared_ptr<Raw> begun_upload() {
    auto c = raw();
    c->send(head_of("write", "Content-Length: 500000\r\n") + std::string(100'000, 'x'));
    return c;
  }
  // The host's connection, once a complete head has arrived on it.
  std::shared_ptr<Raw> asked(std::size_t number = 0) {
    EXPECT_TRUE(until([&] {
      return host->connections.size() > number && host->connections[number]->has("\r\n\r\n");
    }));
    return host->connections.at(number);
  }
};

// --- Bodies ---

TEST_F(StreamTest, StreamsLongRequestBody) {
  raw_host();
  const std::string body = pattern(1'000'000);
  auto c = raw();
  c->send(head_of("write", "Content-Length: 1000000\r\n") + body.substr(0, 200'000));
  auto h = asked();
  ASSERT_TRUE(until([&] { return h->body_size() == 200'000; }));
  EXPECT_TRUE(h->has("Content-Length: 1000000\r\n"));
  c->send(body.substr(200'000));
  ASSERT_TRUE(until([&] { return h->body_size() == body.size(); }));
  EXPECT_EQ(h->body(), body);
  h->send(response_text(200, "", "done"));
  ASSERT_TRUE(until([&] { return c->has("done"); }));
  c->send(request_text("read"));
  ASSERT_TRUE(until([&] { return h->has("GET /read"); })) << "both connections are kept";
}

TEST_F(StreamTest, StreamsThirtyTwoMegabytesEachWay) {
  raw_host();
  const std::string body = pattern(http::kBodyLimit);
  auto c = raw();
  c->send(head_of("write", "Content-Length: " + std::to_string(body.size()) + "\r\n") + body);
  auto h = asked();
  ASSERT_TRUE(until([&] { return h->body_size() == body.size(); }));
  EXPECT_TRUE(h->body() == body);
  h->send(response_text(200, "", body));
  ASSERT_TRUE(until([&] { return c->body_size() == body.size(); }));
  EXPECT_TRUE(c->body() == body);
}

TEST_F(StreamTest, KeepsLongBodyChunkedAndDropsTrailers) {
  raw_host();
  auto c = raw();
  std::string body;
  std::string sent = head_of("write", "Transfer-Encoding: chunked\r\n");
  for (int i = 0; i < 40; ++i) {
    const std::string piece = pattern(5000);
    body += piece;
    sent += "1388;ext=1\r\n" + piece + "\r\n";
  }
  c->send(sent + "0\r\nX-Class: read\r\n\r\n");
  auto h = asked();
  ASSERT_TRUE(until([&] { return h->has("\r\n0\r\n\r\n"); }));
  EXPECT_TRUE(h->has("Transfer-Encoding: chunked\r\n"));
  EXPECT_FALSE(h->has("X-Class: read"));
  boost::beast::http::request_parser<boost::beast::http::string_body> parser;
  parser.eager(true);
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  error_code ec;
  parser.put(asio::buffer(h->received), ec);
  EXPECT_EQ(parser.get().body(), body);
  h->send(response_text(200, "", "done"));
  EXPECT_TRUE(until([&] { return c->has("done"); }));
}

TEST_F(StreamTest, AcceptsShortBodyWithTrailers) {
  add_host("a", always_reply(response_text(200, "", "x")));
  start();
  auto c = client();
  c->send(head_of("write", "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n") +
          "3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n");
  ASSERT_TRUE(until([&] { return !c->responses.empty(); }));
  EXPECT_EQ(c->responses[0].result_int(), 200u);
  EXPECT_EQ(hosts[0]->requests.at(0).body(), "abc");
  EXPECT_EQ(hosts[0]->requests.at(0).count("X-Sum"), 0u);
}

TEST_F(StreamTest, SlowHostSlowsClientWithBoundedMemory) {
  raw_host();
  auto c = raw();
  c->send(head_of("write", "Content-Length: 32000000\r\n"));
  c->send(std::string(100'000, 'x'));
  auto h = asked();
  h->paused = true;
  c->send(std::string(31'900'000, 'x'));
  std::size_t pending = 0;
  std::size_t same = 0;  // nothing moves any more
  ASSERT_TRUE(until([&] {
    same = c->pending == std::exchange(pending, c->pending) && h->stopped ? same + 1 : 0;
    return same > 20;
  }));
  EXPECT_GT(c->pending, 0u) << "the client waits with the rest";
  h->resume();
  ASSERT_TRUE(until([&] { return h->body_size() == 32'000'000; }));
}

TEST_F(StreamTest, RetriesBufferedBodyAndRejectsConsumedOne) {
  host = std::make_unique<RawHost>(io);
  discovery.list.push_back(target("s-raw", host->endpoint));
  {
    tcp::acceptor gone(io, loopback());
    discovery.list.push_back(target("s-gone", gone.local_endpoint()));
  }
  start();
  for (std::size_t i = 0; i < 3; ++i) {
    auto c = raw();
    c->send(head_of("write", "Content-Length: 100000\r\n") + std::string(70'000, 'x'));
    auto h = asked(i);  // whichever was tried first
    ASSERT_TRUE(until([&] { return h->body_size() == 70'000; }));
    h->close();
    ASSERT_TRUE(until([&] { return c->has("\r\n\r\n"); }));
    EXPECT_TRUE(c->has("503")) << "it never ran, and asking again is harmless";
    EXPECT_TRUE(until([&] { return c->closed; })) << "its rest is not taken for a request";
    EXPECT_EQ(host->connections.size(), i + 1) << "it is not sent again";
  }
}

TEST_F(StreamTest, HostMayRejectIncompleteBody) {
  raw_host();
  auto c = begun_upload();
  auto h = asked();
  h->send(response_text(503, "X-Not-Run: 1\r\n", ""));
  ASSERT_TRUE(until([&] { return c->has("503"); }));
  EXPECT_TRUE(until([&] { return h->closed; }));
}

TEST_F(StreamTest, RespondsToClientSilentWithinBody) {
  waits.clients.request_timeout = std::chrono::milliseconds(100);
  raw_host();
  auto c = begun_upload();
  auto h = asked();
  ASSERT_TRUE(until([&] { return c->closed; }));
  EXPECT_TRUE(c->has("408"));
  EXPECT_TRUE(until([&] { return h->closed; }));
  EXPECT_TRUE(until([&] { return gateway->active_requests() == 0; }));
}

TEST_F(StreamTest, EndsAttemptWhenClientDisconnectsWithinBody) {
  raw_host();
  auto c = begun_upload();
  auto h = asked();
  c->close();
  EXPECT_TRUE(until([&] { return h->closed && gateway->active_requests() == 0; }));
}

TEST_F(StreamTest, EndsAttemptWithIncompleteBodyWithoutCancellation) {
  config["settings"]["ceilings"]["cancel"] = false;
  raw_host();
  auto c = begun_upload();
  auto h = asked();
  c->close();
  EXPECT_TRUE(until([&] { return h->closed && gateway->active_requests() == 0; }));
}

TEST_F(StreamTest, DoesNotCloseConnectionWithFirstRequestOnItsWay) {
  add_host("a", always_reply(response_text(200, "", "done")));
  start();
  auto c = raw();
  c->send(head_of("write", "Content-Length: 4\r\nExpect: 100-continue\r\n"));
  ASSERT_TRUE(until([&] { return c->has("100 Continue"); }));
  auto silent = client();
  gateway->set_drained(true);
  ASSERT_TRUE(until([&] { return silent->closed_by_peer; }));
  EXPECT_FALSE(c->closed);
  c->send("body");
  EXPECT_TRUE(until([&] { return c->has("done"); }));
}

TEST_F(StreamTest, RejectsTooLargeBodyAsSoonAsKnown) {
  raw_host();
  auto c = raw();
  c->send(head_of("write", "Content-Length: 60000000\r\n"));
  ASSERT_TRUE(until([&] { return c->has("413"); }));
  auto chunked = raw();
  std::string sent = head_of("write", "Transfer-Encoding: chunked\r\n");
  for (int i = 0; i < 33; ++i) {
    sent += "100000\r\n" + std::string(1 << 20, 'x') + "\r\n";
  }
  chunked->send(sent);
  ASSERT_TRUE(until([&] { return chunked->has("413"); }));
  auto h = asked();
  EXPECT_TRUE(until([&] { return h->closed; }))
      << "the host has not got all of it, and it never runs";
}

TEST_F(StreamTest, StreamsBodyUnbufferedWithoutMemory) {
  waits.clients.body_bytes = 1;
  raw_host();
  auto c = raw();
  c->send(head_of("write", "Content-Length: 20\r\n") + "0123456789");
  auto h = asked();
  ASSERT_TRUE(until([&] { return h->body() == "0123456789"; }));
  c->send("0123456789");
  ASSERT_TRUE(until([&] { return h->body_size() == 20; }));
  h->send(response_text(200, "", "done"));
  EXPECT_TRUE(until([&] { return c->has("done"); }));
}

// --- Answers ---

TEST_F(StreamTest, StreamsLongResponseAndAbortsIncompleteOne) {
  raw_host();
  auto c = raw();
  c->send(request_text("read"));
  auto h = asked();
  h->send("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\nX-Load: TEXT util=0.5\r\n\r\n" +
          pattern(100));
  ASSERT_TRUE(until([&] { return c->body() == pattern(100); }));
  EXPECT_FALSE(c->has("X-Load"));
  EXPECT_TRUE(c->has("Content-Length: 200000\r\n"));
  h->close();
  ASSERT_TRUE(until([&] { return c->closed; })) << "so the client can tell";
  EXPECT_EQ(c->body(), pattern(100));
  EXPECT_EQ(host->connections.size(), 1u) << "an answer begun is never replaced";
}

TEST_F(StreamTest, ChunksResponseOfUnknownLength) {
  raw_host();
  auto c = raw();
  c->send(request_text("read"));
  auto h = asked();
  h->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  ASSERT_TRUE(until([&] { return c->has("abc"); })) << "before the rest is there";
  h->send("2\r\nde\r\n0\r\nX-Sum: 1\r\n\r\n");
  ASSERT_TRUE(until([&] { return c->has("0\r\n\r\n"); }));
  EXPECT_FALSE(c->has("X-Sum"));
  c->send(request_text("read"));
  ASSERT_TRUE(until([&] { return h->received.rfind("GET /read") > 10; }))
      << "both connections are kept";
}

TEST_F(StreamTest, AbortedChunkedResponseHasNoLastChunk) {
  raw_host();
  auto c = raw();
  c->send(request_text("read"));
  auto h = asked();
  h->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  ASSERT_TRUE(until([&] { return c->has("abc"); }));
  h->send("zz\r\n");
  ASSERT_TRUE(until([&] { return c->closed; }));
  EXPECT_FALSE(c->has("0\r\n\r\n"));
}

TEST_F(StreamTest, ServesResponseEndedByConnection) {
  add_host("a", [](PeerConnection& c, std::size_t) {
    c.reply("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole", true);
  });
  start();
  auto c = client();
  for (std::size_t i = 0; i < 3; ++i) {
    c->send(request_text("read"));
    ASSERT_TRUE(until([&] { return c->responses.size() == i + 1; }))
        << "the client's connection is kept";
    EXPECT_EQ(c->responses[i].body(), "whole");
  }
}

TEST_F(StreamTest, StreamsResponseEndedByConnectionToHttp10AndHttp11) {
  const std::string body = pattern(200'000);
  add_host("a", [&](PeerConnection& c, std::size_t) {
    c.reply("HTTP/1.0 200 OK\r\n\r\n" + body, true);
  });
  start();
  EXPECT_EQ(send_request(request_text("read")).body(), body);
  auto old = raw();
  old->send("GET /read HTTP/1.0\r\nX-Request-Id: old\r\n\r\n");
  ASSERT_TRUE(until([&] { return old->closed; }));
  EXPECT_TRUE(old->body() == body);
  EXPECT_FALSE(old->has("chunked"));
}

TEST_F(StreamTest, SlowClientSlowsHostAndIsServed) {
  raw_host();
  auto c = raw();
  c->paused = true;
  c->send(request_text("read"));
  auto h = asked();
  const std::string body = pattern(20'000'000);
  h->send(response_text(200, "", body));
  std::size_t pending = 0;
  std::size_t same = 0;
  ASSERT_TRUE(until([&] {
    same = h->pending == std::exchange(pending, h->pending) && c->stopped ? same + 1 : 0;
    return same > 20;
  }));
  EXPECT_GT(h->pending, 0u) << "the host waits with the rest";
  c->resume();
  ASSERT_TRUE(until([&] { return c->body_size() == body.size(); }));
  EXPECT_TRUE(c->body() == body);
}

TEST_F(StreamTest, DisconnectsClientThatStopsReading) {
  waits.clients.response_stall_timeout = std::chrono::milliseconds(100);
  raw_host();
  auto c = raw();
  c->paused = true;
  c->send(request_text("read"));
  auto h = asked();
  h->send(response_text(200, "", std::string(20'000'000, 'x')));
  EXPECT_TRUE(until([&] { return h->closed; }));
  EXPECT_TRUE(until([&] { return gateway->connections() == 0; }));
}

TEST_F(StreamTest, EndsResponseWhenClientDisconnects) {
  raw_host();
  auto c = raw();
  c->send(request_text("read"));
  auto h = asked();
  h->send("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\nabc");
  ASSERT_TRUE(until([&] { return c->has("abc"); }));
  c->close();
  EXPECT_TRUE(until([&] { return h->closed; }));
}

TEST_F(StreamTest, AnswersHeadRequestWithoutBody) {
  raw_host();
  auto c = raw();
  c->send("HEAD /read HTTP/1.1\r\nX-Request-Id: h1\r\n\r\n");
  auto h = asked();
  EXPECT_TRUE(h->has("HEAD /read"));
  h->send("HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n");
  ASSERT_TRUE(until([&] { return c->has("Content-Length: 5000000\r\n"); }));
  c->send("HEAD /up HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(until([&] { return c->received.rfind("HTTP/1.1 200") > 10; }))
      << "and the next one follows";
  EXPECT_EQ(host->connections.size(), 1u);
}

// --- Pieces and pauses ---

TEST_F(StreamTest, SendsContinueToExpectingClient) {
  add_host("a", always_reply(response_text(200, "", "done")));
  start();
  auto c = raw();
  c->send(head_of("write", "Content-Length: 4\r\nExpect: 100-continue\r\n"));
  ASSERT_TRUE(until([&] { return c->has("HTTP/1.1 100 Continue\r\n\r\n"); }));
  c->send("body");
  ASSERT_TRUE(until([&] { return c->has("done"); }));
  EXPECT_EQ(hosts[0]->requests.at(0).count("Expect"), 0u);
  auto other = raw();
  other->send(head_of("write", "Content-Length: 4\r\nExpect: more\r\n"));
  EXPECT_TRUE(until([&] { return other->has("417"); }));
  auto large = raw();
  large->send(head_of("write", "Content-Length: 60000000\r\nExpect: 100-continue\r\n"));
  ASSERT_TRUE(until([&] { return large->has("413"); }));
  EXPECT_FALSE(large->has("100 Continue"));
}

TEST_F(StreamTest, AcceptsSingleByteReadsBothWays) {
  raw_host();
  auto c = raw();
  const auto drip = [&](Raw& to, const std::string& text) {
    for (const char byte : text) {
      to.send(std::string(1, byte));
      io.restart();
      io.poll();
    }
  };
  drip(*c, head_of("write", "Transfer-Encoding: chunked\r\n") +
               "3\r\nabc\r\n2;x\r\nde\r\n0\r\nT: 1\r\n\r\n");
  auto h = asked();
  ASSERT_TRUE(until([&] { return h->body() == "abcde"; }));
  drip(*h,
       "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: "
       "chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n");
  ASSERT_TRUE(until([&] { return c->has("HTTP/1.1 200") && c->has("x"); }));
  EXPECT_FALSE(c->has("103"));
}

// --- BodyStream ---

TEST(BodyStreamTest, BuffersLessAboveSharedBudget) {
  auto buffers = std::make_shared<http::BufferBudget>();
  buffers->limit_bytes = 100'000;
  {
    http::BodyStream one(buffers);
    http::BodyStream two(buffers);
    one.push(std::string(60'000, 'x'));
    EXPECT_FALSE(one.full());
    two.push(std::string(50'000, 'x'));
    EXPECT_TRUE(one.full() && two.full());
    two.take();
    EXPECT_FALSE(one.full());
    EXPECT_TRUE(two.consumed());
    EXPECT_FALSE(one.consumed());
    one.drop();
    EXPECT_EQ(buffers->used_bytes, 0u);
    two.push("x");
  }
  EXPECT_EQ(buffers->used_bytes, 0u);
}

TEST(BodyStreamTest, NotifiesEachSideOnce) {
  http::BodyStream pipe(std::make_shared<http::BufferBudget>());
  int data = 0;
  int room = 0;
  int dropped = 0;
  pipe.on_data = [&] {
    ++data;
  };
  pipe.on_writable = [&] {
    ++room;
  };
  pipe.on_dropped = [&] {
    ++dropped;
  };
  pipe.push("abc");
  EXPECT_EQ(pipe.take(), "abc");
  EXPECT_EQ(pipe.take(), "");
  pipe.abort();
  pipe.finish();
  EXPECT_TRUE(pipe.aborted());
  EXPECT_FALSE(pipe.finished());
  pipe.drop();
  pipe.drop();
  pipe.push("late");
  EXPECT_EQ(data, 2);
  EXPECT_EQ(room, 1);
  EXPECT_EQ(dropped, 1);
}

}  // namespace
}  // namespace gateway::testing
