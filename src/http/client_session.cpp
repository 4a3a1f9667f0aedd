/// @file
/// Life cycle of a client connection: states, reading from the socket, closing.
#include "http/client_session.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <cerrno>
#include <utility>

#include "runtime/arrival_time.hpp"
#include "runtime/socket_room.hpp"

namespace gateway::http {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Bytes that a client may send after its last response before its connection is closed.
constexpr std::size_t kMaxDiscardedBytes = 256 << 10;
// The kernel's record of an arrival and the steady clock are read one after the other, and the
// process may be held up between the two.
constexpr auto kClockTolerance = std::chrono::seconds(1);
// What the event loop holds for a socket.
constexpr std::size_t kSocketBytes = 512;
// The time of a request whose end may have been sent at any time since some moment starts this long
// after that moment at the latest. Its response may be late by as much.
constexpr auto kLatestStart = std::chrono::milliseconds(300);

}  // namespace

ClientSession::ClientSession(SessionRegistry& registry, tcp::socket socket)
    : registry_(&registry),
      id_(++registry.last_connection),
      socket_(std::move(socket)),
      connection_charge_(registry.memory_budget, MemoryUse::connections),
      input_charge_(registry.memory_budget, MemoryUse::input),
      request_charge_(registry.memory_budget, MemoryUse::requests),
      output_charge_(registry.memory_budget, MemoryUse::output),
      input_read_at_(registry.accept_queue_empty_at) {
  connection_charge_.set(sizeof(ClientSession) + kSocketBytes);
  prepare_for_next_request();
}

void ClientSession::start(SessionQueue::iterator position) {
  queue_position_ = position;
  wait_for_input();
}

const char* name_of(ClientCloseReason reason) {
  switch (reason) {
    case ClientCloseReason::client_closed:
      return "client_closed";
    case ClientCloseReason::read_error:
      return "read_error";
    case ClientCloseReason::write_error:
      return "write_error";
    case ClientCloseReason::after_response:
      return "after_response";
    case ClientCloseReason::idle:
      return "idle";
    case ClientCloseReason::timed_out:
      return "timed_out";
    case ClientCloseReason::no_capacity:
      return "no_capacity";
    case ClientCloseReason::response_aborted:
      return "response_aborted";
    case ClientCloseReason::shutdown:
      return "shutdown";
  }
  return "unknown";
}

const char* name_of(NotTakenReason reason) {
  switch (reason) {
    case NotTakenReason::invalid:
      return "not_taken";
    case NotTakenReason::timed_out:
      return "timed_out";
    case NotTakenReason::shutdown:
      return "shutdown";
    case NotTakenReason::memory_short:
      return "memory_short";
  }
  return "unknown";
}

const char* name_of(SessionState state) {
  switch (state) {
    case SessionState::awaiting_request:
      return "awaiting_request";
    case SessionState::idle:
      return "idle";
    case SessionState::reading_head:
      return "reading_head";
    case SessionState::receiving_body:
      return "receiving_body";
    case SessionState::awaiting_response:
      return "awaiting_response";
    case SessionState::writing_response:
      return "writing_response";
    case SessionState::streaming_response:
      return "streaming_response";
    case SessionState::lingering:
      return "lingering";
    case SessionState::closed:
      return "closed";
  }
  return "unknown";
}

void ClientSession::close(ClientCloseReason reason) {
  if (state_ == SessionState::closed) {
    return;
  }
  const auto self = shared_from_this();
  const bool unanswered = exchange_ != 0;
  if (state_ == SessionState::lingering) {
    reason = linger_reason_;
  }
  release_reservation();
  registry_->queue(state_).erase(queue_position_);
  state_ = SessionState::closed;
  release_read_ahead();
  error_code ignored;
  socket_.close(ignored);
  if (const auto stream = std::exchange(response_stream_, nullptr)) {
    stream->drop();
  }
  if (registry_->callbacks.connection_closed) {
    registry_->callbacks.connection_closed({id_, reason, unanswered});
  }
  registry_->on_session_closed();
  disconnect_exchange();
  if (const auto stream = std::exchange(request_stream_, nullptr)) {
    stream->abort();
  }
}

void ClientSession::close_gracefully() {
  if (state_ == SessionState::awaiting_request || state_ == SessionState::idle) {
    linger(ClientCloseReason::idle);
  }
}

void ClientSession::close_now() {
  error_code ec;
  socket_.shutdown(tcp::socket::shutdown_send, ec);
  std::size_t total = 0;
  while ((!ec || ec == asio::error::interrupted) && total < kMaxDiscardedBytes) {
    buffer_.consume(buffer_.size());
    total += socket_.read_some(buffer_.prepare(kReadChunk), ec);
  }
  close(ClientCloseReason::no_capacity);
}

// Closing a connection that has unread bytes resets it, and the client may receive the reset before
// the response. So the sending side is shut down first, and input is discarded, within bounds.
void ClientSession::linger(ClientCloseReason reason) {
  linger_reason_ = reason;
  enter(SessionState::lingering);
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  buffer_.consume(buffer_.size());
  wait_for_input();
}

bool ClientSession::has_no_input() const {
  error_code ec;
  return (!request_started_ || state_ == SessionState::lingering) && buffer_.size() == 0 &&
         (socket_.available(ec) == 0 || ec);
}

bool ClientSession::has_unread_input() const {
  error_code ec;
  return socket_.available(ec) > 0 && !ec;
}

bool ClientSession::client_disconnected() {
  char byte = 0;
  const ssize_t received = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received == 0) {
    return true;
  }
  if (received < 0) {
    return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
  }
  pollfd descriptor{socket_.native_handle(), POLLRDHUP, 0};
  return ::poll(&descriptor, 1, 0) > 0 &&
         (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool ClientSession::waits_for_others() const {
  return waiting_for_turn_ || (state_ == SessionState::receiving_body && request_stream_->full()) ||
         (state_ == SessionState::streaming_response && !writing_);
}

void ClientSession::read_available() {
  if (state_ == SessionState::writing_response || state_ == SessionState::closed ||
      waiting_for_turn_) {
    return;
  }
  if (state_ == SessionState::receiving_body && request_stream_->full()) {
    was_paused_ = true;
    return;
  }
  error_code ec;
  const std::size_t received = read_some(ec);
  if (ec == asio::error::would_block || ec == asio::error::try_again ||
      ec == asio::error::interrupted) {
    return wait_for_input();
  }
  if (ec) {
    return close(ec == asio::error::eof ? ClientCloseReason::client_closed
                                        : ClientCloseReason::read_error);
  }
  // Copied, so that a connection holds what it has received and no room for more.
  asio::buffer_copy(buffer_.prepare(received), asio::buffer(registry_->read_buffer, received));
  buffer_.commit(received);
  switch (state_) {
    case SessionState::awaiting_request:
    case SessionState::idle:
    case SessionState::reading_head:
    case SessionState::receiving_body:
      return parse_input();
    case SessionState::lingering:
      discarded_bytes_ += received;
      buffer_.consume(buffer_.size());
      return discarded_bytes_ > kMaxDiscardedBytes ? close(linger_reason_) : wait_for_input();
    default:  // a pipelined request: buffered until the current one has its response
      read_ahead_bytes_ += received;
      registry_->read_ahead_bytes += received;
      return read_ahead();
  }
}

// Reads into the registry's buffer and dates what was read. Nothing of it arrived before the last
// complete read: an age that reaches back much further is that of a wall clock which was stepped.
// What follows a pause may have waited at the client, as the socket had no room: it may be as old
// as the last complete read.
std::size_t ClientSession::read_some(error_code& ec) {
  const auto started_at = Clock::now();
  const bool has_all = !was_paused_ || runtime::has_receive_room(socket_.native_handle());
  const runtime::ReceivedBytes received =
      runtime::receive_with_age(socket_, asio::buffer(registry_->read_buffer), 0, ec);
  if (ec) {
    return 0;
  }
  const auto now = Clock::now();
  const auto arrived_at = now - received.age;
  const bool is_plausible = arrived_at > input_read_at_ - kClockTolerance;
  input_arrived_at_ = is_plausible ? std::max(arrived_at, input_read_at_) : now;
  if (was_paused_) {
    input_arrived_at_ = std::min(input_arrived_at_, input_read_at_ + kLatestStart);
  }
  if (has_all && received.size < kReadChunk) {
    input_read_at_ = started_at;
    was_paused_ = false;
  }
  return received.size;
}

void ClientSession::record_progress() {
  SessionQueue& queue = registry_->queue(state_);
  queue.splice(queue.end(), queue, queue_position_);
  last_progress_at_ = Clock::now();
}

void ClientSession::expire() {
  if (state_ == SessionState::reading_head || state_ == SessionState::receiving_body) {
    return reject(NotTakenReason::timed_out, boost::beast::http::status::request_timeout);
  }
  if (state_ == SessionState::awaiting_request || state_ == SessionState::idle) {
    return close_gracefully();
  }
  close(ClientCloseReason::timed_out);
}

// Part of a request may be missing.
bool ClientSession::is_receiving() const {
  return state_ == SessionState::awaiting_request || state_ == SessionState::idle ||
         state_ == SessionState::reading_head || state_ == SessionState::receiving_body;
}

void ClientSession::reject_if_incomplete() {
  const auto self = shared_from_this();
  take_turn();
  while (is_receiving() && !waits_for_others() && has_unread_input()) {
    read_available();
    take_turn();
  }
  if (is_receiving() && request_started_) {
    reject(NotTakenReason::shutdown, boost::beast::http::status::service_unavailable);
  }
}

// Whoever takes bytes out of the stream calls this again.
void ClientSession::read_on_or_pause() {
  if (request_stream_->full()) {
    was_paused_ = true;
  } else {
    wait_for_input();
  }
}

// What the client has sent and the socket has no room for waits at the client. A socket with room
// has all of it.
bool ClientSession::last_byte_may_be_sent() {
  error_code ec;
  const std::size_t unread = socket_.available(ec);
  if (unread == 0 && !ec) {
    return false;
  }
  const auto remaining = parser_->content_length_remaining();
  return ec || !remaining || unread >= *remaining ||
         !runtime::has_receive_room(socket_.native_handle());
}

// While the body is read in parts as memory allows, its last byte may be in the socket, or at the
// client behind it, at any time after the last complete read.
void ClientSession::reject_if_overdue(Clock::time_point now) {
  if (state_ != SessionState::receiving_body) {
    return;
  }
  if (!last_byte_may_be_sent()) {
    input_read_at_ = now;
  } else if (was_paused_ && now - input_read_at_ - kLatestStart >= upload_timeout_) {
    reject(NotTakenReason::memory_short, boost::beast::http::status::service_unavailable);
  }
}

void ClientSession::enter(SessionState state) {
  SessionQueue& queue = registry_->queue(state);
  queue.splice(queue.end(), registry_->queue(state_), queue_position_);
  state_ = state;
  last_progress_at_ = Clock::now();
  if (state == SessionState::writing_response || state == SessionState::streaming_response ||
      state == SessionState::receiving_body) {
    release_reservation();
  }
  if (state != SessionState::awaiting_response && state != SessionState::streaming_response) {
    release_read_ahead();
  }
  update_charges();
}

void ClientSession::update_charges() {
  input_charge_.set(buffer_.capacity());
  request_charge_.set(message_.memory_bytes());
  output_charge_.set(output_.capacity() + response_.memory_bytes());
}

void ClientSession::release_read_ahead() {
  registry_->read_ahead_bytes -= std::exchange(read_ahead_bytes_, 0);
}

void ClientSession::release_reservation() {
  registry_->reserved_body_bytes -= std::exchange(reserved_body_bytes_, 0);
}

// While a response is due or streamed, input is read, within bounds, as this detects that the
// client disconnects. Above the bounds ClientListener::close_disconnected checks for it.
void ClientSession::read_ahead() {
  if (buffer_.size() + kReadChunk <= buffer_.max_size() &&
      registry_->read_ahead_bytes < registry_->limits.body_bytes && admits(buffer_.capacity())) {
    wait_for_input();
  }
}

// Closing a connection would lose the requests in its buffer, so these get their responses first,
// until kCloseAllIdleAfter has passed.
bool ClientSession::must_close_after_response() const {
  const auto since = registry_->closing_idle_since;
  return since && (buffer_.size() == 0 || Clock::now() - *since > kCloseAllIdleAfter);
}

void ClientSession::disconnect_exchange() {
  const ExchangeId exchange = std::exchange(exchange_, 0);
  if (exchange != 0 && registry_->pending_exchanges.erase(exchange) > 0) {
    registry_->callbacks.client_disconnected(exchange);
  }
}

void ClientSession::prepare_for_next_request() {
  scanner_ = HeadScanner(HeadScanner::Kind::request);
  head_complete_ = false;
  request_started_ = false;
  head_only_ = false;
  release_memory(message_);
  upload_timeout_ = Clock::duration::max();
  body_size_ = 0;
  parser_.emplace();
}

void ClientSession::await_next_request() {
  prepare_for_next_request();
  enter(SessionState::idle);
  if (buffer_.size() > 0) {
    return parse_input();
  }
  buffer_.shrink_to_fit();
  wait_for_input();
}

void ClientSession::wait_for_input() {
  if (waiting_for_input_) {
    return;
  }
  waiting_for_input_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
    self->waiting_for_input_ = false;
    if (self->state_ == SessionState::closed) {
      return;  // the registry may be gone
    }
    const runtime::WorkMonitor::Scope scope(self->registry_->work_monitor, "client_input");
    if (ec) {
      self->close(ClientCloseReason::read_error);
    } else {
      self->read_available();
    }
  });
}

}  // namespace gateway::http
