#include "membership/member_table.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <memory>

namespace gateway::membership {
namespace {

struct FreeHashState {
  void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

void add_to_digest(XXH3_state_t* state, const std::string& name, const MemberVersion& version) {
  // Includes the terminating zero, so that a name and the bytes after it are hashed unambiguously.
  XXH3_64bits_update(state, name.data(), name.size() + 1);
  XXH3_64bits_update(state, &version.boot_id, sizeof version.boot_id);
  XXH3_64bits_update(state, &version.incarnation, sizeof version.incarnation);
}

}  // namespace

const Member* MemberTable::find(std::string_view name) const {
  const auto it = members_.find(std::string(name));
  return it == members_.end() ? nullptr : &it->second;
}

MemberChange MemberTable::store(Time now, const MemberUpdate& update) {
  const auto [it, inserted] = members_.try_emplace(update.name);
  Member& member = it->second;
  MemberChange change;
  change.name = update.name;
  change.kind = inserted ? MemberChangeKind::joined : MemberChangeKind::state_changed;
  change.from = member.state;
  change.to = update.state;
  member.name = update.name;
  if (update.address.port != 0) {
    member.address = update.address;
  }
  member.version = update.version;
  if (inserted || change.from != change.to) {
    if (!inserted) {
      decrement_counts(change.from);
    }
    increment_counts(change.to);
    member.state = update.state;
    member.state_changed_at = now;
  }
  return change;
}

std::vector<MemberChange> MemberTable::remove_expired(Time now, Duration retention) {
  std::vector<MemberChange> removed;
  std::erase_if(members_, [&](const auto& entry) {
    const Member& member = entry.second;
    if (is_alive_or_suspect(member.state) || now - member.state_changed_at < retention) {
      return false;
    }
    removed.push_back({member.name, MemberChangeKind::forgotten, member.state, member.state});
    decrement_counts(member.state);
    return true;
  });
  return removed;
}

std::uint64_t MemberTable::digest(const std::string& own_name,
                                  const MemberVersion& own_version) const {
  const std::unique_ptr<XXH3_state_t, FreeHashState> state(XXH3_createState());
  XXH3_64bits_reset(state.get());
  const auto add_alive = [&state](Members::const_iterator first, Members::const_iterator last) {
    for (auto it = first; it != last; ++it) {
      if (is_alive_or_suspect(it->second.state)) {
        add_to_digest(state.get(), it->first, it->second.version);
      }
    }
  };
  // Every member must hash the names in the same order, so this process, which is not in the table,
  // is hashed at its position in the order of names.
  const auto own_position = members_.lower_bound(own_name);
  add_alive(members_.begin(), own_position);
  add_to_digest(state.get(), own_name, own_version);
  add_alive(own_position, members_.end());
  return XXH3_64bits_digest(state.get());
}

void MemberTable::increment_counts(MemberState state) {
  if (is_alive_or_suspect(state)) {
    ++alive_count_;
  }
  if (state != MemberState::left) {
    ++known_count_;
  }
}

void MemberTable::decrement_counts(MemberState state) {
  if (is_alive_or_suspect(state)) {
    --alive_count_;
  }
  if (state != MemberState::left) {
    --known_count_;
  }
}

}  // namespace gateway::membership
