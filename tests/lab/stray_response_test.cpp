// Gateway processes in front of hosts that write bytes which belong to no request. Incident 06400d:
// clients got responses to other requests, and unsafe requests ran twice.
#include <gtest/gtest.h>
#include <unistd.h>

#include <ostream>

#include "lab/soak/soak_run.hpp"

namespace gateway::lab {
namespace {

using std::chrono::milliseconds;

struct StrayCase {
  const char* name;
  StrayKind kind;
  double share;
  milliseconds min_delay;
  milliseconds max_delay;
  double rate;
};

std::ostream& operator<<(std::ostream& out, const StrayCase& stray_case) {
  return out << stray_case.name;
}

SoakPlan plan_for(const StrayCase& stray_case) {
  SoakPlan plan;
  plan.clients.rate = stray_case.rate;
  plan.clients.requests = static_cast<std::size_t>(stray_case.rate * 5);
  plan.host.rejected_share = 0.03;
  plan.host.stray = {stray_case.kind, stray_case.share, stray_case.min_delay, stray_case.max_delay};
  return plan;
}

SoakResult run(const SoakPlan& plan) {
  const auto folder =
      std::filesystem::path(::testing::TempDir()) / ("stray-" + std::to_string(getpid()));
  SoakResult result = run_soak(GATEWAY_PROGRAM, plan, folder);
  std::filesystem::remove_all(folder);
  return result;
}

class StrayResponse : public ::testing::TestWithParam<StrayCase> {};

// Guards against taking bytes that a host wrote for an earlier request, or for none, as the
// response to the next request on that connection.
TEST_P(StrayResponse, IsNeverTakenAsResponseToAnotherRequest) {
  const SoakPlan plan = plan_for(GetParam());
  const SoakResult result = run(plan);
  EXPECT_TRUE(result.process_failures.empty()) << result.process_failures.front();
  EXPECT_EQ(result.ledger.requests(), plan.clients.requests);
  EXPECT_EQ(result.ledger.violations(), 0u) << summary(result);
  if (GetParam().kind != StrayKind::none) {
    EXPECT_GT(result.strays_sent, 0u);
  }
  // Retries stay in use: the hosts reject 3 % of the requests.
  EXPECT_GT(result.ledger.retries(), 0u);
  EXPECT_GT(result.ledger.responses(200), plan.clients.requests * 8 / 10) << summary(result);
}

// Guards against a host whose stray responses come later than the quiet period covers: after the
// first one that is seen from each host, none may be taken as a response.
TEST(LateStrayResponse, DistrustsHostAfterTheFirstOne) {
  SoakPlan plan;
  plan.clients.rate = 100;
  plan.clients.requests = 1500;
  plan.host.stray = {StrayKind::ok, 0.2, milliseconds(75), milliseconds(425)};
  const SoakResult result = run(plan);
  EXPECT_TRUE(result.process_failures.empty()) << result.process_failures.front();
  EXPECT_GT(result.strays_sent, 0u);
  // A fifth of 16 responses a second are followed by a stray one, so each host is seen within 5 s.
  EXPECT_EQ(result.ledger.violations_after(5), 0u) << summary(result);
}

constexpr milliseconds k1{1};
constexpr milliseconds k100{100};
INSTANTIATE_TEST_SUITE_P(
    Hosts, StrayResponse,
    ::testing::Values(StrayCase{"none_100", StrayKind::none, 0, k1, k1, 100},
                      StrayCase{"ok_100", StrayKind::ok, 0.1, k1, k100, 100},
                      StrayCase{"ok_600", StrayKind::ok, 0.05, k1, k100, 600},
                      StrayCase{"server_error_100", StrayKind::server_error, 0.1, k1, k100, 100},
                      StrayCase{"unavailable_100", StrayKind::unavailable, 0.1, k1, k100, 100},
                      StrayCase{"not_run_100", StrayKind::unavailable_not_run, 0.2, k1, k100, 100},
                      StrayCase{"not_run_600", StrayKind::unavailable_not_run, 0.05, k1, k100, 600},
                      StrayCase{"interim_100", StrayKind::interim, 0.1, k1, k100, 100},
                      StrayCase{"half_response_100", StrayKind::half_response, 0.1, k1, k100, 100},
                      StrayCase{"same_write_100", StrayKind::same_write, 0.1, k1, k1, 100},
                      StrayCase{"before_request_100", StrayKind::before_request, 0.2,
                                milliseconds(0), milliseconds(0), 100},
                      StrayCase{"before_request_600", StrayKind::before_request, 0.2,
                                milliseconds(0), milliseconds(0), 600}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace gateway::lab
