#include "lab/soak/client_connection.hpp"

#include <poll.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "runtime/arrival_time.hpp"

namespace gateway::lab {
namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;
using tcp = asio::ip::tcp;

// A response is lost if it comes this long after the client's timeout.
constexpr milliseconds kLateResponseSlack{500};
constexpr std::size_t kSlowPieceBytes = 40;
constexpr milliseconds kSlowPiecePause{8};
// 64 kB a second.
constexpr std::size_t kUploadPieceBytes = 3200;
constexpr milliseconds kUploadPiecePause{50};
constexpr std::size_t kFastPieceBytes = 32 << 10;

}  // namespace

ClientConnection::ClientConnection(SoakClients& owner, asio::io_context& io, std::size_t target)
    : owner_(&owner),
      target_(target),
      socket_(io),
      timeout_timer_(io),
      leave_timer_(io),
      piece_timer_(io) {}

void ClientConnection::send(const std::string& id, const std::string& text,
                            ClientBehaviour behaviour) {
  id_ = id;
  text_ = text;
  behaviour_ = behaviour;
  error_code ec;
  if (connected_) {
    socket_.cancel(ec);  // of the wait for the gateway's close
    reused_ = true;
    return write_piece(0);
  }
  socket_.async_connect(owner_->targets_[target_].endpoint,
                        [self = shared_from_this()](error_code connect_error) {
                          if (!self->is_open_) {
                            return;
                          }
                          if (connect_error) {
                            return self->on_failure("connect: " + connect_error.message());
                          }
                          error_code ignored;
                          self->socket_.set_option(tcp::no_delay(true), ignored);
                          runtime::record_arrival_times(self->socket_.native_handle());
                          self->connected_ = true;
                          self->write_piece(0);
                        });
}

std::string ClientConnection::describe() const {
  if (id_.empty()) {
    return {};
  }
  return id_ + " to gateway " + std::to_string(target_) +
         (owner_->ledger_.is_complete(id_) ? ", complete" : ", incomplete") +
         (behaviour_.fast_upload_bytes > 0 ? ", fast upload" : "") +
         (connected_ ? ", connected" : ", connecting") + (reused_ ? ", reused; " : "; ");
}

void ClientConnection::set_timers() {
  timeout_timer_.expires_after(behaviour_.timeout + kLateResponseSlack);
  timeout_timer_.async_wait([self = shared_from_this(), id = id_](error_code ec) {
    if (!ec && self->is_open_ && self->id_ == id && !self->response_arrived_in_time()) {
      self->on_failure("no response in time");
    }
  });
  if (!behaviour_.leaves_after) {
    return;
  }
  leave_timer_.expires_after(*behaviour_.leaves_after);
  leave_timer_.async_wait([self = shared_from_this(), id = id_](error_code ec) {
    if (ec || !self->is_open_ || self->id_ != id) {
      return;
    }
    self->leave();
  });
}

// A busy laboratory has not read it yet.
bool ClientConnection::response_arrived_in_time() {
  return has_input() && asio::steady_timer::clock_type::now() - runtime::unread_age(socket_) <=
                            timeout_timer_.expiry();
}

void ClientConnection::leave() {
  const std::string id = std::exchange(id_, {});
  close();
  owner_->ledger_.on_client_closed(id);
  if (behaviour_.returns > 0) {
    --behaviour_.returns;
    return owner_->on_left(id, text_, target_, behaviour_);
  }
  owner_->on_finished();
}

void ClientConnection::write_piece(std::size_t from) {
  std::size_t size = text_.size() - from;
  if (behaviour_.uploads) {
    size = std::min(kUploadPieceBytes, size);
  } else if (behaviour_.writes_slowly) {
    size = std::min(kSlowPieceBytes, size);
  } else if (behaviour_.fast_upload_bytes > 0) {
    size = std::min(kFastPieceBytes, size);
    if (!std::exchange(reading_, true)) {
      read();
    }
  }
  const bool is_last = from + size >= text_.size();
  asio::async_write(
      socket_, asio::buffer(text_.data() + from, size),
      [self = shared_from_this(), next = from + size, is_last](error_code ec, std::size_t) {
        if (!self->is_open_ || self->id_.empty()) {
          return;
        }
        if (is_last && !ec) {
          self->owner_->ledger_.on_last_byte_sent(self->id_);
          self->set_timers();
        }
        if (self->reading_) {
          return ec || is_last ? void() : self->write_piece(next);
        }
        if (ec || is_last) {
          return self->read();  // a failed write: the response may have arrived
        }
        self->schedule_piece(next);
      });
}

// Stops writing once a response or the end of the connection has come.
void ClientConnection::schedule_piece(std::size_t from) {
  piece_timer_.expires_after(behaviour_.uploads ? kUploadPiecePause : kSlowPiecePause);
  piece_timer_.async_wait([self = shared_from_this(), from](error_code ec) {
    if (ec || !self->is_open_ || self->id_.empty()) {
      return;
    }
    if (self->has_input()) {
      return self->read();
    }
    self->write_piece(from);
  });
}

bool ClientConnection::has_input() {
  pollfd descriptor{socket_.native_handle(), POLLIN, 0};
  return ::poll(&descriptor, 1, 0) > 0;
}

void ClientConnection::read() {
  parser_.emplace();
  beast_http::async_read_header(socket_, buffer_, *parser_,
                                [self = shared_from_this()](error_code ec, std::size_t) {
                                  if (!self->is_open_ || self->id_.empty()) {
                                    return;
                                  }
                                  if (ec) {
                                    return self->on_failure(ec.message());
                                  }
                                  self->read_body();
                                });
}

// Only the first bytes of a response are timed.
void ClientConnection::read_body() {
  timeout_timer_.cancel();
  beast_http::async_read(socket_, buffer_, *parser_,
                         [self = shared_from_this()](error_code ec, std::size_t) {
                           if (!self->is_open_ || self->id_.empty()) {
                             return;
                           }
                           if (ec) {
                             return self->on_failure(ec.message());
                           }
                           self->on_response();
                         });
}

void ClientConnection::on_response() {
  timeout_timer_.cancel();
  leave_timer_.cancel();
  const std::string id = std::exchange(id_, {});
  const auto& response = parser_->get();
  // The rest of a request that is answered before its end would be taken for the next one.
  const bool keep_alive = response.keep_alive() && owner_->ledger_.is_complete(id);
  reading_ = false;
  owner_->ledger_.on_response(id, static_cast<int>(response.result_int()), response.body());
  if (keep_alive) {
    owner_->idle_[target_].push_back(shared_from_this());
    watch_idle();
  } else {
    close();
  }
  owner_->on_finished();
}

void ClientConnection::watch_idle() {
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
    if (!ec && self->is_open_ && self->id_.empty()) {
      self->close();
    }
  });
}

void ClientConnection::on_failure(const std::string& how) {
  const std::string id = std::exchange(id_, {});
  const bool was_connected = connected_;
  close();
  owner_->on_closed_without_response(id, text_, target_, reused_ || !was_connected, how,
                                     behaviour_.timeout);
}

void ClientConnection::close() {
  if (!is_open_) {
    return;
  }
  is_open_ = false;
  timeout_timer_.cancel();
  leave_timer_.cancel();
  piece_timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
  auto& idle = owner_->idle_[target_];
  idle.erase(std::remove(idle.begin(), idle.end(), shared_from_this()), idle.end());
  owner_->all_.erase(shared_from_this());
}

}  // namespace gateway::lab
