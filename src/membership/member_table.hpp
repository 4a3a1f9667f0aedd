// The table of the other members that this process knows, with the counts and the digest derived
// from it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "membership/member.hpp"

namespace gateway::membership {

// Does not contain this process itself. Not thread-safe.
class MemberTable {
 public:
  using Members = std::map<std::string, Member>;

  const Members& members() const { return members_; }  // by name
  const Member* find(std::string_view name) const;     // null if the member is unknown
  // `name` must be in the table; throws std::out_of_range otherwise.
  const Member& at(const std::string& name) const { return members_.at(name); }

  // Both counts include this process.
  std::size_t alive_count() const { return alive_count_; }  // alive or suspect
  std::size_t known_count() const { return known_count_; }  // all except those that left

  // Overwrites the member's entry with `update`, or inserts it, and returns the change. The caller
  // compares versions beforehand. If only the version or address changed, the kind is
  // `state_changed` with `from` equal to `to`. An update without an address keeps the known
  // address.
  MemberChange store(Time now, const MemberUpdate& update);

  // Removes members that have been dead or left for at least `retention`; returns one change of
  // kind `forgotten` for each.
  std::vector<MemberChange> remove_expired(Time now, Duration retention);

  // A hash over the names and versions of this process and all alive or suspect members. Two
  // members with equal digests need not exchange their tables.
  std::uint64_t digest(const std::string& own_name, const MemberVersion& own_version) const;

 private:
  void increment_counts(MemberState state);
  void decrement_counts(MemberState state);

  Members members_;
  std::size_t alive_count_ = 1;
  std::size_t known_count_ = 1;
};

}  // namespace gateway::membership
