// The queue of member updates that are piggybacked on outgoing messages. Each update is transmitted
// a limited number of times, the least transmitted ones first (memberlist's TransmitLimitedQueue).
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "membership/member.hpp"

namespace gateway::membership {

// Estimates the size of an update in a datagram, in bytes.
std::size_t estimated_encoded_size(const MemberUpdate& update);

// Holds at most one update per member. Not thread-safe.
class BroadcastQueue {
 public:
  // Queues an update with no transmissions so far. It replaces a queued one about the same member.
  void add(const MemberUpdate& update);
  // Drops the queued update about `member`, if any.
  void remove(const std::string& member) { pending_.erase(member); }

  // Appends queued updates to `updates`, the least transmitted first, until the next one would
  // exceed `max_bytes` (estimated), of which `used_bytes` are already in use. Skips the update
  // about `excluded_member` (null: skips none). Removes updates transmitted `max_transmissions`
  // times.
  void take(std::vector<MemberUpdate>& updates, std::size_t used_bytes, std::size_t max_bytes,
            unsigned max_transmissions, const std::string* excluded_member);

 private:
  struct PendingBroadcast {
    MemberUpdate update;
    unsigned transmissions = 0;
  };
  std::map<std::string, PendingBroadcast> pending_;  // by member name
};

}  // namespace gateway::membership
