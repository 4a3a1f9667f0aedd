/// @file
/// Stand-in of discovery, by the protocol page: the whole list, and a watch on changes.
#pragma once

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "net.hpp"
#include "record.hpp"

namespace review {

struct ListEntry {
  std::string uid;
  std::string endpoint;
  std::string zone;
  std::string state = "SERVING";
  std::int64_t boot_ms = 0;
  std::int64_t changed_in = 1;  ///< Version of the list.
};

inline std::string to_json(const ListEntry& entry) {
  return "{\"uid\":\"" + entry.uid + "\",\"endpoint\":\"" + entry.endpoint + "\",\"az\":\"" +
         entry.zone + "\",\"model\":\"std-3c\",\"pod_group\":0,\"state\":\"" + entry.state +
         "\",\"capacity_hint\":1.0,\"boot_ms\":" + std::to_string(entry.boot_ms) + "}";
}

class Discovery {
 public:
  Discovery(Record& record, std::vector<ListEntry> entries)
      : record_(record), entries_(std::move(entries)), listener_(listen_at(address_)) {
    acceptor_ = std::thread([this] { accept(); });
  }
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;
  ~Discovery() { acceptor_.detach(); }

  const Address& address() const { return address_; }

  /// Adds or changes an entry, in a new version. DELETED is told to watches only.
  void change(const ListEntry& entry) {
    {
      const std::lock_guard lock(mutex_);
      ++version_;
      ListEntry changed = entry;
      changed.changed_in = version_;
      std::erase_if(entries_, [&](const ListEntry& old) { return old.uid == entry.uid; });
      entries_.push_back(changed);
    }
    record_.line("discovery has " + entry.uid + " " + entry.state);
    changed_.notify_all();
  }

  /// When the version that discovery has now was written to the gateway; -1: not yet.
  std::int64_t told_ms(std::int64_t version) {
    const std::lock_guard lock(mutex_);
    for (const auto& [told_version, at] : told_) {
      if (told_version >= version) {
        return at;
      }
    }
    return -1;
  }
  std::int64_t version() {
    const std::lock_guard lock(mutex_);
    return version_;
  }
  /// Waits until the present version was told; false after `limit_ms`.
  bool wait_until_told(std::int64_t limit_ms) {
    const std::int64_t version = this->version();
    for (const std::int64_t end = now_ms() + limit_ms; now_ms() < end; sleep_ms(5)) {
      if (told_ms(version) >= 0) {
        return true;
      }
    }
    return false;
  }
  std::string whole_list() {
    const std::lock_guard lock(mutex_);
    return list_since(-1);
  }

 private:
  // Locked. A negative `since` asks for the whole list.
  std::string list_since(std::int64_t since) const {
    std::string targets;
    for (const ListEntry& entry : entries_) {
      if (since < 0 ? entry.state == "DELETED" : entry.changed_in <= since) {
        continue;
      }
      targets += (targets.empty() ? "" : ",") + to_json(entry);
    }
    return "{\"rev\":" + std::to_string(version_) + ",\"all\":" + (since < 0 ? "true" : "false") +
           ",\"targets\":[" + targets + "]}";
  }

  void accept() {
    for (;;) {
      const int fd = ::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        return;
      }
      std::thread([this, fd] { serve(Socket(fd)); }).detach();
    }
  }

  static std::int64_t number_after(const std::string& line, const std::string& name) {
    const std::size_t at = line.find(name);
    return at == std::string::npos ? -1 : std::stoll(line.substr(at + name.size()));
  }

  void serve(Socket socket) {
    MessageReader reader(socket);
    while (const auto call = reader.read(now_ms() + 120000)) {
      const std::int64_t since = number_after(call->start_line, "since=");
      const std::int64_t wait = number_after(call->start_line, "timeout_ms=");
      std::string body;
      std::int64_t version = 0;
      {
        std::unique_lock lock(mutex_);
        if (since >= 0) {
          changed_.wait_for(lock, std::chrono::milliseconds(std::max<std::int64_t>(wait, 0)),
                            [&] { return version_ > since; });
        }
        body = list_since(since);
        version = version_;
      }
      if (!write_all(socket,
                     "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
      const std::lock_guard lock(mutex_);
      told_.emplace_back(version, now_ms());
      record_.line("discovery told " + body);
    }
  }

  Record& record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<ListEntry> entries_;
  std::int64_t version_ = 1;
  std::vector<std::pair<std::int64_t, std::int64_t>> told_;  // version, time
  Address address_;
  Socket listener_;
  std::thread acceptor_;
};

}  // namespace review
