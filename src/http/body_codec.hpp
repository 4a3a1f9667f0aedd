/// @file
/// Reads bodies from a parser and serializes heads and chunks of messages that are streamed:
/// Beast's own serializers need the complete message.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <sstream>
#include <string>
#include <string_view>

namespace gateway::http {

/// The chunk that ends a chunked body, without trailers.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// Moves the body bytes in `buffer` to the end of `body`. The parser must have read the head. `ec`
/// is set if the framing of the body is invalid.
template <bool IsRequest>
void read_body(boost::beast::http::parser<IsRequest, boost::beast::http::buffer_body>& parser,
               boost::beast::flat_buffer& buffer, std::string& body,
               boost::system::error_code& ec) {
  namespace beast_http = boost::beast::http;
  parser.eager(true);
  while (buffer.size() > 0 && !parser.is_done()) {
    // One byte more than the input, so that the parser never runs out of capacity.
    const std::size_t previous_size = body.size();
    const std::size_t capacity = buffer.size() + 1;
    body.resize(previous_size + capacity);
    auto& output = parser.get().body();
    output.data = &body[previous_size];
    output.size = capacity;
    output.more = true;
    const std::size_t parsed_bytes = parser.put(buffer.data(), ec);
    body.resize(previous_size + (capacity - output.size));
    buffer.consume(parsed_bytes);
    if (ec == beast_http::error::need_more || ec == beast_http::error::need_buffer) {
      ec = {};
      if (parsed_bytes == 0) {
        return;
      }
    }
    if (ec) {
      return;
    }
  }
}

/// The start line and the fields, with the empty line that ends them.
template <bool IsRequest, class Body>
std::string serialize_head(const boost::beast::http::message<IsRequest, Body>& message) {
  std::ostringstream text;
  text << message.base();
  return text.str();
}

/// `bytes` as one chunk of a chunked body. Must not be empty: an empty chunk ends the body.
inline std::string encode_chunk(const std::string& bytes) {
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  return size.data() + bytes + "\r\n";
}

/// Bounds the system's buffers of a socket with a streamed body. By default the system buffers
/// megabytes for a slow peer, which delays backpressure.
inline void limit_socket_buffers(boost::asio::ip::tcp::socket& socket) {
  constexpr int kBytes = 128 << 10;
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::send_buffer_size(kBytes), ignored);
  socket.set_option(boost::asio::socket_base::receive_buffer_size(kBytes), ignored);
}

}  // namespace gateway::http
