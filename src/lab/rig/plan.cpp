#include "lab/rig/plan.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <stdexcept>

namespace fennelridge::lab {
namespace {

using nlohmann::json;

const std::vector<Field<RigFault>> kFault{
    {"from_s", "s", 0, 86400, "after the clients began", &RigFault::fromS},
    {"for_s", "s", 0.001, 86400, "then the links pass again", &RigFault::forS},
    {"gateways", "", 0, 0, "which: all, N, A-B, EVERY:OFFSET, joined by commas; !PART takes away",
     &RigFault::gatewaysText},
    {"to", "", 0, 0, "\"discovery\", \"hosts\" or \"gateways\" (what they tell each other)", &RigFault::to},
    {"others", "", 0, 0, "which other gateways, as for gateways; only with \"to\": \"gateways\"",
     &RigFault::othersText},
    {"hosts", "", 0, 0, "which, as for gateways; only with \"to\": \"hosts\"", &RigFault::hostsText},
    {"fault", "", 0, 0,
     "cut, reset, silent, silent-there, silent-back, delay=MS+JITTER, loss=SHARE, rate=KB_PER_S; between "
     "gateways also copy=SHARE, spoil=SHARE, and not cut, reset, rate",
     &RigFault::faultText}};

const std::vector<Field<RigMove>> kMove{
    {"at_s", "s", 0, 86400, "after the clients began", &RigMove::atS},
    {"for_s", "s", 0.001, 600, "paused, or down until it is started again", &RigMove::forS},
    {"over_s", "s", 0, 600, "the gateways' turns are spread over this time", &RigMove::overS},
    {"back_over_s", "s", 0, 600, "and their ways back over this much more", &RigMove::backOverS},
    {"gateways", "", 0, 0, "which: all, N, A-B, EVERY:OFFSET, joined by commas; !PART takes away",
     &RigMove::gatewaysText},
    {"what", "", 0, 0,
     "\"pause\" (SIGSTOP, SIGCONT), \"kill\" (SIGKILL) or \"stop\" (SIGTERM), then a new start",
     &RigMove::whatText}};

const std::vector<Field<RigBounds>> kBounds{
    {"served", "share", 0, 1, "of the worth in time, at least", &RigBounds::served},
    {"max_over_mean", "times", 1, 1000, "of requests at one host, at most", &RigBounds::maxOverMean},
    {"variation", "", 0, 1000, "coefficient of variation over the hosts, at most", &RigBounds::variation},
    {"idle_hosts", "", 0, 100000, "under a quarter of the mean, at most", &RigBounds::idleHosts},
    {"herd_peak", "times", 1, 1000,
     "most held at one host over the mean of the hosts' peaks, in the 2 s after gateways came back",
     &RigBounds::herdPeak},
    {"handshakes_per_request", "", 0, 100, "at most", &RigBounds::handshakesPerRequest},
    {"from_s", "s", 0, 86400, "spread is counted from here on", &RigBounds::fromS},
    {"retries_over", "uses", 0, 1e9, "of the fleet's retry budget beyond it in any window, at most",
     &RigBounds::retriesOver},
    {"limits_over", "uses", 0, 1e9, "of any limit beyond it in any window, at most", &RigBounds::limitsOver},
    {"detect_p99_s", "s", 0, 600, "until a killed gateway is doubted by another, at most",
     &RigBounds::detectP99S},
    {"false_deaths", "", 0, 1e9, "gateways held for dead that lived and were heard, at most",
     &RigBounds::falseDeaths},
    {"healed_s", "s", 0, 600, "after the last split until nobody holds a living one for dead, at most",
     &RigBounds::healedS},
    {"bytes_per_member_s", "B/s", 0, 1e9, "that a gateway tells others, in the mean, at most",
     &RigBounds::bytesPerMemberS},
    {"bytes_from_s", "s", 0, 86400, "these are counted from so long after a gateway's start",
     &RigBounds::bytesFromS},
    {"hosts_out", "", 0, 100000, "by the fleet's word at once, at most", &RigBounds::hostsOut},
    {"hosts_ever_out", "", 0, 100000, "by the fleet's word at any time, at least", &RigBounds::hostsEverOut}};

const std::vector<Field<RigPlan>> kPlan{
    {"name", "", 0, 0, "name of the play", &RigPlan::name},
    {"about", "", 0, 0, "what it shows, in a sentence", &RigPlan::about},
    {"scenario", "", 0, 0, "scenario file, named from this one's folder", &RigPlan::scenarioFile}};

std::uint32_t numberOf(std::string_view text, std::string_view part) {
  std::uint32_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size())
    throw std::invalid_argument("'" + std::string(part) +
                                "': want all, N, A-B or EVERY:OFFSET, joined by commas, ! takes away");
  return value;
}

template <class T, class Each>
void list(const json& object, const char* name, const std::vector<Field<T>>& table, std::vector<T>& into,
          std::vector<Mistake>& mistakes, Each each) {
  const auto it = object.find(name);
  if (it == object.end()) return;
  if (!it->is_array()) return mistakes.push_back({name, "should be a list [...]"});
  for (std::size_t i = 0; i < it->size(); ++i) {
    const std::string here = std::string(name) + "[" + std::to_string(i) + "]";
    readFields((*it)[i], table, {}, here, into.emplace_back(), mistakes);
    try {
      each(into.back(), here);
    } catch (const std::invalid_argument& bad) {
      mistakes.push_back({here, bad.what()});
    }
  }
}

}  // namespace

Pickout::Pickout(std::string_view text) {
  for (std::size_t at = 0; at <= text.size();) {
    const std::size_t comma = std::min(text.find(',', at), text.size());
    std::string_view part = text.substr(at, comma - at);
    const std::string_view whole = part;
    at = comma + 1;
    Part p;
    if (!part.empty() && part[0] == '!') p.without = true, part.remove_prefix(1);
    if (const auto colon = part.find(':'); colon != std::string_view::npos) {
      p.every = numberOf(part.substr(0, colon), whole);
      p.offset = numberOf(part.substr(colon + 1), whole);
      if (p.every == 0 || p.offset >= p.every)
        throw std::invalid_argument("'" + std::string(whole) + "': OFFSET should be under EVERY");
    } else if (const auto dash = part.find('-'); dash != std::string_view::npos) {
      p.first = numberOf(part.substr(0, dash), whole);
      p.last = numberOf(part.substr(dash + 1), whole);
      if (p.first > p.last)
        throw std::invalid_argument("'" + std::string(whole) + "': the first is the larger");
    } else if (part != "all") {
      p.first = p.last = numberOf(part, whole);
    }
    parts_.push_back(p);
  }
  if (std::all_of(parts_.begin(), parts_.end(), [](const Part& p) { return p.without; }))
    parts_.insert(parts_.begin(), Part{});
}

bool Pickout::has(std::uint32_t number) const {
  bool in = false;
  for (const Part& p : parts_) {
    const bool meant = number >= p.first && number <= p.last && number % p.every == p.offset;
    if (meant && p.without) return false;
    in |= meant;
  }
  return in;
}

std::vector<std::uint32_t> Pickout::of(std::uint32_t count) const {
  std::vector<std::uint32_t> out;
  for (std::uint32_t i = 0; i < count; ++i)
    if (has(i)) out.push_back(i);
  return out;
}

RigReading readRigPlan(const json& object) {
  RigReading out;
  RigPlan& p = out.plan;
  std::vector<Mistake>& m = out.mistakes;
  readFields(object, kPlan, {"set", "faults", "moves", "within", "fleet"}, "", p, m);
  if (!object.is_object()) return out;
  if (p.scenarioFile.empty()) m.push_back({"scenario", "is missing; it names a scenario file"});
  if (const auto set = object.find("set"); set != object.end()) {
    if (!set->is_object()) m.push_back({"set", "should be an object {\"FIELD\": VALUE, ...}"});
    else
      for (const auto& [field, value] : set->items()) p.set.push_back(field + "=" + value.dump());
  }
  if (const auto fleet = object.find("fleet"); fleet != object.end()) {
    if (!fleet->is_object()) m.push_back({"fleet", "should be an object {...}, as in an operator file"});
    else p.fleet = fleet->dump();
  }
  list(object, "faults", kFault, p.faults, m, [&](RigFault& f, const std::string& at) {
    if (f.to != "discovery" && !f.toHosts() && !f.toGateways())
      m.push_back({at + ".to", "is '" + f.to + "'; it should be \"discovery\", \"hosts\" or \"gateways\""});
    if (f.toGateways() && p.fleet.empty())
      m.push_back({at + ".to", "is \"gateways\", which tell each other nothing: \"fleet\" is missing"});
    f.others = Pickout(f.othersText);
    f.gateways = Pickout(f.gatewaysText);
    f.hosts = Pickout(f.hostsText);
    f.fault = readFault(f.faultText);
    if (f.forS <= 0) m.push_back({at + ".for_s", "is missing; how long the fault lasts, in s"});
  });
  list(object, "moves", kMove, p.moves, m, [&](RigMove& move, const std::string& at) {
    move.gateways = Pickout(move.gatewaysText);
    if (move.whatText == "pause") move.what = RigMove::What::pause;
    else if (move.whatText == "kill") move.what = RigMove::What::kill;
    else if (move.whatText == "stop") move.what = RigMove::What::stop;
    else m.push_back({at + ".what", "is '" + move.whatText + "'; it should be pause, kill or stop"});
  });
  if (const auto within = object.find("within"); within != object.end())
    readFields(*within, kBounds, {}, "within", p.within, m);
  return out;
}

RigReading loadRigPlan(const std::filesystem::path& path) {
  std::ifstream file(path);
  if (!file || std::filesystem::is_directory(path)) return {{}, {{"", "cannot be read as a file"}}};
  try {
    RigReading out = readRigPlan(json::parse(file));
    if (!out.plan.scenarioFile.empty())
      out.plan.scenarioFile = (path.parent_path() / out.plan.scenarioFile).lexically_normal().string();
    return out;
  } catch (const json::parse_error& bad) {
    std::string what = bad.what();
    if (const auto from = what.find("] "); from != std::string::npos) what = what.substr(from + 2);
    return {{}, {{"", "is not JSON: " + what}}};
  }
}

std::vector<FieldRow> describeRigPlan() {
  std::vector<FieldRow> rows;
  describeFields("rig", kPlan, rows);
  describeFields("rig.faults[]", kFault, rows);
  describeFields("rig.moves[]", kMove, rows);
  describeFields("rig.within", kBounds, rows);
  return rows;
}

}  // namespace fennelridge::lab
