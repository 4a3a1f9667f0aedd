// Hash functions that give the same values at every gateway and on every platform.
#pragma once

#include <cstdint>
#include <string_view>

namespace load_balancer {

// The splitmix64 finisher: every bit of `value` affects all bits of the result.
std::uint64_t mix_bits(std::uint64_t value);

// FNV-1a over the bytes of `text`, followed by mix_bits.
std::uint64_t hash_text(std::string_view text);

// Maps the upper 53 bits of a random word to [0, 1).
double to_unit_interval(std::uint64_t bits);

}  // namespace load_balancer
