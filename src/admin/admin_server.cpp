#include "admin/admin_server.hpp"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <iterator>
#include <utility>

#include "runtime/socket_write.hpp"

namespace gateway::admin {
namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::uint32_t kMaxHeadBytes = 4 << 10;
/// Calls have no body, but some HTTP clients send a small one.
constexpr std::uint64_t kMaxBodyBytes = 4 << 10;
/// How long data from the caller is read and discarded after the reply.
constexpr auto kLingerTimeout = std::chrono::milliseconds(300);
/// Accepting fails mostly because the process is out of file descriptors, which other connections
/// free soon.
constexpr auto kAcceptRetryInterval = std::chrono::milliseconds(20);
constexpr std::size_t kDiscardBytes = 512;  // per read operation after the reply
constexpr unsigned kHttp11 = 11;            // HTTP/1.1 in Beast's notation

}  // namespace

/// A connection from an operator. Owned jointly by the server's list and the pending operations.
class AdminServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(AdminServer& server, tcp::socket socket)
      : server_(&server), timer_(socket.get_executor()), socket_(std::move(socket)) {
    parser_.header_limit(kMaxHeadBytes);
    parser_.body_limit(kMaxBodyBytes);
  }

  void start(Sessions::iterator position) {
    position_ = position;
    set_timeout(server_->limits_.connection_timeout);
    beast_http::async_read(
        socket_, buffer_, parser_,
        [self = shared_from_this()](error_code ec, std::size_t) { self->on_read(ec); });
  }

  bool is_replying() const { return is_replying_; }

  /// Closes the connection and removes the session from the server's list. Further calls have no
  /// effect.
  void close() {
    if (std::exchange(is_closed_, true)) {
      return;
    }
    const auto self = weak_from_this().lock();  // the list may hold the last reference
    error_code ignored;
    timer_.cancel(ignored);
    socket_.close(ignored);
    server_->sessions_.erase(position_);
  }

 private:
  void on_read(error_code ec) {
    if (is_closed_) {
      return;
    }
    // A malformed call gets a reply with status 400. A connection that failed, or ended without a
    // call, gets none.
    const bool connection_failed =
        ec && ec.category() != beast_http::make_error_code({}).category();
    if (ec == beast_http::error::end_of_stream || connection_failed) {
      return close();
    }
    reply(ec ? AdminReply{400, "malformed or oversized HTTP request", {}} : handle_call());
  }

  AdminReply handle_call() {
    const auto& message = parser_.get();
    const std::string target = message.target().to_string();
    if (target.empty() || target.front() != '/') {
      return {400, "the request target must be a path that begins with '/'", {}};
    }
    return server_->handler_(
        {message.method_string().to_string(), target.substr(0, target.find('?'))});
  }

  void reply(const AdminReply& reply) {
    is_replying_ = true;
    response_.version(kHttp11);
    response_.result(reply.status);
    response_.set(beast_http::field::content_type, "text/plain");
    if (!reply.allow.empty()) {
      response_.set(beast_http::field::allow, reply.allow);
    }
    response_.keep_alive(false);
    response_.body() = reply.text + "\n";
    response_.prepare_payload();
    if (parser_.get().method() == beast_http::verb::head) {
      response_.body().clear();
    }
    output_ = runtime::text_of_message(response_);
    runtime::async_write_all(socket_, output_,
                             [self = shared_from_this()](error_code ec) { self->on_written(ec); });
  }

  void on_written(error_code ec) {
    if (is_closed_) {
      return;
    }
    if (ec) {
      return close();
    }
    // Closing a socket with unread data sends a reset, which can make the caller's system discard
    // the reply. So the rest is read first, for kLingerTimeout at most.
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    set_timeout(kLingerTimeout);
    discard();
  }

  void discard() {
    buffer_.clear();
    socket_.async_read_some(buffer_.prepare(kDiscardBytes),
                            [self = shared_from_this()](error_code ec, std::size_t) {
                              if (self->is_closed_) {
                                return;
                              }
                              if (ec) {
                                return self->close();
                              }
                              self->discard();
                            });
  }

  void set_timeout(std::chrono::milliseconds timeout) {
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec) {
        self->close();
      }
    });
  }

  AdminServer* server_;
  asio::steady_timer timer_;
  tcp::socket socket_;
  std::string output_;  // being written
  boost::beast::flat_buffer buffer_{kMaxHeadBytes + kMaxBodyBytes};
  beast_http::request_parser<beast_http::string_body> parser_;
  beast_http::response<beast_http::string_body> response_;
  Sessions::iterator position_;
  bool is_replying_ = false;
  bool is_closed_ = false;
};

AdminServer::AdminServer(asio::io_context& io, const tcp::endpoint& listen, Limits limits,
                         Handler handler)
    : acceptor_(io, listen, true), retry_timer_(io), limits_(limits), handler_(std::move(handler)) {
  accept();
}

AdminServer::~AdminServer() {
  while (!sessions_.empty()) {
    sessions_.front()->close();
  }
}

void AdminServer::accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted || !acceptor_.is_open()) {
      return;
    }
    if (ec) {
      return retry_accept();
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    add_session(std::move(socket));
    accept();
  });
}

void AdminServer::retry_accept() {
  retry_timer_.expires_after(kAcceptRetryInterval);
  retry_timer_.async_wait([this](error_code ec) {
    if (!ec) {
      accept();
    }
  });
}

void AdminServer::add_session(tcp::socket socket) {
  if (sessions_.size() >= limits_.max_connections) {
    close_oldest_session();
  }
  sessions_.push_back(std::make_shared<Session>(*this, std::move(socket)));
  sessions_.back()->start(std::prev(sessions_.end()));
}

// A session that is being replied to is closed only if all sessions are.
void AdminServer::close_oldest_session() {
  const auto oldest_unreplied =
      std::find_if(sessions_.begin(), sessions_.end(),
                   [](const auto& session) { return !session->is_replying(); });
  const auto session = oldest_unreplied == sessions_.end() ? sessions_.front() : *oldest_unreplied;
  session->close();
}

}  // namespace gateway::admin
