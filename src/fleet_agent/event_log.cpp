#include "fleet_agent/event_log.hpp"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/spdlog.h>

#include "fleet_agent/operator_file.hpp"

namespace gateway::fleet_agent {

EventLog::EventLog(const std::string& path) {
  if (path.empty()) {
    return;
  }
  try {
    auto sink = std::make_shared<spdlog::sinks::basic_file_sink_st>(path);
    logger_ = std::make_shared<spdlog::logger>("fleet", std::move(sink));
    logger_->set_pattern("%v");
  } catch (const spdlog::spdlog_ex& error) {
    throw OperatorFileError("log", "", error.what());
  }
}

EventLog::~EventLog() = default;

void EventLog::write(std::chrono::nanoseconds unix_time, const nlohmann::ordered_json& fields) {
  if (!logger_) {
    return;
  }
  nlohmann::ordered_json line{{"t", unix_time / std::chrono::milliseconds(1)}};
  line.update(fields);
  logger_->info("{}", line.dump());
  logger_->flush();
}

}  // namespace gateway::fleet_agent
