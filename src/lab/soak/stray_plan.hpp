// Bytes that a host writes and that belong to no request: which, how often and how late.
#pragma once

#include <chrono>
#include <string>

namespace gateway::lab {

enum class StrayKind {
  none,
  ok,                   // a second response of status 200
  server_error,         // a second response of status 500
  unavailable,          // a second response of status 503
  unavailable_not_run,  // a second response of status 503 with X-Not-Run: 1
  interim,              // a 1xx response
  half_response,        // a head and a part of its body
  same_write,           // a second response of status 200 right behind the first
  before_request        // a response of status 200 as soon as a connection is accepted
};

struct StrayPlan {
  StrayKind kind = StrayKind::none;
  double share = 0;  // of the responses; of the connections with before_request
  // After the last byte of the response; not used with before_request.
  std::chrono::milliseconds min_delay{0};
  std::chrono::milliseconds max_delay{0};
};

// The bytes of a response with the body; `headers` is empty or ends with a line break.
std::string response_text(int status, const std::string& headers, const std::string& body);
// What a stray of this kind consists of, after a response with the body `last_body`.
std::string stray_text(StrayKind kind, const std::string& last_body);

}  // namespace gateway::lab
