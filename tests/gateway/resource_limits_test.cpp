// The shares of a process's descriptors.
#include "gateway/resource_limits.hpp"

#include <gtest/gtest.h>

namespace gateway {
namespace {

// Guards against a limit that wraps around below zero: two processes with few descriptors would
// open connections until none is left.
TEST(ResourceLimits, TwoProcessesWithFewDescriptorsKeepWithinThem) {
  for (std::size_t descriptors = 64; descriptors <= 256; ++descriptors) {
    config::Config config;
    config.max_descriptors = descriptors;
    config.memory_mb = 64;
    const std::size_t connections = upstream_limits(config, ProcessRole::one_of_two).connections;
    EXPECT_GT(connections, 0u) << descriptors;
    EXPECT_LE(connections, descriptors / 2) << descriptors;
  }
}

}  // namespace
}  // namespace gateway
