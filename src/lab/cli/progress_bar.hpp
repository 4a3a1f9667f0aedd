// A progress bar on standard error; prints nothing if standard error is not a terminal.
#pragma once

#include <string>

#include "lab/simulation/experiment.hpp"

namespace gateway::lab {

// Shows the progress of one operation until it is destroyed. Not thread-safe.
class ProgressBar {
 public:
  explicit ProgressBar(std::string label);
  ~ProgressBar();  // clears the line of the bar
  ProgressBar(const ProgressBar&) = delete;
  // Redraws the bar for the completed fraction. Empty if standard error is not a terminal. Valid
  // while this object lives.
  Progress callback();

 private:
  std::string label_;
  bool is_terminal_;
};

}  // namespace gateway::lab
