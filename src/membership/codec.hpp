// The datagram format of the membership protocol: one message as a CBOR array (RFC 8949), followed
// by the XXH3 checksum of the array in 8 bytes, most significant first.
//
// The checksum protects against corruption, not against forgery: without it a flipped bit could go
// unnoticed and, for example, increase the number of tokens that a payload transfers. Datagrams are
// not trusted: decode() checks every type, length and range.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "membership/message.hpp"

namespace gateway::membership {

inline constexpr std::size_t kMaxDatagramBytes = 1400;  // below the usual path MTU
inline constexpr std::size_t kMaxNameBytes = 64;        // of a member's name
inline constexpr std::size_t kMaxPayloadBytes = 900;    // of Message::payload

enum class DecodeError : std::uint8_t {
  malformed,    // corrupt, not a message, or a field out of its bounds
  other_fleet,  // a message of another fleet
  other_format  // the format version differs from this process's
};

// Returns the number that identifies a fleet in datagrams: a hash of the fleet's name in the
// operator file.
std::uint64_t fleet_id(std::string_view name);

// Both functions take the fleet_id() of this process's fleet. encode() checks no bounds; decode()
// never throws and returns either a complete message of this fleet, or the reason for the
// rejection.
std::string encode(const Message& message, std::uint64_t fleet);
std::variant<Message, DecodeError> decode(std::string_view datagram, std::uint64_t fleet);

}  // namespace gateway::membership
