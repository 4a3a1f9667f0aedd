// Hosts that leave the endpoint list and others that join it, during a soak run.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "lab/soak/discovery_server.hpp"
#include "lab/soak/faulty_host.hpp"

namespace gateway::lab {

struct ReplacementPlan {
  std::chrono::milliseconds interval{0};  // 0: none
};

// The entry of a host in the endpoint list.
nlohmann::json list_entry(const FaultyHost& host, const std::string& state);

// One after another, a listed host drains, is removed, and another joins in the other zone. The
// host that left stays up and finishes what it has. Used on one thread.
class HostReplacements {
 public:
  using Time = RequestLedger::Time;
  using Hosts = std::vector<std::unique_ptr<FaultyHost>>;
  using AddHost =
      std::function<void(const std::string& zone)>;  // appends to the hosts, and lists it

  HostReplacements(const ReplacementPlan& plan, Hosts& hosts, DiscoveryServer& discovery,
                   AddHost add_host, std::uint64_t seed, Time start);

  // To be called often.
  void poll(Time now);
  std::size_t completed() const { return completed_; }

 private:
  enum class Phase { waiting, draining, removed };

  void begin(Time now);

  ReplacementPlan plan_;
  Hosts& hosts_;
  DiscoveryServer& discovery_;
  AddHost add_host_;
  std::mt19937_64 random_;
  std::vector<std::size_t> listed_;  // indices of hosts_
  Phase phase_ = Phase::waiting;
  std::size_t leaving_ = 0;
  Time next_at_;
  std::size_t completed_ = 0;
};

}  // namespace gateway::lab
