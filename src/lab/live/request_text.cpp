#include "lab/live/request_text.hpp"

#include <algorithm>
#include <cstdio>

namespace gateway::lab {

std::string request_text(const RequestLine& r) {
  char text[384];
  std::string out = r.post ? "POST /" : "GET /";
  out += r.cls;
  const int length = std::snprintf(
      text, sizeof text,
      "?w=%.0f&k=%016llx HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: %016llx\r\n"
      "Cookie: obj=%016llx\r\nX-Deadline-Ms: %lld\r\n",
      r.work_us, static_cast<unsigned long long>(r.key), static_cast<unsigned long long>(r.id),
      static_cast<unsigned long long>(r.key), static_cast<long long>(r.deadline_ms));
  out.append(text,
             static_cast<std::size_t>(std::clamp(length, 0, static_cast<int>(sizeof text) - 1)));
  out.append("X-Class: ").append(r.cls).append("\r\n");
  if (!r.idempotency_key.empty()) {
    out.append("Idempotency-Key: ").append(r.idempotency_key).append("\r\n");
  }
  return out += r.post ? "Content-Length: 4\r\n\r\nsign" : "\r\n";
}

}  // namespace gateway::lab
