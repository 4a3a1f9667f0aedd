/// @file
/// Writing a response to a client: complete, or streamed while its body arrives.
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/status.hpp>
#include <utility>

#include "http/body_codec.hpp"
#include "http/client_session.hpp"
#include "runtime/socket_write.hpp"

namespace gateway::http {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::string_view kConnectionClose = "Connection: close\r\n";

}  // namespace

void ClientSession::respond(HttpResponse response, std::shared_ptr<BodyStream> stream) {
  // The connection is closed if part of the body is unread, as it would be parsed as a request.
  const bool has_unread_body = state_ == SessionState::receiving_body;
  if (const auto body = std::exchange(request_stream_, nullptr)) {
    body->abort();
  }
  enter(stream ? SessionState::streaming_response : SessionState::writing_response);
  exchange_ = 0;
  response_ = std::move(response);
  // The connection is closed after a client error: the next request may be invalid as well, and
  // would cost as much again.
  keep_alive_ =
      keep_alive_ && !has_unread_body && !must_close_after_response() &&
      beast_http::to_status_class(response_.status) != beast_http::status_class::client_error;
  if (stream) {
    return start_streaming_response(std::move(stream));
  }
  if (head_only_) {
    return write_head();
  }
  write_complete_response();
}

void ClientSession::write_complete_response() {
  response_.fields.set(kContentLength, std::to_string(response_.body.size()));
  output_ = head_text() + response_.body;
  release_memory(response_);
  update_charges();
  runtime::async_write_all(socket_, output_, [self = shared_from_this()](error_code ec) {
    release_memory(self->output_);
    self->output_charge_.set(0);
    if (self->state_ != SessionState::writing_response) {
      return;
    }
    if (ec) {
      return self->close(ClientCloseReason::write_error);
    }
    self->on_response_written();
  });
}

// The head of a response is written long before its end, and may have said that the connection is
// kept. A next request that has arrived gets an answer.
bool ClientSession::must_close_before_next_request() const {
  return !keep_alive_ ||
         (registry_->takes_no_requests && buffer_.size() == 0 && !has_unread_input());
}

void ClientSession::on_response_written() {
  release_memory(response_);
  response_stream_.reset();
  if (must_close_before_next_request()) {
    linger(ClientCloseReason::after_response);
  } else {
    await_next_request();
  }
}

void ClientSession::write_head() {
  write(head_text(), [this] { on_response_written(); });
}

std::string ClientSession::head_text() const {
  std::string text = start_line(response_) + response_.fields.text();
  if (!keep_alive_) {
    text += kConnectionClose;
  }
  return text + "\r\n";
}

void ClientSession::start_streaming_response(std::shared_ptr<BodyStream> stream) {
  response_stream_ = std::move(stream);
  limit_socket_buffers(socket_);
  chunked_ = false;
  if (!response_.fields.contains(kContentLength)) {
    if (!is_http_1_0_) {
      chunked_ = true;
      response_.fields.set(kTransferEncoding, kChunked);
    } else {
      keep_alive_ = false;  // the end of the connection ends the body
    }
  }
  const std::weak_ptr<ClientSession> weak = weak_from_this();
  response_stream_->on_data = [weak] {
    const auto self = weak.lock();
    if (self && self->state_ == SessionState::streaming_response) {
      self->write_from_stream();
    }
  };
  read_ahead();
  std::string head = head_text();
  release_memory(response_);
  write(std::move(head), [this] { write_from_stream(); });
}

void ClientSession::write_from_stream() {
  if (writing_) {
    return;
  }
  const auto stream = response_stream_;
  std::string bytes = stream->take();
  if (state_ != SessionState::streaming_response) {
    return;
  }
  if (chunked_ && !bytes.empty()) {
    bytes = encode_chunk(bytes);
  }
  const bool is_last = stream->finished() && stream->empty();
  if (is_last && chunked_) {
    bytes += kLastChunk;
  }
  if (is_last && bytes.empty()) {
    return on_response_written();
  }
  if (!bytes.empty()) {
    return write(std::move(bytes),
                 [this, is_last] { is_last ? on_response_written() : write_from_stream(); });
  }
  // After an orderly close, a body that is ended by the end of the connection would look complete.
  if (stream->aborted()) {
    reset();
  }
}

// Closes with a TCP reset, which shows the client that the response is incomplete.
void ClientSession::reset() {
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  close(ClientCloseReason::response_aborted);
}

void ClientSession::write(std::string text, std::function<void()> on_written) {
  output_ = std::move(text);
  update_charges();
  writing_ = true;
  runtime::async_write_all(
      socket_, output_,
      [self = shared_from_this(), on_written = std::move(on_written)](error_code ec) {
        self->writing_ = false;
        if (self->state_ != SessionState::streaming_response &&
            self->state_ != SessionState::writing_response) {
          return;
        }
        if (ec) {
          return self->close(ClientCloseReason::write_error);
        }
        release_memory(self->output_);
        self->update_charges();
        self->record_progress();
        on_written();
      });
}

}  // namespace gateway::http
