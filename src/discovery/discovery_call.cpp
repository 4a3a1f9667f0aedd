#include "discovery/discovery_call.hpp"

#include <boost/beast/http/read.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "runtime/socket_write.hpp"

namespace gateway::discovery {
namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

/// Enough for the list of about ten thousand endpoints.
constexpr std::uint64_t kMaxResponseBytes = 4 << 20;
constexpr unsigned kHttp11 = 11;  // HTTP/1.1 in Beast's notation

/// The endpoint list in a response; empty if the response does not contain a valid list.
std::optional<EndpointList> decode(const beast_http::response<beast_http::string_body>& response) {
  if (response.result() != beast_http::status::ok) {
    return std::nullopt;
  }
  const auto json = nlohmann::json::parse(response.body(), nullptr, false);
  if (json.is_discarded()) {
    return std::nullopt;
  }
  try {
    return parse_endpoint_list(json);
  } catch (const std::invalid_argument&) {
    return std::nullopt;
  }
}

}  // namespace

DiscoveryCall::DiscoveryCall(asio::io_context& io, runtime::Clock& clock, tcp::endpoint server,
                             Observer& observer)
    : observer_(&observer),
      clock_(clock),
      server_(std::move(server)),
      socket_(io),
      timer_(clock.make_timer()) {}

void DiscoveryCall::cancel() {
  observer_ = nullptr;
  timer_->cancel();
  error_code ignored;
  socket_.close(ignored);
}

void DiscoveryCall::start(const Request& request) {
  kind_ = request.kind;
  epoch_ = request.epoch;
  is_retry_ = false;
  ++requests_;
  request_ = {beast_http::verb::get, request.target, kHttp11};
  request_.set(beast_http::field::host,
               server_.address().to_string() + ":" + std::to_string(server_.port()));
  parser_.emplace();
  parser_->body_limit(kMaxResponseBytes);
  // Without a timeout a server that does not respond would block the watch permanently.
  set_timeout(request.timeout);
  if (socket_.is_open()) {
    return write();
  }
  socket_.async_connect(server_, [self = shared_from_this()](error_code ec) {
    if (!self->observer_) {
      return;
    }
    if (ec) {
      return self->finish(std::nullopt);
    }
    error_code ignored;
    self->socket_.set_option(tcp::no_delay(true), ignored);
    self->write();
  });
}

void DiscoveryCall::set_timeout(std::chrono::milliseconds timeout) {
  timer_->wait_until(clock_.now() + timeout, [self = shared_from_this()] {
    if (self->observer_ && !self->observer_->on_call_overdue(self)) {
      self->finish(std::nullopt);
    }
  });
}

void DiscoveryCall::write() {
  output_ = runtime::text_of_message(request_);
  runtime::async_write_all(socket_, output_, [self = shared_from_this()](error_code ec) {
    if (!self->observer_) {
      return;
    }
    if (ec) {
      return self->finish(std::nullopt);
    }
    beast_http::async_read(
        self->socket_, self->buffer_, *self->parser_,
        [self](error_code read_error, std::size_t) { self->on_response(read_error); });
  });
}

void DiscoveryCall::on_response(error_code ec) {
  if (!observer_) {
    return;
  }
  finish(ec ? std::nullopt : decode(parser_->get()));
}

void DiscoveryCall::finish(const std::optional<EndpointList>& list) {
  timer_->cancel();
  error_code ignored;
  // Bytes after a response would be taken as the response to the next call.
  if (!list || !parser_->get().keep_alive() || buffer_.size() > 0) {
    socket_.close(ignored);
  }
  observer_->on_call_finished(shared_from_this(), list);
}

}  // namespace gateway::discovery
