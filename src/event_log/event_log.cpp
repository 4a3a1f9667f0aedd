#include "event_log/event_log.hpp"

#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace gateway::event_log {
namespace {

// The time stands last, so that a line begins with its event.
constexpr const char* kLinePattern = "%v time=%Y-%m-%dT%H:%M:%S.%eZ";

constexpr std::array<std::string_view, kEventKinds> kEventNames{
    "request_received",       "request_body_received",    "request_served",
    "request_rejected",       "request_failed",           "request_invalid",
    "client_disconnected",    "client_connection_closed", "attempt_sent",
    "attempt_retried",        "attempt_hedged",           "attempt_succeeded",
    "attempt_failed",         "host_connection_opened",   "host_connection_closed",
    "unexpected_bytes",       "host_distrusted",          "host_state_changed",
    "endpoint_list_received", "discovery_failed",         "shutdown_started",
    "memory_use_changed",     "event_loop_delayed",       "request_id_forgotten",
    "request_read_late"};

EventLog::Sink standard_error() {
  auto logger = std::make_shared<spdlog::logger>("gateway",
                                                 std::make_shared<spdlog::sinks::stderr_sink_st>());
  logger->set_formatter(
      std::make_unique<spdlog::pattern_formatter>(kLinePattern, spdlog::pattern_time_type::utc));
  return [logger](std::string_view line) {
    logger->info(spdlog::string_view_t(line.data(), line.size()));
  };
}

// A value from a client must neither end its line nor look like another field.
void append_value(spdlog::memory_buf_t& line, std::string_view value) {
  for (const char c : value) {
    line.push_back(c > ' ' && c < '\x7f' ? c : '_');
  }
}

void append_field(spdlog::memory_buf_t& line, const Field& field) {
  line.push_back(' ');
  line.append(field.key.data(), field.key.data() + field.key.size());
  line.push_back('=');
  if (const auto* text = std::get_if<std::string_view>(&field.value)) {
    return append_value(line, *text);
  }
  spdlog::details::fmt_helper::append_int(std::get<std::int64_t>(field.value), line);
}

}  // namespace

std::string_view name_of(EventKind kind) {
  return kEventNames.at(static_cast<std::size_t>(kind));
}

EventLog::EventLog(const LogSettings& settings) : EventLog(settings, standard_error()) {}

EventLog::EventLog(const LogSettings& settings, Sink sink)
    : settings_(settings), sink_(std::move(sink)), limiter_(settings.lines_per_second) {}

void EventLog::record(EventKind kind, Frequency frequency, std::string_view reason,
                      std::initializer_list<Field> fields) {
  auto& counters = counters_.at(static_cast<std::size_t>(kind));
  const auto counter = counters.find(reason);
  if (counter == counters.end()) {
    counters.emplace(reason, 1);
  } else {
    ++counter->second;
  }
  if (!writes(frequency)) {
    return;
  }
  const auto now = Clock::now();
  report_suppressed(now);
  if (!limiter_.admit(now)) {
    ++suppressed_lines_;
    return;
  }
  spdlog::memory_buf_t line;
  const std::string_view name = name_of(kind);
  line.append(name.data(), name.data() + name.size());
  append_field(line, {"reason", reason});
  for (const Field& field : fields) {
    append_field(line, field);
  }
  sink_({line.data(), line.size()});
}

void EventLog::report_suppressed(Clock::time_point now) {
  if (const auto suppressed = limiter_.take_suppressed(now)) {
    sink_("log_lines_suppressed lines=" + std::to_string(suppressed->lines));
  }
}

void EventLog::write_line(std::string_view line) {
  sink_(line);
}

std::string EventLog::counters_json() const {
  nlohmann::ordered_json out = nlohmann::ordered_json::object();
  for (std::size_t i = 0; i < kEventKinds; ++i) {
    for (const auto& [reason, count] : counters_.at(i)) {
      out[std::string(kEventNames.at(i))][reason] = count;
    }
  }
  out["suppressed_lines"] = suppressed_lines_;
  return out.dump();
}

std::uint64_t EventLog::count(EventKind kind, std::string_view reason) const {
  const auto& counters = counters_.at(static_cast<std::size_t>(kind));
  const auto counter = counters.find(reason);
  return counter == counters.end() ? 0 : counter->second;
}

}  // namespace gateway::event_log
