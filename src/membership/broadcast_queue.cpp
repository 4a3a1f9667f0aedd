#include "membership/broadcast_queue.hpp"

#include <algorithm>

namespace gateway::membership {
namespace {

// Encoded size of an update's address, state and version, in addition to its two names.
constexpr std::size_t kUpdateOverheadBytes = 24;

}  // namespace

std::size_t estimated_encoded_size(const MemberUpdate& update) {
  return update.name.size() + update.reported_by.size() + kUpdateOverheadBytes;
}

void BroadcastQueue::add(const MemberUpdate& update) {
  pending_[update.name] = {update, 0};
}

void BroadcastQueue::take(std::vector<MemberUpdate>& updates, std::size_t used_bytes,
                          std::size_t max_bytes, unsigned max_transmissions,
                          const std::string* excluded_member) {
  std::vector<PendingBroadcast*> candidates;
  for (auto& [name, broadcast] : pending_) {
    if (!excluded_member || name != *excluded_member) {
      candidates.push_back(&broadcast);
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const PendingBroadcast* a, const PendingBroadcast* b) {
              return a->transmissions < b->transmissions;
            });
  for (PendingBroadcast* broadcast : candidates) {
    const std::size_t size = estimated_encoded_size(broadcast->update);
    if (used_bytes + size > max_bytes) {
      break;
    }
    used_bytes += size;
    updates.push_back(broadcast->update);
    ++broadcast->transmissions;
  }
  std::erase_if(pending_, [max_transmissions](const auto& entry) {
    return entry.second.transmissions >= max_transmissions;
  });
}

}  // namespace gateway::membership
