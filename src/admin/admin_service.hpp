/// @file
/// The operators' calls and the state that they set, independent of the HTTP server.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <string_view>

#include "admin/admin_server.hpp"
#include "admin/bounded_id_set.hpp"
#include "admin/maintenance_store.hpp"
#include "admin/sibling_detector.hpp"

namespace gateway::admin {

/// Handles operators' calls:
/// - GET /healthcheck: 200 if the gateway accepts clients, otherwise 503.
/// - POST /healthcheck/fail and /healthcheck/ok: drain the gateway, end draining.
/// - POST /hosts/UID/maint and /hosts/UID/ready: begin and end the maintenance of a host.
/// Used on the event loop's thread only.
class AdminService {
 public:
  /// The service's access to the gateway, which must outlive the service. The last three may be
  /// called from within the constructor.
  struct Controls {
    std::function<bool()> accepts_clients;
    std::function<void(bool drained)> set_drained;
    /// Called when the maintenance of a host begins or ends.
    std::function<void(const std::string& uid, bool in_maintenance)> set_maintenance;
    /// Called when the first sibling process has started and when the last one has ended.
    std::function<void(bool has_sibling)> set_has_sibling;
    std::function<void(std::string)> log;
  };

  /// `directory` is shared by the processes of a gateway. If it is empty, state is kept in memory
  /// only and siblings are not detected. `retention`: see MaintenanceStore. Throws
  /// std::system_error if the directory can't be used.
  AdminService(std::string directory, std::chrono::seconds retention, Controls controls);

  /// Executes a call. Each successful POST is logged.
  AdminReply handle(const AdminCall& call);
  /// To be called for each host in an endpoint list: from then on, calls for the host are accepted.
  void on_endpoint_listed(const std::string& uid) { listed_ids_.add(uid); }
  /// Applies the changes that other processes of this gateway have recorded, and checks whether a
  /// sibling runs.
  void refresh();

 private:
  AdminReply handle_healthcheck(const AdminCall& call);
  AdminReply handle_drain(const AdminCall& call, bool drained);
  AdminReply handle_host(std::string_view path, const AdminCall& call);
  AdminReply succeed(const std::string& change);

  Controls controls_;
  MaintenanceStore maintenance_;
  BoundedIdSet listed_ids_;
  SiblingDetector sibling_detector_;
  bool has_sibling_ = false;
};

/// Calls AdminService::refresh() every 50 ms until it is destroyed, so that a call to one process
/// takes effect in its siblings within 0.1 s.
class AdminStatePoller {
 public:
  /// The service must outlive the poller.
  AdminStatePoller(boost::asio::io_context& io, AdminService& service)
      : timer_(io), service_(service) {
    wait();
  }

 private:
  void wait();
  boost::asio::steady_timer timer_;
  AdminService& service_;
};

}  // namespace gateway::admin
