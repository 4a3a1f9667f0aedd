// Model of the discovery service: one host list that follows the real state with a delay, served by
// one server of limited capacity. A state machine without a clock: the caller steps it with the
// time.
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
  Time started{};  // zero: long before the run
};

class DiscoveryModel {
 public:
  DiscoveryModel(const DiscoverySpec& spec, std::uint64_t seed);

  // Records a change of a host at `now`; the list shows it after the delay of discovery.
  // publish_immediately is for the start of a run: the list shows it at once.
  void publish(Time now, const ListedHost& change);
  void publish_immediately(Time now, const ListedHost& change);
  void set_extra_delay(Duration extra) {
    extra_delay_ = extra;
  }  // for changes published from now on
  void set_down(bool down) { down_ = down; }

  Time next_event() const { return pending_.next_at(); }
  std::vector<ListedHost> advance(Time now);  // changes that the list shows by `now`, in order

  std::uint64_t revision() const { return revision_; }
  // Entries newer than the revision, by host. `is_snapshot`: the revision is 0 or too old for a
  // difference, and this is the complete list.
  std::vector<ListedHost> changes_since(std::uint64_t revision, bool& is_snapshot) const;

  struct Call {
    Time at;  // when the response leaves discovery
    bool ok;  // false: 503
  };
  // Occupies the server for one call whose response has so many lines.
  Call call(Time now, std::size_t lines);
  std::uint64_t lines() const { return lines_; }

 private:
  struct Row {
    ListedHost listed;
    std::uint64_t revision;
    Time at;
  };
  void apply(Time now, const ListedHost& listed);

  DiscoverySpec spec_;
  Random random_;
  EventQueue<ListedHost> pending_;
  std::map<std::uint32_t, Time> last_visible_at_;  // keeps the changes of one host in order
  std::map<std::uint32_t, Row> rows_;
  std::uint64_t revision_ = 0, oldest_delta_revision_ = 0, lines_ = 0;
  Duration extra_delay_{};
  bool down_ = false;
  Time busy_until_{};
};

}  // namespace gateway::lab
