#include "http/load_report.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace gateway::http {
namespace {

constexpr double kMaxLatencyMs = 1e6;  // longer times are implausible and ignored
constexpr double kNanosecondsPerMs = 1e6;
constexpr double kMaxUtilization = 1.5;  // values above 1 are taken as 1, higher ones ignored

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && text.front() == ' ') {
    text.remove_prefix(1);
  }
  while (!text.empty() && text.back() == ' ') {
    text.remove_suffix(1);
  }
  return text;
}

}  // namespace

std::optional<load_balancer::LoadReport> read_load_report(std::string_view value) {
  value = trimmed(value);
  constexpr std::string_view kFormatPrefix = "TEXT ";
  if (value.substr(0, kFormatPrefix.size()) != kFormatPrefix) {
    return std::nullopt;
  }
  value.remove_prefix(kFormatPrefix.size());
  load_balancer::LoadReport report;
  bool has_field = false;
  while (!value.empty()) {
    const std::size_t end = std::min(value.find(','), value.size());
    const std::string_view field = trimmed(value.substr(0, end));
    value.remove_prefix(std::min(end + 1, value.size()));
    const std::size_t equals = field.find('=');
    if (equals == std::string_view::npos) {
      continue;
    }
    const std::string_view name = field.substr(0, equals);
    const std::string_view text = field.substr(equals + 1);
    double number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size() ||
        !std::isfinite(number) || number < 0) {
      continue;
    }
    if ((name == "util" || name == "utilization") && number <= kMaxUtilization) {
      report.utilization = std::min(number, 1.0);
      has_field = true;
    }
    if ((name == "latency_ms" || name == "recent_ms") && number <= kMaxLatencyMs) {
      report.recent_service_time = load_balancer::Duration(
          static_cast<load_balancer::Duration::rep>(number * kNanosecondsPerMs));
      has_field = true;
    }
  }
  return has_field ? std::optional(report) : std::nullopt;
}

std::optional<load_balancer::LoadReport> load_report_of(const HttpResponse& response) {
  const std::string_view value = response.fields["X-Load"];
  return value.empty() ? std::nullopt : read_load_report(value);
}

}  // namespace gateway::http
