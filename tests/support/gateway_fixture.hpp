// Test fixture: a gateway with scripted hosts, clients and discovery on one event loop.
#pragma once

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "gateway/gateway.hpp"
#include "support/network_peers.hpp"

namespace gateway::testing {

// Members are destroyed in reverse order: the gateway before its peers and the event loop.
class GatewayFixture : public ::testing::Test {
 protected:
  asio::io_context io;
  FakeDiscovery discovery{io};
  std::vector<std::unique_ptr<Peer>> hosts;
  // Both take effect in start().
  json config = config_json();
  Gateway::Overrides waits;
  std::vector<std::string> log_lines;
  event_log::EventLog event_log{{true, 100000}, [this](std::string_view line) {
                                  log_lines.emplace_back(line);
                                }};
  std::unique_ptr<Gateway> gateway;
  int serial = 0;                            // number in the latest request id
  std::vector<std::string> attempted_hosts;  // uid of the host of each attempt, in order

  // A host's behaviour: called for each attempt with the attempt's number over all hosts, from 0.
  using Script = std::function<void(PeerConnection&, std::size_t)>;

  // Starts a host and adds it to the endpoint list; its uid is "s-<number>", counted from 0.
  tcp::endpoint add_host(const std::string& zone, Script script,
                         const std::string& state = "SERVING") {
    const std::string uid = "s-" + std::to_string(hosts.size());
    hosts.push_back(std::make_unique<Peer>(io, [this, uid, script](PeerConnection& c) {
      attempted_hosts.push_back(uid);
      script(c, attempted_hosts.size() - 1);
    }));
    discovery.list.push_back(target(uid, hosts.back()->endpoint, zone, state));
    return hosts.back()->endpoint;
  }
  // Starts the gateway. Unless `config` names a known endpoint list, it knows all hosts so far.
  void start() {
    config["discovery"] = text_of(discovery.peer.endpoint);
    if (!config.contains("known")) {
      config["known"] = {{"rev", 1}, {"all", true}, {"targets", discovery.list}};
    }
    gateway = std::make_unique<Gateway>(
        io, config::parse_config(config, [](const char*) { return nullptr; }), waits, event_log);
  }
  // See run_until().
  template <class Predicate>
  ::testing::AssertionResult until(Predicate predicate) {
    return run_until(io, predicate);
  }
  // Runs the event loop for this time.
  void run_loop_for(std::chrono::milliseconds time) {
    asio::steady_timer timer(io, time);
    bool expired = false;
    timer.async_wait([&](error_code) { expired = true; });
    ASSERT_TRUE(until([&] { return expired; }));
  }
  std::shared_ptr<Client> client() { return Client::connect(io, gateway->local_endpoint()); }
  // A request of a class ("read", "write" or "put") with an id of its own.
  std::string request_text(const std::string& class_name, const std::string& headers = "",
                           const std::string& body = "") {
    const std::string id = "X-Request-Id: r" + std::to_string(++serial) + "\r\n";
    if (class_name == "read") {
      return "GET /read HTTP/1.1\r\nHost: x\r\nX-Class: read\r\n" + id + headers + "\r\n";
    }
    return "POST /" + class_name + " HTTP/1.1\r\nHost: x\r\nX-Class: " + class_name + "\r\n" + id +
           headers + (class_name == "put" ? "Idempotency-Key: k1\r\n" : "") +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  // Sends one request on a new connection and returns its response; empty if closed without one.
  Response send_request(const std::string& request) {
    auto c = client();
    c->send(request);
    EXPECT_TRUE(until([&] { return !c->responses.empty() || c->closed_by_peer; }));
    if (c->responses.empty()) {
      return {};
    }
    return c->responses.front();
  }
  static Script always_reply(const std::string& reply) {
    return [reply](PeerConnection& c, std::size_t) {
      c.reply(reply);
    };
  }
  // Runs `fault` on the very first attempt and responds to each later one with status 200.
  static Script first_attempt(std::function<void(PeerConnection&)> fault) {
    return [fault](PeerConnection& c, std::size_t n) {
      if (n == 0) {
        fault(c);
      } else {
        c.reply(response_text(200, "", "late"));
      }
    };
  }
  // Sets the latency objective to 400 ms and the client timeout to 1 s; call before start().
  void shorten_class_times(std::size_t cls) {
    config["settings"]["grades"][cls]["aimNs"] = 400'000'000;
    config["settings"]["grades"][cls]["giveUpNs"] = 1'000'000'000;
  }
  void start_with_two_hosts(const Script& script) {
    add_host("a", script);
    add_host("a", script);
    start();
  }
};

}  // namespace gateway::testing
