#include "lab/live/real_time.hpp"

#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdlib>

#include "lab/cli/commands.hpp"

namespace gateway::lab {
namespace {

namespace fs = std::filesystem;
std::atomic<bool> came{false};

}  // namespace

void install_signal_handlers() {
  ::signal(SIGPIPE, SIG_IGN);
  for (int signal : {SIGINT, SIGTERM}) {
    ::signal(signal, [](int) { came = true; });
  }
}

bool interrupted() {
  return came;
}

std::string path_beside_executable(const char* name) {
  std::error_code ignored;
  return (fs::read_symlink("/proc/self/exe", ignored).parent_path() / name).string();
}

void require_executable(const std::string& path) {
  if (::access(path.c_str(), X_OK) != 0) {
    throw BadInput(path + ": is no program; name the gateway with --gateway");
  }
}

TemporaryFolder::TemporaryFolder() {
  std::string name = (fs::temp_directory_path() / "gateway-lab-XXXXXX").string();
  if (!::mkdtemp(name.data())) {
    throw BadInput(name + ": cannot be made");
  }
  path_ = name;
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  fs::remove_all(path_, ignored);
}

}  // namespace gateway::lab
