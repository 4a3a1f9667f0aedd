// Time and identifiers of the load balancer's interface.
#pragma once

#include <chrono>
#include <cstdint>

namespace load_balancer {

using Duration = std::chrono::nanoseconds;

// Time since any fixed start. It must never go back.
using Time = std::chrono::nanoseconds;

// Chosen by the caller and not reused.
using RequestId = std::uint64_t;

// Assigned by the Balancer when a list first names an address. After ForgetHost it may be assigned
// to another host.
using HostId = std::uint32_t;

// Stands for no host, no class and no tenant.
inline constexpr std::uint32_t kNone = UINT32_MAX;

}  // namespace load_balancer
