// The event log: its lines, its limit on lines, its counters and its settings.
#include "event_log/event_log.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace gateway::event_log {
namespace {

using std::chrono::milliseconds;

class EventLogTest : public ::testing::Test {
 protected:
  EventLog log_with(bool per_request_events, std::uint32_t lines_per_second) {
    return {{per_request_events, lines_per_second}, [this](std::string_view line) {
              lines.emplace_back(line);
            }};
  }
  std::vector<std::string> lines;
};

TEST_F(EventLogTest, WritesRareEventWithReasonAndFields) {
  EventLog log = log_with(false, 10);
  log.record(EventKind::attempt_retried, Frequency::rare, "reset",
             {{"request", "r1"}, {"attempt", std::int64_t{1}}});
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0], "attempt_retried reason=reset request=r1 attempt=1");
}

TEST_F(EventLogTest, CountsPerRequestEventsWithoutWritingThem) {
  EventLog log = log_with(false, 10);
  log.record(EventKind::request_rejected, Frequency::per_request, "below_threshold", {});
  log.record(EventKind::request_rejected, Frequency::per_request, "below_threshold", {});
  EXPECT_TRUE(lines.empty());
  EXPECT_EQ(log.count(EventKind::request_rejected, "below_threshold"), 2u);
  EXPECT_EQ(log.counters_json(),
            R"({"request_rejected":{"below_threshold":2},"suppressed_lines":0})");
}

TEST_F(EventLogTest, WritesPerRequestEventsIfSet) {
  EventLog log = log_with(true, 10);
  log.record(EventKind::attempt_sent, Frequency::per_request, "first", {});
  EXPECT_EQ(lines.size(), 1u);
}

// Guards against a flood of faults that fills the disk.
TEST_F(EventLogTest, LimitsLinesOfAFloodAndCountsAll) {
  EventLog log = log_with(false, 5);
  for (int i = 0; i < 1000; ++i) {
    log.record(EventKind::unexpected_bytes, Frequency::rare, "after_response", {});
  }
  EXPECT_LE(lines.size(), 11u);  // the loop may cross the end of a second
  EXPECT_EQ(log.count(EventKind::unexpected_bytes, "after_response"), 1000u);
}

// Guards against a request id that forges a line or a field of the log.
TEST_F(EventLogTest, ReplacesBreaksWithinValues) {
  EventLog log = log_with(false, 5);
  log.record(EventKind::request_failed, Frequency::rare, "deadline", {{"request", "a\nb c=d"}});
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0], "request_failed reason=deadline request=a_b_c=d");
}

TEST(LineRateLimiter, ReportsLeftOutLinesOnceAfterTheSecond) {
  LineRateLimiter limiter(2);
  const LineRateLimiter::Time start{};
  EXPECT_TRUE(limiter.admit(start));
  EXPECT_TRUE(limiter.admit(start));
  EXPECT_FALSE(limiter.admit(start));
  EXPECT_FALSE(limiter.take_suppressed(start + milliseconds(999)));
  const auto suppressed = limiter.take_suppressed(start + milliseconds(1000));
  ASSERT_TRUE(suppressed);
  EXPECT_EQ(suppressed->lines, 1u);
  EXPECT_FALSE(limiter.take_suppressed(start + milliseconds(1000)));
  EXPECT_TRUE(limiter.admit(start + milliseconds(1000)));
}

TEST(LogSettings, ReadsVariables) {
  const LogSettings settings = read_log_settings([](const char* name) -> const char* {
    return std::string_view(name) == "GW_LOG_REQUESTS" ? "1" : "250";
  });
  EXPECT_TRUE(settings.per_request_events);
  EXPECT_EQ(settings.lines_per_second, 250u);
}

TEST(LogSettings, NamesInvalidValue) {
  try {
    read_log_settings([](const char* name) -> const char* {
      return std::string_view(name) == "GW_LOG_REQUESTS" ? "yes" : nullptr;
    });
    FAIL() << "no error";
  } catch (const LogSettingsError& error) {
    EXPECT_STREQ(error.what(), "GW_LOG_REQUESTS: 'yes' is not valid; expected 0 or 1");
  }
}

}  // namespace
}  // namespace gateway::event_log
