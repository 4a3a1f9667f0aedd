/// @file
/// Parses messages into the gateway's message types.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include "http/messages.hpp"

namespace gateway::http {

/// Reads one message. Header fields go to a HeaderFields as they are parsed, with no allocation for
/// each; trailers are discarded. The size of a body is not limited here.
template <bool IsRequest>
class MessageParser final : public boost::beast::http::basic_parser<IsRequest> {
 public:
  using Message = std::conditional_t<IsRequest, HttpRequest, HttpResponse>;
  using ErrorCode = boost::system::error_code;

  MessageParser() {
    this->header_limit(kHeaderLimit);
    this->body_limit(std::numeric_limits<std::uint64_t>::max());
  }

  /// Removes the head from `buffer`, which must contain all of it. `ec` is set if it is invalid.
  void read_head(boost::beast::flat_buffer& buffer, ErrorCode& ec) {
    while (!this->is_header_done() && buffer.size() > 0 && !ec) {
      buffer.consume(this->put(buffer.data(), ec));
    }
    if (ec == boost::beast::http::error::need_more) {
      ec = {};
    }
  }

  /// Moves the body bytes in `buffer` to the end of `body`. The head must have been read. `ec` is
  /// set if the framing of the body is invalid.
  void read_body(boost::beast::flat_buffer& buffer, std::string& body, ErrorCode& ec) {
    this->eager(true);
    body_ = &body;
    while (buffer.size() > 0 && !this->is_done() && !ec) {
      const std::size_t parsed_bytes = this->put(buffer.data(), ec);
      buffer.consume(parsed_bytes);
      if (ec == boost::beast::http::error::need_more) {
        ec = {};
        if (parsed_bytes == 0) {
          break;
        }
      }
    }
    body_ = nullptr;
  }

  /// The head, without a body. To be called once.
  Message take_head() { return std::move(message_); }

 private:
  using StringView = boost::beast::string_view;

  void on_request_impl(boost::beast::http::verb method, StringView, StringView target, int version,
                       ErrorCode&) override {
    if constexpr (IsRequest) {
      message_.method = method;
      message_.target.assign(target.data(), target.size());
    }
    message_.version = static_cast<unsigned>(version);
  }
  void on_response_impl(int code, StringView, int version, ErrorCode&) override {
    if constexpr (!IsRequest) {
      message_.status = static_cast<boost::beast::http::status>(code);
    }
    message_.version = static_cast<unsigned>(version);
  }
  void on_field_impl(boost::beast::http::field, StringView name, StringView value,
                     ErrorCode&) override {
    if (!head_is_complete_) {
      message_.fields.append({name.data(), name.size()}, {value.data(), value.size()});
    }
  }
  void on_header_impl(ErrorCode&) override { head_is_complete_ = true; }
  void on_body_init_impl(const boost::optional<std::uint64_t>&, ErrorCode&) override {}
  std::size_t on_body_impl(StringView bytes, ErrorCode&) override { return append_body(bytes); }
  void on_chunk_header_impl(std::uint64_t, StringView, ErrorCode&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, StringView bytes, ErrorCode&) override {
    return append_body(bytes);
  }
  void on_finish_impl(ErrorCode&) override {}

  // Outside of read_body nothing is consumed: the rest waits in the buffer.
  std::size_t append_body(StringView bytes) {
    if (body_ == nullptr) {
      return 0;
    }
    body_->append(bytes.data(), bytes.size());
    return bytes.size();
  }

  Message message_;
  std::string* body_ = nullptr;
  bool head_is_complete_ = false;
};

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

}  // namespace gateway::http
