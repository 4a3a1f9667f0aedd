#include "admin/maintenance_store.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <system_error>
#include <utility>

#include "admin/file_descriptor.hpp"
#include "admin/marker_file_name.hpp"

namespace gateway::admin {
namespace {

namespace fs = std::filesystem;

constexpr std::size_t kMaxFileNameLength = 255;  // limit of Linux file systems
constexpr mode_t kFileMode = 0644;

bool create_file(const std::string& path) {
  FileDescriptor file(::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, kFileMode));
  return file.close();
}

std::string marker_path(const std::string& directory, const std::string& uid) {
  return directory + "/" + file_name_of(uid);
}

}  // namespace

MaintenanceStore::MaintenanceStore(const std::string& directory, std::chrono::seconds retention,
                                   OnChange on_change)
    : retention_(retention), on_change_(std::move(on_change)) {
  if (directory.empty()) {
    return;
  }
  maintenance_directory_ = directory + "/hosts-out";
  returned_directory_ = directory + "/hosts-back";
  std::error_code ec;
  fs::create_directories(maintenance_directory_, ec);
  if (!ec) {
    fs::create_directories(returned_directory_, ec);
  }
  if (ec) {
    throw std::system_error(ec, "cannot record the hosts in maintenance in " + directory);
  }
  remove_expired_markers();
  // A host that returned recently was restarted, which the endpoint list may not show yet. The end
  // of its maintenance is reported again, so that it is treated as cold.
  for (const std::string& uid : read_ids(returned_directory_)) {
    on_change_(uid, MaintenanceState::in_maintenance);
    on_change_(uid, MaintenanceState::in_service);
  }
  refresh();
}

// The ids in the names of the marker files. The content of a file is ignored, so an empty or half
// written file is valid. If the maintenance directory can't be read, the known state is returned.
std::set<std::string> MaintenanceStore::read_ids(const std::string& directory) const {
  std::set<std::string> found;
  std::error_code ec;
  for (fs::directory_iterator it(directory, ec), end; !ec && it != end; it.increment(ec)) {
    if (const auto uid = id_of_file_name(it->path().filename().string())) {
      found.insert(*uid);
    }
  }
  if (ec) {
    return directory == maintenance_directory_ ? in_maintenance_ : std::set<std::string>{};
  }
  return found;
}

bool MaintenanceStore::start_maintenance(const std::string& uid) {
  if (!maintenance_directory_.empty()) {
    if (file_name_of(uid).size() > kMaxFileNameLength ||
        !create_file(marker_path(maintenance_directory_, uid))) {
      return false;
    }
    ::unlink(marker_path(returned_directory_, uid).c_str());
  }
  if (in_maintenance_.insert(uid).second) {
    on_change_(uid, MaintenanceState::in_maintenance);
  }
  return true;
}

bool MaintenanceStore::end_maintenance(const std::string& uid) {
  if (!maintenance_directory_.empty()) {
    const std::string from = marker_path(maintenance_directory_, uid);
    const std::string to = marker_path(returned_directory_, uid);
    ::utimensat(AT_FDCWD, from.c_str(), nullptr, 0);  // the retention begins now
    if (::rename(from.c_str(), to.c_str()) != 0 && errno != ENOENT) {
      return false;
    }
    remove_expired_markers();
  }
  if (in_maintenance_.erase(uid) > 0) {
    on_change_(uid, MaintenanceState::in_service);
  }
  return true;
}

void MaintenanceStore::refresh() {
  if (maintenance_directory_.empty()) {
    return;
  }
  const std::set<std::string> found = read_ids(maintenance_directory_);
  if (found == in_maintenance_) {
    return;
  }
  const std::set<std::string> before = std::exchange(in_maintenance_, found);
  for (const std::string& uid : found) {
    if (!before.count(uid)) {
      on_change_(uid, MaintenanceState::in_maintenance);
    }
  }
  for (const std::string& uid : before) {
    if (!found.count(uid)) {
      on_change_(uid, MaintenanceState::in_service);
    }
  }
}

void MaintenanceStore::remove_expired_markers() {
  std::error_code ec;
  const auto now = fs::file_time_type::clock::now();
  for (const std::string& uid : read_ids(returned_directory_)) {
    const std::string path = marker_path(returned_directory_, uid);
    const auto returned_at = fs::last_write_time(path, ec);
    if (!ec && now - returned_at > retention_) {
      ::unlink(path.c_str());
    }
  }
}

}  // namespace gateway::admin
