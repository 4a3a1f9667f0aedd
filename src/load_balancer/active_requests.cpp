#include "load_balancer/active_requests.hpp"

namespace load_balancer {

void ActiveRequest::restart_clock(Time now) {
  const Duration elapsed = now - std::exchange(started_at, now);
  deadline += elapsed;
  objective_deadline += elapsed;
}

ActiveRequest* ActiveRequests::add(RequestId id) {
  if (slot_of_.count(id) > 0) {
    return nullptr;
  }
  if (free_slots_.empty()) {
    free_slots_.push_back(static_cast<std::uint32_t>(slots_.size()));
    slots_.emplace_back();
  }
  const std::uint32_t slot = free_slots_.back();
  free_slots_.pop_back();
  slot_of_.emplace(id, slot);
  ActiveRequest& request = slots_[slot];
  const std::uint32_t generation = request.generation + 1;
  request = ActiveRequest{};
  request.generation = generation;
  request.id = id;
  request.is_live = true;
  return &request;
}

void ActiveRequests::remove(ActiveRequest& request) {
  slot_of_.erase(request.id);
  request.is_live = false;
  free_slots_.push_back(slot(request));
}

ActiveRequest* ActiveRequests::find(RequestId id) {
  const auto position = slot_of_.find(id);
  return position == slot_of_.end() ? nullptr : &slots_[position->second];
}

ActiveRequest* ActiveRequests::find(Reference reference) {
  ActiveRequest& request = slots_[reference.first];
  return request.is_live && request.generation == reference.second ? &request : nullptr;
}

const Attempt* ActiveRequests::attempt_in_flight(Reference reference, HostId host) const {
  const ActiveRequest& request = slots_[reference.first];
  if (!request.is_live || request.generation != reference.second) {
    return nullptr;
  }
  for (std::uint32_t i = 0; i < request.attempt_count; ++i) {
    if (request.attempts[i].in_flight && request.attempts[i].host == host) {
      return &request.attempts[i];
    }
  }
  return nullptr;
}

}  // namespace load_balancer
