// The replicated state machine of the store: a map of keys with revisions, leases with fencing
// tokens, and watches. Members apply the commands of a replicated log to it; the same commands in
// the same order produce the same state and the same results on every member.
//
// Pure: no I/O, no clock (only AdvanceClock commands advance the time), no globals. Not
// thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "replicated_store/command.hpp"

namespace gateway::replicated_store {

// A write or lease that would exceed a limit is rejected without effect. Beyond the limits of
// clients and history, the oldest are dropped.
struct StoreLimits {
  std::size_t keys = 10000;
  std::size_t key_bytes = 256;
  std::size_t value_bytes = 65536;
  std::size_t total_bytes = 16 << 20;  // of all keys and values
  std::size_t leases = 1000;
  std::size_t clients = 2000;   // clients whose last result is kept
  std::size_t history = 10000;  // changes that are kept for watches
};

// The value of a key.
struct Entry {
  std::string value;
  Revision created_at = 0;
  Revision changed_at = 0;
  LeaseId lease = 0;  // 0: none
  bool operator==(const Entry&) const = default;
};

// A change of a key, as a watch reports it.
struct Change {
  Revision revision = 0;
  std::string key;
  std::optional<std::string> value;  // no value: the key was erased
  bool operator==(const Change&) const = default;
};

class StateMachine {
 public:
  explicit StateMachine(StoreLimits limits = {}) : limits_(limits) {}

  // Executes a command, or returns the earlier result if the client has repeated its last command.
  CommandResult apply(const Command& command);

  // The entry of a key, valid until the next command; null if there is none.
  const Entry* get(std::string_view key) const;
  // All entries whose keys have this prefix, ordered by key.
  std::vector<std::pair<std::string, Entry>> list(std::string_view prefix) const;
  // The changes after revision `from` of keys with this prefix, in order. No value if some of them
  // are no longer in the history; the caller then has to read the map again.
  std::optional<std::vector<Change>> changes_since(Revision from, std::string_view prefix) const;
  Revision revision() const { return revision_; }
  Millis now() const { return now_; }
  std::size_t lease_count() const { return leases_.size(); }

  // The whole state without the history, as CBOR.
  std::string snapshot() const;
  // Replaces the state by a snapshot and clears the history. False, without effect, if the bytes
  // are not a snapshot.
  bool restore(std::string_view snapshot);

 private:
  struct Lease {
    Revision fencing_token = 0;
    Millis time_to_live = 0;
    Millis ends_at = 0;
    std::set<std::string> keys;
  };
  // The last command of a client, for deduplication.
  struct ClientRecord {
    std::uint64_t number = 0;
    CommandResult result;
    std::uint64_t last_use = 0;  // by use_counter_
  };
  using Leases = std::map<LeaseId, Lease>;

  CommandResult execute(const Put& put);
  CommandResult execute(const Erase& erase);
  CommandResult execute(const GrantLease& grant);
  CommandResult execute(const RenewLease& renew);
  CommandResult execute(const ReleaseLease& release);
  CommandResult execute(const AdvanceClock& advance);
  // The result of a write that is rejected; no value if the write may take effect.
  std::optional<CommandResult> check_write(const std::string& key, std::size_t value_bytes,
                                           const WriteCondition& condition) const;
  void assign_to_lease(const std::string& key, Entry& entry, LeaseId lease);
  void erase_entry(const std::string& key);
  void end_lease(Leases::iterator lease);
  void record_change(const std::string& key, std::optional<std::string> value);
  void forget_least_recently_used_client();
  CommandResult result(CommandResult::Status status) const { return {status, revision_, 0, 0}; }

  StoreLimits limits_;
  std::map<std::string, Entry, std::less<>> entries_;
  Leases leases_;
  std::map<std::string, ClientRecord> clients_;
  std::deque<Change> history_;
  Revision revision_ = 0;
  Revision compacted_revision_ = 0;  // the last revision whose change is not in the history
  LeaseId last_lease_ = 0;
  std::uint64_t use_counter_ = 0;  // logical clock that orders the last uses of clients
  Millis now_ = 0;
  std::size_t total_bytes_ = 0;
};

}  // namespace gateway::replicated_store
