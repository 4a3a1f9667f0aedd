/// @file
/// Stand-in of a signing node, as the protocol page describes a host: it answers requests whose id
/// a client has sent, and drops a repeat of a keyed request within its data centre.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "net.hpp"
#include "record.hpp"

namespace review {

/// What hosts know together: the ids that clients have sent, and the keys that a zone has seen.
class Knowledge {
 public:
  void add_id(const std::string& id) {
    const std::lock_guard lock(mutex_);
    ids_.insert(id);
  }
  bool has_id(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return ids_.count(id) > 0;
  }
  /// Whether the request runs: a key that the zone has seen within the window is dropped.
  bool runs(const std::string& zone, const std::string& key) {
    if (key.empty()) {
      return true;
    }
    const std::lock_guard lock(mutex_);
    const auto [entry, is_new] = seen_.emplace(zone + "/" + key, now_ms());
    if (!is_new && now_ms() - entry->second <= kWindowMs) {
      return false;
    }
    entry->second = now_ms();
    return true;
  }

 private:
  static constexpr std::int64_t kWindowMs = 15000;
  std::mutex mutex_;
  std::set<std::string> ids_;
  std::map<std::string, std::int64_t> seen_;
};

/// A request that reached a host whole.
struct Arrival {
  std::string host;
  std::string id;
  std::string request_class;
  std::int64_t first_byte_ms = 0;
  std::int64_t last_byte_ms = 0;
  int connection = 0;
  bool ran = false;
};

/// How a host answers one request.
struct Answer {
  std::int64_t work_ms = 40;
  std::size_t body_bytes = 0;        ///< 0: one line.
  std::size_t bytes_per_second = 0;  ///< 0: at once.
  /// The last byte of the body is written this long after the others.
  std::int64_t last_byte_after_ms = 0;
  bool hangs = false;  ///< Never answers; the connection stays open.
};

class Host {
 public:
  using Behaviour = std::function<Answer(const Arrival&)>;

  Host(std::string uid, std::string zone, Knowledge& knowledge, Record& record, Behaviour behaviour)
      : uid_(std::move(uid)),
        zone_(std::move(zone)),
        knowledge_(knowledge),
        record_(record),
        behaviour_(std::move(behaviour)),
        listener_(listen_at(address_)) {
    acceptor_ = std::thread([this] { accept(); });
  }
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;
  /// Connections are served by detached threads that share what they use with the process, so a
  /// case ends with _exit().
  ~Host() { acceptor_.detach(); }

  const std::string& uid() const { return uid_; }
  const std::string& zone() const { return zone_; }
  const Address& address() const { return address_; }
  std::vector<Arrival> arrivals() {
    const std::lock_guard lock(mutex_);
    return arrivals_;
  }

 private:
  void accept() {
    for (int connection = 1;; ++connection) {
      const int fd = ::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      std::thread([this, fd, connection] { serve(Socket(fd), connection); }).detach();
    }
  }

  void serve(Socket socket, int connection) {
    const int yes = 1;
    ::setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    MessageReader reader(socket);
    constexpr std::int64_t kIdleMs = 15000;  // idleCloseNs of the settings
    while (const auto request = reader.read(now_ms() + kIdleMs)) {
      Arrival arrival;
      arrival.host = uid_;
      arrival.id = request->field("x-request-id");
      arrival.request_class = request->field("x-class");
      arrival.first_byte_ms = request->first_byte_ms;
      arrival.last_byte_ms = request->last_byte_ms;
      arrival.connection = connection;
      if (arrival.id.empty() || !knowledge_.has_id(arrival.id)) {
        record_.line("host " + uid_ + " got id '" + arrival.id + "', which no client sent");
        write_all(socket, arrival.id.empty() ? "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
                                             : "HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      arrival.ran = knowledge_.runs(zone_, request->field("idempotency-key"));
      const Answer answer = behaviour_(arrival);
      {
        const std::lock_guard lock(mutex_);
        arrivals_.push_back(arrival);
      }
      record_.line("host " + uid_ + " got id=" + arrival.id + " class=" + arrival.request_class +
                   " connection=" + std::to_string(connection) + " first_byte=" +
                   std::to_string(arrival.first_byte_ms) + (answer.hangs ? " and hangs" : ""));
      if (!respond(socket, arrival, answer)) {
        return;
      }
    }
  }

  // Returns false if the connection is of no more use.
  bool respond(const Socket& socket, const Arrival& arrival, const Answer& answer) {
    if (answer.hangs) {
      std::array<char, 64> bytes;  // until the gateway gives the attempt up
      while (::recv(socket.fd(), bytes.data(), bytes.size(), 0) > 0) {}
      return false;
    }
    sleep_ms(answer.work_ms);
    std::string body = "served " + arrival.id + " by " + uid_ + "\n";
    if (answer.body_bytes > body.size()) {
      body.append(answer.body_bytes - body.size(), 'x');
    }
    const std::string head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Load: TEXT latency_ms=" +
        std::to_string(answer.work_ms) +
        ", util=0.2\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (answer.last_byte_after_ms > 0) {
      if (!write_all(socket, head + body.substr(0, body.size() - 1))) {
        return false;
      }
      sleep_ms(answer.last_byte_after_ms);
      return write_all(socket, body.substr(body.size() - 1));
    }
    if (answer.bytes_per_second == 0) {
      return write_all(socket, head + body);
    }
    if (!write_all(socket, head)) {
      return false;
    }
    constexpr std::int64_t kStepMs = 20;
    const std::size_t step = std::max<std::size_t>(answer.bytes_per_second * kStepMs / 1000, 1);
    for (std::size_t at = 0; at < body.size(); at += step) {
      if (!write_all(socket, body.substr(at, step))) {
        return false;
      }
      sleep_ms(kStepMs);
    }
    record_.line("host " + uid_ + " has written the long answer to id=" + arrival.id);
    return true;
  }

  const std::string uid_;
  const std::string zone_;
  Knowledge& knowledge_;
  Record& record_;
  const Behaviour behaviour_;
  Address address_;
  Socket listener_;
  std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  std::thread acceptor_;
};

}  // namespace review
