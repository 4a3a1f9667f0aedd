/// @file
/// Parser of the load report in a response header, for example
/// X-Load: TEXT recent_ms=14.5, utilization=0.62
#pragma once

#include <optional>
#include <string_view>

#include "http/messages.hpp"
#include "load_balancer/load_balancer.hpp"

namespace gateway::http {

/// Parses the value of a host's X-Load header. Reads recent_ms or latency_ms (milliseconds), and
/// utilization or util (fraction): the setting report.fields allows either name. Ignores unknown
/// fields and those whose value is no number or out of range. Returns nullopt if no field remains.
std::optional<load_balancer::LoadReport> read_load_report(std::string_view value);

/// The load report in the X-Load header of a response, or nullopt.
std::optional<load_balancer::LoadReport> load_report_of(const HttpResponse& response);

}  // namespace gateway::http
