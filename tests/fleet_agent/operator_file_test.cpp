// Tests of the operator file, which configures what a gateway shares with its fleet.
#include "fleet_agent/operator_file.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <filesystem>

namespace gateway::fleet_agent {
namespace {

using namespace std::chrono_literals;

membership::Address address(const char* text) {
  return membership::parse_address(text).value();
}

// Loads the file in data/, which sets every field that an earlier build accepted. The expected
// values are those that the earlier build read from the same file. The test guards against a field
// that is renamed, read in another unit or read into another setting: operators' files are not
// changed with an upgrade, and gateways with different settings share nothing.
class RecordedOperatorFile : public ::testing::Test {
 protected:
  Config config = load_operator_file(
      std::filesystem::path(TEST_DATA_DIRECTORY) / "operator_file.json", "name of the process");
};

TEST_F(RecordedOperatorFile, IsReadIntoTheSameAddressesAndMembershipSettings) {
  EXPECT_EQ(config.fleet_name, "sofia-signing");
  EXPECT_EQ(config.listen.address().to_string(), "0.0.0.0");
  EXPECT_EQ(config.listen.port(), 7946);
  EXPECT_EQ(config.seeds,
            (std::vector<membership::Address>{address("10.1.0.8:7946"), address("10.1.0.9:7948")}))
      << "without this gateway's own address";
  EXPECT_EQ(config.event_log_path, "/var/log/gateway/fleet.jsonl");

  const membership::Settings& membership = config.membership;
  EXPECT_EQ(membership.name, "g-7");
  EXPECT_EQ(membership.address, address("10.1.0.7:7947"));
  EXPECT_EQ(membership.probe_interval, 250ms);
  EXPECT_EQ(membership.probe_timeout, 90500us);
  EXPECT_EQ(membership.min_suspicion_timeout, 4500ms);
  EXPECT_EQ(membership.max_suspicion_timeout, 9s);
  EXPECT_EQ(membership.dead_member_retention, 1200s);
  // Settings that the operator file cannot set.
  EXPECT_EQ(membership.indirect_probe_count, 3u);
  EXPECT_EQ(membership.expected_confirmations, 3u);
  EXPECT_EQ(membership.max_local_health_score, 8u);
  EXPECT_EQ(membership.retransmit_multiplier, 4);
  EXPECT_EQ(membership.max_update_bytes, 700u);
  EXPECT_EQ(membership.sync_interval, 15s);
  EXPECT_EQ(membership.reconnect_interval, 1s);
}

TEST_F(RecordedOperatorFile, IsReadIntoTheSameSharedState) {
  const fleet_state::FleetStateConfig& state = config.fleet_state;
  EXPECT_EQ(state.min_members, 300u);
  EXPECT_EQ(state.slot_duration, 500ms);
  EXPECT_EQ(state.retry_ratio, 0.15);
  EXPECT_EQ(state.retry_token_lifetime_slots, 12u);
  EXPECT_EQ(state.limit_token_lifetime_slots, 4u);
  EXPECT_TRUE(state.shares_host_health);
  EXPECT_EQ(fingerprint(state), 675377809u) << "members with another fingerprint share nothing";

  struct ExpectedLimit {
    const char* name;
    const char* request_class;
    const char* tenant;
    double requests_per_second;
    bool open_until_bootstrapped;
  };
  const std::vector<ExpectedLimit> limits = {{"seals of acme", "seal", "acme", 200.5, true},
                                             {"stamps", "stamp", "", 75, false},
                                             {"all", "", "", 1000, false}};
  ASSERT_EQ(state.limits.size(), limits.size());
  for (std::size_t i = 0; i < limits.size(); ++i) {
    EXPECT_EQ(state.limits[i].name, limits[i].name);
    EXPECT_EQ(state.limits[i].request_class, limits[i].request_class);
    EXPECT_EQ(state.limits[i].tenant, limits[i].tenant);
    EXPECT_EQ(state.limits[i].requests_per_second, limits[i].requests_per_second);
    EXPECT_EQ(state.limits[i].open_until_bootstrapped, limits[i].open_until_bootstrapped);
  }

  const fleet_state::OutlierConsensusSettings& consensus = state.outlier_consensus;
  EXPECT_EQ(consensus.window, 12500ms);
  EXPECT_EQ(consensus.min_failures, 6u);
  EXPECT_EQ(consensus.unhealthy_fraction, 0.6);
  EXPECT_EQ(consensus.suspect_fraction, 0.35);
  EXPECT_EQ(consensus.quorum, 5u);
  EXPECT_EQ(consensus.max_ejected_fraction, 0.3);
  EXPECT_EQ(consensus.report_lifetime, 45s);
}

}  // namespace
}  // namespace gateway::fleet_agent
