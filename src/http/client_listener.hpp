/// @file
/// The clients' side of the gateway: accepts connections and enforces their limits. A ClientSession
/// serves each of them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "http/body_stream.hpp"
#include "http/client_session.hpp"

namespace gateway::http {

/// Used on the event loop's thread only; callbacks run on it too. The io_context must outlive the
/// listener.
class ClientListener {
 public:
  using Limits = ClientLimits;
  using Callbacks = ClientCallbacks;

  struct Listen {
    boost::asio::ip::tcp::endpoint address;
    /// Descriptor of a listening socket that other processes share. It is neither bound nor shut
    /// down here; only this process's descriptor is closed.
    std::optional<int> passed;
  };

  /// Binds and listens at once, or uses the passed socket. Throws boost::system::system_error, or
  /// std::invalid_argument if the passed descriptor is no listening socket.
  ClientListener(boost::asio::io_context& io, const Listen& listen, Limits limits,
                 Callbacks callbacks,
                 std::shared_ptr<MemoryBudget> memory_budget = std::make_shared<MemoryBudget>(),
                 runtime::WorkMonitor* work_monitor = nullptr);
  ~ClientListener();
  ClientListener(const ClientListener&) = delete;
  ClientListener& operator=(const ClientListener&) = delete;

  /// Address of the listening socket.
  boost::asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }
  void set_limits(const Limits& limits) { sessions_.limits = limits; }
  /// Sends the response of an exchange. With a `stream` the body comes from there, and `response`
  /// has none. Without effect, other than to drop the stream, if the client has disconnected.
  void respond(ExchangeId exchange, HttpResponse response,
               std::shared_ptr<BodyStream> stream = nullptr);
  /// Checks the socket of an exchange now. Returns true if its client has disconnected: the session
  /// is then closed and client_disconnected has been called.
  bool close_if_disconnected(ExchangeId exchange);
  /// The client of a request whose body is streamed waits for so long after its last byte. When
  /// memory is too short to read on, that byte may wait unread: the request is rejected with status
  /// 503 once so much time has passed since it was last known to be on its way.
  void set_upload_timeout(ExchangeId exchange, std::chrono::nanoseconds timeout);
  /// Begins to accept connections at a passed socket; one that is bound here accepts from the
  /// start.
  void start_accepting();
  bool accepting() const { return accepting_ && acceptor_.is_open(); }
  /// While enabled, every response closes its connection, and idle connections are closed: first
  /// those idle for kCloseIdleAfter, and all of them once kCloseAllIdleAfter has passed. A
  /// connection with unread input is not closed.
  void close_idle(bool enabled);
  /// While enabled, connections are closed where they are idle or after their response. Requests
  /// that are incomplete, or are the next ones of a connection, are rejected with status 503. Of
  /// those that have arrived before, all that are complete are submitted, also if they wait in a
  /// socket or are the first ones of connections that wait to be accepted.
  void take_no_requests(bool enabled);
  /// Closes the listening socket; can't be undone. If it is bound here, the connections that wait
  /// are accepted first, for up to `time_limit` if there is no capacity, and idle connections are
  /// closed. Those that wait at a passed socket are left to the processes that share it.
  void stop_accepting(std::chrono::milliseconds time_limit = std::chrono::milliseconds(1000));
  /// Number of open connections.
  std::size_t connections() const { return sessions_.open_sessions; }
  std::size_t connections_in(SessionState state) const {
    return sessions_.queues.at(static_cast<std::size_t>(state)).size();
  }

  /// Called once after stop_accepting(), when no connection is open any more.
  std::function<void()> on_empty;

 private:
  using Clock = std::chrono::steady_clock;
  enum class AcceptResult { queue_empty, more_may_wait, no_capacity };
  // Which sessions may be closed in favour of a new connection.
  enum class Eligible { without_input, also_incomplete_request };

  static boost::asio::ip::tcp::acceptor open(boost::asio::io_context& io, const Listen& listen);
  void accept();
  AcceptResult accept_waiting(std::size_t max_connections);
  void add_session(boost::asio::ip::tcp::socket socket);
  bool make_room();
  void limit_reused_connections();
  ClientSession* oldest_closable(SessionState state, Clock::time_point last_progress_before,
                                 Eligible eligible);
  bool close_oldest(SessionState state, Clock::time_point last_progress_before,
                    Eligible eligible = Eligible::without_input);
  void close_disconnected();
  void close_idle_before(Clock::time_point last_progress_before);
  void reject_incomplete_requests();
  void reject_overdue_uploads(Clock::time_point now);
  // A copy, as what is done to a session may change its state and so the queues.
  std::vector<std::shared_ptr<ClientSession>> sessions_in(SessionState state);
  void on_session_closed();
  void sweep();
  void expire_sessions(SessionState state, std::chrono::milliseconds time_limit,
                       Clock::time_point now);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  SessionRegistry sessions_;
  // Expires with this object: a handler that is queued by then has no error and must not run.
  std::shared_ptr<const bool> lifetime_ = std::make_shared<const bool>(true);
  boost::asio::steady_timer sweep_timer_;
  boost::asio::steady_timer accept_retry_timer_;
  bool is_passed_socket_ = false;
  bool accepting_ = false;
  bool stopping_ = false;
};

}  // namespace gateway::http
