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

void HostArrivals::add_request(double at, std::uint32_t host, std::size_t active) {
  if (at < 0) {
    return;
  }
  ++cell(requests, at, host);
  std::uint32_t& peak = cell(peak_active, at, host);
  peak = std::max(peak, static_cast<std::uint32_t>(active));
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

Spread spread_of(const HostArrivals& arrivals, double from_s, double to_s,
                 const std::vector<std::size_t>& hosts) {
  const auto from = static_cast<std::size_t>(std::max(from_s / arrivals.slot_s + 1e-9, 0.0));
  const auto to = std::min(static_cast<std::size_t>(std::max(to_s / arrivals.slot_s + 1e-9, 0.0)),
                           arrivals.requests.size());
  std::vector<std::size_t> selected = hosts;
  if (selected.empty()) {
    std::size_t count = 0;
    for (const auto& row : arrivals.requests) {
      count = std::max(count, row.size());
    }
    selected.resize(count);
    std::iota(selected.begin(), selected.end(), std::size_t{0});
  }
  Spread out;
  std::vector<double> totals(selected.size(), 0);
  std::vector<double> peaks(selected.size(), 0);
  double handshakes = 0;
  for (std::size_t s = from; s < to; ++s) {
    for (std::size_t i = 0; i < selected.size(); ++i) {
      totals[i] += cell_of(arrivals.requests, s, selected[i]);
      peaks[i] = std::max(peaks[i], cell_of(arrivals.peak_active, s, selected[i]));
      handshakes += cell_of(arrivals.handshakes, s, selected[i]);
    }
  }
  const auto host_count = static_cast<double>(selected.size());
  const double total = std::accumulate(totals.begin(), totals.end(), 0.0);
  if (total <= 0) {
    return out;
  }
  out.mean_requests = total / host_count;
  out.handshakes_per_request = handshakes / total;
  double squares = 0;
  for (double t : totals) {
    squares += (t - out.mean_requests) * (t - out.mean_requests);
    out.idle += t < out.mean_requests / 4 ? 1 : 0;
  }
  out.max_over_mean = *std::max_element(totals.begin(), totals.end()) / out.mean_requests;
  out.variation = std::sqrt(squares / host_count) / out.mean_requests;
  const double mean_peak = std::accumulate(peaks.begin(), peaks.end(), 0.0) / host_count;
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
