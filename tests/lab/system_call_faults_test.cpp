// Gateway processes whose system calls on sockets fail as Linux documents: short reads and writes,
// interrupted calls, failed accepts, connects and sockets.
#include <gtest/gtest.h>
#include <unistd.h>

#include "lab/soak/soak_run.hpp"

namespace gateway::lab {
namespace {

struct FaultCase {
  const char* name;
  const char* faults;
};

std::ostream& operator<<(std::ostream& out, const FaultCase& fault_case) {
  return out << fault_case.name;
}

class SystemCallFaults : public ::testing::TestWithParam<FaultCase> {};

// Guards against requests that are lost, doubled or failed because a call on a socket was cut short
// or interrupted although the connection is intact.
TEST_P(SystemCallFaults, LoseAndDoubleNoRequest) {
  SoakPlan plan;
  plan.clients.rate = 100;
  plan.clients.requests = 400;
  plan.environment = {"LD_PRELOAD=" SYSCALL_FAULTS_LIBRARY, "ASAN_OPTIONS=verify_asan_link_order=0",
                      std::string("SYSCALL_FAULTS=seed=1,") + GetParam().faults};
  const auto folder = std::filesystem::path(::testing::TempDir()) /
                      ("system-call-faults-" + std::to_string(getpid()));
  const SoakResult result = run_soak(GATEWAY_PROGRAM, plan, folder);
  std::filesystem::remove_all(folder);
  EXPECT_TRUE(result.process_failures.empty()) << result.process_failures.front();
  EXPECT_EQ(result.ledger.requests(), plan.clients.requests);
  EXPECT_EQ(result.ledger.violations(), 0u) << summary(result);
  EXPECT_EQ(result.ledger.responses(200), plan.clients.requests) << summary(result);
}

INSTANTIATE_TEST_SUITE_P(
    Sockets, SystemCallFaults,
    ::testing::Values(
        FaultCase{"short_write_5", "short_write=0.05"},
        FaultCase{"short_write_50", "short_write=0.5"}, FaultCase{"interrupt_5", "interrupt=0.05"},
        FaultCase{"interrupt_50", "interrupt=0.5"}, FaultCase{"short_read_50", "short_read=0.5"},
        FaultCase{"interrupt_wait_50", "interrupt_wait=0.5"}, FaultCase{"accept_20", "accept=0.2"},
        FaultCase{"reads_and_writes_20",
                  "short_write=0.2,short_read=0.2,interrupt=0.2,interrupt_wait=0.2,accept=0.2"}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace gateway::lab
