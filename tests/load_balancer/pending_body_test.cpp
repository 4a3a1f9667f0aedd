// Requests that are forwarded before their body is complete, and those that are no longer stored
// and cannot be sent again.
#include "support/balancer_driver.hpp"

namespace load_balancer::testing {
namespace {

class PendingBodyTest : public ::testing::Test {
 protected:
  Driver driver{make_settings()};
};

// A client on a slow link may need longer than its timeout to upload the body. Counted from the
// arrival of the request, the time would end before a host can respond.
TEST_F(PendingBodyTest, TimeRemainingCountsFromTheEndOfTheBody) {
  const RequestId id = driver.request_with_pending_body(1);
  ASSERT_EQ(driver.sent.size(), 1u) << "forwarded before its body is complete";
  EXPECT_LE(driver.last_sent().timeout, milliseconds(1000))
      << "counts from the end of the body too";
  driver.advance(seconds(30), milliseconds(50));
  EXPECT_EQ(driver.gateway_responses.count(id), 0u);
  driver.complete_body(id);
  driver.advance(milliseconds(900));
  EXPECT_EQ(driver.gateway_responses.count(id), 0u);
  driver.advance(milliseconds(100));
  EXPECT_TRUE(driver.failed(id)) << "the request may have run";
}

// Uploads cost the hosts little. If they counted as in flight, many slow uploads would look like
// overload, and other requests would be shed.
TEST_F(PendingBodyTest, PendingBodiesDoNotRaiseTheSheddingThreshold) {
  driver.warm_up(0, 40);
  for (int i = 0; i < 200; ++i) {
    driver.request_with_pending_body(1);
  }
  EXPECT_EQ(driver.in_flight.size(), 200u) << "none was rejected";
  EXPECT_LE(driver.balancer.shedding_threshold(), 1);
}

// The connect of the first attempt fails during the upload. The part of the body that has arrived
// is still stored, so another host can have it.
TEST_F(PendingBodyTest, RequestThatNeverRanIsRetriedWhileItIsStored) {
  const RequestId id = driver.request_with_pending_body(1);
  const SentAttempt first = driver.last_sent();
  driver.advance(seconds(5), milliseconds(50));
  driver.report_result(first, AttemptOutcome::connect_failed, false);
  ASSERT_EQ(driver.sent.size(), 2u);
  EXPECT_NE(driver.last_sent().host, first.host);
  driver.complete_body(id);
  driver.serve(driver.last_sent());
  EXPECT_EQ(driver.balancer.active_requests(), 0u);
}

// A rejection means that the client may send the request again, which is safe only if no attempt
// may have run.
TEST_F(PendingBodyTest, RequestNoLongerStoredIsRejectedIfItNeverRanAndFailsOtherwise) {
  for (const AttemptOutcome outcome : {AttemptOutcome::connect_failed, AttemptOutcome::reset}) {
    driver.clear_history();
    const RequestId id = driver.request_with_pending_body(1);
    const SentAttempt first = driver.last_sent();
    driver.balancer.on_attempt_result(
        driver.now, {first.request, 0, first.host, outcome, milliseconds(1), false, true});
    driver.collect();
    EXPECT_EQ(driver.sent.size(), 1u);
    EXPECT_TRUE(outcome == AttemptOutcome::reset ? driver.failed(id) : driver.rejected(id));
  }
}

// An attempt that waits for the rest of an upload looks slow even if its host is not. So no hedged
// attempt is sent, neither during the upload nor after it.
TEST_F(PendingBodyTest, RequestWithPendingBodyIsNotHedged) {
  Settings settings = make_settings();
  settings.allow_hedging = true;
  driver = Driver(settings);
  driver.warm_up(0, 40);
  driver.clear_history();
  const RequestId id = driver.request_with_pending_body(0);
  driver.advance(milliseconds(500));
  driver.complete_body(id);
  driver.advance(milliseconds(500));
  EXPECT_EQ(driver.sent.size(), 1u);
}

// The end of a body can arrive after its request has ended.
TEST_F(PendingBodyTest, BodyEndOfUnknownOrEndedRequestIsIgnored) {
  driver.complete_body(99);
  const RequestId id = driver.request_with_pending_body(1);
  driver.balancer.on_client_disconnected(driver.now, id);
  driver.collect();
  driver.complete_body(id);
  driver.report_result(driver.last_sent(), AttemptOutcome::cancelled, true);
  EXPECT_EQ(driver.balancer.active_requests(), 0u);
}

}  // namespace
}  // namespace load_balancer::testing
