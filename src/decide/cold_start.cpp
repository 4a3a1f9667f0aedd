#include "decide/cold_start.hpp"

namespace ochrehill {
namespace {

constexpr double kColdPart = 0.45;      // load of a cold host, as a part of the multiple that fells it
constexpr double kProvenDecay = 0.997;  // per sweep: proven rates of a machine kind fade over half a minute

}  // namespace

// Danger: all gateways together push a cold host over. Each keeps to its own part: the cold share of what
// it has warm hosts of that kind carry, in every window, refused attempts counted. That may be a small part
// of a request; a floor of one, times hundreds of gateways, would be a flood.
bool ColdStart::mayTake(Host& h) {
  if (!fleet_.isCold(h)) return true;
  const double window = std::max(toSeconds(c_.set.fallWindow), 0.1);
  // No warm one of its kind seen, e.g. after our own restart: an even share of what we get.
  const double even = cutoff_.askedRate() / static_cast<double>(std::max<std::size_t>(fleet_.width(), 1));
  const double proven = fleet_.kindOf(h).proven > 0 ? fleet_.kindOf(h).proven : even;
  const double most =
      kColdPart * (2 + cutoff_.evidence()) / 3;  // less where it is spent first (see the pick)
  const double rate = proven * fleet_.warmth(h) * part_ * most * c_.set.fallMultiple;
  h.coldTokens =
      std::min(h.coldTokens + rate * toSeconds(c_.now - h.coldAt), std::max(1.0, rate * window / 4));
  h.coldAt = c_.now;
  return h.coldTokens >= 1;
}

void ColdStart::sent(Host& h) {
  if (fleet_.isCold(h)) h.coldTokens -= 1;
}

// What a warm host of each kind has lately carried. Danger: in a deploy of nearly all hosts the last warm
// ones are buried, and their sinking rates would starve the cold ones that could help; hence a slow decay.
void ColdStart::sweep() {
  for (Kind& k : fleet_.kinds()) k.served = k.count = 0;
  for (std::size_t i = 0; i < fleet_.order().size(); ++i) {
    Host& h = fleet_.at(fleet_.order()[i]);
    if (i < fleet_.width() && !fleet_.isCold(h) && !sick(h)) {  // of the others we ask little
      fleet_.kindOf(h).served += h.served;
      fleet_.kindOf(h).count += 1;
    }
    h.served = 0;
  }
  for (Kind& k : fleet_.kinds()) {
    if (k.count > 0) k.rate += cutoff_.fastGain() * (k.served / k.count / toSeconds(kSweep) - k.rate);
    k.proven = std::max(k.rate, k.proven * kProvenDecay);
  }
}

}  // namespace ochrehill
