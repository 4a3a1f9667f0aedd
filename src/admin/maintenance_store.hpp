/// @file
/// The hosts that operators have put in maintenance, recorded as a marker file for each host.
#pragma once

#include <chrono>
#include <functional>
#include <set>
#include <string>

namespace gateway::admin {

/// State of a host as set by an operator.
enum class MaintenanceState { in_service, in_maintenance };

/// Records which hosts are in maintenance, in a directory that all processes of a gateway share: a
/// change outlives the process that recorded it, and the other processes apply it with their next
/// refresh(). Used on the event loop's thread only.
class MaintenanceStore {
 public:
  /// Called with each change of a host's state, by whichever process it was made.
  using OnChange = std::function<void(const std::string& uid, MaintenanceState state)>;

  /// If `directory` is empty, the state is kept in memory only. Calls `on_change` for the hosts
  /// that are already recorded. A host that returned to service less than `retention` ago is
  /// reported as in maintenance and then as in service, so that a process that starts treats it as
  /// warming up. Throws std::system_error if the directory can't be created.
  MaintenanceStore(const std::string& directory, std::chrono::seconds retention,
                   OnChange on_change);

  /// Records the state of a host and, if it has changed, calls `on_change` before returning.
  /// Returns false if the state could not be recorded; nothing has changed then.
  bool start_maintenance(const std::string& uid);
  bool end_maintenance(const std::string& uid);
  /// Reads the state that other processes have recorded and calls `on_change` for each change.
  void refresh();

  bool is_in_maintenance(const std::string& uid) const { return in_maintenance_.count(uid) > 0; }
  const std::set<std::string>& hosts_in_maintenance() const { return in_maintenance_; }

 private:
  std::set<std::string> read_ids(const std::string& directory) const;
  void remove_expired_markers();

  std::string maintenance_directory_;  // empty: state in memory only
  std::string returned_directory_;
  std::chrono::seconds retention_;
  OnChange on_change_;
  std::set<std::string> in_maintenance_;
};

}  // namespace gateway::admin
