// One connection of SoakClients to a gateway.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "lab/soak/soak_clients.hpp"

namespace gateway::lab {

// How a client behaves during one request.
struct ClientBehaviour {
  std::optional<std::chrono::milliseconds> leaves_after;
  bool writes_slowly = false;
  bool uploads = false;               // a long body, at the rate of a slow link
  std::size_t fast_upload_bytes = 0;  // a long body, as fast as the gateway takes it
  bool is_chunked = false;
  std::chrono::milliseconds timeout{2000};
  int returns = 0;  // sends the request again so many times after it has left
};

// Carries one request at a time. Kept alive by its owner and by pending operations.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(SoakClients& owner, boost::asio::io_context& io, std::size_t target);

  void send(const std::string& id, const std::string& text, ClientBehaviour behaviour);
  void close();
  std::size_t target() const { return target_; }
  bool is_open() const { return is_open_; }
  // Of the request in flight; empty if there is none.
  std::string describe() const;

 private:
  void write_piece(std::size_t from);
  void schedule_piece(std::size_t from);
  bool has_input();
  bool response_arrived_in_time();
  void read();
  void watch_idle();
  void read_body();
  void on_response();
  void on_failure(const std::string& how);
  void set_timers();
  void leave();

  SoakClients* owner_;
  std::size_t target_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timeout_timer_;
  boost::asio::steady_timer leave_timer_;
  boost::asio::steady_timer piece_timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
  std::string id_;  // of the request in flight; empty: idle
  std::string text_;
  ClientBehaviour behaviour_;
  bool connected_ = false;
  bool reading_ = false;  // the response, while the request is written
  bool reused_ = false;
  bool is_open_ = true;
};

}  // namespace gateway::lab
