#include "load_balancer/key_queues.hpp"

namespace load_balancer {

std::size_t KeyQueues::enqueue(std::uint64_t key, std::uint32_t slot) {
  std::deque<std::uint32_t>& slots = queues_[key].slots;
  slots.push_back(slot);
  return slots.size() - 1;
}

void KeyQueues::remove(std::uint64_t key, std::uint32_t slot) {
  std::erase(queues_[key].slots, slot);
}

void KeyQueues::set_cooldown(std::uint64_t key, Time until) {
  queues_[key].cooldown_until = until;
}

const KeyQueue* KeyQueues::find_waiting(std::uint64_t key) const {
  const auto position = queues_.find(key);
  return position == queues_.end() || position->second.slots.empty() ? nullptr : &position->second;
}

void KeyQueues::forget_idle(Time now) {
  std::erase_if(queues_, [&](const auto& entry) {
    return entry.second.slots.empty() && now >= entry.second.cooldown_until;
  });
}

}  // namespace load_balancer
