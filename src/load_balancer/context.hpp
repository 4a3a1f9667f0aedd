// What all components share: settings, the time of the event, random numbers and the actions so
// far.
#pragma once

#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "load_balancer/class_state.hpp"
#include "load_balancer/hashing.hpp"
#include "load_balancer/load_balancer.hpp"
#include "load_balancer/math_helpers.hpp"

namespace load_balancer {

// Interval of the statistics: a few response times.
inline constexpr Duration kSweepInterval = std::chrono::milliseconds(100);
// Gain per response of a class's typical latency: it covers the last fifty responses.
inline constexpr double kMovingAverageGain = 0.02;

struct Context {
  Settings settings;
  std::vector<ClassState> classes;  // those of the settings and, last, the unknown class
  std::vector<Action> actions;
  Time now{};
  Time started{};

  Context(Settings configuration, Time start)
      : settings(std::move(configuration)), now(start), started(start), engine_(settings.seed) {
    for (const ClassSettings& class_settings : settings.classes) {
      classes.push_back({class_settings});
    }
    classes.push_back({unknown_class_settings(settings.classes.front())});
  }

  // Not by std distributions, which differ between standard libraries.
  double draw_unit() { return to_unit_interval(engine_()); }
  std::size_t draw_below(std::size_t n) {
    return static_cast<std::size_t>(draw_unit() * static_cast<double>(n));
  }
  // Built in place: GCC 12 warns of a moved variant's other members as uninitialised.
  template <class ActionType>
  void emit(ActionType action) {
    actions.emplace_back(std::in_place_type<ActionType>, std::move(action));
  }
  void log(std::string text) {
    emit(LogMessage{std::move(text)});
    logged_ = now;
  }
  bool may_log() const { return now - logged_ >= std::chrono::seconds(1) || logged_ == Time{}; }

 private:
  std::mt19937_64 engine_;
  Time logged_{};
};

}  // namespace load_balancer
