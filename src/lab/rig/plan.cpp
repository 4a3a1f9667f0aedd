#include "lab/rig/plan.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <stdexcept>

namespace gateway::lab {
namespace {

using nlohmann::json;

const std::vector<Field<RigFault>> kFault{
    {"from_s", "s", 0, 86400, "after the clients began", &RigFault::from_s},
    {"for_s", "s", 0.001, 86400, "duration; the links work normally afterwards", &RigFault::for_s},
    {"gateways", "", 0, 0, "which: all, N, A-B, EVERY:OFFSET, joined by commas; !PART excludes",
     &RigFault::gateways_text},
    {"to", "", 0, 0, R"("discovery", "hosts" or "gateways" (the datagrams between them))",
     &RigFault::to},
    {"others", "", 0, 0, R"(which other gateways, as for gateways; only with "to": "gateways")",
     &RigFault::others_text},
    {"hosts", "", 0, 0, R"(which, as for gateways; only with "to": "hosts")",
     &RigFault::hosts_text},
    {"fault", "", 0, 0,
     "cut, reset, silent, silent-there, silent-back, delay=MS+JITTER, loss=SHARE, rate=KB_PER_S; "
     "between "
     "gateways also copy=SHARE, spoil=SHARE, and not cut, reset, rate",
     &RigFault::fault_text}};

const std::vector<Field<RigMove>> kMove{
    {"at_s", "s", 0, 86400, "after the clients began", &RigMove::at_s},
    {"for_s", "s", 0.001, 600, "duration of the pause, or of the time until the restart",
     &RigMove::for_s},
    {"over_s", "s", 0, 600, "the moves of the gateways begin spread over this time",
     &RigMove::over_s},
    {"back_over_s", "s", 0, 600, "and end spread over this much additional time",
     &RigMove::back_over_s},
    {"gateways", "", 0, 0, "which: all, N, A-B, EVERY:OFFSET, joined by commas; !PART excludes",
     &RigMove::gateways_text},
    {"what", "", 0, 0,
     R"("pause" (SIGSTOP, SIGCONT), "kill" (SIGKILL) or "stop" (SIGTERM), then a restart)",
     &RigMove::what_text}};

const std::vector<Field<RigBounds>> kBounds{
    {"served", "share", 0, 1, "of the value earned in time, at least", &RigBounds::served},
    {"max_over_mean", "times", 1, 1000, "of requests at one host, at most",
     &RigBounds::max_over_mean},
    {"variation", "", 0, 1000, "coefficient of variation over the hosts, at most",
     &RigBounds::variation},
    {"idle_hosts", "", 0, 100000, "hosts with less than a quarter of the mean, at most",
     &RigBounds::idle_hosts},
    {"herd_peak", "times", 1, 1000,
     "highest peak of active requests over the mean peak of the hosts, in the 2 s after gateways "
     "are ready again",
     &RigBounds::herd_peak},
    {"handshakes_per_request", "", 0, 100, "at most", &RigBounds::handshakes_per_request},
    {"from_s", "s", 0, 86400, "the spread is counted from here on", &RigBounds::from_s},
    {"retries_over", "uses", 0, 1e9, "of the fleet's retry budget beyond it in any window, at most",
     &RigBounds::retries_over},
    {"limits_over", "uses", 0, 1e9, "of any limit beyond it in any window, at most",
     &RigBounds::limits_over},
    {"detect_p99_s", "s", 0, 600, "until a killed gateway is suspected by another, at most",
     &RigBounds::detect_p99_s},
    {"false_deaths", "", 0, 1e9, "live and reachable gateways declared dead, at most",
     &RigBounds::false_deaths},
    {"healed_s", "s", 0, 600,
     "from the end of the last partition until no live gateway is regarded as dead, at most",
     &RigBounds::healed_s},
    {"bytes_per_member_s", "B/s", 0, 1e9, "that a gateway sends to the others, mean, at most",
     &RigBounds::bytes_per_member_s},
    {"bytes_from_s", "s", 0, 86400, "bytes are counted from this long after a gateway's start",
     &RigBounds::bytes_from_s},
    {"hosts_out", "", 0, 100000, "hosts ejected by the fleet at once, at most",
     &RigBounds::hosts_out},
    {"hosts_ever_out", "", 0, 100000, "hosts ejected by the fleet at any time, at least",
     &RigBounds::hosts_ever_out}};

const std::vector<Field<RigPlan>> kPlan{
    {"name", "", 0, 0, "name of the run", &RigPlan::name},
    {"about", "", 0, 0, "what it shows, in one sentence", &RigPlan::about},
    {"scenario", "", 0, 0, "scenario file, named from this one's folder", &RigPlan::scenario_file}};

std::uint32_t number_of(std::string_view text, std::string_view part) {
  std::uint32_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) {
    throw std::invalid_argument(
        "'" + std::string(part) +
        "': expected all, N, A-B or EVERY:OFFSET, joined by commas, !PART excludes");
  }
  return value;
}

template <class T, class Each>
void list(const json& object, const char* name, const std::vector<Field<T>>& table,
          std::vector<T>& into, std::vector<ValidationError>& mistakes, Each each) {
  const auto it = object.find(name);
  if (it == object.end()) {
    return;
  }
  if (!it->is_array()) {
    return mistakes.push_back({name, "should be a list [...]"});
  }
  for (std::size_t i = 0; i < it->size(); ++i) {
    const std::string here = std::string(name) + "[" + std::to_string(i) + "]";
    read_fields((*it)[i], table, {}, here, into.emplace_back(), mistakes);
    try {
      each(into.back(), here);
    } catch (const std::invalid_argument& bad) {
      mistakes.push_back({here, bad.what()});
    }
  }
}

}  // namespace

IndexSet::IndexSet(std::string_view text) {
  for (std::size_t at = 0; at <= text.size();) {
    const std::size_t comma = std::min(text.find(',', at), text.size());
    std::string_view part = text.substr(at, comma - at);
    const std::string_view whole = part;
    at = comma + 1;
    Part p;
    if (!part.empty() && part[0] == '!') {
      p.excluded = true, part.remove_prefix(1);
    }
    if (const auto colon = part.find(':'); colon != std::string_view::npos) {
      p.every = number_of(part.substr(0, colon), whole);
      p.offset = number_of(part.substr(colon + 1), whole);
      if (p.every == 0 || p.offset >= p.every) {
        throw std::invalid_argument("'" + std::string(whole) + "': OFFSET should be under EVERY");
      }
    } else if (const auto dash = part.find('-'); dash != std::string_view::npos) {
      p.first = number_of(part.substr(0, dash), whole);
      p.last = number_of(part.substr(dash + 1), whole);
      if (p.first > p.last) {
        throw std::invalid_argument("'" + std::string(whole) + "': the first is the larger");
      }
    } else if (part != "all") {
      p.first = p.last = number_of(part, whole);
    }
    parts_.push_back(p);
  }
  if (std::all_of(parts_.begin(), parts_.end(), [](const Part& p) { return p.excluded; })) {
    parts_.insert(parts_.begin(), Part{});
  }
}

bool IndexSet::contains(std::uint32_t number) const {
  bool in = false;
  for (const Part& p : parts_) {
    const bool matches = number >= p.first && number <= p.last && number % p.every == p.offset;
    if (matches && p.excluded) {
      return false;
    }
    in |= matches;
  }
  return in;
}

std::vector<std::uint32_t> IndexSet::below(std::uint32_t count) const {
  std::vector<std::uint32_t> out;
  for (std::uint32_t i = 0; i < count; ++i) {
    if (contains(i)) {
      out.push_back(i);
    }
  }
  return out;
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): too long
RigReading read_rig_plan(const json& object) {
  RigReading out;
  RigPlan& p = out.plan;
  std::vector<ValidationError>& m = out.errors;
  read_fields(object, kPlan, {"set", "faults", "moves", "within", "fleet"}, "", p, m);
  if (!object.is_object()) {
    return out;
  }
  if (p.scenario_file.empty()) {
    m.push_back({"scenario", "is missing; it names a scenario file"});
  }
  if (const auto set = object.find("set"); set != object.end()) {
    if (!set->is_object()) {
      m.push_back({"set", "should be an object {\"FIELD\": VALUE, ...}"});
    } else {
      for (const auto& [field, value] : set->items()) {
        p.overrides.push_back(field + "=" + value.dump());
      }
    }
  }
  if (const auto fleet = object.find("fleet"); fleet != object.end()) {
    if (!fleet->is_object()) {
      m.push_back({"fleet", "should be an object {...}, as in an operator file"});
    } else {
      p.fleet = fleet->dump();
    }
  }
  list(object, "faults", kFault, p.faults, m, [&](RigFault& f, const std::string& at) {
    if (f.to != "discovery" && !f.to_hosts() && !f.to_gateways()) {
      m.push_back(
          {at + ".to", "is '" + f.to + R"('; it should be "discovery", "hosts" or "gateways")"});
    }
    if (f.to_gateways() && p.fleet.empty()) {
      m.push_back(
          {at + ".to", R"(is "gateways", which requires shared state: "fleet" is missing)"});
    }
    f.others = IndexSet(f.others_text);
    f.gateways = IndexSet(f.gateways_text);
    f.hosts = IndexSet(f.hosts_text);
    f.fault = read_fault(f.fault_text);
    if (f.for_s <= 0) {
      m.push_back({at + ".for_s", "is missing; expected the duration of the fault in s"});
    }
  });
  list(object, "moves", kMove, p.moves, m, [&](RigMove& move, const std::string& at) {
    move.gateways = IndexSet(move.gateways_text);
    if (move.what_text == "pause") {
      move.what = RigMove::What::pause;
    } else if (move.what_text == "kill") {
      move.what = RigMove::What::kill;
    } else if (move.what_text == "stop") {
      move.what = RigMove::What::stop;
    } else {
      m.push_back({at + ".what", "is '" + move.what_text + "'; it should be pause, kill or stop"});
    }
  });
  if (const auto within = object.find("within"); within != object.end()) {
    read_fields(*within, kBounds, {}, "within", p.bounds, m);
  }
  return out;
}

RigReading load_rig_plan(const std::filesystem::path& path) {
  std::ifstream file(path);
  if (!file || std::filesystem::is_directory(path)) {
    return {{}, {{"", "cannot be read as a file"}}};
  }
  try {
    RigReading out = read_rig_plan(json::parse(file));
    if (!out.plan.scenario_file.empty()) {
      out.plan.scenario_file =
          (path.parent_path() / out.plan.scenario_file).lexically_normal().string();
    }
    return out;
  } catch (const json::parse_error& bad) {
    std::string what = bad.what();
    if (const auto from = what.find("] "); from != std::string::npos) {
      what = what.substr(from + 2);
    }
    return {{}, {{"", "is not JSON: " + what}}};
  }
}

std::vector<FieldRow> describe_rig_plan() {
  std::vector<FieldRow> rows;
  describe_fields("rig", kPlan, rows);
  describe_fields("rig.faults[]", kFault, rows);
  describe_fields("rig.moves[]", kMove, rows);
  describe_fields("rig.within", kBounds, rows);
  return rows;
}

}  // namespace gateway::lab
