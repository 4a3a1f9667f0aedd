// Renders the results of runs as one HTML file that opens offline: inline SVG, nothing loaded.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace gateway::lab {

// `a`: results as written by `run --full --out`; `b`: results to compare with them, or null. Plots
// show the first run of each, tables all runs. Throws std::invalid_argument with one line that says
// which side is not such a result, and why.
std::string render_report(const nlohmann::ordered_json& a, const nlohmann::ordered_json* b);

}  // namespace gateway::lab
