#include "event_log/log_settings.hpp"

#include <charconv>
#include <string>
#include <string_view>

namespace gateway::event_log {
namespace {

constexpr std::uint32_t kMaxLinesPerSecond = 100'000;

}  // namespace

LogSettings read_log_settings(const Environment& environment) {
  LogSettings settings;
  if (const char* value = environment("GW_LOG_REQUESTS"); value && *value) {
    const std::string_view text(value);
    if (text != "0" && text != "1") {
      throw LogSettingsError("GW_LOG_REQUESTS: '" + std::string(text) +
                             "' is not valid; expected 0 or 1");
    }
    settings.per_request_events = text == "1";
  }
  if (const char* value = environment("GW_LOG_LINES_PER_SECOND"); value && *value) {
    const std::string_view text(value);
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), settings.lines_per_second);
    if (error != std::errc{} || end != text.data() + text.size() ||
        settings.lines_per_second == 0 || settings.lines_per_second > kMaxLinesPerSecond) {
      throw LogSettingsError("GW_LOG_LINES_PER_SECOND: '" + std::string(text) +
                             "' is not valid; expected a number from 1 to 100000");
    }
  }
  return settings;
}

}  // namespace gateway::event_log
