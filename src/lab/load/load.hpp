// An open-loop load generator: sends requests on a fixed schedule and measures each latency from
// the due time of the request, so that a delay before the sending counts too.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <vector>

#include "lab/analysis/run_metrics.hpp"
#include "lab/load/schedule.hpp"

namespace gateway::lab {

// Counts since the start of the load.
struct LoadCounts {
  std::uint64_t due = 0;         // requests of the schedule that have become due
  std::uint64_t served = 0;      // responses with a 2xx status
  std::uint64_t refused = 0;     // responses with status 429 or 503
  std::uint64_t failed = 0;      // responses with any other status
  std::uint64_t broken = 0;      // not connected, or disconnected before the complete response
  std::uint64_t unanswered = 0;  // no response within `patience`, or none before the load stopped
  std::uint64_t late = 0;    // reached by the generator itself more than kLate after the due time
  std::uint64_t waited = 0;  // not sent at once because no connection was available
  std::uint64_t connected = 0;  // connections opened, including failed ones
};

struct LoadOptions {
  std::vector<boost::asio::ip::tcp::endpoint> to;  // targets, used round robin; not empty
  unsigned connections = 64;                       // maximum open at once, for each target
  double fresh = 0;   // fraction of requests sent on a new connection, 0 to 1
  bool post = false;  // POST with a small body, else GET
  Duration deadline = std::chrono::seconds(2);         // sent in X-Deadline-Ms
  Duration patience = std::chrono::seconds(5);         // response timeout, from the sending
  std::uint64_t seed = 1;                              // of the random choice by `fresh`
  std::function<bool()> stopped;                       // polled once a second; true stops the load
  std::function<void(const LoadCounts&)> each_second;  // called once a second
};

struct LoadResult {
  // Delay beyond which a request counts as late.
  static constexpr Duration kLate = std::chrono::milliseconds(5);
  // Largest fraction of late requests with which the schedule counts as kept.
  static constexpr double kMaxLateFraction = 0.01;

  LoadCounts counts;
  // Latency in milliseconds of every request with a response.
  Latency from_due = make_latency(), from_sent = make_latency();
  Duration worst_late{};   // longest delay of the generator itself behind its schedule
  double seconds = 0;      // duration of the load, until its last response or its stop
  double cpu_seconds = 0;  // CPU time of the sending thread
  bool stopped = false;    // LoadOptions::stopped ended the load early

  bool kept_schedule() const {
    return static_cast<double>(counts.late) <= kMaxLateFraction * static_cast<double>(counts.due);
  }
};

// Sends all requests of `schedule` and waits for their responses. Runs in the calling thread, which
// it keeps busy while the next request is due within 2 ms.
LoadResult send_load(Schedule& schedule, const LoadOptions& options);

}  // namespace gateway::lab
