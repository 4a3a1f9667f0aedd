// Tests of the membership protocol under killed and paused members, network partitions, members
// that receive nothing, datagram loss and restarts, and of its datagram format.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <set>

#include "support/fleet_simulator.hpp"

namespace gateway::testing {
namespace {

// Records when each member first saw another one as not alive, and which members were declared
// dead.
struct ChangeRecorder {
  explicit ChangeRecorder(FleetSimulator& sim) {
    sim.on_change = [this](Time at, const std::string& observer, const MemberChange& change) {
      if (change.to != MemberState::alive && change.kind != MemberChangeKind::forgotten) {
        first_suspected.try_emplace({observer, change.name}, at);
      }
      if (change.to == MemberState::dead && change.kind != MemberChangeKind::joined &&
          observer != ignored_observer) {
        declared_dead.insert(change.name);
      }
    };
  }
  // Seconds from `since` until the observer suspected the member; 99 if it never did.
  double seconds_until_suspected(std::size_t observer, std::size_t member, Time since) const {
    const auto it =
        first_suspected.find({FleetSimulator::name(observer), FleetSimulator::name(member)});
    if (it == first_suspected.end()) {
      return 99;
    }
    return std::chrono::duration<double>(it->second - since).count();
  }
  bool has_suspected(std::size_t observer, std::size_t member) const {
    return first_suspected.contains({FleetSimulator::name(observer), FleetSimulator::name(member)});
  }

  std::map<std::pair<std::string, std::string>, Time> first_suspected;  // by observer and member
  std::set<std::string> declared_dead;
  std::string ignored_observer;  // its view is not recorded in `declared_dead`
};

// Seconds from `killed_at` until each running member suspected each of the killed members.
std::vector<double> detection_delays(const FleetSimulator& sim, const ChangeRecorder& changes,
                                     const std::vector<std::size_t>& killed, Time killed_at) {
  std::vector<double> delays;
  for (std::size_t i = 0; i < sim.nodes.size(); ++i) {
    for (std::size_t member : killed) {
      if (sim.is_running(i)) {
        delays.push_back(changes.seconds_until_suspected(i, member, killed_at));
      }
    }
  }
  return delays;
}

// Expects a 99th percentile below 2 s and a median below 1.2 s.
void expect_detection_within_two_seconds(std::vector<double> delays) {
  std::sort(delays.begin(), delays.end());
  EXPECT_LT(delays[delays.size() * 99 / 100], 2.0);
  EXPECT_LT(delays[delays.size() / 2], 1.2);
}

std::uint64_t total_sent_bytes(const FleetSimulator& sim) {
  std::uint64_t total = 0;
  for (const auto& node : sim.nodes) {
    total += node.sent_bytes;
  }
  return total;
}

// Guards against members that stay unknown to others, or are declared dead, when all members of a
// fleet start at the same time and only three of them are seeds.
TEST(Membership, FiftyMembersThatJoinTogetherAllSeeEachOtherAlive) {
  FleetSimulator sim(50, 1);
  ChangeRecorder changes(sim);
  sim.start_all();
  EXPECT_TRUE(sim.run_until_done(5s, [&] { return sim.all_agree(); }));
  sim.run_for(20s);
  EXPECT_TRUE(sim.all_agree());
  EXPECT_TRUE(changes.declared_dead.empty());
  EXPECT_EQ(sim.at(7).known_count(), 50u);
}

// Kills six members in each of five rounds. Guards against probing or gossip that takes too long to
// make a death known to every member, against a running member that is declared dead, and against
// gossip that does not end, which would cost traffic in an idle fleet.
TEST(Membership, KilledMembersOf300AreSuspectedWithinTwoSecondsAndThenDeclaredDead) {
  FleetSimulator sim(300, 2);
  sim.start_all();
  ASSERT_TRUE(sim.run_until_done(20s, [&] { return sim.all_agree(); }));
  sim.run_for(15s);  // until gossip about the start has ended
  const std::uint64_t bytes_before = total_sent_bytes(sim);
  sim.run_for(10s);
  const std::uint64_t bytes_after = total_sent_bytes(sim);
  EXPECT_LT(static_cast<double>(bytes_after - bytes_before) / 300 / 10, 1500)
      << "bytes per second and member in an idle fleet";
  ChangeRecorder changes(sim);
  std::vector<double> delays;
  for (int round = 0; round < 5; ++round) {
    std::vector<std::size_t> killed;
    for (std::size_t i = 0; i < 6; ++i) {
      killed.push_back(10 + static_cast<std::size_t>(round) * 50 + i * 7);
    }
    const Time killed_at = sim.now();
    for (std::size_t member : killed) {
      sim.kill(member);
    }
    sim.run_for(4s);
    const std::vector<double> round_delays = detection_delays(sim, changes, killed, killed_at);
    delays.insert(delays.end(), round_delays.begin(), round_delays.end());
  }
  expect_detection_within_two_seconds(delays);
  sim.run_for(15s);
  for (const auto& [name, member] : sim.at(0).peers()) {
    EXPECT_EQ(member.state == MemberState::dead, !sim.is_running(FleetSimulator::index_of(name)))
        << name;
  }
  EXPECT_EQ(changes.declared_dead.size(), 30u);
}

// Guards against messages that carry too few updates: gossip about 30 deaths at once then takes
// more than 2 s to reach every member.
TEST(Membership, ThirtyOf300MembersKilledTogetherAreSuspectedWithinTwoSeconds) {
  FleetSimulator sim(300, 2);
  sim.start_all();
  sim.run_for(35s);  // until gossip about the start has ended
  ChangeRecorder changes(sim);
  std::vector<std::size_t> killed;
  for (std::size_t i = 0; i < 30; ++i) {
    killed.push_back(10 + i * 7);
  }
  const Time killed_at = sim.now();
  for (std::size_t member : killed) {
    sim.kill(member);
  }
  sim.run_for(4s);
  const std::vector<double> delays = detection_delays(sim, changes, killed, killed_at);
  ASSERT_EQ(delays.size(), 270u * 30);
  expect_detection_within_two_seconds(delays);
}

// A member is paused for 5 s, less than the minimum suspicion timeout of 6 s. Guards against
// declaring it dead before it can refute the suspicion.
TEST(Membership, PauseBelowSuspicionTimeoutCausesNoDeathInHundredSeeds) {
  std::size_t suspected = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    FleetSimulator sim(20, seed);
    sim.start_all();
    ASSERT_TRUE(sim.run_until_done(10s, [&] { return sim.all_agree(); })) << "seed " << seed;
    ChangeRecorder changes(sim);
    sim.pause(5);
    sim.run_for(5s);
    suspected += changes.has_suspected(0, 5);
    sim.resume(5);
    EXPECT_TRUE(sim.run_until_done(5s, [&] { return sim.all_agree(); })) << "seed " << seed;
    sim.run_for(5s);
    EXPECT_TRUE(changes.declared_dead.empty()) << "seed " << seed;
  }
  EXPECT_EQ(suspected, 100u) << "a paused member must be suspected";
}

// Pauses members 3 to 5 for 5 s and, from 2.5 s on, members 6 to 8 for 5 s too. Returns how many of
// members 6 to 8 suspected member 4 before their own pause.
std::size_t run_overlapping_pauses(FleetSimulator& sim, const ChangeRecorder& changes) {
  std::size_t suspected = 0;
  for (std::size_t i : {3, 4, 5}) {
    sim.pause(i);
  }
  sim.run_for(2500ms);
  for (std::size_t i : {6, 7, 8}) {
    sim.pause(i);
    suspected += changes.has_suspected(i, 4) ? 1 : 0;
  }
  sim.run_for(2500ms);
  for (std::size_t i : {3, 4, 5}) {
    sim.resume(i, FleetSimulator::ResumeOrder::timer_first);
  }
  sim.run_for(2500ms);
  for (std::size_t i : {6, 7, 8}) {
    sim.resume(i, FleetSimulator::ResumeOrder::timer_first);
  }
  sim.run_for(20s);
  return suspected;
}

// Members 6 to 8 suspect members 3 to 5 and are paused until after the suspicion timeout. Their
// timers run before they read the refutations that arrived meanwhile. Guards against members that
// count their own pause towards the timeout and so declare members 3 to 5 dead.
TEST(Membership, OverlappingPausesBelowSuspicionTimeoutCauseNoDeath) {
  std::size_t suspected = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    FleetSimulator sim(20, seed);
    sim.start_all();
    ASSERT_TRUE(sim.run_until_done(10s, [&] { return sim.all_agree(); })) << "seed " << seed;
    ChangeRecorder changes(sim);
    suspected += run_overlapping_pauses(sim, changes);
    EXPECT_TRUE(changes.declared_dead.empty()) << "seed " << seed;
    EXPECT_TRUE(sim.all_agree()) << "seed " << seed;
  }
  EXPECT_GT(suspected, 20u);  // of 30; otherwise the runs do not reach the case
}

// Partitions the network for 20 s, then expects agreement within 15 s. During the partition each
// member sees exactly the members of its own part as alive and still knows all.
void partition_and_heal(FleetSimulator& sim, const std::function<int(std::size_t)>& part_of,
                        std::uint64_t seed) {
  sim.link = partitioned_by(part_of);
  sim.run_for(20s);
  for (std::size_t i : {std::size_t{0}, sim.nodes.size() - 1}) {
    for (const auto& [name, member] : sim.at(i).peers()) {
      EXPECT_EQ(member.state == MemberState::alive,
                part_of(i) == part_of(FleetSimulator::index_of(name)))
          << name << " seed " << seed;
    }
    EXPECT_EQ(sim.at(i).known_count(), sim.nodes.size())
        << "unreachable members still count as known";
  }
  sim.link = fully_connected();
  EXPECT_TRUE(sim.run_until_done(15s, [&] { return sim.all_agree(); })) << "seed " << seed;
}

// Guards against parts of a fleet that consider each other dead forever after a network partition
// has healed: members that are known to be dead must still be pinged and must be able to refute
// that.
TEST(Membership, MembersAgreeAgainAfterRepeatedNetworkPartitions) {
  for (std::uint64_t seed : {3, 4, 5}) {
    FleetSimulator sim(50, seed);
    sim.start_all();
    ASSERT_TRUE(sim.run_until_done(10s, [&] { return sim.all_agree(); }));
    partition_and_heal(
        sim, [](std::size_t i) { return i % 10 < 3 ? 1 : 0; }, seed);  // 30 % and 70 %
    partition_and_heal(
        sim, [](std::size_t i) { return static_cast<int>(i % 3); }, seed);
    partition_and_heal(
        sim, [](std::size_t i) { return i % 10 < 3 ? 1 : 0; }, seed);
  }
}

// Guards against declaring a member dead because a single other member cannot reach it.
TEST(Membership, OneBlockedLinkCausesNoDeathBecauseOfIndirectProbes) {
  FleetSimulator sim(20, 6);
  sim.start_all();
  ASSERT_TRUE(sim.run_until_done(10s, [&] { return sim.all_agree(); }));
  ChangeRecorder changes(sim);
  sim.link = [](std::size_t from, std::size_t to) {
    FleetSimulator::Link link;
    link.blocked = from == 3 && to == 9;  // in this direction only
    return link;
  };
  sim.run_for(60s);
  EXPECT_TRUE(changes.declared_dead.empty());
  EXPECT_TRUE(sim.all_agree());
}

// A member that receives nothing gets no acks and suspects all others. Guards against its
// suspicions causing deaths in the rest of the fleet: its local health score slows its probes down,
// and the suspected members refute.
TEST(Membership, MemberThatReceivesNothingCausesNoOtherDeaths) {
  FleetSimulator sim(30, 7);
  sim.start_all();
  ASSERT_TRUE(sim.run_until_done(10s, [&] { return sim.all_agree(); }));
  ChangeRecorder changes(sim);
  changes.ignored_observer = "g4";
  sim.link = [](std::size_t, std::size_t to) {
    FleetSimulator::Link link;
    link.blocked = to == 4;
    return link;
  };
  sim.run_for(30s);
  EXPECT_EQ(changes.declared_dead, std::set<std::string>{"g4"});  // correct: it sends no acks
  EXPECT_EQ(sim.at(0).alive_count(), 29u);
  sim.link = fully_connected();
  EXPECT_TRUE(sim.run_until_done(15s, [&] { return sim.all_agree(); }));
}

// Lost pings, acks and nacks cause suspicions. Guards against deaths because the refutation or the
// final pings are lost as well.
TEST(Membership, TwentyPercentDatagramLossCausesNoDeaths) {
  for (std::uint64_t seed : {8, 9}) {
    FleetSimulator sim(50, seed);
    sim.link = [](std::size_t, std::size_t) {
      FleetSimulator::Link link;
      link.loss = 0.2;
      link.jitter = 20ms;
      return link;
    };
    sim.start_all();
    ASSERT_TRUE(sim.run_until_done(
        20s, [&] { return sim.at(0).alive_count() == 50 && sim.at(49).alive_count() == 50; }));
    ChangeRecorder changes(sim);
    sim.run_for(60s);
    EXPECT_TRUE(changes.declared_dead.empty())
        << "seed " << seed << ": " << changes.declared_dead.size();
  }
}

// Guards against ignoring a restarted member as an earlier process: its boot id comes from its
// clock, which may be behind that of its predecessor. It must then adopt a higher boot id.
TEST(Membership, RestartedMemberRejoinsEvenIfItsClockIsBehind) {
  FleetSimulator sim(30, 10);
  sim.start_all();
  ASSERT_TRUE(sim.run_until_done(10s, [&] { return sim.all_agree(); }));
  sim.kill(3);
  sim.run_for(100ms);
  sim.start(3);  // before it is suspected
  sim.kill(4);
  sim.run_for(20s);     // until it has been declared dead
  sim.start(4, 12345);  // with a clock far behind
  EXPECT_TRUE(sim.run_until_done(5s, [&] { return sim.all_agree(); }));
  EXPECT_GT(sim.at(0).peers().at("g4").version.boot_id, 1000000u);
  sim.run_for(20s);
  EXPECT_TRUE(sim.all_agree());
}

// Guards against a departure that other members see as a failure: they would count the member, and
// so a part of every rate limit, until its retention ends.
TEST(Membership, LeavingMemberIsSeenAsLeftWithinThreeSecondsAndNoLongerCounted) {
  FleetSimulator sim(20, 11);
  sim.start_all();
  ASSERT_TRUE(sim.run_until_done(10s, [&] { return sim.all_agree(); }));
  // The simulator does not transmit the messages of a direct call, so they are delivered here.
  sim.at(6).leave();
  for (auto& outgoing : std::exchange(sim.at(6).outgoing(), {})) {
    sim.at(FleetSimulator::index_of(outgoing.to))
        .on_message(sim.now(), sim.nodes[6].address, outgoing.message);
  }
  EXPECT_TRUE(sim.run_until_done(3s, [&] {
    for (std::size_t i = 0; i < 20; ++i) {
      if (i != 6 && sim.at(i).peers().at("g6").state != MemberState::left)
        return false;
    }
    return true;
  }));
  EXPECT_EQ(sim.at(0).known_count(), 19u);
  EXPECT_EQ(sim.at(6).next_timer(), Time::max());
}

// Guards against two processes with the same name that refute each other forever.
TEST(Membership, NewerProcessOfSameNameAtOtherAddressSupersedesOlder) {
  FleetSimulator sim(4, 12);
  for (std::size_t i = 0; i < 3; ++i) {
    sim.start(i);
  }
  ASSERT_TRUE(sim.run_until_done(5s, [&] { return sim.all_agree(); }));
  Message claim;
  claim.from = "g1";
  claim.version = {sim.at(1).version().boot_id + 5000, 0};
  sim.at(0).on_message(sim.now(), sim.nodes[3].address, claim);
  sim.run_for(3s);
  EXPECT_TRUE(sim.at(1).is_superseded());
  EXPECT_EQ(sim.at(0).peers().at("g1").address, sim.nodes[3].address);
}

// Guards against results that depend on anything but the seed, such as a clock or the order of a
// hash table: a failing run could then not be reproduced.
TEST(Membership, SameSeedSendsSameNumberOfBytes) {
  const auto sent_bytes = [](std::uint64_t seed) {
    FleetSimulator sim(12, seed);
    sim.start_all();
    sim.run_for(10s);
    std::vector<std::uint64_t> bytes_by_member;
    for (const auto& node : sim.nodes) {
      bytes_by_member.push_back(node.sent_bytes);
    }
    return bytes_by_member;
  };
  EXPECT_EQ(sent_bytes(3), sent_bytes(3));
  EXPECT_NE(sent_bytes(3), sent_bytes(4));
}

// --- Codec

constexpr std::uint64_t kFleet = 42;
constexpr std::size_t kChecksumBytes = 8;

Message message_with_all_fields() {
  Message message;
  message.kind = Message::Kind::ping_request;
  message.sequence = 4000000000;
  message.from = "g1";
  message.version = {1764633600000, 7};
  message.target = "g2";
  message.target_address = {0x7f000001, 7000};
  message.digest = 0xfedcba9876543210;
  message.updates = {{"g3", {0x7f000001, 7001}, MemberState::suspect, {1764633600001, 2}, "g9"}};
  message.payload = std::string("\0\x01\xff", 3);
  return message;
}

std::string append_checksum(std::string datagram) {
  XXH64_canonical_t checksum;
  XXH64_canonicalFromHash(&checksum, XXH3_64bits(datagram.data(), datagram.size()));
  return datagram.append(reinterpret_cast<const char*>(checksum.digest), sizeof checksum.digest);
}

void flip_bit(std::string& bytes, std::size_t byte, std::uint64_t bit) {
  bytes[byte] = static_cast<char>(static_cast<unsigned char>(bytes[byte]) ^ (1U << bit));
}

bool is_valid(const std::string& datagram) {
  return std::holds_alternative<Message>(membership::decode(datagram, kFleet));
}

membership::DecodeError decode_error(const std::string& datagram, std::uint64_t fleet = kFleet) {
  return std::get<membership::DecodeError>(membership::decode(datagram, fleet));
}

TEST(MembershipCodec, DecodedMessageEqualsEncodedMessage) {
  const Message message = message_with_all_fields();
  const auto decoded = membership::decode(membership::encode(message, kFleet), kFleet);
  ASSERT_TRUE(std::holds_alternative<Message>(decoded));
  EXPECT_EQ(std::get<Message>(decoded), message);
}

// Guards against counting datagrams of another fleet or version as malformed, which would point an
// operator to corruption instead of the configuration.
TEST(MembershipCodec, ReportsOtherFleetAndOtherFormat) {
  const std::string datagram = membership::encode(message_with_all_fields(), kFleet);
  EXPECT_EQ(decode_error(datagram, kFleet + 1), membership::DecodeError::other_fleet);
  std::string newer = datagram.substr(0, datagram.size() - kChecksumBytes);
  newer[1] = 2;  // the format version is the first field of the array
  EXPECT_EQ(decode_error(append_checksum(newer)), membership::DecodeError::other_format);
}

// Truncates every second datagram and flips up to two random bits in all. Guards against reading
// past the end of corrupt input and against accepting it; unchanged datagrams stay valid.
TEST(MembershipCodec, RejectsRandomlyCorruptDatagrams) {
  const std::string datagram = membership::encode(message_with_all_fields(), kFleet);
  std::mt19937_64 random(5);
  std::size_t rejected = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string corrupt = datagram;
    if (i % 2 == 0) {
      corrupt.resize(random() % corrupt.size());
    }
    for (std::size_t flips = random() % 3; flips > 0 && !corrupt.empty(); --flips) {
      const std::uint64_t bit = random() % 8;
      flip_bit(corrupt, random() % corrupt.size(), bit);
    }
    rejected += is_valid(corrupt) ? 0 : 1;
  }
  EXPECT_GT(rejected, 11000u);
}

// Guards against a part of the datagram that the checksum does not cover.
TEST(MembershipCodec, RejectsEveryFlippedBit) {
  const std::string datagram = membership::encode(message_with_all_fields(), kFleet);
  for (std::size_t i = 0; i < datagram.size() * 8; ++i) {
    std::string flipped = datagram;
    flip_bit(flipped, i / 8, i % 8);
    EXPECT_FALSE(is_valid(flipped)) << "bit " << i;
  }
}

// Guards against input beyond the size bound and unbounded recursion of the CBOR parser on arrays
// nested in arrays.
TEST(MembershipCodec, RejectsOversizedAndNestedDatagrams) {
  const std::string oversized(membership::kMaxDatagramBytes + 1, '\x81');
  EXPECT_EQ(decode_error(oversized), membership::DecodeError::malformed);
  // Each byte is the head of an array with a single element: the deepest nesting that fits.
  const std::string nested(membership::kMaxDatagramBytes - kChecksumBytes, '\x81');
  EXPECT_EQ(decode_error(append_checksum(nested)), membership::DecodeError::malformed);
}

TEST(MembershipAddress, ParsesAndFormatsAddressAndRejectsMalformedTexts) {
  const auto address = membership::parse_address("127.0.0.1:7000");
  ASSERT_TRUE(address);
  EXPECT_EQ(membership::to_string(*address), "127.0.0.1:7000");
  for (const char* text : {"127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:70000", "host:7000",
                           "127.0.0.1:7000x"}) {
    EXPECT_FALSE(membership::parse_address(text)) << text;
  }
}

}  // namespace
}  // namespace gateway::testing
