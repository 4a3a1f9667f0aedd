#include "lab/live/real_time.hpp"

#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdlib>

#include "lab/cli/commands.hpp"

namespace gateway::lab {
namespace {

namespace fs = std::filesystem;
std::atomic<bool> signal_received{false};

}  // namespace

void install_signal_handlers() {
  ::signal(SIGPIPE, SIG_IGN);
  for (int signal : {SIGINT, SIGTERM}) {
    ::signal(signal, [](int) { signal_received = true; });
  }
}

bool interrupted() {
  return signal_received;
}

std::string path_beside_executable(const char* name) {
  std::error_code ignored;
  return (fs::read_symlink("/proc/self/exe", ignored).parent_path() / name).string();
}

void require_executable(const std::string& path) {
  if (::access(path.c_str(), X_OK) != 0) {
    throw BadInput(path +
                   ": is not an executable file; set the path of the gateway with --gateway");
  }
}

TemporaryFolder::TemporaryFolder() {
  std::string name = (fs::temp_directory_path() / "gateway-lab-XXXXXX").string();
  if (!::mkdtemp(name.data())) {
    throw BadInput(name + ": the temporary folder cannot be created");
  }
  path_ = name;
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  fs::remove_all(path_, ignored);
}

}  // namespace gateway::lab
