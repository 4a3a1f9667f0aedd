// Random numbers of the membership protocol. Unlike the distributions of the standard library,
// Boost's gives the same results on every platform, so a seed reproduces a run.
#pragma once

#include <boost/random/uniform_int_distribution.hpp>
#include <cstddef>
#include <random>

namespace gateway::membership {

// Returns a uniformly distributed number from 0 to `bound` - 1; `bound` must not be 0.
inline std::size_t random_below(std::mt19937_64& random, std::size_t bound) {
  return boost::random::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

}  // namespace gateway::membership
