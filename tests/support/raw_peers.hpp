// Peers on loopback that send and record raw bytes, for tests of framing, pieces and streams.
#pragma once

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "support/network_peers.hpp"

namespace gateway::testing {

// One end of a connection: records the bytes that it receives, and stops reading while paused.
// Kept alive by its pending operations.
class RawConnection : public std::enable_shared_from_this<RawConnection> {
 public:
  explicit RawConnection(tcp::socket socket) : socket_(std::move(socket)) {}
  static std::shared_ptr<RawConnection> connect(asio::io_context& io, const tcp::endpoint& to) {
    tcp::socket socket(io);
    socket.connect(to);
    auto raw = std::make_shared<RawConnection>(std::move(socket));
    raw->read();
    return raw;
  }
  void send(const std::string& text) {
    auto buffer = std::make_shared<std::string>(text);
    unsent += text.size();
    asio::async_write(socket_, asio::buffer(*buffer),
                      [self = shared_from_this(), buffer](error_code, std::size_t n) {
                        self->unsent -= n;
                        self->shut_down_if_sent();
                      });
  }
  void read() {
    socket_.async_read_some(asio::buffer(piece_),
                            [self = shared_from_this()](error_code ec, std::size_t n) {
                              self->received.append(self->piece_.data(), n);
                              if (ec) {
                                self->closed = true;
                              } else if (!self->paused) {
                                self->read();
                              } else {
                                self->stopped = true;
                              }
                            });
  }
  void resume() {
    paused = false;
    if (std::exchange(stopped, false)) {
      read();
    }
  }
  void close() { socket_.close(); }
  // Ends the own side once all that was passed to send() so far is written.
  void shut_down_sending() {
    shut_down_when_sent_ = true;
    shut_down_if_sent();
  }
  // All that was received after the first head, with its framing; empty before the head's end.
  std::string body() const {
    return received.substr(std::min(received.find("\r\n\r\n") + 4, received.size()));
  }
  // Size of body() without a copy of it.
  std::size_t body_size() const {
    if (!head_size_) {
      const std::size_t end = received.find("\r\n\r\n");
      if (end == std::string::npos) {
        return 0;
      }
      head_size_ = end + 4;
    }
    return received.size() - head_size_;
  }
  bool has(const std::string& text) const { return received.find(text) != std::string::npos; }

  std::string received;
  std::size_t unsent = 0;  // bytes passed to send() and not written yet
  // `closed`: the peer has closed the connection. `paused`: set by the test, no read follows the
  // current one. `stopped`: no read is pending, as the connection is paused.
  bool closed = false, paused = false, stopped = false;

 private:
  void shut_down_if_sent() {
    if (shut_down_when_sent_ && unsent == 0) {
      error_code ignored;
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }
  }

  tcp::socket socket_;
  bool shut_down_when_sent_ = false;
  std::array<char, 65536> piece_{};
  mutable std::size_t head_size_ = 0;
};

// A host that accepts connections and reads. The test sends the responses.
class RawHost {
 public:
  explicit RawHost(asio::io_context& io)
      : acceptor_(io, loopback()), endpoint(acceptor_.local_endpoint()) {
    accept();
  }
  std::vector<std::shared_ptr<RawConnection>> connections;

 private:
  void accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) {
        return;
      }
      connections.push_back(std::make_shared<RawConnection>(std::move(socket)));
      connections.back()->read();
      accept();
    });
  }
  tcp::acceptor acceptor_;

 public:
  tcp::endpoint endpoint;
};

// Requests that have arrived on a connection of a host.
inline std::size_t requests_on(const RawConnection& connection) {
  static constexpr std::string_view kHeader = "X-Request-Id";  // once in each
  std::size_t count = 0;
  for (std::size_t at = connection.received.find(kHeader); at != std::string::npos;
       at = connection.received.find(kHeader, at + kHeader.size())) {
    ++count;
  }
  return count;
}

// A body in which lost, repeated or swapped parts show.
inline std::string pattern(std::size_t size) {
  std::string text(size, ' ');
  for (std::size_t i = 0; i < size; ++i) {
    text[i] = static_cast<char>('a' + (i * 7 + i / 251) % 26);
  }
  return text;
}

}  // namespace gateway::testing
