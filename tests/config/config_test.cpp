// Tests of the configuration, read from the environment and a JSON file, and of load reports.
#include "config/config.hpp"

#include <cstdio>
#include <fstream>
#include <stdexcept>

#include "http/load_report.hpp"
#include "support/network_peers.hpp"

namespace gateway::testing {
namespace {

using config::ConfigError;

const char* empty_environment(const char*) {
  return nullptr;
}

/// An environment in which only `name` is set.
config::Environment environment_with(const std::string& name, const char* value) {
  return [name, value](const char* variable) {
    return name == variable ? value : nullptr;
  };
}

config::Config parse(const json& document) {
  return config::parse_config(document, empty_environment);
}

/// Expects an error of one line that contains `field`.
void expect_error(const json& document, const std::string& field) {
  try {
    parse(document);
    FAIL() << "no error for field " << field;
  } catch (const ConfigError& error) {
    const std::string line = error.what();
    EXPECT_NE(line.find(field), std::string::npos) << line;
    EXPECT_EQ(line.find('\n'), std::string::npos) << "more than one line: " << line;
  }
}

/// The error that reading `document` throws.
ConfigError error_of(const json& document) {
  try {
    parse(document);
  } catch (const ConfigError& error) {
    return error;
  }
  throw std::logic_error("the document was accepted");
}

TEST(Config, ReadsSettingsAndKnownEndpoints) {
  json document = config_json();
  document["known"] = {
      {"rev", 41}, {"all", true}, {"targets", {target("s-1", loopback(81), "b", "DRAINING")}}};
  document["settings"]["ceilings"]["streamsPerConn"] = 100;
  const config::Config config = parse(document);
  EXPECT_EQ(config.balancer_settings.classes.size(), 3u);
  EXPECT_EQ(config.balancer_settings.classes[2].idempotency,
            load_balancer::Idempotency::deduplicated);
  EXPECT_EQ(config.balancer_settings.classes[2].deduplication_scope,
            load_balancer::DeduplicationScope::zone);
  EXPECT_EQ(config.balancer_settings.classes[0].latency_objective, std::chrono::seconds(20));
  EXPECT_EQ(config.balancer_settings.seed, 0x8c1f30d27a5be964u);
  EXPECT_TRUE(config.balancer_settings.poll_discovery &&
              config.balancer_settings.allow_cancellation &&
              !config.balancer_settings.allow_hedging);
  EXPECT_EQ(config.balancer_settings.streams_per_connection, 1u)
      << "an HTTP/1.1 connection carries one request at a time, even if streamsPerConn is 100";
  ASSERT_TRUE(config.known_endpoints);
  EXPECT_EQ(config.known_endpoints->version, 41);
  EXPECT_EQ(config.known_endpoints->hosts.at(0).state, discovery::ListedEndpointState::draining);
}

TEST(Config, EnvironmentVariableOverridesFileAtStartup) {
  const config::Config config =
      config::parse_config(config_json(), environment_with("GW_LISTEN", "127.0.0.2:99"));
  EXPECT_EQ(text_of(config.listen), "127.0.0.2:99");
}

TEST(Config, HasNoAdminAddressOrPassedSocketByDefault) {
  const config::Config config = parse(config_json());
  EXPECT_FALSE(config.admin || config.passed_socket);
}

TEST(Config, ReadsAdminAddressAndPassedSocketFromFileOrEnvironment) {
  json document = config_json();
  document["admin_addr"] = "127.0.0.2:10250";

  config::Config config = config::parse_config(document, environment_with("GW_PASSED_SOCKET", "3"));
  ASSERT_TRUE(config.admin && config.passed_socket);
  EXPECT_EQ(text_of(*config.admin), "127.0.0.2:10250");
  EXPECT_EQ(*config.passed_socket, 3);

  config = config::parse_config(document, environment_with("GW_ADMIN_ADDR", "127.0.0.3:1"));
  EXPECT_EQ(text_of(*config.admin), "127.0.0.3:1") << "the environment variable overrides the file";
}

void expect_invalid_passed_socket(const json& document, const char* value) {
  EXPECT_THROW(config::parse_config(document, environment_with("GW_PASSED_SOCKET", value)),
               ConfigError);
}

TEST(Config, ThrowsOnInvalidPassedSocketDescriptor) {
  json document = config_json();
  document["admin_addr"] = "127.0.0.2:10250";
  for (const char* value : {"2", "x", "3x", "-3", "99999999999"}) {
    SCOPED_TRACE(value);
    expect_invalid_passed_socket(document, value);
  }
}

TEST(Config, ReportsInvalidAddressInOneLine) {
  expect_error(json::array(), "configuration");
  json document = config_json();
  document.erase("listen");
  expect_error(document, "GW_LISTEN");

  document = config_json();
  document["discovery"] = "nowhere";
  expect_error(document, "GW_DISCOVERY");

  document = config_json();
  document["admin_addr"] = "nowhere";
  expect_error(document, "GW_ADMIN_ADDR");
}

TEST(Config, ReportsInvalidSettingInOneLine) {
  json document = config_json();
  document["settings"].erase("grades");
  expect_error(document, "grades");

  document = config_json();
  document["settings"]["grades"][0]["aimNs"] = "soon";
  expect_error(document, "aimNs");

  document = config_json();
  document["settings"]["grades"][0]["effect"] = "odd";
  expect_error(document, "effect");

  document = config_json();
  document["settings"]["ceilings"]["maxAttempts"] = -1;
  expect_error(document, "maxAttempts");

  document = config_json();
  document["settings"]["rules"]["coldShare"] = 0;
  expect_error(document, "coldShare");
}

// Negative limits must not be converted to large unsigned numbers.
TEST(Config, ReportsInvalidSeedLimitOrEndpointListInOneLine) {
  json document = config_json();
  document["seed"] = "xyz";
  expect_error(document, "seed");

  document = config_json();
  document["limits"]["sockets"] = 3;
  expect_error(document, "sockets");
  document["limits"]["sockets"] = -4096;
  expect_error(document, "sockets");

  document = config_json();
  document["limits"]["memory_mb"] = 0;
  expect_error(document, "memory_mb");
  document["limits"]["memory_mb"] = -64;
  expect_error(document, "memory_mb");

  document = config_json();
  document["known"] = {{"rev", 1}, {"targets", {{{"uid", "s-1"}, {"state", "ODD"}}}}};
  expect_error(document, "known");
}

TEST(ConfigError, NamesFieldMistakeAndExpectedValue) {
  json document = config_json();
  document["settings"]["ceilings"]["maxAttempts"] = -1;
  const ConfigError error = error_of(document);
  EXPECT_STREQ(error.what(), "maxAttempts: out of range");
  EXPECT_EQ(error.field(), "maxAttempts");
  EXPECT_EQ(error.mistake(), "out of range");
  EXPECT_EQ(error.expected(), "a whole number from 0 to 4294967295");
  EXPECT_EQ(error.file(), "") << "the document was not read from a file";
}

TEST(ConfigError, NamesConfigurationFile) {
  const std::string path = ::testing::TempDir() + "empty_config.json";
  std::ofstream(path) << "{}";
  try {
    config::load_config(environment_with("GW_CONFIG", path.c_str()));
    FAIL() << "no error for a file without an address";
  } catch (const ConfigError& error) {
    EXPECT_STREQ(error.what(), "GW_LISTEN is not set");
    EXPECT_EQ(error.file(), path);
  }
  std::remove(path.c_str());
}

// Guards against a reworded error message: operators' scripts match these lines.
TEST(ConfigError, KeepsPrintedLines) {
  EXPECT_STREQ(error_of(json::array()).what(), "the configuration is no object");

  json document = config_json();
  document["discovery"] = "nowhere";
  EXPECT_STREQ(error_of(document).what(), "GW_DISCOVERY: 'nowhere' is no address:port");

  document = config_json();
  document["settings"].erase("grades");
  EXPECT_STREQ(error_of(document).what(), "grades: missing or no list");

  document = config_json();
  document["settings"]["grades"][0] = 1;
  EXPECT_STREQ(error_of(document).what(), "grades: an entry is no object");

  document = config_json();
  document["settings"]["grades"][0]["effect"] = "odd";
  EXPECT_STREQ(error_of(document).what(), "effect: unknown 'odd'");

  document = config_json();
  document["settings"]["rules"] = 1;
  EXPECT_STREQ(error_of(document).what(), "rules is no object");

  document = config_json();
  document["seed"] = "xyz";
  EXPECT_STREQ(error_of(document).what(), "seed: 'xyz' is no hexadecimal number");

  document = config_json();
  document["limits"]["sockets"] = 3;
  EXPECT_STREQ(error_of(document).what(), "sockets: at least 64 are needed");

  document = config_json();
  document["limits"]["memory_mb"] = 0;
  EXPECT_STREQ(error_of(document).what(), "memory_mb: at least 1 is needed");
}

TEST(Config, ThrowsWhenFileIsMissingOrNotJson) {
  EXPECT_THROW(config::load_config(empty_environment), ConfigError);
  EXPECT_THROW(config::load_config([](const char*) { return "/nonexistent/config.json"; }),
               ConfigError);
  const std::string path = ::testing::TempDir() + "broken_config.json";
  std::ofstream(path) << "{";
  EXPECT_THROW(config::load_config([&](const char*) { return path.c_str(); }), ConfigError);
  std::remove(path.c_str());
}

// A running process keeps the variables that it was started with, so on a reload the file is newer.
TEST(Config, FileOverridesEnvironmentVariableOnReload) {
  json document = config_json();
  document["discovery"] = "127.0.0.1:7";
  const auto environment = environment_with("GW_DISCOVERY", "127.0.0.1:6");
  const auto reload = config::LoadReason::reload;
  EXPECT_EQ(config::parse_config(document, environment).discovery.port(), 6);
  EXPECT_EQ(config::parse_config(document, environment, reload).discovery.port(), 7);

  document.erase("discovery");
  EXPECT_EQ(config::parse_config(document, environment, reload).discovery.port(), 6);
}

TEST(LoadReport, ReadsUtilizationAndServiceTime) {
  const auto report = http::read_load_report("TEXT latency_ms=14.5, util=0.62");
  ASSERT_TRUE(report);
  EXPECT_DOUBLE_EQ(report->utilization, 0.62);
  EXPECT_EQ(report->recent_service_time, std::chrono::microseconds(14500));
}

// Hosts may also report these figures under the field names `recent_ms` and `utilization`.
TEST(LoadReport, AcceptsAlternativeFieldNames) {
  const auto report = http::read_load_report("TEXT latency_ms=14.5, util=0.62");
  const auto alternative = http::read_load_report("TEXT recent_ms=14.5, utilization=0.62");
  ASSERT_TRUE(report && alternative);
  EXPECT_DOUBLE_EQ(alternative->utilization, report->utilization);
  EXPECT_EQ(alternative->recent_service_time, report->recent_service_time);
}

TEST(LoadReport, AcceptsReportWithoutServiceTimeAndClampsUtilization) {
  const auto report = http::read_load_report(" TEXT queue=2,util=1.2 ");
  ASSERT_TRUE(report);
  EXPECT_EQ(report->utilization, 1);  // clamped to the maximum
  EXPECT_EQ(report->recent_service_time, load_balancer::Duration{});
}

TEST(LoadReport, IgnoresInvalidReports) {
  for (const char* text : {"", "util=0.5", "TEXT", "TEXT ", "TEXT queue=2", "TEXT util=",
                           "TEXT util=nan", "TEXT util=-0.5", "TEXT util=7", "TEXT util=0.5x",
                           "TEXT latency_ms=1e99", "BINARY util=0.5", "TEXT ,,,=,"}) {
    EXPECT_FALSE(http::read_load_report(text)) << text;
  }
}

}  // namespace
}  // namespace gateway::testing
