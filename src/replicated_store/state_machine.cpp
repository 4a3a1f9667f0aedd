#include "replicated_store/state_machine.hpp"

#include <algorithm>

namespace gateway::replicated_store {
namespace {

using Status = CommandResult::Status;

constexpr Millis kMinTimeToLive = 100;
constexpr Millis kMaxTimeToLive = 3'600'000;

}  // namespace

CommandResult StateMachine::apply(const Command& command) {
  const auto execute_operation = [this, &command] {
    return std::visit([this](const auto& operation) { return execute(operation); },
                      command.operation);
  };
  if (command.number == 0 || command.client.empty()) {
    return execute_operation();
  }
  const auto client = clients_.find(command.client);
  if (client != clients_.end()) {
    ClientRecord& record = client->second;
    record.last_use = ++use_counter_;
    if (command.number == record.number) {
      return record.result;
    }
    if (command.number < record.number) {
      return result(Status::compacted);
    }
  }
  const CommandResult executed = execute_operation();
  if (client == clients_.end() && clients_.size() >= limits_.clients) {
    forget_least_recently_used_client();
  }
  clients_[command.client] = {command.number, executed, ++use_counter_};
  return executed;
}

void StateMachine::forget_least_recently_used_client() {
  clients_.erase(std::min_element(
      clients_.begin(), clients_.end(),
      [](const auto& a, const auto& b) { return a.second.last_use < b.second.last_use; }));
}

// --- Writes

std::optional<CommandResult> StateMachine::check_write(const std::string& key,
                                                       std::size_t value_bytes,
                                                       const WriteCondition& condition) const {
  if (key.empty() || key.size() > limits_.key_bytes || value_bytes > limits_.value_bytes) {
    return result(Status::invalid);
  }
  if (condition.lease != 0 || condition.fencing_token != 0) {
    // An owner that did not renew its lease in time may still write under it. The lease has ended
    // by then, and its fencing token is not that of any later lease.
    const auto lease = leases_.find(condition.lease);
    if (lease == leases_.end() ||
        (condition.fencing_token != 0 && condition.fencing_token != lease->second.fencing_token)) {
      return result(Status::lease_not_found);
    }
  }
  const Entry* entry = get(key);
  const Revision changed_at = entry ? entry->changed_at : 0;
  if (condition.expected_revision && *condition.expected_revision != changed_at) {
    return CommandResult{Status::conflict, changed_at, 0, 0};
  }
  return std::nullopt;
}

CommandResult StateMachine::execute(const Put& put) {
  if (const auto rejected = check_write(put.key, put.value.size(), put.condition)) {
    return *rejected;
  }
  const auto existing = entries_.find(put.key);
  const bool is_new = existing == entries_.end();
  const std::size_t bytes_before = is_new ? 0 : put.key.size() + existing->second.value.size();
  const std::size_t total_bytes = total_bytes_ - bytes_before + put.key.size() + put.value.size();
  if (total_bytes > limits_.total_bytes || (is_new && entries_.size() >= limits_.keys)) {
    return result(Status::full);
  }
  total_bytes_ = total_bytes;
  record_change(put.key, put.value);
  Entry& entry = entries_[put.key];
  if (is_new) {
    entry.created_at = revision_;
  }
  assign_to_lease(put.key, entry, put.condition.lease);
  entry.value = put.value;
  entry.changed_at = revision_;
  return result(Status::done);
}

void StateMachine::assign_to_lease(const std::string& key, Entry& entry, LeaseId lease) {
  if (entry.lease == lease) {
    return;
  }
  if (const auto previous = leases_.find(entry.lease); previous != leases_.end()) {
    previous->second.keys.erase(key);
  }
  if (lease != 0) {
    leases_.at(lease).keys.insert(key);
  }
  entry.lease = lease;
}

CommandResult StateMachine::execute(const Erase& erase) {
  if (const auto rejected = check_write(erase.key, 0, erase.condition)) {
    return *rejected;
  }
  if (entries_.contains(erase.key)) {
    erase_entry(erase.key);
  }
  return result(Status::done);
}

void StateMachine::erase_entry(const std::string& key) {
  const auto it = entries_.find(key);
  total_bytes_ -= key.size() + it->second.value.size();
  if (const auto lease = leases_.find(it->second.lease); lease != leases_.end()) {
    lease->second.keys.erase(key);
  }
  entries_.erase(it);
  record_change(key, std::nullopt);
}

void StateMachine::record_change(const std::string& key, std::optional<std::string> value) {
  history_.push_back({++revision_, key, std::move(value)});
  while (history_.size() > limits_.history) {
    compacted_revision_ = history_.front().revision;
    history_.pop_front();
  }
}

// --- Leases

CommandResult StateMachine::execute(const GrantLease& grant) {
  if (grant.time_to_live < kMinTimeToLive || grant.time_to_live > kMaxTimeToLive) {
    return result(Status::invalid);
  }
  if (leases_.size() >= limits_.leases) {
    return result(Status::full);
  }
  // The revision serves as the fencing token: it only grows and is part of the snapshot, so that a
  // later lease has a higher token also after a restart.
  ++revision_;
  leases_[++last_lease_] = {revision_, grant.time_to_live, now_ + grant.time_to_live, {}};
  return {Status::done, revision_, last_lease_, revision_};
}

CommandResult StateMachine::execute(const RenewLease& renew) {
  const auto lease = leases_.find(renew.lease);
  if (lease == leases_.end()) {
    return result(Status::lease_not_found);
  }
  lease->second.ends_at = now_ + lease->second.time_to_live;
  return {Status::done, revision_, renew.lease, lease->second.fencing_token};
}

CommandResult StateMachine::execute(const ReleaseLease& release) {
  const auto lease = leases_.find(release.lease);
  if (lease == leases_.end()) {
    return result(Status::lease_not_found);
  }
  end_lease(lease);
  return result(Status::done);
}

// The leader's clock may be set back, and that of the next leader may be behind. The log's clock
// therefore ignores an earlier time, and leases end by the log's clock alone.
CommandResult StateMachine::execute(const AdvanceClock& advance) {
  now_ = std::max(now_, advance.now);
  for (auto it = leases_.begin(); it != leases_.end();) {
    const auto lease = it++;
    if (lease->second.ends_at <= now_) {
      end_lease(lease);
    }
  }
  return result(Status::done);
}

void StateMachine::end_lease(Leases::iterator lease) {
  const std::set<std::string> keys = std::move(lease->second.keys);
  leases_.erase(lease);
  for (const std::string& key : keys) {
    erase_entry(key);
  }
}

// --- Reads

const Entry* StateMachine::get(std::string_view key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? nullptr : &it->second;
}

std::vector<std::pair<std::string, Entry>> StateMachine::list(std::string_view prefix) const {
  std::vector<std::pair<std::string, Entry>> entries;
  for (auto it = entries_.lower_bound(prefix);
       it != entries_.end() && it->first.starts_with(prefix); ++it) {
    entries.emplace_back(*it);
  }
  return entries;
}

std::optional<std::vector<Change>> StateMachine::changes_since(Revision from,
                                                               std::string_view prefix) const {
  if (from < compacted_revision_) {
    return std::nullopt;
  }
  const auto first = std::lower_bound(
      history_.begin(), history_.end(), from + 1,
      [](const Change& change, Revision revision) { return change.revision < revision; });
  std::vector<Change> changes;
  std::copy_if(first, history_.end(), std::back_inserter(changes), [prefix](const Change& change) {
    return std::string_view(change.key).starts_with(prefix);
  });
  return changes;
}

}  // namespace gateway::replicated_store
