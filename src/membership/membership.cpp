#include "membership/membership.hpp"

#include <algorithm>
#include <utility>

#include "membership/random.hpp"

namespace gateway::membership {
namespace {

// A longer gap between two calls means that the process was paused. The cleanup timer fires every
// second, and with the default settings the slowest probe timer every 1.8 s (200 ms * 9).
constexpr Duration kProcessPauseThreshold = std::chrono::milliseconds(2500);

}  // namespace

Membership::Membership(Settings settings, std::uint64_t boot_id, std::uint64_t seed, Time now)
    : settings_(std::move(settings)), own_version_{boot_id, 0}, random_(seed) {
  // Random first times, so that members that start together do not probe and sync simultaneously.
  const auto random_time_within = [this, now](Duration interval) {
    const auto bound = static_cast<std::size_t>(interval.count()) + 1;
    return now + Duration(static_cast<Duration::rep>(random_below(random_, bound)));
  };
  constexpr Duration kFirstCleanupWithin = std::chrono::seconds(1);
  next_probe_ = random_time_within(settings_.probe_interval);
  next_sync_ = random_time_within(settings_.sync_interval);
  next_reconnect_ = random_time_within(settings_.reconnect_interval);
  next_cleanup_ = random_time_within(kFirstCleanupWithin);
  next_join_ = Time::max();
  schedule_next_timer();
}

void Membership::join(Time now, std::vector<Address> seeds) {
  seeds_ = std::move(seeds);
  join_pending_ = !seeds_.empty();
  next_join_ = now;
  schedule_next_timer();
}

bool Membership::is_alive(std::string_view name) const {
  if (name == settings_.name) {
    return is_active();
  }
  const Member* member = table_.find(name);
  return member && is_alive_or_suspect(member->state);
}

// --- Member updates

void Membership::apply(Time now, const MemberUpdate& update) {
  if (update.name == settings_.name) {
    apply_to_self(update);
    return;
  }
  if (const Member* member = table_.find(update.name)) {
    apply_to_peer(now, *member, update);
  } else if (update.state != MemberState::left) {
    store(now, update);
  }
}

// An update with a newer version overrides the known state. At the same version an update overrides
// an earlier state in the order alive, suspect, dead, left.
void Membership::apply_to_peer(Time now, const Member& member, const MemberUpdate& update) {
  const bool newer = update.version > member.version;
  const bool same_version = update.version == member.version;
  if (newer || (same_version && update.state > member.state)) {
    store(now, update);
  } else if (same_version && update.state == MemberState::suspect &&
             member.state == MemberState::suspect) {
    confirm_suspicion(update);
  }
}

// Records a further report of a suspicion. The first `expected_confirmations` of them are gossiped
// as well, because they shorten the suspicion timeout at every member that receives them.
void Membership::confirm_suspicion(const MemberUpdate& update) {
  Suspicion& suspicion = suspicions_[update.name];
  if (suspicion.reporters.size() <= settings_.expected_confirmations &&
      suspicion.reporters.insert(update.reported_by).second) {
    broadcasts_.add(update);
  }
}

void Membership::apply_to_self(const MemberUpdate& update) {
  if (update.version.boot_id < own_version_.boot_id) {
    // The update is about an earlier process of this name: announce the current process.
    if (update.state != MemberState::alive) {
      broadcasts_.add(own_update());
    }
    return;
  }
  if (update.version.boot_id > own_version_.boot_id) {
    // At another address this is a newer process with the same name. Otherwise the update is about
    // an earlier process whose clock was ahead: adopt a version above the update's.
    if (update.state == MemberState::alive && update.address != settings_.address) {
      participation_ = Participation::superseded;
      next_timer_ = Time::max();
      return;
    }
    const bool alive = update.state == MemberState::alive;
    own_version_ = {update.version.boot_id + (alive ? 1 : 0), 0};
    refute(update.version.incarnation);
    return;
  }
  if (update.state != MemberState::alive &&
      update.version.incarnation >= own_version_.incarnation) {
    refute(update.version.incarnation);
  }
}

// Announces that this member is alive with an incarnation above the given one. Raises the local
// health score, because the other members may have failed to reach this member by its own fault.
void Membership::refute(std::uint32_t incarnation) {
  own_version_.incarnation = std::max(own_version_.incarnation, incarnation) + 1;
  ++counters_.refutations;
  adjust_local_health_score(1);
  broadcasts_.add(own_update());
}

// Applies the update to the table, reports the change, starts or ends the suspicion of the member
// and gossips the update.
void Membership::store(Time now, const MemberUpdate& update) {
  const MemberChange change = table_.store(now, update);
  const bool joined = change.kind == MemberChangeKind::joined;
  if (joined || change.from != change.to) {
    changes_.push_back(change);
  }
  suspicions_.erase(update.name);
  if (update.state == MemberState::suspect) {
    suspicions_[update.name] = {now, {update.reported_by}};
  }
  // A member that joined or is alive again is added to the current probe round.
  if (is_alive_or_suspect(change.to) && (joined || !is_alive_or_suspect(change.from))) {
    const std::size_t position = random_below(random_, probe_round_.size() + 1);
    probe_round_.insert(probe_round_.begin() + static_cast<std::ptrdiff_t>(position), update.name);
  }
  broadcasts_.add(update);
}

// Raises a suspicion of the member after a failed probe, or confirms one.
void Membership::suspect(Time now, const std::string& name) {
  const Member* member = table_.find(name);
  if (!member || !is_alive_or_suspect(member->state)) {
    return;
  }
  ++counters_.suspicions;
  MemberUpdate update = update_about(*member);
  update.state = MemberState::suspect;
  update.reported_by = settings_.name;
  apply(now, update);
}

MemberUpdate Membership::own_update() const {
  return {settings_.name, settings_.address, MemberState::alive, own_version_, {}};
}

MemberUpdate Membership::update_about(const Member& member) const {
  return {member.name, member.address, member.state, member.version, {}};
}

// --- Local state

void Membership::adjust_local_health_score(int delta) {
  const int max = static_cast<int>(settings_.max_local_health_score);
  local_health_score_ =
      static_cast<unsigned>(std::clamp(static_cast<int>(local_health_score_) + delta, 0, max));
}

// Returns up to `count` different random members that are alive, not suspect.
std::vector<const Member*> Membership::sample_alive(std::size_t count, std::string_view excluded) {
  std::vector<const Member*> sample;
  for (const auto& [name, member] : table_.members()) {
    if (member.state == MemberState::alive && name != excluded) {
      sample.push_back(&member);
    }
  }
  count = std::min(count, sample.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(sample[i], sample[i + random_below(random_, sample.size() - i)]);
  }
  sample.resize(count);
  return sample;
}

// After a pause, the event loop may run the overdue timers before it reads the datagrams that
// arrived meanwhile. The process would then declare members dead although it could not receive
// their refutations. So the pause does not count towards suspicion timeouts, the probes in progress
// are dropped and the local health score rises.
void Membership::detect_process_pause(Time now) {
  const Duration gap = now - last_activity_;
  if (last_activity_ != Time{} && gap > kProcessPauseThreshold) {
    for (auto& [name, suspicion] : suspicions_) {
      suspicion.started_at += gap;
    }
    probe_.reset();
    indirect_probes_.clear();
    adjust_local_health_score(1);
  }
  last_activity_ = std::max(last_activity_, now);
}

}  // namespace gateway::membership
