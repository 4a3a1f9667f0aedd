// A message of the membership protocol. A datagram always carries every field; the comment at each
// kind names the fields that this kind uses in addition to `from`, `version`, `updates` and
// `payload`.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "membership/member.hpp"

namespace gateway::membership {

struct Message {
  // The numeric values are part of the datagram format.
  enum class Kind : std::uint8_t {
    ping,                  // sequence, target: the target is to reply with an ack
    ack,                   // sequence: the target of the ping with this sequence is reachable
    ping_request,          // sequence, target, target_address: ping the target for the sender
    nack,                  // sequence: no ack so far for the ping request with this sequence
    member_table_request,  // the recipient is to send its whole member table
    sync,                  // digest: the recipient is to exchange tables if its digest differs
    member_table,          // updates: a part of the sender's member table
    payload_only,          // no fields of its own
  };
  Kind kind = Kind::ping;
  std::uint32_t sequence = 0;
  std::string from;       // the sender's name; its address is the datagram's source address
  MemberVersion version;  // of the sender
  std::string target;     // name of the member to ping
  Address target_address;
  std::uint64_t digest = 0;           // of the sender's member table
  std::vector<MemberUpdate> updates;  // piggybacked on every kind
  std::string payload;                // opaque to this module
  bool operator==(const Message&) const = default;
};

}  // namespace gateway::membership
