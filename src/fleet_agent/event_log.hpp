// The fleet agent's event log: one JSON object a line with the time "t" in Unix milliseconds and
// the event's name "ev". The laboratory's fleet check reads it, so event names and keys must not
// change.
#pragma once

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace spdlog {
class logger;
}

namespace gateway::fleet_agent {

// Not thread-safe.
class EventLog {
 public:
  // Opens the file at `path` and appends to it; an empty path disables the log. Throws
  // OperatorFileError if the file cannot be opened.
  explicit EventLog(const std::string& path);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  bool enabled() const { return logger_ != nullptr; }
  // Writes a line and flushes it; nothing if the log is disabled. The first of `fields` is the
  // event's name "ev".
  void write(std::chrono::nanoseconds unix_time, const nlohmann::ordered_json& fields);

 private:
  std::shared_ptr<spdlog::logger> logger_;  // null: disabled
};

}  // namespace gateway::fleet_agent
