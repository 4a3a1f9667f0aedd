// Resident memory of this process while what it holds rises and falls. The clock is a manual one,
// the memory is real.
#include "gateway/resource_monitor.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "http/memory_budget.hpp"
#include "support/manual_clock.hpp"

namespace gateway {
namespace {

using testing::ManualClock;

constexpr std::size_t kMegabyte = std::size_t{1} << 20;
constexpr std::size_t kBlockBytes = 1000;

class ResourceMonitorTest : public ::testing::Test {
 protected:
  // Holds so many bytes in small blocks. Blocks that are kept lie between those that are freed, so
  // that the allocator keeps the free ones.
  void hold(std::size_t bytes) {
    while (held > bytes) {
      http::release_memory(blocks.at(--held_blocks));
      held -= kBlockBytes;
    }
    while (held < bytes) {
      if (held_blocks == blocks.size()) {
        blocks.emplace_back();
        if (blocks.size() % kBlocksPerSeparator == 0) {
          separators.emplace_back(kSeparatorBytes, 's');
        }
      }
      blocks.at(held_blocks++) = std::string(kBlockBytes, 'x');
      held += kBlockBytes;
    }
  }
  void pass(std::chrono::milliseconds time) {
    for (const auto end = clock.now() + time; clock.now() < end;) {
      clock.advance(end);
    }
  }

  static constexpr std::size_t kSeparatorBytes = 40;
  static constexpr std::size_t kBlocksPerSeparator = 64;

  ManualClock clock;
  event_log::EventLog log{{true, 100}, [](std::string_view) {
                          }};
  std::size_t held = 0;
  std::size_t held_blocks = 0;
  std::vector<std::string> blocks;
  std::vector<std::string> separators;
  ResourceMonitor monitor{clock,
                          log,
                          {[] { return nlohmann::ordered_json(); },
                           [this] {
                             return held;
                           }}};
};

// Guards against free memory that stays resident because the last part of what was held was freed
// in steps that are too small to give it back.
TEST_F(ResourceMonitorTest, ReturnsMemoryThatIsFreedInSmallSteps) {
  for (const std::size_t step_kib : {64, 200, 1000, 1900}) {
    hold(20 * kMegabyte);  // the lists of blocks are at their full size from here on
    pass(std::chrono::milliseconds(200));
    hold(0);
    pass(std::chrono::milliseconds(3000));
    const std::size_t initial = resident_bytes();
    hold(20 * kMegabyte);
    pass(std::chrono::milliseconds(200));
    ASSERT_GE(resident_bytes(), initial + 15 * kMegabyte) << step_kib;
    for (std::size_t left = 1900 * std::size_t{1024}; left > 0;
         left -= std::min(left, step_kib * 1024)) {
      hold(left);
      pass(std::chrono::milliseconds(200));
    }
    hold(0);
    pass(std::chrono::milliseconds(2000));
    EXPECT_LE(resident_bytes(), initial + kMegabyte) << step_kib;
  }
}

}  // namespace
}  // namespace gateway
