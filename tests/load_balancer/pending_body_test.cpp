// Requests whose body is still coming when they are taken, and such as can't be sent again.
#include "support/balancer_driver.hpp"

namespace load_balancer::testing {
namespace {

class ComingTest : public ::testing::Test {
 protected:
  Driver d{make_settings()};

  RequestId coming(std::uint32_t cls) {
    Request q;
    q.id = ++d.last;
    q.class_index = cls;
    q.time_remaining = milliseconds(1000);
    q.body_pending = true;
    d.balancer.on_request(d.now, q);
    d.collect();
    return q.id;
  }
  void whole(RequestId id) {
    d.balancer.on_request_complete(d.now, id);
    d.collect();
  }
};

TEST_F(ComingTest, ItsTimeCountsFromItsLastPart) {
  const RequestId id = coming(1);
  ASSERT_EQ(d.sent.size(), 1u) << "it goes to a host as it comes";
  EXPECT_LE(d.last_sent().timeout, milliseconds(1000)) << "and this counts from there too";
  d.advance(seconds(30), milliseconds(50));
  EXPECT_EQ(d.gateway_responses.count(id), 0u);
  whole(id);
  d.advance(milliseconds(900));
  EXPECT_EQ(d.gateway_responses.count(id), 0u);
  d.advance(milliseconds(100));
  EXPECT_TRUE(d.failed(id)) << "it may have run";
}

TEST_F(ComingTest, UploadsDoNotFillThePool) {
  d.warm_up(0, 40);
  for (int i = 0; i < 200; ++i) {
    coming(1);
  }
  EXPECT_EQ(d.in_flight.size(), 200u) << "none was refused";
  EXPECT_LE(d.balancer.shedding_threshold(), 1);
}

TEST_F(ComingTest, OneThatNeverRanGoesElsewhereWhileItIsHeld) {
  const RequestId id = coming(1);
  const SentAttempt first = d.last_sent();
  d.advance(seconds(5), milliseconds(50));
  d.report_result(first, AttemptOutcome::connect_failed, false);
  ASSERT_EQ(d.sent.size(), 2u);
  EXPECT_NE(d.last_sent().host, first.host);
  whole(id);
  d.serve(d.last_sent());
  EXPECT_EQ(d.balancer.active_requests(), 0u);
}

TEST_F(ComingTest, OneThatIsNoLongerHeldIsRefusedIfItNeverRanAndFailsIfItMay) {
  for (const AttemptOutcome outcome : {AttemptOutcome::connect_failed, AttemptOutcome::reset}) {
    d.clear_history();
    const RequestId id = coming(1);
    const SentAttempt first = d.last_sent();
    d.balancer.on_attempt_result(
        d.now, {first.request, 0, first.host, outcome, milliseconds(1), false, true});
    d.collect();
    EXPECT_EQ(d.sent.size(), 1u);
    EXPECT_TRUE(outcome == AttemptOutcome::reset ? d.failed(id) : d.rejected(id));
  }
}

TEST_F(ComingTest, NoSecondCopyIsMadeOfOne) {
  Settings s = make_settings();
  s.allow_hedging = true;
  d = Driver(s);
  d.warm_up(0, 40);
  d.clear_history();
  const RequestId id = coming(0);
  d.advance(milliseconds(500));
  whole(id);
  d.advance(milliseconds(500));
  EXPECT_EQ(d.sent.size(), 1u);
}

TEST_F(ComingTest, AnEndForNobodyDoesNoHarm) {
  whole(99);
  const RequestId id = coming(1);
  d.balancer.on_client_disconnected(d.now, id);
  d.collect();
  whole(id);
  d.report_result(d.last_sent(), AttemptOutcome::cancelled, true);
  EXPECT_EQ(d.balancer.active_requests(), 0u);
}

}  // namespace
}  // namespace load_balancer::testing
