#include "lab/soak/discovery_server.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdlib>
#include <optional>

#include "lab/soak/stray_plan.hpp"

namespace gateway::lab {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using boost::system::error_code;
using nlohmann::json;
using tcp = asio::ip::tcp;

// One connection of a gateway; at most one watch waits on it.
class DiscoveryConnection : public std::enable_shared_from_this<DiscoveryConnection> {
 public:
  DiscoveryConnection(DiscoveryServer& server, tcp::socket socket)
      : server_(&server), socket_(std::move(socket)), timer_(server.io_) {}

  void read() {
    parser_.emplace();
    beast_http::async_read(socket_, buffer_, *parser_,
                           [self = shared_from_this()](error_code ec, std::size_t) {
                             if (!self->is_open_) {
                               return;
                             }
                             if (ec) {
                               return self->close(false);
                             }
                             self->on_request(std::string(self->parser_->get().target()));
                           });
  }

  void on_change() {
    if (watch_since_ && server_->version() > *watch_since_) {
      const std::int64_t since = *watch_since_;
      watch_since_.reset();
      timer_.cancel();
      respond(server_->changes_since(since));
    }
  }

  void write(const json& body) {
    const auto text = std::make_shared<std::string>(response_text(200, "", body.dump()));
    asio::async_write(socket_, asio::buffer(*text),
                      [self = shared_from_this(), text](error_code, std::size_t) {});
  }

  void close(bool with_reset) {
    if (!is_open_) {
      return;
    }
    is_open_ = false;
    timer_.cancel();
    error_code ignored;
    if (with_reset) {
      socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    socket_.close(ignored);
    server_->connections_.erase(shared_from_this());
  }

 private:
  static std::int64_t query_value(const std::string& target, const std::string& name) {
    const std::size_t at = target.find(name + "=");
    return at == std::string::npos ? -1 : std::atoll(target.c_str() + at + name.size() + 1);
  }

  void on_request(const std::string& target) {
    const std::int64_t since = query_value(target, "since");
    if (since < 0) {
      return respond(server_->list());
    }
    if (server_->version() > since) {
      return respond(server_->changes_since(since));
    }
    watch_since_ = since;
    timer_.expires_after(std::chrono::milliseconds(query_value(target, "timeout_ms")));
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec && self->is_open_ && self->watch_since_) {
        const std::int64_t unchanged_since = *self->watch_since_;
        self->watch_since_.reset();
        self->respond(self->server_->changes_since(unchanged_since));
      }
    });
  }

  void respond(const json& body) {
    write(body);
    read();
  }

  DiscoveryServer* server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<beast_http::request_parser<beast_http::string_body>> parser_;
  std::optional<std::int64_t> watch_since_;
  bool is_open_ = true;
};

DiscoveryServer::DiscoveryServer(asio::io_context& io)
    : io_(io), acceptor_(io, {asio::ip::address_v4::loopback(), 0}) {
  accept();
}

// NOLINTNEXTLINE(bugprone-exception-escape): throws only when out of memory
DiscoveryServer::~DiscoveryServer() {
  for (const auto& connection : std::exchange(connections_, {})) {
    connection->close(false);
  }
}

void DiscoveryServer::accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec) {
      return;
    }
    const auto connection = std::make_shared<DiscoveryConnection>(*this, std::move(socket));
    connections_.insert(connection);
    connection->read();
    accept();
  });
}

void DiscoveryServer::set_host(const std::string& uid, const json& entry) {
  ++version_;
  bool is_known = false;
  for (auto& [known_uid, known] : entries_) {
    if (known_uid == uid) {
      known = {entry, version_};
      is_known = true;
    }
  }
  if (!is_known) {
    entries_.push_back({uid, {entry, version_}});
  }
  const auto connections = connections_;
  for (const auto& connection : connections) {
    connection->on_change();
  }
}

json DiscoveryServer::list() const {
  json targets = json::array();
  for (const auto& [uid, entry] : entries_) {
    if (entry.json["state"] != "DELETED") {
      targets.push_back(entry.json);
    }
  }
  return {{"rev", version_}, {"all", true}, {"targets", targets}};
}

json DiscoveryServer::changes_since(std::int64_t version) const {
  json targets = json::array();
  for (const auto& [uid, entry] : entries_) {
    if (entry.version > version) {
      targets.push_back(entry.json);
    }
  }
  return {{"rev", version_}, {"all", false}, {"targets", targets}};
}

void DiscoveryServer::write_stray_list() {
  const auto connections = connections_;
  json stray = list();
  for (json& target : stray["targets"]) {
    target["state"] = "SERVING";
  }
  for (const auto& connection : connections) {
    connection->write(stray);
  }
}

void DiscoveryServer::reset_connections() {
  for (const auto& connection : std::exchange(connections_, {})) {
    connection->close(true);
  }
}

}  // namespace gateway::lab
