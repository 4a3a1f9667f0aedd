#include "discovery/endpoint_list.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace gateway::discovery {
namespace {

std::invalid_argument not_an_address(std::string_view text) {
  return std::invalid_argument("'" + std::string(text) + "' is no address:port");
}

ListedEndpointState parse_state(const std::string& state) {
  if (state == "SERVING") {
    return ListedEndpointState::serving;
  }
  if (state == "DRAINING") {
    return ListedEndpointState::draining;
  }
  if (state == "DELETED") {
    return ListedEndpointState::removed;
  }
  throw std::invalid_argument("unknown state '" + state +
                              "'; expected SERVING, DRAINING or DELETED");
}

ListedEndpoint parse_host(const nlohmann::json& target) {
  ListedEndpoint host;
  host.uid = target.at("uid").get<std::string>();
  if (host.uid.empty()) {
    throw std::invalid_argument("a host has an empty uid");
  }
  host.state = parse_state(target.at("state").get<std::string>());
  // The address of a removed host is optional.
  if (host.state != ListedEndpointState::removed || target.contains("endpoint")) {
    host.endpoint = parse_endpoint(target.at("endpoint").get<std::string>());
  }
  host.zone = target.value("az", std::string());
  host.machine_type = target.value("model", std::string());
  host.cell = target.value("pod_group", std::int64_t{0});
  host.weight = target.value("capacity_hint", 1.0);
  host.boot_ms = target.value("boot_ms", std::int64_t{0});
  return host;
}

}  // namespace

boost::asio::ip::tcp::endpoint parse_endpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    throw not_an_address(text);
  }
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(std::string(text.substr(0, colon)), ec);
  unsigned short port = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data() + colon + 1, last, port);
  if (ec || error != std::errc{} || end != last) {
    throw not_an_address(text);
  }
  return {address, port};
}

EndpointList parse_endpoint_list(const nlohmann::json& json) {
  try {
    EndpointList list;
    list.version = json.at("rev").get<std::int64_t>();
    list.full = json.value("all", false);
    for (const auto& target : json.at("targets")) {
      list.hosts.push_back(parse_host(target));
    }
    return list;
  } catch (const nlohmann::json::exception& error) {
    throw std::invalid_argument(std::string("endpoint list: ") + error.what());
  }
}

}  // namespace gateway::discovery
