/// @file
/// Reading a host's response: complete, or streamed while its body arrives.
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>
#include <utility>

#include "http/body_codec.hpp"
#include "http/load_report.hpp"
#include "http/upstream_connection.hpp"
#include "http/upstream_timeouts.hpp"

namespace gateway::http {
namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Interim responses (1xx) accepted before the final one; more than any host should send.
constexpr int kMaxInterimResponses = 8;
// Bytes read at a time while memory is short and the head of a response is incomplete. Enough for
// most heads.
constexpr std::size_t kHeadReadChunk = 1 << 10;

}  // namespace

// Resets the parser for the next response, final or interim.
void UpstreamConnection::prepare_for_response() {
  scanner_ = HeadScanner(HeadScanner::Kind::response);
  head_complete_ = false;
  response_held_ = false;
  body_size_ = 0;
  release_memory(buffered_body_);
  ++response_generation_;
  parser_.emplace();
  if (request_->method == beast_http::verb::head) {
    parser_->skip(true);
  }
}

// A timeout or a cancel may end the attempt while the completion of a read is queued in the event
// loop. So no asynchronous library operation may use the parser: only the socket is read here, and
// the handler checks the state before the input is parsed.
void UpstreamConnection::receive() {
  if (receiving_) {
    return;
  }
  receiving_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
    self->receiving_ = false;
    if (!self->is_active()) {
      return;
    }
    const runtime::WorkMonitor::Scope scope(self->owner_->work_monitor(), "host_input");
    if (ec) {
      return self->on_read_error(ec);
    }
    self->read_available();
  });
}

// Reads into a shared buffer, so that a connection that waits for its host holds none.
void UpstreamConnection::read_available() {
  if (awaiting_whole_body_) {
    stream_whole_body();
    if (!is_active()) {
      return;
    }
  }
  error_code ec;
  socket_.non_blocking(true, ec);
  auto& read_buffer = owner_->read_buffer();
  const std::size_t received = socket_.read_some(asio::buffer(read_buffer, read_limit()), ec);
  if (ec == asio::error::would_block || ec == asio::error::try_again ||
      ec == asio::error::interrupted) {
    return receive();
  }
  if (ec) {
    return on_read_error(ec);
  }
  asio::buffer_copy(buffer_.prepare(received), asio::buffer(read_buffer, received));
  buffer_.commit(received);
  on_received();
}

// Of a response for which there may be no memory, little more than the head is read at first.
std::size_t UpstreamConnection::read_limit() const {
  const bool is_short = !owner_->memory_budget()->admits_response(kBufferedBodyLimit);
  return !head_complete_ && is_short ? kHeadReadChunk : kReadChunk;
}

void UpstreamConnection::on_read_error(error_code ec) {
  // The host may have received the last byte although the write has not completed yet: once the
  // last write is started, the request may have been executed.
  if (state_ == State::writing) {
    return finish_attempt(last_write_started_ ? Outcome::reset : Outcome::connect_failed);
  }
  // An orderly end of the connection ends a body without a length.
  if (ec == asio::error::eof && head_complete_ && !has_delimited_body() &&
      parser_->is_header_done()) {
    error_code eof_error;
    parser_->put_eof(eof_error);
    if (!eof_error && parser_->is_done()) {
      return complete_response(Reuse::forbidden);
    }
  }
  finish_attempt(Outcome::reset);
}

void UpstreamConnection::on_received() {
  parsing_ = true;
  parse_response();
  parsing_ = false;
  update_charges();
}

void UpstreamConnection::parse_response() {
  for (;;) {
    if (!head_complete_ && parse_head() == ParseResult::stop) {
      return;
    }
    if (parse_body() == ParseResult::stop) {
      return;
    }
    if (!parser_->is_done()) {
      return continue_body();
    }
    if (status() / 100 != 1) {
      return complete_response(can_reuse() ? Reuse::allowed : Reuse::forbidden);
    }
    // Interim responses are skipped. 101 is invalid, as no change of the protocol was requested.
    if (status() == 101 || ++interim_responses_ > kMaxInterimResponses) {
      return finish_attempt(Outcome::server_error);
    }
    prepare_for_response();
  }
}

UpstreamConnection::ParseResult UpstreamConnection::parse_head() {
  const auto data = buffer_.data();
  const auto head = scanner_.scan({static_cast<const char*>(data.data()), data.size()});
  if (head == HeadScanner::State::invalid ||
      (head == HeadScanner::State::incomplete && buffer_.size() > kHeaderLimit)) {
    finish_attempt(Outcome::server_error);
    return ParseResult::stop;
  }
  if (head == HeadScanner::State::incomplete) {
    receive();
    return ParseResult::stop;
  }
  head_complete_ = true;
  // Nothing tells whether this was written for the present request or for an earlier one.
  if (responses_ > 0 && owner_->host_writes_late(*this)) {
    finish_attempt(Outcome::reset);
    return ParseResult::stop;
  }
  error_code ec;
  parser_->read_head(buffer_, ec);
  const bool is_invalid = ec || !parser_->is_header_done();
  if (is_invalid || (parser_->content_length() && *parser_->content_length() > kBodyLimit)) {
    finish_attempt(Outcome::server_error);
    return ParseResult::stop;
  }
  response_ = parser_->take_head();
  if (state_ == State::writing && status() == 200) {
    return on_early_success();
  }
  if (status() / 100 != 1 && status() != 200 && !parser_->is_done() && has_long_body()) {
    finish_attempt(outcome_of_response());
    return ParseResult::stop;
  }
  return ParseResult::proceed;
}

// A host executes a request only once it has the last byte. A response of status 200 before that
// was meant for an earlier request.
UpstreamConnection::ParseResult UpstreamConnection::on_early_success() {
  if (last_write_started_) {
    response_held_ = true;  // the last byte may have arrived: the end of the write decides
    return ParseResult::stop;
  }
  owner_->on_unexpected_bytes(*this, buffer_.size());
  finish_attempt(Outcome::connect_failed);
  return ParseResult::stop;
}

UpstreamConnection::ParseResult UpstreamConnection::parse_body() {
  std::string body;
  error_code ec;
  if (!parser_->is_done()) {
    parser_->read_body(buffer_, body, ec);
  }
  if (!ec) {
    body_size_ += body.size();
  }
  if (ec || body_size_ > kBodyLimit) {
    finish_attempt(Outcome::server_error);
    return ParseResult::stop;
  }
  if (response_stream_) {
    response_stream_->push(body);
  } else if (status() == 200) {
    buffered_body_ += body;  // of any other status, only the head is used
  }
  // push() may have made the reader drop the stream, which closes this connection.
  return is_active() ? ParseResult::proceed : ParseResult::stop;
}

void UpstreamConnection::continue_body() {
  if (!response_stream_ && (has_long_body() || body_size_ > kBufferedBodyLimit)) {
    if (status() != 200) {
      return finish_attempt(outcome_of_response());
    }
    start_streaming_response();
  } else if (!response_stream_ && status() == 200 && has_unknown_length()) {
    schedule_streaming();
  }
  if (!is_active()) {
    return;
  }
  if (!response_stream_ && status() == 200 && has_short_body() && !reserve_body()) {
    return await_whole_body();
  }
  if (response_stream_) {
    restart_stall_timer();
  }
  // The parser does not limit the size line of a chunk, and a full buffer would throw.
  if (buffer_.size() + kReadChunk > buffer_.max_size()) {
    return finish_attempt(Outcome::server_error);
  }
  if (!response_stream_ || !response_stream_->full()) {
    receive();
  }
}

// Takes memory for all of a short body at once: a part of it is of no use while the rest has none.
// Returns false if there is too little.
bool UpstreamConnection::reserve_body() {
  const auto length = static_cast<std::size_t>(*parser_->content_length());
  if (buffered_body_.capacity() >= length) {
    return true;
  }
  if (!owner_->memory_budget()->admits_response(length)) {
    return false;
  }
  buffered_body_.reserve(length);
  return true;
}

// Reads no further until the rest of the body has arrived at the socket. It is then passed on as
// fast as the client takes it, so that the response needs no memory while the host writes it.
void UpstreamConnection::await_whole_body() {
  awaiting_whole_body_ = true;
  buffer_.shrink_to_fit();
  const auto rest = static_cast<std::size_t>(*parser_->content_length_remaining());
  set_receive_low_watermark(socket_, rest);
  receive();
}

// The system may report a socket as readable before that, when it has no memory for the rest or the
// host has ended the connection; the body is then buffered as far as it has come.
void UpstreamConnection::stream_whole_body() {
  awaiting_whole_body_ = false;
  set_receive_low_watermark(socket_, 1);
  error_code ec;
  if (socket_.available(ec) >= *parser_->content_length_remaining() && !ec) {
    start_streaming_response();
  }
}

void UpstreamConnection::complete_response(Reuse reuse) {
  // The response came before the request was completely written: the host would take the next
  // request for the rest of this one.
  if (state_ != State::reading) {
    reuse = Reuse::forbidden;
  }
  if (!response_stream_) {
    return finish_attempt(outcome_of_response(), reuse);
  }
  response_stream_->finish();
  const auto self = shared_from_this();
  release_streams();
  keep_or_close(reuse, HostCloseReason::response_closes);
}

bool UpstreamConnection::has_short_body() const {
  return parser_->content_length() && *parser_->content_length() <= kBufferedBodyLimit;
}

bool UpstreamConnection::has_long_body() const {
  return parser_->content_length() && *parser_->content_length() > kBufferedBodyLimit;
}

bool UpstreamConnection::has_delimited_body() const {
  return parser_->chunked() || parser_->content_length().has_value();
}

// The body is chunked, or ends with the connection.
bool UpstreamConnection::has_unknown_length() const {
  return !parser_->content_length() && (parser_->chunked() || !parser_->keep_alive());
}

// Bytes that follow a complete response would be taken for the next response.
bool UpstreamConnection::can_reuse() const {
  return parser_->keep_alive() && buffer_.size() == 0;
}

UpstreamConnection::Outcome UpstreamConnection::outcome_of_response() const {
  if (response_.status == beast_http::status::ok) {
    return Outcome::success;
  }
  const bool is_overloaded = response_.status == beast_http::status::service_unavailable ||
                             response_.status == beast_http::status::gateway_timeout;
  if (is_overloaded && response_.fields["X-Not-Run"] == "1") {
    return Outcome::rejected_by_host;
  }
  // By the protocol these are errors of the request, not of the host: other hosts would reject it
  // too.
  if (response_.status == beast_http::status::bad_request ||
      response_.status == beast_http::status::not_found) {
    return Outcome::bad_request;
  }
  return Outcome::server_error;  // the request may have been executed, whatever the status
}

// --- A response that is streamed before it is complete ---

// The body may begin at any time after the head: before its first byte there is nothing to stream,
// and from the due time on, or while memory is short, each byte is passed on at once.
void UpstreamConnection::schedule_streaming() {
  const auto now = Clock::now();
  if (streaming_timer_generation_ != response_generation_) {
    streaming_timer_generation_ = response_generation_;
    streaming_due_at_ = std::min(now + kStreamingDelay, deadline_ - kStreamingMargin);
    start_streaming_timer();
  }
  if (now >= streaming_due_at_ || !owner_->memory_budget()->admits_response(kBufferedBodyLimit)) {
    stream_buffered_body();
  }
}

void UpstreamConnection::start_streaming_timer() {
  streaming_timer_.expires_at(streaming_due_at_);
  streaming_timer_.async_wait(
      [self = shared_from_this(), generation = response_generation_](error_code ec) {
        if (!ec && generation == self->response_generation_) {
          self->stream_buffered_body();
        }
      });
}

void UpstreamConnection::stream_buffered_body() {
  if (state_ == State::reading && !response_stream_ && !buffered_body_.empty()) {
    start_streaming_response();
  }
}

// Reports the attempt as successful; the connection then carries the rest of the response.
void UpstreamConnection::start_streaming_response() {
  const auto self = shared_from_this();
  limit_socket_buffers(socket_);
  response_stream_ = std::make_shared<BodyStream>(owner_->memory_budget());
  response_stream_->push(std::exchange(buffered_body_, {}));
  const std::weak_ptr<UpstreamConnection> weak = weak_from_this();
  response_stream_->on_writable = [weak] {
    const auto connection = weak.lock();
    if (connection && connection->response_stream_ && connection->state_ == State::reading &&
        !connection->parsing_) {
      connection->restart_stall_timer();
      connection->receive();
    }
  };
  response_stream_->on_dropped = [weak] {
    if (const auto connection = weak.lock()) {
      connection->close(HostCloseReason::stream_ended);
    }
  };
  state_ = State::reading;
  AttemptCompletion completion = completion_of(Outcome::success);
  completion.load = load_report_of(response_);
  completion.stream = response_stream_;
  completion.response = std::move(response_);
  owner_->release_attempt(key_);
  owner_->add_stream(self);
  restart_stall_timer();
  owner_->report(std::move(completion));
}

// While the stream is full, the gateway waits for the client, and the client's session limits the
// time.
void UpstreamConnection::restart_stall_timer() {
  if (response_stream_->full()) {
    ++timeout_generation_;
    timeout_timer_.cancel();
    return;
  }
  set_timeout(Clock::now() + kStallTimeout, Outcome::reset);
}

}  // namespace gateway::http
