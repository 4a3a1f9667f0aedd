#include "lab/model/fleet_topology.hpp"

#include <algorithm>
#include <cmath>

#include "lab/model/traffic.hpp"

namespace gateway::lab {
namespace {

// Assigns `count` items to the weights, as evenly as whole numbers allow. Entry i of the result is
// the index of the weight that item i is assigned to.
std::vector<std::uint32_t> distribute(std::size_t count, const std::vector<double>& weights) {
  double weight_sum = 0;
  for (double w : weights) {
    weight_sum += w;
  }
  std::vector<std::uint32_t> result;
  std::vector<double> assigned(weights.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::size_t neediest = 0;
    double largest_deficit = -1e300;
    for (std::size_t k = 0; k < weights.size(); ++k) {
      const double deficit = weights[k] / weight_sum * static_cast<double>(i + 1) - assigned[k];
      if (weights[k] > 0 && deficit > largest_deficit) {
        largest_deficit = deficit, neediest = k;
      }
    }
    assigned[neediest] += 1;
    result.push_back(static_cast<std::uint32_t>(neediest));
  }
  return result;
}

std::size_t count_of(double share, std::size_t of) {
  if (share <= 0 || of == 0) {
    return 0;
  }
  return std::clamp<std::size_t>(
      static_cast<std::size_t>(std::lround(share * static_cast<double>(of))), 1, of);
}

std::vector<std::uint32_t> draw_indexes(Random& random, std::size_t count, std::size_t of) {
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
  FleetTopology result;
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
  result.delay.assign(zones, std::vector<double>(zones));
  for (std::size_t a = 0; a < zones; ++a) {
    for (std::size_t b = a; b < zones; ++b) {
      result.delay[a][b] = result.delay[b][a] =
          (a == b ? s.network.same_ms : s.network.cross_ms).draw(network) / 1e3;
    }
  }
  result.client_delay = s.network.client_ms.draw(network) / 1e3;
  const auto host_zones = distribute(s.hosts.count, zone_hosts);
  auto host_kinds = distribute(s.hosts.count, kinds);
  order.shuffle(host_kinds);
  std::vector<std::uint32_t> in_zone(zones);
  for (unsigned i = 0; i < s.hosts.count; ++i) {
    Random random(seed, "host", i);
    HostPlacement placement;
    placement.kind = host_kinds[i];
    placement.zone = host_zones[i];
    placement.cell = placement.zone * 100000 + in_zone[placement.zone]++ / s.hosts.cell_size;
    placement.traits = draw_traits(s, s.hosts.kinds[placement.kind], random);
    result.capacity += placement.traits.cores * placement.traits.speed;
    result.hosts.push_back(placement);
  }
  // Gateways are spread evenly over the zones, whatever the zones' share of the traffic.
  result.gateway_zones = distribute(s.gateways.count, std::vector<double>(zones, 1.0));
  const double load_share = s.clients.load.draw(load);
  result.request_rate = s.clients.rate_per_s > 0 ? s.clients.rate_per_s
                                                 : load_share * saturation_rate(s, result.capacity);
  return result;
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
FaultSchedule schedule_faults(const Scenario& s, const FleetTopology& topology,
                              std::uint64_t seed) {
  FaultSchedule schedule;
  const std::size_t hosts = topology.hosts.size();
  const std::size_t gateways = topology.gateway_zones.size();
  for (std::size_t i = 0; i < s.faults.size(); ++i) {
    const FaultSpec& t = s.faults[i];
    Random random(seed, "trouble", i);
    const Duration from = from_seconds(t.at_s.draw(random));
    const Duration length = from_seconds(t.length_s.draw(random));
    const Duration to = from + length;
    const double share = t.part.draw(random);
    const double size = t.size.draw(random);
    const double extra = t.extra.draw(random);
    Condition c;
    std::vector<std::uint32_t> targets = draw_indexes(random, count_of(share, hosts), hosts);
    const auto step = [&](Duration at, FaultStepKind kind, std::vector<std::uint32_t> step_targets,
                          double amount = 0) {
      schedule.steps.push_back(
          {at, kind, static_cast<std::uint32_t>(i), std::move(step_targets), amount});
    };
    const auto add_condition_steps = [&] {
      step(from, FaultStepKind::condition_on, targets);
      step(to, FaultStepKind::condition_off, targets);
    };
    switch (t.kind) {
      case FaultKind::slow:
        c.slowdown = std::max(size, 1.0);
        add_condition_steps();
        break;
      case FaultKind::shared_slow:
        c.slowdown = std::max(size, 1.0);
        targets = draw_indexes(random, hosts, hosts);
        add_condition_steps();
        break;
      case FaultKind::fast_errors:
        c.error_share = std::min(size, 1.0);
        add_condition_steps();
        break;
      case FaultKind::neighbour: {
        c.stolen_share = std::min(size, 0.95);
        bool active = true;
        const Duration half_period = from_seconds(std::max(extra, 0.05));
        for (Duration at = from; at < to; at += half_period, active = !active) {
          step(at, active ? FaultStepKind::condition_on : FaultStepKind::condition_off, targets);
        }
        if (!active) {
          step(to, FaultStepKind::condition_off, targets);
        }
        break;
      }
      case FaultKind::reset:
        c.reset_share = std::min(size, 1.0);
        add_condition_steps();
        break;
      case FaultKind::spoilt:
        c.malformed_share = std::min(size, 1.0);
        add_condition_steps();
        break;
      case FaultKind::slow_peers:
        c.response_delay = from_seconds(extra);
        add_condition_steps();
        break;
      case FaultKind::stale_list:
        step(from, FaultStepKind::list_delay_increase, {}, size);
        step(to, FaultStepKind::list_delay_decrease, {}, size);
        targets.clear();
        break;
      case FaultKind::discovery_down:
        step(from, FaultStepKind::discovery_down, {});
        step(to, FaultStepKind::discovery_up, {});
        targets.clear();
        break;
      case FaultKind::gateway_roll: {
        targets = draw_indexes(random, count_of(share, gateways), gateways);
        std::vector<std::uint32_t> order = targets;
        random.shuffle(order);
        const std::size_t batch = count_of(std::min(size, 1.0), gateways);
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
      case FaultKind::drain:
        step(from, FaultStepKind::host_drain, targets);
        step(std::min(from + from_seconds(extra), to), FaultStepKind::host_stop, targets);
        step(to, FaultStepKind::host_start, targets);
        break;
      case FaultKind::replace:
        // Replaced one by one over the fault's length, as in a rolling release.
        for (std::size_t k = 0; k < targets.size(); ++k) {
          const Duration at = from + Duration(length.count() * static_cast<long>(k) /
                                              static_cast<long>(targets.size()));
          step(at, FaultStepKind::host_stop, {targets[k]});
          step(at + from_seconds(extra), FaultStepKind::host_add, {targets[k]});
        }
        break;
      case FaultKind::restart:
        step(from, FaultStepKind::host_stop, targets);
        step(from + from_seconds(extra), FaultStepKind::host_start, targets);
        break;
      case FaultKind::zone_loss: {
        auto zone = static_cast<std::uint32_t>(random.below(s.zones.size()));
        for (std::size_t z = 0; z < s.zones.size(); ++z) {
          if (s.zones[z].name == t.zone) {
            zone = static_cast<std::uint32_t>(z);
          }
        }
        targets.clear();
        std::vector<std::uint32_t> in_zone;
        for (std::size_t h = 0; h < hosts; ++h) {
          if (topology.hosts[h].zone == zone) {
            targets.push_back(static_cast<std::uint32_t>(h));
          }
        }
        for (std::size_t g = 0; g < gateways; ++g) {
          if (topology.gateway_zones[g] == zone) {
            in_zone.push_back(static_cast<std::uint32_t>(g));
          }
        }
        step(from, FaultStepKind::host_unreachable, targets);
        step(from, FaultStepKind::gateway_stop, in_zone);
        // The zone is back: its processes start again, cold.
        step(to, FaultStepKind::host_stop, targets);
        step(to, FaultStepKind::host_reachable, targets);
        step(to, FaultStepKind::host_start, targets);
        step(to, FaultStepKind::gateway_start, in_zone);
        break;
      }
      case FaultKind::silent_cut:
        step(from, FaultStepKind::host_unreachable, targets);
        step(to, FaultStepKind::host_reachable, targets);
        break;
    }
    schedule.conditions.push_back(c);
    schedule.intervals.push_back({std::string(name_of(t.kind)), from, to, targets.size()});
  }
  std::stable_sort(schedule.steps.begin(), schedule.steps.end(),
                   [](const FaultStep& a, const FaultStep& b) { return a.at < b.at; });
  return schedule;
}

}  // namespace gateway::lab
