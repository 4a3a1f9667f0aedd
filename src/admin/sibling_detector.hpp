/// @file
/// Detects another running process of the same gateway. Two processes run while a new version
/// replaces the old one.
#pragma once

#include <string>

#include "admin/file_descriptor.hpp"

namespace gateway::admin {

/// Each process creates and locks a file in a shared directory. The operating system releases the
/// lock when the process ends, even if it is killed.
class SiblingDetector {
 public:
  /// Creates and locks this process's file under `directory`. If `directory` is empty, no sibling
  /// is ever detected. Throws std::system_error if the file can't be created or locked.
  explicit SiblingDetector(std::string directory);
  ~SiblingDetector();
  SiblingDetector(const SiblingDetector&) = delete;
  SiblingDetector& operator=(const SiblingDetector&) = delete;

  /// Whether a sibling is running. Removes the files of processes that have ended.
  bool has_sibling();

 private:
  std::string directory_;
  std::string own_path_;
  FileDescriptor lock_;
};

}  // namespace gateway::admin
