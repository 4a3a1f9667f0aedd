// Text of a client's HTTP request. The target carries the work and key for the emulated hosts.
#pragma once

#include <cstdint>
#include <string>

namespace gateway::lab {

struct RequestLine {
  std::string cls;               // class, which is also the path
  double work_us = 0;            // on a core of speed 1
  std::uint64_t key = 0;         // of the requested object; 0: none
  std::uint64_t id = 0;          // X-Request-Id, sent as hexadecimal
  std::int64_t deadline_ms = 0;  // time left, X-Deadline-Ms
  std::string idempotency_key;   // empty: none
  bool post = false;             // POST with a body of four bytes; otherwise GET
};

// The whole request, head and body.
std::string request_text(const RequestLine& line);

}  // namespace gateway::lab
