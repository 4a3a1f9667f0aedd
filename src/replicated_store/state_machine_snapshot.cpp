// The snapshot format of the state machine: a CBOR array
// [format version, revision, last lease, use counter, now, entries, leases, clients].
#include <nlohmann/json.hpp>

#include "replicated_store/state_machine.hpp"

namespace gateway::replicated_store {
namespace {

using nlohmann::json;

constexpr std::uint64_t kFormatVersion = 1;
constexpr std::size_t kFieldCount = 8;

// Keys, values and client names may contain any bytes, so they are encoded as CBOR byte strings;
// text strings would have to be UTF-8.
json to_binary(const std::string& bytes) {
  return json::binary({bytes.begin(), bytes.end()});
}

std::string from_binary(const json& value) {
  const auto& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

}  // namespace

std::string StateMachine::snapshot() const {
  json entries = json::array();
  for (const auto& [key, entry] : entries_) {
    entries.push_back(
        {to_binary(key), to_binary(entry.value), entry.created_at, entry.changed_at, entry.lease});
  }
  json leases = json::array();
  for (const auto& [id, lease] : leases_) {
    leases.push_back({id, lease.fencing_token, lease.time_to_live, lease.ends_at});
  }
  json clients = json::array();
  for (const auto& [name, client] : clients_) {
    clients.push_back({to_binary(name), client.number, client.last_use,
                       static_cast<unsigned>(client.result.status), client.result.revision,
                       client.result.lease, client.result.fencing_token});
  }
  std::string out;
  json::to_cbor(
      {kFormatVersion, revision_, last_lease_, use_counter_, now_, entries, leases, clients}, out);
  return out;
}

bool StateMachine::restore(std::string_view snapshot) {
  StateMachine restored(limits_);
  try {
    const json fields = json::from_cbor(snapshot.begin(), snapshot.end());
    if (fields.size() != kFieldCount || fields.at(0).get<std::uint64_t>() != kFormatVersion) {
      return false;
    }
    restored.revision_ = fields.at(1).get<Revision>();
    restored.compacted_revision_ = restored.revision_;
    restored.last_lease_ = fields.at(2).get<LeaseId>();
    restored.use_counter_ = fields.at(3).get<std::uint64_t>();
    restored.now_ = fields.at(4).get<Millis>();
    for (const json& lease : fields.at(6)) {
      restored.leases_[lease.at(0).get<LeaseId>()] = {
          lease.at(1).get<Revision>(), lease.at(2).get<Millis>(), lease.at(3).get<Millis>(), {}};
    }
    for (const json& value : fields.at(5)) {
      const std::string key = from_binary(value.at(0));
      const Entry entry{from_binary(value.at(1)), value.at(2).get<Revision>(),
                        value.at(3).get<Revision>(), value.at(4).get<LeaseId>()};
      if (entry.lease != 0) {
        restored.leases_.at(entry.lease).keys.insert(key);
      }
      restored.total_bytes_ += key.size() + entry.value.size();
      restored.entries_.emplace(key, entry);
    }
    for (const json& value : fields.at(7)) {
      const auto status = value.at(3).get<std::uint64_t>();
      if (status > static_cast<std::uint64_t>(CommandResult::Status::compacted)) {
        return false;
      }
      const CommandResult result{static_cast<CommandResult::Status>(status),
                                 value.at(4).get<Revision>(), value.at(5).get<LeaseId>(),
                                 value.at(6).get<Revision>()};
      restored.clients_[from_binary(value.at(0))] = {value.at(1).get<std::uint64_t>(), result,
                                                     value.at(2).get<std::uint64_t>()};
    }
  } catch (const std::exception&) {
    // From the JSON library, or from leases_.at() for an entry of a lease that does not exist.
    return false;
  }
  *this = std::move(restored);
  return true;
}

}  // namespace gateway::replicated_store
