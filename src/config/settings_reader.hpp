/// @file
/// Converts the `settings` object of the configuration file to the settings of the load balancer.
/// Its field names are fixed: they are those of the simulator.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "load_balancer/load_balancer.hpp"

namespace gateway::config {

/// Reads the settings and checks the type of each field; the load balancer's constructor checks the
/// values. Throws ConfigError.
load_balancer::Settings read_settings(const nlohmann::json& settings);

/// Reads the seed of the random generator from hexadecimal digits, 64 bits at most. Throws
/// ConfigError.
std::uint64_t read_seed(const std::string& text);

}  // namespace gateway::config
