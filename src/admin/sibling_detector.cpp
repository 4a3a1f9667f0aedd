#include "admin/sibling_detector.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <system_error>
#include <utility>

namespace gateway::admin {
namespace {

namespace fs = std::filesystem;

constexpr const char* kFilePrefix = "process-";
constexpr std::size_t kRandomSuffixLength = 6;  // the "XXXXXX" that mkostemp() replaces

std::system_error last_error(const std::string& message) {
  return {errno, std::generic_category(), message};
}

enum class LockState { locked, unlocked, unknown };

/// Returns the state of the file's lock and removes the file if no process has locked it.
LockState check_lock(const std::string& path) {
  const FileDescriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!file.is_open()) {
    return LockState::unknown;
  }
  if (::flock(file.get(), LOCK_SH | LOCK_NB) == 0) {
    ::unlink(path.c_str());
    return LockState::unlocked;
  }
  return errno == EWOULDBLOCK ? LockState::locked : LockState::unknown;
}

}  // namespace

// The file is created under a hidden name and renamed after it is locked. Otherwise a sibling could
// find the file before it is locked and remove it.
SiblingDetector::SiblingDetector(std::string directory) : directory_(std::move(directory)) {
  if (directory_.empty()) {
    return;
  }
  directory_ += "/processes";
  std::error_code ignored;  // if the directory is missing, mkostemp() reports it
  fs::create_directories(directory_, ignored);
  std::string name = directory_ + "/.new-XXXXXX";
  lock_ = FileDescriptor(::mkostemp(name.data(), O_CLOEXEC));
  if (!lock_.is_open()) {
    throw last_error("cannot write to " + directory_);
  }
  own_path_ = directory_ + "/" + kFilePrefix + name.substr(name.size() - kRandomSuffixLength);
  if (::flock(lock_.get(), LOCK_EX | LOCK_NB) != 0 ||
      ::rename(name.c_str(), own_path_.c_str()) != 0) {
    throw last_error("cannot lock a file in " + directory_);
  }
}

SiblingDetector::~SiblingDetector() {
  if (lock_.is_open()) {
    ::unlink(own_path_.c_str());  // while the file is still locked
  }
}

bool SiblingDetector::has_sibling() {
  if (!lock_.is_open()) {
    return false;
  }
  bool found = false;
  std::error_code ec;
  for (fs::directory_iterator it(directory_, ec), end; !ec && it != end; it.increment(ec)) {
    const std::string path = it->path().string();
    if (path == own_path_ || it->path().filename().string().rfind(kFilePrefix, 0) != 0) {
      continue;
    }
    found = check_lock(path) == LockState::locked || found;
  }
  return found;
}

}  // namespace gateway::admin
