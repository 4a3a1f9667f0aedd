/// @file
/// HTTP server for operators' calls. It has its own address and its own, small limit of
/// connections, so that clients and operators can't use up each other's connections.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace gateway::admin {

/// A request from an operator.
struct AdminCall {
  std::string method;  ///< HTTP method, such as "POST".
  std::string path;    ///< Request target without the query.
};

/// The response to an AdminCall.
struct AdminReply {
  unsigned status = 200;  ///< HTTP status code.
  std::string text;       ///< Body, one line without the line break.
  std::string allow;      ///< Allow header, for status 405: the method that the path supports.
};

/// Reads one call on each connection, passes it to the handler and closes the connection after the
/// reply. Used on the event loop's thread only.
class AdminServer {
 public:
  struct Limits {
    /// Beyond this number, a new connection closes the oldest one whose call is still being read,
    /// or the oldest of all if every call is being replied to.
    std::size_t max_connections = 8;
    /// Time from accepting a connection to the end of its reply; then the connection is closed.
    std::chrono::milliseconds connection_timeout{5000};
  };
  /// Returns the reply to a call. Called on the event loop's thread.
  using Handler = std::function<AdminReply(const AdminCall&)>;

  /// Binds the address and starts to accept connections. Throws boost::system::system_error if it
  /// can't listen. The io_context must outlive the server.
  AdminServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen,
              Limits limits, Handler handler);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// Address of the listening socket.
  boost::asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }
  /// Number of open connections.
  std::size_t connections() const { return sessions_.size(); }

 private:
  class Session;
  using Sessions = std::list<std::shared_ptr<Session>>;

  void accept();
  void retry_accept();
  void add_session(boost::asio::ip::tcp::socket socket);
  void close_oldest_session();

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retry_timer_;
  Limits limits_;
  Handler handler_;
  Sessions sessions_;  // oldest first
};

}  // namespace gateway::admin
