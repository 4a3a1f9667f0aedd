// One host: cores that share their time over the requests in work, a waiting room, a cold start that can be
// pushed over, lasting slowness after crowding, warm keys, connections, a load report.
//
// A state machine without a clock: the caller steps it with the time (never backwards) and asks when it wants
// to be stepped next. Source of the forms: BENCH, "The world"; of the constants: the scenario.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lab/agenda.hpp"
#include "lab/random.hpp"
#include "lab/scenario.hpp"

namespace fennelridge::lab {

using JobId = std::uint64_t;  // chosen by the caller, never used again at the same host

struct HostTraits {  // what one host is like, drawn from the scenario
  unsigned cores = 1;
  double speed = 1;  // work a second of one core
  std::size_t slots = 16, queue = 16;
  double thrash = 0, thrashAt = 6;
  double coldShare = 1, errorRate = 0;
  Duration coldTime{};
  bool crowds = false;
  double crowdHolds = 1e9, crowdSlower = 1, crowdBelow = 0;  // requests held; times; requests held
  Duration crowdFor{}, crowdRest{}, crowdMost{};
  double warmGain = 0;
  Duration warmFor{};
  std::size_t warmKeys = 0;
  std::size_t connections = 1000;
  double fullTax = 0, handshakeWork = 0;   // share of the capacity; seconds of work
  double fallMultiple = 3, fallSlack = 0;  // slack in seconds of work
  Duration fallWindow{};
  Duration reportPeriod{}, reportDelay{};
  double reportNoise = 0;
  std::uint64_t reportSeed = 0;
};
HostTraits drawTraits(const Scenario& scenario, const KindSpec& kind, Random& random);

struct Condition {        // what troubles make of a host at present
  double slower = 1;      // times
  double taken = 0;       // share of the machine that a neighbour has
  double errorShare = 0;  // of its requests that fail at once
  double resetShare = 0, spoiltShare = 0;
  Duration trickle{};  // by which its answers come late, piece by piece
};

struct Job {
  JobId id = 0;
  double work = 0;  // seconds on a core of speed 1
  std::uint64_t key = 0;
  bool hasKey = false, handshake = false;  // on a new connection
  Time deadline = kNever;                  // when in the waiting room past this it is turned away unseen
  bool senderKnowsStart = false;           // it had been told of this host's latest start
};

enum class Admission { taken, full };

struct Ended {
  JobId id = 0;
  enum class How { done, expired } how = How::done;  // expired: turned away from the waiting room, never ran
  double work = 0;                                   // seconds of work that it cost
};

struct LoadReport {
  double latencyMs = 0, util = 0;
};

struct Fall {                    // a cold host that was pushed over
  double pushed = 0, borne = 0;  // seconds of work within the window
  double knownShare = 0;         // of the push, from gateways that had been told of the start
};

class HostModel {
 public:
  HostModel(HostTraits traits, Time now, bool cold);
  HostModel(const HostModel&) = delete;  // its keys are held by place
  HostModel& operator=(const HostModel&) = delete;

  void advance(Time now, std::vector<Ended>& ended);  // appends what ended by then
  Time nextEvent() const;                             // advance is wanted by then; kNever: not

  // All of these advance first; what ended meanwhile is appended.
  Admission arrive(Time now, const Job& job, std::vector<Ended>& ended);
  void cancel(Time now, JobId job, std::vector<Ended>& ended);  // an unknown one is ignored
  void setCondition(Time now, const Condition& condition, std::vector<Ended>& ended);
  // A new process, cold, with nothing of the old one.
  void restart(Time now);
  // The process ends: all that it holds is gone.
  void stop(Time now);

  bool openConnection();  // false: the table is full
  void closeConnection();
  void closeAllConnections() { connections_ = 0; }

  // Set once a cold host falls over; it stays down till its restart.
  const std::optional<Fall>& fallen() const { return fallen_; }
  bool running() const { return running_; }
  std::size_t holds() const { return jobs_.size(); }
  double warmth(Time now) const;    // share of the capacity that a cold one has
  double capacity(Time now) const;  // work a second, all cores busy, at present
  std::optional<LoadReport> report(Time now) const;
  const Condition& condition() const { return condition_; }
  const HostTraits& traits() const { return traits_; }
  bool crowded() const { return slow_; }
  double workDone() const { return workDone_; }  // seconds of work, of all jobs, ended or not

 private:
  struct Held {
    Job job;
    double mark = 0, cost = 0;  // given_ at which it is done; its work; only in work
    bool working = false;
    Time began{};
  };
  struct Push {
    Time at;
    double work;
    bool known;
  };
  struct Sample {
    Time at;
    LoadReport report;
  };

  double speedEach(Time now) const;  // work a second that each job in work is given
  void fill(Time now, std::vector<Ended>& ended);
  void noteCrowd(Time now);
  bool push(Time now, const Job& job, double work);
  double costOf(Time now, const Job& job);
  void renewNext(Time now);

  HostTraits traits_;
  Condition condition_;
  bool running_ = true;
  Time started_{}, at_{};
  bool startedCold_ = false;
  std::optional<Fall> fallen_;

  std::unordered_map<JobId, Held> jobs_;  // looked up only: its order shows nowhere
  std::set<std::pair<double, JobId>> working_;
  std::deque<JobId> waiting_;  // may name jobs that were cancelled
  std::size_t waitingCount_ = 0;
  double given_ = 0, workDone_ = 0;
  Time next_ = kNever;

  bool slow_ = false;
  Time crowdedSince_ = kNever, slowSince_{}, restingSince_ = kNever;

  std::deque<Push> pushes_;
  double pushed_ = 0;

  std::list<std::pair<std::uint64_t, Time>> warm_;  // latest first
  std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, Time>>::iterator> warmAt_;

  std::size_t connections_ = 0;
  double busy_ = 0, latencySum_ = 0, latencyLast_ = 0;  // since the last sample
  std::size_t latencyCount_ = 0;
  Time sampleAt_{};
  std::deque<Sample> samples_;
};

}  // namespace fennelridge::lab
