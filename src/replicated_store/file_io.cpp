#include "replicated_store/file_io.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <utility>

namespace gateway::replicated_store {

namespace fs = std::filesystem;

DiskError::DiskError(fs::path file, const std::string& problem)
    : std::runtime_error(file.string() + ": " + problem), file_(std::move(file)) {}

void throw_errno(const fs::path& file, const std::string& operation) {
  throw DiskError(file, operation + ": " + std::strerror(errno));
}

FileDescriptor::FileDescriptor(const fs::path& file, int flags, unsigned mode)
    : fd_(::open(file.c_str(), flags | O_CLOEXEC, mode)) {
  if (fd_ < 0) {
    throw_errno(file, "open");
  }
}

FileDescriptor::FileDescriptor(FileDescriptor&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)) {}

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& other) noexcept {
  if (this != &other) {
    close();
    fd_ = std::exchange(other.fd_, -1);
  }
  return *this;
}

void FileDescriptor::close() {
  if (fd_ >= 0) {
    ::close(std::exchange(fd_, -1));
  }
}

std::string read_file(const fs::path& file) {
  std::ifstream in(file, std::ios::binary);
  std::string bytes((std::istreambuf_iterator<char>(in)), {});
  if (!in.good() && !in.eof()) {
    throw DiskError(file, "cannot be read");
  }
  return bytes;
}

bool write_at(int fd, const std::string& bytes, std::uint64_t offset) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t result = ::pwrite(fd, bytes.data() + written, bytes.size() - written,
                                    static_cast<off_t>(offset + written));
    if (result < 0 && errno == EINTR) {
      continue;
    }
    if (result <= 0) {
      return false;
    }
    written += static_cast<std::size_t>(result);
  }
  return true;
}

void write_file_atomically(const fs::path& file, const std::string& bytes) {
  constexpr unsigned kOwnerOnlyMode = 0600;
  const fs::path temporary = file.string() + ".new";
  FileDescriptor fd(temporary, O_WRONLY | O_CREAT | O_TRUNC, kOwnerOnlyMode);
  if (!write_at(fd.get(), bytes, 0) || ::fsync(fd.get()) != 0) {
    const int error = errno;
    fd.close();
    ::unlink(temporary.c_str());
    errno = error;
    throw_errno(temporary, "write");
  }
  fd.close();
  if (::rename(temporary.c_str(), file.c_str()) != 0) {
    throw_errno(file, "rename");
  }
  sync_directory(file.parent_path());
}

void sync_directory(const fs::path& directory) {
  const FileDescriptor fd(directory, O_RDONLY | O_DIRECTORY);
  if (::fsync(fd.get()) != 0) {
    throw_errno(directory, "fsync");
  }
}

}  // namespace gateway::replicated_store
