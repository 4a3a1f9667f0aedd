/// @file
/// How a gateway divides its file descriptors and its memory between clients, hosts and bodies.
#pragma once

#include <cstddef>

#include "config/config.hpp"
#include "http/client_listener.hpp"
#include "http/upstream_pool.hpp"

namespace gateway {

/// During a restart two processes serve as one gateway and together keep to the limits of one.
enum class ProcessRole { sole, one_of_two };

/// The number of connections to hosts, with their time limits.
http::UpstreamPool::Limits upstream_limits(const config::Config& config, ProcessRole role);

/// Lowers the counts in `limits` to what the configuration allows; its time limits stay.
http::ClientListener::Limits client_limits(const config::Config& config,
                                           http::ClientListener::Limits limits, ProcessRole role);

/// Bytes that peers may make the process hold: what the limit leaves beside the process's own needs
/// and the overhead of the allocator.
std::size_t peer_memory(const config::Config& config, ProcessRole role);

/// Bytes for the buffered bodies of active requests.
std::size_t body_memory(const config::Config& config, ProcessRole role);

}  // namespace gateway
