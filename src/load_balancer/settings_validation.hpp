// Checks that settings are within their ranges, before any decision depends on them.
#pragma once

#include "load_balancer/settings.hpp"

namespace load_balancer {

// Throws std::invalid_argument for the first setting that is out of range. The message gives the
// range and the setting's key in the configuration file.
void validate(const Settings& settings);

}  // namespace load_balancer
