#include "lab/rig/fleet_check.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>

namespace gateway::lab {
namespace {

using nlohmann::json;

constexpr double kManyUses = 20;     // fewer say little of a share
constexpr double kAfterSplitS = 20;  // suspicions and deaths that began in a split still come due

}  // namespace

bool FleetCheck::add_line(const std::string& by, std::string_view text) {
  const json v = json::parse(text.begin(), text.end(), nullptr, false);
  if (!v.is_object() || !v.contains("t") || !v.contains("ev")) {
    return false;
  }
  const double at = v["t"].get<double>() / 1000;
  if (at > end_) {
    return true;
  }
  ++lines_;
  logs_.insert(by);
  const std::string ev = v["ev"].get<std::string>();
  auto& starts = starts_[by];
  if (ev == "start") {
    starts.push_back(at);
  }
  const std::string life = by + "/" + std::to_string(starts.size());
  if (ev == "used") {
    Used u{at, v.value("requests", 0.0), v.value("retries", 0.0), {}};
    if (const auto it = v.find("admitted"); it != v.end()) {
      for (const auto& [name, n] : it->items()) {
        u.admitted[name] = n.get<double>();
      }
    }
    used_.push_back(std::move(u));
    refused_ += v.value("refused", std::uint64_t{0});
    if (v.contains("sent_bytes")) {
      const double bytes = v["sent_bytes"].get<double>();
      Traffic& t = traffic_.try_emplace(life, Traffic{at, at, at, bytes, bytes}).first->second;
      t.last_at = at, t.last_bytes = bytes;
      if (at - t.start_at < bounds_.bytes_from_s) {
        t.first_at = at, t.first_bytes = bytes;
      }
      for (const char* gauge : {"overdrawn", "bad_payloads", "dropped"}) {
        gauges_[life][gauge] = v.value(gauge, std::uint64_t{0});
      }
    }
  } else if (ev == "member") {
    seen_.push_back({at, by, v.value("name", ""), v.value("to", "")});
  } else if (ev == "host_out" || ev == "host_back") {
    out_.push_back({at, by, v.value("host", ""), ev == "host_out"});
  }
  return true;
}

bool FleetCheck::add_file(const std::string& by, const std::filesystem::path& path) {
  std::ifstream in(path);
  if (!in) {
    return false;
  }
  for (std::string text; std::getline(in, text);) {
    add_line(by, text);
  }
  return true;
}

// Over every window from a to b: used(a, b] <= earned(a - lapse, b] + perSecond * (b - a + lapse).
// With running sums that is a difference of two prefixes, so one pass with the least of the earlier
// ones finds the worst.
FleetCheck::Use FleetCheck::judge(const std::vector<std::pair<double, double>>& used,
                                  const std::vector<std::pair<double, double>>& earned,
                                  double per_second, double lapse_s) const {
  Use out;
  const double lapse = lapse_s + bounds_.slack_s;
  std::vector<std::pair<double, double>> use_sums;
  std::vector<std::pair<double, double>> earn_sums{{-1e18, 0}};
  double sum = 0;
  use_sums.reserve(used.size());
  for (const auto& [at, n] : used) {
    use_sums.emplace_back(at, sum += n);
  }
  double earn_sum = 0;
  for (const auto& [at, n] : earned) {
    earn_sums.emplace_back(at, earn_sum += n);
  }
  const auto earned_until = [&](double at) {
    auto it = std::upper_bound(earn_sums.begin(), earn_sums.end(), at,
                               [](double value, const auto& entry) { return value < entry.first; });
    return std::prev(it)->second;
  };
  out.used = static_cast<std::uint64_t>(sum);
  double least = 0;
  double before = 0;
  bool first = true;
  std::vector<std::pair<double, double>> starts;  // at, used before
  for (const auto& [at, total] : use_sums) {
    // A window that begins just before this line's uses.
    const double start = before - earned_until(at - lapse) - per_second * (at - lapse);
    least = first ? start : std::min(least, start);
    first = false;
    const double over = total - earned_until(at + bounds_.slack_s) - per_second * at - least;
    out.max_excess = out.max_excess == 0 && starts.empty() ? over : std::max(out.max_excess, over);
    starts.emplace_back(at, before);
    // The share, over windows of some lengths: all of them would take too long.
    for (const double length : {1.0, 3.0, 10.0, 30.0}) {
      const auto from =
          std::lower_bound(starts.begin(), starts.end(), at - length,
                           [](const auto& s, double value) { return s.first < value; });
      const double uses = total - from->second;
      const double allowed = earned_until(at + bounds_.slack_s) -
                             earned_until(from->first - lapse) +
                             per_second * (at - from->first + lapse);
      if (uses >= kManyUses && allowed > 0) {
        out.max_used_fraction = std::max(out.max_used_fraction, uses / allowed);
      }
    }
    before = total;
  }
  return out;
}

// Until when it is right to hold the one that was killed at `at` for dead: its next start, and a
// moment.
double FleetCheck::death_ends(const std::string& name, double at) const {
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

bool FleetCheck::rightly(const Seen& s) const {
  for (const At& k : kills_) {
    if (k.name == s.name && s.at >= k.at && s.at <= death_ends(k.name, k.at) + 15) {
      return true;
    }
  }
  for (const auto& [from, to] : splits_) {
    if (s.at >= from && s.at <= to + kAfterSplitS) {
      return true;
    }
  }
  return false;
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): too long
void FleetCheck::judge_members(Report& r) const {
  for (const Seen& s : seen_) {
    if (s.to == "dead") {
      r.false_deaths += !rightly(s);
    }
    if (s.to == "suspect") {
      r.false_suspicions += !rightly(s);
    }
  }
  for (const At& k : kills_) {
    std::map<std::string, double> doubted;
    for (const Seen& s : seen_) {
      if (s.name == k.name && s.at >= k.at && (s.to == "suspect" || s.to == "dead")) {
        if (const auto [it, fresh] = doubted.try_emplace(s.by, s.at); !fresh) {
          it->second = std::min(it->second, s.at);
        }
      }
    }
    const double until = death_ends(k.name, k.at);
    for (const std::string& by : logs_) {
      const bool dead = std::any_of(kills_.begin(), kills_.end(), [&](const At& o) {
        return o.name == by && k.at + 5 >= o.at && k.at <= death_ends(by, o.at);
      });
      if (by == k.name || dead) {
        continue;
      }
      const auto it = doubted.find(by);
      if (it != doubted.end() && it->second < until) {
        r.detect_s.push_back(it->second - k.at);
      } else if (until > 1e17) {
        ++r.undetected;  // one that was soon back need not have been missed
      }
    }
  }
  if (splits_.empty()) {
    return;
  }
  double end = 0;
  for (const auto& [from, to] : splits_) {
    end = std::max(end, to);
  }
  std::map<std::pair<std::string, std::string>, std::pair<double, bool>>
      views;  // when, and whether it lives
  for (const Seen& s : seen_) {
    auto& [at, lives] = views[{s.by, s.name}];
    if (s.at < at) {
      continue;
    }
    at = s.at, lives = s.to != "dead";
  }
  r.recovery_s = 0;
  for (const auto& [pair, view] : views) {
    const bool killed =
        std::any_of(kills_.begin(), kills_.end(), [&, name = pair.second](const At& k) {
          return k.name == name && death_ends(name, k.at) > 1e17;
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
  std::vector<Used> used = used_;
  std::stable_sort(used.begin(), used.end(),
                   [](const Used& a, const Used& b) { return a.at < b.at; });
  std::vector<std::pair<double, double>> retries;
  std::vector<std::pair<double, double>> earned;
  std::map<std::string, std::vector<std::pair<double, double>>> admitted;
  for (const Used& u : used) {
    r.requests += static_cast<std::uint64_t>(u.requests);
    if (u.retries > 0) {
      retries.emplace_back(u.at, u.retries);
    }
    if (u.requests > 0) {
      earned.emplace_back(u.at, std::max(bounds_.retry_ratio, 0.0) * u.requests);
    }
    for (const auto& [name, n] : u.admitted) {
      if (n > 0) {
        admitted[name].emplace_back(u.at, n);
      }
    }
  }
  if (bounds_.retry_ratio >= 0) {
    r.retries = judge(retries, earned, 0, bounds_.retry_token_lifetime_s);
  }
  for (const auto& [name, perSecond] : bounds_.limits) {
    r.limits[name] = judge(admitted[name], {}, perSecond, bounds_.limit_token_lifetime_s);
  }
  judge_members(r);
  r.refused = refused_;
  for (const auto& [life, gauges] : gauges_) {
    r.retries_without_token += gauges.at("overdrawn");
    r.bad_payloads += gauges.at("bad_payloads");
    r.dropped += gauges.at("dropped");
  }
  double rates = 0;
  double count = 0;
  for (const auto& [life, t] : traffic_) {
    if (t.last_at - t.first_at >= 2) {
      rates += (t.last_bytes - t.first_bytes) / (t.last_at - t.first_at), ++count;
    }
  }
  r.bytes_per_member = count > 0 ? rates / count : 0;
  std::vector<Out> out = out_;
  std::stable_sort(out.begin(), out.end(), [](const Out& a, const Out& b) { return a.at < b.at; });
  std::map<std::string, std::set<std::string>> by;
  for (const Out& o : out) {
    if (o.out) {
      by[o.host].insert(o.by), r.hosts_ever_ejected.insert(o.host);
    } else if (by[o.host].erase(o.by); by[o.host].empty()) {
      by.erase(o.host);
    }
    r.max_hosts_ejected = std::max(r.max_hosts_ejected, by.size());
  }
  return r;
}

double quantile(std::vector<double> values, double part) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(part * static_cast<double>(values.size())))];
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
