#include "admin/admin_service.hpp"

#include <charconv>
#include <optional>
#include <utility>

namespace gateway::admin {
namespace {

/// Half of the 0.1 s within which a call to one process must take effect in its sibling.
constexpr auto kRefreshInterval = std::chrono::milliseconds(50);
constexpr std::string_view kHostsPath = "/hosts/";

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;
constexpr unsigned kInternalError = 500;
constexpr unsigned kServiceUnavailable = 503;

std::optional<std::string> percent_decoded(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    unsigned value = 0;
    if (i + 2 >= text.size()) {
      return std::nullopt;
    }
    const auto [end, error] = std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16);
    if (error != std::errc{} || end != text.data() + i + 3) {
      return std::nullopt;
    }
    decoded += static_cast<char>(value);
    i += 2;
  }
  return decoded;
}

AdminReply unknown_path() {
  return {kNotFound, "unknown path", {}};
}

AdminReply not_recorded() {
  return {kInternalError, "the change could not be recorded on disk: nothing was changed", {}};
}

AdminReply method_not_allowed(const char* allowed) {
  return {kMethodNotAllowed, std::string("method not allowed: use ") + allowed, allowed};
}

}  // namespace

AdminService::AdminService(std::string directory, std::chrono::seconds retention, Controls controls)
    : controls_(std::move(controls)),
      maintenance_(directory, retention,
                   [this](const std::string& uid, MaintenanceState state) {
                     controls_.set_maintenance(uid, state == MaintenanceState::in_maintenance);
                   }),
      sibling_detector_(std::move(directory)) {
  for (const std::string& uid : maintenance_.hosts_in_maintenance()) {
    controls_.log("host " + uid + " is in maintenance by an earlier call");
  }
  refresh();
}

AdminReply AdminService::handle(const AdminCall& call) {
  if (call.path == "/healthcheck") {
    return handle_healthcheck(call);
  }
  if (call.path == "/healthcheck/fail") {
    return handle_drain(call, true);
  }
  if (call.path == "/healthcheck/ok") {
    return handle_drain(call, false);
  }
  if (call.path.rfind(kHostsPath, 0) == 0) {
    return handle_host(std::string_view(call.path).substr(kHostsPath.size()), call);
  }
  return unknown_path();
}

AdminReply AdminService::handle_healthcheck(const AdminCall& call) {
  if (call.method != "GET" && call.method != "HEAD") {
    return method_not_allowed("GET");
  }
  if (!controls_.accepts_clients()) {
    return {kServiceUnavailable, "takes no clients", {}};
  }
  return {kOk, "takes clients", {}};
}

AdminReply AdminService::handle_drain(const AdminCall& call, bool drained) {
  if (call.method != "POST") {
    return method_not_allowed("POST");
  }
  controls_.set_drained(drained);
  return succeed(drained ? "gateway drained" : "gateway accepts clients again");
}

AdminReply AdminService::handle_host(std::string_view path, const AdminCall& call) {
  const std::size_t slash = path.rfind('/');
  const std::string_view action = slash == std::string_view::npos ? "" : path.substr(slash + 1);
  if (action != "maint" && action != "ready") {
    return unknown_path();
  }
  const auto uid = percent_decoded(path.substr(0, slash));
  if (!uid) {
    return {kBadRequest, "the host id has an invalid percent-encoding", {}};
  }
  if (call.method != "POST") {
    return method_not_allowed("POST");
  }
  if (!listed_ids_.has(*uid) && !maintenance_.is_in_maintenance(*uid)) {
    return {kNotFound, "discovery has never listed a host with this id", {}};
  }
  if (action == "maint") {
    return maintenance_.start_maintenance(*uid) ? succeed("host " + *uid + " put in maintenance")
                                                : not_recorded();
  }
  return maintenance_.end_maintenance(*uid) ? succeed("host " + *uid + " returned to service")
                                            : not_recorded();
}

AdminReply AdminService::succeed(const std::string& change) {
  controls_.log("operator: " + change);
  return {kOk, change, {}};
}

void AdminService::refresh() {
  maintenance_.refresh();
  const bool has_sibling = sibling_detector_.has_sibling();
  if (has_sibling == std::exchange(has_sibling_, has_sibling)) {
    return;
  }
  controls_.set_has_sibling(has_sibling);
  controls_.log(has_sibling ? "another process of this gateway runs"
                            : "the only process of this gateway");
}

void AdminStatePoller::wait() {
  timer_.expires_after(kRefreshInterval);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (ec) {
      return;
    }
    service_.refresh();
    wait();
  });
}

}  // namespace gateway::admin
