#include "lab/model/host_model.hpp"

#include <algorithm>
#include <cmath>

namespace gateway::lab {
namespace {

// Interval at which the speed of a cold host is updated while it warms up.
constexpr Duration kColdUpdateInterval = std::chrono::milliseconds(100);
constexpr double kWorkTolerance = 1e-9;  // seconds of work; a job with less left is done
constexpr std::size_t kMaxSamples = 8;   // load reports kept until their delay has passed

}  // namespace

HostTraits draw_traits(const Scenario& s, const KindSpec& kind, Random& random) {
  HostTraits t;
  const double cores = kind.cores;
  const auto per_host = [&](const Range& per_core) {
    return static_cast<std::size_t>(std::lround(per_core.draw(random) * cores));
  };
  t.cores = kind.cores;
  t.speed = kind.speed.draw(random);
  t.slots = std::max<std::size_t>(per_host(kind.slots_per_core), 1);
  t.queue = per_host(kind.queue_per_core);
  t.thrash = kind.thrash.draw(random);
  t.thrash_at = kind.thrash_at.draw(random);
  t.cold_share = kind.cold_share.draw(random);
  t.cold_time = from_seconds(kind.cold_s.draw(random));
  t.error_rate = kind.error_rate.draw(random);
  t.crowding = s.hosts.crowding.on;
  t.crowding_threshold = s.hosts.crowding.threshold_per_core.draw(random) * cores;
  t.crowding_delay = from_seconds(s.hosts.crowding.delay_s.draw(random));
  t.crowding_slowdown = s.hosts.crowding.slowdown.draw(random);
  t.recovery_threshold = s.hosts.crowding.recovery_threshold_per_core.draw(random) * cores;
  t.recovery_time = from_seconds(s.hosts.crowding.recovery_s.draw(random));
  t.max_slow_time = from_seconds(s.hosts.crowding.max_slow_s.draw(random));
  t.warm_key_saving = s.hosts.warm.on ? s.hosts.warm.saving.draw(random) : 0;
  t.warm_key_ttl = from_seconds(s.hosts.warm.ttl_s.draw(random));
  t.warm_keys = per_host(s.hosts.warm.keys_per_core);
  t.connections = std::max<std::size_t>(per_host(s.hosts.connections.cap_per_core), 1);
  t.full_tax = s.hosts.connections.full_tax.draw(random);
  t.handshake_work = s.hosts.connections.handshake_us.draw(random) / 1e6;
  t.collapse_load_factor = s.rules.collapse_load_factor;
  t.collapse_window = from_millis(s.rules.collapse_window_ms);
  t.collapse_slack = s.rules.collapse_slack_ms / 1e3;
  t.report_period = from_millis(s.hosts.report.period_ms.draw(random));
  t.report_delay = from_millis(s.hosts.report.delay_ms.draw(random));
  t.report_noise = s.hosts.report.noise;
  t.report_seed = static_cast<std::uint64_t>(random.unit() * 0x1p53);
  return t;
}

HostModel::HostModel(HostTraits traits, Time now, bool cold)
    : traits_(traits),
      started_(now),
      time_(now),
      started_cold_(cold),
      next_sample_at_(now + traits.report_period) {}

double HostModel::warmth(Time now) const {
  if (!started_cold_ || now - started_ >= traits_.cold_time) {
    return 1;
  }
  const double elapsed = to_seconds(now - started_) / to_seconds(traits_.cold_time);
  return traits_.cold_share + (1 - traits_.cold_share) * elapsed;
}

double HostModel::capacity(Time now) const {
  const double table_fill =
      static_cast<double>(connections_) / static_cast<double>(traits_.connections);
  return traits_.cores * traits_.speed * warmth(now) * (1 - condition_.stolen_share) *
         (1 - traits_.full_tax * std::min(table_fill, 1.0)) /
         (condition_.slowdown * (is_slowed_ ? traits_.crowding_slowdown : 1));
}

double HostModel::speed_per_job(Time now) const {
  if (running_jobs_.empty()) {
    return 0;
  }
  const auto n = static_cast<double>(running_jobs_.size());
  const double per_core = n / traits_.cores;
  const double efficiency = 1 / (1 + traits_.thrash * std::max(per_core - traits_.thrash_at, 0.0));
  return capacity(now) * efficiency / std::max(n, static_cast<double>(traits_.cores));
}

void HostModel::update_next_event(Time now) {
  next_event_time_ = kNever;
  if (!running_ || collapse_) {
    return;
  }
  if (!running_jobs_.empty()) {
    const double speed = speed_per_job(now);
    const double remaining = std::max(running_jobs_.begin()->first - service_per_job_, 0.0);
    next_event_time_ =
        now + Duration(static_cast<Duration::rep>(std::ceil(remaining / speed * 1e9)));
    if (warmth(now) < 1) {
      next_event_time_ = std::min(next_event_time_, now + kColdUpdateInterval);
    }
  }
  if (crowded_since_ != kNever) {
    next_event_time_ = std::min(next_event_time_, crowded_since_ + traits_.crowding_delay);
  }
  if (is_slowed_) {
    next_event_time_ = std::min(next_event_time_, slowed_since_ + traits_.max_slow_time);
    if (recovering_since_ != kNever) {
      next_event_time_ = std::min(next_event_time_, recovering_since_ + traits_.recovery_time);
    }
  }
  next_event_time_ = std::max(next_event_time_, now + Duration(1));
}

Time HostModel::next_event() const {
  return next_event_time_;
}

// The speed is constant within one step: everything that changes it (arrivals, cancellations, new
// conditions) advances the model first. The warm-up of a cold host is approximated in steps of
// kColdUpdateInterval.
void HostModel::advance(Time now, std::vector<FinishedJob>& ended) {
  while (time_ < now) {
    const Time to = std::min(now, next_event_time_);
    const double elapsed = to_seconds(to - time_);
    const double speed = speed_per_job(time_);
    const auto in_work = static_cast<double>(running_jobs_.size());
    service_per_job_ += elapsed * speed;
    work_done_ += elapsed * speed * in_work;
    busy_ += elapsed * std::min(in_work / traits_.cores, 1.0);
    time_ = to;
    while (!running_jobs_.empty() &&
           running_jobs_.begin()->first - service_per_job_ <= kWorkTolerance) {
      const JobId id = running_jobs_.begin()->second;
      running_jobs_.erase(running_jobs_.begin());
      const auto it = jobs_.find(id);
      latency_sum_ += to_seconds(time_ - it->second.work_started_at);
      ++latency_count_;
      ended.push_back({id, FinishedJob::Outcome::done, it->second.cost});
      jobs_.erase(it);
    }
    if (running_jobs_.empty()) {
      service_per_job_ = 0;
    }
    if (traits_.report_period > Duration{} && time_ >= next_sample_at_) {
      const double period = to_seconds(time_ - next_sample_at_ + traits_.report_period);
      if (latency_count_ > 0) {
        last_latency_ms_ = 1e3 * latency_sum_ / static_cast<double>(latency_count_);
      }
      samples_.push_back({time_, {last_latency_ms_, std::min(busy_ / period, 1.0)}});
      if (samples_.size() > kMaxSamples) {
        samples_.pop_front();
      }
      busy_ = latency_sum_ = 0;
      latency_count_ = 0;
      next_sample_at_ = time_ + traits_.report_period;
    }
    start_waiting_jobs(time_, ended);
    update_crowding(time_);
    update_next_event(time_);
  }
}

void HostModel::start_waiting_jobs(Time now, std::vector<FinishedJob>& ended) {
  while (!waiting_jobs_.empty() && running_jobs_.size() < traits_.slots) {
    const JobId id = waiting_jobs_.front();
    waiting_jobs_.pop_front();
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || it->second.working) {
      continue;
    }
    --waiting_count_;
    if (it->second.job.deadline <= now) {
      jobs_.erase(it);
      ended.push_back({id, FinishedJob::Outcome::expired, 0});
      continue;
    }
    ActiveJob& h = it->second;
    h.working = true;
    h.work_started_at = now;
    h.cost = work_of_job(now, h.job);
    h.finish_at_service = service_per_job_ + h.cost;
    running_jobs_.emplace(h.finish_at_service, id);
  }
}

double HostModel::work_of_job(Time now, const Job& job) {
  double work = job.work + (job.handshake ? traits_.handshake_work : 0);
  if (!job.has_key || traits_.warm_keys == 0 || traits_.warm_key_saving <= 0) {
    return work;
  }
  const auto warm_key = warm_key_positions_.find(job.key);
  if (warm_key != warm_key_positions_.end()) {
    if (now - warm_key->second->second <= traits_.warm_key_ttl) {
      work -= job.work * traits_.warm_key_saving;
    }
    warm_keys_.erase(warm_key->second);
    warm_key_positions_.erase(warm_key);
  }
  warm_keys_.emplace_front(job.key, now);
  warm_key_positions_[job.key] = warm_keys_.begin();
  if (warm_keys_.size() > traits_.warm_keys) {
    warm_key_positions_.erase(warm_keys_.back().first);
    warm_keys_.pop_back();
  }
  return work;
}

void HostModel::update_crowding(Time now) {
  if (!traits_.crowding) {
    return;
  }
  const auto held = static_cast<double>(jobs_.size());
  if (!is_slowed_) {
    if (held <= traits_.crowding_threshold) {
      crowded_since_ = kNever;
    } else if (crowded_since_ == kNever) {
      crowded_since_ = now;
    }
    if (crowded_since_ == kNever || now - crowded_since_ < traits_.crowding_delay) {
      return;
    }
    is_slowed_ = true;
    slowed_since_ = now;
    crowded_since_ = recovering_since_ = kNever;
  }
  if (held >= traits_.recovery_threshold + 1) {
    recovering_since_ = kNever;
  } else if (recovering_since_ == kNever) {
    recovering_since_ = now;
  }
  const bool has_recovered =
      recovering_since_ != kNever && now - recovering_since_ >= traits_.recovery_time;
  if (has_recovered || now - slowed_since_ >= traits_.max_slow_time) {
    is_slowed_ = false, crowded_since_ = recovering_since_ = kNever;
  }
}

// Rejected jobs count too: the limit is on the work sent within the collapse window.
bool HostModel::record_sent_work(Time now, const Job& job, double work) {
  if (warmth(now) >= 1) {
    sent_work_.clear();
    sent_work_sum_ = 0;
    return true;
  }
  sent_work_.push_back({now, work, job.sender_knows_start});
  sent_work_sum_ += work;
  while (sent_work_.front().at <= now - traits_.collapse_window) {
    sent_work_sum_ -= sent_work_.front().work;
    sent_work_.pop_front();
  }
  const double work_limit =
      traits_.collapse_load_factor * capacity(now) * to_seconds(traits_.collapse_window) +
      traits_.collapse_slack;
  if (sent_work_sum_ <= work_limit) {
    return true;
  }
  double informed_work = 0;
  for (const SentWork& p : sent_work_) {
    informed_work += p.informed ? p.work : 0;
  }
  collapse_ = Collapse{sent_work_sum_, work_limit, informed_work / sent_work_sum_};
  return false;
}

Admission HostModel::submit(Time now, const Job& job, std::vector<FinishedJob>& ended) {
  advance(now, ended);
  if (!running_ || collapse_) {
    return Admission::rejected;
  }
  if (!record_sent_work(now, job, job.work + (job.handshake ? traits_.handshake_work : 0))) {
    return Admission::rejected;
  }
  if (running_jobs_.size() >= traits_.slots && waiting_count_ >= traits_.queue) {
    return Admission::rejected;
  }
  jobs_.emplace(job.id, ActiveJob{job, 0, 0, false, now});
  waiting_jobs_.push_back(job.id);
  ++waiting_count_;
  start_waiting_jobs(now, ended);
  update_crowding(now);
  update_next_event(now);
  return Admission::accepted;
}

void HostModel::cancel(Time now, JobId id, std::vector<FinishedJob>& ended) {
  advance(now, ended);
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    return;
  }
  if (it->second.working) {
    running_jobs_.erase({it->second.finish_at_service, id});
  } else {
    --waiting_count_;
  }
  jobs_.erase(it);
  start_waiting_jobs(now, ended);
  update_crowding(now);
  update_next_event(now);
}

void HostModel::set_condition(Time now, const Condition& condition,
                              std::vector<FinishedJob>& ended) {
  advance(now, ended);
  condition_ = condition;
  update_next_event(now);
}

void HostModel::stop(Time now) {
  time_ = std::max(time_, now);
  running_ = false;
  jobs_.clear();
  running_jobs_.clear();
  waiting_jobs_.clear();
  waiting_count_ = 0;
  connections_ = 0;
  next_event_time_ = kNever;
}

void HostModel::restart(Time now) {
  stop(now);
  running_ = true;
  started_ = now;
  started_cold_ = true;
  collapse_.reset();
  service_per_job_ = 0;
  is_slowed_ = false;
  crowded_since_ = recovering_since_ = kNever;
  sent_work_.clear();
  sent_work_sum_ = 0;
  warm_keys_.clear();
  warm_key_positions_.clear();
  samples_.clear();
  busy_ = latency_sum_ = 0;
  latency_count_ = 0;
  next_sample_at_ = now + traits_.report_period;
}

bool HostModel::open_connection() {
  if (connections_ >= traits_.connections) {
    return false;
  }
  ++connections_;
  return true;
}
void HostModel::close_connection() {
  if (connections_ > 0) {
    --connections_;
  }
}

std::optional<LoadReport> HostModel::load_report(Time now) const {
  // clang-tidy 14 cannot parse std::views::reverse of libstdc++ 12.
  // NOLINTNEXTLINE(modernize-loop-convert): see above
  for (auto newest = samples_.rbegin(); newest != samples_.rend(); ++newest) {
    const auto& sample = *newest;
    if (sample.at + traits_.report_delay > now) {
      continue;
    }
    Random noise(traits_.report_seed, "report", static_cast<std::uint64_t>(sample.at.count()));
    LoadReport report = sample.report;
    report.latency_ms *= std::max(1 + traits_.report_noise * noise.normal(), 0.0);
    report.util = std::clamp(report.util * (1 + traits_.report_noise * noise.normal()), 0.0, 1.0);
    return report;
  }
  return std::nullopt;
}

}  // namespace gateway::lab
