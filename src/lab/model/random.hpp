// Seeded random streams. Engine: std::mt19937_64; distributions: Boost.Random, the same on every
// machine.
#pragma once

#include <xxhash.h>

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace gateway::lab {

// A stream for one purpose and index. Draws from it do not change the values of other streams.
class Random {
 public:
  Random(std::uint64_t seed, std::string_view purpose, std::uint64_t index = 0)
      : engine_(XXH3_64bits_withSeed(purpose.data(), purpose.size(),
                                     XXH3_64bits_withSeed(&index, sizeof index, seed))) {}

  double unit() { return boost::random::uniform_01<double>()(engine_); }  // from 0, below 1
  double between(double low, double high) { return low + (high - low) * unit(); }
  bool chance(double p) { return p > 0 && unit() < p; }
  std::size_t below(std::size_t n) {  // n of at least 1
    return boost::random::uniform_int_distribution<std::size_t>(0, n - 1)(engine_);
  }
  double exponential(double mean) {
    return mean * boost::random::exponential_distribution<double>(1.0)(engine_);
  }
  double normal() { return boost::random::normal_distribution<double>()(engine_); }
  // With the given mean and coefficient of variation (standard deviation / mean).
  double lognormal(double mean, double variation) {
    if (variation <= 0) {
      return mean;
    }
    const double sigma2 = std::log(1 + variation * variation);
    return mean * std::exp(std::sqrt(sigma2) * normal() - sigma2 / 2);
  }
  template <class T>
  void shuffle(std::vector<T>& items) {
    for (std::size_t i = items.size(); i > 1; --i) {
      std::swap(items[i - 1], items[below(i)]);
    }
  }

 private:
  std::mt19937_64 engine_;
};

// Draws an index with the given weights (not all zero).
class Weighted {
 public:
  explicit Weighted(const std::vector<double>& weights) {
    double sum = 0;
    for (double w : weights) {
      sums_.push_back(sum += w);
    }
  }
  std::size_t draw(Random& random) const {
    const double at = random.unit() * sums_.back();
    const auto it = std::upper_bound(sums_.begin(), sums_.end(), at);
    return std::min(static_cast<std::size_t>(it - sums_.begin()), sums_.size() - 1);
  }

 private:
  std::vector<double> sums_;
};

}  // namespace gateway::lab
