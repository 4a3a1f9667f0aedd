/// @file
/// Stand-in of clients, by the protocol page.
#pragma once

#include <atomic>
#include <cstdio>
#include <string>

#include "host.hpp"
#include "net.hpp"
#include "record.hpp"

namespace review {

/// Hexadecimal, new with each call.
inline std::string new_id() {
  static std::atomic<unsigned> last{0};
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%08x%08x", static_cast<unsigned>(unix_ms()), ++last);
  return text.data();
}

struct ClientRequest {
  std::string request_class = "status";
  std::string id = new_id();
  std::string key = "7f3a9c21e0b4d655";
  int deadline_ms = 2000;
  std::size_t body_bytes = 64;  ///< Not for status.
  std::string path_suffix;
};

inline std::string head_of(const ClientRequest& request) {
  const bool is_read = request.request_class == "status";
  std::string head = std::string(is_read ? "GET" : "POST") + " /" + request.request_class +
                     request.path_suffix +
                     " HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: " + request.id +
                     "\r\nX-Class: " + request.request_class + "\r\nCookie: obj=" + request.key +
                     "\r\nX-Deadline-Ms: " + std::to_string(request.deadline_ms) + "\r\n";
  if (request.request_class == "consent") {
    head += "Idempotency-Key: 5c0f6e1a2b3d4c59" + request.id + "\r\n";
  }
  if (!is_read) {
    head += "Content-Length: " + std::to_string(request.body_bytes) + "\r\n";
  }
  return head + "\r\n";
}

inline std::string body_of(const ClientRequest& request) {
  return request.request_class == "status" ? std::string() : std::string(request.body_bytes, 'b');
}

/// What the client saw: a status, or 0 and how the connection ended.
struct ClientResult {
  int status = 0;
  ReadEnd end = ReadEnd::bytes;
  Message response;
  std::string text() const {
    if (status != 0) {
      return "status " + std::to_string(status) + ", " + std::to_string(response.body.size()) +
             " bytes";
    }
    return end == ReadEnd::timed_out ? "no answer, connection open"
           : end == ReadEnd::closed  ? "no answer, connection closed"
                                     : "no answer, connection reset";
  }
};

inline ClientResult read_result(MessageReader& reader, std::int64_t deadline_ms) {
  ClientResult result;
  if (auto response = reader.read(deadline_ms)) {
    result.status = std::stoi(response->start_line.substr(9, 3));
    result.response = std::move(*response);
  }
  result.end = reader.last_end();
  return result;
}

/// A client that sends one request after another and keeps its connection.
class Client {
 public:
  Client(Address gateway, Knowledge& knowledge, Record& record)
      : gateway_(std::move(gateway)), knowledge_(knowledge), record_(record) {}

  ClientResult send(const ClientRequest& request, std::int64_t wait_ms) {
    knowledge_.add_id(request.id);
    if (!socket_.is_open()) {
      socket_ = connect_to(gateway_);
      if (!socket_.is_open()) {
        return {0, ReadEnd::reset, {}};
      }
    }
    ClientResult result;
    {
      MessageReader reader(socket_);
      write_all(socket_, head_of(request) + body_of(request));
      result = read_result(reader, now_ms() + wait_ms);
    }
    if (result.status == 0 || result.response.field("connection") == "close") {
      socket_.close();
    }
    record_.line("client id=" + request.id + " class=" + request.request_class + ": " +
                 result.text());
    return result;
  }

 private:
  const Address gateway_;
  Knowledge& knowledge_;
  Record& record_;
  Socket socket_;
};

}  // namespace review
