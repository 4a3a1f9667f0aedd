// Two events that cross, on real sockets: each crossing is forced by a peer's script, by the order
// in which the test acts before the loop runs, or by a connection that comes up when the test lets
// it.
#include "http/body_codec.hpp"
#include "support/gateway_fixture.hpp"

namespace gateway::testing {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

// A host whose connections do not come up until they are let: its listener's queue is full.
class LateHost {
 public:
  explicit LateHost(asio::io_context& io) : acceptor_(io, loopback()) {
    acceptor_.listen(0);
    for (int i = 0; i < 4; ++i) {
      queue_.push_back(std::make_unique<tcp::socket>(io));
      queue_.back()->async_connect(acceptor_.local_endpoint(), [](error_code) {});
    }
    io.poll();
  }
  ~LateHost() {
    for (auto& c : connections_) {
      c->close();
    }
  }
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  void let() {
    for (auto& socket : queue_) {
      socket->close();
    }
    accept();
  }
  std::vector<Request> requests;

 private:
  void accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) {
        return;
      }
      connections_.push_back(
          std::make_shared<PeerConnection>(std::move(socket), [this](PeerConnection& c) {
            requests.push_back(c.request);
            c.reply(response_text(200, "", "late"));
          }));
      connections_.back()->read();
      accept();
    });
  }
  tcp::acceptor acceptor_;
  std::vector<std::unique_ptr<tcp::socket>> queue_;
  std::vector<std::shared_ptr<PeerConnection>> connections_;
};

// A fully scripted discovery server: records each call with its target.
struct ScriptedDiscovery {
  explicit ScriptedDiscovery(asio::io_context& io)
      : peer(io, [this](PeerConnection& c) {
          calls.push_back(c.shared_from_this());
          targets.push_back(c.request.target().to_string());
        }) {}
  void answer(std::size_t call, int version, bool whole, const json& hosts) {
    calls[call]->reply(
        response_text(200, "", json{{"rev", version}, {"all", whole}, {"targets", hosts}}.dump()));
  }
  Peer peer;
  std::vector<std::shared_ptr<PeerConnection>> calls;
  std::vector<std::string> targets;
};

class RaceTest : public GatewayFixture {
 protected:
  // Only s-late is listed at first, the scripted host s-0 when it is pushed.
  void start_with(LateHost& late) {
    discovery.list = {target("s-late", late.endpoint())};
    start();
    ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  }
  void add_two_hosts() {  // that answer with their numbers
    for (const char* number : {"0", "1"}) {
      add_host("a", always_reply(response_text(200, "", number)));
    }
  }
  // The two hosts are known by this version, and discovery is the scripted one.
  void start_knowing(int version, const ScriptedDiscovery& scripted) {
    add_two_hosts();
    config["known"] = {{"rev", version}, {"all", true}, {"targets", discovery.list}};
    discovery.peer.endpoint = scripted.peer.endpoint;
    start();
  }
  json serving(std::size_t host) {
    return target("s-" + std::to_string(host), hosts[host]->endpoint);
  }
  static json draining(const LateHost& late) {
    return target("s-late", late.endpoint(), "a", "DRAINING");
  }
  // The gateway's connections, without connects to hosts and idle connections to them.
  bool only_clients_left(std::size_t clients) { return gateway->connections() == clients; }
  void after(std::chrono::milliseconds time) {
    asio::steady_timer timer(io, time);
    bool due = false;
    timer.async_wait([&](error_code) { due = true; });
    ASSERT_TRUE(until([&] { return due; }));
  }
  json& ceilings() { return config["settings"]["ceilings"]; }
};

// --- Connections established late ---

// A repeat was chosen within the window of the first attempt, and its connection came up after it.
TEST_F(RaceTest, DoesNotBeginRetryConnectedAfterDeduplicationWindow) {
  config["settings"]["grades"][2]["windowNs"] = 1'200'000'000;
  LateHost late(io);
  std::shared_ptr<PeerConnection> pending;
  add_host("a", [&](PeerConnection& c, std::size_t) { pending = c.shared_from_this(); });
  start();
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  auto c = client();
  const auto sent = Clock::now();
  c->send(request_text("put"));
  ASSERT_TRUE(until([&] { return pending != nullptr; }));
  discovery.push({{"all", false}, {"targets", {target("s-late", late.endpoint())}}});
  ASSERT_TRUE(until([&] { return gateway->hosts() == 2; }));
  pending->reset();
  ASSERT_TRUE(until([&] { return !c->responses.empty() || Clock::now() - sent > 1500ms; }));
  late.let();
  ASSERT_TRUE(until([&] { return !c->responses.empty(); }));
  EXPECT_EQ(c->responses[0].result_int(), 502u) << "it may have run, and may not run again";
  EXPECT_TRUE(late.requests.empty());
  EXPECT_TRUE(until([&] { return only_clients_left(1); }));
}

TEST_F(RaceTest, DoesNotBeginAtHostRemovedWhileConnecting) {
  add_host("a", always_reply(response_text(200, "", "other")));
  for (const bool whole : {false, true}) {
    SCOPED_TRACE(whole ? "a whole list leaves it out" : "it drains");
    LateHost late(io);
    start_with(late);
    auto c = client();
    c->send(request_text("write"));
    ASSERT_TRUE(until([&] { return gateway->active_requests() == 1; }));
    if (whole) {
      discovery.push({{"all", true}, {"targets", {serving(0)}}});
    } else {
      discovery.push({{"all", false}, {"targets", {serving(0), draining(late)}}});
    }
    ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
    late.let();
    ASSERT_TRUE(until([&] { return !c->responses.empty(); }));
    EXPECT_EQ(c->responses[0].body(), "other");
    EXPECT_TRUE(late.requests.empty());
    gateway.reset();
    discovery.pending_watches.clear();
    config.erase("known");
  }
}

// The host whose turn it would be drains while the first attempt is out.
TEST_F(RaceTest, DoesNotRetryOnHostThatStartedDraining) {
  std::shared_ptr<PeerConnection> pending;
  for (int i = 0; i < 3; ++i) {
    add_host("a", [&](PeerConnection& c, std::size_t n) {
      if (n == 0) {
        pending = c.shared_from_this();
      } else {
        c.reply(response_text(200, "", "x"));
      }
    });
  }
  start();
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  auto c = client();
  c->send(request_text("read"));
  ASSERT_TRUE(until([&] { return pending != nullptr; }));
  const auto first = static_cast<std::size_t>(attempted_hosts[0].back() - '0');
  const std::size_t drains = (first + 1) % 3;
  const std::size_t left = (first + 2) % 3;
  discovery.push(
      {{"all", false},
       {"targets",
        {target("s-" + std::to_string(drains), hosts[drains]->endpoint, "a", "DRAINING")}}});
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  pending->reset();
  ASSERT_TRUE(until([&] { return !c->responses.empty(); }));
  EXPECT_EQ(c->responses[0].result_int(), 200u);
  EXPECT_EQ(attempted_hosts.back(), "s-" + std::to_string(left));
}

// The same while a body is uploaded whose head has not been sent.
TEST_F(RaceTest, ReroutesUnsentUploadWhenHostDrains) {
  LateHost late(io);
  add_host("a", always_reply(response_text(200, "", "other")));
  start_with(late);
  auto c = client();
  const std::string half(80 << 10, 'x');
  std::string head = request_text("write");
  head.replace(head.find("Content-Length: 0"), 17,
               "Content-Length: " + std::to_string(2 * half.size()));
  c->send(head + half);
  ASSERT_TRUE(until([&] { return gateway->active_requests() == 1; }));
  discovery.push({{"all", false}, {"targets", {serving(0), draining(late)}}});
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  late.let();
  c->send(half);
  ASSERT_TRUE(until([&] { return !c->responses.empty(); }));
  EXPECT_EQ(c->responses[0].body(), "other");
  EXPECT_TRUE(late.requests.empty());
}

TEST_F(RaceTest, SubtractsConnectTimeFromForwardedDeadline) {
  LateHost late(io);
  start_with(late);
  auto c = client();
  const auto sent = Clock::now();
  c->send(request_text("read", "X-Deadline-Ms: 9000\r\n"));
  ASSERT_TRUE(until([&] { return gateway->active_requests() == 1; }));
  late.let();  // the system dials again after a second
  ASSERT_TRUE(until([&] { return !late.requests.empty(); }));
  const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - sent);
  ASSERT_GT(passed, 500ms) << "it did come up late";
  EXPECT_LE(std::stoll(late.requests[0]["X-Deadline-Ms"].to_string()) + passed.count(), 9000 + 100);
}

// --- Clients that disconnect ---

// With part of its next request, and with hundreds of them, already sent: more than is read ahead.
TEST_F(RaceTest, DetectsDisconnectOfPipeliningClient) {
  add_host("a", [](PeerConnection&, std::size_t) {});
  start();
  for (const std::size_t ahead : {std::size_t{20}, std::size_t{100} << 10}) {
    SCOPED_TRACE(ahead);
    const std::size_t before = attempted_hosts.size();
    std::string next;
    while (next.size() < ahead) {
      next += request_text("read");
    }
    next.resize(ahead);
    auto c = client();
    c->send(request_text("read") + next);
    ASSERT_TRUE(until([&] { return attempted_hosts.size() == before + 1; }));
    after(150ms);  // what there is room for has been read
    c->close();
    const auto closed = Clock::now();
    ASSERT_TRUE(until([&] { return hosts[0]->connections.back()->closed_by_peer; }));
    EXPECT_LT(Clock::now() - closed, 5s) << "by its close, not by its deadline";
    EXPECT_EQ(attempted_hosts.size(), before + 1) << "nor is what it sent ahead passed on";
    EXPECT_EQ(gateway->active_requests(), 0u);
  }
}

TEST_F(RaceTest, DetectsDisconnectDuringBlockedUpload) {
  tcp::acceptor host(io, tcp::v4());  // accepts and never reads
  host.set_option(asio::socket_base::receive_buffer_size(4096));
  host.bind(loopback());
  host.listen();
  std::vector<tcp::socket> taken;
  host.async_accept([&](error_code, tcp::socket s) { taken.push_back(std::move(s)); });
  discovery.list.push_back(target("s-0", host.local_endpoint()));
  start();
  auto c = client();
  std::string head = request_text("write");
  head.replace(head.find("Content-Length: 0"), 17, "Content-Length: 16000000");
  c->send(head + std::string(280 << 10,
                             'x'));  // more than is buffered on the way, less than delays the close
  ASSERT_TRUE(until([&] { return taken.size() == 1; }));
  after(300ms);  // all that is on the way is full
  EXPECT_EQ(gateway->active_requests(), 1u);
  c->close();
  const auto closed = Clock::now();
  EXPECT_TRUE(until([&] { return gateway->active_requests() == 0; }));
  EXPECT_LT(Clock::now() - closed, 5s) << "by its close, not by the stall of its host";
  EXPECT_TRUE(until([&] { return gateway->connections() == 0; }));
}

// Also where no attempt may be cancelled: one that waits for its connection has not begun.
TEST_F(RaceTest, DoesNotBeginForClientDisconnectedWhileConnecting) {
  ceilings()["cancel"] = false;
  LateHost late(io);
  start_with(late);
  auto c = client();
  c->send(request_text("write"));
  ASSERT_TRUE(until([&] { return gateway->active_requests() == 1; }));
  c->close();
  late.let();
  ASSERT_TRUE(until([&] { return only_clients_left(0) || !late.requests.empty(); }));
  EXPECT_TRUE(late.requests.empty()) << "the dial is given up";
  EXPECT_EQ(gateway->active_requests(), 0u);
}

// The request lay in the socket while its client gave up: the close is there when it is read.
TEST_F(RaceTest, DoesNotBeginForClientDisconnectedBeforeRead) {
  start_with_two_hosts(always_reply(response_text(200, "", "x")));
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  {
    tcp::socket socket(io);
    socket.connect(gateway->local_endpoint());
    asio::write(socket, asio::buffer(request_text("write") + request_text("read")));
  }  // closed before the loop runs
  ASSERT_TRUE(until([&] { return gateway->connections() == 1; })) << "taken";
  ASSERT_TRUE(until([&] { return gateway->connections() == 0; }));
  EXPECT_TRUE(attempted_hosts.empty());
  EXPECT_EQ(gateway->active_requests(), 0u);
}

// The client's close and the host's reset are ready in one turn of the loop, in either order.
TEST_F(RaceTest, DoesNotRetryForClientDisconnectedInSameTurn) {
  ceilings()["cancel"] = false;
  std::vector<std::shared_ptr<PeerConnection>> pending;
  start_with_two_hosts(
      [&](PeerConnection& c, std::size_t) { pending.push_back(c.shared_from_this()); });
  for (const bool close_first : {true, false}) {
    SCOPED_TRACE(close_first);
    pending.clear();
    attempted_hosts.clear();
    auto c = client();
    c->send(request_text("read"));
    ASSERT_TRUE(until([&] { return pending.size() == 1; }));
    if (close_first) {
      c->close();
    }
    pending[0]->reset();
    if (!close_first) {
      c->close();
    }
    ASSERT_TRUE(until([&] { return gateway->active_requests() == 0; }));
    EXPECT_EQ(attempted_hosts.size(), 1u);
    after(20ms);
    EXPECT_EQ(attempted_hosts.size(), 1u);
  }
}

// The hedged request for a slow first attempt; it would be sent if the client stayed.
TEST_F(RaceTest, DoesNotHedgeForDisconnectedClient) {
  ceilings()["cancel"] = false;
  ceilings()["parallelTries"] = true;
  std::vector<std::shared_ptr<PeerConnection>> pending;
  start_with_two_hosts(
      [&](PeerConnection& c, std::size_t) { pending.push_back(c.shared_from_this()); });
  for (int i = 0; i < 4; ++i) {  // answers usually take 40 ms: a copy is due after 100
    auto c = client();
    c->send(request_text("read"));
    ASSERT_TRUE(until([&] { return !pending.empty(); }));
    after(40ms);
    pending.front()->reply(response_text(200, "", "x"));
    ASSERT_TRUE(until([&] { return c->responses.size() == 1; }));
    pending.clear();
  }
  for (const bool leaves : {true, false}) {
    SCOPED_TRACE(leaves);
    const std::size_t before = attempted_hosts.size();
    auto c = client();
    c->send(request_text("read"));
    ASSERT_TRUE(until([&] { return attempted_hosts.size() == before + 1; }));
    if (leaves) {
      c->close();
      after(600ms);
      EXPECT_EQ(attempted_hosts.size(), before + 1);
    } else {
      EXPECT_TRUE(until([&] { return attempted_hosts.size() == before + 2; }));
    }
    for (auto& h : std::exchange(pending, {})) {
      h->reply(response_text(200, "", "x"));
    }
    ASSERT_TRUE(until([&] { return gateway->active_requests() == 0; }));
  }
}

// --- Shutdown ---

// A raw client: it sees whether its connection ended in order.
struct RawClient {
  RawClient(asio::io_context& io, const tcp::endpoint& to) : socket(io) { socket.connect(to); }
  void send(const std::string& text) { asio::write(socket, asio::buffer(text)); }
  void read() {
    socket.async_read_some(asio::buffer(bytes), [this](error_code ec, std::size_t n) {
      got.append(bytes.data(), n);
      ended = ec;
      if (!ec) {
        read();
      } else if (on_end) {
        on_end();
      }
    });
  }
  tcp::socket socket;
  std::array<char, 4096> bytes{};
  std::string got;
  error_code ended;
  std::function<void()> on_end;
};

// Its request arrives in the moment in which its connection is shut: read out, not reset over, not
// passed on.
TEST_F(RaceTest, NeitherResetsNorForwardsRequestCrossingIdleClose) {
  start_with_two_hosts(always_reply(response_text(200, "", "x")));
  RawClient c(io, gateway->local_endpoint());
  c.read();
  c.send(request_text("read"));
  ASSERT_TRUE(until([&] { return c.got.find("\r\n\r\nx") != std::string::npos; }));
  const std::size_t before = attempted_hosts.size();
  const std::string next = request_text("write");
  error_code late_write;
  error_code reset;
  bool done = false;
  bool heard = false;
  c.on_end = [&] {  // the end has come, and the gateway cannot have closed since: the loop is ours
    asio::write(c.socket, asio::buffer(next), late_write);
    c.socket.async_wait(tcp::socket::wait_error, [&](error_code ec) {
      reset = ec ? ec : asio::error::connection_reset;
      heard = true;
    });
  };
  gateway->stop([&] { done = true; });
  ASSERT_TRUE(until([&] { return bool(c.ended); }));
  EXPECT_EQ(c.ended, asio::error::eof);
  EXPECT_FALSE(late_write);
  after(100ms);
  EXPECT_FALSE(heard) << "its connection was reset";
  c.socket.close();
  EXPECT_TRUE(until([&] { return done; }));
  EXPECT_EQ(attempted_hosts.size(), before);
}

// Pipelined requests that were read before the stop are answered; none is aborted.
TEST_F(RaceTest, AnswersAllRequestsReadBeforeStop) {
  std::shared_ptr<PeerConnection> pending;
  add_host("a", [&](PeerConnection& c, std::size_t n) {
    if (n == 0) {
      pending = c.shared_from_this();
    } else {
      c.reply(response_text(200, "", "n" + std::to_string(n)));
    }
  });
  start();
  RawClient c(io, gateway->local_endpoint());
  c.read();
  c.send(request_text("write") + request_text("read") + request_text("write"));
  ASSERT_TRUE(until([&] { return pending != nullptr; }));
  after(20ms);  // all three are read
  bool done = false;
  gateway->stop([&] { done = true; });
  pending->reply(response_text(200, "", "first"));
  ASSERT_TRUE(until([&] { return bool(c.ended); }));
  EXPECT_EQ(c.ended, asio::error::eof);
  for (const char* body : {"first", "n1", "n2"}) {
    EXPECT_NE(c.got.find(body), std::string::npos) << c.got;
  }
  EXPECT_EQ(c.got.find("Connection: close"), c.got.rfind("Connection: close"))
      << "only the last says so";
  c.socket.close();
  EXPECT_TRUE(until([&] { return done; }));
}

// Half a request is here at the stop, and the client goes on sending after its answer: all is
// answered that was taken, and what comes behind the end disturbs nobody.
TEST_F(RaceTest, ServesPartialRequestAtStopAndDiscardsFollowingInput) {
  add_host("a", always_reply(response_text(200, "", "whole")));
  start();
  RawClient c(io, gateway->local_endpoint());
  c.read();
  const std::string request = request_text("write", "", "0123456789");
  c.send(request.substr(0, request.size() - 5));
  after(20ms);
  bool done = false;
  gateway->stop([&] { done = true; });
  c.send(request.substr(request.size() - 5));
  ASSERT_TRUE(until([&] { return c.got.find("whole") != std::string::npos; }));
  for (int i = 0; i < 3; ++i) {
    c.send(request_text("write"));
  }
  ASSERT_TRUE(until([&] { return bool(c.ended); }));
  EXPECT_EQ(c.ended, asio::error::eof) << "no reset over its answer";
  c.socket.close();
  EXPECT_TRUE(until([&] { return done; }));
  EXPECT_EQ(attempted_hosts.size(), 1u);
}

// At the limit of connections, those that wait to be accepted when the listener closes hold
// requests.
TEST_F(RaceTest, AcceptsWaitingConnectionsAtLimitOnStop) {
  waits.clients.connections = 4;
  std::vector<std::shared_ptr<PeerConnection>> pending;
  add_host("a", [&](PeerConnection& c, std::size_t) { pending.push_back(c.shared_from_this()); });
  start();
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 8; ++i) {
    clients.push_back(std::make_unique<RawClient>(io, gateway->local_endpoint()));
    clients.back()->read();
    clients.back()->send(request_text("write"));
  }
  ASSERT_TRUE(until([&] { return pending.size() == 5; })) << "one over the limit";
  bool done = false;
  gateway->stop([&] { done = true; });
  after(750ms);  // the stop comes to its listener, and there is no room
  EXPECT_EQ(pending.size(), 5u);
  for (auto& c : pending) {
    c->reply(response_text(200, "", "ok"));
  }
  for (auto& c : clients) {
    c->on_end = [&socket = c->socket] {
      socket.close();
    };
  }
  std::size_t replied = pending.size();
  ASSERT_TRUE(until([&] {
    for (; replied < pending.size(); ++replied) {
      pending[replied]->reply(response_text(200, "", "ok"));
    }
    return done;
  }));
  for (auto& c : clients) {
    EXPECT_NE(c->got.find("200"), std::string::npos) << c->ended.message();
  }
}

// A turn of the accept loop is due when the stop comes, and there is no room: the stop must not be
// lost to it. Here the turn is always due: what waits at the listener was there before the loop ran
// first.
TEST_F(RaceTest, StopAtLimitSurvivesPendingAcceptTurn) {
  http::ClientListener::Limits limits;
  limits.connections = 1;
  std::vector<http::ExchangeId> asked;
  bool empty = false;
  http::ClientListener server(
      io, {loopback(), std::nullopt}, limits,
      {[&](http::ClientRequest request) { asked.push_back(request.exchange); },
       [](http::ExchangeId) {},
       [](http::ExchangeId) {
       }});
  server.on_empty = [&] {
    empty = true;
  };
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 3; ++i) {
    clients.push_back(std::make_unique<RawClient>(io, server.local_endpoint()));
    clients.back()->read();
    clients.back()->send(request_text("write"));
    clients.back()->on_end = [&socket = clients.back()->socket] {
      socket.close();
    };
  }
  server.close_idle(true);
  server.stop_accepting(20s);
  ASSERT_TRUE(until([&] { return asked.size() == 2; })) << "one over the limit";
  EXPECT_TRUE(server.accepting()) << "the third waits";
  std::size_t answered = 0;
  ASSERT_TRUE(until([&] {
    for (; answered < asked.size(); ++answered) {
      http::HttpResponse response;
      response.result(beast_http::status::ok);
      server.respond(asked[answered], std::move(response));
    }
    return empty;
  }));
  EXPECT_FALSE(server.accepting());
  for (auto& c : clients) {
    EXPECT_NE(c->got.find("200"), std::string::npos) << c->ended.message();
  }
}

// --- Discovery ---

TEST_F(RaceTest, StartsSecondPollBesideSilentOneAndReadsBoth) {
  waits.discovery.call_timeout = 50ms;
  ScriptedDiscovery scripted(io);
  start_knowing(1, scripted);
  const auto began = Clock::now();
  ASSERT_TRUE(until([&] { return scripted.calls.size() == 2; }));
  EXPECT_LT(Clock::now() - began, 450ms) << "after its time, not after the wait of a failed call";
  EXPECT_FALSE(scripted.calls[0]->closed_by_peer);
  scripted.answer(0, 2, false, json::array({target("s-0", hosts[0]->endpoint, "a", "DRAINING")}));
  ASSERT_TRUE(until([&] { return scripted.calls[0]->closed_by_peer; }));
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(send_request(request_text("read")).body(), "1");
  }
  scripted.answer(1, 2, false, json::array());
  ASSERT_TRUE(until([&] { return scripted.calls.size() >= 3; }));
  EXPECT_NE(scripted.targets[2].find("since=2&timeout_ms=20000"), std::string::npos)
      << scripted.targets[2];
}

// After SIGHUP the first call to the new discovery is lost and the second one is answered; the call
// to the old one is closed then.
struct ReloadTest : RaceTest {
  void lose_the_first_call(std::chrono::milliseconds another_within) {
    add_two_hosts();
    start();
    ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
    ScriptedDiscovery moved(io);
    config["discovery"] = text_of(moved.peer.endpoint);
    const auto began = Clock::now();
    gateway->reload(config::parse_config(config, [](const char*) { return nullptr; }));
    ASSERT_TRUE(until([&] { return moved.calls.size() == 2; }));
    EXPECT_LT(Clock::now() - began, another_within);
    EXPECT_EQ(moved.targets[1], "/discovery/hosts");
    moved.answer(1, 1, true, json::array({target("s-1", hosts[1]->endpoint)}));
    ASSERT_TRUE(until([&] { return discovery.pending_watches[0]->closed_by_peer; }));
    for (int i = 0; i < 6; ++i) {
      EXPECT_EQ(send_request(request_text("read")).body(), "1") << "what it leaves out is gone";
    }
  }
};

TEST_F(ReloadTest, StartsSecondPollWithoutFailureBackoff) {
  waits.discovery.call_timeout = 50ms;
  lose_the_first_call(450ms);
}

// With the production time limits: the list of the new discovery must apply 4 s after SIGHUP, and
// the response may take 2.01 s.
TEST_F(ReloadTest, AppliesListOfNewDiscoveryInTime) {
  lose_the_first_call(2500ms);
}

// Two reloads during one call: only the last one counts, whatever the first server answers later.
TEST_F(RaceTest, TwoReloadsDuringOnePollUseLastDiscovery) {
  add_two_hosts();
  start();
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  ScriptedDiscovery first(io);
  ScriptedDiscovery last(io);
  for (ScriptedDiscovery* d : {&first, &last}) {
    config["discovery"] = text_of(d->peer.endpoint);
    gateway->reload(config::parse_config(config, [](const char*) { return nullptr; }));
    if (d == &first) {
      ASSERT_TRUE(until([&] { return first.calls.size() == 1; }));
    }
  }
  ASSERT_TRUE(until([&] { return last.calls.size() == 1; }));
  first.answer(0, 9, true, json::array({target("s-0", hosts[0]->endpoint)}));
  last.answer(0, 1, true, json::array({target("s-1", hosts[1]->endpoint)}));
  ASSERT_TRUE(until([&] { return last.calls.size() == 2; }));
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(send_request(request_text("read")).body(), "1");
  }
}

// Discovery has restarted its version numbers: its snapshot is valid, and the late response of an
// earlier call, with a higher version of the old sequence, is not.
TEST_F(RaceTest, IgnoresLateResponseOfPreviousVersionSequence) {
  waits.discovery.long_poll_wait = waits.discovery.long_poll_margin = 60ms;
  ScriptedDiscovery scripted(io);
  start_knowing(40, scripted);
  ASSERT_TRUE(until([&] { return scripted.calls.size() == 1; }));
  scripted.answer(0, 40, false, json::array());
  ASSERT_TRUE(until([&] { return scripted.calls.size() == 3; })) << "the watch falls silent";
  scripted.answer(2, 2, true, json::array({target("s-1", hosts[1]->endpoint)}));
  ASSERT_TRUE(until([&] { return scripted.calls.size() == 4; }));
  EXPECT_NE(scripted.targets[3].find("since=2&"), std::string::npos) << scripted.targets[3];
  scripted.answer(1, 41, false, json::array({target("s-0", hosts[0]->endpoint)}));
  ASSERT_TRUE(until([&] { return scripted.calls[1]->closed_by_peer; }));
  for (int i = 0; i < 12; ++i) {
    EXPECT_EQ(send_request(request_text("read")).body(), "1");
  }
}

// A list may have every framing of HTTP/1.1, be a snapshot or a delta, be indented, and arrive byte
// by byte; a watch may also end without a response.
TEST_F(RaceTest, AcceptsEveryListFramingAndReopensEndedWatch) {
  ScriptedDiscovery scripted(io);
  start_knowing(1, scripted);
  ASSERT_TRUE(until([&] { return scripted.calls.size() == 1; }));
  scripted.answer(0, 1, false, json::array());
  ASSERT_TRUE(until([&] { return scripted.calls.size() == 2; }));
  const auto list = [&](int version, std::size_t serves) {
    return json{{"rev", version}, {"all", true}, {"targets", {discovery.list[serves]}}}.dump(2);
  };
  const auto in_chunks = [](const std::string& text, std::size_t size) {
    std::string all = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t at = 0; at < text.size(); at += size) {
      all += http::encode_chunk(text.substr(at, size));
    }
    return all + "0\r\n\r\n";
  };
  std::size_t call = 1;
  const std::array<std::function<void(std::string)>, 5> forms{
      [&](std::string text) { scripted.calls[call]->reply(response_text(200, "", text)); },
      [&](std::string text) { scripted.calls[call]->reply(in_chunks(text, 1)); },
      [&](std::string text) {
        scripted.calls[call]->reply(response_text(200, "Connection: close\r\n", text), true);
      },
      [&](std::string text) {
        scripted.calls[call]->reply("HTTP/1.1 200 OK\r\n\r\n" + text, true);
      },
      [&](std::string text) {  // a byte at a time
        text = in_chunks(text, 7);
        for (const char byte : text) {
          scripted.calls[call]->reply(std::string(1, byte));
        }
      }};
  for (std::size_t i = 0; i < forms.size(); ++i) {
    SCOPED_TRACE(i);
    const std::size_t serves = (i + 1) % 2;
    forms[i](list(static_cast<int>(i) + 2, serves));
    ASSERT_TRUE(until([&] { return scripted.calls.size() == call + 2; }));
    ++call;
    EXPECT_NE(scripted.targets[call].find("since=" + std::to_string(i + 2) + "&"),
              std::string::npos);
    for (int n = 0; n < 3; ++n) {
      EXPECT_EQ(send_request(request_text("read")).body(), std::to_string(serves));
    }
  }
  for (const bool half : {false, true}) {  // it ends at once, or in the middle of telling
    const auto began = Clock::now();
    if (half) {
      scripted.calls[call]->reply("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"rev\":", true);
    } else {
      scripted.calls[call]->reset();
    }
    ASSERT_TRUE(until([&] { return scripted.calls.size() == call + 2; }));
    EXPECT_LT(Clock::now() - began, 2500ms);
    scripted.answer(++call, 6, false, json::array());
    ASSERT_TRUE(until([&] { return scripted.calls.size() == call + 2; }));
    ++call;
  }
}

// An unbounded list, an unbounded head and garbage are failed calls that are repeated; the known
// hosts stay.
TEST_F(RaceTest, TreatsOversizedDiscoveryResponseAsFailure) {
  ScriptedDiscovery scripted(io);
  add_host("a", always_reply(response_text(200, "", "x")));
  discovery.peer.endpoint = scripted.peer.endpoint;
  start();
  std::string long_head = "HTTP/1.1 200 OK\r\n";
  for (int i = 0; i < 4000; ++i) {
    long_head += "X-Flood: yyyy\r\n";
  }
  const std::string blanks(6 << 20, ' ');
  std::size_t call = 0;
  for (const std::string& flood :
       {response_text(200, "", blanks),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n600000\r\n" + blanks, long_head,
        std::string("\x16\x03\x01noise\r\n\r\n"),
        response_text(200, "",
                      json{{"rev", 2}, {"all", true}, {"targets", {{{"uid", 7}}}}}.dump())}) {
    ASSERT_TRUE(until([&] { return scripted.calls.size() == call + 1; }));
    scripted.calls[call]->reply(flood);
    ASSERT_TRUE(until(
        [&] { return scripted.calls[call]->closed_by_peer || scripted.calls.size() > call + 1; }));
    EXPECT_EQ(send_request(request_text("read")).result_int(), 200u);
    ++call;
  }
}

// Hundreds of requests at once from one client: another one is answered while they wait.
TEST_F(RaceTest, PipelinedRequestFloodDoesNotDelayOthers) {
  std::shared_ptr<PeerConnection> pending;
  add_host("a", [&](PeerConnection& c, std::size_t n) {
    if (n == 0) {
      pending = c.shared_from_this();
    } else {
      c.reply(response_text(200, "", "x"));
    }
  });
  start();
  std::string flood;
  for (int i = 0; i < 800; ++i) {
    flood += request_text("read");
  }
  auto c = client();
  c->send(flood);
  ASSERT_TRUE(until([&] { return pending != nullptr; }));
  EXPECT_EQ(send_request(request_text("write")).result_int(), 200u);
  pending->reply(response_text(200, "", "x"));
  ASSERT_TRUE(until([&] { return c->responses.size() == 800; }))
      << "and all of them are, in their turn";
  for (const Response& r : c->responses) {
    EXPECT_EQ(r.result_int(), 200u);
  }
}

// Lists that the simulator pushes are polled on sockets like all others.
TEST_F(RaceTest, AlsoPollsWhereListsArePushed) {
  config["settings"]["registryMode"] = "push";
  config["settings"]["rules"].erase("askWithinNs");
  start_with_two_hosts(always_reply(response_text(200, "", "x")));
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  discovery.push({{"all", true}, {"targets", {target("s-1", hosts[1]->endpoint)}}});
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(send_request(request_text("read")).result_int(), 200u);
  }
  EXPECT_EQ(std::set<std::string>(attempted_hosts.begin(), attempted_hosts.end()),
            std::set<std::string>{"s-1"});
}

}  // namespace
}  // namespace gateway::testing
