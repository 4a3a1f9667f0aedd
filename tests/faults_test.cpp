// The fault proxy between two parties on loopback, and the spread figures counted at hosts.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <future>
#include <string>
#include <thread>

#include "lab/faults/proxy.hpp"
#include "lab/rig/spread.hpp"

namespace fennelridge::lab {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

// An echo party behind the proxy; a client in a thread of its own talks through it.
struct Through : ::testing::Test {
  asio::io_context io;
  tcp::acceptor echo{io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
  std::vector<std::string> log;
  FaultProxy proxy{io, echo.local_endpoint(), 5, [this](const std::string& line) { log.push_back(line); }};

  void serveEcho() {
    auto socket = std::make_shared<tcp::socket>(io);
    echo.async_accept(*socket, [this, socket](boost::system::error_code ec) {
      if (ec) return;
      serveEcho();
      pump(socket);
    });
  }
  void pump(const std::shared_ptr<tcp::socket>& socket) {
    auto data = std::make_shared<std::array<char, 256>>();
    socket->async_read_some(
        asio::buffer(*data), [this, socket, data](boost::system::error_code ec, std::size_t n) {
          if (ec) return;
          asio::async_write(*socket, asio::buffer(*data, n),
                            [this, socket, data](boost::system::error_code e, std::size_t) {
                              if (!e) pump(socket);
                            });
        });
  }
  // Sends "ping" and reads four bytes back; returns the error seen, if any, and the time it took.
  std::pair<boost::system::error_code, std::chrono::milliseconds> ping(tcp::socket& s) {
    const auto begin = std::chrono::steady_clock::now();
    boost::system::error_code ec;
    asio::write(s, asio::buffer(std::string("ping")), ec);
    std::array<char, 4> back{};
    if (!ec) asio::read(s, asio::buffer(back), ec);
    if (!ec) EXPECT_EQ(std::string(back.data(), 4), "ping");
    return {ec,
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin)};
  }
  // The proxy belongs to the loop's thread: a fault is set there, and the client waits for it.
  void set(const Fault& fault) {
    std::promise<void> done;
    asio::post(io, [&] {
      proxy.set(fault);
      done.set_value();
    });
    done.get_future().wait();
  }
  // A client socket whose reads give up after 2 s, so that a proxy that holds on fails the test, not hangs
  // it.
  static void bounded(tcp::socket& s) {
    const timeval limit{2, 0};
    setsockopt(s.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  }
  // Runs `client` in a thread while the loop turns, bounded at 5 s.
  template <class F>
  void whileRunning(F client) {
    std::atomic<bool> done{false};
    std::thread t([&] {
      client();
      done = true;
    });
    const auto until = std::chrono::steady_clock::now() + 5s;
    while (!done && std::chrono::steady_clock::now() < until) io.run_for(10ms);
    t.join();
    ASSERT_TRUE(done);
  }
};

TEST_F(Through, PassesThenDelaysThenCutsThenResetsAndLogsEachFault) {
  serveEcho();
  whileRunning([&] {
    asio::io_context mine;
    tcp::socket s(mine);
    s.connect(proxy.address());
    bounded(s);
    EXPECT_FALSE(ping(s).first);
    set({Fault::Kind::delay, 120ms, 30ms});
    const auto [error, took] = ping(s);  // one piece each way
    EXPECT_FALSE(error);
    EXPECT_GE(took, 240ms);
    set({Fault::Kind::cut});
    EXPECT_TRUE(ping(s).first);  // the open connection is closed under it
    tcp::socket again(mine);
    again.connect(proxy.address());
    bounded(again);  // taken by the kernel, then closed by the proxy
    EXPECT_TRUE(ping(again).first);
    set({Fault::Kind::pass});
    tcp::socket third(mine);
    third.connect(proxy.address());
    bounded(third);
    EXPECT_FALSE(ping(third).first);
    set({Fault::Kind::reset});
    EXPECT_EQ(ping(third).first, asio::error::connection_reset);
  });
  EXPECT_EQ(log, (std::vector<std::string>{"delay 120+30 ms", "cut", "pass", "reset"}));
  EXPECT_EQ(proxy.counts().reset, 1u);
  EXPECT_GE(proxy.counts().refused, 1u);
  EXPECT_EQ(proxy.fault().kind, Fault::Kind::pass);  // a reset is once
}

TEST(Spread, TellsAnEvenFleetFromAHerdAndAnIdleHost) {
  Landed even{{{10, 10, 10, 10}, {10, 10, 10, 10}}, {{2, 2, 2, 2}, {2, 2, 2, 2}}};
  const Spread e = spreadOf(even, 0, 2);
  EXPECT_DOUBLE_EQ(e.maxOverMean, 1);
  EXPECT_DOUBLE_EQ(e.variation, 0);
  EXPECT_EQ(e.idle, 0u);
  EXPECT_DOUBLE_EQ(e.herdPeak, 1);

  Landed herd{{{37, 1, 1, 1}}, {{12, 1, 1, 2}}};  // one host takes nearly all, three are idle
  const Spread h = spreadOf(herd, 0, 1);
  EXPECT_DOUBLE_EQ(h.mean, 10);
  EXPECT_DOUBLE_EQ(h.maxOverMean, 3.7);
  EXPECT_EQ(h.idle, 3u);
  EXPECT_DOUBLE_EQ(h.herdPeak, 3);
  EXPECT_NEAR(h.variation, 1.559, 0.001);

  const Spread some = spreadOf(herd, 0, 1, {1, 2});  // the chosen hosts alone
  EXPECT_DOUBLE_EQ(some.maxOverMean, 1);
  EXPECT_EQ(spreadOf(herd, 1, 1).mean, 0);  // an empty window
  EXPECT_THROW(spreadOf(herd, 0, 1, {9}), std::invalid_argument);
}

}  // namespace
}  // namespace fennelridge::lab
