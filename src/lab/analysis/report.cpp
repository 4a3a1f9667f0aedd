#include "lab/analysis/report.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <vector>

#include "lab/simulation/experiment.hpp"

namespace gateway::lab {
namespace {

using json = nlohmann::ordered_json;

constexpr double kWidth = 860, kHeight = 220, kLeft = 52, kRight = 12, kTop = 22, kBottom = 28;
constexpr std::array<const char*, 6> kClassColours{"#2f6db3", "#c8553d", "#3d8b5f",
                                                   "#8a5fb0", "#b08a2e", "#4f5b66"};
constexpr std::array<const char*, 8> kOutcomeColours{"#3d8b5f", "#c8553d", "#b08a2e", "#8a5fb0",
                                                     "#2f6db3", "#7a3b2e", "#9aa5b1", "#4f5b66"};

std::string number(double value, int digits = 1) {
  char text[32];
  std::snprintf(text, sizeof text, "%.*f", digits, value);
  return text;
}

std::string escaped(const std::string& text) {
  std::string out;
  for (char c : text) {
    if (c == '<') {
      out += "&lt;";
    } else if (c == '>') {
      out += "&gt;";
    } else if (c == '&') {
      out += "&amp;";
    } else if (c == '"') {
      out += "&quot;";
    } else {
      out += c;
    }
  }
  return out;
}

struct Series {
  std::string name, colour;
  std::vector<std::pair<double, double>> points;
  bool dashed = false;
};

struct Axis {
  double low = 0, high = 1;
  std::string label;
  bool logarithmic = false;
  double position(double value) const {  // 0 to 1 between low and high
    if (logarithmic) {
      return (std::log(value) - std::log(low)) / (std::log(high) - std::log(low));
    }
    return (value - low) / (high - low);
  }
  std::vector<double> ticks() const {
    std::vector<double> out;
    if (logarithmic) {
      for (double decade = std::pow(10, std::floor(std::log10(low))); decade <= high * 1.001;
           decade *= 10) {
        for (double m : {1.0, 2.0, 5.0}) {
          if (decade * m >= low * 0.999 && decade * m <= high * 1.001) {
            out.push_back(decade * m);
          }
        }
      }
      return out;
    }
    const double raw = (high - low) / 5;
    const double unit = std::pow(10, std::floor(std::log10(raw)));
    const double step = unit * (raw / unit < 1.5   ? 1
                                : raw / unit < 3.5 ? 2
                                : raw / unit < 7.5 ? 5
                                                   : 10);
    for (double t = std::ceil(low / step) * step; t <= high + step * 1e-6; t += step) {
      out.push_back(t);
    }
    return out;
  }
};

double x_of(const Axis& x, double value) {
  return kLeft + x.position(value) * (kWidth - kLeft - kRight);
}
double y_of(const Axis& y, double value, double height = kHeight) {
  return height - kBottom - std::clamp(y.position(value), 0.0, 1.0) * (height - kTop - kBottom);
}

std::string tick_text(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%g", std::abs(value) < 1e-9 ? 0 : value);
  return text;
}

std::string frame(const Axis& x, const Axis& y, const json& troubles) {
  std::string out;
  double row = 0;
  for (const json& t : troubles) {
    const double from = std::clamp(t.at("from_s").get<double>(), x.low, x.high);
    const double to = std::clamp(t.at("to_s").get<double>(), x.low, x.high);
    const double left = x_of(x, from);
    const double wide = std::max(x_of(x, to) - left, 1.5);
    out += "<rect x='" + number(left) + "' y='" + number(kTop) + "' width='" + number(wide) +
           "' height='" + number(kHeight - kTop - kBottom) + "' class='trouble'/><text x='" +
           number(left + 2) + "' y='" + number(kTop + 9 + row) + "' class='name'>" +
           escaped(t.at("name").get<std::string>()) + "</text>";
    row = row >= 40 ? 0 : row + 10;
  }
  for (double t : y.ticks()) {
    out += "<line x1='" + number(kLeft) + "' x2='" + number(kWidth - kRight) + "' y1='" +
           number(y_of(y, t)) + "' y2='" + number(y_of(y, t)) + "' class='grid'/><text x='" +
           number(kLeft - 5) + "' y='" + number(y_of(y, t) + 3) +
           "' class='tick' text-anchor='end'>" + tick_text(t) + "</text>";
  }
  for (double t : x.ticks()) {
    out += "<text x='" + number(x_of(x, t)) + "' y='" + number(kHeight - kBottom + 13) +
           "' class='tick' text-anchor='middle'>" + tick_text(t) + "</text>";
  }
  out += "<text x='" + number(kLeft) + "' y='12' class='label'>" + escaped(y.label) +
         "</text><text x='" + number(kWidth - kRight) + "' y='" + number(kHeight - 3) +
         "' class='label' text-anchor='end'>" + escaped(x.label) + "</text>";
  return out;
}

std::string chart(const Axis& x, const Axis& y, const std::vector<Series>& series,
                  const json& troubles) {
  std::string out = "<svg viewBox='0 0 " + number(kWidth, 0) + " " + number(kHeight, 0) + "'>" +
                    frame(x, y, troubles);
  double legend = kLeft + 24 + 6.2 * static_cast<double>(y.label.size());
  for (const Series& s : series) {
    out += "<polyline fill='none' stroke='" + s.colour + "' stroke-width='1.6'" +
           (s.dashed ? " stroke-dasharray='5 3'" : "") + " points='";
    for (const auto& [px, py] : s.points) {
      out += number(x_of(x, px)) + "," + number(y_of(y, py)) + " ";
    }
    out += "'/><text x='" + number(legend) + "' y='12' class='label' style='fill:" + s.colour +
           "'>" + (s.dashed ? "- - " : "&#8212; ") + escaped(s.name) + "</text>";
    legend += 30 + 6.2 * static_cast<double>(s.name.size());
  }
  return out + "</svg>";
}

// Sliding window of the plots; values of single seconds are too noisy.
constexpr std::size_t kSmoothingSeconds = 3;

// Earned over requested value of a class, in a sliding window.
std::vector<std::pair<double, double>> earned_fractions(const json& cls) {
  const json& asked = cls.at("asked_by_second");
  const json& earned = cls.at("earned_by_second");
  std::vector<std::pair<double, double>> out;
  for (std::size_t i = 0; i + kSmoothingSeconds <= asked.size(); ++i) {
    double all = 0;
    double good = 0;
    for (std::size_t k = i; k < i + kSmoothingSeconds; ++k) {
      all += asked[k].get<double>(), good += earned[k].get<double>();
    }
    if (all > 0) {
      out.emplace_back(static_cast<double>(i) + kSmoothingSeconds / 2.0, good / all);
    }
  }
  return out;
}

// One of the runs that are shown side by side.
struct Side {
  const json* day;
  std::string name;
  bool dashed;
};

const json kEmptyArray = json::array();

const json& part(const json& day, const char* name) {
  return day.contains(name) ? day.at(name) : kEmptyArray;
}

double length_of(const json& day) {
  return std::max<double>(static_cast<double>(part(day, "cutoff_by_second").size()), 1);
}

// An empty series of one class: the colour distinguishes classes, the name and dashes the runs.
Series series_of(const Side& side, const json& of_class, std::size_t number) {
  return {of_class.at("name").get<std::string>() + side.name,
          kClassColours[number % kClassColours.size()],
          {},
          side.dashed};
}

std::string in_time_chart(const std::vector<Side>& sides) {
  Axis x{0, length_of(*sides[0].day), "seconds since the clients began"};
  Axis y{0, 1, "value earned / requested"};
  std::vector<Series> series;
  for (const Side& side : sides) {
    std::size_t colour = 0;
    for (const json& c : side.day->at("classes")) {
      series.push_back(series_of(side, c, colour++));
      series.back().points = earned_fractions(c);
    }
  }
  return chart(x, y, series, part(*sides[0].day, "troubles"));
}

std::string latency_chart(const std::vector<Side>& sides) {
  Axis x{0, 3, "fraction served faster: 0 = none, 1 = 90 %, 2 = 99 %, 3 = 99.9 %"};
  Axis y{1, 10, "ms, from the due time", true};
  std::vector<Series> series;
  double least = 1e9;
  double most = 1;
  for (const Side& side : sides) {
    std::size_t colour = 0;
    for (const json& c : side.day->at("classes")) {
      Series s = series_of(side, c, colour++);
      for (const json& point : c.at("latency_ms")) {
        const double ms = point[1].get<double>();
        if (ms <= 0) {
          continue;
        }
        s.points.emplace_back(-std::log10(1 - point[0].get<double>()), ms);
        least = std::min(least, ms), most = std::max(most, ms);
      }
      series.push_back(std::move(s));
    }
  }
  y.low = std::max(least * 0.8, 0.1);
  y.high = std::max(most * 1.2, y.low * 2);
  return chart(x, y, series, kEmptyArray);
}

std::string rejection_chart(const std::vector<Side>& sides) {
  Axis x{0, length_of(*sides[0].day), "seconds since the clients began"};
  Axis y{0, 1, "rejections per second by class; shedding threshold (0 to 100)"};
  std::vector<Series> series;
  for (const Side& side : sides) {
    std::size_t colour = 0;
    for (const json& c : side.day->at("classes")) {
      Series s = series_of(side, c, colour++);
      const json& refusals = c.at("refusals_by_second");
      for (std::size_t i = 0; i < refusals.size(); ++i) {
        s.points.emplace_back(static_cast<double>(i) + 0.5, refusals[i].get<double>());
        y.high = std::max(y.high, refusals[i].get<double>());
      }
      series.push_back(std::move(s));
    }
    Series threshold{"shedding threshold" + side.name, "#111111", {}, side.dashed};
    const json& values = part(*side.day, "cutoff_by_second");
    for (std::size_t i = 0; i < values.size(); ++i) {
      threshold.points.emplace_back(static_cast<double>(i) + 0.5, values[i].get<double>());
      y.high = std::max(y.high, values[i].get<double>());
    }
    series.push_back(std::move(threshold));
  }
  y.high *= 1.1;
  return chart(x, y, series, part(*sides[0].day, "troubles"));
}

std::string outcome_bar(const json& day) {
  const json& outcomes = day.at("attempts").at("outcomes");
  double all = 0;
  double at = kLeft;
  for (const auto& [name, count] : outcomes.items()) {
    all += count.get<double>();
  }
  std::string out = "<svg viewBox='0 0 860 58'>";
  std::string legend;
  double text = kLeft;
  std::size_t colour = 0;
  for (const auto& [name, count] : outcomes.items()) {
    const double n = count.get<double>();
    const char* fill = kOutcomeColours[colour++ % kOutcomeColours.size()];
    if (n <= 0) {
      continue;
    }
    const double wide = n / std::max(all, 1.0) * (kWidth - kLeft - kRight);
    out += "<rect x='" + number(at) + "' y='4' width='" + number(std::max(wide, 0.5), 2) +
           "' height='24' fill='" + fill + "'><title>" + name + "</title></rect>";
    const std::string label = name + " " + number(n, 0);
    legend += "<text x='" + number(text) + "' y='46' class='label' style='fill:" + fill +
              "'>&#9632; " + label + "</text>";
    text += 26 + 6 * static_cast<double>(label.size());
    at += wide;
  }
  return out + legend + "</svg>";
}

// Jobs per core, a row per host; in a large fleet each row is the mean of several hosts. White:
// idle; red: 8 or more jobs per core; grey: not running.
std::string heat_map(const json& day) {
  const json& load = part(day, "held_per_core");
  if (load.empty()) {
    return "";
  }
  constexpr std::size_t kMaxRows = 120;
  const std::size_t each = (load.size() + kMaxRows - 1) / kMaxRows;
  const std::size_t rows = (load.size() + each - 1) / each;
  std::size_t seconds = 1;
  for (const json& row : load) {
    seconds = std::max(seconds, row.size());
  }
  const double tall = std::clamp(420.0 / static_cast<double>(rows), 3.0, 16.0);
  const double wide = (kWidth - kLeft - kRight) / static_cast<double>(seconds);
  const double height = kTop + tall * static_cast<double>(rows) + kBottom;
  std::string out = "<svg viewBox='0 0 860 " + number(height, 0) +
                    "'><text x='52' y='12' class='label'>jobs per core, by host (" +
                    std::to_string(load.size()) +
                    (each > 1 ? ", " + std::to_string(each) + " to a row" : "") +
                    "): white 0, red 8 and more, grey: not running</text>";
  for (std::size_t r = 0; r < rows; ++r) {
    for (std::size_t s = 0; s < seconds; ++s) {
      double sum = 0;
      double count = 0;
      for (std::size_t h = r * each; h < std::min((r + 1) * each, load.size()); ++h) {
        if (s < load[h].size() && load[h][s].get<double>() >= 0) {
          sum += load[h][s].get<double>(), count += 1;
        }
      }
      std::string fill = "#c3c8cf";
      if (count > 0) {
        const double heat = std::min(sum / count / 8, 1.0);
        char text[32];
        std::snprintf(text, sizeof text, "#%02x%02x%02x", static_cast<int>(255 - 55 * heat),
                      static_cast<int>(255 - 220 * heat), static_cast<int>(255 - 215 * heat));
        fill = text;
      }
      out += "<rect x='" + number(kLeft + wide * static_cast<double>(s), 2) + "' y='" +
             number(kTop + tall * static_cast<double>(r), 2) + "' width='" +
             number(wide + 0.05, 2) + "' height='" + number(tall + 0.05, 2) + "' fill='" + fill +
             "'/>";
    }
  }
  Axis x{0, static_cast<double>(seconds), ""};
  for (double t : x.ticks()) {
    out += "<text x='" + number(x_of(x, t)) + "' y='" + number(height - 12) +
           "' class='tick' text-anchor='middle'>" + tick_text(t) + "</text>";
  }
  return out + "</svg>";
}

std::string run_table(const json& results, const std::string& name) {
  std::string out =
      "<table><tr><th>seed" + name +
      "</th><th>service</th><th>in time</th><th>worst 10 s</th><th>worst class</th><th>wasted</th>"
      "<th>attempts</th><th>rules violated</th></tr>";
  for (const json& d : results.at("days")) {
    std::string broken;
    for (const auto& [rule, count] : d.at("breaches").items()) {
      broken += (broken.empty() ? "" : ", ") + escaped(rule) + " &times;" +
                std::to_string(count.get<std::uint64_t>());
    }
    out += "<tr><td>" + std::to_string(d.at("seed").get<std::uint64_t>()) + "</td>";
    for (const char* figure : {"service", "in_time", "worst_window", "worst_class", "wasted"}) {
      out += "<td>" + number(d.at(figure).get<double>(), 3) + "</td>";
    }
    out += "<td>" + std::to_string(d.at("attempts").at("all").get<std::uint64_t>()) + "</td><td" +
           (broken.empty() ? ">none" : " class='bad'>" + broken) + "</td></tr>";
  }
  return out + "</table>";
}

std::string class_table(const json& day) {
  std::string out =
      "<table><tr><th>class</th><th>operations</th><th>requests</th><th>in "
      "time</th><th>late</th><th>refused</th>"
      "<th>failed</th><th>unanswered</th><th>p50 ms</th><th>p99 ms</th></tr>";
  for (const json& c : day.at("classes")) {
    out += "<tr><td>" + escaped(c.at("name").get<std::string>()) + "</td>";
    for (const char* figure :
         {"wishes", "tries", "in_time", "late", "refused", "failed", "unanswered"}) {
      out += "<td>" + std::to_string(c.at(figure).get<std::uint64_t>()) + "</td>";
    }
    out += "<td>" + number(c.at("p50_ms").get<double>()) + "</td><td>" +
           number(c.at("p99_ms").get<double>()) + "</td></tr>";
  }
  return out + "</table>";
}

std::string difference_table(const json& a, const json& b) {
  std::string out =
      "<h2>A against B, paired by seed</h2><table><tr><th>figure</th><th>A</th><th>B</th><th>B "
      "&minus; A</th>"
      "<th>95 % interval</th><th>verdict</th></tr>";
  for (const Difference& d : compare_results(a, b)) {
    out += "<tr><td>" + d.figure + "</td><td>" + number(d.mean_a, 4) + "</td><td>" +
           number(d.mean_b, 4) + "</td><td>" + number(d.mean, 4) + "</td><td>[" + number(d.low, 4) +
           ", " + number(d.high, 4) + "]</td><td>" +
           (d.is_noise() ? "noise"
            : d.mean > 0 ? "B higher"
                         : "B lower") +
           "</td></tr>";
  }
  return out + "</table>";
}

// For a run with real gateways: how evenly requests arrive at the hosts, second by second, and how
// many connections were opened for them.
// NOLINTNEXTLINE(readability-function-size): too long
std::string spread_section(const json& day) {
  const json& live = day.at("live");
  const json& requests = live.at("landed_each_second");
  const json& handshakes = live.at("handshakes_each_second");
  Axis x{0, std::max<double>(static_cast<double>(requests.size()), 1),
         "seconds since the clients began"};
  Axis y{0, 2, "times the mean"};
  Axis share{0, 0.1, "handshakes per request"};
  Series most{"most at one host", kClassColours[1], {}};
  Series least{"least", kClassColours[0], {}};
  Series fresh{"all hosts", kClassColours[3], {}};
  for (std::size_t s = 0; s + kSmoothingSeconds <= requests.size(); ++s) {
    std::vector<double> hosts;
    double made = 0;
    for (std::size_t k = s; k < s + kSmoothingSeconds; ++k) {
      hosts.resize(std::max(hosts.size(), requests[k].size()));
      for (std::size_t h = 0; h < requests[k].size(); ++h) {
        hosts[h] += requests[k][h].get<double>();
      }
      if (k < handshakes.size()) {
        for (const json& n : handshakes[k]) {
          made += n.get<double>();
        }
      }
    }
    double sum = 0;
    for (double n : hosts) {
      sum += n;
    }
    if (sum <= 0) {
      continue;
    }
    const double mean = sum / static_cast<double>(hosts.size());
    const double at = static_cast<double>(s) + kSmoothingSeconds / 2.0;
    most.points.emplace_back(at, *std::max_element(hosts.begin(), hosts.end()) / mean);
    least.points.emplace_back(at, *std::min_element(hosts.begin(), hosts.end()) / mean);
    fresh.points.emplace_back(at, made / sum);
    y.high = std::max(y.high, most.points.back().second * 1.05);
    share.high = std::max(share.high, fresh.points.back().second * 1.05);
  }
  std::string out =
      "<h2>Spread over the hosts</h2><p>Sums of " + std::to_string(kSmoothingSeconds) +
      " s, at the busiest and the idlest host; a few requests a host scatter by chance.</p>" +
      chart(x, y, {most, least}, part(day, "troubles")) +
      chart(x, share, {fresh}, part(day, "troubles")) +
      "<table><tr><th>when</th><th>max/mean</th><th>variation</th><th>idle hosts</th>"
      "<th>herd peak</th><th>handshakes per request</th></tr>";
  const auto row = [&](const std::string& when, const json& s) {
    out += "<tr><td>" + escaped(when) + "</td>";
    for (const char* figure :
         {"max_over_mean", "variation", "idle_hosts", "herd_peak", "handshakes_per_request"}) {
      out += "<td>" + number(s.at(figure).get<double>(), 3) + "</td>";
    }
    out += "</tr>";
  };
  row("the run", live.at("spread"));
  for (const json& phase : live.at("back")) {
    row("2 s after " + phase.at("name").get<std::string>(), phase.at("spread"));
  }
  out += "</table>";
  if (!live.at("events").empty()) {
    out += "<h2>Faults and actions</h2><ul>";
  }
  for (const json& e : live.at("events")) {
    out += "<li>" + escaped(e.get<std::string>()) + "</li>";
  }
  return out + (live.at("events").empty() ? "" : "</ul>");
}

constexpr const char* kStyle =
    "<style>body{font:14px/1.45 system-ui,sans-serif;max-width:900px;margin:24px auto;padding:0 "
    "16px;color:#1d2329}"
    "h1{font-size:22px}h2{font-size:16px;margin:26px 0 "
    "6px}svg{width:100%;height:auto;background:#fff}"
    "table{border-collapse:collapse;font-size:13px}td,th{padding:2px "
    "10px;text-align:right;border-bottom:1px "
    "solid "
    "#e3e6ea}td:first-child,th:first-child{text-align:left}.bad{color:#b3261e;font-weight:600}."
    "grid{stroke:#"
    "e3e6ea}"
    ".tick{font-size:10px;fill:#5c6670}.label{font-size:11px;fill:#3b444d}.name{font-size:9px;fill:"
    "#8a6d3b}"
    ".trouble{fill:#f4c95d;fill-opacity:.22}p{margin:4px 0;color:#5c6670}</style>";

}  // namespace

std::string render_report(const json& a, const json* b) {
  const auto check = [](const json& results, const char* side) {
    if (!results.is_object() || !results.contains("days") || results["days"].empty()) {
      throw std::invalid_argument(std::string(side) + " contains no results of `run --full --out`");
    }
    if (!results["days"][0].contains("held_per_core")) {
      throw std::invalid_argument(std::string(side) +
                                  " was written without --full; the plots need it");
    }
  };
  check(a, "A");
  std::vector<Side> sides{{&a["days"][0], b ? " A" : "", false}};
  if (b) {
    check(*b, "B");
    sides.push_back({&(*b)["days"][0], " B", true});
  }
  const json& day = *sides[0].day;
  const std::string scenario = escaped(a.value("scenario", ""));
  std::string out = "<!doctype html><html lang='en'><meta charset='utf-8'><title>" + scenario +
                    "</title>" + kStyle + "<h1>" + scenario + "</h1><p>Plots: seed " +
                    std::to_string(day.at("seed").get<std::uint64_t>()) +
                    ", yellow: a fault. Tables: all " + std::to_string(a["days"].size()) +
                    " runs.</p>";
  if (b) {
    out += difference_table(a, *b);
  }
  out += "<h2>Value earned in time, by class</h2><p>Mean of " + std::to_string(kSmoothingSeconds) +
         " s, by the second in which the client's operation began.</p>" + in_time_chart(sides);
  if (day.contains("live") && day.at("live").contains("landed_each_second")) {
    out += spread_section(day);
  }
  out += "<h2>Latency of served operations</h2>" + latency_chart(sides);
  out += "<h2>Rejections and shedding threshold</h2>" + rejection_chart(sides);
  for (const Side& side : sides) {
    out += "<h2>Attempts by outcome" + side.name + "</h2>" + outcome_bar(*side.day);
  }
  for (const Side& side : sides) {
    out += "<h2>Load of the hosts" + side.name + "</h2>" + heat_map(*side.day);
  }
  for (const Side& side : sides) {
    out += "<h2>Classes" + side.name + "</h2>" + class_table(*side.day);
  }
  out += "<h2>Runs</h2>" + run_table(a, b ? " A" : "");
  if (b) {
    out += run_table(*b, " B");
  }
  return out + "</html>\n";
}

}  // namespace gateway::lab
