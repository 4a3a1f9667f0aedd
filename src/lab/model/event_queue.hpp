// Scheduled events in order of time; events of the same time keep the order in which they were
// added.
#pragma once

#include <cstdint>
#include <queue>
#include <utility>
#include <vector>

#include "load_balancer/load_balancer.hpp"

namespace gateway::lab {

using load_balancer::Duration;
using load_balancer::Time;

inline constexpr Time kNever = Time::max();

inline Duration from_seconds(double s) {
  return Duration(static_cast<Duration::rep>(s * 1e9));
}
inline Duration from_millis(double ms) {
  return from_seconds(ms / 1e3);
}
inline double to_seconds(Duration d) {
  return static_cast<double>(d.count()) / 1e9;
}

template <class Event>
class EventQueue {
 public:
  void add(Time at, Event event) { heap_.push({at, next_++, std::move(event)}); }
  Time next_at() const { return heap_.empty() ? kNever : heap_.top().at; }
  Event pop() {  // the queue must not be empty
    Event event = std::move(heap_.top().event);
    heap_.pop();
    return event;
  }
  std::size_t size() const { return heap_.size(); }

 private:
  struct Entry {
    Time at;
    std::uint64_t number;
    Event event;
    bool operator<(const Entry& o) const { return at != o.at ? at > o.at : number > o.number; }
  };
  std::priority_queue<Entry> heap_;
  std::uint64_t next_ = 0;
};

}  // namespace gateway::lab
