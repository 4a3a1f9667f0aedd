// How often attempts are lost, by the idle time of the connection that they use.
#pragma once

#include <array>
#include <cstddef>

namespace load_balancer {

// The loss rate as a function of the idle time, in KSteps steps; step 0: no idle time. A loss also
// counts for all longer idle times, and an attempt that was not lost for all shorter ones, so the
// rate does not fall from one step to the next. A loss at step 0 is not due to idle time and counts
// for that step alone, whose rate may therefore exceed the others.
template <std::size_t KSteps>
class IdleLossEstimator {
 public:
  // Fraction of the attempts that were lost at that step, 0 to 1.
  double loss_rate(std::size_t step) const { return loss_rates_[step]; }
  // Moves the estimates by `gain` (0 to 1) towards an outcome at `step`.
  void record(std::size_t step, bool lost, double gain) {
    const std::size_t first = lost ? step : 0;
    const std::size_t end = lost && step > 0 ? KSteps : step + 1;
    for (std::size_t i = first; i < end; ++i) {
      loss_rates_[i] += gain * ((lost ? 1 : 0) - loss_rates_[i]);
    }
  }
  // Lowers all estimates by `fraction` (0 to 1) of their value.
  void decay(double fraction) {
    for (double& rate : loss_rates_) {
      rate *= 1 - fraction;
    }
  }

 private:
  std::array<double, KSteps> loss_rates_{};
};

}  // namespace load_balancer
