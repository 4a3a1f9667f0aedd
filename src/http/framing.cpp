#include "http/framing.hpp"

#include <algorithm>

#include "http/header_fields.hpp"

namespace gateway::http {
namespace {

// Digits of a Content-Length: more than any allowed body needs, without overflow of 64 bits.
constexpr std::size_t kMaxLengthDigits = 18;

bool is_digits(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

bool is_token(std::string_view text) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           kSymbols.find(c) != std::string_view::npos;
  });
}

bool is_supported_version(std::string_view text) {
  return text == "HTTP/1.1" || text == "HTTP/1.0";
}

bool is_request_line(std::string_view line) {  // "GET /path HTTP/1.1"
  const std::size_t method_end = line.find(' ');
  const std::size_t target_end = line.rfind(' ');
  if (method_end == std::string_view::npos || method_end == target_end) {
    return false;
  }
  const std::string_view path = line.substr(method_end + 1, target_end - method_end - 1);
  return is_token(line.substr(0, method_end)) && !path.empty() && path.front() == '/' &&
         std::all_of(path.begin(), path.end(), [](char c) { return c > ' ' && c < 0x7f; }) &&
         is_supported_version(line.substr(target_end + 1));
}

bool is_status_line(std::string_view line) {  // "HTTP/1.1 200 OK", the reason phrase is optional
  return line.size() >= 12 && is_supported_version(line.substr(0, 8)) && line[8] == ' ' &&
         is_digits(line.substr(9, 3)) && (line.size() == 12 || line[12] == ' ');
}

}  // namespace

HeadScanner::State HeadScanner::scan(std::string_view received) {
  for (; position_ < received.size(); ++position_) {
    const char character = received[position_];
    const bool follows_carriage_return = position_ > line_start_ && received[position_ - 1] == '\r';
    if (follows_carriage_return != (character == '\n')) {
      return State::invalid;  // a line feed or carriage return without the other
    }
    if (static_cast<unsigned char>(character) < ' ' && character != '\r' && character != '\n' &&
        character != '\t') {
      return State::invalid;
    }
    if (character != '\n') {
      continue;
    }
    const std::string_view line = received.substr(line_start_, position_ - 1 - line_start_);
    line_start_ = position_ + 1;
    if (line.empty() && !at_start_line_) {
      return has_content_length_ && has_transfer_encoding_ ? State::invalid : State::complete;
    }
    if (!accept_line(line)) {
      return State::invalid;
    }
  }
  return State::incomplete;
}

bool HeadScanner::accept_line(std::string_view line) {
  if (!at_start_line_) {
    return accept_field(line);
  }
  at_start_line_ = false;
  if (!(kind_ == Kind::request ? is_request_line(line) : is_status_line(line))) {
    return false;
  }
  is_http_1_0_ = line.find("HTTP/1.0") != std::string_view::npos;
  return true;
}

bool HeadScanner::accept_field(std::string_view line) {
  const std::size_t colon = line.find(':');
  // A field name has no spaces, so an obsolete line folding is rejected here as well.
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) {
    return false;
  }
  ++fields_;
  const std::string_view name = line.substr(0, colon);
  std::string_view value = line.substr(colon + 1);
  value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
  value = value.substr(0, value.find_last_not_of(" \t") + 1);
  if (equals_ignoring_case(name, "Content-Length")) {
    if (has_content_length_ || !is_digits(value) || value.size() > kMaxLengthDigits) {
      return false;
    }
    has_content_length_ = true;
  } else if (equals_ignoring_case(name, "Transfer-Encoding")) {
    if (has_transfer_encoding_ || is_http_1_0_ || !equals_ignoring_case(value, "chunked")) {
      return false;
    }
    has_transfer_encoding_ = true;
  }
  return true;
}

}  // namespace gateway::http
