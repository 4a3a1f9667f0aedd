// A rig file: which scenario many real gateways play, what is put between them and the other
// parties, what is done to their processes, and within which bounds the day has to end. Pure;
// reading says every mistake.
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

// Some of a numbered row, as text: parts joined by commas, each "all", "N", "A-B", or
// "EVERY:OFFSET" (those whose number modulo EVERY is OFFSET); one part with a "!" before it is
// taken away from the others.
class IndexSet {
 public:
  IndexSet() = default;  // none
  // Throws std::invalid_argument with one line on what would be right.
  explicit IndexSet(std::string_view text);
  bool contains(std::uint32_t number) const;
  std::vector<std::uint32_t> below(std::uint32_t count) const;  // those under `count`

 private:
  struct Part {
    std::uint32_t first = 0, last = UINT32_MAX, every = 1, offset = 0;
    bool without = false;
  };
  std::vector<Part> parts_;
};

struct RigFault {  // on the links between some gateways and their discovery, some hosts, or other
                   // gateways
  double from_s = 0, for_s = 0;
  std::string gateways_text = "all", hosts_text = "all", others_text = "all", to = "discovery";
  std::string fault_text = "cut";
  IndexSet gateways, hosts, others;
  Fault fault;
  bool to_hosts() const { return to == "hosts"; }
  bool to_gateways() const { return to == "gateways"; }
};

struct RigMove {  // of gateway processes
  double at_s = 0, for_s = 1;
  double over_s = 0, back_over_s = 0;  // the turns, and the ways back, are spread over so long
  std::string gateways_text = "all", what_text = "kill";
  IndexSet gateways;
  enum class What { pause, kill, stop } what = What::kill;
};

struct RigBounds {     // of a day; a negative figure is not judged
  double served = -1;  // least share of the worth earned in time
  double max_over_mean = -1, variation = -1, idle_hosts = -1;  // most
  double herd_peak = -1;  // most, in the 2 s after gateways came back; without any, over the day
  double handshakes_per_request = -1;  // most
  double from_s = 0;                   // spread is counted from here on
  // Of what the gateways' logs show; see FleetCheck. `over`: uses beyond the budget, or a limit, in
  // any window.
  double retries_over = -1, limits_over = -1, detect_p99_s = -1, false_deaths = -1, healed_s = -1;
  double bytes_per_member_s = -1, hosts_out = -1;  // most
  double bytes_from_s = 0;     // bytes are counted from so long after a gateway's start
  double hosts_ever_out = -1;  // least
};

struct RigPlan {
  std::string name = "unnamed", about, scenario_file;
  std::vector<std::string> overrides;  // assignments to the scenario's fields, as --set takes them
  std::vector<RigFault> faults;
  std::vector<RigMove> moves;
  std::string
      fleet;  // operator file of the gateways as JSON, without names and addresses; empty: none
  RigBounds bounds;
};

struct RigReading {
  RigPlan plan;
  std::vector<ValidationError> errors;  // if any, the plan is not to be used
};
RigReading read_rig_plan(const nlohmann::json& json);
RigReading load_rig_plan(
    const std::filesystem::path& file);  // scenarioFile is made relative to the file's folder

std::vector<FieldRow> describe_rig_plan();

}  // namespace gateway::lab
