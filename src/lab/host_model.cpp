#include "lab/host_model.hpp"

#include <algorithm>
#include <cmath>

namespace fennelridge::lab {
namespace {

constexpr Duration kColdStep =
    std::chrono::milliseconds(100);  // the speed of a cold host is renewed this often
constexpr double kDone = 1e-9;       // seconds of work: less is nothing
constexpr std::size_t kSamples = 8;  // load reports kept until they are told

}  // namespace

HostTraits drawTraits(const Scenario& s, const KindSpec& kind, Random& random) {
  HostTraits t;
  const double cores = kind.cores;
  const auto whole = [&](const Range& perCore) {
    return static_cast<std::size_t>(std::lround(perCore.draw(random) * cores));
  };
  t.cores = kind.cores;
  t.speed = kind.speed.draw(random);
  t.slots = std::max<std::size_t>(whole(kind.slotsPerCore), 1);
  t.queue = whole(kind.queuePerCore);
  t.thrash = kind.thrash.draw(random);
  t.thrashAt = kind.thrashAt.draw(random);
  t.coldShare = kind.coldShare.draw(random);
  t.coldTime = fromSeconds(kind.coldS.draw(random));
  t.errorRate = kind.errorRate.draw(random);
  t.crowds = s.hosts.crowding.on;
  t.crowdHolds = s.hosts.crowding.holdsPerCore.draw(random) * cores;
  t.crowdFor = fromSeconds(s.hosts.crowding.forS.draw(random));
  t.crowdSlower = s.hosts.crowding.slower.draw(random);
  t.crowdBelow = s.hosts.crowding.belowPerCore.draw(random) * cores;
  t.crowdRest = fromSeconds(s.hosts.crowding.restS.draw(random));
  t.crowdMost = fromSeconds(s.hosts.crowding.mostS.draw(random));
  t.warmGain = s.hosts.warm.on ? s.hosts.warm.gain.draw(random) : 0;
  t.warmFor = fromSeconds(s.hosts.warm.forS.draw(random));
  t.warmKeys = whole(s.hosts.warm.keysPerCore);
  t.connections = std::max<std::size_t>(whole(s.hosts.connections.capPerCore), 1);
  t.fullTax = s.hosts.connections.fullTax.draw(random);
  t.handshakeWork = s.hosts.connections.handshakeUs.draw(random) / 1e6;
  t.fallMultiple = s.rules.fallMultiple;
  t.fallWindow = fromMillis(s.rules.fallMs);
  t.fallSlack = s.rules.fallSlackMs / 1e3;
  t.reportPeriod = fromMillis(s.hosts.report.periodMs.draw(random));
  t.reportDelay = fromMillis(s.hosts.report.delayMs.draw(random));
  t.reportNoise = s.hosts.report.noise;
  t.reportSeed = static_cast<std::uint64_t>(random.unit() * 0x1p53);
  return t;
}

HostModel::HostModel(HostTraits traits, Time now, bool cold)
    : traits_(traits), started_(now), at_(now), startedCold_(cold), sampleAt_(now + traits.reportPeriod) {}

double HostModel::warmth(Time now) const {
  if (!startedCold_ || now - started_ >= traits_.coldTime) return 1;
  const double passed = toSeconds(now - started_) / toSeconds(traits_.coldTime);
  return traits_.coldShare + (1 - traits_.coldShare) * passed;
}

double HostModel::capacity(Time now) const {
  const double full = static_cast<double>(connections_) / static_cast<double>(traits_.connections);
  return traits_.cores * traits_.speed * warmth(now) * (1 - condition_.taken) *
         (1 - traits_.fullTax * std::min(full, 1.0)) /
         (condition_.slower * (slow_ ? traits_.crowdSlower : 1));
}

double HostModel::speedEach(Time now) const {
  if (working_.empty()) return 0;
  const auto n = static_cast<double>(working_.size());
  const double perCore = n / traits_.cores;
  const double efficiency = 1 / (1 + traits_.thrash * std::max(perCore - traits_.thrashAt, 0.0));
  return capacity(now) * efficiency / std::max(n, static_cast<double>(traits_.cores));
}

void HostModel::renewNext(Time now) {
  next_ = kNever;
  if (!running_ || fallen_) return;
  if (!working_.empty()) {
    const double speed = speedEach(now);
    const double left = std::max(working_.begin()->first - given_, 0.0);
    next_ = now + Duration(static_cast<Duration::rep>(std::ceil(left / speed * 1e9)));
    if (warmth(now) < 1) next_ = std::min(next_, now + kColdStep);
  }
  if (crowdedSince_ != kNever) next_ = std::min(next_, crowdedSince_ + traits_.crowdFor);
  if (slow_) {
    next_ = std::min(next_, slowSince_ + traits_.crowdMost);
    if (restingSince_ != kNever) next_ = std::min(next_, restingSince_ + traits_.crowdRest);
  }
  next_ = std::max(next_, now + Duration(1));
}

Time HostModel::nextEvent() const { return next_; }

// Between two calls of this nothing that sets the speed changes, but for the warming of a cold host, which is
// renewed in steps.
void HostModel::advance(Time now, std::vector<Ended>& ended) {
  while (at_ < now) {
    const Time to = std::min(now, next_);
    const double passed = toSeconds(to - at_), speed = speedEach(at_);
    const auto inWork = static_cast<double>(working_.size());
    given_ += passed * speed;
    workDone_ += passed * speed * inWork;
    busy_ += passed * std::min(inWork / traits_.cores, 1.0);
    at_ = to;
    while (!working_.empty() && working_.begin()->first - given_ <= kDone) {
      const JobId id = working_.begin()->second;
      working_.erase(working_.begin());
      const auto it = jobs_.find(id);
      latencySum_ += toSeconds(at_ - it->second.began);
      ++latencyCount_;
      ended.push_back({id, Ended::How::done, it->second.cost});
      jobs_.erase(it);
    }
    if (working_.empty()) given_ = 0;
    if (traits_.reportPeriod > Duration{} && at_ >= sampleAt_) {
      const double span = toSeconds(at_ - sampleAt_ + traits_.reportPeriod);
      if (latencyCount_ > 0) latencyLast_ = 1e3 * latencySum_ / static_cast<double>(latencyCount_);
      samples_.push_back({at_, {latencyLast_, std::min(busy_ / span, 1.0)}});
      if (samples_.size() > kSamples) samples_.pop_front();
      busy_ = latencySum_ = 0;
      latencyCount_ = 0;
      sampleAt_ = at_ + traits_.reportPeriod;
    }
    fill(at_, ended);
    noteCrowd(at_);
    renewNext(at_);
  }
}

void HostModel::fill(Time now, std::vector<Ended>& ended) {
  while (!waiting_.empty() && working_.size() < traits_.slots) {
    const JobId id = waiting_.front();
    waiting_.pop_front();
    const auto it = jobs_.find(id);
    if (it == jobs_.end() || it->second.working) continue;
    --waitingCount_;
    if (it->second.job.deadline <= now) {
      jobs_.erase(it);
      ended.push_back({id, Ended::How::expired, 0});
      continue;
    }
    Held& h = it->second;
    h.working = true;
    h.began = now;
    h.cost = costOf(now, h.job);
    h.mark = given_ + h.cost;
    working_.emplace(h.mark, id);
  }
}

double HostModel::costOf(Time now, const Job& job) {
  double work = job.work + (job.handshake ? traits_.handshakeWork : 0);
  if (!job.hasKey || traits_.warmKeys == 0 || traits_.warmGain <= 0) return work;
  const auto met = warmAt_.find(job.key);
  if (met != warmAt_.end()) {
    if (now - met->second->second <= traits_.warmFor) work -= job.work * traits_.warmGain;
    warm_.erase(met->second);
    warmAt_.erase(met);
  }
  warm_.emplace_front(job.key, now);
  warmAt_[job.key] = warm_.begin();
  if (warm_.size() > traits_.warmKeys) {
    warmAt_.erase(warm_.back().first);
    warm_.pop_back();
  }
  return work;
}

void HostModel::noteCrowd(Time now) {
  if (!traits_.crowds) return;
  const auto held = static_cast<double>(jobs_.size());
  if (!slow_) {
    if (held <= traits_.crowdHolds) crowdedSince_ = kNever;
    else if (crowdedSince_ == kNever) crowdedSince_ = now;
    if (crowdedSince_ == kNever || now - crowdedSince_ < traits_.crowdFor) return;
    slow_ = true;
    slowSince_ = now;
    crowdedSince_ = restingSince_ = kNever;
  }
  if (held >= traits_.crowdBelow + 1) restingSince_ = kNever;
  else if (restingSince_ == kNever) restingSince_ = now;
  const bool rested = restingSince_ != kNever && now - restingSince_ >= traits_.crowdRest;
  if (rested || now - slowSince_ >= traits_.crowdMost) slow_ = false, crowdedSince_ = restingSince_ = kNever;
}

// Work sent to a cold host, refused or not, within one window; false: that felled it.
bool HostModel::push(Time now, const Job& job, double work) {
  if (warmth(now) >= 1) {
    pushes_.clear();
    pushed_ = 0;
    return true;
  }
  pushes_.push_back({now, work, job.senderKnowsStart});
  pushed_ += work;
  while (pushes_.front().at <= now - traits_.fallWindow) {
    pushed_ -= pushes_.front().work;
    pushes_.pop_front();
  }
  const double borne =
      traits_.fallMultiple * capacity(now) * toSeconds(traits_.fallWindow) + traits_.fallSlack;
  if (pushed_ <= borne) return true;
  double known = 0;
  for (const Push& p : pushes_) known += p.known ? p.work : 0;
  fallen_ = Fall{pushed_, borne, known / pushed_};
  return false;
}

Admission HostModel::arrive(Time now, const Job& job, std::vector<Ended>& ended) {
  advance(now, ended);
  if (!running_ || fallen_) return Admission::full;
  if (!push(now, job, job.work + (job.handshake ? traits_.handshakeWork : 0))) return Admission::full;
  if (working_.size() >= traits_.slots && waitingCount_ >= traits_.queue) return Admission::full;
  jobs_.emplace(job.id, Held{job, 0, 0, false, now});
  waiting_.push_back(job.id);
  ++waitingCount_;
  fill(now, ended);
  noteCrowd(now);
  renewNext(now);
  return Admission::taken;
}

void HostModel::cancel(Time now, JobId id, std::vector<Ended>& ended) {
  advance(now, ended);
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  if (it->second.working) working_.erase({it->second.mark, id});
  else --waitingCount_;
  jobs_.erase(it);
  fill(now, ended);
  noteCrowd(now);
  renewNext(now);
}

void HostModel::setCondition(Time now, const Condition& condition, std::vector<Ended>& ended) {
  advance(now, ended);
  condition_ = condition;
  renewNext(now);
}

void HostModel::stop(Time now) {
  at_ = std::max(at_, now);
  running_ = false;
  jobs_.clear();
  working_.clear();
  waiting_.clear();
  waitingCount_ = 0;
  connections_ = 0;
  next_ = kNever;
}

void HostModel::restart(Time now) {
  stop(now);
  running_ = true;
  started_ = now;
  startedCold_ = true;
  fallen_.reset();
  given_ = 0;
  slow_ = false;
  crowdedSince_ = restingSince_ = kNever;
  pushes_.clear();
  pushed_ = 0;
  warm_.clear();
  warmAt_.clear();
  samples_.clear();
  busy_ = latencySum_ = 0;
  latencyCount_ = 0;
  sampleAt_ = now + traits_.reportPeriod;
}

bool HostModel::openConnection() {
  if (connections_ >= traits_.connections) return false;
  ++connections_;
  return true;
}
void HostModel::closeConnection() {
  if (connections_ > 0) --connections_;
}

std::optional<LoadReport> HostModel::report(Time now) const {
  for (auto it = samples_.rbegin(); it != samples_.rend(); ++it) {
    if (it->at + traits_.reportDelay > now) continue;
    Random noise(traits_.reportSeed, "report", static_cast<std::uint64_t>(it->at.count()));
    LoadReport told = it->report;
    told.latencyMs *= std::max(1 + traits_.reportNoise * noise.normal(), 0.0);
    told.util = std::clamp(told.util * (1 + traits_.reportNoise * noise.normal()), 0.0, 1.0);
    return told;
  }
  return std::nullopt;
}

}  // namespace fennelridge::lab
