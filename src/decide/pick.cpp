#include "decide/pick.hpp"

#include <cmath>
#include <limits>

namespace ochrehill {
namespace {

// Danger: with more requests than hosts each holds several, a limit of one counts none as idle, and two blind
// draws decide: some hosts queue while cores of others stand free. So few is what lies under the mean. It
// could do harm where a host holds little because it fails at once; trust and ejection keep that one out.
constexpr double kFewOfMean = 0.75;
constexpr double kLocalLean = 2;            // own zone in the draw: yields to a host 1.4 times as fast
constexpr std::size_t kWarmCandidates = 3;  // hosts that share the warmth of one key at least,
constexpr std::uint32_t kHerd = 8;          // and with so many gateways they share its requests too

// On a large fleet the idle search is sampled: so many of its own hosts are looked at, more while none is
// idle, all only if none may be used. A key's hosts are sought among so many that follow it on the ring.
constexpr std::size_t kScan = 32;
constexpr std::size_t kLooks = 10, kMostLooks = 48, kColdLooks = 4;

}  // namespace

bool Pick::allowed(const Open& r, const Host& h) const {  // the rules on placement and repeats
  const ClassSettings& c = c_.classes[r.cls].set;
  if (!h.open[r.cls]) return false;
  for (std::uint32_t i = 0; i < r.count; ++i) {
    if (!r.tries[i].mayHaveRun || c.effect == Effect::retryable) continue;
    if (c.effect == Effect::fragile) return false;
    const HostEntry& first = fleet_.at(r.tries[i].host).entry;
    if (c.group != Group::all && first.zone != h.entry.zone) return false;
    if (c.group == Group::cell && first.cell != h.entry.cell) return false;
    if (c_.now + 2 * c_.set.step > r.tries[i].at + c.window) return false;
  }
  return true;
}

void Pick::consider(const Open& r, HostId id, bool relaxed) {
  Host& h = fleet_.at(id);
  if (h.lookedAt == picks_) return;
  h.lookedAt = picks_;
  if (!relaxed) {
    if (c_.now < h.restUntil || !connections_.mayUse(h) || h.silent || h.health == Health::ejected ||
        (h.health == Health::trial && h.inflight > 0))
      return;
    for (std::uint32_t i = 0; i < r.count; ++i)
      if (r.tries[i].host == id) return;
  }
  if (!allowed(r, h) || !cold_.mayTake(h)) return;
  ready_.push_back(id);
  found_ |= idle(h);
}

void Pick::gather(const Open& r, bool relaxed) {
  const std::size_t width = fleet_.width();
  ++picks_, ready_.clear(), found_ = false;
  if (width > kScan && !relaxed && c_.set.warmKeys && r.hasKey) {
    const std::vector<HostId>& ring = fleet_.ring();
    const std::size_t start = fleet_.onRing(mix(r.key));
    for (std::size_t i = 0; i < ring.size() && ready_.size() < kScan; ++i)
      consider(r, ring[(start + i) % ring.size()], false);
  } else if (width > kScan && !relaxed) {
    const std::vector<HostId>& cold = fleet_.coldOwn();
    for (std::size_t i = 0; i < std::min(cold.size(), kColdLooks); ++i)
      consider(r, cold[c_.drawBelow(cold.size())], false);
    for (std::size_t i = 0; i < (found_ ? kLooks : kMostLooks); ++i)
      consider(r, fleet_.order()[c_.drawBelow(width)], false);
  }
  if (!ready_.empty()) return;
  ++picks_;
  for (HostId id : fleet_.order()) {
    if (found_ && ready_.size() >= width) break;
    consider(r, id, relaxed);
  }
}

double Pick::weight(const Host& h, const Open& r) const {
  const double thin = cutoff_.thin(), free = std::clamp(1.05 - h.busy, 0.05, 1.0);
  return (h.local ? kLocalLean : 1) * h.share * health_.trust(h, r.cls) / std::max(h.pace * h.pace, 0.01) *
         (1 - thin + thin * free * free);
}

HostId Pick::host(const Open& r) {
  few_ = std::max(kFewOfMean * fleet_.perListed(fleet_.held()), 1.0);
  gather(r, false);
  if (ready_.empty()) gather(r, true);  // no healthy host: any that the rules allow beats none
  if (ready_.empty()) return kNone;
  // Danger: among a hundred hosts a thin gateway draws the cold one it could send to once in half a minute;
  // it would stay cold. Its budget is small and is spent first.
  for (HostId id : ready_)
    if (const Host& h = fleet_.at(id);
        r.count == 0 && fleet_.isCold(h) && idle(h) && c_.drawUnit() > cutoff_.evidence())
      return id;
  const bool herd = c_.set.groupSize >= kHerd, keyed = c_.set.warmKeys && r.hasKey;
  if (keyed && !herd) {
    // Warm keys: the first hosts in the key's rendezvous order, the same at all gateways.
    const std::size_t most = std::min(kWarmCandidates, ready_.size());
    const auto rank = [&](HostId id) { return mix(fleet_.at(id).hash ^ r.key); };
    std::partial_sort(ready_.begin(), ready_.begin() + static_cast<std::ptrdiff_t>(most), ready_.end(),
                      [&](HostId a, HostId b) { return rank(a) > rank(b); });
    ready_.resize(most);
    for (HostId id : ready_)
      if (idle(fleet_.at(id)) && c_.drawUnit() < fleet_.at(id).share) return id;
  }
  // Danger: beside many gateways every host looks idle, all send a key to the same one and the own zone is
  // overrun. So the draw leans towards hosts that answer fast and say they have cores free, and a key draws
  // with one of a few sets of numbers, the same at all gateways: it keeps to few hosts (weighted rendezvous).
  const std::uint64_t set = keyed && herd ? mix(r.key + c_.drawBelow(kWarmCandidates)) : 0;
  double sum = 0, least = std::numeric_limits<double>::infinity();
  HostId chosen = kNone;
  for (HostId id : ready_) {
    const Host& h = fleet_.at(id);
    if (!idle(h)) continue;
    const double part = weight(h, r);
    if (keyed && herd) {
      const double at = -std::log(unit(mix(h.hash ^ set)) + 0x1.0p-53) / part;
      if (at < least) least = at, chosen = id;
    } else {
      sum += part;
      if (c_.drawUnit() * sum < part) chosen = id;
    }
  }
  if (chosen != kNone) return chosen;
  const HostId a = ready_[c_.drawBelow(ready_.size())], b = ready_[c_.drawBelow(ready_.size())];
  const Host &first = fleet_.at(a), &second = fleet_.at(b);
  return load(first) * health_.trust(second, r.cls) <= load(second) * health_.trust(first, r.cls) ? a : b;
}

}  // namespace ochrehill
