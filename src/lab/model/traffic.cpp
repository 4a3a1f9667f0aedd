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
      what_(seed, "requests"),
      seed_(seed),
      rate_(rate),
      length_(s.length_s),
      start_(start),
      zones_(shares(s.zones, &ZoneSpec::traffic)),
      classes_(shares(s.classes, &ClassSpec::share)),
      keys_(zipf(s.clients.keys, s.clients.key_skew)) {
  Random days(seed, "work");
  for (const ClassSpec& c : s.classes) {
    mean_work_.push_back(c.work_ms.draw(days) / 1e3);
    variation_.push_back(c.variation.draw(days));
  }
}

bool Traffic::next(Arrival& into) {
  const double swing = scenario_.clients.swing;
  const double most = rate_ * (1 + swing);
  if (most <= 0) {
    return false;
  }
  do {  // thinning: a Poisson process whose rate swings once over the day
    at_ += arrivals_.exponential(1 / most);
    if (at_ >= length_) {
      return false;
    }
  } while (arrivals_.unit() * most >
           rate_ * (1 + swing * std::sin(2 * std::numbers::pi * at_ / length_)));
  into.at = start_ + from_seconds(at_);
  into.zone = static_cast<std::uint32_t>(zones_.draw(what_));
  into.cls = static_cast<std::uint32_t>(classes_.draw(what_));
  const std::uint64_t key = keys_.draw(what_);
  into.key = XXH3_64bits_withSeed(&key, sizeof key, seed_);
  into.work = what_.lognormal(mean_work_[into.cls], variation_[into.cls]);
  return true;
}

double rate_for(const Scenario& s, double capacity) {
  double work = 0;
  double all = 0;
  for (const ClassSpec& c : s.classes) {
    work += c.share * c.work_ms.middle() / 1e3;
    all += c.share;
  }
  return capacity / (work / all);
}

}  // namespace gateway::lab
