// State that all components of a Balancer share.
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

// Interval between updates of the statistics: a few response times.
inline constexpr Duration kSweepInterval = std::chrono::milliseconds(100);
// Gain per sample of moving averages that cover about the last fifty samples, such as the typical
// latency of a class.
inline constexpr double kMovingAverageGain = 0.02;

// Settings, class states, the time of the present event, random numbers and the actions that the
// caller has not cleared yet.
struct Context {
  Settings settings;
  std::vector<ClassState> classes;  // those of the settings and, last, the unknown class
  std::vector<Action> actions;
  Time now{};      // of the present event
  Time started{};  // construction of the Balancer

  Context(Settings configuration, Time start)
      : settings(std::move(configuration)), now(start), started(start), engine_(settings.seed) {
    for (const ClassSettings& class_settings : settings.classes) {
      classes.push_back({class_settings});
    }
    classes.push_back({unknown_class_settings(settings.classes.front())});
  }

  // Random number in [0, 1). Does not use the std distributions, which differ between standard
  // libraries.
  double draw_unit() { return to_unit_interval(engine_()); }
  // Random number from 0 to `bound` - 1.
  std::size_t draw_below(std::size_t bound) {
    return static_cast<std::size_t>(draw_unit() * static_cast<double>(bound));
  }
  // Appends an action. It is constructed in place, because GCC 12 warns that other members of a
  // moved variant are uninitialised.
  template <class ActionType>
  void emit(ActionType action) {
    actions.emplace_back(std::in_place_type<ActionType>, std::move(action));
  }
  // Appends a log line.
  void log(std::string text) {
    emit(LogMessage{std::move(text)});
    last_log_at_ = now;
  }
  // Limits log lines to one per second: callers check it before log().
  bool may_log() const {
    return now - last_log_at_ >= std::chrono::seconds(1) || last_log_at_ == Time{};
  }

 private:
  std::mt19937_64 engine_;
  Time last_log_at_{};
};

}  // namespace load_balancer
