// The connections between one gateway of a virtual run and the hosts: which are idle and for how long.
#pragma once

#include <cstdint>
#include <vector>

#include "lab/agenda.hpp"

namespace fennelridge::lab {

class Lines {
 public:
  explicit Lines(Duration idleClose) : idleClose_(idleClose) {}

  // Takes the idle connection that was used last. False: there is none. `closed`: how many turned out too
  // old.
  bool reuse(Time now, std::uint32_t host, std::size_t& closed) {
    std::vector<Time>& idle = at(host);
    closed = dropOld(now, idle);
    if (idle.empty()) return false;
    idle.pop_back();
    return true;
  }
  void release(Time now, std::uint32_t host) { at(host).push_back(now); }
  std::size_t dropIdle(std::uint32_t host) {
    const std::size_t count = at(host).size();
    at(host).clear();
    return count;
  }
  template <class Closed>  // Closed(host, count)
  void dropOldEverywhere(Time now, Closed closed) {
    for (std::uint32_t h = 0; h < idle_.size(); ++h)
      if (const std::size_t count = dropOld(now, idle_[h])) closed(h, count);
  }
  template <class Closed>
  void dropAll(Closed closed) {
    for (std::uint32_t h = 0; h < idle_.size(); ++h)
      if (const std::size_t count = dropIdle(h)) closed(h, count);
  }

 private:
  std::vector<Time>& at(std::uint32_t host) {
    if (idle_.size() <= host) idle_.resize(host + 1);
    return idle_[host];
  }
  std::size_t dropOld(Time now, std::vector<Time>& idle) const {  // the oldest stand in front
    std::size_t old = 0;
    while (old < idle.size() && now - idle[old] >= idleClose_) ++old;
    if (old > 0) idle.erase(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(old));
    return old;
  }

  Duration idleClose_;
  std::vector<std::vector<Time>> idle_;  // by host: since when
};

}  // namespace fennelridge::lab
