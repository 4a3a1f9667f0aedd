/// @file
/// Endpoint lists in discovery's JSON format, which discovery sends and the configuration file
/// stores.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace gateway::discovery {

/// State of a host in discovery: SERVING, DRAINING or DELETED.
enum class ListedEndpointState { serving, draining, removed };

/// A host of an endpoint list.
struct ListedEndpoint {
  std::string uid;  ///< Id of the host, the same at all gateways; its address may differ.
  boost::asio::ip::tcp::endpoint endpoint;  ///< May be unset if the host is removed.
  std::string zone;
  std::string machine_type;
  std::int64_t cell = 0;
  ListedEndpointState state = ListedEndpointState::serving;
  double weight = 1;         ///< Capacity relative to the other hosts.
  std::int64_t boot_ms = 0;  ///< Start of the host, Unix time in ms; 0: unknown, long ago.
};

struct EndpointList {
  std::int64_t version = 0;  ///< Increases with each change until discovery is restarted.
  /// True: a snapshot; a host that it does not list has been removed. False: a delta.
  bool full = false;
  std::vector<ListedEndpoint> hosts;
};

/// Decodes an endpoint list. Throws std::invalid_argument, with a message of one line, if the
/// document has another format.
EndpointList parse_endpoint_list(const nlohmann::json& json);

/// Parses a numeric address with a port, such as "127.0.0.1:8080". Throws std::invalid_argument.
boost::asio::ip::tcp::endpoint parse_endpoint(std::string_view text);

}  // namespace gateway::discovery
