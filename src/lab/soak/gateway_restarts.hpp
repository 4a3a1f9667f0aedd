// Planned restarts of gateway processes, one after another, as the platform does them.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <vector>

#include "lab/soak/request_ledger.hpp"
#include "lab/soak/soak_clients.hpp"

namespace gateway::lab {

struct RestartPlan {
  // Between the end of one and the start of the next; 0: none.
  std::chrono::milliseconds interval{0};
  // From SIGTERM to SIGKILL: the longest client timeout of the settings and 0.7 s.
  std::chrono::milliseconds kill_delay{0};
};

// What a restart does to a gateway, by its index.
struct RestartControls {
  std::function<void(std::size_t)> terminate;   // SIGTERM
  std::function<void(std::size_t)> kill;        // SIGKILL; ignored if the process has ended
  std::function<bool(std::size_t)> is_running;  // the process has not ended
  std::function<void(std::size_t)> start;
  std::function<bool(std::size_t)> is_ready;    // it takes clients
  std::function<void(bool)> set_hosts_hanging;  // half of the hosts, through each shutdown
};

// Used on one thread; `targets` is what the clients see of the gateways.
class GatewayRestarts {
 public:
  using Time = RequestLedger::Time;

  GatewayRestarts(const RestartPlan& plan, RestartControls controls,
                  std::vector<ClientTarget>& targets, Time start);

  // To be called often. Begins no further restart once `begin_more` is false.
  void poll(Time now, bool begin_more);
  bool is_idle() const { return phase_ == Phase::waiting; }
  std::size_t completed() const { return completed_; }
  std::size_t killed() const { return killed_; }  // those that SIGKILL had to end

 private:
  enum class Phase { waiting, stopping, starting };

  void begin(Time now);
  void poll_stopping(Time now);
  void start_again();

  RestartPlan plan_;
  RestartControls controls_;
  std::vector<ClientTarget>& targets_;
  Phase phase_ = Phase::waiting;
  std::size_t current_ = 0;
  Time next_at_;
  std::size_t completed_ = 0;
  std::size_t killed_ = 0;
};

}  // namespace gateway::lab
