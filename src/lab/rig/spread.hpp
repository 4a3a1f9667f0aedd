// How evenly the work of a fleet of gateways lands on its hosts, counted where it lands: at the hosts.
// Pure: counts in, figures out. The figures are those of issue 24 and docs/results/even-spread.md.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace fennelridge::lab {

// Requests that reached each host in each second: seconds[s][h]. Every row has one column a host.
struct Landed {
  std::vector<std::vector<std::uint32_t>> seconds;
  std::vector<std::vector<std::uint32_t>> peak;  // most requests held at once, same shape; may be empty
};

struct Spread {
  double maxOverMean = 0;  // of the hosts' totals over the window; 1 is perfectly even
  double variation = 0;    // coefficient of variation of the totals: standard deviation over mean
  std::uint32_t idle = 0;  // hosts with under a quarter of the mean total
  double herdPeak = 0;     // most held at one host over the mean of the hosts' peaks; 0 without peaks
  double mean = 0;         // requests a host over the window
};

// Over seconds [from, to) of `landed`, hosts in `hosts` only (indices into a row; empty: all). A window
// without requests gives zeros. Throws std::invalid_argument when a row is shorter than a host index.
Spread spreadOf(const Landed& landed, std::size_t from, std::size_t to,
                const std::vector<std::size_t>& hosts = {});

nlohmann::json toJson(const Spread& spread);

}  // namespace fennelridge::lab
