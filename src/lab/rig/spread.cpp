#include "lab/rig/spread.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <numeric>

namespace gateway::lab {
namespace {

using Table = HostArrivals::Table;

double cell_of(const Table& table, std::size_t slot, std::size_t host) {
  return slot < table.size() && host < table[slot].size() ? table[slot][host] : 0;
}

}  // namespace

std::uint32_t& HostArrivals::cell(Table& table, double at, std::uint32_t host) {
  const auto slot = static_cast<std::size_t>(at / slot_s);
  if (table.size() <= slot) {
    table.resize(slot + 1);
  }
  if (table[slot].size() <= host) {
    table[slot].resize(host + 1);
  }
  return table[slot][host];
}

void HostArrivals::add_request(double at, std::uint32_t host, std::size_t holds) {
  if (at < 0) {
    return;
  }
  ++cell(requests, at, host);
  std::uint32_t& most = cell(peak_active, at, host);
  most = std::max(most, static_cast<std::uint32_t>(holds));
}

void HostArrivals::add_handshake(double at, std::uint32_t host) {
  if (at >= 0) {
    ++cell(handshakes, at, host);
  }
}

Table by_second(const Table& table, double slot_s) {
  Table out;
  for (std::size_t slot = 0; slot < table.size(); ++slot) {
    const auto second = static_cast<std::size_t>(static_cast<double>(slot) * slot_s + 1e-9);
    if (out.size() <= second) {
      out.resize(second + 1);
    }
    if (out[second].size() < table[slot].size()) {
      out[second].resize(table[slot].size());
    }
    for (std::size_t h = 0; h < table[slot].size(); ++h) {
      out[second][h] += table[slot][h];
    }
  }
  return out;
}

Spread spread_of(const HostArrivals& landed, double from_s, double to_s,
                 const std::vector<std::size_t>& hosts) {
  const auto from = static_cast<std::size_t>(std::max(from_s / landed.slot_s + 1e-9, 0.0));
  const auto to = std::min(static_cast<std::size_t>(std::max(to_s / landed.slot_s + 1e-9, 0.0)),
                           landed.requests.size());
  std::vector<std::size_t> chosen = hosts;
  if (chosen.empty()) {
    std::size_t count = 0;
    for (const auto& row : landed.requests) {
      count = std::max(count, row.size());
    }
    chosen.resize(count);
    std::iota(chosen.begin(), chosen.end(), std::size_t{0});
  }
  Spread out;
  std::vector<double> totals(chosen.size(), 0);
  std::vector<double> peaks(chosen.size(), 0);
  double handshakes = 0;
  for (std::size_t s = from; s < to; ++s) {
    for (std::size_t i = 0; i < chosen.size(); ++i) {
      totals[i] += cell_of(landed.requests, s, chosen[i]);
      peaks[i] = std::max(peaks[i], cell_of(landed.peak_active, s, chosen[i]));
      handshakes += cell_of(landed.handshakes, s, chosen[i]);
    }
  }
  const auto n = static_cast<double>(chosen.size());
  const double all = std::accumulate(totals.begin(), totals.end(), 0.0);
  if (all <= 0) {
    return out;
  }
  out.mean_requests = all / n;
  out.handshakes_per_request = handshakes / all;
  double squares = 0;
  for (double t : totals) {
    squares += (t - out.mean_requests) * (t - out.mean_requests);
    out.idle += t < out.mean_requests / 4 ? 1 : 0;
  }
  out.max_over_mean = *std::max_element(totals.begin(), totals.end()) / out.mean_requests;
  out.variation = std::sqrt(squares / n) / out.mean_requests;
  const double mean_peak = std::accumulate(peaks.begin(), peaks.end(), 0.0) / n;
  if (mean_peak > 0) {
    out.herd_peak = *std::max_element(peaks.begin(), peaks.end()) / mean_peak;
  }
  return out;
}

nlohmann::json to_json(const Spread& s) {
  return {{"max_over_mean", s.max_over_mean},
          {"variation", s.variation},
          {"idle_hosts", s.idle},
          {"herd_peak", s.herd_peak},
          {"mean", s.mean_requests},
          {"handshakes_per_request", s.handshakes_per_request}};
}

}  // namespace gateway::lab
