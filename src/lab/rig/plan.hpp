// A rig file: the scenario that many real gateways run, the faults on their links, what is done to
// their processes, and the bounds on the results. Reading a plan reports every error in it.
#pragma once

#include <cstdint>
#include <filesystem>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lab/faults/fault.hpp"
#include "lab/scenario/fields.hpp"
#include "lab/scenario/scenario.hpp"

namespace gateway::lab {

// A set of indices given as text: parts joined by commas, each "all", "N", "A-B" or "EVERY:OFFSET"
// (indices whose remainder modulo EVERY is OFFSET). A part with a leading "!" is excluded; with
// only such parts the set starts from all indices.
class IndexSet {
 public:
  IndexSet() = default;  // empty
  // Throws std::invalid_argument with a one-line message that names the accepted form.
  explicit IndexSet(std::string_view text);
  bool contains(std::uint32_t number) const;
  std::vector<std::uint32_t> below(std::uint32_t count) const;  // the members less than `count`

 private:
  struct Part {
    std::uint32_t first = 0, last = UINT32_MAX, every = 1, offset = 0;
    bool excluded = false;
  };
  std::vector<Part> parts_;
};

// A fault on the links between some gateways and their discovery, some hosts, or other gateways.
// The texts are the fields of the file; the parsed forms follow them.
struct RigFault {
  double from_s = 0, for_s = 0;
  std::string gateways_text = "all", hosts_text = "all", others_text = "all", to = "discovery";
  std::string fault_text = "cut";
  IndexSet gateways, hosts, others;
  Fault fault;
  bool to_hosts() const { return to == "hosts"; }
  bool to_gateways() const { return to == "gateways"; }
};

// A signal or restart applied to some gateway processes.
struct RigMove {
  double at_s = 0, for_s = 1;
  double over_s = 0, back_over_s = 0;  // begins, and ends, are spread over this long
  std::string gateways_text = "all", what_text = "kill";
  IndexSet gateways;
  enum class What { pause, kill, stop } what = What::kill;
};

// Bounds on the results of a run; a negative bound is not checked.
struct RigBounds {
  double served = -1;  // minimum share of the value earned in time
  double max_over_mean = -1, variation = -1, idle_hosts = -1;  // maxima
  double herd_peak =
      -1;  // maximum, in the 2 s after gateways are ready again; without moves, over the run
  double handshakes_per_request = -1;  // maximum
  double from_s = 0;                   // the spread is counted from here on
  // Maxima from the gateways' fleet logs; see FleetCheck. retries_over and limits_over: uses beyond
  // the budget or a limit in any window.
  double retries_over = -1, limits_over = -1, detect_p99_s = -1, false_deaths = -1, healed_s = -1;
  double bytes_per_member_s = -1, hosts_out = -1;  // maxima
  double bytes_from_s = 0;     // bytes are counted from this long after a gateway's start
  double hosts_ever_out = -1;  // minimum
};

struct RigPlan {
  std::string name = "unnamed", about, scenario_file;
  std::vector<std::string> overrides;  // "FIELD=VALUE" for the scenario, in the form of --set
  std::vector<RigFault> faults;
  std::vector<RigMove> moves;
  std::string fleet;  // operator file of the gateways as JSON, without names and addresses; empty:
                      // no shared state
  RigBounds bounds;
};

struct RigReading {
  RigPlan plan;
  std::vector<ValidationError> errors;  // if not empty, the plan is not valid
};
RigReading read_rig_plan(const nlohmann::json& json);
RigReading load_rig_plan(
    const std::filesystem::path& file);  // scenario_file is resolved against the folder of `file`

std::vector<FieldRow> describe_rig_plan();  // all fields of a rig file, for the help

}  // namespace gateway::lab
