#include "lab/model/fleet_topology.hpp"

#include <algorithm>
#include <cmath>

#include "lab/model/traffic.hpp"

namespace gateway::lab {
namespace {

// Deals `count` things over weights as evenly as whole numbers allow, in order of index.
std::vector<std::uint32_t> deal(std::size_t count, const std::vector<double>& weights) {
  double all = 0;
  for (double w : weights) {
    all += w;
  }
  std::vector<std::uint32_t> out;
  std::vector<double> given(weights.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::size_t best = 0;
    double most = -1e300;
    for (std::size_t k = 0; k < weights.size(); ++k) {
      const double due = weights[k] / all * static_cast<double>(i + 1) - given[k];
      if (weights[k] > 0 && due > most) {
        most = due, best = k;
      }
    }
    given[best] += 1;
    out.push_back(static_cast<std::uint32_t>(best));
  }
  return out;
}

std::size_t part(double share, std::size_t of) {
  if (share <= 0 || of == 0) {
    return 0;
  }
  return std::clamp<std::size_t>(
      static_cast<std::size_t>(std::lround(share * static_cast<double>(of))), 1, of);
}

std::vector<std::uint32_t> draw_some(Random& random, std::size_t count, std::size_t of) {
  std::vector<std::uint32_t> all(of);
  for (std::size_t i = 0; i < of; ++i) {
    all[i] = static_cast<std::uint32_t>(i);
  }
  random.shuffle(all);
  all.resize(count);
  std::sort(all.begin(), all.end());
  return all;
}

}  // namespace

FleetTopology draw_topology(const Scenario& s, std::uint64_t seed) {
  FleetTopology out;
  Random network(seed, "network");
  Random load(seed, "load");
  Random order(seed, "kinds");
  std::vector<double> zone_hosts;
  std::vector<double> zone_traffic;
  std::vector<double> kinds;
  for (const ZoneSpec& z : s.zones) {
    zone_hosts.push_back(z.hosts), zone_traffic.push_back(z.traffic);
  }
  for (const KindSpec& k : s.hosts.kinds) {
    kinds.push_back(k.share);
  }
  const std::size_t zones = s.zones.size();
  out.delay.assign(zones, std::vector<double>(zones));
  for (std::size_t a = 0; a < zones; ++a) {
    for (std::size_t b = a; b < zones; ++b) {
      out.delay[a][b] = out.delay[b][a] =
          (a == b ? s.network.same_ms : s.network.cross_ms).draw(network) / 1e3;
    }
  }
  out.client_delay = s.network.client_ms.draw(network) / 1e3;
  const auto host_zones = deal(s.hosts.count, zone_hosts);
  auto host_kinds = deal(s.hosts.count, kinds);
  order.shuffle(host_kinds);
  std::vector<std::uint32_t> in_zone(zones);
  for (unsigned i = 0; i < s.hosts.count; ++i) {
    Random own(seed, "host", i);
    HostPlacement place;
    place.kind = host_kinds[i];
    place.zone = host_zones[i];
    place.cell = place.zone * 100000 + in_zone[place.zone]++ / s.hosts.cell_size;
    place.traits = draw_traits(s, s.hosts.kinds[place.kind], own);
    out.capacity += place.traits.cores * place.traits.speed;
    out.hosts.push_back(place);
  }
  // Gateways stand where the clients are, at least one in each zone that has clients.
  out.gateway_zones = deal(s.gateways.count, std::vector<double>(zones, 1.0));
  const double drawn = s.clients.load.draw(load);
  out.request_rate =
      s.clients.rate_per_s > 0 ? s.clients.rate_per_s : drawn * rate_for(s, out.capacity);
  return out;
}

Condition combine(const Condition& a, const Condition& b) {
  Condition c;
  c.slowdown = a.slowdown * b.slowdown;
  c.stolen_share = std::min(1 - (1 - a.stolen_share) * (1 - b.stolen_share), 0.99);
  c.error_share = std::max(a.error_share, b.error_share);
  c.reset_share = std::max(a.reset_share, b.reset_share);
  c.malformed_share = std::max(a.malformed_share, b.malformed_share);
  c.response_delay = a.response_delay + b.response_delay;
  return c;
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): too long
FaultSchedule schedule_faults(const Scenario& s, const FleetTopology& layout, std::uint64_t seed) {
  FaultSchedule plan;
  const std::size_t hosts = layout.hosts.size();
  const std::size_t gateways = layout.gateway_zones.size();
  for (std::size_t i = 0; i < s.troubles.size(); ++i) {
    const TroubleSpec& t = s.troubles[i];
    Random random(seed, "trouble", i);
    const Duration from = from_seconds(t.at_s.draw(random));
    const Duration length = from_seconds(t.length_s.draw(random));
    const Duration to = from + length;
    const double share = t.part.draw(random);
    const double size = t.size.draw(random);
    const double extra = t.extra.draw(random);
    Condition c;
    std::vector<std::uint32_t> who = draw_some(random, part(share, hosts), hosts);
    const auto step = [&](Duration at, FaultStepKind kind, std::vector<std::uint32_t> hit,
                          double amount = 0) {
      plan.steps.push_back({at, kind, static_cast<std::uint32_t>(i), std::move(hit), amount});
    };
    const auto hold = [&] {
      step(from, FaultStepKind::condition_on, who);
      step(to, FaultStepKind::condition_off, who);
    };
    switch (t.kind) {
      case TroubleKind::slow:
        c.slowdown = std::max(size, 1.0);
        hold();
        break;
      case TroubleKind::shared_slow:
        c.slowdown = std::max(size, 1.0);
        who = draw_some(random, hosts, hosts);
        hold();
        break;
      case TroubleKind::fast_errors:
        c.error_share = std::min(size, 1.0);
        hold();
        break;
      case TroubleKind::neighbour: {
        c.stolen_share = std::min(size, 0.95);
        bool on = true;
        const Duration each = from_seconds(std::max(extra, 0.05));
        for (Duration at = from; at < to; at += each, on = !on) {
          step(at, on ? FaultStepKind::condition_on : FaultStepKind::condition_off, who);
        }
        if (!on) {
          step(to, FaultStepKind::condition_off, who);
        }
        break;
      }
      case TroubleKind::reset:
        c.reset_share = std::min(size, 1.0);
        hold();
        break;
      case TroubleKind::spoilt:
        c.malformed_share = std::min(size, 1.0);
        hold();
        break;
      case TroubleKind::slow_peers:
        c.response_delay = from_seconds(extra);
        hold();
        break;
      case TroubleKind::stale_list:
        step(from, FaultStepKind::list_delay_increase, {}, size);
        step(to, FaultStepKind::list_delay_decrease, {}, size);
        who.clear();
        break;
      case TroubleKind::discovery_down:
        step(from, FaultStepKind::discovery_down, {});
        step(to, FaultStepKind::discovery_up, {});
        who.clear();
        break;
      case TroubleKind::gateway_roll: {
        who = draw_some(random, part(share, gateways), gateways);
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
          step(at, FaultStepKind::gateway_stop, {first, last});
          step(at + from_seconds(extra), FaultStepKind::gateway_start, {first, last});
        }
        break;
      }
      case TroubleKind::drain:
        step(from, FaultStepKind::host_drain, who);
        step(std::min(from + from_seconds(extra), to), FaultStepKind::host_stop, who);
        step(to, FaultStepKind::host_start, who);
        break;
      case TroubleKind::replace:
        // One after the other over the whole length, as a release does it.
        for (std::size_t k = 0; k < who.size(); ++k) {
          const Duration at = from + Duration(length.count() * static_cast<long>(k) /
                                              static_cast<long>(who.size()));
          step(at, FaultStepKind::host_stop, {who[k]});
          step(at + from_seconds(extra), FaultStepKind::host_add, {who[k]});
        }
        break;
      case TroubleKind::restart:
        step(from, FaultStepKind::host_stop, who);
        step(from + from_seconds(extra), FaultStepKind::host_start, who);
        break;
      case TroubleKind::zone_loss: {
        auto zone = static_cast<std::uint32_t>(random.below(s.zones.size()));
        for (std::size_t z = 0; z < s.zones.size(); ++z) {
          if (s.zones[z].name == t.zone) {
            zone = static_cast<std::uint32_t>(z);
          }
        }
        who.clear();
        std::vector<std::uint32_t> in_zone;
        for (std::size_t h = 0; h < hosts; ++h) {
          if (layout.hosts[h].zone == zone) {
            who.push_back(static_cast<std::uint32_t>(h));
          }
        }
        for (std::size_t g = 0; g < gateways; ++g) {
          if (layout.gateway_zones[g] == zone) {
            in_zone.push_back(static_cast<std::uint32_t>(g));
          }
        }
        step(from, FaultStepKind::host_unreachable, who);
        step(from, FaultStepKind::gateway_stop, in_zone);
        step(to, FaultStepKind::host_stop, who);  // power comes back: everything starts anew
        step(to, FaultStepKind::host_reachable, who);
        step(to, FaultStepKind::host_start, who);
        step(to, FaultStepKind::gateway_start, in_zone);
        break;
      }
      case TroubleKind::silent_cut:
        step(from, FaultStepKind::host_unreachable, who);
        step(to, FaultStepKind::host_reachable, who);
        break;
    }
    plan.conditions.push_back(c);
    plan.intervals.push_back({std::string(name_of(t.kind)), from, to, who.size()});
  }
  std::stable_sort(plan.steps.begin(), plan.steps.end(),
                   [](const FaultStep& a, const FaultStep& b) { return a.at < b.at; });
  return plan;
}

}  // namespace gateway::lab
