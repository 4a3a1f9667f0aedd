// Runs the decision library behind the simulator's line protocol: batches on standard input,
// replies on standard output, errors on standard error. Exit code 1: the input ends within a batch,
// or standard output is closed.
#include <unistd.h>

#include <cerrno>
#include <iostream>
#include <string>
#include <vector>

#include "simulator_adapter/adapter.hpp"

namespace {

// Writes the whole text to standard output. False: it is closed.
bool write_all(const std::string& text) {
  std::size_t written = 0;
  while (written < text.size()) {
    const ssize_t count = write(STDOUT_FILENO, text.data() + written, text.size() - written);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return false;
    }
    written += static_cast<std::size_t>(count);
  }
  return true;
}

}  // namespace

int main() {
  load_balancer::wire::Adapter adapter(std::cerr);
  std::vector<char> block(1 << 16);
  std::string pending;
  std::string reply;
  for (;;) {
    const ssize_t count = read(STDIN_FILENO, block.data(), block.size());
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      break;
    }
    pending.append(block.data(), static_cast<std::size_t>(count));
    std::size_t line_start = 0;
    for (std::size_t line_end; (line_end = pending.find('\n', line_start)) != std::string::npos;
         line_start = line_end + 1) {
      if (!adapter.feed(std::string_view(pending).substr(line_start, line_end - line_start),
                        reply)) {
        continue;
      }
      if (!write_all(reply)) {
        return 1;
      }
      reply.clear();
    }
    pending.erase(0, line_start);
  }
  if (!pending.empty() || adapter.inside_batch()) {
    std::cerr << "line " << adapter.line_number() + 1 << ": input ended within a batch\n";
    return 1;
  }
  return 0;
}
