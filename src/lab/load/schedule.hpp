// The due time and contents of each request of a load. Due times do not depend on responses, so a
// server that stalls cannot slow the load down and thereby hide its own latency.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/model/event_queue.hpp"

namespace gateway::lab {

// A request with its due time.
struct DueRequest {
  Duration at{};          // due time, from the start of the load
  std::string cls;        // name of the class, also used as the path
  double work_us = 0;     // microseconds of work on a core of speed 1
  std::uint64_t key = 0;  // 0: no key
};

// An iterator over the requests of a load.
class Schedule {
 public:
  virtual ~Schedule() = default;
  // Writes the next request, in order of due time, to `request`. False: there is none left.
  virtual bool next(DueRequest& request) = 0;
  // Duration of all stages, or due time of the last request of a trace.
  virtual Duration length() const = 0;
};

// A part of a load with a constant rate.
struct Stage {
  double rate = 0, seconds = 0;  // requests a second; duration
};

// Reads "RATExSECONDS,...", such as "1000x5,20000x2". Throws std::invalid_argument with one line of
// explanation.
std::vector<Stage> read_stages(const std::string& text);

// Sends copies of `request` at the rates of `stages`, one stage after another: as a Poisson process
// if `poisson`, else evenly spaced.
std::unique_ptr<Schedule> staged(std::vector<Stage> stages, DueRequest request, bool poisson,
                                 std::uint64_t seed);

// Replays a trace: lines of seconds, class, work in microseconds and hexadecimal key, separated by
// tabs. Empty lines and lines that begin with # are ignored. Throws std::invalid_argument with a
// line "FILE:LINE: ERROR" for each of the first ten errors.
std::unique_ptr<Schedule> replayed(const std::string& file);
// Writes `request` as a line of a trace.
void write_trace_line(std::ostream& out, const DueRequest& request);

}  // namespace gateway::lab
