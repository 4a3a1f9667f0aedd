// Queues of the requests that run one at a time by key (ClassSettings::serialize_by_key).
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "load_balancer/load_balancer.hpp"

namespace load_balancer {

// The requests of a key.
struct KeyQueue {
  // Slots of ActiveRequests in order of arrival. Only the first request may run.
  std::deque<std::uint32_t> slots;
  Time cooldown_until{};  // no request of the key is sent before
};

// The queues and cooldowns of all keys. It does not decide when a request is sent.
class KeyQueues {
 public:
  // Appends a request and returns how many are ahead of it.
  std::size_t enqueue(std::uint64_t key, std::uint32_t slot);
  // Removes a request, wherever it is in the queue.
  void remove(std::uint64_t key, std::uint32_t slot);
  // Starts or replaces the cooldown of `key`.
  void set_cooldown(std::uint64_t key, Time until);
  // The queue of `key`; null if no request is in it. Valid until the next call of another method.
  const KeyQueue* find_waiting(std::uint64_t key) const;
  // Removes the queues without requests whose cooldown has passed.
  void forget_idle(Time now);

 private:
  std::unordered_map<std::uint64_t, KeyQueue> queues_;
};

}  // namespace load_balancer
