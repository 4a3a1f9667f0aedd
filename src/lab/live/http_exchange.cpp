#include "lab/live/http_exchange.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

namespace gateway::lab {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{64} << 20;

}  // namespace

void Exchange::begin(const asio::ip::tcp::endpoint& to) {
  if (socket_->is_open()) {
    outcome_.connected = true;
    return write();
  }
  socket_->async_connect(to, [self = shared_from_this()](error_code ec) {
    if (ec) {
      return self->end();
    }
    self->outcome_.connected = true;
    error_code ignored;
    self->socket_->set_option(asio::ip::tcp::no_delay(true), ignored);
    self->write();
  });
}

void Exchange::abandon() {
  callback_ = nullptr;
  error_code ignored;
  if (socket_) {
    socket_->close(ignored);
  }
}

void Exchange::write() {
  asio::async_write(
      *socket_, asio::buffer(text_), [self = shared_from_this()](error_code ec, std::size_t) {
        if (ec) {
          return self->end();
        }
        self->outcome_.written = true;
        if (self->written_) {
          self->written_();
        }
        self->parser_.body_limit(kMaxBodyBytes);
        beast_http::async_read(*self->socket_, self->buffer_, self->parser_,
                               [self](error_code read_error, std::size_t n) {
                                 self->outcome_.untouched = n == 0 && self->buffer_.size() == 0;
                                 if (read_error) {
                                   return self->end();
                                 }
                                 auto& message = self->parser_.get();
                                 self->outcome_.answered = true;
                                 self->outcome_.status = static_cast<int>(message.result_int());
                                 self->outcome_.body = std::move(message.body());
                                 self->outcome_.retry_after =
                                     std::string(message[beast_http::field::retry_after]);
                                 self->end(message.keep_alive());
                               });
      });
}

void Exchange::end(bool keep) {
  if (!callback_) {
    return;
  }
  const Callback callback = std::exchange(callback_, nullptr);
  if (!keep) {
    error_code ignored;
    socket_->close(ignored);
  }
  callback(outcome_, keep ? std::move(socket_) : nullptr);
}

}  // namespace gateway::lab
