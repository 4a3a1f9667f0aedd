/// @file
/// Maps a client's HTTP request to the balancer's request, by the protocol between clients and
/// hosts.
#pragma once

#include <boost/beast/http/status.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>

#include "http/messages.hpp"
#include "load_balancer/load_balancer.hpp"

namespace gateway {

/// Immutable: contains the classes and tenants of the settings.
class RequestMapper {
 public:
  explicit RequestMapper(const load_balancer::Settings& settings);

  /// The balancer's request without an id, or the status of the response to an invalid request.
  using Result = std::variant<load_balancer::Request, boost::beast::http::status>;
  Result map(const http::HttpRequest& message) const;

 private:
  struct RequestClass {
    std::uint32_t index = 0;
    load_balancer::ClassSettings settings;
  };

  std::unordered_map<std::string, RequestClass> classes_;
  std::unordered_map<std::string, std::uint32_t> tenants_;
};

/// Removes the header fields that concern a single connection only (RFC 9110, 7.6.1).
void remove_hop_by_hop_fields(http::HeaderFields& fields);

/// The message as hosts get it, apart from the remaining time, which each attempt adds.
std::shared_ptr<const http::HttpRequest> to_host_message(http::HttpRequest request,
                                                         bool has_streamed_body);

}  // namespace gateway
