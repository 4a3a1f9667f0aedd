/// @file
/// Ownership of a POSIX file descriptor.
#pragma once

#include <unistd.h>

#include <utility>

namespace gateway::admin {

/// Owns a file descriptor and closes it when destroyed.
class FileDescriptor {
 public:
  /// Takes ownership of `descriptor`. A negative value, as open() returns on failure, means none.
  explicit FileDescriptor(int descriptor = kNone) : descriptor_(descriptor) {}
  ~FileDescriptor() { close(); }
  FileDescriptor(FileDescriptor&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, kNone)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    if (this != &other) {
      close();
      descriptor_ = std::exchange(other.descriptor_, kNone);
    }
    return *this;
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;

  bool is_open() const { return descriptor_ >= 0; }
  int get() const { return descriptor_; }
  /// Closes the descriptor now. Returns false if there is none or if ::close() fails; errno is then
  /// as ::close() has set it.
  bool close() {
    const int descriptor = std::exchange(descriptor_, kNone);
    return descriptor >= 0 && ::close(descriptor) == 0;
  }

 private:
  static constexpr int kNone = -1;
  int descriptor_;
};

}  // namespace gateway::admin
