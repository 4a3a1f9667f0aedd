/// @file
/// The names of successors: processes of a new version while the old one still holds the address of
/// their member.
#pragma once

#include <string>
#include <string_view>

#include "membership/codec.hpp"

namespace gateway::fleet_agent {

inline constexpr std::string_view kSuccessorSuffix = "+next";

/// Whether a member is a successor, which issues no tokens of limits.
inline bool is_successor_name(std::string_view name) {
  return name.ends_with(kSuccessorSuffix);
}

/// At most as long as a member's name may be.
inline std::string successor_name_of(std::string_view name) {
  std::string result(name.substr(0, membership::kMaxNameBytes - kSuccessorSuffix.size()));
  result += kSuccessorSuffix;
  return result;
}

}  // namespace gateway::fleet_agent
