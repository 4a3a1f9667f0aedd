// Requests of a process that ends soon: each has its response by the time that is set.
#include "support/balancer_driver.hpp"

namespace load_balancer::testing {
namespace {

constexpr Duration kTimeLeft = milliseconds(400);

class LatestResponseTest : public ::testing::Test {
 protected:
  Driver driver{make_settings()};

  void limit_responses() {
    driver.balancer.set_latest_response(driver.now, driver.now + kTimeLeft);
    driver.collect();
  }
  bool has_response(RequestId id) const { return driver.gateway_responses.count(id) == 1; }
};

// review/2: a request that waited for a hanging host longer than its process lived got no response.
TEST_F(LatestResponseTest, ActiveAndNewRequestsEndByThen) {
  const RequestId active = driver.request(1, seconds(20));
  limit_responses();
  driver.advance(milliseconds(100));
  const RequestId arrived = driver.request(1, seconds(20));
  EXPECT_LE(driver.last_sent().timeout, milliseconds(300)) << "the host is told the time left";
  driver.advance(milliseconds(300));
  EXPECT_TRUE(driver.failed(active)) << "it may have run";
  EXPECT_TRUE(driver.failed(arrived)) << "it may have run";
  EXPECT_EQ(driver.count<CancelAttempt>(), 2u);
}

TEST_F(LatestResponseTest, RequestWithLessTimeKeepsItsDeadline) {
  limit_responses();
  const RequestId id = driver.request(1, milliseconds(200));
  driver.advance(milliseconds(180));
  EXPECT_FALSE(has_response(id));
  driver.advance(milliseconds(20));
  EXPECT_TRUE(driver.failed(id));
}

// The clock of an upload starts at its last byte, which must not move its end beyond the limit.
TEST_F(LatestResponseTest, UploadThatCompletesLaterEndsByThen) {
  const RequestId id = driver.request_with_pending_body(1);
  limit_responses();
  driver.advance(milliseconds(250));
  driver.complete_body(id);
  driver.advance(milliseconds(100));
  EXPECT_FALSE(has_response(id));
  driver.advance(milliseconds(50));
  EXPECT_TRUE(driver.failed(id));
}

// The same where its first attempt fails during the upload, which restarts the clock as well.
TEST_F(LatestResponseTest, RetriedUploadEndsByThen) {
  const RequestId id = driver.request_with_pending_body(1);
  limit_responses();
  driver.advance(milliseconds(100));
  driver.report_result(driver.last_sent(), AttemptOutcome::connect_failed, false);
  ASSERT_EQ(driver.sent.size(), 2u);
  EXPECT_LE(driver.last_sent().timeout, milliseconds(300));
  driver.complete_body(id);
  driver.advance(milliseconds(300));
  EXPECT_TRUE(driver.failed(id));
}

// A retry is sent only if its response can come by then.
TEST_F(LatestResponseTest, RetryHasOnlyTheTimeLeft) {
  const RequestId id = driver.request(0, seconds(20));
  limit_responses();
  driver.advance(milliseconds(150));
  driver.report_result(driver.last_sent(), AttemptOutcome::server_error, false);
  ASSERT_EQ(driver.sent.size(), 2u);
  EXPECT_LE(driver.last_sent().timeout, milliseconds(250));
  driver.advance(milliseconds(250));
  EXPECT_TRUE(driver.rejected(id)) << "its class may be repeated";
}

// Requests of one key wait for each other: one that waits has not run, and is rejected by then.
TEST_F(LatestResponseTest, QueuedRequestOfAKeyEndsByThen) {
  Settings settings = make_settings();
  settings.classes[1].serialize_by_key = true;
  driver = Driver(settings);
  const RequestId first = driver.request(1, seconds(20), 7);
  const RequestId second = driver.request(1, seconds(20), 7);
  limit_responses();
  driver.advance(kTimeLeft);
  EXPECT_TRUE(driver.failed(first));
  EXPECT_TRUE(driver.rejected(second));
}

TEST_F(LatestResponseTest, RequestThatArrivesAfterThenIsRejectedUnsent) {
  limit_responses();
  driver.advance(kTimeLeft);
  const RequestId id = driver.request(1);
  EXPECT_TRUE(driver.rejected(id));
  EXPECT_TRUE(driver.sent.empty());
}

}  // namespace
}  // namespace load_balancer::testing
