// libFuzzer target for the input that a gateway receives from its fleet. Each input is tried as a
// datagram, as a payload without a message around it, and as a datagram with a matching checksum
// appended, so that mutated input reaches the decoder behind the checksum. Built and run by
// bench/fuzz.sh.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdlib>
#include <fstream>
#include <string>

#include "fleet_state/fleet_state.hpp"
#include "membership/codec.hpp"
#include "membership/membership.hpp"

namespace {

using namespace gateway;

constexpr std::uint64_t kFleet = 42;
constexpr std::size_t kMaxPayloadBytes = 700;
constexpr membership::Address kPeerAddress{0x7f000001, 1001};

membership::Settings make_settings() {
  membership::Settings settings;
  settings.name = "g0";
  settings.address = {0x7f000001, 1000};
  return settings;
}

fleet_state::FleetStateConfig make_config() {
  fleet_state::FleetStateConfig config;
  config.min_members = 3;
  config.retry_ratio = 0.1;
  config.limits = {{"all", "", "", 100, false}};
  config.shares_host_health = true;
  return config;
}

fleet_state::FleetView view_of_three_members() {
  return {3, 3, true, {"g0", "g1", "g2"}};
}

// A member that knows g1 and g2. A new one is created for each input.
struct Receiver {
  Receiver() : members(make_settings(), 1000, 1, now), state(make_config(), "g0", 7, now) {
    state.on_hosts({"h0", "h1", "h2"});
    membership::Message message;
    for (const char* name : {"g1", "g2"}) {
      message.from = name;
      message.version = {5, 0};
      members.on_message(now, kPeerAddress, message);
    }
  }

  std::chrono::nanoseconds now = std::chrono::seconds(1'700'000'000);
  membership::Membership members;
  fleet_state::FleetState state;
};

// Reports a failure to libFuzzer.
void check(bool condition) {
  if (!condition) {
    std::abort();
  }
}

// A message that can be decoded again must be equal to the original.
void check_round_trip(const membership::Message& message) {
  const auto decoded = membership::decode(membership::encode(message, kFleet), kFleet);
  const auto* decoded_message = std::get_if<membership::Message>(&decoded);
  check(!decoded_message || *decoded_message == message);
}

// Passes the input to the membership and the shared state. Replies must stay bounded in size, and
// the number of tokens must not become negative.
void receive_datagram(const std::string& datagram) {
  const auto decoded = membership::decode(datagram, kFleet);
  const auto* message = std::get_if<membership::Message>(&decoded);
  if (!message) {
    return;
  }
  check_round_trip(*message);
  Receiver receiver;
  receiver.members.on_message(receiver.now, kPeerAddress, *message);
  receiver.state.on_payload(receiver.now, message->from, message->payload);
  for (int i = 0; i < 3; ++i) {
    receiver.now += std::chrono::milliseconds(500);
    receiver.members.on_timer(receiver.now);
    receiver.state.on_tick(receiver.now, view_of_three_members());
    for (const auto& outgoing : receiver.members.outgoing()) {
      check(membership::encode(outgoing.message, kFleet).size() <=
            4 * membership::kMaxDatagramBytes);
    }
    receiver.members.outgoing().clear();
    check(receiver.state.payload_for(message->from, kMaxPayloadBytes).size() <= kMaxPayloadBytes);
  }
  check(receiver.state.retry_tokens().held() >= 0);
}

// Passes the input to the payload decoder. A single member must not cause an ejection.
void receive_payload(const std::string& payload) {
  Receiver receiver;
  receiver.state.on_payload(receiver.now, "g1", payload);
  receiver.state.on_tick(receiver.now, view_of_three_members());
  check(receiver.state.payload_for("g1", kMaxPayloadBytes).size() <= kMaxPayloadBytes);
  check(receiver.state.ejected_hosts().empty());
}

// Returns a payload with a counter row, a demand for retry tokens and a health report.
std::string valid_payload() {
  Receiver sender;
  for (int i = 0; i < 40; ++i) {
    sender.state.try_admit(sender.now, "any", "");
    sender.state.on_retry_sent(sender.now);
  }
  for (int i = 0; i < 5; ++i) {
    sender.state.on_attempt_result(sender.now, "h1", false);
  }
  sender.state.on_tick(sender.now + std::chrono::seconds(3), view_of_three_members());
  return sender.state.payload_for("g1", kMaxPayloadBytes);
}

}  // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string input(reinterpret_cast<const char*>(data), size);
  receive_datagram(input);
  receive_payload(input);
  XXH64_canonical_t checksum;
  XXH64_canonicalFromHash(&checksum, XXH3_64bits(input.data(), input.size()));
  receive_datagram(
      input.append(reinterpret_cast<const char*>(checksum.digest), sizeof checksum.digest));
  return 0;
}

// FUZZ_SEEDS=FOLDER: writes a valid payload and a valid message without its checksum there.
// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's
extern "C" int LLVMFuzzerInitialize(int*, char***) {
  const char* folder = std::getenv("FUZZ_SEEDS");
  if (!folder) {
    return 0;
  }
  membership::Message message;
  message.from = "g1";
  message.version = {5, 0};
  message.target = "g0";
  message.updates = {{"g2", {0x7f000001, 1002}, membership::MemberState::suspect, {5, 0}, "g1"}};
  message.payload = valid_payload();
  std::ofstream(std::string(folder) + "/payload") << message.payload;
  std::string datagram = membership::encode(message, kFleet);
  datagram.resize(datagram.size() - sizeof(XXH64_canonical_t));
  std::ofstream(std::string(folder) + "/message") << datagram;
  return 0;
}
