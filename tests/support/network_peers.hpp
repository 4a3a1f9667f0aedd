// Scripted peers on loopback for the gateway's tests: hosts, clients and discovery, all on the
// test's own event loop and thread. Tests wait for a condition instead of a fixed time, at
// most for kWaitTimeout.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <limits>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace gateway::testing {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;
using Request = beast_http::request<beast_http::string_body>;
using Response = beast_http::response<beast_http::string_body>;

// Limit of every wait; long, so that a slow machine does not fail a test.
inline constexpr auto kWaitTimeout = std::chrono::seconds(30);

// Runs the event loop until the predicate is true, at most for kWaitTimeout. The result is a
// failure if it did not become true.
template <class Predicate>
::testing::AssertionResult run_until(asio::io_context& io, Predicate predicate) {
  const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!predicate()) {
    if (std::chrono::steady_clock::now() > end) {
      return ::testing::AssertionFailure() << "condition not met within 30 s";
    }
    io.restart();
    io.run_one_for(std::chrono::milliseconds(50));
  }
  return ::testing::AssertionSuccess();
}

// 127.0.0.1; port 0 lets the system choose the port.
inline tcp::endpoint loopback(unsigned short port = 0) {
  return {asio::ip::make_address("127.0.0.1"), port};
}
// ADDRESS:PORT
inline std::string text_of(const tcp::endpoint& e) {
  return e.address().to_string() + ":" + std::to_string(e.port());
}
// A whole response; `headers` is empty or ends with a line break.
inline std::string response_text(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A connection that a Peer has accepted. Reads requests one after another and calls the script for
// each. Kept alive by its Peer and by pending operations.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  using Script = std::function<void(PeerConnection&)>;

  PeerConnection(tcp::socket socket, Script script)
      : socket_(std::move(socket)), script_(std::move(script)) {}

  void read() {
    parser_.emplace();
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    beast_http::async_read(socket_, buffer_, *parser_,
                           [self = shared_from_this()](error_code ec, std::size_t) {
                             if (ec) {
                               self->closed_by_peer = true;
                               return;
                             }
                             self->request = self->parser_->release();
                             // Watches at once, so that closing by the other side is noticed while
                             // the script delays its reply.
                             self->script_(*self);
                             if (self->open) {
                               self->watch();
                             }
                           });
  }
  // Writes any text, also one that is no valid response.
  void reply(const std::string& text, bool then_close = false) {
    auto buffer = std::make_shared<std::string>(text);
    asio::async_write(socket_, asio::buffer(*buffer),
                      [self = shared_from_this(), buffer, then_close](error_code, std::size_t) {
                        if (then_close) {
                          self->close();
                        }
                      });
  }
  void close() {
    open = false;
    error_code ignored;
    socket_.close(ignored);
  }
  // Closes with a TCP reset.
  void reset() {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
  }

  Request request;  // the latest one
  bool open = true, closed_by_peer = false;

 private:
  // Reads the next request as soon as there is something to read.
  void watch() {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
      if (!ec && self->open) {
        self->read();
      }
    });
  }

  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<beast_http::request_parser<beast_http::string_body>> parser_;
  Script script_;
};

// A server on loopback that calls the script for each request. The connections are closed with it.
class Peer {
 public:
  Peer(asio::io_context& io, PeerConnection::Script s)
      : script(std::move(s)), acceptor_(io, loopback()) {
    endpoint = acceptor_.local_endpoint();
    accept();
  }
  ~Peer() {
    for (auto& c : connections) {
      c->close();
    }
  }
  void stop_listening() { acceptor_.close(); }

  tcp::endpoint endpoint;
  PeerConnection::Script script;
  std::vector<std::shared_ptr<PeerConnection>> connections;
  std::vector<Request> requests;

 private:
  void accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) {
        return;
      }
      connections.push_back(
          std::make_shared<PeerConnection>(std::move(socket), [this](PeerConnection& c) {
            requests.push_back(c.request);
            if (script) {
              script(c);
            }
          }));
      connections.back()->read();
      accept();
    });
  }
  tcp::acceptor acceptor_;
};

// Service discovery: responds to polls at once, and to watches (long polls with
// timeout_ms=20000) when push() is called.
class FakeDiscovery {
 public:
  explicit FakeDiscovery(asio::io_context& io)
      : peer(io, [this](PeerConnection& c) { respond(c); }) {}

  // Responds to all pending watches with `changes` under the next version.
  void push(json changes) {
    changes["rev"] = ++version;
    for (auto& c : std::exchange(pending_watches, {})) {
      c->reply(response_text(200, "", changes.dump()));
    }
  }

  Peer peer;
  json list = json::array();  // the endpoint list that a poll without `since` returns
  int version = 1;
  bool failing = false;  // responds with status 503 and closes the connection
  std::vector<std::string> request_targets;
  std::vector<std::shared_ptr<PeerConnection>> pending_watches;

 private:
  void respond(PeerConnection& c) {
    request_targets.push_back(c.request.target().to_string());
    if (failing) {
      return c.reply(response_text(503, "Connection: close\r\n", ""), true);
    }
    const bool is_watch = request_targets.back().find("timeout_ms=20000") != std::string::npos;
    if (is_watch) {
      return pending_watches.push_back(c.shared_from_this());
    }
    const bool is_full = request_targets.back().find("since=") == std::string::npos;
    c.reply(response_text(
        200, "",
        json{{"rev", version}, {"all", is_full}, {"targets", is_full ? list : json::array()}}
            .dump()));
  }
};

// A client's connection. Sends any text and records the responses.
class Client : public std::enable_shared_from_this<Client> {
 public:
  static std::shared_ptr<Client> connect(asio::io_context& io, const tcp::endpoint& to) {
    auto c = std::shared_ptr<Client>(new Client(io));
    c->socket_.connect(to);
    c->read();
    return c;
  }
  void send(const std::string& text) {
    auto buffer = std::make_shared<std::string>(text);
    asio::async_write(socket_, asio::buffer(*buffer),
                      [self = shared_from_this(), buffer](error_code, std::size_t) {});
  }
  void close() { socket_.close(); }

  std::vector<Response> responses;
  bool closed_by_peer = false;

 private:
  explicit Client(asio::io_context& io) : socket_(io) {}
  void read() {
    parser_.emplace();
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    beast_http::async_read(socket_, buffer_, *parser_,
                           [self = shared_from_this()](error_code ec, std::size_t) {
                             if (ec) {
                               self->closed_by_peer = true;
                               return;
                             }
                             self->responses.push_back(self->parser_->release());
                             self->read();
                           });
  }
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<beast_http::response_parser<beast_http::string_body>> parser_;
};

// Settings of a request class with times of 20 s, so that no deadline passes on a slow machine. A
// test that waits for a deadline shortens them.
inline json class_json(const std::string& name, const std::string& idempotency,
                       const std::string& deduplication_scope = "all") {
  return {{"name", name},
          {"effect", idempotency},
          {"group", deduplication_scope},
          {"aimNs", 20'000'000'000},
          {"giveUpNs", 20'000'000'000},
          {"windowNs", 20'000'000'000},
          {"points", 1.0}};
}

// Configuration of a gateway in zone "a" with the classes 0 "read" (idempotent), 1 "write"
// (non-idempotent) and 2 "put" (deduplicated within a zone).
inline json config_json() {
  return {{"name", "n0"},
          {"listen", "127.0.0.1:0"},
          {"discovery", "127.0.0.1:1"},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"sockets", 256}}},
          {"settings",
           {{"groupSize", 1},
            {"zone", "a"},
            {"registryMode", "ask"},
            {"stepNs", 5'000'000},
            {"ceilings",
             {{"cancel", true},
              {"maxAttempts", 6},
              {"connectTimeoutNs", 5'000'000'000},
              {"idleCloseNs", 60'000'000'000},
              {"maxRetryAfterNs", 1'000'000'000}}},
            {"rules",
             {{"askWithinNs", 10'000'000'000},
              {"coldNs", 9'000'000'000},
              {"coldShare", 0.32},
              {"fallMultiple", 3.0},
              {"fallNs", 2'000'000'000}}},
            {"grades", json::array({class_json("read", "retryable"), class_json("write", "fragile"),
                                    class_json("put", "dedup", "zone")})}}}};
}

// An entry of the endpoint list.
inline json target(const std::string& uid, const tcp::endpoint& endpoint,
                   const std::string& zone = "a", const std::string& state = "SERVING") {
  return {{"uid", uid},           {"endpoint", text_of(endpoint)},
          {"az", zone},           {"model", "m"},
          {"pod_group", 0},       {"state", state},
          {"capacity_hint", 1.0}, {"boot_ms", 0}};
}

}  // namespace gateway::testing
