/// @file
/// Blocking sockets with time limits, and the reading of HTTP/1.1 messages.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

#include "record.hpp"

namespace review {

struct Address {
  std::string ip = "127.0.0.1";
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in to_sockaddr(const Address& address) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  ::inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

/// Owns a descriptor.
class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() { close(); }

  int fd() const { return fd_; }
  bool is_open() const { return fd_ >= 0; }
  void close() {
    if (fd_ >= 0) {
      ::close(std::exchange(fd_, -1));
    }
  }

 private:
  int fd_;
};

/// Listens at a free port of the loopback address; sets the port in `address`.
inline Socket listen_at(Address& address) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in at = to_sockaddr(address);
  const int yes = 1;
  ::setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  if (::bind(socket.fd(), reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
      ::listen(socket.fd(), 1024) != 0) {
    throw std::runtime_error("cannot listen at " + address.text());
  }
  socklen_t size = sizeof at;
  ::getsockname(socket.fd(), reinterpret_cast<sockaddr*>(&at), &size);
  address.port = ntohs(at.sin_port);
  return socket;
}

/// A port that was free a moment ago, for a process that binds it itself.
inline Address free_address() {
  Address address;
  listen_at(address);
  return address;
}

/// Closed if the connection is not up within a second.
inline Socket connect_to(const Address& address) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  timeval limit{1, 0};
  ::setsockopt(socket.fd(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  const sockaddr_in to = to_sockaddr(address);
  if (::connect(socket.fd(), reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
    socket.close();
    return socket;
  }
  limit = {30, 0};
  ::setsockopt(socket.fd(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  const int yes = 1;
  ::setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  return socket;
}

inline bool write_all(const Socket& socket, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t written =
        ::send(socket.fd(), bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(written);
  }
  return true;
}

/// How a read ended.
enum class ReadEnd { bytes, closed, reset, timed_out };

/// A message of HTTP/1.1. Names of fields are in lower case.
struct Message {
  std::string start_line;
  std::map<std::string, std::string> fields;
  std::string body;
  std::int64_t first_byte_ms = 0;
  std::int64_t last_byte_ms = 0;

  std::string field(const std::string& name) const {
    const auto entry = fields.find(name);
    return entry == fields.end() ? std::string() : entry->second;
  }
};

/// Reads messages from a connection, one after another.
class MessageReader {
 public:
  explicit MessageReader(const Socket& socket) : socket_(&socket) {}

  ReadEnd last_end() const { return last_end_; }
  /// Bytes of a message that is not complete.
  std::size_t buffered() const { return buffer_.size(); }

  /// Empty if the connection ends, or `deadline_ms` passes, before the message is complete.
  std::optional<Message> read(std::int64_t deadline_ms) {
    Message message;
    std::size_t head_end = 0;
    while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(deadline_ms)) {
        return std::nullopt;
      }
    }
    message.first_byte_ms = first_byte_ms_;
    parse_head(buffer_.substr(0, head_end + 2), message);
    buffer_.erase(0, head_end + 4);
    const bool complete = message.field("transfer-encoding") == "chunked"
                              ? read_chunks(message, deadline_ms)
                              : read_length(message, deadline_ms);
    if (!complete) {
      return std::nullopt;
    }
    message.last_byte_ms = now_ms();
    first_byte_ms_ = buffer_.empty() ? -1 : now_ms();
    return message;
  }

 private:
  bool fill(std::int64_t deadline_ms) {
    pollfd descriptor{socket_->fd(), POLLIN, 0};
    const std::int64_t left = std::max<std::int64_t>(deadline_ms - now_ms(), 0);
    const int ready = ::poll(&descriptor, 1, static_cast<int>(left));
    if (ready <= 0) {
      last_end_ = ReadEnd::timed_out;
      return ready < 0 && errno == EINTR;
    }
    std::array<char, 65536> bytes;
    const ssize_t received = ::recv(socket_->fd(), bytes.data(), bytes.size(), 0);
    if (received <= 0) {
      last_end_ = received == 0 ? ReadEnd::closed : ReadEnd::reset;
      return false;
    }
    if (first_byte_ms_ < 0) {
      first_byte_ms_ = now_ms();
    }
    last_end_ = ReadEnd::bytes;
    buffer_.append(bytes.data(), static_cast<std::size_t>(received));
    return true;
  }

  static void parse_head(const std::string& head, Message& message) {
    std::size_t line_start = 0;
    for (std::size_t end = 0; (end = head.find("\r\n", line_start)) != std::string::npos;
         line_start = end + 2) {
      const std::string line = head.substr(line_start, end - line_start);
      if (line_start == 0) {
        message.start_line = line;
        continue;
      }
      const std::size_t colon = std::min(line.find(':'), line.size());
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
      std::string value = line.substr(std::min(colon + 1, line.size()));
      value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
      message.fields[name] = value;
    }
  }

  bool read_length(Message& message, std::int64_t deadline_ms) {
    const std::string length_text = message.field("content-length");
    const std::size_t length = length_text.empty() ? 0 : std::stoul(length_text);
    while (buffer_.size() < length) {
      if (!fill(deadline_ms)) {
        return false;
      }
    }
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
  }

  bool read_chunks(Message& message, std::int64_t deadline_ms) {
    for (;;) {
      std::size_t line_end = 0;
      while ((line_end = buffer_.find("\r\n")) == std::string::npos) {
        if (!fill(deadline_ms)) {
          return false;
        }
      }
      const std::size_t size = std::stoul(buffer_.substr(0, line_end), nullptr, 16);
      while (buffer_.size() < line_end + 2 + size + 2) {
        if (!fill(deadline_ms)) {
          return false;
        }
      }
      message.body += buffer_.substr(line_end + 2, size);
      buffer_.erase(0, line_end + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }

  const Socket* socket_;
  std::string buffer_;
  std::int64_t first_byte_ms_ = -1;
  ReadEnd last_end_ = ReadEnd::bytes;
};

}  // namespace review
