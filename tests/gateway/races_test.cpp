// Races between two events, on real loopback sockets. Each race is forced by a peer's script, by
// the order of the test's actions before the event loop runs, or by a LateHost.
#include <thread>

#include "http/body_codec.hpp"
#include "support/gateway_fixture.hpp"
#include "support/late_host.hpp"

namespace gateway::testing {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

// A discovery server that records each call and responds only when the test says so.
struct ScriptedDiscovery {
  explicit ScriptedDiscovery(asio::io_context& io)
      : peer(io, [this](PeerConnection& c) {
          calls.push_back(c.shared_from_this());
          request_targets.push_back(c.request.target().to_string());
        }) {}
  // Responds to a call with an endpoint list: a snapshot or a delta.
  void respond(std::size_t call, int version, bool is_snapshot, const json& hosts) {
    calls[call]->reply(response_text(
        200, "", json{{"rev", version}, {"all", is_snapshot}, {"targets", hosts}}.dump()));
  }
  Peer peer;
  std::vector<std::shared_ptr<PeerConnection>> calls;
  std::vector<std::string> request_targets;
};

class RaceTest : public GatewayFixture {
 protected:
  // Starts with an endpoint list of `late` alone; scripted hosts are listed once they are pushed.
  void start_with_late_host(LateHost& late) {
    discovery.list = {target("s-late", late.endpoint())};
    start();
    ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  }
  // Adds the hosts s-0 and s-1, whose responses have the bodies "0" and "1".
  void add_two_hosts() {
    for (const char* number : {"0", "1"}) {
      add_host("a", always_reply(response_text(200, "", number)));
    }
  }
  // Starts with two hosts in a known list of this version, and with the scripted discovery.
  void start_with_known_version(int version, const ScriptedDiscovery& scripted) {
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
  // Whether the gateway has this many connections. With no more than the clients' ones, none to a
  // host is open, idle or being established.
  bool has_only_client_connections(std::size_t clients) {
    return gateway->connections() == clients;
  }
  json& ceilings() { return config["settings"]["ceilings"]; }
};

// --- Connections established late ---

// A retry is decided within the deduplication window of the first attempt, and its connection is
// established after the window: sent then, the request could be executed twice.
TEST_F(RaceTest, DoesNotSendRetryConnectedAfterDeduplicationWindow) {
  config["settings"]["grades"][2]["windowNs"] = 1'200'000'000;
  LateHost late(io);
  std::shared_ptr<PeerConnection> pending;
  add_host("a", [&](PeerConnection& c, std::size_t) { pending = c.shared_from_this(); });
  start();
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  auto c = client();
  const auto sent_at = Clock::now();
  c->send(request_text("put"));
  ASSERT_TRUE(until([&] { return pending != nullptr; }));
  discovery.push({{"all", false}, {"targets", {target("s-late", late.endpoint())}}});
  ASSERT_TRUE(until([&] { return gateway->hosts() == 2; }));
  pending->reset();
  ASSERT_TRUE(until([&] { return !c->responses.empty() || Clock::now() - sent_at > 1500ms; }));
  late.accept_connections();
  ASSERT_TRUE(until([&] { return !c->responses.empty(); }));
  EXPECT_EQ(c->responses[0].result_int(), 502u)
      << "the first attempt may have been executed, so the request must not be sent again";
  EXPECT_TRUE(late.requests.empty());
  EXPECT_TRUE(until([&] { return has_only_client_connections(1); }));
}

// A connect that succeeds late must not send its attempt to a host that has been removed or drains.
TEST_F(RaceTest, DoesNotSendToHostRemovedOrDrainingWhileConnecting) {
  add_host("a", always_reply(response_text(200, "", "other")));
  for (const bool is_snapshot : {false, true}) {
    SCOPED_TRACE(is_snapshot ? "missing from a snapshot" : "draining");
    LateHost late(io);
    start_with_late_host(late);
    auto c = client();
    c->send(request_text("write"));
    ASSERT_TRUE(until([&] { return gateway->active_requests() == 1; }));
    if (is_snapshot) {
      discovery.push({{"all", true}, {"targets", {serving(0)}}});
    } else {
      discovery.push({{"all", false}, {"targets", {serving(0), draining(late)}}});
    }
    ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
    late.accept_connections();
    ASSERT_TRUE(until([&] { return !c->responses.empty(); }));
    EXPECT_EQ(c->responses[0].body(), "other");
    EXPECT_TRUE(late.requests.empty());
    gateway.reset();
    discovery.pending_watches.clear();
    config.erase("known");
  }
}

// The next host of the list starts to drain while the first attempt is in flight. The retry must go
// to the third host.
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
  const std::size_t draining_host = (first + 1) % 3;
  const std::size_t remaining_host = (first + 2) % 3;
  discovery.push({{"all", false},
                  {"targets",
                   {target("s-" + std::to_string(draining_host), hosts[draining_host]->endpoint,
                           "a", "DRAINING")}}});
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  pending->reset();
  ASSERT_TRUE(until([&] { return !c->responses.empty(); }));
  EXPECT_EQ(c->responses[0].result_int(), 200u);
  EXPECT_EQ(attempted_hosts.back(), "s-" + std::to_string(remaining_host));
}

// A host starts to drain while the gateway connects to it for a request with a streamed body.
// Nothing of the body has been sent, so the request can still go to another host.
TEST_F(RaceTest, ReroutesUnsentUploadWhenHostDrains) {
  LateHost late(io);
  add_host("a", always_reply(response_text(200, "", "other")));
  start_with_late_host(late);
  auto c = client();
  const std::string half(80 << 10, 'x');
  std::string head = request_text("write");
  head.replace(head.find("Content-Length: 0"), 17,
               "Content-Length: " + std::to_string(2 * half.size()));
  c->send(head + half);
  ASSERT_TRUE(until([&] { return gateway->active_requests() == 1; }));
  discovery.push({{"all", false}, {"targets", {serving(0), draining(late)}}});
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  late.accept_connections();
  c->send(half);
  ASSERT_TRUE(until([&] { return !c->responses.empty(); }));
  EXPECT_EQ(c->responses[0].body(), "other");
  EXPECT_TRUE(late.requests.empty());
}

// A deadline computed before the connection is established would let the host work for a client
// that has stopped waiting.
TEST_F(RaceTest, SubtractsConnectTimeFromForwardedDeadline) {
  LateHost late(io);
  start_with_late_host(late);
  auto c = client();
  const auto sent_at = Clock::now();
  c->send(request_text("read", "X-Deadline-Ms: 9000\r\n"));
  ASSERT_TRUE(until([&] { return gateway->active_requests() == 1; }));
  late.accept_connections();
  ASSERT_TRUE(until([&] { return !late.requests.empty(); }));
  const auto elapsed =
      std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - sent_at);
  ASSERT_GT(elapsed, 500ms) << "the connection was not delayed";
  EXPECT_LE(std::stoll(late.requests[0]["X-Deadline-Ms"].to_string()) + elapsed.count(),
            9000 + 100);
}

// --- Clients that disconnect ---

// A client disconnects after it has pipelined a part of its next request, or 100 KiB of requests.
// The latter is more than the gateway reads ahead, so that it cannot read the end of the
// connection.
TEST_F(RaceTest, DetectsDisconnectOfPipeliningClient) {
  add_host("a", [](PeerConnection&, std::size_t) {});
  start();
  for (const std::size_t pipelined_bytes : {std::size_t{20}, std::size_t{100} << 10}) {
    SCOPED_TRACE(pipelined_bytes);
    const std::size_t before = attempted_hosts.size();
    std::string next;
    while (next.size() < pipelined_bytes) {
      next += request_text("read");
    }
    next.resize(pipelined_bytes);
    auto c = client();
    c->send(request_text("read") + next);
    ASSERT_TRUE(until([&] { return attempted_hosts.size() == before + 1; }));
    run_loop_for(150ms);  // the gateway has read all that it reads ahead
    c->close();
    const auto closed_at = Clock::now();
    ASSERT_TRUE(until([&] { return hosts[0]->connections.back()->closed_by_peer; }));
    EXPECT_LT(Clock::now() - closed_at, 5s) << "detected by the disconnect, not by the deadline";
    EXPECT_EQ(attempted_hosts.size(), before + 1)
        << "pipelined requests of a disconnected client are not forwarded";
    EXPECT_EQ(gateway->active_requests(), 0u);
  }
}

// A client disconnects while the gateway does not read from it, because the host reads nothing. The
// 280 KiB sent fill the buffers up to the host, so that the gateway stops reading, and still fit
// into its receive buffer, so that the end of the connection arrives behind them.
TEST_F(RaceTest, DetectsDisconnectDuringBlockedUpload) {
  tcp::acceptor host(io, tcp::v4());  // accepts and never reads
  host.set_option(asio::socket_base::receive_buffer_size(4096));
  host.bind(loopback());
  host.listen();
  std::vector<tcp::socket> accepted;
  host.async_accept([&](error_code, tcp::socket s) { accepted.push_back(std::move(s)); });
  discovery.list.push_back(target("s-0", host.local_endpoint()));
  start();
  auto c = client();
  std::string head = request_text("write");
  head.replace(head.find("Content-Length: 0"), 17, "Content-Length: 16000000");
  c->send(head + std::string(280 << 10, 'x'));
  ASSERT_TRUE(until([&] { return accepted.size() == 1; }));
  run_loop_for(300ms);  // all buffers up to the host are full
  EXPECT_EQ(gateway->active_requests(), 1u);
  c->close();
  const auto closed_at = Clock::now();
  EXPECT_TRUE(until([&] { return gateway->active_requests() == 0; }));
  EXPECT_LT(Clock::now() - closed_at, 5s)
      << "detected by the disconnect, not by the stall of the host";
  EXPECT_TRUE(until([&] { return gateway->connections() == 0; }));
}

// Also with cancellation disabled: an attempt that waits for its connection has not been sent yet.
TEST_F(RaceTest, DoesNotSendForClientDisconnectedWhileConnecting) {
  ceilings()["cancel"] = false;
  LateHost late(io);
  start_with_late_host(late);
  auto c = client();
  c->send(request_text("write"));
  ASSERT_TRUE(until([&] { return gateway->active_requests() == 1; }));
  c->close();
  late.accept_connections();
  ASSERT_TRUE(until([&] { return has_only_client_connections(0) || !late.requests.empty(); }));
  EXPECT_TRUE(late.requests.empty()) << "the connect is cancelled";
  EXPECT_EQ(gateway->active_requests(), 0u);
}

// A client sends a request and disconnects before the gateway reads it: the end of the connection
// is already there when the request is read.
TEST_F(RaceTest, DoesNotSendForClientDisconnectedBeforeRead) {
  start_with_two_hosts(always_reply(response_text(200, "", "x")));
  ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
  {
    tcp::socket socket(io);
    socket.connect(gateway->local_endpoint());
    asio::write(socket, asio::buffer(request_text("write") + request_text("read")));
  }  // closed before the event loop runs
  ASSERT_TRUE(until([&] { return gateway->connections() == 1; }))
      << "the connection was not accepted";
  ASSERT_TRUE(until([&] { return gateway->connections() == 0; }));
  EXPECT_TRUE(attempted_hosts.empty());
  EXPECT_EQ(gateway->active_requests(), 0u);
}

// The client's disconnect and the host's reset are ready in the same iteration of the event loop,
// in either order. A retry would be sent for a client that is gone.
TEST_F(RaceTest, DoesNotRetryForClientDisconnectedInSameLoopIteration) {
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
    run_loop_for(20ms);
    EXPECT_EQ(attempted_hosts.size(), 1u);
  }
}

// A hedged attempt for a slow first attempt is due after the client has disconnected. The second
// pass, in which the client stays, shows that it would have been sent.
TEST_F(RaceTest, DoesNotHedgeForDisconnectedClient) {
  ceilings()["cancel"] = false;
  ceilings()["parallelTries"] = true;
  std::vector<std::shared_ptr<PeerConnection>> pending;
  start_with_two_hosts(
      [&](PeerConnection& c, std::size_t) { pending.push_back(c.shared_from_this()); });
  // Responses take 40 ms, so a hedged attempt is due after 2.5 times that, 100 ms.
  for (int i = 0; i < 4; ++i) {
    auto c = client();
    c->send(request_text("read"));
    ASSERT_TRUE(until([&] { return !pending.empty(); }));
    run_loop_for(40ms);
    pending.front()->reply(response_text(200, "", "x"));
    ASSERT_TRUE(until([&] { return c->responses.size() == 1; }));
    pending.clear();
  }
  for (const bool disconnects : {true, false}) {
    SCOPED_TRACE(disconnects);
    const std::size_t before = attempted_hosts.size();
    auto c = client();
    c->send(request_text("read"));
    ASSERT_TRUE(until([&] { return attempted_hosts.size() == before + 1; }));
    if (disconnects) {
      c->close();
      run_loop_for(600ms);
      EXPECT_EQ(attempted_hosts.size(), before + 1);
    } else {
      EXPECT_TRUE(until([&] { return attempted_hosts.size() == before + 2; }));
    }
    for (auto& connection : std::exchange(pending, {})) {
      connection->reply(response_text(200, "", "x"));
    }
    ASSERT_TRUE(until([&] { return gateway->active_requests() == 0; }));
  }
}

// --- Shutdown ---

// A client that records the raw bytes and how its connection ended: `end_error` is eof after an
// orderly end.
struct RawClient {
  RawClient(asio::io_context& io, const tcp::endpoint& to) : socket(io) { socket.connect(to); }
  void send(const std::string& text) { asio::write(socket, asio::buffer(text)); }
  void read() {
    socket.async_read_some(asio::buffer(bytes), [this](error_code ec, std::size_t n) {
      received.append(bytes.data(), n);
      end_error = ec;
      if (!ec) {
        read();
      } else if (on_end) {
        on_end();
      }
    });
  }
  tcp::socket socket;
  std::array<char, 4096> bytes{};
  std::string received;
  error_code end_error;
  std::function<void()> on_end;
};

// A client's next request arrives just after the gateway has shut down the idle connection. The
// gateway must read and discard it: closing with unread input would reset the connection, and a
// forwarded request could be executed without a response.
TEST_F(RaceTest, NeitherResetsNorForwardsRequestSentDuringIdleClose) {
  start_with_two_hosts(always_reply(response_text(200, "", "x")));
  RawClient c(io, gateway->local_endpoint());
  c.read();
  c.send(request_text("read"));
  ASSERT_TRUE(until([&] { return c.received.find("\r\n\r\nx") != std::string::npos; }));
  const std::size_t before = attempted_hosts.size();
  const std::string next = request_text("write");
  error_code late_write;
  error_code wait_result;
  bool done = false;
  bool connection_failed = false;
  // Runs in the read handler of the client. The gateway is on the same event loop, so it cannot
  // have closed its socket since it shut down the connection.
  c.on_end = [&] {
    asio::write(c.socket, asio::buffer(next), late_write);
    c.socket.async_wait(tcp::socket::wait_error, [&](error_code ec) {
      wait_result = ec ? ec : asio::error::connection_reset;
      connection_failed = true;
    });
  };
  gateway->stop([&] { done = true; });
  ASSERT_TRUE(until([&] { return bool(c.end_error); }));
  EXPECT_EQ(c.end_error, asio::error::eof);
  EXPECT_FALSE(late_write);
  run_loop_for(100ms);
  EXPECT_FALSE(connection_failed) << "its connection was reset";
  c.socket.close();
  EXPECT_TRUE(until([&] { return done; }));
  EXPECT_EQ(attempted_hosts.size(), before);
}

// Pipelined requests that were read before the stop must not be aborted: the client could not know
// which of them were executed.
TEST_F(RaceTest, RespondsToAllRequestsReadBeforeStop) {
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
  run_loop_for(20ms);  // all three requests are read
  bool done = false;
  gateway->stop([&] { done = true; });
  pending->reply(response_text(200, "", "first"));
  ASSERT_TRUE(until([&] { return bool(c.end_error); }));
  EXPECT_EQ(c.end_error, asio::error::eof);
  for (const char* body : {"first", "n1", "n2"}) {
    EXPECT_NE(c.received.find(body), std::string::npos) << c.received;
  }
  EXPECT_EQ(c.received.find("Connection: close"), c.received.rfind("Connection: close"))
      << "only the last response announces the close";
  c.socket.close();
  EXPECT_TRUE(until([&] { return done; }));
}

// At the stop a request has arrived in part, and the client sends more requests after its response.
// The first one is served; the further input is discarded, as closing with unread input would reset
// the connection before the client has read the response.
TEST_F(RaceTest, ServesPartialRequestAtStopAndDiscardsFollowingInput) {
  add_host("a", always_reply(response_text(200, "", "whole")));
  start();
  RawClient c(io, gateway->local_endpoint());
  c.read();
  const std::string request = request_text("write", "", "0123456789");
  c.send(request.substr(0, request.size() - 5));
  run_loop_for(20ms);
  bool done = false;
  gateway->stop([&] { done = true; });
  c.send(request.substr(request.size() - 5));
  ASSERT_TRUE(until([&] { return c.received.find("whole") != std::string::npos; }));
  for (int i = 0; i < 3; ++i) {
    c.send(request_text("write"));
  }
  ASSERT_TRUE(until([&] { return bool(c.end_error); }));
  EXPECT_EQ(c.end_error, asio::error::eof) << "the response is not lost to a reset";
  c.socket.close();
  EXPECT_TRUE(until([&] { return done; }));
  EXPECT_EQ(attempted_hosts.size(), 1u);
}

// At the connection limit, further connections wait to be accepted when the gateway stops. They may
// carry requests already, which closing the listening socket would reset.
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
  ASSERT_TRUE(until([&] { return pending.size() == 5; })) << "the limit may be exceeded by one";
  bool done = false;
  gateway->stop([&] { done = true; });
  run_loop_for(750ms);  // kStopAcceptingDelay has passed, and there is no capacity
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
    EXPECT_NE(c->received.find("200"), std::string::npos) << c->end_error.message();
  }
}

// Guards against a request that is lost for a new connection: its head of many fields has been read
// and waits for its turn to be parsed.
TEST_F(RaceTest, LongHeadThatWaitsForItsTurnIsNotClosedForNewConnection) {
  add_host("a", always_reply(response_text(200, "", "ok")));
  waits.clients.connections = 1;
  start();
  std::string fields;
  for (int i = 0; i < 300; ++i) {
    fields += "ab:1\r\n";
  }
  auto waiting = client();
  io.restart();
  io.run_for(100ms);  // longer than a new connection is spared
  waiting->send(request_text("read", fields));
  auto next = client();
  ASSERT_TRUE(until([&] { return !waiting->responses.empty() || waiting->closed_by_peer; }));
  ASSERT_EQ(waiting->responses.size(), 1u);
  EXPECT_EQ(waiting->responses[0].result_int(), 200u);
}

// Guards against timers that expired, and wait in the event loop's queue, when their gateway is
// destroyed: their handlers used it (found by the address sanitizer).
TEST_F(RaceTest, ExpiredTimersDoNotUseDestroyedGateway) {
  add_host("a", always_reply(response_text(200, "", "ok")));
  start();
  io.restart();
  io.run_for(20ms);
  std::this_thread::sleep_for(300ms);  // longer than the intervals of the sweeps
  asio::post(io, [this] { gateway.reset(); });
  io.restart();
  io.run_for(50ms);
  EXPECT_EQ(gateway, nullptr);
}

// A handler of the accept loop is pending when stop_accepting() is called without free capacity. It
// must not restart the timer with which the stop waits for capacity: the stop would never complete.
// The handler is always pending here, as the connections wait before the event loop first runs.
TEST_F(RaceTest, StopAtConnectionLimitCompletesWithPendingAccept) {
  http::ClientListener::Limits limits;
  limits.connections = 1;
  std::vector<http::ExchangeId> exchanges;
  bool all_closed = false;
  http::ClientListener listener(
      io, {loopback(), std::nullopt}, limits,
      {[&](http::ClientRequest request) { exchanges.push_back(request.exchange); },
       [](http::ExchangeId, std::chrono::nanoseconds) {},
       [](http::ExchangeId) {
       }});
  listener.on_empty = [&] {
    all_closed = true;
  };
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 3; ++i) {
    clients.push_back(std::make_unique<RawClient>(io, listener.local_endpoint()));
    clients.back()->read();
    clients.back()->send(request_text("write"));
    clients.back()->on_end = [&socket = clients.back()->socket] {
      socket.close();
    };
  }
  listener.close_idle(true);
  listener.stop_accepting(20s);
  ASSERT_TRUE(until([&] { return exchanges.size() == 2; })) << "the limit may be exceeded by one";
  EXPECT_TRUE(listener.accepting()) << "the third connection still waits";
  std::size_t responded = 0;
  ASSERT_TRUE(until([&] {
    for (; responded < exchanges.size(); ++responded) {
      http::HttpResponse response;
      response.status = beast_http::status::ok;
      listener.respond(exchanges[responded], std::move(response));
    }
    return all_closed;
  }));
  EXPECT_FALSE(listener.accepting());
  for (auto& c : clients) {
    EXPECT_NE(c->received.find("200"), std::string::npos) << c->end_error.message();
  }
}

// --- Discovery ---

// A poll without a response is overdue, not failed: a second one is sent in parallel, and a drain
// in the late response to the first one still applies.
TEST_F(RaceTest, StartsSecondPollBesideOverdueOneAndReadsBoth) {
  waits.discovery.call_timeout = 50ms;
  ScriptedDiscovery scripted(io);
  start_with_known_version(1, scripted);
  const auto began_at = Clock::now();
  ASSERT_TRUE(until([&] { return scripted.calls.size() == 2; }));
  EXPECT_LT(Clock::now() - began_at, 450ms)
      << "after the timeout of a call, not after the pause that follows a failed one";
  EXPECT_FALSE(scripted.calls[0]->closed_by_peer);
  scripted.respond(0, 2, false, json::array({target("s-0", hosts[0]->endpoint, "a", "DRAINING")}));
  ASSERT_TRUE(until([&] { return scripted.calls[0]->closed_by_peer; }));
  scripted.respond(1, 2, false, json::array());
  ASSERT_TRUE(until([&] { return scripted.calls.size() >= 3; }));
  EXPECT_NE(scripted.request_targets[2].find("since=2&timeout_ms=20000"), std::string::npos)
      << scripted.request_targets[2];
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(send_request(request_text("read")).body(), "1");
  }
}

// After a reload the first call to the new discovery server gets no response, the second one does.
// The watch on the old server is closed only then.
struct ReloadTest : RaceTest {
  void expect_list_after_lost_first_call(std::chrono::milliseconds max_delay) {
    add_two_hosts();
    start();
    ASSERT_TRUE(until([&] { return discovery.pending_watches.size() == 1; }));
    ScriptedDiscovery moved(io);
    config["discovery"] = text_of(moved.peer.endpoint);
    const auto began_at = Clock::now();
    gateway->reload(config::parse_config(config, [](const char*) { return nullptr; }));
    ASSERT_TRUE(until([&] { return moved.calls.size() == 2; }));
    EXPECT_LT(Clock::now() - began_at, max_delay);
    EXPECT_EQ(moved.request_targets[1], "/discovery/hosts");
    moved.respond(1, 1, true, json::array({target("s-1", hosts[1]->endpoint)}));
    ASSERT_TRUE(until([&] { return discovery.pending_watches[0]->closed_by_peer; }));
    for (int i = 0; i < 6; ++i) {
      EXPECT_EQ(send_request(request_text("read")).body(), "1")
          << "hosts missing from the new list are removed";
    }
  }
};

TEST_F(ReloadTest, StartsSecondPollWithoutFailureBackoff) {
  waits.discovery.call_timeout = 50ms;
  expect_list_after_lost_first_call(450ms);
}

// With the time limits of the program: the list of the new discovery server must apply within 4 s
// of SIGHUP, plus 0.5 s for a draining host, and its response may take 2.01 s.
TEST_F(ReloadTest, AppliesListOfNewDiscoveryInTime) {
  expect_list_after_lost_first_call(2500ms);
}

// Two reloads during one call: only the last one counts, whatever the first new server responds
// later.
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
  first.respond(0, 9, true, json::array({target("s-0", hosts[0]->endpoint)}));
  last.respond(0, 1, true, json::array({target("s-1", hosts[1]->endpoint)}));
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
  start_with_known_version(40, scripted);
  ASSERT_TRUE(until([&] { return scripted.calls.size() == 1; }));
  scripted.respond(0, 40, false, json::array());
  ASSERT_TRUE(until([&] { return scripted.calls.size() == 3; }))
      << "a second watch beside the overdue one";
  scripted.respond(2, 2, true, json::array({target("s-1", hosts[1]->endpoint)}));
  ASSERT_TRUE(until([&] { return scripted.calls.size() == 4; }));
  EXPECT_NE(scripted.request_targets[3].find("since=2&"), std::string::npos)
      << scripted.request_targets[3];
  scripted.respond(1, 41, false, json::array({target("s-0", hosts[0]->endpoint)}));
  ASSERT_TRUE(until([&] { return scripted.calls[1]->closed_by_peer; }));
  for (int i = 0; i < 12; ++i) {
    EXPECT_EQ(send_request(request_text("read")).body(), "1");
  }
}

// A list may have every framing of HTTP/1.1, be a snapshot or a delta, be indented, and arrive byte
// by byte; a watch may also end without a response.
TEST_F(RaceTest, AcceptsEveryListFramingAndReopensEndedWatch) {
  ScriptedDiscovery scripted(io);
  start_with_known_version(1, scripted);
  ASSERT_TRUE(until([&] { return scripted.calls.size() == 1; }));
  scripted.respond(0, 1, false, json::array());
  ASSERT_TRUE(until([&] { return scripted.calls.size() == 2; }));
  const auto list = [&](int version, std::size_t host) {
    return json{{"rev", version}, {"all", true}, {"targets", {discovery.list[host]}}}.dump(2);
  };
  const auto in_chunks = [](const std::string& text, std::size_t size) {
    std::string all = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t at = 0; at < text.size(); at += size) {
      all += http::encode_chunk(text.substr(at, size));
    }
    return all + "0\r\n\r\n";
  };
  std::size_t call = 1;
  const std::array<std::function<void(std::string)>, 5> framings{
      [&](std::string text) { scripted.calls[call]->reply(response_text(200, "", text)); },
      [&](std::string text) { scripted.calls[call]->reply(in_chunks(text, 1)); },
      [&](std::string text) {
        scripted.calls[call]->reply(response_text(200, "Connection: close\r\n", text), true);
      },
      [&](std::string text) {
        scripted.calls[call]->reply("HTTP/1.1 200 OK\r\n\r\n" + text, true);
      },
      [&](std::string text) {  // byte by byte
        text = in_chunks(text, 7);
        for (const char byte : text) {
          scripted.calls[call]->reply(std::string(1, byte));
        }
      }};
  for (std::size_t i = 0; i < framings.size(); ++i) {
    SCOPED_TRACE(i);
    const std::size_t listed_host = (i + 1) % 2;
    framings[i](list(static_cast<int>(i) + 2, listed_host));
    ASSERT_TRUE(until([&] { return scripted.calls.size() == call + 2; }));
    ++call;
    EXPECT_NE(scripted.request_targets[call].find("since=" + std::to_string(i + 2) + "&"),
              std::string::npos);
    for (int n = 0; n < 3; ++n) {
      EXPECT_EQ(send_request(request_text("read")).body(), std::to_string(listed_host));
    }
  }
  for (const bool is_partial : {false, true}) {  // ends without a response, or within its body
    const auto began_at = Clock::now();
    if (is_partial) {
      scripted.calls[call]->reply("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"rev\":", true);
    } else {
      scripted.calls[call]->reset();
    }
    ASSERT_TRUE(until([&] { return scripted.calls.size() == call + 2; }));
    EXPECT_LT(Clock::now() - began_at, 2500ms);
    scripted.respond(++call, 6, false, json::array());
    ASSERT_TRUE(until([&] { return scripted.calls.size() == call + 2; }));
    ++call;
  }
}

// Responses with an oversized body or head, or without a valid list, are failed calls that are
// repeated. The known hosts must stay in use.
TEST_F(RaceTest, TreatsOversizedOrInvalidDiscoveryResponseAsFailure) {
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
  for (const std::string& response :
       {response_text(200, "", blanks),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n600000\r\n" + blanks, long_head,
        std::string("\x16\x03\x01noise\r\n\r\n"),
        response_text(200, "",
                      json{{"rev", 2}, {"all", true}, {"targets", {{{"uid", 7}}}}}.dump())}) {
    ASSERT_TRUE(until([&] { return scripted.calls.size() == call + 1; }));
    scripted.calls[call]->reply(response);
    ASSERT_TRUE(until(
        [&] { return scripted.calls[call]->closed_by_peer || scripted.calls.size() > call + 1; }));
    EXPECT_EQ(send_request(request_text("read")).result_int(), 200u);
    ++call;
  }
}

// One client pipelines hundreds of requests. The request of another client must be served while
// they wait.
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
      << "all pipelined requests are served in order";
  for (const Response& r : c->responses) {
    EXPECT_EQ(r.result_int(), 200u);
  }
}

// With registryMode "push" the simulator pushes endpoint lists. On sockets nothing pushes them, so
// the gateway must poll all the same.
TEST_F(RaceTest, PollsDiscoveryInPushMode) {
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
