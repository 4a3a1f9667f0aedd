// Measures how evenly a fleet of gateways spreads requests over the hosts, from counts made at the
// hosts. Pure: no I/O and no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace gateway::lab {

// Counts per time slot and host: requests[slot][host]. A row has no columns for hosts beyond the
// last one counted in that slot; missing cells count as 0.
struct HostArrivals {
  using Table = std::vector<std::vector<std::uint32_t>>;
  double slot_s = 1;  // length of a slot
  Table requests;
  Table peak_active;  // most requests in progress at once, sampled at arrivals
  Table handshakes;   // accepted connections

  // Count one request or handshake at `at` seconds from the start; negative times are ignored.
  // `host` may be an index not seen before. `active`: requests in progress at the host.
  void add_request(double at, std::uint32_t host, std::size_t active);
  void add_handshake(double at, std::uint32_t host);

 private:
  std::uint32_t& cell(Table& table, double at, std::uint32_t host);
};

// A table of HostArrivals, summed over each whole second.
HostArrivals::Table by_second(const HostArrivals::Table& table, double slot_s);

struct Spread {
  double max_over_mean = 0;  // of the hosts' totals over the window; 1 is perfectly even
  double variation = 0;      // coefficient of variation of the totals: standard deviation over mean
  std::uint32_t idle = 0;    // hosts with less than a quarter of the mean total
  double herd_peak =
      0;  // highest peak of requests in progress over the mean peak of the hosts; 0 without peaks
  double mean_requests = 0;           // requests per host in the window
  double handshakes_per_request = 0;  // connections per request
};

// The spread between `from_s` and `to_s`, in whole slots, over `hosts` (empty: all hosts counted).
// A window without requests gives zeros.
Spread spread_of(const HostArrivals& landed, double from_s, double to_s,
                 const std::vector<std::size_t>& hosts = {});

nlohmann::json to_json(const Spread& spread);

}  // namespace gateway::lab
