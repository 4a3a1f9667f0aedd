#include "lab/rig/spread.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <numeric>
#include <stdexcept>

namespace fennelridge::lab {

Spread spreadOf(const Landed& landed, std::size_t from, std::size_t to,
                const std::vector<std::size_t>& hosts) {
  to = std::min(to, landed.seconds.size());
  std::vector<std::size_t> chosen = hosts;
  if (chosen.empty() && from < to) {
    chosen.resize(landed.seconds[from].size());
    std::iota(chosen.begin(), chosen.end(), std::size_t{0});
  }
  Spread out;
  if (chosen.empty() || from >= to) return out;
  std::vector<double> totals(chosen.size(), 0), peaks(chosen.size(), 0);
  for (std::size_t s = from; s < to; ++s)
    for (std::size_t i = 0; i < chosen.size(); ++i) {
      if (chosen[i] >= landed.seconds[s].size()) throw std::invalid_argument("spreadOf: a row lacks a host");
      totals[i] += landed.seconds[s][chosen[i]];
      if (s < landed.peak.size() && chosen[i] < landed.peak[s].size())
        peaks[i] = std::max(peaks[i], static_cast<double>(landed.peak[s][chosen[i]]));
    }
  const double n = static_cast<double>(chosen.size());
  out.mean = std::accumulate(totals.begin(), totals.end(), 0.0) / n;
  if (out.mean <= 0) return out;
  double squares = 0;
  for (double t : totals) {
    squares += (t - out.mean) * (t - out.mean);
    out.idle += t < out.mean / 4 ? 1 : 0;
  }
  out.maxOverMean = *std::max_element(totals.begin(), totals.end()) / out.mean;
  out.variation = std::sqrt(squares / n) / out.mean;
  const double meanPeak = std::accumulate(peaks.begin(), peaks.end(), 0.0) / n;
  if (meanPeak > 0) out.herdPeak = *std::max_element(peaks.begin(), peaks.end()) / meanPeak;
  return out;
}

nlohmann::json toJson(const Spread& s) {
  return {{"max_over_mean", s.maxOverMean},
          {"variation", s.variation},
          {"idle_hosts", s.idle},
          {"herd_peak", s.herdPeak},
          {"mean", s.mean}};
}

}  // namespace fennelridge::lab
