#include "gateway/resource_limits.hpp"

#include <algorithm>

namespace gateway {
namespace {

// Buffered bodies may use the process's memory divided by this: a body may be buffered three times,
// and its response needs memory as well.
constexpr std::size_t kBodyMemoryDivisor = 8;
// Program, libraries, endpoint lists and statistics.
constexpr std::size_t kOwnMemory = std::size_t{10} << 20;
// Allocated blocks are larger than what was asked for, and free ones lie between them.
constexpr std::size_t kAllocatorDivisor = 2;
// The clients' third: all descriptors divided by this. Each of two processes has at most that many
// client connections plus kExtraClientConnections; kClientFifths bounds those of a sole process.
constexpr std::size_t kClientDivisor = 3;
// For each process, sole or not: if more connections than this fraction of the clients' third have
// sent a request, the one that is idle longest, if any, is closed to keep capacity for new ones.
constexpr std::size_t kReusedConnectionsNumerator = 3;
constexpr std::size_t kReusedConnectionsDenominator = 4;
// A sole process divides its descriptors, without the reserved ones, into fifths: at most three for
// connections to clients and two for connections to hosts.
constexpr std::size_t kClientFifths = 3;
constexpr std::size_t kUpstreamFifths = 2;
// Descriptors for the listening socket, discovery, operators' calls, the event loop, the standard
// streams and the libraries.
constexpr std::size_t kReservedDescriptors = 32;
// Client connections that each of two processes may have beyond the clients' third.
constexpr std::size_t kExtraClientConnections = 8;

// To hosts, for each of two processes with few descriptors.
constexpr std::size_t kMinUpstreamConnections = 4;

std::size_t fifths_of_descriptors(const config::Config& config, std::size_t fifths) {
  return (config.max_descriptors - kReservedDescriptors) * fifths / 5;
}

}  // namespace

// All clients may connect to the same one of two processes, so the clients' third is not divided
// between them. The remainder, for the hosts, is.
http::UpstreamPool::Limits upstream_limits(const config::Config& config, ProcessRole role) {
  std::size_t connections = fifths_of_descriptors(config, kUpstreamFifths);
  if (role == ProcessRole::one_of_two) {
    const std::size_t clients = config.max_descriptors / kClientDivisor;
    const std::size_t not_for_hosts = clients + 2 * kReservedDescriptors;
    connections =
        config.max_descriptors > not_for_hosts ? (config.max_descriptors - not_for_hosts) / 2 : 0;
    connections = std::max(connections, kMinUpstreamConnections);
  }
  return {connections, config.connect_timeout, config.balancer_settings.idle_connection_timeout};
}

http::ClientListener::Limits client_limits(const config::Config& config,
                                           http::ClientListener::Limits limits, ProcessRole role) {
  const std::size_t client_third = config.max_descriptors / kClientDivisor;
  const std::size_t connections = role == ProcessRole::one_of_two
                                      ? client_third + kExtraClientConnections
                                      : fifths_of_descriptors(config, kClientFifths);
  limits.connections = std::min(limits.connections, connections);
  limits.reused_connections =
      std::min(limits.reused_connections,
               client_third * kReusedConnectionsNumerator / kReusedConnectionsDenominator);
  limits.body_bytes = std::min(limits.body_bytes, body_memory(config, role));
  return limits;
}

std::size_t peer_memory(const config::Config& config, ProcessRole role) {
  const std::size_t limit = config.memory_mb << 20;
  const std::size_t own = std::min(kOwnMemory, limit / 2);
  const std::size_t processes = role == ProcessRole::one_of_two ? 2 : 1;
  return (limit - own) / (processes * kAllocatorDivisor);
}

std::size_t body_memory(const config::Config& config, ProcessRole role) {
  const std::size_t processes = role == ProcessRole::one_of_two ? 2 : 1;
  return (config.memory_mb << 20) / (processes * kBodyMemoryDivisor);
}

}  // namespace gateway
