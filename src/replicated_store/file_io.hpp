// File operations of the write-ahead log. A function that replaces a file or syncs a directory
// returns only after its effect is on the disk.
#pragma once

#include <cstdint>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace gateway::replicated_store {

// A file operation failed; the caller must treat it as without effect. what() is one line: the file
// and the problem.
class DiskError : public std::runtime_error {
 public:
  DiskError(std::filesystem::path file, const std::string& problem);

  const std::filesystem::path& file() const { return file_; }

 private:
  std::filesystem::path file_;
};

// The contents of a file were damaged after they had been written. The member must not start with
// this log, because acknowledged entries or a vote may be lost.
class CorruptLogError : public DiskError {
 public:
  using DiskError::DiskError;
};

// Throws a DiskError with the operation and the text of errno.
[[noreturn]] void throw_errno(const std::filesystem::path& file, const std::string& operation);

// Owns a file descriptor and closes it on destruction.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  // Opens a file; throws DiskError.
  FileDescriptor(const std::filesystem::path& file, int flags, unsigned mode = 0);
  ~FileDescriptor() { close(); }
  FileDescriptor(FileDescriptor&& other) noexcept;
  FileDescriptor& operator=(FileDescriptor&& other) noexcept;
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;

  int get() const { return fd_; }  // -1: none
  void close();

 private:
  int fd_ = -1;
};

// Returns the whole contents of a file; throws DiskError.
std::string read_file(const std::filesystem::path& file);
// Writes all bytes at the offset, without a sync. False, with the reason in errno, if that fails.
bool write_at(int fd, const std::string& bytes, std::uint64_t offset);
// Writes and syncs FILE.new, then renames it, so that after a crash the file has either its
// previous or its new contents. Throws DiskError.
void write_file_atomically(const std::filesystem::path& file, const std::string& bytes);
// Makes creations, renames and removals in the directory durable; throws DiskError.
void sync_directory(const std::filesystem::path& directory);

}  // namespace gateway::replicated_store
