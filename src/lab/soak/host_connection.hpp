// One connection of a FaultyHost: its requests, responses and stray bytes.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>

#include "lab/soak/faulty_host.hpp"

namespace gateway::lab {

// Kept alive by its host and by pending operations; `host` is unused once it is closed.
class HostConnection : public std::enable_shared_from_this<HostConnection> {
 public:
  HostConnection(FaultyHost& host, boost::asio::ip::tcp::socket socket);

  void start();
  void close(bool with_reset);

 private:
  struct CurrentRequest {
    std::string id;
    std::size_t attempt = 0;
  };

  void read();
  void read_request();
  void start_slow_read();
  void read_piece();
  void close_if_left();
  void on_request();
  void execute();
  void respond(const std::string& text);
  void start_long_response();
  void write_long_piece();
  void end_attempt();
  void wait(std::chrono::milliseconds delay, void (HostConnection::*then)());
  void send_stray_before_request();
  void schedule_stray();
  void write(const std::string& text);
  void watch_idle();

  FaultyHost* host_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;        // of the request that is executed
  boost::asio::steady_timer stray_timer_;  // of the stray bytes
  boost::asio::steady_timer idle_timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  std::optional<CurrentRequest> current_;
  std::string last_body_;
  std::string long_response_;       // what is still to be written of it
  std::size_t piece_bytes_ = 0;     // read of the request every kReadPieceInterval
  std::size_t readable_bytes_ = 0;  // of the request; the host reads no further
  RequestLedger::Time first_byte_at_;
  std::string stray_;
  bool is_open_ = true;
};

}  // namespace gateway::lab
