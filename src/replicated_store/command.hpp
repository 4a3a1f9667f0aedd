// The commands of the replicated store and their results.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace gateway::replicated_store {

// Counts the changes of the whole map and the granted leases, by one each; 0: before the first.
using Revision = std::uint64_t;
using Millis = std::uint64_t;   // time of the log's clock, see AdvanceClock
using LeaseId = std::uint64_t;  // 0: no lease

// The conditions under which a write takes effect, and the lease that the key belongs to.
struct WriteCondition {
  // The revision of the key's last change; 0: the key must not exist; without a value: not checked.
  std::optional<Revision> expected_revision;
  // The lease must exist; 0: no lease. A key that is put under a lease is erased when the lease
  // ends.
  LeaseId lease = 0;
  // The fencing token that the lease must have; 0: not checked.
  Revision fencing_token = 0;
  bool operator==(const WriteCondition&) const = default;
};

// Sets the value of a key, and its lease to that of the condition.
struct Put {
  std::string key;
  std::string value;
  WriteCondition condition;
  bool operator==(const Put&) const = default;
};

// Erases a key. Succeeds without effect if the key does not exist and the conditions hold.
struct Erase {
  std::string key;
  WriteCondition condition;
  bool operator==(const Erase&) const = default;
};

// Grants a lease that ends when it has not been renewed for `time_to_live`, 100 ms to 1 h.
struct GrantLease {
  Millis time_to_live = 0;
  bool operator==(const GrantLease&) const = default;
};

// Starts the time to live of a lease anew.
struct RenewLease {
  LeaseId lease = 0;
  bool operator==(const RenewLease&) const = default;
};

// Ends a lease and erases its keys.
struct ReleaseLease {
  LeaseId lease = 0;
  bool operator==(const ReleaseLease&) const = default;
};

// Advances the log's clock to the leader's time; an earlier time is ignored. Ends the leases whose
// time to live has passed, and erases their keys.
struct AdvanceClock {
  Millis now = 0;
  bool operator==(const AdvanceClock&) const = default;
};

using Operation = std::variant<Put, Erase, GrantLease, RenewLease, ReleaseLease, AdvanceClock>;

// An operation as an entry of the replicated log.
struct Command {
  Operation operation;
  // A client numbers its commands in ascending order, so that a retried command is deduplicated.
  // With an empty client or number 0 a command takes effect each time that it is applied.
  std::string client;
  std::uint64_t number = 0;
  bool operator==(const Command&) const = default;
};

struct CommandResult {
  // The numeric values are part of the snapshot format.
  enum class Status : std::uint8_t {
    done,
    conflict,         // the key's revision is not the expected one
    lease_not_found,  // the lease has ended or has another fencing token
    full,             // a limit of the store would be exceeded
    invalid,          // an argument is out of range
    compacted         // a later command of this client has replaced this command's result
  };
  Status status = Status::done;
  Revision revision = 0;  // of the map after the command; for a conflict, of the key
  LeaseId lease = 0;      // the lease that was granted or renewed
  // The token of that lease. Later leases have higher tokens.
  Revision fencing_token = 0;
  bool operator==(const CommandResult&) const = default;
};

}  // namespace gateway::replicated_store
