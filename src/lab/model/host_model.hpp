// One host: cores that share their time over the requests in work, a waiting room, a cold start
// that can be pushed over, lasting slowness after crowding, warm keys, connections, a load report.
//
// A state machine without a clock: the caller steps it with the time (never backwards) and asks
// when it wants to be stepped next. Source of the forms: BENCH, "The world"; of the constants: the
// scenario.
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

#include "lab/model/event_queue.hpp"
#include "lab/model/random.hpp"
#include "lab/scenario/scenario.hpp"

namespace gateway::lab {

using JobId = std::uint64_t;  // chosen by the caller, never used again at the same host

struct HostTraits {  // what one host is like, drawn from the scenario
  unsigned cores = 1;
  double speed = 1;  // work a second of one core
  std::size_t slots = 16, queue = 16;
  double thrash = 0, thrash_at = 6;
  double cold_share = 1, error_rate = 0;
  Duration cold_time{};
  bool crowding = false;
  double crowding_threshold = 1e9, crowding_slowdown = 1,
         recovery_threshold = 0;  // requests held; times; requests held
  Duration crowding_delay{}, recovery_time{}, max_slow_time{};
  double warm_key_saving = 0;
  Duration warm_key_ttl{};
  std::size_t warm_keys = 0;
  std::size_t connections = 1000;
  double full_tax = 0, handshake_work = 0;              // share of the capacity; seconds of work
  double collapse_load_factor = 3, collapse_slack = 0;  // slack in seconds of work
  Duration collapse_window{};
  Duration report_period{}, report_delay{};
  double report_noise = 0;
  std::uint64_t report_seed = 0;
};
HostTraits draw_traits(const Scenario& scenario, const KindSpec& kind, Random& random);

struct Condition {          // what troubles make of a host at present
  double slowdown = 1;      // times
  double stolen_share = 0;  // share of the machine that a neighbour has
  double error_share = 0;   // of its requests that fail at once
  double reset_share = 0, malformed_share = 0;
  Duration response_delay{};  // by which its answers come late, piece by piece
};

struct Job {
  JobId id = 0;
  double work = 0;  // seconds on a core of speed 1
  std::uint64_t key = 0;
  bool has_key = false, handshake = false;  // on a new connection
  Time deadline = kNever;           // when in the waiting room past this it is turned away unseen
  bool sender_knows_start = false;  // it had been told of this host's latest start
};

enum class Admission { accepted, rejected };

struct FinishedJob {
  JobId id = 0;
  enum class Outcome {
    done,
    expired
  } outcome = Outcome::done;  // expired: turned away from the waiting room, never ran
  double work = 0;            // seconds of work that it cost
};

struct LoadReport {
  double latency_ms = 0, util = 0;
};

struct Collapse {                        // a cold host that was pushed over
  double work_sent = 0, work_limit = 0;  // seconds of work within the window
  double informed_share = 0;  // of the push, from gateways that had been told of the start
};

class HostModel {
 public:
  HostModel(HostTraits traits, Time now, bool cold);
  HostModel(const HostModel&) = delete;  // its keys are held by place
  HostModel& operator=(const HostModel&) = delete;

  void advance(Time now, std::vector<FinishedJob>& ended);  // appends what ended by then
  Time next_event() const;  // advance is wanted by then; kNever: not

  // All of these advance first; what ended meanwhile is appended.
  Admission submit(Time now, const Job& job, std::vector<FinishedJob>& ended);
  void cancel(Time now, JobId job, std::vector<FinishedJob>& ended);  // an unknown one is ignored
  void set_condition(Time now, const Condition& condition, std::vector<FinishedJob>& ended);
  // A new process, cold, with nothing of the old one.
  void restart(Time now);
  // The process ends: all that it holds is gone.
  void stop(Time now);

  bool open_connection();  // false: the table is full
  void close_connection();
  void close_all_connections() { connections_ = 0; }

  // Set once a cold host falls over; it stays down till its restart.
  const std::optional<Collapse>& collapse() const { return collapse_; }
  bool running() const { return running_; }
  std::size_t active_jobs() const { return jobs_.size(); }
  double warmth(Time now) const;    // share of the capacity that a cold one has
  double capacity(Time now) const;  // work a second, all cores busy, at present
  std::optional<LoadReport> load_report(Time now) const;
  const Condition& condition() const { return condition_; }
  const HostTraits& traits() const { return traits_; }
  bool is_slowed() const { return slow_; }
  double work_done() const { return work_done_; }  // seconds of work, of all jobs, ended or not

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

  double speed_each(Time now) const;  // work a second that each job in work is given
  void fill(Time now, std::vector<FinishedJob>& ended);
  void note_crowd(Time now);
  bool push(Time now, const Job& job, double work);
  double cost_of(Time now, const Job& job);
  void renew_next(Time now);

  HostTraits traits_;
  Condition condition_;
  bool running_ = true;
  Time started_{}, at_{};
  bool started_cold_ = false;
  std::optional<Collapse> collapse_;

  std::unordered_map<JobId, Held> jobs_;  // looked up only: its order shows nowhere
  std::set<std::pair<double, JobId>> working_;
  std::deque<JobId> waiting_;  // may name jobs that were cancelled
  std::size_t waiting_count_ = 0;
  double given_ = 0, work_done_ = 0;
  Time next_ = kNever;

  bool slow_ = false;
  Time crowded_since_ = kNever, slow_since_{}, resting_since_ = kNever;

  std::deque<Push> pushes_;
  double pushed_ = 0;

  std::list<std::pair<std::uint64_t, Time>> warm_;  // latest first
  std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, Time>>::iterator> warm_at_;

  std::size_t connections_ = 0;
  double busy_ = 0, latency_sum_ = 0, latency_last_ = 0;  // since the last sample
  std::size_t latency_count_ = 0;
  Time sample_at_{};
  std::deque<Sample> samples_;
};

}  // namespace gateway::lab
