/// @file
/// Strict validation of the head of an HTTP/1 message.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace gateway::http {

/// Validates a head before the parser reads it. If two HTTP implementations disagree on where a
/// message ends, one of them can be made to take part of a body for a request (request smuggling),
/// so every ambiguous head is invalid. Scans one head; a new message needs a new scanner.
class HeadScanner {
 public:
  enum class Kind { request, response };
  enum class State { incomplete, complete, invalid };

  explicit HeadScanner(Kind kind) : kind_(kind) {}

  /// `received` contains all bytes since the first one of the message; scanning continues where the
  /// last call stopped.
  State scan(std::string_view received);
  /// Number of header fields scanned so far.
  std::size_t fields() const { return fields_; }

 private:
  bool accept_line(std::string_view line);
  bool accept_field(std::string_view line);

  Kind kind_;
  std::size_t position_ = 0;
  std::size_t line_start_ = 0;
  std::size_t fields_ = 0;
  bool at_start_line_ = true;
  bool has_content_length_ = false;
  bool has_transfer_encoding_ = false;
  bool is_http_1_0_ = false;
};

}  // namespace gateway::http
