#include "lab/rig/fleet_check.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>

namespace gateway::lab {
namespace {

using nlohmann::json;

constexpr double kMinUsesForFraction = 20;  // with fewer uses the used fraction says little
// Suspicions that begin during a partition may lead to deaths up to this long after it.
constexpr double kPartitionGraceSeconds = 20;

}  // namespace

bool FleetCheck::add_line(const std::string& member, std::string_view text) {
  const json v = json::parse(text.begin(), text.end(), nullptr, false);
  if (!v.is_object() || !v.contains("t") || !v.contains("ev")) {
    return false;
  }
  const double at = v["t"].get<double>() / 1000;
  if (at > end_) {
    return true;
  }
  ++lines_;
  logs_.insert(member);
  const std::string ev = v["ev"].get<std::string>();
  auto& starts = starts_[member];
  if (ev == "start") {
    starts.push_back(at);
  }
  const std::string incarnation = member + "/" + std::to_string(starts.size());
  if (ev == "used") {
    UsageEntry u{at, v.value("requests", 0.0), v.value("retries", 0.0), {}};
    if (const auto it = v.find("admitted"); it != v.end()) {
      for (const auto& [name, n] : it->items()) {
        u.admitted[name] = n.get<double>();
      }
    }
    usage_.push_back(std::move(u));
    refused_ += v.value("refused", std::uint64_t{0});
    if (v.contains("sent_bytes")) {
      const double bytes = v["sent_bytes"].get<double>();
      Traffic& t =
          traffic_.try_emplace(incarnation, Traffic{at, at, at, bytes, bytes}).first->second;
      t.last_at = at, t.last_bytes = bytes;
      if (at - t.start_at < bounds_.bytes_from_s) {
        t.first_at = at, t.first_bytes = bytes;
      }
      for (const char* gauge : {"overdrawn", "bad_payloads", "dropped"}) {
        gauges_[incarnation][gauge] = v.value(gauge, std::uint64_t{0});
      }
    }
  } else if (ev == "member") {
    member_events_.push_back({at, member, v.value("name", ""), v.value("to", "")});
  } else if (ev == "host_out" || ev == "host_back") {
    ejection_events_.push_back({at, member, v.value("host", ""), ev == "host_out"});
  }
  return true;
}

bool FleetCheck::add_file(const std::string& member, const std::filesystem::path& path) {
  std::ifstream in(path);
  if (!in) {
    return false;
  }
  for (std::string text; std::getline(in, text);) {
    add_line(member, text);
  }
  return true;
}

// The bound on every window from a to b:
//   used(a, b] <= granted(a - lifetime, b] + per_second * (b - a + lifetime)
// With running sums this is a difference of two prefixes, so one pass that keeps the minimum of the
// earlier prefixes finds the worst window.
FleetCheck::Use FleetCheck::check_budget(const std::vector<std::pair<double, double>>& used,
                                         const std::vector<std::pair<double, double>>& granted,
                                         double per_second, double token_lifetime_s) const {
  Use out;
  const double lifetime = token_lifetime_s + bounds_.slack_s;
  std::vector<std::pair<double, double>> use_sums;
  std::vector<std::pair<double, double>> granted_sums{{-1e18, 0}};
  double sum = 0;
  use_sums.reserve(used.size());
  for (const auto& [at, n] : used) {
    use_sums.emplace_back(at, sum += n);
  }
  double granted_sum = 0;
  for (const auto& [at, n] : granted) {
    granted_sums.emplace_back(at, granted_sum += n);
  }
  const auto granted_until = [&](double at) {
    auto it = std::upper_bound(granted_sums.begin(), granted_sums.end(), at,
                               [](double value, const auto& entry) { return value < entry.first; });
    return std::prev(it)->second;
  };
  out.used = static_cast<std::uint64_t>(sum);
  double min_start = 0;
  double before = 0;
  bool first = true;
  std::vector<std::pair<double, double>> starts;  // time, uses before it
  for (const auto& [at, total] : use_sums) {
    // A window that begins just before the uses of this entry.
    const double start = before - granted_until(at - lifetime) - per_second * (at - lifetime);
    min_start = first ? start : std::min(min_start, start);
    first = false;
    const double over = total - granted_until(at + bounds_.slack_s) - per_second * at - min_start;
    out.max_excess = out.max_excess == 0 && starts.empty() ? over : std::max(out.max_excess, over);
    starts.emplace_back(at, before);
    // The used fraction is computed for windows of a few lengths: all windows would take too long.
    for (const double length : {1.0, 3.0, 10.0, 30.0}) {
      const auto from =
          std::lower_bound(starts.begin(), starts.end(), at - length,
                           [](const auto& s, double value) { return s.first < value; });
      const double uses = total - from->second;
      const double allowed = granted_until(at + bounds_.slack_s) -
                             granted_until(from->first - lifetime) +
                             per_second * (at - from->first + lifetime);
      if (uses >= kMinUsesForFraction && allowed > 0) {
        out.max_used_fraction = std::max(out.max_used_fraction, uses / allowed);
      }
    }
    before = total;
  }
  return out;
}

// Until when members may regard the member killed at `at` as dead: its next start plus 5 s.
double FleetCheck::death_expected_until(const std::string& name, double at) const {
  const auto it = starts_.find(name);
  if (it != starts_.end()) {
    for (double start : it->second) {
      if (start > at) {
        return start + 5;
      }
    }
  }
  return 1e18;
}

// Whether a suspicion or death was caused by a kill or a partition.
bool FleetCheck::is_justified(const MemberEvent& s) const {
  for (const Kill& k : kills_) {
    if (k.name == s.name && s.at >= k.at && s.at <= death_expected_until(k.name, k.at) + 15) {
      return true;
    }
  }
  for (const auto& [from, to] : partitions_) {
    if (s.at >= from && s.at <= to + kPartitionGraceSeconds) {
      return true;
    }
  }
  return false;
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): too long
void FleetCheck::check_members(Report& r) const {
  for (const MemberEvent& s : member_events_) {
    if (s.to == "dead") {
      r.false_deaths += !is_justified(s);
    }
    if (s.to == "suspect") {
      r.false_suspicions += !is_justified(s);
    }
  }
  for (const Kill& k : kills_) {
    std::map<std::string, double> suspected_at;
    for (const MemberEvent& s : member_events_) {
      if (s.name == k.name && s.at >= k.at && (s.to == "suspect" || s.to == "dead")) {
        if (const auto [it, inserted] = suspected_at.try_emplace(s.member, s.at); !inserted) {
          it->second = std::min(it->second, s.at);
        }
      }
    }
    const double until = death_expected_until(k.name, k.at);
    for (const std::string& by : logs_) {
      const bool dead = std::any_of(kills_.begin(), kills_.end(), [&](const Kill& o) {
        return o.name == by && k.at + 5 >= o.at && k.at <= death_expected_until(by, o.at);
      });
      if (by == k.name || dead) {
        continue;
      }
      const auto it = suspected_at.find(by);
      if (it != suspected_at.end() && it->second < until) {
        r.detect_s.push_back(it->second - k.at);
      } else if (until > 1e17) {
        ++r.undetected;  // a member that restarted soon need not be suspected
      }
    }
  }
  if (partitions_.empty()) {
    return;
  }
  double end = 0;
  for (const auto& [from, to] : partitions_) {
    end = std::max(end, to);
  }
  std::map<std::pair<std::string, std::string>, std::pair<double, bool>>
      views;  // per observer and member: time and whether it is alive
  for (const MemberEvent& s : member_events_) {
    auto& [at, is_alive] = views[{s.member, s.name}];
    if (s.at < at) {
      continue;
    }
    at = s.at, is_alive = s.to != "dead";
  }
  r.recovery_s = 0;
  for (const auto& [pair, view] : views) {
    const bool killed =
        std::any_of(kills_.begin(), kills_.end(), [&, name = pair.second](const Kill& k) {
          return k.name == name && death_expected_until(name, k.at) > 1e17;
        });
    if (killed) {
      continue;
    }
    r.recovery_s = view.second ? std::max(r.recovery_s, view.first - end) : 1e9;
    if (!view.second) {
      return;
    }
  }
}

// NOLINTNEXTLINE(readability-function-size): too long
FleetCheck::Report FleetCheck::report() const {
  Report r;
  r.logs = logs_.size();
  r.lines = lines_;
  std::vector<UsageEntry> used = usage_;
  std::stable_sort(used.begin(), used.end(),
                   [](const UsageEntry& a, const UsageEntry& b) { return a.at < b.at; });
  std::vector<std::pair<double, double>> retries;
  std::vector<std::pair<double, double>> granted;
  std::map<std::string, std::vector<std::pair<double, double>>> admitted;
  for (const UsageEntry& u : used) {
    r.requests += static_cast<std::uint64_t>(u.requests);
    if (u.retries > 0) {
      retries.emplace_back(u.at, u.retries);
    }
    if (u.requests > 0) {
      granted.emplace_back(u.at, std::max(bounds_.retry_ratio, 0.0) * u.requests);
    }
    for (const auto& [name, n] : u.admitted) {
      if (n > 0) {
        admitted[name].emplace_back(u.at, n);
      }
    }
  }
  if (bounds_.retry_ratio >= 0) {
    r.retries = check_budget(retries, granted, 0, bounds_.retry_token_lifetime_s);
  }
  for (const auto& [name, per_second] : bounds_.limits) {
    r.limits[name] = check_budget(admitted[name], {}, per_second, bounds_.limit_token_lifetime_s);
  }
  check_members(r);
  r.refused = refused_;
  for (const auto& [incarnation, gauges] : gauges_) {
    r.retries_without_token += gauges.at("overdrawn");
    r.bad_payloads += gauges.at("bad_payloads");
    r.dropped += gauges.at("dropped");
  }
  double rates = 0;
  double count = 0;
  for (const auto& [incarnation, t] : traffic_) {
    if (t.last_at - t.first_at >= 2) {
      rates += (t.last_bytes - t.first_bytes) / (t.last_at - t.first_at), ++count;
    }
  }
  r.bytes_per_member = count > 0 ? rates / count : 0;
  std::vector<EjectionEvent> out = ejection_events_;
  std::stable_sort(out.begin(), out.end(),
                   [](const EjectionEvent& a, const EjectionEvent& b) { return a.at < b.at; });
  std::map<std::string, std::set<std::string>> ejected_by;
  for (const EjectionEvent& o : out) {
    if (o.out) {
      ejected_by[o.host].insert(o.member), r.hosts_ever_ejected.insert(o.host);
    } else if (ejected_by[o.host].erase(o.member); ejected_by[o.host].empty()) {
      ejected_by.erase(o.host);
    }
    r.max_hosts_ejected = std::max(r.max_hosts_ejected, ejected_by.size());
  }
  return r;
}

double quantile(std::vector<double> values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

json to_json(const FleetCheck::Report& r) {
  const auto use = [](const FleetCheck::Use& u) {
    return json{
        {"used", u.used}, {"worst_over", u.max_excess}, {"worst_share", u.max_used_fraction}};
  };
  json limits = json::object();
  for (const auto& [name, u] : r.limits) {
    limits[name] = use(u);
  }
  return {{"logs", r.logs},
          {"lines", r.lines},
          {"requests", r.requests},
          {"refused", r.refused},
          {"retries", use(r.retries)},
          {"limits", limits},
          {"overdrawn", r.retries_without_token},
          {"bad_payloads", r.bad_payloads},
          {"dropped", r.dropped},
          {"detect_p50_s", quantile(r.detect_s, 0.5)},
          {"detect_p99_s", quantile(r.detect_s, 0.99)},
          {"detections", r.detect_s.size()},
          {"undetected", r.undetected},
          {"false_deaths", r.false_deaths},
          {"false_doubts", r.false_suspicions},
          {"healed_s", r.recovery_s},
          {"bytes_per_member_s", r.bytes_per_member},
          {"hosts_out_most", r.max_hosts_ejected},
          {"hosts_ever_out", r.hosts_ever_ejected.size()}};
}

}  // namespace gateway::lab
