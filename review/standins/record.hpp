/// @file
/// Time since the start of a case, and its record: one line an event, with the time in ms.
#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>

namespace review {

inline const std::chrono::steady_clock::time_point kStart = std::chrono::steady_clock::now();

/// Milliseconds since the start of the case.
inline std::int64_t now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               kStart)
      .count();
}

inline std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void sleep_ms(std::int64_t ms) {
  if (ms > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
  }
}

inline void sleep_until_ms(std::int64_t at) {
  sleep_ms(at - now_ms());
}

/// The file record.txt of a case. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}

  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    file_ << now_ms() << ' ' << text << '\n';
    file_.flush();
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

}  // namespace review
