// The idle connections of one gateway of a simulation, by host, and since when they are idle.
#pragma once

#include <cstdint>
#include <vector>

#include "lab/model/event_queue.hpp"

namespace gateway::lab {

class ConnectionModel {
 public:
  explicit ConnectionModel(Duration idle_close) : idle_close_(idle_close) {}

  // Takes the most recently used idle connection. False: there is none. `closed`: how many idle
  // connections were closed because they had exceeded the idle time.
  bool reuse(Time now, std::uint32_t host, std::size_t& closed) {
    std::vector<Time>& idle = at(host);
    closed = remove_expired(now, idle);
    if (idle.empty()) {
      return false;
    }
    idle.pop_back();
    return true;
  }
  void release(Time now, std::uint32_t host) { at(host).push_back(now); }
  std::size_t close_idle(std::uint32_t host) {
    const std::size_t count = at(host).size();
    at(host).clear();
    return count;
  }
  template <class Closed>  // Closed(host, count)
  void close_expired(Time now, Closed closed) {
    for (std::uint32_t h = 0; h < idle_.size(); ++h) {
      if (const std::size_t count = remove_expired(now, idle_[h])) {
        closed(h, count);
      }
    }
  }
  template <class Closed>
  void close_all(Closed closed) {
    for (std::uint32_t h = 0; h < idle_.size(); ++h) {
      if (const std::size_t count = close_idle(h)) {
        closed(h, count);
      }
    }
  }

 private:
  std::vector<Time>& at(std::uint32_t host) {
    if (idle_.size() <= host) {
      idle_.resize(host + 1);
    }
    return idle_[host];
  }
  std::size_t remove_expired(Time now, std::vector<Time>& idle) const {  // the oldest come first
    std::size_t old = 0;
    while (old < idle.size() && now - idle[old] >= idle_close_) {
      ++old;
    }
    if (old > 0) {
      idle.erase(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(old));
    }
    return old;
  }

  Duration idle_close_;
  std::vector<std::vector<Time>> idle_;  // by host: since when each is idle
};

}  // namespace gateway::lab
