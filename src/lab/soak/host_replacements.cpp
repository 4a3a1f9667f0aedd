#include "lab/soak/host_replacements.hpp"

#include <utility>

#include "lab/live/gateway_process.hpp"

namespace gateway::lab {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kStepInterval{1000};  // from drain to removal, and to the new host
// A host that drains may get nothing new from then on: 500 ms, and 50 ms of slack on sockets.
constexpr milliseconds kDrainGrace{550};

}  // namespace

json list_entry(const FaultyHost& host, const std::string& state) {
  return {{"uid", host.plan().uid}, {"endpoint", text_of(host.endpoint())},
          {"az", host.plan().zone}, {"model", "m"},
          {"pod_group", 0},         {"state", state},
          {"capacity_hint", 1.0},   {"boot_ms", 0}};
}

HostReplacements::HostReplacements(const ReplacementPlan& plan, Hosts& hosts,
                                   DiscoveryServer& discovery, AddHost add_host, std::uint64_t seed,
                                   Time start)
    : plan_(plan),
      hosts_(hosts),
      discovery_(discovery),
      add_host_(std::move(add_host)),
      random_(seed),
      next_at_(start + plan.interval) {
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    listed_.push_back(i);
  }
}

void HostReplacements::poll(Time now) {
  if (plan_.interval.count() == 0 || now < next_at_) {
    return;
  }
  FaultyHost& host = *hosts_[leaving_];
  switch (phase_) {
    case Phase::waiting:
      return begin(now);
    case Phase::draining:
      discovery_.set_host(host.plan().uid, list_entry(host, "DELETED"));
      phase_ = Phase::removed;
      next_at_ = now + kStepInterval;
      return;
    case Phase::removed:
      add_host_(host.plan().zone == "a" ? "b" : "a");
      listed_.push_back(hosts_.size() - 1);
      ++completed_;
      phase_ = Phase::waiting;
      next_at_ = now + plan_.interval;
      return;
  }
}

void HostReplacements::begin(Time now) {
  const std::size_t position = random_() % listed_.size();
  leaving_ = listed_[position];
  listed_.erase(listed_.begin() + static_cast<std::ptrdiff_t>(position));
  FaultyHost& host = *hosts_[leaving_];
  discovery_.set_host(host.plan().uid, list_entry(host, "DRAINING"));
  host.forbid_attempts_from(now + kDrainGrace);
  phase_ = Phase::draining;
  next_at_ = now + kStepInterval;
}

}  // namespace gateway::lab
