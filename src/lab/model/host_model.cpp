#include "lab/model/host_model.hpp"

#include <algorithm>
#include <cmath>

namespace gateway::lab {
namespace {

// the speed of a cold host is renewed this often
constexpr Duration kColdStep = std::chrono::milliseconds(100);
constexpr double kDone = 1e-9;       // seconds of work: less is nothing
constexpr std::size_t kSamples = 8;  // load reports kept until they are told

}  // namespace

HostTraits draw_traits(const Scenario& s, const KindSpec& kind, Random& random) {
  HostTraits t;
  const double cores = kind.cores;
  const auto whole = [&](const Range& per_core) {
    return static_cast<std::size_t>(std::lround(per_core.draw(random) * cores));
  };
  t.cores = kind.cores;
  t.speed = kind.speed.draw(random);
  t.slots = std::max<std::size_t>(whole(kind.slots_per_core), 1);
  t.queue = whole(kind.queue_per_core);
  t.thrash = kind.thrash.draw(random);
  t.thrash_at = kind.thrash_at.draw(random);
  t.cold_share = kind.cold_share.draw(random);
  t.cold_time = from_seconds(kind.cold_s.draw(random));
  t.error_rate = kind.error_rate.draw(random);
  t.crowding = s.hosts.crowding.on;
  t.crowding_threshold = s.hosts.crowding.holds_per_core.draw(random) * cores;
  t.crowding_delay = from_seconds(s.hosts.crowding.for_s.draw(random));
  t.crowding_slowdown = s.hosts.crowding.slower.draw(random);
  t.recovery_threshold = s.hosts.crowding.below_per_core.draw(random) * cores;
  t.recovery_time = from_seconds(s.hosts.crowding.rest_s.draw(random));
  t.max_slow_time = from_seconds(s.hosts.crowding.most_s.draw(random));
  t.warm_key_saving = s.hosts.warm.on ? s.hosts.warm.gain.draw(random) : 0;
  t.warm_key_ttl = from_seconds(s.hosts.warm.for_s.draw(random));
  t.warm_keys = whole(s.hosts.warm.keys_per_core);
  t.connections = std::max<std::size_t>(whole(s.hosts.connections.cap_per_core), 1);
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
      at_(now),
      started_cold_(cold),
      sample_at_(now + traits.report_period) {}

double HostModel::warmth(Time now) const {
  if (!started_cold_ || now - started_ >= traits_.cold_time) {
    return 1;
  }
  const double passed = to_seconds(now - started_) / to_seconds(traits_.cold_time);
  return traits_.cold_share + (1 - traits_.cold_share) * passed;
}

double HostModel::capacity(Time now) const {
  const double full = static_cast<double>(connections_) / static_cast<double>(traits_.connections);
  return traits_.cores * traits_.speed * warmth(now) * (1 - condition_.stolen_share) *
         (1 - traits_.full_tax * std::min(full, 1.0)) /
         (condition_.slowdown * (slow_ ? traits_.crowding_slowdown : 1));
}

double HostModel::speed_each(Time now) const {
  if (working_.empty()) {
    return 0;
  }
  const auto n = static_cast<double>(working_.size());
  const double per_core = n / traits_.cores;
  const double efficiency = 1 / (1 + traits_.thrash * std::max(per_core - traits_.thrash_at, 0.0));
  return capacity(now) * efficiency / std::max(n, static_cast<double>(traits_.cores));
}

void HostModel::renew_next(Time now) {
  next_ = kNever;
  if (!running_ || collapse_) {
    return;
  }
  if (!working_.empty()) {
    const double speed = speed_each(now);
    const double left = std::max(working_.begin()->first - given_, 0.0);
    next_ = now + Duration(static_cast<Duration::rep>(std::ceil(left / speed * 1e9)));
    if (warmth(now) < 1) {
      next_ = std::min(next_, now + kColdStep);
    }
  }
  if (crowded_since_ != kNever) {
    next_ = std::min(next_, crowded_since_ + traits_.crowding_delay);
  }
  if (slow_) {
    next_ = std::min(next_, slow_since_ + traits_.max_slow_time);
    if (resting_since_ != kNever) {
      next_ = std::min(next_, resting_since_ + traits_.recovery_time);
    }
  }
  next_ = std::max(next_, now + Duration(1));
}

Time HostModel::next_event() const {
  return next_;
}

// Between two calls of this nothing that sets the speed changes, but for the warming of a cold
// host, which is renewed in steps.
void HostModel::advance(Time now, std::vector<FinishedJob>& ended) {
  while (at_ < now) {
    const Time to = std::min(now, next_);
    const double passed = to_seconds(to - at_);
    const double speed = speed_each(at_);
    const auto in_work = static_cast<double>(working_.size());
    given_ += passed * speed;
    work_done_ += passed * speed * in_work;
    busy_ += passed * std::min(in_work / traits_.cores, 1.0);
    at_ = to;
    while (!working_.empty() && working_.begin()->first - given_ <= kDone) {
      const JobId id = working_.begin()->second;
      working_.erase(working_.begin());
      const auto it = jobs_.find(id);
      latency_sum_ += to_seconds(at_ - it->second.began);
      ++latency_count_;
      ended.push_back({id, FinishedJob::Outcome::done, it->second.cost});
      jobs_.erase(it);
    }
    if (working_.empty()) {
      given_ = 0;
    }
    if (traits_.report_period > Duration{} && at_ >= sample_at_) {
      const double span = to_seconds(at_ - sample_at_ + traits_.report_period);
      if (latency_count_ > 0) {
        latency_last_ = 1e3 * latency_sum_ / static_cast<double>(latency_count_);
      }
      samples_.push_back({at_, {latency_last_, std::min(busy_ / span, 1.0)}});
      if (samples_.size() > kSamples) {
        samples_.pop_front();
      }
      busy_ = latency_sum_ = 0;
      latency_count_ = 0;
      sample_at_ = at_ + traits_.report_period;
    }
    fill(at_, ended);
    note_crowd(at_);
    renew_next(at_);
  }
}

void HostModel::fill(Time now, std::vector<FinishedJob>& ended) {
  while (!waiting_.empty() && working_.size() < traits_.slots) {
    const JobId id = waiting_.front();
    waiting_.pop_front();
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
    Held& h = it->second;
    h.working = true;
    h.began = now;
    h.cost = cost_of(now, h.job);
    h.mark = given_ + h.cost;
    working_.emplace(h.mark, id);
  }
}

double HostModel::cost_of(Time now, const Job& job) {
  double work = job.work + (job.handshake ? traits_.handshake_work : 0);
  if (!job.has_key || traits_.warm_keys == 0 || traits_.warm_key_saving <= 0) {
    return work;
  }
  const auto met = warm_at_.find(job.key);
  if (met != warm_at_.end()) {
    if (now - met->second->second <= traits_.warm_key_ttl) {
      work -= job.work * traits_.warm_key_saving;
    }
    warm_.erase(met->second);
    warm_at_.erase(met);
  }
  warm_.emplace_front(job.key, now);
  warm_at_[job.key] = warm_.begin();
  if (warm_.size() > traits_.warm_keys) {
    warm_at_.erase(warm_.back().first);
    warm_.pop_back();
  }
  return work;
}

void HostModel::note_crowd(Time now) {
  if (!traits_.crowding) {
    return;
  }
  const auto held = static_cast<double>(jobs_.size());
  if (!slow_) {
    if (held <= traits_.crowding_threshold) {
      crowded_since_ = kNever;
    } else if (crowded_since_ == kNever) {
      crowded_since_ = now;
    }
    if (crowded_since_ == kNever || now - crowded_since_ < traits_.crowding_delay) {
      return;
    }
    slow_ = true;
    slow_since_ = now;
    crowded_since_ = resting_since_ = kNever;
  }
  if (held >= traits_.recovery_threshold + 1) {
    resting_since_ = kNever;
  } else if (resting_since_ == kNever) {
    resting_since_ = now;
  }
  const bool rested = resting_since_ != kNever && now - resting_since_ >= traits_.recovery_time;
  if (rested || now - slow_since_ >= traits_.max_slow_time) {
    slow_ = false, crowded_since_ = resting_since_ = kNever;
  }
}

// Work sent to a cold host, refused or not, within one window; false: that felled it.
bool HostModel::push(Time now, const Job& job, double work) {
  if (warmth(now) >= 1) {
    pushes_.clear();
    pushed_ = 0;
    return true;
  }
  pushes_.push_back({now, work, job.sender_knows_start});
  pushed_ += work;
  while (pushes_.front().at <= now - traits_.collapse_window) {
    pushed_ -= pushes_.front().work;
    pushes_.pop_front();
  }
  const double borne =
      traits_.collapse_load_factor * capacity(now) * to_seconds(traits_.collapse_window) +
      traits_.collapse_slack;
  if (pushed_ <= borne) {
    return true;
  }
  double known = 0;
  for (const Push& p : pushes_) {
    known += p.known ? p.work : 0;
  }
  collapse_ = Collapse{pushed_, borne, known / pushed_};
  return false;
}

Admission HostModel::submit(Time now, const Job& job, std::vector<FinishedJob>& ended) {
  advance(now, ended);
  if (!running_ || collapse_) {
    return Admission::rejected;
  }
  if (!push(now, job, job.work + (job.handshake ? traits_.handshake_work : 0))) {
    return Admission::rejected;
  }
  if (working_.size() >= traits_.slots && waiting_count_ >= traits_.queue) {
    return Admission::rejected;
  }
  jobs_.emplace(job.id, Held{job, 0, 0, false, now});
  waiting_.push_back(job.id);
  ++waiting_count_;
  fill(now, ended);
  note_crowd(now);
  renew_next(now);
  return Admission::accepted;
}

void HostModel::cancel(Time now, JobId id, std::vector<FinishedJob>& ended) {
  advance(now, ended);
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    return;
  }
  if (it->second.working) {
    working_.erase({it->second.mark, id});
  } else {
    --waiting_count_;
  }
  jobs_.erase(it);
  fill(now, ended);
  note_crowd(now);
  renew_next(now);
}

void HostModel::set_condition(Time now, const Condition& condition,
                              std::vector<FinishedJob>& ended) {
  advance(now, ended);
  condition_ = condition;
  renew_next(now);
}

void HostModel::stop(Time now) {
  at_ = std::max(at_, now);
  running_ = false;
  jobs_.clear();
  working_.clear();
  waiting_.clear();
  waiting_count_ = 0;
  connections_ = 0;
  next_ = kNever;
}

void HostModel::restart(Time now) {
  stop(now);
  running_ = true;
  started_ = now;
  started_cold_ = true;
  collapse_.reset();
  given_ = 0;
  slow_ = false;
  crowded_since_ = resting_since_ = kNever;
  pushes_.clear();
  pushed_ = 0;
  warm_.clear();
  warm_at_.clear();
  samples_.clear();
  busy_ = latency_sum_ = 0;
  latency_count_ = 0;
  sample_at_ = now + traits_.report_period;
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
    LoadReport told = sample.report;
    told.latency_ms *= std::max(1 + traits_.report_noise * noise.normal(), 0.0);
    told.util = std::clamp(told.util * (1 + traits_.report_noise * noise.normal()), 0.0, 1.0);
    return told;
  }
  return std::nullopt;
}

}  // namespace gateway::lab
