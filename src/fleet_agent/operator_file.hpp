// The operator file, a JSON file that configures what a gateway shares with its fleet.
// docs/fleet.md describes its fields. Without an operator file, as on the platform, a gateway
// belongs to no fleet and nothing of this module runs.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <filesystem>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "fleet_state/fleet_state.hpp"
#include "membership/settings.hpp"

namespace gateway::fleet_agent {

// An error in the operator file. what() is one line, "file: field problem", where the problem
// states what is expected.
class OperatorFileError : public std::runtime_error {
 public:
  // `field` is empty if the problem concerns the whole file.
  OperatorFileError(std::string file, std::string field, std::string problem);

  const std::string& file() const { return file_; }
  const std::string& field() const { return field_; }
  const std::string& problem() const { return problem_; }

 private:
  std::string file_;
  std::string field_;
  std::string problem_;
};

// The content of the operator file.
struct Config {
  std::string fleet_name;                  // datagrams of other fleets are dropped
  boost::asio::ip::udp::endpoint listen;   // to which the UDP socket is bound
  std::vector<membership::Address> seeds;  // of members to join through, not of this gateway
  membership::Settings membership;
  fleet_state::FleetStateConfig fleet_state;
  std::string event_log_path;  // empty: no event log
};

// Reads and validates the file at `path`. `name`: the gateway's name, used if the file contains
// none. Throws OperatorFileError for the first error found.
Config load_operator_file(const std::filesystem::path& path, const std::string& name);
// The same for a file that was parsed already. `file`: its name in error messages.
Config parse_operator_file(const nlohmann::json& json, const std::string& file,
                           const std::string& name);

}  // namespace gateway::fleet_agent
