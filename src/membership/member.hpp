// Value types of the membership protocol: time, addresses, members, updates about members and
// changes in a member's state.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gateway::membership {

using Time = std::chrono::nanoseconds;  // of a monotonic clock, since an arbitrary epoch
using Duration = std::chrono::nanoseconds;

// An IPv4 address and a UDP port, both in host byte order. Port 0 means that there is no address.
struct Address {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
};

// Formats as "127.0.0.1:7000".
std::string to_string(const Address& address);

// Parses "127.0.0.1:7000". Returns nullopt unless the text is an IPv4 address with a port from 1 to
// 65535.
std::optional<Address> parse_address(std::string_view text);

// The numeric values are part of the datagram format. At the same version a higher value overrides
// a lower one.
enum class MemberState : std::uint8_t { alive, suspect, dead, left };
// Returns the enumerator's name.
std::string_view to_string(MemberState state);

// A suspect counts as alive until its suspicion times out.
constexpr bool is_alive_or_suspect(MemberState state) {
  return state == MemberState::alive || state == MemberState::suspect;
}

// Orders the updates about one member, by boot id and then by incarnation. A restarted process has
// a higher boot id; a running process increments its incarnation to refute a suspicion or a death.
struct MemberVersion {
  std::uint64_t boot_id = 0;  // start of the process in Unix milliseconds, by its own clock
  std::uint32_t incarnation = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison
  auto operator<=>(const MemberVersion&) const = default;
};

// A statement about the state of a member, as gossiped between members.
struct MemberUpdate {
  std::string name;
  Address address;
  MemberState state = MemberState::alive;
  MemberVersion version;
  std::string reported_by;  // the member that suspects it or declares it dead; may be empty
  bool operator==(const MemberUpdate&) const = default;
};

// This process's view of another member.
struct Member {
  std::string name;
  Address address;
  MemberState state = MemberState::alive;
  MemberVersion version;
  Time state_changed_at{};  // by the clock of this process
};

enum class MemberChangeKind : std::uint8_t {
  joined,         // the member was not in the table before; `from` has no meaning
  state_changed,  // from state `from` to state `to`
  forgotten       // a dead or left member was removed from the table; `from` equals `to`
};

// A change in this process's view of another member.
struct MemberChange {
  std::string name;
  MemberChangeKind kind = MemberChangeKind::state_changed;
  MemberState from = MemberState::dead;
  MemberState to = MemberState::alive;
};

}  // namespace gateway::membership
