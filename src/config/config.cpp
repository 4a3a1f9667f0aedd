#include "config/config.hpp"

#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "config/json_fields.hpp"
#include "config/settings_reader.hpp"

namespace gateway::config {
namespace {

using load_balancer::Duration;
using nlohmann::json;

/// Fewer file descriptors would not suffice for clients, hosts and the process itself.
constexpr std::size_t kMinDescriptors = 64;
/// Used if the settings have no `connectTimeoutNs`.
constexpr std::chrono::milliseconds kDefaultConnectTimeout{250};
/// Descriptors 0 to 2 are the standard streams.
constexpr int kFirstPassedDescriptor = 3;

/// Reads fields that both the environment and the file can set; `reason` decides which of the two
/// has precedence.
class OverridableFields {
 public:
  OverridableFields(const json& document, const Environment& environment, LoadReason reason)
      : document_(document), environment_(environment), reason_(reason) {}

  /// The value of the field; empty if neither the variable nor the file sets it.
  std::string text(const char* field, const char* variable) const {
    const char* value = environment_(variable);
    if (value && (reason_ == LoadReason::startup || !document_.contains(field))) {
      return value;
    }
    std::string text;
    read_field(document_, field, text);
    return text;
  }

  /// The address in the field. Throws ConfigError if it is not set or invalid.
  tcp::endpoint endpoint(const char* field, const char* variable) const {
    const std::optional<tcp::endpoint> address = optional_endpoint(field, variable);
    if (!address) {
      throw ConfigError(std::string(variable) + " is not set",
                        {variable, "is not set", "address:port"});
    }
    return *address;
  }

  /// The address in the field; empty if it is not set. Throws ConfigError if it is invalid.
  std::optional<tcp::endpoint> optional_endpoint(const char* field, const char* variable) const {
    const std::string address = text(field, variable);
    if (address.empty()) {
      return std::nullopt;
    }
    try {
      return discovery::parse_endpoint(address);
    } catch (const std::invalid_argument& error) {
      throw field_error(variable, error.what(), "address:port");
    }
  }

 private:
  const json& document_;
  const Environment& environment_;
  LoadReason reason_;
};

std::optional<int> read_passed_socket(const char* text) {
  if (!text || !*text) {
    return std::nullopt;
  }
  int descriptor = 0;
  const char* last = text + std::string_view(text).size();
  const auto [end, error] = std::from_chars(text, last, descriptor);
  if (error != std::errc{} || end != last || descriptor < kFirstPassedDescriptor) {
    throw field_error("GW_PASSED_SOCKET",
                      std::string("'") + text + "' is not a descriptor number of at least 3",
                      "a file descriptor from 3 upwards");
  }
  return descriptor;
}

void read_limits(const json& limits, Config& config) {
  read_field(limits, "sockets", config.max_descriptors);
  read_field(limits, "memory_mb", config.memory_mb);
  if (config.max_descriptors < kMinDescriptors) {
    throw field_error("sockets", "at least 64 are needed", "at least 64");
  }
  if (config.memory_mb == 0) {
    throw field_error("memory_mb", "at least 1 is needed", "at least 1");
  }
}

std::optional<discovery::EndpointList> read_known_endpoints(const json& document) {
  if (!document.contains("known")) {
    return std::nullopt;
  }
  try {
    return discovery::parse_endpoint_list(document.at("known"));
  } catch (const std::invalid_argument& error) {
    throw field_error("known", error.what(), "an endpoint list as discovery sends it");
  }
}

/// Constructs a load balancer, because its constructor validates the settings. Throws ConfigError.
void validate_settings(const load_balancer::Settings& settings) {
  try {
    const load_balancer::Balancer balancer(settings, Duration{});
  } catch (const std::invalid_argument& error) {
    throw ConfigError(error.what(), {"settings", error.what(), {}});
  }
}

}  // namespace

Config parse_config(const json& document, const Environment& environment, LoadReason reason) {
  if (!document.is_object()) {
    throw ConfigError("the configuration is no object", {{}, "is no object", "an object"});
  }
  const OverridableFields fields(document, environment, reason);
  Config config;
  config.name = fields.text("name", "GW_NAME");
  config.listen = fields.endpoint("listen", "GW_LISTEN");
  config.discovery = fields.endpoint("discovery", "GW_DISCOVERY");
  config.admin = fields.optional_endpoint("admin_addr", "GW_ADMIN_ADDR");
  config.passed_socket = read_passed_socket(environment("GW_PASSED_SOCKET"));
  const json& settings = object_field(document, "settings");
  config.balancer_settings = read_settings(settings);
  std::string seed;
  read_field(document, "seed", seed);
  if (!seed.empty()) {
    config.balancer_settings.seed = read_seed(seed);
  }
  read_limits(object_field(document, "limits"), config);
  config.connect_timeout = kDefaultConnectTimeout;
  read_field(object_field(settings, "ceilings"), "connectTimeoutNs", config.connect_timeout);
  config.known_endpoints = read_known_endpoints(document);
  validate_settings(config.balancer_settings);
  return config;
}

Config load_config(const Environment& environment, LoadReason reason) {
  const char* path = environment("GW_CONFIG");
  if (!path) {
    throw ConfigError("GW_CONFIG is not set",
                      {"GW_CONFIG", "is not set", "the path of the configuration file"});
  }
  std::ifstream file(path);
  if (!file) {
    throw ConfigError(std::string("cannot read ") + path, {"GW_CONFIG", "cannot read", {}});
  }
  const json document = json::parse(file, nullptr, false);
  try {
    if (document.is_discarded()) {
      throw ConfigError(std::string(path) + " is not valid JSON",
                        {{}, "is not valid JSON", "JSON"});
    }
    return parse_config(document, environment, reason);
  } catch (ConfigError& error) {
    error.set_file(path);
    throw;
  }
}

}  // namespace gateway::config
