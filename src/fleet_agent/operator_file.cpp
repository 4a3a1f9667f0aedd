#include "fleet_agent/operator_file.hpp"

#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "fleet_agent/config_section.hpp"
#include "fleet_agent/successor_name.hpp"
#include "membership/codec.hpp"

namespace gateway::fleet_agent {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using Presence = ConfigSection::Presence;

constexpr std::size_t kMaxLimits = 32;  // rate limits in one operator file

std::string describe(const std::string& file, const std::string& field,
                     const std::string& problem) {
  return file + ": " + (field.empty() ? "" : field + " ") + problem;
}

// Removes the JSON library's prefix "[json.exception.parse_error.101] ".
std::string without_exception_id(const std::string& message) {
  const auto end_of_id = message.find("] ");
  return end_of_id == std::string::npos ? message : message.substr(end_of_id + 2);
}

void read_identity(ConfigSection& section, Config& config) {
  section.read_string("fleet", config.fleet_name, Presence::required);
  section.read_string("name", config.membership.name);
  if (config.membership.name.empty() || config.membership.name.size() > membership::kMaxNameBytes) {
    section.fail("name", "is empty or too long; expected 1 to " +
                             std::to_string(membership::kMaxNameBytes) + " bytes");
  }
  if (is_successor_name(config.membership.name)) {
    section.fail("name", "ends in \"" + std::string(kSuccessorSuffix) +
                             "\", as names of successors do; expected another name");
  }
}

void read_addresses(ConfigSection& section, Config& config) {
  membership::Address listen;
  section.read_address("listen", listen, Presence::required);
  config.listen = {boost::asio::ip::address_v4(listen.ip), listen.port};
  config.membership.address = listen;
  section.read_address("address", config.membership.address);
  if (config.membership.address.ip == 0) {
    section.fail(
        "address",
        "is missing or 0.0.0.0; expected an address at which other members reach this gateway");
  }
}

void read_seeds(ConfigSection& section, Config& config) {
  const json* seeds = section.find("seeds");
  if (!seeds) {
    return;
  }
  if (!seeds->is_array()) {
    section.fail("seeds", "must be a list of addresses [...]");
  }
  for (const json& seed : *seeds) {
    std::optional<membership::Address> address;
    if (seed.is_string()) {
      address = membership::parse_address(seed.get<std::string>());
    }
    if (!address) {
      section.fail("seeds", "contains " + seed.dump() +
                                "; expected IPv4 addresses with a port such as \"10.0.0.7:7946\"");
    }
    if (*address != config.membership.address) {
      config.seeds.push_back(*address);
    }
  }
}

void read_retries(ConfigSection& parent, const std::string& file,
                  fleet_state::FleetStateConfig& config) {
  const json* object = parent.find("retries");
  if (!object) {
    return;
  }
  ConfigSection section(*object, file, "retries");
  double retry_ratio = 0;
  section.read_number("share", 0, 10, retry_ratio, Presence::required);
  config.retry_ratio = retry_ratio;
  section.read_integer("lapse_slots", 1U, 600U, config.retry_token_lifetime_slots);
  section.reject_unknown_fields();
}

fleet_state::RateLimitConfig read_limit(ConfigSection section) {
  fleet_state::RateLimitConfig limit;
  std::string until_bootstrapped = "closed";
  section.read_string("name", limit.name, Presence::required);
  section.read_string("class", limit.request_class);
  section.read_string("tenant", limit.tenant);
  section.read_number("per_s", 0.001, 1e9, limit.requests_per_second, Presence::required);
  section.read_string("unknown", until_bootstrapped);
  if (until_bootstrapped != "open" && until_bootstrapped != "closed") {
    section.fail("unknown", "is '" + until_bootstrapped + R"('; expected "open" or "closed")");
  }
  limit.open_until_bootstrapped = until_bootstrapped == "open";
  section.reject_unknown_fields();
  return limit;
}

void read_limits(ConfigSection& parent, const std::string& file,
                 fleet_state::FleetStateConfig& config) {
  const json* list = parent.find("limits");
  if (!list) {
    return;
  }
  if (!list->is_array() || list->size() > kMaxLimits) {
    parent.fail("limits",
                "must be a list of limits, of length at most " + std::to_string(kMaxLimits));
  }
  for (std::size_t i = 0; i < list->size(); ++i) {
    config.limits.push_back(
        read_limit(ConfigSection((*list)[i], file, "limits[" + std::to_string(i) + "]")));
  }
}

void read_hosts(ConfigSection& parent, const std::string& file,
                fleet_state::FleetStateConfig& config) {
  const json* object = parent.find("hosts");
  if (!object) {
    return;
  }
  ConfigSection section(*object, file, "hosts");
  fleet_state::OutlierConsensusSettings& consensus = config.outlier_consensus;
  config.shares_host_health = true;
  section.read_integer("quorum", 2U, 1000U, consensus.quorum);
  section.read_number("most_out", 0, 0.9, consensus.max_ejected_fraction);
  section.read_duration("lapse_s", 1s, 1, 3600, consensus.report_lifetime);
  section.read_duration("window_s", 1s, 1, 600, consensus.window);
  section.read_integer("least", 2U, 10000U, consensus.min_failures);
  section.read_number("bad_share", 0.01, 1, consensus.unhealthy_fraction);
  section.read_number("suspect_share", 0.01, 1, consensus.suspect_fraction);
  section.reject_unknown_fields();
}

void read_membership(ConfigSection& parent, const std::string& file,
                     membership::Settings& settings) {
  const json* object = parent.find("membership");
  if (!object) {
    return;
  }
  ConfigSection section(*object, file, "membership");
  section.read_duration("probe_ms", 1ms, 10, 60000, settings.probe_interval);
  section.read_duration("timeout_ms", 1ms, 5, 30000, settings.probe_timeout);
  section.read_duration("suspicion_least_s", 1s, 0.1, 600, settings.min_suspicion_timeout);
  section.read_duration("suspicion_most_s", 1s, 0.1, 3600, settings.max_suspicion_timeout);
  section.read_duration("forget_s", 1s, 1, 86400, settings.dead_member_retention);
  if (settings.probe_timeout >= settings.probe_interval) {
    section.fail("timeout_ms", "must be below probe_ms");
  }
  if (settings.min_suspicion_timeout > settings.max_suspicion_timeout) {
    section.fail("suspicion_least_s", "must be at most suspicion_most_s");
  }
  section.reject_unknown_fields();
}

}  // namespace

OperatorFileError::OperatorFileError(std::string file, std::string field, std::string problem)
    : std::runtime_error(describe(file, field, problem)),
      file_(std::move(file)),
      field_(std::move(field)),
      problem_(std::move(problem)) {}

// Reads the fields in the order in which docs/fleet.md describes them and reports the first error
// in that order.
Config parse_operator_file(const json& json, const std::string& file, const std::string& name) {
  ConfigSection section(json, file, "");
  Config config;
  config.membership.name = name;
  read_identity(section, config);
  read_addresses(section, config);
  read_seeds(section, config);
  fleet_state::FleetStateConfig& fleet_state = config.fleet_state;
  section.read_integer<std::size_t>("members", 1, 100000, fleet_state.min_members);
  section.read_duration("slot_ms", 1ms, 100, 60000, fleet_state.slot_duration);
  section.read_string("log", config.event_log_path);
  read_retries(section, file, fleet_state);
  read_limits(section, file, fleet_state);
  section.read_integer("limit_lapse_slots", 1U, 600U, fleet_state.limit_token_lifetime_slots);
  read_hosts(section, file, fleet_state);
  read_membership(section, file, config.membership);
  section.reject_unknown_fields();
  return config;
}

Config load_operator_file(const std::filesystem::path& path, const std::string& name) {
  std::ifstream file(path);
  if (!file || std::filesystem::is_directory(path)) {
    throw OperatorFileError(path.string(), "", "cannot be read as a file");
  }
  try {
    return parse_operator_file(json::parse(file), path.string(), name);
  } catch (const json::parse_error& error) {
    throw OperatorFileError(path.string(), "",
                            "is not valid JSON: " + without_exception_id(error.what()));
  }
}

}  // namespace gateway::fleet_agent
