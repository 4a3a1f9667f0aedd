/// @file
/// One connection to a host, and the attempt that runs on it. Maps the responses and errors of the
/// socket to an AttemptOutcome; never retries by itself.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "http/body_stream.hpp"
#include "http/framing.hpp"
#include "http/message_parser.hpp"
#include "http/messages.hpp"
#include "http/upstream_observer.hpp"
#include "load_balancer/load_balancer.hpp"
#include "runtime/work_monitor.hpp"

namespace gateway::http {

/// Identifies an attempt, as in load_balancer::SendAttempt.
struct AttemptKey {
  load_balancer::RequestId request = 0;
  std::uint32_t attempt = 0;
  bool operator==(const AttemptKey&) const = default;
};

/// How much of a response an attempt has received.
struct ResponseProgress {
  bool has_head = false;
  std::uint64_t body_bytes = 0;
};

/// How an attempt ended.
struct AttemptCompletion {
  AttemptKey key;
  load_balancer::HostId host = load_balancer::kNone;
  load_balancer::AttemptOutcome outcome = load_balancer::AttemptOutcome::reset;
  /// Since the attempt was started, or since the end of a streamed request body.
  load_balancer::Duration elapsed{};
  std::optional<load_balancer::LoadReport> load;  ///< If the response has one.
  HttpResponse response;                          ///< Only with AttemptOutcome::success.
  ConnectionId connection = 0;                    ///< 0: the attempt had none.
  /// Null: the response is complete. Else its body comes from here, and is aborted if the host
  /// fails.
  std::shared_ptr<BodyStream> stream;
  ResponseProgress received;
};

/// A host as it was when a connection to it was opened. The id alone does not tell: it is assigned
/// again once the host is forgotten, and the host may change its address or start anew.
struct HostRegistration {
  load_balancer::HostId host = load_balancer::kNone;
  /// Increases with each new host and each change of an address or a process.
  std::uint64_t number = 0;
  bool operator==(const HostRegistration&) const = default;
};

/// The time limits of an attempt, from load_balancer::SendAttempt.
struct AttemptTimeouts {
  /// For the response, from the start of the attempt or from the end of a streamed request body.
  load_balancer::Duration response;
  /// For writing the first byte of the request and the last one of its body, from the start of the
  /// attempt. Duration::max(): no such limit.
  load_balancer::Duration start;
};

class UpstreamConnection;

/// What a connection needs from its pool. Must outlive every connection that is not closed.
class UpstreamConnectionOwner {
 public:
  /// Time limit for a new connection.
  virtual load_balancer::Duration connect_timeout() const = 0;
  /// Silence that a new connection keeps before its first request.
  virtual load_balancer::Duration connect_quiet_period(
      const UpstreamConnection& connection) const = 0;
  virtual std::shared_ptr<MemoryBudget> memory_budget() const = 0;
  virtual runtime::WorkMonitor* work_monitor() const = 0;
  /// For one read at a time.
  virtual std::array<char, kReadChunk>& read_buffer() = 0;
  /// The attempt is finished; the connection calls report() for it afterwards.
  virtual void release_attempt(AttemptKey key) = 0;
  /// The response is streamed on after its attempt is reported.
  virtual void add_stream(const std::shared_ptr<UpstreamConnection>& connection) = 0;
  virtual void remove_stream(const std::shared_ptr<UpstreamConnection>& connection) = 0;
  /// Reports how an attempt ended; called once for each, unless close() ended it.
  virtual void report(AttemptCompletion completion) = 0;
  /// Whether the connection is kept for further requests: it leads to the address of a serving
  /// host.
  virtual bool keeps(const UpstreamConnection& connection) const = 0;
  /// Whether the host is known to write later than the quiet period covers.
  virtual bool host_writes_late(const UpstreamConnection& connection) const = 0;
  virtual void add_idle(const std::shared_ptr<UpstreamConnection>& connection) = 0;
  /// An idle connection has received input: the host has closed it or sent unexpected bytes.
  virtual void on_idle_input(const std::shared_ptr<UpstreamConnection>& connection) = 0;
  /// A connection that waits to write its request has received unexpected bytes.
  virtual void on_unexpected_bytes(const UpstreamConnection& connection, std::size_t bytes) = 0;
  /// The connection is closed and established anew under the id that is returned.
  virtual ConnectionId on_reconnect(const UpstreamConnection& connection,
                                    HostCloseReason reason) = 0;
  virtual void on_connected(const UpstreamConnection& connection) = 0;
  virtual void on_connection_closed(const UpstreamConnection& connection,
                                    HostCloseReason reason) = 0;

 protected:
  ~UpstreamConnectionOwner() = default;
};

/// Kept alive by the pool and by its pending operations. Used on the event loop's thread only.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  using Clock = std::chrono::steady_clock;

  UpstreamConnection(UpstreamConnectionOwner& owner, boost::asio::io_context& io,
                     HostRegistration registration, ConnectionId id);

  /// Assigns an attempt. Must be followed by connect() on a new connection, by write_request() or
  /// write_request_at() on an idle one. With a `body` the request's body comes from there.
  void assign(AttemptKey key, std::shared_ptr<const HttpRequest> request, AttemptTimeouts timeouts,
              std::shared_ptr<BodyStream> body, Clock::time_point now);
  void connect(const boost::asio::ip::tcp::endpoint& endpoint);
  void write_request();
  /// Writes the request once the connection has been silent until `quiet_at`. If it receives
  /// anything before, it is replaced by a new connection to `endpoint`.
  void write_request_at(Clock::time_point quiet_at, const boost::asio::ip::tcp::endpoint& endpoint);
  /// Ends the attempt as cancelled.
  void cancel();
  /// Ends the attempt as connect_failed; called while nothing of it has been sent.
  void fail_unsent();
  /// Closes without reporting the attempt.
  void close(HostCloseReason reason);

  load_balancer::HostId host() const { return registration_.host; }
  const HostRegistration& registration() const { return registration_; }
  const boost::asio::ip::tcp::endpoint& endpoint() const { return endpoint_; }
  ConnectionId id() const { return id_; }
  /// Complete responses that the connection has carried.
  std::uint64_t responses() const { return responses_; }
  Clock::time_point idle_since() const { return idle_since_; }
  /// Nothing of the request has been sent.
  bool not_yet_sent() const {
    return state_ == State::connecting || state_ == State::awaiting_silence;
  }
  /// What an idle connection has received. Checks the socket, as the event loop may not have
  /// reported it yet.
  struct Input {
    enum class Kind { none, bytes, closed };
    Kind kind = Kind::none;
    std::size_t bytes = 0;
  };
  Input input();

 private:
  enum class State { connecting, awaiting_silence, writing, reading, idle, closed };
  enum class Reuse { allowed, forbidden };
  enum class WriteKind { more_follows, end_of_request };
  enum class ParseResult { proceed, stop };
  using Outcome = load_balancer::AttemptOutcome;
  using Duration = load_balancer::Duration;

  bool is_active() const { return state_ == State::reading || state_ == State::writing; }
  void release_streams();
  void set_timeout(Clock::time_point at, Outcome outcome);
  void cancel_timers();
  // The head of the request, which tells the host the remaining time.
  std::string head_text(Duration remaining) const;
  Duration remaining_of_streamed_request() const;
  void on_request_written();

  void start_streaming_request();
  void write_from_stream();
  void write(std::string text, WriteKind kind);
  void on_streamed_request_written();

  void prepare_for_response();
  void receive();
  void read_available();
  void update_charges();
  void on_read_error(boost::system::error_code ec);
  void on_received();
  void parse_response();
  ParseResult parse_head();
  ParseResult on_early_success();
  ParseResult parse_body();
  void continue_body();
  bool reserve_body();
  void await_whole_body();
  void stream_whole_body();
  std::size_t read_limit() const;
  void complete_response(Reuse reuse);

  unsigned status() const { return static_cast<unsigned>(response_.status); }
  bool has_short_body() const;
  bool has_long_body() const;
  bool has_unknown_length() const;
  bool has_delimited_body() const;
  bool can_reuse() const;
  Outcome outcome_of_response() const;

  void schedule_streaming();
  void start_streaming_timer();
  void stream_buffered_body();
  void start_streaming_response();
  void restart_stall_timer();

  AttemptCompletion completion_of(Outcome outcome) const;
  void finish_attempt(Outcome outcome, Reuse reuse = Reuse::forbidden);
  void keep_or_close(Reuse reuse, HostCloseReason reason);
  void become_idle();
  void watch_input();
  void await_silence(Clock::time_point quiet_at);
  void on_input_before_request();
  void reconnect();

  UpstreamConnectionOwner* owner_;
  HostRegistration registration_;
  ConnectionId id_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timeout_timer_;
  boost::asio::steady_timer streaming_timer_;
  boost::asio::steady_timer quiet_timer_;  // of State::awaiting_silence
  boost::asio::ip::tcp::endpoint endpoint_;
  boost::beast::flat_buffer buffer_{kHeaderLimit + 2 * kReadChunk};
  std::optional<ResponseParser> parser_;
  HeadScanner scanner_{HeadScanner::Kind::response};
  std::shared_ptr<const HttpRequest> request_;  // null: no attempt
  HttpResponse response_;                       // its head
  std::string buffered_body_;                   // of the response, until it is streamed
  std::string output_;                          // being written
  MemoryCharge connection_charge_;
  MemoryCharge input_charge_;
  MemoryCharge response_charge_;
  MemoryCharge output_charge_;
  std::shared_ptr<BodyStream> request_stream_;   // a request body that is still arriving
  std::shared_ptr<BodyStream> response_stream_;  // set once the response is streamed
  AttemptKey key_;
  State state_ = State::connecting;
  Clock::time_point sent_at_;
  Clock::time_point idle_since_;
  Clock::time_point deadline_;
  // Latest time to write the first byte of the request and the last one of its body: written later,
  // they could make the host execute the request too late.
  Clock::time_point start_by_;
  // From then on a response of unknown length is streamed; set with streaming_timer_generation_.
  Clock::time_point streaming_due_at_;
  Duration response_timeout_{};  // restarted at the end of a streamed request body
  // Count the waits of timeout_timer_ and the responses that streaming_timer_ was started for. An
  // expiry that is already queued when its timer is restarted has an older number and is ignored.
  std::uint64_t timeout_generation_ = 0;
  std::uint64_t response_generation_ = 0;
  std::uint64_t streaming_timer_generation_ = 0;
  std::uint64_t body_size_ = 0;
  std::uint64_t responses_ = 0;
  int interim_responses_ = 0;
  int reconnects_ = 0;  // of the attempt
  bool watching_input_ = false;
  bool head_complete_ = false;
  bool receiving_ = false;
  bool response_held_ = false;  // a head was parsed before the end of the last write
  // Memory is short: the socket keeps the rest of the response until all of it has arrived.
  bool awaiting_whole_body_ = false;
  bool parsing_ = false;  // parse_response() is running and calls receive() itself
  bool last_write_started_ = false;
};

}  // namespace gateway::http
