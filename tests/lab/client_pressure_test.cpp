// Gateway processes whose clients hold memory, or whose hosts read slowly. Incident c4358e:
// processes were killed for their memory, and responses came after the clients' deadlines or never.
#include <gtest/gtest.h>
#include <unistd.h>

#include <iostream>
#include <string>
#include <vector>

#include "lab/soak/soak_run.hpp"

namespace gateway::lab {
namespace {

using std::chrono::milliseconds;

SoakResult run(const SoakPlan& plan) {
  const auto folder =
      std::filesystem::path(::testing::TempDir()) / ("pressure-" + std::to_string(getpid()));
  SoakResult result = run_soak(GATEWAY_PROGRAM, plan, folder);
  std::filesystem::remove_all(folder);
  std::cout << summary(result) << std::endl;
  return result;
}

// 50 ordinary requests a second for 6 s.
SoakPlan small_gateway_plan() {
  SoakPlan plan;
  plan.memory_mb = 32;
  plan.clients.rate = 50;
  plan.clients.requests = 300;
  return plan;
}

SoakPlan many_fields_plan() {
  SoakPlan plan = small_gateway_plan();
  plan.crowd = {330, {CrowdKind::many_fields}, milliseconds(500), milliseconds(4000)};
  plan.host.hang_share = 0.2;
  return plan;
}

void expect_within_memory_limit(const SoakPlan& plan, const SoakResult& result) {
#ifndef GATEWAY_SANITIZE  // the sanitizers' own memory is above any limit of a gateway
  EXPECT_LT(result.peak_resident_mb, static_cast<double>(plan.memory_mb)) << summary(result);
#else
  (void)plan, (void)result;
#endif
}

// Guards against requests whose many short fields cost far more memory than their length: the
// process was killed for its memory.
TEST(ClientPressure, HeadsOfManyFieldsStayWithinMemoryLimit) {
  const SoakPlan plan = many_fields_plan();
  const SoakResult result = run(plan);
  EXPECT_TRUE(result.process_failures.empty()) << summary(result);
  expect_within_memory_limit(plan, result);
}

// Guards against heads whose processor time keeps the requests of others waiting in their sockets:
// these were read, and their time began, after their deadline.
TEST(ClientPressure, HeadsOfManyFieldsDoNotDelayOtherRequests) {
  const SoakPlan plan = many_fields_plan();
  const SoakResult result = run(plan);
  EXPECT_EQ(result.ledger.violations(), 0u) << summary(result);
}

#ifndef GATEWAY_SANITIZE  // the sanitizers slow a process down by more than its share here
// Guards against heads of many fields that are all parsed in the turn of the event loop in which
// they arrive: at a tenth of a core ordinary requests took ten times as long.
TEST(ClientPressure, HeadsOfManyFieldsDoNotDelayOtherRequestsAtTenthOfCore) {
  SoakPlan plan = small_gateway_plan();
  plan.memory_mb = 192;
  plan.processor = {milliseconds(4), milliseconds(36)};
  const SoakResult calm = run(plan);
  plan.crowd = {100, {CrowdKind::many_fields}, milliseconds(500), milliseconds(4000)};
  const SoakResult result = run(plan);
  EXPECT_EQ(result.ledger.violations(), 0u) << summary(result);
  EXPECT_LE(result.ledger.latency_ms(99), 2 * calm.ledger.latency_ms(99)) << summary(result);
}

// Guards against buffers of idle connections that stay as large as their longest message, which the
// memory account did not contain.
TEST(ClientPressure, MemoryIsGivenBackAfterCrowd) {
  constexpr double kMaxGrowthMb = 4;
  SoakPlan plan = small_gateway_plan();
  plan.clients.requests = 600;
  plan.crowd = {330, {CrowdKind::many_fields}, milliseconds(500), milliseconds(4000)};
  const SoakResult result = run(plan);
  EXPECT_LE(result.final_resident_mb, result.initial_resident_mb + kMaxGrowthMb) << summary(result);
}

// The same for clients that keep their connections.
TEST(ClientPressure, IdleConnectionsHoldNoBuffers) {
  constexpr double kMaxGrowthMb = 4;
  SoakPlan plan = small_gateway_plan();
  plan.crowd = {330, {CrowdKind::idle_reader}, milliseconds(500), milliseconds(0)};
  const SoakResult result = run(plan);
  EXPECT_LE(result.final_resident_mb, result.initial_resident_mb + kMaxGrowthMb) << summary(result);
}
#endif

struct CrowdCase {
  const char* name;
  std::vector<CrowdKind> kinds;
};

std::ostream& operator<<(std::ostream& out, const CrowdCase& crowd_case) {
  return out << crowd_case.name;
}

class ClientCrowdTest : public ::testing::TestWithParam<CrowdCase> {};

// Guards against clients that hold memory in any other way, as many as a process of 1,024
// descriptors accepts and more, and against memory that is kept after they have gone.
TEST_P(ClientCrowdTest, StaysWithinMemoryLimitAndServesOthers) {
  SoakPlan plan = small_gateway_plan();
  plan.clients.requests = 200;
  plan.crowd = {530, GetParam().kinds, milliseconds(300), milliseconds(2700)};
  const SoakResult result = run(plan);
  EXPECT_TRUE(result.process_failures.empty()) << summary(result);
  expect_within_memory_limit(plan, result);
  EXPECT_EQ(result.ledger.violations(), 0u) << summary(result);
}

INSTANTIATE_TEST_SUITE_P(Crowds, ClientCrowdTest,
                         ::testing::Values(CrowdCase{"growing_head", {CrowdKind::growing_head}},
                                           CrowdCase{"half_body", {CrowdKind::half_body}},
                                           CrowdCase{"slow_upload", {CrowdKind::slow_upload}},
                                           CrowdCase{"slow_reader", {CrowdKind::slow_reader}},
                                           CrowdCase{"read_ahead", {CrowdKind::read_ahead}},
                                           CrowdCase{"flood", {CrowdKind::flood}},
                                           CrowdCase{
                                               "mixed",
                                               {CrowdKind::growing_head, CrowdKind::half_body,
                                                CrowdKind::slow_upload, CrowdKind::slow_reader,
                                                CrowdKind::read_ahead, CrowdKind::many_fields}}),
                         [](const auto& info) { return std::string(info.param.name); });

struct ResponseCase {
  const char* name;
  std::size_t memory_mb;
  std::size_t descriptors;
  std::size_t connections;
  CrowdKind kind;
  std::size_t response_bytes;
  milliseconds response_duration;
  bool is_chunked;
};

std::ostream& operator<<(std::ostream& out, const ResponseCase& response_case) {
  return out << response_case.name;
}

class BufferedResponseTest : public ::testing::TestWithParam<ResponseCase> {};

// Guards against responses that are buffered although no memory is left: hundreds of slow ones of
// just under 64 KiB took a process over its memory limit.
TEST_P(BufferedResponseTest, SlowResponsesStayWithinMemoryLimit) {
  const ResponseCase& response_case = GetParam();
  SoakPlan plan = small_gateway_plan();
  plan.memory_mb = response_case.memory_mb;
  plan.descriptors = response_case.descriptors;
  plan.hosts = 14;
  plan.clients.rate = 20;
  plan.clients.requests = 80;
  plan.host.min_service = milliseconds(500);
  plan.host.max_service = milliseconds(500);
  plan.host.long_share = response_case.response_duration > milliseconds(0) ? 1 : 0;
  plan.host.long_bytes = response_case.response_bytes;
  plan.host.long_duration = response_case.response_duration;
  plan.host.chunks_long_responses = response_case.is_chunked;
  plan.crowd = {
      response_case.connections, {response_case.kind}, milliseconds(300), milliseconds(3500)};
  const SoakResult result = run(plan);
  EXPECT_TRUE(result.process_failures.empty()) << summary(result);
  expect_within_memory_limit(plan, result);
  EXPECT_EQ(result.ledger.violations(), 0u) << summary(result);
}

INSTANTIATE_TEST_SUITE_P(
    Responses, BufferedResponseTest,
    ::testing::Values(ResponseCase{"known_length", 32, 1024, 341, CrowdKind::whole_body, 65'000,
                                   milliseconds(1000), false},
                      ResponseCase{"chunked", 32, 1024, 341, CrowdKind::whole_body, 65'000,
                                   milliseconds(1000), true},
                      ResponseCase{"shorter_ones", 32, 1024, 541, CrowdKind::whole_body, 40'000,
                                   milliseconds(600), false},
                      ResponseCase{"few_descriptors", 32, 256, 285, CrowdKind::whole_body, 65'000,
                                   milliseconds(1000), false},
                      ResponseCase{"more_memory", 64, 1024, 541, CrowdKind::whole_body, 65'000,
                                   milliseconds(1000), false},
                      ResponseCase{"slow_readers", 32, 1024, 341, CrowdKind::slow_short_reader, 0,
                                   milliseconds(0), false}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a clock that starts when the gateway has read a request, which it does no faster
// than the host: the client's deadline passed without a response.
TEST(ClientPressure, UploadToHostThatStopsReadingGetsResponseByDeadline) {
  SoakPlan plan = small_gateway_plan();
  plan.clients.fast_upload_share = 0.2;
  plan.clients.max_fast_upload_timeout = milliseconds(1000);
  plan.host.stuck_share = 0.3;
  const SoakResult result = run(plan);
  EXPECT_TRUE(result.process_failures.empty()) << summary(result);
  EXPECT_EQ(result.ledger.violations(), 0u) << summary(result);
}

// The same with hosts that read, but slower than the clients write.
TEST(ClientPressure, UploadToSlowlyReadingHostGetsResponseByDeadline) {
  SoakPlan plan = small_gateway_plan();
  plan.clients.fast_upload_share = 0.2;
  plan.clients.max_fast_upload_timeout = milliseconds(1000);
  plan.host.slow_read_share = 0.5;
  const SoakResult result = run(plan);
  EXPECT_TRUE(result.process_failures.empty()) << summary(result);
  EXPECT_EQ(result.ledger.violations(), 0u) << summary(result);
}

// Guards against uploads that are paused for memory while others return and take it: their
// responses came seconds after the deadline, or never.
TEST(ClientPressure, ManyUploadsBesideFullMemoryGetResponsesByDeadline) {
  SoakPlan plan = small_gateway_plan();
  plan.clients.rate = 80;
  plan.clients.requests = 640;
  plan.clients.fast_upload_share = 0.5;
  plan.clients.max_fast_upload_bytes = 4'000'000;
  plan.host.stuck_share = 0.3;
  plan.host.slow_read_share = 0.7;
  const SoakResult result = run(plan);
  EXPECT_TRUE(result.process_failures.empty()) << summary(result);
  expect_within_memory_limit(plan, result);
  EXPECT_EQ(result.ledger.violations(), 0u) << summary(result);
}

// Guards against an id that is forgotten with its last attempt: the request of a client that had
// left ran again when its id came back.
TEST(ClientPressure, RequestOfReturningClientIsNotExecutedAgain) {
  SoakPlan plan = small_gateway_plan();
  plan.clients.returning_share = 0.2;
  plan.host.min_service = milliseconds(500);
  plan.host.max_service = milliseconds(1000);
  const SoakResult result = run(plan);
  EXPECT_TRUE(result.process_failures.empty()) << summary(result);
  EXPECT_EQ(result.ledger.violations(), 0u) << summary(result);
}

}  // namespace
}  // namespace gateway::lab
