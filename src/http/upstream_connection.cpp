/// @file
/// Life cycle of a connection to a host: connecting, writing the request, ending the attempt.
#include "http/upstream_connection.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <utility>

#include "http/body_codec.hpp"
#include "http/load_report.hpp"
#include "http/upstream_timeouts.hpp"
#include "runtime/socket_write.hpp"

namespace gateway::http {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

// New connections in place of one that received something before its request.
constexpr int kMaxReconnects = 3;
// What the event loop holds for a socket.
constexpr std::size_t kSocketBytes = 512;

constexpr const char* kDeadlineField = "X-Deadline-Ms: ";

}  // namespace

UpstreamConnection::UpstreamConnection(UpstreamConnectionOwner& owner, asio::io_context& io,
                                       HostRegistration registration, ConnectionId id)
    : owner_(&owner),
      registration_(registration),
      id_(id),
      socket_(io),
      timeout_timer_(io),
      streaming_timer_(io),
      quiet_timer_(io),
      connection_charge_(owner.memory_budget(), MemoryUse::connections),
      input_charge_(owner.memory_budget(), MemoryUse::input),
      response_charge_(owner.memory_budget(), MemoryUse::responses),
      output_charge_(owner.memory_budget(), MemoryUse::output) {
  connection_charge_.set(sizeof(UpstreamConnection) + kSocketBytes);
}

void UpstreamConnection::update_charges() {
  input_charge_.set(buffer_.capacity());
  response_charge_.set(response_.memory_bytes() + buffered_body_.capacity());
  output_charge_.set(output_.capacity());
}

void UpstreamConnection::assign(AttemptKey key, std::shared_ptr<const HttpRequest> request,
                                AttemptTimeouts timeouts, std::shared_ptr<BodyStream> body,
                                Clock::time_point now) {
  key_ = key;
  request_ = std::move(request);
  request_stream_ = std::move(body);
  head_complete_ = false;
  body_size_ = 0;
  sent_at_ = now;
  response_timeout_ = std::max(timeouts.response, Duration::zero());
  deadline_ = now + response_timeout_;
  start_by_ = timeouts.start == Duration::max() ? Clock::time_point::max() : now + timeouts.start;
}

void UpstreamConnection::cancel() {
  finish_attempt(Outcome::cancelled);
}

void UpstreamConnection::fail_unsent() {
  finish_attempt(Outcome::connect_failed);
}

void UpstreamConnection::close(HostCloseReason reason) {
  if (state_ == State::closed) {
    return;
  }
  state_ = State::closed;
  cancel_timers();
  error_code ignored;
  socket_.close(ignored);
  owner_->on_connection_closed(*this, reason);
  release_streams();
}

// Detaches from both streams. A streamed response that is incomplete is aborted.
void UpstreamConnection::release_streams() {
  const auto self = shared_from_this();
  if (const auto stream = std::exchange(request_stream_, nullptr)) {
    stream->on_data = nullptr;
  }
  if (const auto stream = std::exchange(response_stream_, nullptr)) {
    stream->on_writable = nullptr;
    stream->on_dropped = nullptr;
    if (!stream->finished()) {
      stream->abort();
    }
  }
  owner_->remove_stream(self);
}

void UpstreamConnection::set_timeout(Clock::time_point at, Outcome outcome) {
  timeout_timer_.expires_at(at);
  timeout_timer_.async_wait(
      [self = shared_from_this(), generation = ++timeout_generation_, outcome](error_code ec) {
        if (!ec && generation == self->timeout_generation_ && self->state_ != State::closed) {
          self->finish_attempt(outcome);
        }
      });
}

void UpstreamConnection::cancel_timers() {
  ++timeout_generation_;
  ++response_generation_;
  timeout_timer_.cancel();
  streaming_timer_.cancel();
  quiet_timer_.cancel();
}

void UpstreamConnection::connect(const tcp::endpoint& endpoint) {
  state_ = State::connecting;
  endpoint_ = endpoint;
  // Nothing is written before the connection is open: whichever of the three time limits expires
  // first, the request was not executed.
  set_timeout(std::min({deadline_, sent_at_ + owner_->connect_timeout(), start_by_}),
              Outcome::connect_failed);
  error_code ec;
  socket_.open(endpoint.protocol(), ec);  // fails without a free descriptor
  if (ec) {
    return finish_attempt(Outcome::connect_failed);
  }
  socket_.async_connect(endpoint, [self = shared_from_this()](error_code connect_error) {
    if (self->state_ != State::connecting) {
      return;
    }
    if (connect_error) {
      return self->finish_attempt(Outcome::connect_failed);
    }
    error_code ignored;
    self->socket_.set_option(tcp::no_delay(true), ignored);
    self->idle_since_ = Clock::now();
    self->owner_->on_connected(*self);
    self->await_silence(self->idle_since_ + self->owner_->connect_quiet_period(*self));
  });
}

void UpstreamConnection::write_request_at(Clock::time_point quiet_at,
                                          const tcp::endpoint& endpoint) {
  endpoint_ = endpoint;
  set_timeout(std::min(deadline_, start_by_), Outcome::connect_failed);
  await_silence(quiet_at);
}

// Writes the request once nothing has been received until `quiet_at`.
void UpstreamConnection::await_silence(Clock::time_point quiet_at) {
  state_ = State::awaiting_silence;
  quiet_timer_.expires_at(quiet_at);
  quiet_timer_.async_wait([self = shared_from_this()](error_code ec) {
    if (ec || self->state_ != State::awaiting_silence) {
      return;
    }
    if (self->input().kind != Input::Kind::none) {
      return self->on_input_before_request();
    }
    if (self->responses_ > 0) {
      self->sent_at_ = Clock::now();  // the wait is no delay by the host
    }
    self->write_request();
  });
  watch_input();
}

void UpstreamConnection::on_input_before_request() {
  const Input received = input();
  if (received.kind == Input::Kind::bytes) {
    owner_->on_unexpected_bytes(*this, received.bytes);
  }
  if (++reconnects_ > kMaxReconnects) {
    return finish_attempt(Outcome::connect_failed);
  }
  id_ = owner_->on_reconnect(*this, received.kind == Input::Kind::bytes
                                        ? HostCloseReason::unexpected_bytes
                                        : HostCloseReason::host_closed);
  reconnect();
}

void UpstreamConnection::reconnect() {
  quiet_timer_.cancel();
  responses_ = 0;
  error_code ignored;
  socket_.close(ignored);
  connect(endpoint_);
}

void UpstreamConnection::write_request() {
  state_ = State::writing;
  interim_responses_ = 0;
  reconnects_ = 0;
  prepare_for_response();
  if (request_stream_) {
    return start_streaming_request();
  }
  set_timeout(std::min(deadline_, start_by_), Outcome::timeout);
  // The time spent on connecting is subtracted.
  output_ = head_text(deadline_ - Clock::now()) + request_->body;
  update_charges();
  runtime::async_write_all(socket_, output_, [self = shared_from_this()](error_code ec) {
    if (self->state_ != State::writing) {
      return;
    }
    release_memory(self->output_);
    self->update_charges();
    // The last byte was not written, so the request was not executed.
    if (ec) {
      return self->finish_attempt(Outcome::connect_failed);
    }
    self->on_request_written();
  });
}

void UpstreamConnection::on_request_written() {
  state_ = State::reading;
  if (start_by_ < deadline_) {
    set_timeout(deadline_, Outcome::timeout);
  }
  receive();
}

std::string UpstreamConnection::head_text(Duration remaining) const {
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
  return start_line(*request_) + request_->fields.text() + kDeadlineField +
         std::to_string(std::max<std::int64_t>(ms, 1)) + "\r\n\r\n";
}

// --- A request body that is still arriving ---

void UpstreamConnection::start_streaming_request() {
  limit_socket_buffers(socket_);
  const std::weak_ptr<UpstreamConnection> weak = weak_from_this();
  request_stream_->on_data = [weak] {
    if (const auto self = weak.lock(); self && self->request_stream_) {
      self->write_from_stream();
    }
  };
  receive();  // a host may reject the request before it is complete
  write(head_text(remaining_of_streamed_request()), WriteKind::more_follows);
}

// The client's time starts at the last byte of the body, which may have arrived while this
// connection was established.
UpstreamConnection::Duration UpstreamConnection::remaining_of_streamed_request() const {
  if (!request_stream_->finished()) {
    return response_timeout_;
  }
  return response_timeout_ - (Clock::now() - std::max(sent_at_, request_stream_->completed_at()));
}

void UpstreamConnection::write_from_stream() {
  if (!output_.empty() || state_ != State::writing) {
    return;
  }
  const auto stream = request_stream_;
  if (stream->aborted()) {
    return finish_attempt(Outcome::connect_failed);  // its last byte will never be written
  }
  std::string bytes = stream->take();
  if (state_ != State::writing) {
    return;
  }
  const bool is_chunked = request_->fields.contains(kTransferEncoding);
  if (is_chunked && !bytes.empty()) {
    bytes = encode_chunk(bytes);
  }
  const bool is_last = stream->finished() && stream->empty();
  if (is_last && is_chunked) {
    bytes += kLastChunk;
  }
  if (!bytes.empty()) {
    return write(std::move(bytes), is_last ? WriteKind::end_of_request : WriteKind::more_follows);
  }
  if (is_last) {
    return on_streamed_request_written();
  }
  // The gateway waits for the client, which is not a failure of the host. The request is not
  // executed before its last byte, so an expiry is safe to report as connect_failed.
  set_timeout(start_by_, Outcome::connect_failed);
}

void UpstreamConnection::write(std::string text, WriteKind kind) {
  const bool is_last = kind == WriteKind::end_of_request;
  output_ = std::move(text);
  update_charges();
  last_write_started_ = is_last;
  // The host does not execute the request before it has received the last byte.
  set_timeout(std::min(Clock::now() + kStallTimeout, start_by_),
              is_last ? Outcome::timeout : Outcome::connect_failed);
  runtime::async_write_all(socket_, output_, [self = shared_from_this(), is_last](error_code ec) {
    if (self->state_ != State::writing) {
      return;
    }
    release_memory(self->output_);
    self->update_charges();
    if (ec) {
      return self->finish_attempt(Outcome::connect_failed);
    }
    if (is_last) {
      self->on_streamed_request_written();
    } else {
      self->write_from_stream();
    }
  });
}

void UpstreamConnection::on_streamed_request_written() {
  state_ = State::reading;
  request_stream_->on_data = nullptr;
  request_stream_.reset();
  sent_at_ = Clock::now();
  deadline_ = sent_at_ + response_timeout_;
  set_timeout(deadline_, Outcome::timeout);
  if (std::exchange(response_held_, false)) {
    on_received();
  }
}

// --- The end of an attempt ---

AttemptCompletion UpstreamConnection::completion_of(Outcome outcome) const {
  AttemptCompletion completion;
  completion.key = key_;
  completion.host = host();
  completion.outcome = outcome;
  completion.elapsed = Clock::now() - sent_at_;
  completion.connection = id_;
  completion.received = {head_complete_, body_size_};
  return completion;
}

// The connection is kept only after a complete response: a late response to a cancelled attempt
// would be taken for the response to the next request. The attempt of a streamed response has been
// reported before, so only the connection is closed.
void UpstreamConnection::finish_attempt(Outcome outcome, Reuse reuse) {
  const auto self = shared_from_this();
  if (response_stream_) {
    return close(HostCloseReason::stream_ended);
  }
  AttemptCompletion completion = completion_of(outcome);
  if (outcome == Outcome::success || outcome == Outcome::rejected_by_host) {
    completion.load = load_report_of(response_);
  }
  if (outcome == Outcome::success) {
    completion.response = std::move(response_);
    completion.response.body = std::exchange(buffered_body_, {});
  }
  release_streams();
  owner_->release_attempt(key_);
  keep_or_close(reuse, outcome == Outcome::success || outcome == Outcome::rejected_by_host
                           ? HostCloseReason::response_closes
                           : HostCloseReason::attempt_ended);
  owner_->report(std::move(completion));
}

// `reason` is that of a close because the connection may not be reused.
void UpstreamConnection::keep_or_close(Reuse reuse, HostCloseReason reason) {
  if (reuse != Reuse::allowed) {
    return close(reason);
  }
  ++responses_;
  if (!owner_->keeps(*this)) {
    return close(HostCloseReason::not_in_use);
  }
  become_idle();
}

void UpstreamConnection::become_idle() {
  state_ = State::idle;
  cancel_timers();
  request_ = nullptr;
  release_memory(buffered_body_);
  parser_.reset();
  idle_since_ = Clock::now();
  buffer_.shrink_to_fit();
  release_memory(response_);
  update_charges();
  owner_->add_idle(shared_from_this());
  watch_input();
}

// A connection without a request in flight becomes readable when the host closes it. Unexpected
// bytes close it as well.
void UpstreamConnection::watch_input() {
  if (watching_input_) {
    return;
  }
  watching_input_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
    self->watching_input_ = false;
    if (self->state_ != State::idle && self->state_ != State::awaiting_silence) {
      return;
    }
    // A cancelled wait belongs to a socket that was replaced; an event may be false.
    if (ec == asio::error::operation_aborted || self->input().kind == Input::Kind::none) {
      return self->watch_input();
    }
    if (self->state_ == State::idle) {
      self->owner_->on_idle_input(self);
    } else {
      self->on_input_before_request();
    }
  });
}

UpstreamConnection::Input UpstreamConnection::input() {
  std::array<char, kReadChunk> bytes;
  for (;;) {
    error_code ec;
    socket_.non_blocking(true, ec);
    const std::size_t received =
        socket_.receive(asio::buffer(bytes), tcp::socket::message_peek, ec);
    if (ec == asio::error::interrupted) {
      continue;
    }
    if (ec == asio::error::would_block || ec == asio::error::try_again) {
      return {Input::Kind::none, 0};
    }
    return received > 0 ? Input{Input::Kind::bytes, received} : Input{Input::Kind::closed, 0};
  }
}

const char* name_of(HostCloseReason reason) {
  switch (reason) {
    case HostCloseReason::host_closed:
      return "host_closed";
    case HostCloseReason::unexpected_bytes:
      return "unexpected_bytes";
    case HostCloseReason::response_closes:
      return "response_closes";
    case HostCloseReason::attempt_ended:
      return "attempt_ended";
    case HostCloseReason::stream_ended:
      return "stream_ended";
    case HostCloseReason::idle_timeout:
      return "idle_timeout";
    case HostCloseReason::no_capacity:
      return "no_capacity";
    case HostCloseReason::not_in_use:
      return "not_in_use";
    case HostCloseReason::host_distrusted:
      return "host_distrusted";
    case HostCloseReason::shutdown:
      return "shutdown";
  }
  return "unknown";
}

}  // namespace gateway::http
