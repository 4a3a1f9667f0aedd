/// @file
/// The memory that all streamed bodies of a gateway share.
#pragma once

#include <cstddef>

namespace gateway::http {

/// Shared by all BodyStreams of one event loop. The streams update `used_bytes`; at `limit_bytes`
/// and above each of them buffers less, but none fails.
struct BufferBudget {
  std::size_t limit_bytes = 16 << 20;
  std::size_t used_bytes = 0;
};

}  // namespace gateway::http
