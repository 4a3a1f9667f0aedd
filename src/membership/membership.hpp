// Detects which members of the fleet are alive: SWIM (Das, Gupta, Motivala, 2002) with the dynamic
// suspicion timeout, local health score and buddy system of Lifeguard (Dadgar, Phillips, Currey,
// 2017).
//
// A state machine without I/O, clock or global state: the caller passes in received messages and
// the time, and takes outgoing messages and changes out of it. The same calls with the same seed
// produce the same messages. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "membership/broadcast_queue.hpp"
#include "membership/member_table.hpp"
#include "membership/message.hpp"
#include "membership/settings.hpp"
#include "membership/suspicion.hpp"

namespace gateway::membership {

class Membership {
 public:
  struct OutgoingMessage {
    Address to;
    Message message;
    // The member at that address if the message may carry a payload for it; empty otherwise.
    std::string payload_recipient;
  };
  struct Counters {  // since the start of the process
    std::uint64_t probes = 0;
    std::uint64_t failed_probes = 0;
    std::uint64_t suspicions = 0;   // raised by this member
    std::uint64_t refutations = 0;  // of updates about this member
  };

  // `boot_id`: start of the process in Unix milliseconds. Sends nothing before join() provides
  // seeds or on_message() makes other members known.
  Membership(Settings settings, std::uint64_t boot_id, std::uint64_t seed, Time now);

  // Requests the member table from a random seed, repeatedly until a table arrives, and again
  // whenever no other member is known to be alive.
  void join(Time now, std::vector<Address> seeds);
  // Handles a decoded message that arrived from the address `from`.
  void on_message(Time now, Address from, const Message& message);
  // Performs all timed steps that are due; to be called at next_timer() or as soon as possible
  // after.
  void on_timer(Time now);
  Time next_timer() const { return next_timer_; }  // Time::max(): no timer
  // Announces the departure of this member to a few others; from then on messages are neither sent
  // nor handled.
  void leave();

  // Sends a message whose only purpose is to carry a payload: to the named member if it is alive or
  // suspect, or to `count` random alive members.
  void send_payload_to(const std::string& name);
  void broadcast_payload(std::size_t count);

  // Results of the calls so far. The caller takes and clears them after each call.
  std::vector<OutgoingMessage>& outgoing() { return outgoing_; }
  std::vector<MemberChange>& changes() { return changes_; }

  const Settings& settings() const { return settings_; }
  MemberVersion version() const { return own_version_; }
  const MemberTable::Members& peers() const { return table_.members(); }
  // Both counts include this member.
  std::size_t alive_count() const { return table_.alive_count(); }  // alive or suspect
  std::size_t known_count() const { return table_.known_count(); }  // alive, suspect or dead
  // Whether the member is alive or suspect. This member itself is alive until it leaves or is
  // superseded.
  bool is_alive(std::string_view name) const;
  // Lifeguard's local health score: 0 is healthy; the higher it is, the more likely this member
  // itself is slow or badly connected. Probe timers are multiplied by the score plus one.
  unsigned local_health_score() const { return local_health_score_; }
  // True if a newer process runs under this member's name at another address. This process then
  // neither sends nor handles messages.
  bool is_superseded() const { return participation_ == Participation::superseded; }
  const Counters& counters() const { return counters_; }

 private:
  enum class Participation : std::uint8_t { active, left, superseded };
  enum class ProbePhase : std::uint8_t { direct, indirect, acknowledged };

  // A probe that this member started; there is at most one at a time.
  struct Probe {
    std::string target;
    std::uint32_t sequence = 0;
    ProbePhase phase = ProbePhase::direct;
    unsigned missing_nacks = 0;  // from the members that received a ping request
    Time timeout_at{};           // without an ack by then, ping requests are sent
    Time ends_at{};              // without an ack by then, the target is suspected
  };
  // A probe on behalf of another member, which sent a ping request.
  struct IndirectProbe {
    Address requester;
    std::uint32_t requester_sequence = 0;  // of the ping request
    std::uint32_t sequence = 0;            // of the ping to the target
    Time nack_at{};                        // without an ack by then, a nack is sent
    Time ends_at{};                        // an ack after that is not forwarded
    bool nack_sent = false;
  };

  // membership.cpp: member updates, local health, sampling and pause detection.
  bool is_active() const { return participation_ == Participation::active; }
  void apply(Time now, const MemberUpdate& update);
  void apply_to_peer(Time now, const Member& member, const MemberUpdate& update);
  void apply_to_self(const MemberUpdate& update);
  void confirm_suspicion(const MemberUpdate& update);
  void store(Time now, const MemberUpdate& update);
  void suspect(Time now, const std::string& name);
  void refute(std::uint32_t incarnation);
  MemberUpdate own_update() const;
  MemberUpdate update_about(const Member& member) const;
  void adjust_local_health_score(int delta);
  Duration scale_by_local_health(Duration duration) const {
    return duration * (local_health_score_ + 1);
  }
  std::vector<const Member*> sample_alive(std::size_t count, std::string_view excluded = {});
  void detect_process_pause(Time now);

  // membership_messages.cpp: sending, and a handler for each kind of message that needs one.
  void send(Address to, Message message, const std::string& recipient = {});
  void send_member_table(Address to);
  std::uint32_t send_ping(const Member& member);  // returns the ping's sequence
  void dispatch(Time now, Address from, const Message& message);
  void on_ping(Address from, const Message& message);
  void on_ping_request(Time now, Address from, const Message& message);
  void on_ack(const Message& message);
  void on_nack(const Message& message);
  void on_sync(Address from, const Message& message);

  // membership_timers.cpp: the timed steps.
  void send_due_ping_requests(Time now);
  void update_indirect_probes(Time now);
  void update_probe(Time now);
  void start_probe(Time now);
  void finish_probe(Time now);
  void fill_probe_round();
  void send_final_pings(Time now);
  void declare_deaths(Time now);
  void retry_join(Time now);
  void start_sync(Time now);
  void ping_dead_member(Time now);
  void forget_dead_members(Time now);
  void schedule_next_timer();

  Settings settings_;
  MemberVersion own_version_;
  Participation participation_ = Participation::active;
  std::mt19937_64 random_;
  std::vector<Address> seeds_;
  bool join_pending_ = false;  // there are seeds, and no member has sent its table yet
  MemberTable table_;
  std::map<std::string, Suspicion> suspicions_;  // by suspect
  BroadcastQueue broadcasts_;
  std::vector<std::string> probe_round_;  // names still to probe in this round; the last is next
  std::optional<Probe> probe_;            // in progress
  std::vector<IndirectProbe> indirect_probes_;
  std::uint32_t last_sequence_ = 0;
  unsigned local_health_score_ = 0;
  Time next_probe_{};
  Time next_join_{};
  Time next_sync_{};
  Time next_reconnect_{};
  Time next_cleanup_{};
  Time next_timer_{};
  Time last_activity_{};  // the latest time passed to on_timer() or on_message()
  Counters counters_;
  std::vector<OutgoingMessage> outgoing_;
  std::vector<MemberChange> changes_;
};

}  // namespace gateway::membership
