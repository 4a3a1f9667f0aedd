// The fault proxy and the datagram mesh on loopback, the text form of faults, rig files, and the
// request spread over hosts.
#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <string>
#include <thread>

#include "lab/faults/datagram_mesh.hpp"
#include "lab/faults/proxy.hpp"
#include "lab/rig/plan.hpp"
#include "lab/rig/spread.hpp"

namespace gateway::lab {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

// An echo server behind the proxy; a client in a thread of its own connects through the proxy.
struct FaultProxyTest : ::testing::Test {
  asio::io_context io;
  tcp::acceptor echo{io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
  std::vector<std::string> log;
  FaultProxy proxy{io, echo.local_endpoint(), 5, [this](const std::string& line) {
                     log.push_back(line);
                   }};

  void serve_echo() {
    auto socket = std::make_shared<tcp::socket>(io);
    echo.async_accept(*socket, [this, socket](boost::system::error_code ec) {
      if (ec) {
        return;
      }
      serve_echo();
      pump(socket);
    });
  }
  void pump(const std::shared_ptr<tcp::socket>& socket) {
    auto data = std::make_shared<std::array<char, 256>>();
    socket->async_read_some(
        asio::buffer(*data), [this, socket, data](boost::system::error_code ec, std::size_t n) {
          if (ec) {
            return;
          }
          asio::async_write(*socket, asio::buffer(*data, n),
                            [this, socket, data](boost::system::error_code e, std::size_t) {
                              if (!e) {
                                pump(socket);
                              }
                            });
        });
  }
  // Sends "ping" and reads four bytes back; returns the error seen, if any, and the time it took.
  std::pair<boost::system::error_code, std::chrono::milliseconds> ping(tcp::socket& s) {
    const auto begin = std::chrono::steady_clock::now();
    boost::system::error_code ec;
    asio::write(s, asio::buffer(std::string("ping")), ec);
    std::array<char, 4> back{};
    if (!ec) {
      asio::read(s, asio::buffer(back), ec);
    }
    if (!ec) {
      EXPECT_EQ(std::string(back.data(), 4), "ping");
    }
    return {ec, std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::steady_clock::now() - begin)};
  }
  // The proxy is not thread-safe: the fault is set in the event loop's thread, and the caller
  // waits.
  void set(const Fault& fault) {
    std::promise<void> done;
    asio::post(io, [&] {
      proxy.set_fault(fault);
      done.set_value();
    });
    done.get_future().wait();
  }
  std::uint64_t bytes() {
    std::promise<std::uint64_t> count;
    asio::post(io, [&] { count.set_value(proxy.counts().bytes); });
    return count.get_future().get();
  }
  // Runs `client` in a thread while the event loop runs. A client that still blocks after 5 s ends
  // the test program, because nothing else can end its reads.
  template <class F>
  void while_running(F client) {
    std::atomic<bool> done{false};
    std::thread t([&] {
      client();
      done = true;
    });
    const auto until = std::chrono::steady_clock::now() + 5s;
    while (!done && std::chrono::steady_clock::now() < until) {
      io.run_for(10ms);
    }
    if (!done) {
      std::fprintf(stderr, "the client blocked for 5 s\n");
      std::_Exit(1);
    }
    t.join();
  }
};

TEST_F(FaultProxyTest, AppliesAndLogsEachFault) {
  serve_echo();
  while_running([&] {
    asio::io_context mine;
    tcp::socket s(mine);
    s.connect(proxy.address());
    EXPECT_FALSE(ping(s).first);
    set(read_fault("delay=120+30"));
    const auto [error, took] = ping(s);  // one delay each way
    EXPECT_FALSE(error);
    EXPECT_GE(took, 240ms);
    set(read_fault("cut"));
    EXPECT_TRUE(ping(s).first);  // closes the open connection
    tcp::socket again(mine);
    again.connect(proxy.address());
    EXPECT_TRUE(ping(again).first);
    set({});
    tcp::socket third(mine);
    third.connect(proxy.address());
    EXPECT_FALSE(ping(third).first);
    set(read_fault("reset"));
    EXPECT_EQ(ping(third).first, asio::error::connection_reset);
  });
  EXPECT_EQ(log, (std::vector<std::string>{"delay=120+30", "cut", "pass", "reset"}));
  EXPECT_EQ(proxy.counts().reset, 1u);
  EXPECT_GE(proxy.counts().refused, 1u);
  EXPECT_EQ(proxy.fault(), Fault{});  // a reset applies once
}

TEST_F(FaultProxyTest, SilenceDelaysOneDirectionWithoutLoss) {
  serve_echo();
  while_running([&] {
    asio::io_context mine;
    tcp::socket s(mine);
    s.connect(proxy.address());
    EXPECT_FALSE(ping(s).first);
    set(read_fault("silent-back"));  // delays the response, not the request
    asio::write(s, asio::buffer(std::string("held")));
    while (bytes() < 16) {
      std::this_thread::yield();  // until the echo has reached the proxy
    }
    EXPECT_EQ(s.available(), 0u);
    set({});
    std::array<char, 4> back{};
    boost::system::error_code ec;
    asio::read(s, asio::buffer(back), ec);
    EXPECT_FALSE(ec);
    EXPECT_EQ(std::string(back.data(), 4), "held");
    EXPECT_FALSE(ping(s).first);  // the connection remains usable
  });
}

TEST_F(FaultProxyTest, RateLimitDelaysDataByItsSize) {
  serve_echo();
  while_running([&] {
    asio::io_context mine;
    tcp::socket s(mine);
    s.connect(proxy.address());
    set(read_fault("rate=2"));  // 2 kB a second: 200 bytes there and back take 200 ms
    const auto begin = std::chrono::steady_clock::now();
    const std::string piece(200, 'x');
    asio::write(s, asio::buffer(piece));
    std::string back(piece.size(), ' ');
    boost::system::error_code ec;
    asio::read(s, asio::buffer(back), ec);
    EXPECT_FALSE(ec);
    EXPECT_EQ(back, piece);
    EXPECT_GE(std::chrono::steady_clock::now() - begin, 200ms);
  });
}

TEST(FaultText, IsReadBackAsWrittenAndRejectsBadText) {
  for (const char* text :
       {"pass", "cut", "reset", "silent", "silent-there", "delay=50+20,loss=0.1,copy=0.05",
        "spoil=0.01,rate=64", "silent-back,delay=5"}) {
    EXPECT_EQ(text_of(read_fault(text)), text);
  }
  for (const char* text :
       {"", "cuts", "delay=", "delay=-5", "delay=5+", "loss=2", "loss=x", "rate=0", "cut,,reset"}) {
    EXPECT_THROW(read_fault(text), std::invalid_argument) << text;
  }
  const Fault both =
      combine(read_fault("delay=10,loss=0.5"), read_fault("delay=5+5,loss=0.5,silent-there"));
  EXPECT_EQ(text_of(both), "silent-there,delay=15+5,loss=0.75");
}

// Three members on a mesh; each records the sender's port and the text of every datagram.
struct DatagramMeshTest : ::testing::Test {
  struct Member {
    asio::ip::udp::socket socket;
    asio::ip::udp::endpoint from;
    std::array<char, 256> buffer{};
    std::vector<std::pair<unsigned short, std::string>> got;
  };
  asio::io_context io;
  DatagramMesh mesh{io, 11};
  std::vector<std::unique_ptr<Member>> members;

  void SetUp() override {
    for (int i = 0; i < 3; ++i) {
      members.push_back(std::make_unique<Member>(
          Member{{io, {asio::ip::address_v4::loopback(), 0}}, {}, {}, {}}));
      mesh.add(members.back()->socket.local_endpoint());
      receive(*members.back());
    }
  }
  void receive(Member& p) {
    p.socket.async_receive_from(
        asio::buffer(p.buffer), p.from, [this, &p](boost::system::error_code ec, std::size_t n) {
          if (ec) {
            return;
          }
          p.got.emplace_back(p.from.port(), std::string(p.buffer.data(), n));
          receive(p);
        });
  }
  void send(std::size_t from, std::size_t to, const std::string& text) {
    members[from]->socket.send_to(asio::buffer(text), mesh.address(to));
  }
  // Runs the event loop until `done`, 3 s at most.
  template <class Done>
  void run_until(Done done) {
    const auto until = std::chrono::steady_clock::now() + 3s;
    while (!done() && std::chrono::steady_clock::now() < until) {
      io.run_for(5ms);
    }
  }
};

TEST_F(DatagramMeshTest, ShowsSendersByMeshAddressAndSilencesOneDirectionOnly) {
  send(0, 1, "hello");
  run_until([&] { return members[1]->got.size() == 1; });
  ASSERT_EQ(members[1]->got.size(), 1u);
  EXPECT_EQ(members[1]->got[0].first, mesh.address(0).port());
  mesh.set_fault(0, 1, read_fault("silent"));
  send(0, 1, "lost");
  send(1, 0, "there");
  send(0, 2, "other");
  run_until([&] { return members[0]->got.size() == 1 && members[2]->got.size() == 1; });
  EXPECT_EQ(members[0]->got.size(), 1u);
  EXPECT_EQ(members[2]->got.size(), 1u);
  EXPECT_EQ(mesh.counts(0).lost, 1u);
  mesh.set_fault(0, 1, {});
  send(0, 1, "again");
  run_until([&] { return members[1]->got.size() == 2; });
  ASSERT_EQ(members[1]->got.size(), 2u);
  EXPECT_EQ(members[1]->got[1].second, "again");
  asio::ip::udp::socket stranger(io, {asio::ip::address_v4::loopback(), 0});
  stranger.send_to(asio::buffer(std::string("who")), mesh.address(1));
  run_until([&] { return mesh.unknown_senders() == 1; });
  EXPECT_EQ(mesh.unknown_senders(), 1u);
  EXPECT_EQ(members[1]->got.size(), 2u);
}

TEST_F(DatagramMeshTest, LosesDuplicatesCorruptsAndDelaysDatagrams) {
  mesh.set_fault(0, 1, read_fault("loss=0.3,copy=0.2"));
  mesh.set_fault(0, 2, read_fault("spoil=1,delay=20+20"));
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < 200; ++i) {
    send(0, 1, "datagram " + std::to_string(i));
  }
  send(0, 2, "spoilt");
  run_until([&] { return mesh.counts(0).datagrams == 201 && members[2]->got.size() == 1; });
  const auto& c = mesh.counts(0);
  EXPECT_EQ(members[1]->got.size() + c.lost, 200 + c.duplicated);
  EXPECT_NEAR(static_cast<double>(c.lost), 60, 25);
  EXPECT_GT(c.duplicated, 10u);
  ASSERT_EQ(members[2]->got.size(), 1u);
  EXPECT_NE(members[2]->got[0].second, "spoilt");
  EXPECT_GE(std::chrono::steady_clock::now() - begin, 20ms);
}

TEST(Spread, DistinguishesEvenLoadFromAHerdAndAnIdleHost) {
  const auto counted = [](HostArrivals::Table requests, HostArrivals::Table peaks) {
    HostArrivals landed;
    landed.requests = std::move(requests);
    landed.peak_active = std::move(peaks);
    return landed;
  };
  const HostArrivals even =
      counted({{10, 10, 10, 10}, {10, 10, 10, 10}}, {{2, 2, 2, 2}, {2, 2, 2, 2}});
  const Spread e = spread_of(even, 0, 2);
  EXPECT_DOUBLE_EQ(e.max_over_mean, 1);
  EXPECT_DOUBLE_EQ(e.variation, 0);
  EXPECT_EQ(e.idle, 0u);
  EXPECT_DOUBLE_EQ(e.herd_peak, 1);

  // one host receives nearly all requests, three count as idle
  const HostArrivals herd = counted({{37, 1, 1, 1}}, {{12, 1, 1, 2}});
  const Spread h = spread_of(herd, 0, 1);
  EXPECT_DOUBLE_EQ(h.mean_requests, 10);
  EXPECT_DOUBLE_EQ(h.max_over_mean, 3.7);
  EXPECT_EQ(h.idle, 3u);
  EXPECT_DOUBLE_EQ(h.herd_peak, 3);
  EXPECT_NEAR(h.variation, 1.559, 0.001);

  const Spread some = spread_of(herd, 0, 1, {1, 2});  // the selected hosts only
  EXPECT_DOUBLE_EQ(some.max_over_mean, 1);
  EXPECT_EQ(spread_of(herd, 1, 1).mean_requests, 0);  // an empty window
  EXPECT_EQ(spread_of(herd, 0, 1, {0, 9}).idle, 1u);  // a host without any request

  HostArrivals counting;
  counting.slot_s = 0.1;
  counting.add_request(0.05, 0, 3);
  counting.add_request(0.15, 1, 1);
  counting.add_request(1.25, 1, 2);
  counting.add_request(-1, 0, 9);
  counting.add_handshake(1.2, 1);
  EXPECT_EQ(by_second(counting.requests, counting.slot_s), (HostArrivals::Table{{1, 1}, {0, 1}}));
  EXPECT_DOUBLE_EQ(spread_of(counting, 0, 2).handshakes_per_request, 1 / 3.0);
  EXPECT_DOUBLE_EQ(spread_of(counting, 1, 2, {0, 1}).mean_requests, 0.5);
}

TEST(IndexSet, ParsesListsRangesAndRemaindersAndRejectsBadText) {
  EXPECT_EQ(IndexSet("all").below(3), (std::vector<std::uint32_t>{0, 1, 2}));
  EXPECT_EQ(IndexSet("3:1").below(8), (std::vector<std::uint32_t>{1, 4, 7}));
  EXPECT_EQ(IndexSet("2-4,7").below(6), (std::vector<std::uint32_t>{2, 3, 4}));
  EXPECT_EQ(IndexSet("!2:0").below(5), (std::vector<std::uint32_t>{1, 3}));
  EXPECT_EQ(IndexSet("all,!0-2").below(5), (std::vector<std::uint32_t>{3, 4}));
  EXPECT_FALSE(IndexSet().contains(0));
  for (const char* text : {"", "x", "3:3", "0:0", "5-2", "1,,2", "-1"}) {
    EXPECT_THROW(IndexSet{text}, std::invalid_argument) << text;
  }
}

TEST(RigPlan, ReportsEachErrorWithItsField) {
  const RigReading good =
      read_rig_plan(nlohmann::json::parse(R"({"scenario": "x.json", "set": {"gateways.count": 20},
    "faults": [{"from_s": 2, "for_s": 6, "gateways": "3:0", "to": "hosts", "hosts": "0-4",
                "fault": "silent"}],
    "moves": [{"at_s": 3, "gateways": "8:1", "what": "pause", "for_s": 3}],
    "within": {"max_over_mean": 2}})"));
  ASSERT_TRUE(good.errors.empty()) << good.errors[0].where << good.errors[0].what;
  EXPECT_EQ(good.plan.overrides, std::vector<std::string>{"gateways.count=20"});
  EXPECT_TRUE(good.plan.faults[0].fault.drop_backward);
  EXPECT_TRUE(good.plan.faults[0].hosts.contains(4));
  EXPECT_EQ(good.plan.moves[0].what, RigMove::What::pause);
  EXPECT_DOUBLE_EQ(good.plan.bounds.max_over_mean, 2);
  const RigReading bad = read_rig_plan(
      nlohmann::json::parse(R"({"senario": "x", "faults": [{"fault": "cuts", "for_s": 1},
    {"to": "gateway", "for_s": 1}, {"from_s": 1}], "moves": [{"what": "term"}],
    "within": {"served": 2}})"));
  std::vector<std::string> where;
  for (const ValidationError& m : bad.errors) {
    where.push_back(m.where);
  }
  EXPECT_EQ(where, (std::vector<std::string>{"senario", "scenario", "faults[0]", "faults[1].to",
                                             "faults[2].for_s", "moves[0].what", "within.served"}));
}

}  // namespace
}  // namespace gateway::lab
