// Model of one host: cores that share their time equally among the running jobs, a bounded queue, a
// cold start during which too much work makes the host collapse, lasting slowness after crowding, a
// cache of warm keys, a bounded connection table and delayed load reports.
//
// A state machine without a clock: the caller steps it with the current time, which never
// decreases, and asks for the time of the next step. The scenario supplies the constants.
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

using JobId = std::uint64_t;  // chosen by the caller; unique at one host

// Constants of one host, drawn from the scenario.
struct HostTraits {
  unsigned cores = 1;
  double speed = 1;  // seconds of work per second and core
  std::size_t slots = 16, queue = 16;
  double thrash = 0, thrash_at = 6;
  double cold_share = 1, error_rate = 0;  // initial share of the capacity; share of the responses
  Duration cold_time{};
  bool crowding = false;
  double crowding_threshold = 1e9, crowding_slowdown = 1,
         recovery_threshold = 0;  // active jobs; factor; active jobs
  Duration crowding_delay{}, recovery_time{}, max_slow_time{};
  double warm_key_saving = 0;
  Duration warm_key_ttl{};
  std::size_t warm_keys = 0;
  std::size_t connections = 1000;
  double full_tax = 0,
         handshake_work = 0;  // share of the capacity that a full table costs; seconds
  double collapse_load_factor = 3, collapse_slack = 0;  // slack in seconds of work
  Duration collapse_window{};
  Duration report_period{}, report_delay{};
  double report_noise = 0;
  std::uint64_t report_seed = 0;
};
HostTraits draw_traits(const Scenario& scenario, const KindSpec& kind, Random& random);

// Combined effect of the active faults on a host.
struct Condition {
  double slowdown = 1;                          // factor by which the host is slower
  double stolen_share = 0;                      // of the machine, used by a neighbouring process
  double error_share = 0;                       // of the requests, which fail at once
  double reset_share = 0, malformed_share = 0;  // of the requests; of the responses
  Duration response_delay{};  // added to each response, as if its bytes arrived slowly
};

struct Job {
  JobId id = 0;
  double work = 0;  // seconds on a core of speed 1
  std::uint64_t key = 0;
  bool has_key = false, handshake = false;  // handshake: the job came on a new connection
  Time deadline = kNever;                   // a job that is still in the queue by then is not run
  bool sender_knows_start = false;  // its gateway's endpoint list had this host's latest start
};

enum class Admission { accepted, rejected };

struct FinishedJob {
  JobId id = 0;
  enum class Outcome {
    done,
    expired
  } outcome = Outcome::done;  // expired: removed from the queue without having run
  double work = 0;            // seconds of work that the host spent on it
};

struct LoadReport {
  double latency_ms = 0, util = 0;
};

// Overload collapse of a cold host.
struct Collapse {
  double work_sent = 0, work_limit = 0;  // seconds of work within the window
  double informed_share = 0;  // of that work, from gateways whose list had the host's start
};

class HostModel {
 public:
  HostModel(HostTraits traits, Time now, bool cold);
  HostModel(const HostModel&) = delete;  // warm_key_positions_ holds iterators into warm_keys_
  HostModel& operator=(const HostModel&) = delete;

  // Advances the model to `now` and appends the jobs that ended until then.
  void advance(Time now, std::vector<FinishedJob>& ended);
  Time next_event() const;  // when to call advance next; kNever: no event is due

  // These advance the model to `now` first and append the jobs that ended until then.
  Admission submit(Time now, const Job& job, std::vector<FinishedJob>& ended);
  void cancel(Time now, JobId job, std::vector<FinishedJob>& ended);  // unknown id: no effect
  void set_condition(Time now, const Condition& condition, std::vector<FinishedJob>& ended);
  // Starts a new process: cold, without jobs, connections, warm keys or reports of the old one.
  void restart(Time now);
  // Ends the process: all its jobs and connections are lost.
  void stop(Time now);

  bool open_connection();  // false: the table is full
  void close_connection();
  void close_all_connections() { connections_ = 0; }

  // Set when a cold host collapses under load; it accepts no job until its restart.
  const std::optional<Collapse>& collapse() const { return collapse_; }
  bool running() const { return running_; }
  std::size_t active_jobs() const { return jobs_.size(); }
  double warmth(Time now) const;    // share of the capacity reached since the start
  double capacity(Time now) const;  // seconds of work per second, all cores busy
  // The latest report older than the report delay, with noise; none until then.
  std::optional<LoadReport> load_report(Time now) const;
  const Condition& condition() const { return condition_; }
  const HostTraits& traits() const { return traits_; }
  // Slow after crowding, until it has recovered.
  bool is_slowed() const { return is_slowed_; }
  double work_done() const { return work_done_; }  // seconds of work on all jobs, finished or not

 private:
  struct ActiveJob {
    Job job;
    // The service_per_job_ at which it is done, and its work in seconds; set while it runs.
    double finish_at_service = 0, cost = 0;
    bool working = false;
    Time work_started_at{};
  };
  struct SentWork {
    Time at;
    double work;
    bool informed;
  };
  struct Sample {
    Time at;
    LoadReport report;
  };

  double speed_per_job(Time now) const;  // seconds of work per second for each running job
  void start_waiting_jobs(Time now, std::vector<FinishedJob>& ended);
  void update_crowding(Time now);
  // Counts work sent to a cold host. False: it exceeds the limit and the host collapses.
  bool record_sent_work(Time now, const Job& job, double work);
  // Seconds of work that the job needs, less with a warm key; marks its key as warm.
  double work_of_job(Time now, const Job& job);
  void update_next_event(Time now);

  HostTraits traits_;
  Condition condition_;
  bool running_ = true;
  Time started_{}, time_{};
  bool started_cold_ = false;
  std::optional<Collapse> collapse_;

  std::unordered_map<JobId, ActiveJob> jobs_;        // never iterated: its order affects no result
  std::set<std::pair<double, JobId>> running_jobs_;  // by finish_at_service
  std::deque<JobId> waiting_jobs_;                   // may contain cancelled jobs
  std::size_t waiting_count_ = 0;
  // Work that a job running since the last idle time would have received, in seconds.
  double service_per_job_ = 0, work_done_ = 0;
  Time next_event_time_ = kNever;

  bool is_slowed_ = false;
  Time crowded_since_ = kNever, slowed_since_{}, recovering_since_ = kNever;

  std::deque<SentWork> sent_work_;
  double sent_work_sum_ = 0;

  std::list<std::pair<std::uint64_t, Time>> warm_keys_;  // latest use first
  std::unordered_map<std::uint64_t, std::list<std::pair<std::uint64_t, Time>>::iterator>
      warm_key_positions_;

  std::size_t connections_ = 0;
  double busy_ = 0, latency_sum_ = 0, last_latency_ms_ = 0;  // since the last sample
  std::size_t latency_count_ = 0;
  Time next_sample_at_{};
  std::deque<Sample> samples_;
};

}  // namespace gateway::lab
