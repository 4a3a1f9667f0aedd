#include "lab/model/traffic.hpp"

#include <numbers>

namespace gateway::lab {
namespace {

template <class T>
std::vector<double> shares(const std::vector<T>& items, double T::*member) {
  std::vector<double> out;
  out.reserve(items.size());
  for (const T& item : items) {
    out.push_back(item.*member);
  }
  return out;
}

std::vector<double> zipf(unsigned keys, double skew) {
  std::vector<double> weights;
  weights.reserve(keys);
  for (unsigned k = 1; k <= keys; ++k) {
    weights.push_back(std::pow(k, -skew));
  }
  return weights;
}

}  // namespace

Traffic::Traffic(const Scenario& s, std::uint64_t seed, double rate, Time start)
    : scenario_(s),
      arrivals_(seed, "arrivals"),
      attributes_(seed, "requests"),
      seed_(seed),
      mean_rate_(rate),
      length_s_(s.length_s),
      start_(start),
      zones_(shares(s.zones, &ZoneSpec::traffic)),
      classes_(shares(s.classes, &ClassSpec::share)),
      keys_(zipf(s.clients.keys, s.clients.key_skew)) {
  Random random(seed, "work");
  for (const ClassSpec& c : s.classes) {
    mean_work_.push_back(c.work_ms.draw(random) / 1e3);
    variation_.push_back(c.variation.draw(random));
  }
}

bool Traffic::next(Arrival& arrival) {
  const double swing = scenario_.clients.swing;
  const double peak_rate = mean_rate_ * (1 + swing);
  if (peak_rate <= 0) {
    return false;
  }
  do {  // thinning: a Poisson process whose rate swings once over the run
    elapsed_s_ += arrivals_.exponential(1 / peak_rate);
    if (elapsed_s_ >= length_s_) {
      return false;
    }
  } while (arrivals_.unit() * peak_rate >
           mean_rate_ * (1 + swing * std::sin(2 * std::numbers::pi * elapsed_s_ / length_s_)));
  arrival.at = start_ + from_seconds(elapsed_s_);
  arrival.zone = static_cast<std::uint32_t>(zones_.draw(attributes_));
  arrival.cls = static_cast<std::uint32_t>(classes_.draw(attributes_));
  const std::uint64_t key = keys_.draw(attributes_);
  arrival.key = XXH3_64bits_withSeed(&key, sizeof key, seed_);
  arrival.work = attributes_.lognormal(mean_work_[arrival.cls], variation_[arrival.cls]);
  return true;
}

double saturation_rate(const Scenario& s, double capacity) {
  double work = 0;
  double all = 0;
  for (const ClassSpec& c : s.classes) {
    work += c.share * c.work_ms.middle() / 1e3;
    all += c.share;
  }
  return capacity / (work / all);
}

}  // namespace gateway::lab
