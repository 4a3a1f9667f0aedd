// Discovery: the list of hosts as gateways come to know it, late, from one service of limited
// capacity. Stepped with the time; owns no clock. Source: PROTOCOL, "Discovery"; BENCH, "The
// world".
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "lab/model/event_queue.hpp"
#include "lab/scenario/scenario.hpp"

namespace gateway::lab {

struct ListedHost {
  std::uint32_t host = 0;
  load_balancer::EndpointState state = load_balancer::EndpointState::active;
  Time started{};  // zero: long ago
};

class DiscoveryModel {
 public:
  DiscoveryModel(const DiscoverySpec& spec, std::uint64_t seed);

  // True from `now`; the list knows of it later. At the start of a day: at once.
  void publish(Time now, const ListedHost& truth);
  void publish_immediately(Time now, const ListedHost& truth);
  void set_extra_delay(Duration extra) { stale_ = extra; }  // for what happens from now on
  void set_down(bool down) { down_ = down; }

  Time next_event() const { return coming_.next_at(); }
  std::vector<ListedHost> advance(Time now);  // what the list has come to know by now, in order

  std::uint64_t revision() const { return revision_; }
  // Entries newer than that revision, in order of host; `whole`: it is too old, this is the whole
  // list.
  std::vector<ListedHost> changes_since(std::uint64_t revision, bool& whole) const;

  struct Call {
    Time at;  // when the answer leaves discovery
    bool ok;  // false: 503
  };
  Call call(Time now, std::size_t lines);
  std::uint64_t lines() const { return lines_; }

 private:
  struct Row {
    ListedHost listed;
    std::uint64_t revision;
    Time at;
  };
  void enter(Time now, const ListedHost& listed);

  DiscoverySpec spec_;
  Random random_;
  EventQueue<ListedHost> coming_;
  std::map<std::uint32_t, Time> last_due_;  // changes of one host keep their order
  std::map<std::uint32_t, Row> rows_;
  std::uint64_t revision_ = 0, forgotten_ = 0, lines_ = 0;
  Duration stale_{};
  bool down_ = false;
  Time busy_until_{};
};

}  // namespace gateway::lab
