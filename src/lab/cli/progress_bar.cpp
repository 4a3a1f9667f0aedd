#include "lab/cli/progress_bar.hpp"

#include <unistd.h>

#include <cstdio>
#include <utility>

namespace gateway::lab {

ProgressBar::ProgressBar(std::string label)
    : label_(std::move(label)), is_terminal_(isatty(STDERR_FILENO) != 0) {}

ProgressBar::~ProgressBar() {
  if (is_terminal_) {
    std::fprintf(stderr, "\r\033[K");
  }
}

Progress ProgressBar::callback() {
  if (!is_terminal_) {
    return {};
  }
  return [this](double fraction) {
    constexpr int kWidth = 40;
    const int filled = static_cast<int>(fraction * kWidth);
    std::fprintf(stderr, "\r%s [%s%s] %3d %%", label_.c_str(),
                 std::string(static_cast<std::size_t>(filled), '#').c_str(),
                 std::string(static_cast<std::size_t>(kWidth - filled), ' ').c_str(),
                 static_cast<int>(fraction * 100));
    std::fflush(stderr);
  };
}

}  // namespace gateway::lab
