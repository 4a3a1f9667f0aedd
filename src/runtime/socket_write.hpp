/// @file
/// Writing to a TCP socket on the event loop.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/system/error_code.hpp>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

namespace gateway::runtime {

/// Writes all bytes, then calls `handler(error_code)` from the event loop; never from within the
/// call. The bytes must stay valid until then. Asio's own composed write waits for an edge of
/// writability after each short write, and a socket whose buffer is not full never gets one.
template <class Handler>
void async_write_all(boost::asio::ip::tcp::socket& socket, std::string_view bytes,
                     Handler handler) {
  boost::system::error_code ec;
  if (!socket.non_blocking()) {
    socket.non_blocking(true, ec);
  }
  while (!ec && !bytes.empty()) {
    bytes.remove_prefix(socket.write_some(boost::asio::buffer(bytes.data(), bytes.size()), ec));
    if (ec == boost::asio::error::interrupted) {
      ec = {};
    }
  }
  if (ec != boost::asio::error::would_block && ec != boost::asio::error::try_again) {
    boost::asio::post(socket.get_executor(),
                      [handler = std::move(handler), ec]() mutable { handler(ec); });
    return;
  }
  // Waiting, unlike writing, asks for the present state as well as for its next change.
  socket.async_wait(boost::asio::ip::tcp::socket::wait_write,
                    [&socket, bytes, handler = std::move(handler)](
                        const boost::system::error_code& wait_error) mutable {
                      if (wait_error) {
                        return handler(wait_error);
                      }
                      async_write_all(socket, bytes, std::move(handler));
                    });
}

/// The bytes of a Beast message.
template <class Message>
std::string text_of_message(const Message& message) {
  std::ostringstream out;
  out << message;
  return out.str();
}

}  // namespace gateway::runtime
