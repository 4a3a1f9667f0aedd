// The part of Membership that runs on timers, one function for each step.
#include <algorithm>
#include <utility>

#include "membership/membership.hpp"
#include "membership/random.hpp"

namespace gateway::membership {
namespace {

constexpr Duration kJoinRetryInterval = std::chrono::milliseconds(500);
constexpr Duration kCleanupInterval = std::chrono::seconds(1);

}  // namespace

// The steps draw random numbers, so with another order the same seed gives another run.
void Membership::on_timer(Time now) {
  if (!is_active()) {
    return;
  }
  detect_process_pause(now);
  send_due_ping_requests(now);
  update_indirect_probes(now);
  update_probe(now);
  send_final_pings(now);
  declare_deaths(now);
  retry_join(now);
  start_sync(now);
  ping_dead_member(now);
  forget_dead_members(now);
  schedule_next_timer();
}

// --- Probes

// Sends ping requests to other members: the target may be unreachable from this member only.
void Membership::send_due_ping_requests(Time now) {
  if (!probe_ || probe_->phase != ProbePhase::direct || now < probe_->timeout_at) {
    return;
  }
  probe_->phase = ProbePhase::indirect;
  const Member* target = table_.find(probe_->target);
  if (!target) {
    return;
  }
  for (const Member* member : sample_alive(settings_.indirect_probe_count, probe_->target)) {
    Message request;
    request.kind = Message::Kind::ping_request;
    request.sequence = probe_->sequence;
    request.target = probe_->target;
    request.target_address = target->address;
    ++probe_->missing_nacks;
    send(member->address, std::move(request));
  }
}

void Membership::update_indirect_probes(Time now) {
  for (IndirectProbe& probe : indirect_probes_) {
    if (probe.nack_sent || now < probe.nack_at) {
      continue;
    }
    probe.nack_sent = true;
    Message nack;
    nack.kind = Message::Kind::nack;
    nack.sequence = probe.requester_sequence;
    send(probe.requester, std::move(nack));
  }
  std::erase_if(indirect_probes_,
                [now](const IndirectProbe& probe) { return now >= probe.ends_at; });
}

void Membership::update_probe(Time now) {
  if (probe_ && now >= probe_->ends_at) {
    finish_probe(now);
  }
  if (!probe_ && now >= next_probe_) {
    start_probe(now);
  }
}

void Membership::start_probe(Time now) {
  next_probe_ = now + scale_by_local_health(settings_.probe_interval);
  if (probe_round_.empty()) {
    fill_probe_round();
  }
  while (!probe_round_.empty()) {
    const std::string name = std::move(probe_round_.back());
    probe_round_.pop_back();
    const Member* member = table_.find(name);
    if (!member || !is_alive_or_suspect(member->state)) {
      continue;
    }
    ++counters_.probes;
    Probe probe;
    probe.target = name;
    probe.sequence = send_ping(*member);
    probe.timeout_at = now + scale_by_local_health(settings_.probe_timeout);
    probe.ends_at = next_probe_;
    probe_ = std::move(probe);
    return;
  }
}

// Fills the round with all alive and suspect members in random order. Round by round, each member
// is probed within a bounded time.
void Membership::fill_probe_round() {
  for (const auto& [name, member] : table_.members()) {
    if (is_alive_or_suspect(member.state)) {
      probe_round_.push_back(name);
    }
  }
  for (std::size_t i = probe_round_.size(); i > 1; --i) {
    std::swap(probe_round_[i - 1], probe_round_[random_below(random_, i)]);
  }
}

void Membership::finish_probe(Time now) {
  const Probe probe = std::move(*probe_);
  probe_.reset();
  if (probe.phase == ProbePhase::acknowledged) {
    return;
  }
  ++counters_.failed_probes;
  // A nack shows that this member can reach others and that they did not reach the target. If nacks
  // are missing, the fault may be at this member, so its local health score rises.
  const bool all_nacked = probe.phase == ProbePhase::indirect && probe.missing_nacks == 0;
  adjust_local_health_score(all_nacked ? 0 : static_cast<int>(std::max(probe.missing_nacks, 1U)));
  suspect(now, probe.target);
}

// --- Suspicions

void Membership::send_final_pings(Time now) {
  for (auto& [name, suspicion] : suspicions_) {
    if (now >= suspicion.next_final_ping(settings_, table_.known_count())) {
      ++suspicion.final_pings;
      send_ping(table_.at(name));
    }
  }
}

void Membership::declare_deaths(Time now) {
  std::vector<MemberUpdate> deaths;
  for (const auto& [name, suspicion] : suspicions_) {
    if (now >= suspicion.deadline(settings_, table_.known_count())) {
      deaths.push_back(update_about(table_.at(name)));
      deaths.back().state = MemberState::dead;
      deaths.back().reported_by = settings_.name;
    }
  }
  for (const MemberUpdate& death : deaths) {
    apply(now, death);
  }
}

// --- Anti-entropy and cleanup

// Also requests the member table while no other member is alive, because all known members may have
// changed their addresses.
void Membership::retry_join(Time now) {
  if (now < next_join_) {
    return;
  }
  next_join_ = now + kJoinRetryInterval;
  if (seeds_.empty() || (!join_pending_ && table_.alive_count() > 1)) {
    return;
  }
  Message request;
  request.kind = Message::Kind::member_table_request;
  send(seeds_[random_below(random_, seeds_.size())], std::move(request));
}

void Membership::start_sync(Time now) {
  if (now < next_sync_) {
    return;
  }
  const auto bound = static_cast<std::size_t>(settings_.sync_interval.count()) + 1;
  const Duration jitter(static_cast<Duration::rep>(random_below(random_, bound)));
  next_sync_ = now + settings_.sync_interval / 2 + jitter;
  for (const Member* member : sample_alive(1)) {
    Message request;
    request.kind = Message::Kind::sync;
    request.digest = table_.digest(settings_.name, own_version_);
    send(member->address, std::move(request));
  }
}

// After a network partition has healed, members of its two sides still consider each other dead. A
// ping carries that state to the target, which refutes it.
void Membership::ping_dead_member(Time now) {
  if (now < next_reconnect_) {
    return;
  }
  next_reconnect_ = now + settings_.reconnect_interval;
  std::vector<const Member*> dead;
  for (const auto& [name, member] : table_.members()) {
    if (member.state == MemberState::dead) {
      dead.push_back(&member);
    }
  }
  if (!dead.empty()) {
    send_ping(*dead[random_below(random_, dead.size())]);
  }
}

void Membership::forget_dead_members(Time now) {
  if (now < next_cleanup_) {
    return;
  }
  next_cleanup_ = now + kCleanupInterval;
  for (MemberChange& change : table_.remove_expired(now, settings_.dead_member_retention)) {
    broadcasts_.remove(change.name);
    changes_.push_back(std::move(change));
  }
}

void Membership::schedule_next_timer() {
  if (!is_active()) {
    next_timer_ = Time::max();
    return;
  }
  next_timer_ = std::min({next_probe_, next_join_, next_sync_, next_reconnect_, next_cleanup_});
  if (probe_) {
    const bool direct = probe_->phase == ProbePhase::direct;
    next_timer_ = std::min(next_timer_, direct ? probe_->timeout_at : probe_->ends_at);
  }
  for (const IndirectProbe& probe : indirect_probes_) {
    next_timer_ = std::min(next_timer_, probe.nack_sent ? probe.ends_at : probe.nack_at);
  }
  for (const auto& [name, suspicion] : suspicions_) {
    const std::size_t known = table_.known_count();
    next_timer_ = std::min({next_timer_, suspicion.deadline(settings_, known),
                            suspicion.next_final_ping(settings_, known)});
  }
}

}  // namespace gateway::membership
