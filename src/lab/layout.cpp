#include "lab/layout.hpp"

#include <algorithm>
#include <cmath>

#include "lab/traffic.hpp"

namespace fennelridge::lab {
namespace {

// Deals `count` things over weights as evenly as whole numbers allow, in order of index.
std::vector<std::uint32_t> deal(std::size_t count, const std::vector<double>& weights) {
  double all = 0;
  for (double w : weights) all += w;
  std::vector<std::uint32_t> out;
  std::vector<double> given(weights.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::size_t best = 0;
    double most = -1e300;
    for (std::size_t k = 0; k < weights.size(); ++k) {
      const double due = weights[k] / all * static_cast<double>(i + 1) - given[k];
      if (weights[k] > 0 && due > most) most = due, best = k;
    }
    given[best] += 1;
    out.push_back(static_cast<std::uint32_t>(best));
  }
  return out;
}

std::size_t part(double share, std::size_t of) {
  if (share <= 0 || of == 0) return 0;
  return std::clamp<std::size_t>(static_cast<std::size_t>(std::lround(share * static_cast<double>(of))), 1,
                                 of);
}

std::vector<std::uint32_t> drawSome(Random& random, std::size_t count, std::size_t of) {
  std::vector<std::uint32_t> all(of);
  for (std::size_t i = 0; i < of; ++i) all[i] = static_cast<std::uint32_t>(i);
  random.shuffle(all);
  all.resize(count);
  std::sort(all.begin(), all.end());
  return all;
}

}  // namespace

Layout drawLayout(const Scenario& s, std::uint64_t seed) {
  Layout out;
  Random network(seed, "network"), load(seed, "load"), order(seed, "kinds");
  std::vector<double> zoneHosts, zoneTraffic, kinds;
  for (const ZoneSpec& z : s.zones) zoneHosts.push_back(z.hosts), zoneTraffic.push_back(z.traffic);
  for (const KindSpec& k : s.hosts.kinds) kinds.push_back(k.share);
  const std::size_t zones = s.zones.size();
  out.delay.assign(zones, std::vector<double>(zones));
  for (std::size_t a = 0; a < zones; ++a)
    for (std::size_t b = a; b < zones; ++b)
      out.delay[a][b] = out.delay[b][a] = (a == b ? s.network.sameMs : s.network.crossMs).draw(network) / 1e3;
  out.clientDelay = s.network.clientMs.draw(network) / 1e3;
  const auto hostZones = deal(s.hosts.count, zoneHosts);
  auto hostKinds = deal(s.hosts.count, kinds);
  order.shuffle(hostKinds);
  std::vector<std::uint32_t> inZone(zones);
  for (unsigned i = 0; i < s.hosts.count; ++i) {
    Random own(seed, "host", i);
    HostPlace place;
    place.kind = hostKinds[i];
    place.zone = hostZones[i];
    place.cell = place.zone * 100000 + inZone[place.zone]++ / s.hosts.cellSize;
    place.traits = drawTraits(s, s.hosts.kinds[place.kind], own);
    out.capacity += place.traits.cores * place.traits.speed;
    out.hosts.push_back(std::move(place));
  }
  // Gateways stand where the clients are, at least one in each zone that has clients.
  out.gatewayZones = deal(s.gateways.count, std::vector<double>(zones, 1.0));
  const double drawn = s.clients.load.draw(load);
  out.rate = s.clients.ratePerS > 0 ? s.clients.ratePerS : drawn * rateFor(s, out.capacity);
  return out;
}

Condition together(const Condition& a, const Condition& b) {
  Condition c;
  c.slower = a.slower * b.slower;
  c.taken = std::min(1 - (1 - a.taken) * (1 - b.taken), 0.99);
  c.errorShare = std::max(a.errorShare, b.errorShare);
  c.resetShare = std::max(a.resetShare, b.resetShare);
  c.spoiltShare = std::max(a.spoiltShare, b.spoiltShare);
  c.trickle = a.trickle + b.trickle;
  return c;
}

Plan planTroubles(const Scenario& s, const Layout& layout, std::uint64_t seed) {
  Plan plan;
  const std::size_t hosts = layout.hosts.size(), gateways = layout.gatewayZones.size();
  for (std::size_t i = 0; i < s.troubles.size(); ++i) {
    const TroubleSpec& t = s.troubles[i];
    Random random(seed, "trouble", i);
    const Duration from = fromSeconds(t.atS.draw(random));
    const Duration length = fromSeconds(t.lengthS.draw(random)), to = from + length;
    const double share = t.part.draw(random), size = t.size.draw(random), extra = t.extra.draw(random);
    Condition c;
    std::vector<std::uint32_t> who = drawSome(random, part(share, hosts), hosts);
    const auto step = [&](Duration at, StepKind kind, std::vector<std::uint32_t> hit, double amount = 0) {
      plan.steps.push_back({at, kind, static_cast<std::uint32_t>(i), std::move(hit), amount});
    };
    const auto hold = [&] {
      step(from, StepKind::conditionOn, who);
      step(to, StepKind::conditionOff, who);
    };
    switch (t.kind) {
      case TroubleKind::slow:
        c.slower = std::max(size, 1.0);
        hold();
        break;
      case TroubleKind::sharedSlow:
        c.slower = std::max(size, 1.0);
        who = drawSome(random, hosts, hosts);
        hold();
        break;
      case TroubleKind::fastErrors:
        c.errorShare = std::min(size, 1.0);
        hold();
        break;
      case TroubleKind::neighbour: {
        c.taken = std::min(size, 0.95);
        bool on = true;
        const Duration each = fromSeconds(std::max(extra, 0.05));
        for (Duration at = from; at < to; at += each, on = !on)
          step(at, on ? StepKind::conditionOn : StepKind::conditionOff, who);
        if (!on) step(to, StepKind::conditionOff, who);
        break;
      }
      case TroubleKind::reset:
        c.resetShare = std::min(size, 1.0);
        hold();
        break;
      case TroubleKind::spoilt:
        c.spoiltShare = std::min(size, 1.0);
        hold();
        break;
      case TroubleKind::slowPeers:
        c.trickle = fromSeconds(extra);
        hold();
        break;
      case TroubleKind::staleList:
        step(from, StepKind::staleMore, {}, size);
        step(to, StepKind::staleLess, {}, size);
        who.clear();
        break;
      case TroubleKind::discoveryDown:
        step(from, StepKind::discoveryDown, {});
        step(to, StepKind::discoveryUp, {});
        who.clear();
        break;
      case TroubleKind::gatewayRoll: {
        who = drawSome(random, part(share, gateways), gateways);
        std::vector<std::uint32_t> order = who;
        random.shuffle(order);
        const std::size_t batch = part(std::min(size, 1.0), gateways);
        const std::size_t batches = order.empty() ? 0 : (order.size() + batch - 1) / batch;
        for (std::size_t b = 0; b < batches; ++b) {
          const Duration at =
              from + Duration(length.count() * static_cast<long>(b) / static_cast<long>(batches));
          const auto first = order.begin() + static_cast<std::ptrdiff_t>(b * batch);
          const auto last =
              order.begin() + static_cast<std::ptrdiff_t>(std::min((b + 1) * batch, order.size()));
          step(at, StepKind::gatewayStop, {first, last});
          step(at + fromSeconds(extra), StepKind::gatewayStart, {first, last});
        }
        break;
      }
      case TroubleKind::drain:
        step(from, StepKind::hostDrain, who);
        step(std::min(from + fromSeconds(extra), to), StepKind::hostStop, who);
        step(to, StepKind::hostStart, who);
        break;
      case TroubleKind::replace:
        // One after the other over the whole length, as a release does it.
        for (std::size_t k = 0; k < who.size(); ++k) {
          const Duration at =
              from + Duration(length.count() * static_cast<long>(k) / static_cast<long>(who.size()));
          step(at, StepKind::hostStop, {who[k]});
          step(at + fromSeconds(extra), StepKind::hostNew, {who[k]});
        }
        break;
      case TroubleKind::restart:
        step(from, StepKind::hostStop, who);
        step(from + fromSeconds(extra), StepKind::hostStart, who);
        break;
      case TroubleKind::zoneLoss: {
        std::uint32_t zone = static_cast<std::uint32_t>(random.below(s.zones.size()));
        for (std::size_t z = 0; z < s.zones.size(); ++z)
          if (s.zones[z].name == t.zone) zone = static_cast<std::uint32_t>(z);
        who.clear();
        std::vector<std::uint32_t> inZone;
        for (std::size_t h = 0; h < hosts; ++h)
          if (layout.hosts[h].zone == zone) who.push_back(static_cast<std::uint32_t>(h));
        for (std::size_t g = 0; g < gateways; ++g)
          if (layout.gatewayZones[g] == zone) inZone.push_back(static_cast<std::uint32_t>(g));
        step(from, StepKind::hostCut, who);
        step(from, StepKind::gatewayStop, inZone);
        step(to, StepKind::hostStop, who);  // power comes back: everything starts anew
        step(to, StepKind::hostBack, who);
        step(to, StepKind::hostStart, who);
        step(to, StepKind::gatewayStart, inZone);
        break;
      }
      case TroubleKind::silentCut:
        step(from, StepKind::hostCut, who);
        step(to, StepKind::hostBack, who);
        break;
    }
    plan.conditions.push_back(c);
    plan.times.push_back({std::string(nameOf(t.kind)), from, to, who.size()});
  }
  std::stable_sort(plan.steps.begin(), plan.steps.end(),
                   [](const Step& a, const Step& b) { return a.at < b.at; });
  return plan;
}

}  // namespace fennelridge::lab
