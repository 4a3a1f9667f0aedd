// A real gateway as a child process, configured as the platform does it (DEPLOY): GW_* variables
// and a JSON file.
#pragma once

#include <sys/types.h>

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <filesystem>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "lab/scenario/scenario.hpp"

namespace gateway::lab {

class GatewayProcess {
 public:
  struct Config {
    std::string name;
    boost::asio::ip::tcp::endpoint listen, admin, discovery;
    std::filesystem::path folder;   // its own: configuration, log, TMPDIR
    std::filesystem::path fleet{};  // operator file of its fleet; empty: none
  };
  // Does not start it. `program`: the gateway's executable.
  GatewayProcess(std::string program, Config config);
  ~GatewayProcess();  // kills it if it still runs
  GatewayProcess(const GatewayProcess&) = delete;

  // Writes the configuration and starts. Throws std::runtime_error when the program cannot be
  // started.
  void start(const nlohmann::json& settings, const nlohmann::json& known, std::uint64_t seed);
  void kill(int signal);
  bool running();                      // also collects its end
  bool died() const { return died_; }  // ended without having been killed by us
  double cpu_seconds() const;          // user and system time so far; 0 once it has ended
  struct Usage {
    double resident_mb = 0;
    std::size_t descriptors = 0, threads = 0;
  };
  Usage usage() const;  // now; zeros once it has ended
  pid_t id() const { return pid_; }
  const Config& config() const { return config_; }

  // A gateway is asked with kReadinessRequest whether it takes clients, once each
  // kReadinessPollInterval, and answers 200 then; one that does not within kReadinessTimeout has
  // failed.
  static constexpr const char* kReadinessRequest =
      "GET /up HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n";
  static constexpr auto kReadinessPollInterval = std::chrono::milliseconds(50);
  static constexpr auto kReadinessTimeout = std::chrono::seconds(10);
  std::string not_ready_message() const;  // what to say of it then, with where its log is

 private:
  std::string program_;
  Config config_;
  pid_t pid_ = -1;
  bool killed_ = false, died_ = false;
};

// The settings object of the platform for a scenario's gateway.
nlohmann::json platform_settings(const load_balancer::Settings& module, const Scenario& scenario);

std::string text_of(const boost::asio::ip::tcp::endpoint& endpoint);  // address:port

// A loopback address that was free a moment ago.
boost::asio::ip::tcp::endpoint free_address();

}  // namespace gateway::lab
