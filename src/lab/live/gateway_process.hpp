// A real gateway as a child process, configured like on the platform: by GW_* environment variables
// and a JSON file.
#pragma once

#include <sys/types.h>

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <filesystem>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "lab/scenario/scenario.hpp"

namespace gateway::lab {

// Owns one child process at a time; it can be started again after it ended.
class GatewayProcess {
 public:
  struct Config {
    std::string name;
    boost::asio::ip::tcp::endpoint listen, admin, discovery;
    std::filesystem::path folder;   // of this gateway only: configuration, log, TMPDIR
    std::filesystem::path fleet{};  // operator file (GW_FLEET); empty: no fleet
    std::size_t descriptors = 4096;
    std::size_t memory_mb = 192;
    std::vector<std::string> environment{};  // further variables, NAME=VALUE
  };
  // `program` is the path of the gateway executable. Does not start the process.
  GatewayProcess(std::string program, Config config);
  ~GatewayProcess();  // kills a running process
  GatewayProcess(const GatewayProcess&) = delete;

  // Writes the configuration file and starts the process. Throws std::runtime_error when no process
  // can be created; a program that cannot be executed ends the child at once instead.
  void start(const nlohmann::json& settings, const nlohmann::json& known, std::uint64_t seed);
  void kill(int signal);               // sends a signal; does nothing if no process runs
  bool running();                      // also reaps an ended process
  bool died() const { return died_; }  // ended without SIGTERM or SIGKILL by kill()
  double cpu_seconds() const;          // user and system time so far; 0 if it does not run
  struct Usage {
    double resident_mb = 0;
    std::size_t descriptors = 0, threads = 0;
  };
  Usage usage() const;              // at present; zeros if it does not run
  double peak_resident_mb() const;  // since its start; 0 if it does not run
  pid_t id() const { return pid_; }
  const Config& config() const { return config_; }

  // A gateway accepts clients once it responds to kReadinessRequest with status 200. The request is
  // repeated every kReadinessPollInterval; a gateway that is not ready within kReadinessTimeout has
  // failed.
  static constexpr const char* kReadinessRequest =
      "GET /up HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n";
  static constexpr auto kReadinessPollInterval = std::chrono::milliseconds(50);
  static constexpr auto kReadinessTimeout = std::chrono::seconds(10);
  // Error message for a gateway that is not ready in time; names its log file.
  std::string not_ready_message() const;

 private:
  std::string program_;
  Config config_;
  pid_t pid_ = -1;
  bool killed_ = false, died_ = false;
};

// The "settings" object of the configuration file, as the platform writes it, for a scenario's
// gateway.
nlohmann::json platform_settings(const load_balancer::Settings& module, const Scenario& scenario);

std::string text_of(const boost::asio::ip::tcp::endpoint& endpoint);  // address:port

// A port of the loopback address `at` that was free at the time of the call; another process may
// bind it since.
boost::asio::ip::tcp::endpoint free_address(
    const boost::asio::ip::address_v4& at = boost::asio::ip::address_v4::loopback());

// An address of 127.0.0.0/8 that no other running process of the laboratory gets, so that runs
// beside each other do not choose the same ports.
boost::asio::ip::address_v4 loopback_address_of_this_process();

}  // namespace gateway::lab
