#include "lab/soak/stray_plan.hpp"

namespace gateway::lab {

std::string response_text(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string stray_text(StrayKind kind, const std::string& last_body) {
  switch (kind) {
    case StrayKind::none:
      return {};
    case StrayKind::ok:
    case StrayKind::same_write:
    case StrayKind::before_request:
      return response_text(200, "", last_body);
    case StrayKind::server_error:
      return response_text(500, "", "");
    case StrayKind::unavailable:
      return response_text(503, "", "");
    case StrayKind::unavailable_not_run:
      return response_text(503, "X-Not-Run: 1\r\n", "");
    case StrayKind::interim:
      return "HTTP/1.1 102 Processing\r\n\r\n";
    case StrayKind::half_response:
      return "HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\n" + last_body.substr(0, 8);
  }
  return {};
}

}  // namespace gateway::lab
