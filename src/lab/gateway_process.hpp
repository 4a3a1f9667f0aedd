// A real gateway as a child process, configured as the platform does it (DEPLOY): GW_* variables and a JSON
// file.
#pragma once

#include <sys/types.h>

#include <boost/asio/ip/tcp.hpp>
#include <filesystem>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "lab/scenario.hpp"

namespace fennelridge::lab {

class GatewayProcess {
 public:
  struct Place {
    std::string name;
    boost::asio::ip::tcp::endpoint listen, admin, discovery;
    std::filesystem::path folder;  // its own: configuration, log, TMPDIR
  };
  // Does not start it. `program`: the gateway's executable.
  GatewayProcess(std::string program, Place place);
  ~GatewayProcess();  // kills it if it still runs
  GatewayProcess(const GatewayProcess&) = delete;

  // Writes the configuration and starts. Throws std::runtime_error when the program cannot be started.
  void start(const nlohmann::json& settings, const nlohmann::json& known, std::uint64_t seed);
  void kill(int signal);
  bool running();                      // also collects its end
  bool died() const { return died_; }  // ended without having been killed by us
  double cpuSeconds() const;           // user and system time so far; 0 once it has ended
  const Place& place() const { return place_; }

 private:
  std::string program_;
  Place place_;
  pid_t pid_ = -1;
  bool killed_ = false, died_ = false;
};

// The settings object of the platform for a scenario's gateway.
nlohmann::json platformSettings(const ochrehill::Settings& module, const Scenario& scenario);

// A loopback address that was free a moment ago.
boost::asio::ip::tcp::endpoint freeAddress();

}  // namespace fennelridge::lab
