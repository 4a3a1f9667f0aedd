/// @file
/// Reading a client's request: its head, and its body, buffered or streamed while it arrives.
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/verb.hpp>
#include <string_view>
#include <utility>

#include "http/body_codec.hpp"
#include "http/client_session.hpp"

namespace gateway::http {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::string_view kExpect = "Expect";
// Above this, parsing and forwarding a head takes far longer than for an ordinary one.
constexpr std::size_t kManyFields = 200;

}  // namespace

void ClientSession::parse_input() {
  if (!request_started_) {
    request_started_ = true;
    is_first_request_ = state_ == SessionState::awaiting_request;
    if (state_ == SessionState::idle) {
      enter(SessionState::reading_head);
    }
  }
  if (head_complete_ || parse_head()) {
    parse_body();
  }
}

void ClientSession::parse_body() {
  std::string body;
  error_code ec;
  if (!parser_->is_done()) {
    parser_->read_body(buffer_, body, ec);
  }
  body_size_ += body.size();
  if (ec) {
    return reject(NotTakenReason::invalid, beast_http::status::bad_request);
  }
  if (body_size_ > kBodyLimit) {
    return reject(NotTakenReason::invalid, beast_http::status::payload_too_large);
  }
  // The parser does not limit the size line of a chunk and the trailers. A full buffer would throw,
  // which would end the process.
  if (!parser_->is_done() && buffer_.size() + kReadChunk > buffer_.max_size()) {
    return reject(NotTakenReason::invalid, beast_http::status::payload_too_large);
  }
  on_body_data(body);
}

void ClientSession::on_body_data(const std::string& body) {
  if (state_ == SessionState::receiving_body) {
    return forward_body(body);
  }
  message_.body += body;
  if (parser_->is_done()) {
    return submit_request(nullptr);
  }
  if (message_.body.size() >= buffered_body_limit_ || !admits(message_.body.capacity())) {
    return start_streaming_request();
  }
  update_charges();
  // Each part of a body restarts the time limit; parts of a head do not.
  if (!body.empty()) {
    record_progress();
  }
  wait_for_input();
}

// Returns false if the head is incomplete, waits for its turn or was rejected.
bool ClientSession::parse_head() {
  if (!scan_head()) {
    return false;
  }
  if (scanner_.fields() > kManyFields) {
    wait_for_turn();
    return false;
  }
  return parse_scanned_head();
}

// Other clients are served between two such heads.
void ClientSession::wait_for_turn() {
  waiting_for_turn_ = true;
  update_charges();
  registry_->long_heads.add([self = shared_from_this()] { self->take_turn(); });
}

void ClientSession::take_turn() {
  if (!std::exchange(waiting_for_turn_, false) || state_ == SessionState::closed) {
    return;
  }
  const runtime::WorkMonitor::Scope scope(registry_->work_monitor, "long_head");
  if (parse_scanned_head()) {
    parse_body();
  }
}

// Returns false if the head is incomplete or was rejected.
bool ClientSession::scan_head() {
  const auto data = buffer_.data();
  const auto head = scanner_.scan({static_cast<const char*>(data.data()), data.size()});
  if (head == HeadScanner::State::invalid) {
    reject(NotTakenReason::invalid, beast_http::status::bad_request);
    return false;
  }
  if (head == HeadScanner::State::incomplete && buffer_.size() > kHeaderLimit) {
    reject(NotTakenReason::invalid, beast_http::status::payload_too_large);
    return false;
  }
  if (!admits(buffer_.capacity())) {
    reject(NotTakenReason::memory_short, beast_http::status::service_unavailable);
    return false;
  }
  if (head == HeadScanner::State::incomplete) {
    update_charges();
    wait_for_input();
    return false;
  }
  return true;
}

// Returns false if the head was rejected.
bool ClientSession::parse_scanned_head() {
  head_complete_ = true;
  if (!parse_fields()) {
    return false;
  }
  reserve_body();
  return accept_expectation();
}

// Returns false if the head was rejected.
bool ClientSession::parse_fields() {
  error_code ec;
  parser_->read_head(buffer_, ec);
  if (!parser_->is_header_done() || ec) {
    reject(NotTakenReason::invalid, ec == beast_http::error::header_limit
                                        ? beast_http::status::payload_too_large
                                        : beast_http::status::bad_request);
    return false;
  }
  message_ = parser_->take_head();
  keep_alive_ = parser_->keep_alive();
  head_only_ = message_.method == beast_http::verb::head;
  is_http_1_0_ = message_.version < kHttp11;
  if (parser_->content_length() && *parser_->content_length() > kBodyLimit) {
    reject(NotTakenReason::invalid, beast_http::status::payload_too_large);
    return false;
  }
  return true;
}

// Reserves memory for the body as far as it may be buffered.
void ClientSession::reserve_body() {
  std::uint64_t declared_bytes = 0;
  if (parser_->content_length()) {
    declared_bytes = *parser_->content_length();
  } else if (parser_->chunked()) {
    declared_bytes = kBufferedBodyLimit;
  }
  reserved_body_bytes_ =
      static_cast<std::size_t>(std::min<std::uint64_t>(declared_bytes, kBufferedBodyLimit));
  registry_->reserved_body_bytes += reserved_body_bytes_;
  // Without free memory the body is streamed from its first byte on, and the request can't be
  // retried once part of the body has been sent.
  buffered_body_limit_ =
      registry_->reserved_body_bytes > registry_->limits.body_bytes ? 1 : kBufferedBodyLimit;
}

// Returns false if the request was rejected.
bool ClientSession::accept_expectation() {
  if (!message_.fields.contains(kExpect) || message_.version < kHttp11) {
    return true;
  }
  if (!equals_ignoring_case(message_.fields[kExpect], "100-continue")) {
    reject(NotTakenReason::invalid, beast_http::status::expectation_failed);
    return false;
  }
  if (parser_->is_done() || buffer_.size() > 0) {
    return true;
  }
  // There is no other output, so these few bytes are written at once. If they are lost, the client
  // sends its body after a timeout of its own.
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  std::string_view rest = kContinue;
  error_code ec;
  while (!rest.empty() && (!ec || ec == asio::error::interrupted)) {
    rest.remove_prefix(socket_.write_some(asio::buffer(rest.data(), rest.size()), ec));
  }
  return true;
}

void ClientSession::submit_request(std::shared_ptr<BodyStream> body) {
  if (registry_->takes_no_requests && !is_first_request_) {
    return reject(NotTakenReason::shutdown, beast_http::status::service_unavailable);
  }
  exchange_ = ++registry_->last_exchange;
  ClientRequest request{exchange_, id_, std::move(message_), std::move(body),
                        Clock::now() - input_arrived_at_};
  if (buffer_.size() == 0) {
    buffer_.shrink_to_fit();
  }
  if (!request.body) {
    enter(SessionState::awaiting_response);
  }
  registry_->pending_exchanges.emplace(exchange_, shared_from_this());
  if (!request.body) {
    read_ahead();
  }
  if (std::exchange(is_first_request_, false)) {
    registry_->on_first_request();
  }
  registry_->callbacks.request(std::move(request));
}

// Submits the request before its body is complete. The body is forwarded as it arrives; only what
// its reader has not taken yet is buffered.
void ClientSession::start_streaming_request() {
  enter(SessionState::receiving_body);
  limit_socket_buffers(socket_);
  request_stream_ =
      std::make_shared<BodyStream>(registry_->memory_budget, Backpressure::at_memory_share);
  request_stream_->push(std::exchange(message_.body, {}));
  const std::weak_ptr<ClientSession> weak = weak_from_this();
  request_stream_->on_writable = [weak] {
    const auto self = weak.lock();
    if (!self || self->state_ != SessionState::receiving_body) {
      return;
    }
    self->record_progress();
    self->read_on_or_pause();
  };
  submit_request(request_stream_);
  if (state_ == SessionState::receiving_body) {
    read_on_or_pause();
  }
}

void ClientSession::forward_body(const std::string& body) {
  const auto stream = request_stream_;
  stream->push(body);
  if (state_ != SessionState::receiving_body) {
    return;
  }
  record_progress();
  if (!parser_->is_done()) {
    return read_on_or_pause();
  }
  request_stream_.reset();
  if (buffer_.size() == 0) {
    buffer_.shrink_to_fit();
  }
  enter(SessionState::awaiting_response);
  stream->finish(input_arrived_at_);
  if (state_ != SessionState::awaiting_response) {
    return;
  }
  read_ahead();
  registry_->callbacks.body_complete(exchange_, Clock::now() - input_arrived_at_);
}

void ClientSession::reject(NotTakenReason reason, beast_http::status status) {
  disconnect_exchange();
  if (state_ == SessionState::closed) {
    return;
  }
  if (registry_->callbacks.request_not_taken) {
    registry_->callbacks.request_not_taken(reason, static_cast<unsigned>(status));
  }
  keep_alive_ = false;
  HttpResponse response;
  response.status = status;
  respond(std::move(response), nullptr);
}

}  // namespace gateway::http
