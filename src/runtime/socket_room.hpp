/// @file
/// Whether the system has room for what arrives at a socket.
#pragma once

#include <linux/sock_diag.h>
#include <sys/socket.h>

#include <array>
#include <cstdint>

namespace gateway::runtime {

/// While a socket has room, its peer's system passes on at once what the peer writes, and nothing
/// of it waits there. False if the system does not tell.
inline bool has_receive_room(int descriptor) {
  // The window of a loopback connection may close with less room than this.
  constexpr std::uint32_t kUsedDivisor = 4;
  std::array<std::uint32_t, SK_MEMINFO_VARS> memory{};
  socklen_t size = sizeof memory;
  if (::getsockopt(descriptor, SOL_SOCKET, SO_MEMINFO, memory.data(), &size) != 0) {
    return false;
  }
  return memory[SK_MEMINFO_RMEM_ALLOC] <= memory[SK_MEMINFO_RCVBUF] / kUsedDivisor;
}

}  // namespace gateway::runtime
