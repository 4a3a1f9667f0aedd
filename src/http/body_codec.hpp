/// @file
/// Chunks of messages that are streamed.
#pragma once

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/socket_base.hpp>
#include <cstddef>
#include <cstdio>
#include <string>
#include <string_view>

namespace gateway::http {

/// The chunk that ends a chunked body, without trailers.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

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

/// A socket is readable once it has received so many bytes, or earlier if its connection has ended
/// or the system can't keep them.
inline void set_receive_low_watermark(boost::asio::ip::tcp::socket& socket, std::size_t bytes) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::receive_low_watermark(
                        static_cast<int>(std::max(bytes, std::size_t{1}))),
                    ignored);
}

}  // namespace gateway::http
