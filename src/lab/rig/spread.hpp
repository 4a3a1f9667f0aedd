// How evenly the work of a fleet of gateways lands on its hosts, counted where it lands: at the
// hosts. Pure: counts in, figures out.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace gateway::lab {

// What reached each host in each slot of time: requests[t][h]. All rows of a table have a column a
// host.
struct HostArrivals {
  using Table = std::vector<std::vector<std::uint32_t>>;
  double slot_s = 1;  // length of a slot
  Table requests;
  Table peak_active;  // most held at once, seen at arrivals
  Table handshakes;   // connections that came up

  // Counts one thing at `at` seconds from the start; nothing before it. Hosts may still come to be.
  void add_request(double at, std::uint32_t host, std::size_t holds);
  void add_handshake(double at, std::uint32_t host);

 private:
  std::uint32_t& cell(Table& table, double at, std::uint32_t host);
};

// A table of HostArrivals, summed over whole seconds.
HostArrivals::Table by_second(const HostArrivals::Table& table, double slot_s);

struct Spread {
  double max_over_mean = 0;  // of the hosts' totals over the window; 1 is perfectly even
  double variation = 0;      // coefficient of variation of the totals: standard deviation over mean
  std::uint32_t idle = 0;    // hosts with under a quarter of the mean total
  double herd_peak = 0;  // most held at one host over the mean of the hosts' peaks; 0 without peaks
  double mean_requests = 0;           // requests a host over the window
  double handshakes_per_request = 0;  // for each request
};

// Over the time from `fromS` to `toS`, in whole slots, at `hosts` (empty: all that there are). A
// window without requests gives zeros.
Spread spread_of(const HostArrivals& landed, double from_s, double to_s,
                 const std::vector<std::size_t>& hosts = {});

nlohmann::json to_json(const Spread& spread);

}  // namespace gateway::lab
