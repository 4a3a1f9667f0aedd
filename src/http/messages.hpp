/// @file
/// The HTTP message types of the gateway and the size limits of every message.
#pragma once

#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>
#include <cstddef>
#include <cstdint>
#include <ostream>  // before Beast's headers, which need it
#include <string>
#include <string_view>

#include "http/header_fields.hpp"

namespace gateway::http {

/// Versions of HTTP as 10 times the major version and the minor one.
inline constexpr unsigned kHttp10 = 10;
inline constexpr unsigned kHttp11 = 11;

/// Framing of a body and end of a connection.
inline constexpr std::string_view kContentLength = "Content-Length";
inline constexpr std::string_view kTransferEncoding = "Transfer-Encoding";
inline constexpr std::string_view kChunked = "chunked";
inline constexpr std::string_view kConnection = "Connection";

struct HttpRequest {
  boost::beast::http::verb method = boost::beast::http::verb::unknown;
  std::string target;
  unsigned version = kHttp11;
  HeaderFields fields;
  std::string body;

  /// GET or HEAD.
  bool is_read() const {
    return method == boost::beast::http::verb::get || method == boost::beast::http::verb::head;
  }
  std::size_t memory_bytes() const {
    return target.capacity() + fields.memory_bytes() + body.capacity();
  }
};

struct HttpResponse {
  boost::beast::http::status status = boost::beast::http::status::ok;
  unsigned version = kHttp11;
  HeaderFields fields;
  std::string body;

  std::size_t memory_bytes() const { return fields.memory_bytes() + body.capacity(); }
};

/// The start line, without the fields and the empty line that end a head.
std::string start_line(const HttpRequest& request);
std::string start_line(const HttpResponse& response);

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
