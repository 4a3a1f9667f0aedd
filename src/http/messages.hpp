/// @file
/// The HTTP message types of the gateway and the size limits of every message.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>

namespace gateway::http {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Bytes of a request body or a response body; a longer one is an error.
inline constexpr std::uint64_t kBodyLimit = 32 << 20;
/// Bytes of a body that are buffered before it is streamed. A request with a buffered body can be
/// retried, and a response that fails while it is buffered can be replaced by a retry's.
inline constexpr std::size_t kBufferedBodyLimit = 64 << 10;
/// Bytes of a message head; a longer one is an error.
inline constexpr std::uint32_t kHeaderLimit = 16 << 10;
/// Bytes read from a socket at a time.
inline constexpr std::size_t kReadChunk = 16 << 10;

}  // namespace gateway::http
