// One HTTP request of the laboratory and its response, both handled as a whole. The connection may
// be reused for a further request.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <string>

namespace gateway::lab {

// Keeps itself alive until its callback is called or it is abandoned. All calls are made on the
// socket's event loop.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  struct Outcome {
    bool connected = false, written = false;
    bool answered = false;  // a whole response was received; status and body are set
    bool untouched = true;  // no byte of a response was received
    int status = 0;
    std::string body, retry_after;
  };
  using Callback = std::function<void(const Outcome&, std::unique_ptr<Socket> connection)>;

  // An open `socket` is used as it is, a closed one is connected by begin(). `written` is called
  // once the last byte of `text` is written. `callback` receives the connection if it can be
  // reused, else null.
  Exchange(std::unique_ptr<Socket> socket, std::string text, std::function<void()> written,
           Callback callback)
      : socket_(std::move(socket)),
        text_(std::move(text)),
        written_(std::move(written)),
        callback_(std::move(callback)) {}

  void begin(const boost::asio::ip::tcp::endpoint& to);
  void abandon();  // closes the connection; the callback is not called

 private:
  void write();
  void end(bool keep = false);

  std::unique_ptr<Socket> socket_;
  std::string text_;
  std::function<void()> written_;
  Callback callback_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
  Outcome outcome_;
};

}  // namespace gateway::lab
