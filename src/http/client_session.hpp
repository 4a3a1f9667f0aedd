/// @file
/// One client connection: reads requests, writes responses, and detects that the client has
/// disconnected.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/status.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "http/body_stream.hpp"
#include "http/framing.hpp"
#include "http/message_parser.hpp"
#include "http/messages.hpp"
#include "runtime/turn_queue.hpp"
#include "runtime/work_monitor.hpp"

namespace gateway::http {

class ClientSession;

/// Identifies one request of a client together with its response; never reused by a listener.
using ExchangeId = std::uint64_t;

/// Numbers the client connections of a listener, from 1.
using ClientConnectionId = std::uint64_t;

/// A request whose body is complete or streamed.
struct ClientRequest {
  ExchangeId exchange = 0;
  ClientConnectionId connection = 0;
  HttpRequest message;
  std::shared_ptr<BodyStream> body;  ///< Null: the message contains the complete body.
  /// Since its last byte arrived at the gateway's socket; not used with `body`.
  std::chrono::nanoseconds waited{};
};

/// Limits of the connections of one listener.
struct ClientLimits {
  std::size_t connections = 640;
  /// Connections that have sent a request; above this the one that is idle longest is closed.
  std::size_t reused_connections = 640;
  std::size_t body_bytes = 16 << 20;  ///< Buffered bodies of all active requests together.
  /// From connecting to the end of the first head, from the first byte of another head to its end,
  /// and between two parts of a body. A client that sends nothing or an incomplete request gets a
  /// response, or its connection is closed, within 3 s.
  std::chrono::milliseconds request_timeout{2500};
  std::chrono::milliseconds idle_timeout{15000};  ///< Between two requests.
  /// Without progress in writing a streamed response.
  std::chrono::milliseconds response_stall_timeout{15000};
};

/// Why a client's connection was closed.
enum class ClientCloseReason {
  client_closed,     ///< In order, or before its response.
  read_error,        ///< Among them a reset by the client.
  write_error,       ///< The client does not receive its response.
  after_response,    ///< The response was the last one of its connection.
  idle,              ///< Idle for too long, or while the gateway is drained or stops.
  timed_out,         ///< The client made no progress in time.
  no_capacity,       ///< In favour of a new connection.
  response_aborted,  ///< The host failed within a streamed response.
  shutdown           ///< The listener was destroyed.
};
const char* name_of(ClientCloseReason reason);

/// Why a request was not taken.
enum class NotTakenReason {
  invalid,
  timed_out,    ///< It was not received in time.
  shutdown,     ///< The gateway is drained or stops.
  memory_short  ///< It needs more memory than one request may have at present.
};
const char* name_of(NotTakenReason reason);

/// A client's connection was closed.
struct ClientConnectionClosed {
  ClientConnectionId connection = 0;
  ClientCloseReason reason = ClientCloseReason::shutdown;
  bool unanswered = false;  ///< A request on it has no response.
};

/// Called on the event loop's thread. The first three must be set.
struct ClientCallbacks {
  /// A request was received; respond() must be called for it, now or later.
  std::function<void(ClientRequest)> request;
  /// The streamed body of a request is complete. Its last byte arrived at the gateway's socket
  /// `waited` ago.
  std::function<void(ExchangeId, std::chrono::nanoseconds waited)> body_complete;
  /// The client has disconnected or has sent an invalid streamed body: respond() has no effect.
  std::function<void(ExchangeId)> client_disconnected;
  std::function<void(const ClientConnectionClosed&)> connection_closed{};
  /// A request was not taken; its response has this status.
  std::function<void(NotTakenReason reason, unsigned status)> request_not_taken{};
};

/// The sessions of each state but `closed` are in a queue. All states but `awaiting_response` and
/// `closed` have a time limit.
enum class SessionState {
  awaiting_request,    ///< Connected; the first request is incomplete and not streamed.
  idle,                ///< Between two requests.
  reading_head,        ///< Of a later request, and its body as long as that is buffered.
  receiving_body,      ///< Of a request; it is passed to a BodyStream as it arrives.
  awaiting_response,   ///< The request is complete.
  writing_response,    ///< A response whose body is complete.
  streaming_response,  ///< A response whose body comes from a BodyStream.
  lingering,           ///< The gateway's side is shut down; further input is discarded.
  closed
};
inline constexpr std::size_t kSessionStates = 9;
const char* name_of(SessionState state);

/// Sessions in the order of their last progress: the front is the first to exceed its time limit.
using SessionQueue = std::list<std::shared_ptr<ClientSession>>;

/// The state that the sessions of one listener share. Owned by the listener, which closes all
/// sessions before it is destroyed.
struct SessionRegistry {
  explicit SessionRegistry(boost::asio::any_io_executor executor)
      : long_heads(std::move(executor)) {}

  SessionQueue& queue(SessionState state) { return queues[static_cast<std::size_t>(state)]; }

  ClientLimits limits;
  ClientCallbacks callbacks;
  std::shared_ptr<MemoryBudget> memory_budget;
  std::array<char, kReadChunk> read_buffer{};    ///< Of one read at a time.
  runtime::WorkMonitor* work_monitor = nullptr;  ///< Outlives the registry, if there is one.
  runtime::TurnQueue long_heads;                 ///< Heads of many fields that wait to be parsed.
  std::function<void()> on_session_closed;
  std::function<void()> on_first_request;  ///< A connection has sent its first request.
  std::array<SessionQueue, kSessionStates> queues;
  std::unordered_map<ExchangeId, std::shared_ptr<ClientSession>> pending_exchanges;
  std::size_t open_sessions = 0;
  /// Memory reserved for the bodies of requests until these are streamed or have a response.
  std::size_t reserved_body_bytes = 0;
  /// Received after requests that have no complete response yet.
  std::size_t read_ahead_bytes = 0;
  ExchangeId last_exchange = 0;
  ClientConnectionId last_connection = 0;
  /// No connection waited to be accepted then.
  std::chrono::steady_clock::time_point accept_queue_empty_at = std::chrono::steady_clock::now();
  /// When ClientListener::close_idle was enabled; empty while it is not.
  std::optional<std::chrono::steady_clock::time_point> closing_idle_since;
  /// See ClientListener::take_no_requests. Connections carry no further request then.
  bool takes_no_requests = false;
};

/// While ClientListener::close_idle is enabled, connections are closed once they are idle for this
/// long. A request on its way to a connection that was just closed is lost or sent twice; clients
/// reuse the most recently used connection first, so these are closed last.
inline constexpr auto kCloseIdleAfter = std::chrono::milliseconds(400);
/// Time from enabling close_idle until all idle connections are closed.
inline constexpr auto kCloseAllIdleAfter = std::chrono::milliseconds(1200);

/// Kept alive by its queue in the registry and by its pending operations. Used on the event loop's
/// thread only.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  using Clock = std::chrono::steady_clock;

  ClientSession(SessionRegistry& registry, boost::asio::ip::tcp::socket socket);

  /// Begins to read. `position` is that of the session in the queue of awaiting_request.
  void start(SessionQueue::iterator position);
  /// Sends the response to the current request. With a `stream` the body comes from there, and
  /// `response` has none.
  void respond(HttpResponse response, std::shared_ptr<BodyStream> stream);
  /// Closes at once. If a response is still due, client_disconnected is called.
  void close(ClientCloseReason reason);
  /// Closes a connection without an active request: shuts down the sending side, then discards
  /// input until the client closes, within bounds. A request that the client is just sending does
  /// not make the close a TCP reset; it is not executed, so the client can safely repeat it. Does
  /// nothing if a request is active.
  void close_gracefully();
  /// Closes in any state, discarding only input that has arrived: the descriptor is free on return.
  void close_now();
  /// Reads what has arrived. Called when the socket is readable, so that an idle connection needs
  /// no buffer.
  void read_available();
  /// Restarts the time limit of the state.
  void record_progress();
  /// Called when the time limit of the state is exceeded. Responds with 408 in reading_head and
  /// receiving_body, where part of a request has been received, else closes the connection.
  void expire();

  /// Responds with 503 to a request that is still incomplete once all that has arrived is read. It
  /// was not executed, as no host has its last byte. Does nothing if no request has begun.
  void reject_if_incomplete();

  /// See ClientListener::set_upload_timeout.
  void set_upload_timeout(Clock::duration timeout) { upload_timeout_ = timeout; }
  void reject_if_overdue(Clock::time_point now);

  /// Nothing of a request has been read or has arrived at the socket.
  bool has_no_input() const;
  /// Bytes have arrived at the socket and have not been read.
  bool has_unread_input() const;
  /// The client has closed the connection, even if unread bytes precede the end. Checks the socket.
  bool client_disconnected();
  bool is_waiting_for_input() const { return waiting_for_input_; }
  /// Progress depends on the host or on the gateway and not on the client, so the time limit does
  /// not apply.
  bool waits_for_others() const;
  /// When the state was entered, or the last progress in it.
  Clock::time_point last_progress_at() const { return last_progress_at_; }
  SessionState state() const { return state_; }

 private:
  std::size_t read_some(boost::system::error_code& ec);
  void enter(SessionState state);
  bool is_receiving() const;
  void wait_for_input();
  void read_ahead();
  void release_read_ahead();
  void release_reservation();
  void disconnect_exchange();
  bool must_close_after_response() const;
  void linger(ClientCloseReason reason);
  void prepare_for_next_request();
  bool must_close_before_next_request() const;
  void on_response_written();
  void await_next_request();

  void parse_input();
  bool parse_head();
  bool scan_head();
  bool parse_scanned_head();
  void parse_body();
  void wait_for_turn();
  void take_turn();
  bool parse_fields();
  void reserve_body();
  bool accept_expectation();
  void on_body_data(const std::string& body);
  void submit_request(std::shared_ptr<BodyStream> body);
  void start_streaming_request();
  void forward_body(const std::string& body);
  void read_on_or_pause();
  bool last_byte_may_be_sent();
  void reject(NotTakenReason reason, boost::beast::http::status status);
  bool admits(std::size_t bytes) const { return registry_->memory_budget->admits(bytes); }
  void update_charges();

  void write_complete_response();
  void write_head();
  // Of the response.
  std::string head_text() const;
  void start_streaming_response(std::shared_ptr<BodyStream> stream);
  void write_from_stream();
  void reset();
  void write(std::string text, std::function<void()> on_written);

  SessionRegistry* registry_;
  ClientConnectionId id_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_{kHeaderLimit + 2 * kReadChunk};
  HeadScanner scanner_{HeadScanner::Kind::request};
  std::optional<RequestParser> parser_;
  HttpRequest message_;
  HttpResponse response_;
  std::shared_ptr<BodyStream> request_stream_;
  std::shared_ptr<BodyStream> response_stream_;
  std::string output_;  // being written
  MemoryCharge connection_charge_;
  MemoryCharge input_charge_;
  MemoryCharge request_charge_;
  MemoryCharge output_charge_;
  SessionState state_ = SessionState::awaiting_request;
  ClientCloseReason linger_reason_ = ClientCloseReason::after_response;
  SessionQueue::iterator queue_position_;
  ExchangeId exchange_ = 0;
  Clock::time_point last_progress_at_ = Clock::now();
  // All that the client had sent by then has been read, or does not contain the end of its request.
  Clock::time_point input_read_at_;
  Clock::time_point input_arrived_at_;  // of the latest bytes that were read
  Clock::duration upload_timeout_ = Clock::duration::max();
  std::size_t discarded_bytes_ = 0;
  std::size_t reserved_body_bytes_ = 0;                   // included in the registry's
  std::size_t buffered_body_limit_ = kBufferedBodyLimit;  // streamed from here on
  std::size_t read_ahead_bytes_ = 0;                      // included in the registry's
  std::uint64_t body_size_ = 0;
  bool request_started_ = false;
  bool head_complete_ = false;
  bool waiting_for_turn_ = false;  // in registry_->long_heads
  bool waiting_for_input_ = false;
  bool was_paused_ = false;  // the body, for memory, since input_read_at_
  bool keep_alive_ = false;
  bool is_first_request_ = false;
  bool head_only_ = false;  // a HEAD request
  bool writing_ = false;
  bool chunked_ = false;
  bool is_http_1_0_ = false;
};

}  // namespace gateway::http
