#include "decide/pick.hpp"

namespace ochrehill {
namespace {

// Danger: with more requests than hosts each holds several, a limit of one counts none as idle, and two blind
// draws decide: some hosts queue while cores of others stand free. So few is what lies under the mean. It
// could do harm where a host holds little because it fails at once; trust and ejection keep that one out.
constexpr double kFewOfMean = 0.75;
constexpr double kLocalLean = 2;  // own zone in the draw: yields to a host 1.4 times as fast
constexpr double kHerdLean = 20;  // and of a trickle, where busyness weighs against it
constexpr double kOpenLean = 2;   // of a trickle, so much more for an open connection: it saves a handshake
constexpr std::size_t kWarmHosts = 3;  // that share the warmth of one key
// Danger: with many gateways the hosts of a few popular keys are crowded while others stand idle. A key has
// so many hosts at least, and a popular one so many that it is one of eight parts of what each of them gets.
constexpr std::size_t kKeyHosts = 8;
constexpr double kKeyParts = 8;

// On a large fleet the idle search is sampled: so many of its own hosts are looked at, more while none is
// idle, all only if none may be used.
constexpr std::size_t kScan = 32, kLooks = 10, kMostLooks = 48, kColdLooks = 4;

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
  }
  return c_.now <= beginBy(r);
}

Time Pick::beginBy(const Open& r) const {
  const ClassSettings& c = c_.classes[r.cls].set;
  for (std::uint32_t i = 0; i < r.count && c.effect == Effect::dedup; ++i)
    if (r.tries[i].mayHaveRun) return r.tries[i].at + c.window - 2 * c_.set.step;
  return Time::max();
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

std::size_t Pick::keyHosts(const Open& r) {  // so many places of its key are looked at; 0: it has none
  if (!c_.set.warmKeys || !r.hasKey) return 0;
  if (!fleet_.herd()) return kWarmHosts;
  const double part = keys_.note(r.key) * kKeyParts * static_cast<double>(fleet_.width());
  return std::max(kKeyHosts, static_cast<std::size_t>(part));
}

void Pick::gather(const Open& r, bool relaxed) {
  const std::size_t width = fleet_.width();
  ++picks_, ready_.clear(), found_ = false;
  if (const std::size_t most = relaxed || width == 0 ? 0 : keyHosts(r); most > 0)
    for (std::size_t i = 0; i < kMostLooks && ready_.size() < std::min(most, kLooks); ++i)
      consider(r, fleet_.ofKey(mix(r.key + mix(most <= kLooks ? i : c_.drawBelow(most)))), false);
  if (!found_ && width > kScan && !relaxed) {
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
  const double busy = h.busy < 0 ? cutoff_.busy() : h.busy;  // one not heard of is like the others
  const double thin = cutoff_.thin(), free = std::clamp(1.05 - busy, 0.05, 1.0);
  const double kept = h.share * fleet_.kindOf(h).share * health_.ease(h) * health_.trust(h, r.cls);
  const double zone = !h.local ? 1 : fleet_.herd() ? kHerdLean : kLocalLean;
  const double lean = zone * (connections_.open(h) ? 1 + kOpenLean * thin : 1);
  return lean * kept / std::max(h.pace * h.pace, 0.01) * (1 - thin + thin * free * free * free);
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
  if (c_.set.warmKeys && r.hasKey && !fleet_.herd())
    for (HostId id : ready_)
      if (idle(fleet_.at(id)) && c_.drawUnit() < fleet_.at(id).share) return id;
  // Danger: beside many gateways every host looks idle. So the draw leans towards hosts that answer fast and
  // say they have cores free, and to the own zone while that has.
  double sum = 0;
  HostId chosen = kNone;
  for (HostId id : ready_) {
    if (!idle(fleet_.at(id))) continue;
    const double part = weight(fleet_.at(id), r);
    sum += part;
    if (c_.drawUnit() * sum < part) chosen = id;
  }
  if (chosen != kNone) return chosen;
  const HostId a = ready_[c_.drawBelow(ready_.size())], b = ready_[c_.drawBelow(ready_.size())];
  const Host &first = fleet_.at(a), &second = fleet_.at(b);
  return load(first) * health_.trust(second, r.cls) <= load(second) * health_.trust(first, r.cls) ? a : b;
}

}  // namespace ochrehill
