#include "load_balancer/hashing.hpp"

namespace load_balancer {

std::uint64_t mix_bits(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

std::uint64_t hash_text(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char character : text) {
    hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3ULL;
  }
  return mix_bits(hash);
}

double to_unit_interval(std::uint64_t bits) {
  return static_cast<double>(bits >> 11) * 0x1.0p-53;
}

}  // namespace load_balancer
