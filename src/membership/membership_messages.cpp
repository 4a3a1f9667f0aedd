// The part of Membership that sends messages and handles received ones.
#include <algorithm>
#include <cmath>
#include <utility>

#include "membership/membership.hpp"

namespace gateway::membership {
namespace {

// An indirect probe sends a nack after this fraction of the probe timeout without an ack, so that
// the nack arrives before the requester's probe ends.
constexpr double kNackTimeoutFraction = 0.8;
// Estimated bytes of updates in one member_table message.
constexpr std::size_t kMaxTableUpdateBytes = 1000;
// Members that a leaving member notifies directly; the others are notified by gossip.
constexpr std::size_t kLeaveNotifications = 8;

}  // namespace

// --- Sending

// Piggybacks pending updates. If the recipient is considered suspect, dead or left, the first
// update says so, so that the recipient can refute it.
void Membership::send(Address to, Message message, const std::string& recipient) {
  message.from = settings_.name;
  message.version = own_version_;
  std::size_t used_bytes = 0;
  const std::string* excluded_member = nullptr;
  if (const Member* member = table_.find(recipient);
      member && member->state != MemberState::alive) {
    message.updates.push_back(update_about(*member));
    message.updates.back().reported_by = settings_.name;
    used_bytes += estimated_encoded_size(message.updates.back());
  }
  if (!message.updates.empty()) {
    excluded_member = &recipient;
  }
  const double members = static_cast<double>(table_.alive_count()) + 1;
  const auto max_transmissions =
      static_cast<unsigned>(std::ceil(settings_.retransmit_multiplier * std::log10(members)));
  broadcasts_.take(message.updates, used_bytes, settings_.max_update_bytes, max_transmissions,
                   excluded_member);
  outgoing_.push_back({to, std::move(message), recipient});
}

// Sends all known members, in as many messages as necessary. Dead and left members are included
// only during the first half of their retention. Otherwise a process that has just removed such a
// member would receive it again from a process that has not, and the fleet would never forget it.
void Membership::send_member_table(Address to) {
  Message part;
  part.kind = Message::Kind::member_table;
  part.from = settings_.name;
  part.version = own_version_;
  std::size_t used_bytes = 0;
  for (const auto& [name, member] : table_.members()) {
    const Duration time_in_state = last_activity_ - member.state_changed_at;
    if (!is_alive_or_suspect(member.state) && time_in_state > settings_.dead_member_retention / 2) {
      continue;
    }
    const MemberUpdate update = update_about(member);
    if (used_bytes + estimated_encoded_size(update) > kMaxTableUpdateBytes) {
      outgoing_.push_back({to, part, {}});
      part.updates.clear();
      used_bytes = 0;
    }
    used_bytes += estimated_encoded_size(update);
    part.updates.push_back(update);
  }
  outgoing_.push_back({to, std::move(part), {}});
}

std::uint32_t Membership::send_ping(const Member& member) {
  Message ping;
  ping.sequence = ++last_sequence_;
  ping.target = member.name;
  send(member.address, std::move(ping), member.name);
  return last_sequence_;
}

void Membership::leave() {
  if (!is_active()) {
    return;
  }
  for (const Member* member : sample_alive(kLeaveNotifications)) {
    Message notification;
    notification.kind = Message::Kind::member_table;
    notification.from = settings_.name;
    notification.version = own_version_;
    notification.updates.push_back(
        {settings_.name, settings_.address, MemberState::left, own_version_, settings_.name});
    outgoing_.push_back({member->address, std::move(notification), {}});
  }
  participation_ = Participation::left;
  next_timer_ = Time::max();
}

void Membership::broadcast_payload(std::size_t count) {
  for (const Member* member : sample_alive(count)) {
    send_payload_to(member->name);
  }
}

void Membership::send_payload_to(const std::string& name) {
  const Member* member = table_.find(name);
  if (!is_active() || !member || !is_alive_or_suspect(member->state)) {
    return;
  }
  Message message;
  message.kind = Message::Kind::payload_only;
  send(member->address, std::move(message), name);
}

// --- Receiving

void Membership::on_message(Time now, Address from, const Message& message) {
  if (!is_active()) {
    return;
  }
  detect_process_pause(now);
  apply(now, {message.from, from, MemberState::alive, message.version, {}});
  for (const MemberUpdate& update : message.updates) {
    apply(now, update);
  }
  if (is_superseded() || message.from == settings_.name) {
    return;
  }
  dispatch(now, from, message);
  schedule_next_timer();
}

void Membership::dispatch(Time now, Address from, const Message& message) {
  switch (message.kind) {
    case Message::Kind::ping:
      on_ping(from, message);
      break;
    case Message::Kind::ack:
      on_ack(message);
      break;
    case Message::Kind::ping_request:
      on_ping_request(now, from, message);
      break;
    case Message::Kind::nack:
      on_nack(message);
      break;
    case Message::Kind::member_table_request:
      send_member_table(from);
      break;
    case Message::Kind::sync:
      on_sync(from, message);
      break;
    case Message::Kind::member_table:
      join_pending_ = false;
      break;
    case Message::Kind::payload_only:
      break;
  }
}

// A ping for another name was sent to an address that now belongs to this member. It gets no ack,
// because an ack would show the other member as alive.
void Membership::on_ping(Address from, const Message& message) {
  if (message.target != settings_.name) {
    return;
  }
  Message ack;
  ack.kind = Message::Kind::ack;
  ack.sequence = message.sequence;
  send(from, std::move(ack), message.from);
}

// Pings the target for the requester; on_ack() forwards the ack.
void Membership::on_ping_request(Time now, Address from, const Message& message) {
  const auto timeout = static_cast<double>(settings_.probe_timeout.count());
  const Duration nack_after(static_cast<Duration::rep>(kNackTimeoutFraction * timeout));
  IndirectProbe probe;
  probe.requester = from;
  probe.requester_sequence = message.sequence;
  probe.sequence = ++last_sequence_;
  probe.nack_at = now + nack_after;
  probe.ends_at = now + settings_.probe_interval;
  indirect_probes_.push_back(probe);
  Message ping;
  ping.sequence = probe.sequence;
  ping.target = message.target;
  send(message.target_address, std::move(ping), message.target);
}

// The ack belongs to the probe of this member or to an indirect probe, or it arrived too late.
void Membership::on_ack(const Message& message) {
  if (probe_ && probe_->sequence == message.sequence && probe_->phase != ProbePhase::acknowledged) {
    probe_->phase = ProbePhase::acknowledged;
    adjust_local_health_score(-1);
  }
  const auto indirect = std::find_if(
      indirect_probes_.begin(), indirect_probes_.end(),
      [&message](const IndirectProbe& probe) { return probe.sequence == message.sequence; });
  if (indirect == indirect_probes_.end()) {
    return;
  }
  Message ack;
  ack.kind = Message::Kind::ack;
  ack.sequence = indirect->requester_sequence;
  send(indirect->requester, std::move(ack));
  indirect_probes_.erase(indirect);
}

void Membership::on_nack(const Message& message) {
  if (probe_ && probe_->sequence == message.sequence && probe_->missing_nacks > 0) {
    --probe_->missing_nacks;
  }
}

// Exchanges member tables if they differ: sends its own and requests the sender's.
void Membership::on_sync(Address from, const Message& message) {
  if (message.digest == table_.digest(settings_.name, own_version_)) {
    return;
  }
  send_member_table(from);
  Message request;
  request.kind = Message::Kind::member_table_request;
  request.sequence = message.sequence;
  send(from, std::move(request), message.from);
}

}  // namespace gateway::membership
