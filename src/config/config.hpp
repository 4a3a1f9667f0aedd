/// @file
/// The gateway's configuration: a JSON file and the `GW_*` environment variables as typed settings.
/// Read at startup and again on SIGHUP.
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
  std::string name;                    ///< Names this gateway's directory under `$TMPDIR`.
  tcp::endpoint listen;                ///< Where clients connect.
  tcp::endpoint discovery;             ///< The discovery server that is polled for endpoints.
  std::optional<tcp::endpoint> admin;  ///< Where operators connect; none without an admin server.
  /// File descriptor of the clients' listening socket, inherited from whoever starts the process.
  std::optional<int> passed_socket;
  std::size_t max_descriptors = 1024;         ///< File descriptors that the process may have open.
  std::size_t memory_mb = 192;                ///< MiB; the platform kills a process that uses more.
  load_balancer::Duration connect_timeout{};  ///< For a new connection to a host.
  load_balancer::Settings balancer_settings;  ///< Settings of the load balancer.
  /// The endpoint list of an earlier run, used until discovery answers; it may be out of date.
  std::optional<discovery::EndpointList> known_endpoints;
};

/// Looks up an environment variable like `std::getenv`: null where it is not set. Called only
/// during the call that it is passed to.
using Environment = std::function<const char*(const char*)>;

/// Which source wins where both the environment and the file set a field. At startup a variable
/// overrides the file. A running process keeps the variables that it was started with, so on a
/// reload the file is newer and overrides them.
enum class LoadReason { startup, reload };

/// Reads the file that `GW_CONFIG` names. Throws ConfigError.
Config load_config(const Environment& environment, LoadReason reason = LoadReason::startup);

/// Reads a parsed configuration document. Throws ConfigError.
Config parse_config(const nlohmann::json& document, const Environment& environment,
                    LoadReason reason = LoadReason::startup);

}  // namespace gateway::config
