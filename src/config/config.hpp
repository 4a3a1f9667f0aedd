/// @file
/// The gateway's configuration, read from a JSON file and the `GW_*` environment variables at
/// startup and again on SIGHUP.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "config/config_error.hpp"
#include "discovery/endpoint_list.hpp"
#include "load_balancer/load_balancer.hpp"

namespace gateway::config {

using tcp = boost::asio::ip::tcp;

struct Config {
  std::string name;                    ///< The gateway's name; part of its state directory's path.
  tcp::endpoint listen;                ///< Address for connections from clients.
  tcp::endpoint discovery;             ///< Address of the discovery server.
  std::optional<tcp::endpoint> admin;  ///< Address for operators' calls; empty: no admin server.
  /// Descriptor of the clients' listening socket, if the process has inherited it from its parent.
  std::optional<int> passed_socket;
  std::size_t max_descriptors = 1024;  ///< Limit of the process's open file descriptors.
  std::size_t memory_mb = 192;         ///< Limit in MiB; the platform kills a process above it.
  load_balancer::Duration connect_timeout{};  ///< For connecting to a host.
  load_balancer::Settings balancer_settings;  ///< Settings of the load balancer.
  /// The endpoint list of an earlier process. It may be out of date; it is used until discovery has
  /// sent a list.
  std::optional<discovery::EndpointList> known_endpoints;
};

/// Returns the value of an environment variable, or null if it is not set, like `std::getenv`. It
/// is called only before the function that it is passed to returns.
using Environment = std::function<const char*(const char*)>;

/// Why the configuration is read; decides which source has precedence if both the environment and
/// the file set a field. At startup a variable overrides the file. On a reload the file overrides a
/// variable, because it is newer: a running process keeps the variables that it was started with.
enum class LoadReason { startup, reload };

/// Reads the configuration from the file that `GW_CONFIG` names and from the environment. Throws
/// ConfigError.
Config load_config(const Environment& environment, LoadReason reason = LoadReason::startup);

/// Reads the configuration from a JSON document and from the environment. Throws ConfigError.
Config parse_config(const nlohmann::json& document, const Environment& environment,
                    LoadReason reason = LoadReason::startup);

}  // namespace gateway::config
