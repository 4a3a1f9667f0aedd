// Helpers of the commands that run in real time: interrupts, the gateway executable, a temporary
// folder for its files.
#pragma once

#include <filesystem>
#include <string>

namespace gateway::lab {

// After this call SIGINT (Ctrl-C) and SIGTERM only set interrupted(); SIGPIPE is ignored.
void install_signal_handlers();
bool interrupted();  // whether SIGINT or SIGTERM was received

// Path of `name` in the folder of the running executable.
std::string path_beside_executable(const char* name);
void require_executable(const std::string& path);  // throws BadInput if the file is not executable

// A new folder under the system's temporary folder, removed with its contents by the destructor.
// The constructor throws BadInput if the folder cannot be created.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

}  // namespace gateway::lab
