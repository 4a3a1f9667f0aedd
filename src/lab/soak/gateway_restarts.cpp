#include "lab/soak/gateway_restarts.hpp"

#include <utility>

namespace gateway::lab {
namespace {

using std::chrono::milliseconds;

// Clients go on connecting to a gateway for so long after its SIGTERM.
constexpr milliseconds kConnectsGoOn{300};

}  // namespace

GatewayRestarts::GatewayRestarts(const RestartPlan& plan, RestartControls controls,
                                 std::vector<ClientTarget>& targets, Time start)
    : plan_(plan),
      controls_(std::move(controls)),
      targets_(targets),
      next_at_(start + plan.interval) {}

void GatewayRestarts::poll(Time now, bool begin_more) {
  switch (phase_) {
    case Phase::waiting:
      if (begin_more && plan_.interval.count() > 0 && now >= next_at_) {
        begin(now);
      }
      return;
    case Phase::stopping:
      return poll_stopping(now);
    case Phase::starting:
      if (controls_.is_ready(current_)) {
        targets_[current_].accepts = true;
        targets_[current_].killed = false;
        targets_[current_].stopped_at.reset();
        ++completed_;
        current_ = (current_ + 1) % targets_.size();
        next_at_ = now + plan_.interval;
        phase_ = Phase::waiting;
      }
      return;
  }
}

void GatewayRestarts::begin(Time now) {
  phase_ = Phase::stopping;
  controls_.set_hosts_hanging(true);
  targets_[current_].stopped_at = now;
  controls_.terminate(current_);
}

void GatewayRestarts::poll_stopping(Time now) {
  ClientTarget& target = targets_[current_];
  if (now >= *target.stopped_at + kConnectsGoOn) {
    target.accepts = false;
  }
  if (!controls_.is_running(current_)) {
    return start_again();
  }
  if (now >= *target.stopped_at + plan_.kill_delay) {
    ++killed_;
    target.killed = true;
    target.killed_process_stopped_at = target.stopped_at;
    controls_.kill(current_);
    start_again();
  }
}

void GatewayRestarts::start_again() {
  targets_[current_].accepts = false;
  controls_.set_hosts_hanging(false);
  controls_.start(current_);
  phase_ = Phase::starting;
}

}  // namespace gateway::lab
