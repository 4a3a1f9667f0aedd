// What commands that work in real time share: interrupts, the gateway's program, a folder for its
// files.
#pragma once

#include <filesystem>
#include <string>

namespace gateway::lab {

// from now on Ctrl-C and SIGTERM do not end the process; SIGPIPE is ignored
void install_signal_handlers();
bool interrupted();  // one of them came

std::string path_beside_executable(const char* name);
void require_executable(const std::string& path);  // throws BadInput if it can't be run

// A folder of its own under the temporary one, gone with the object. Throws BadInput if it can't be
// made.
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
