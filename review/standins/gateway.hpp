/// @file
/// The part of the platform: the configuration of a small deployment, and a gateway process that is
/// started with the command of the deploy file.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>

#include "net.hpp"
#include "record.hpp"

namespace review {

/// What run.sh passes to a case.
struct Place {
  std::string command;  ///< `run` of the deploy file.
  std::string root;     ///< Of the repository.
  std::string folder;   ///< Temporary.
  std::string record;
  bool trouble = true;
};

inline std::string required_variable(const char* name) {
  const char* value = std::getenv(name);
  if (!value || !*value) {
    throw std::runtime_error(std::string(name) + " is not set");
  }
  return value;
}

inline Place place_of_environment() {
  const char* trouble = std::getenv("TROUBLE");
  return {required_variable("REVIEW_COMMAND"), required_variable("REVIEW_ROOT"),
          required_variable("REVIEW_FOLDER"), required_variable("REVIEW_RECORD"),
          !trouble || std::string(trouble) != "0"};
}

struct Limits {
  int memory_mb = 192;
  int sockets = 1024;
};

/// The settings have the names and the figures of the site sofia-signing.
inline std::string settings_json() {
  return R"({"ceilings":{"cancel":true,"connectTimeoutNs":250000000,"cpuUsPerRequest":0.0,
"cpuUsPerS":15000,"idleCloseNs":15000000000,"maxAttempts":4,"maxRetryAfterNs":2000000000,
"openCap":20000,"parallelTries":true,"peers":false,"probes":true,"retryAfter":true,
"streamsPerConn":1},"clientHabits":{"marksRetry":false},"countedBy":"work",
"domain":{"warmKeys":true},"grades":[
{"aimNs":750000000,"effect":"retryable","giveUpNs":2500000000,"group":"all","lateShare":0.25,
"name":"status","points":2.0,"stream":false,"windowNs":5000000000},
{"aimNs":600000000,"effect":"dedup","giveUpNs":3000000000,"group":"zone","lateShare":0.25,
"name":"consent","points":8.0,"stream":false,"windowNs":15000000000},
{"aimNs":600000000,"effect":"fragile","giveUpNs":2500000000,"group":"all","lateShare":0.25,
"name":"seal","points":10.0,"stream":false,"windowNs":5000000000}],
"groupSize":1,"kindOfService":"proxy","kinds":["std-3c"],"layer":0,"myNumber":0,
"overShareWorth":0.1,"registryMode":"ask",
"report":{"fields":["recent_ms","utilization"],"via":"answers"},
"rules":{"answerSlackNs":20000000,"askWithinNs":10000000000,"coldNs":23000000000,"coldShare":0.12,
"drainGraceNs":500000000,"fallMultiple":3.0,"fallNs":1000000000},
"scoringMix":{"whole":0.45,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.35},
"stages":["sign-servers"],"stepNs":5000000,"tenants":[],"weights":"none","zone":"sofia-1",
"zones":["sofia-1","plovdiv"]})";
}

/// One gateway. Ends with the case: the process gets SIGKILL when its parent thread ends, and in
/// the destructor.
class GatewayProcess {
 public:
  GatewayProcess(const Place& place, Record& record, const Address& discovery,
                 const std::string& known, const Limits& limits)
      : place_(place), record_(record), listen_(free_address()), admin_(free_address()) {
    const std::string temporary = place.folder + "/tmp";
    ::mkdir(temporary.c_str(), 0755);
    const std::string config = place.folder + "/config.json";
    std::ofstream(config) << R"({"name":"n1","listen":")" << listen_.text() << R"(","discovery":")"
                          << discovery.text() << R"(","admin_addr":")" << admin_.text()
                          << R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)"
                          << limits.memory_mb << R"(,"sockets":)" << limits.sockets
                          << R"(},"known":)" << known << R"(,"settings":)" << settings_json()
                          << "}\n";
    pid_ = ::fork();
    if (pid_ < 0) {
      throw std::runtime_error("cannot fork");
    }
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::setenv("GW_NAME", "n1", 1);
      ::setenv("GW_LISTEN", listen_.text().c_str(), 1);
      ::setenv("GW_DISCOVERY", discovery.text().c_str(), 1);
      ::setenv("GW_ADMIN_ADDR", admin_.text().c_str(), 1);
      ::setenv("GW_CONFIG", config.c_str(), 1);
      ::setenv("TMPDIR", temporary.c_str(), 1);
      const std::string log = place.folder + "/gateway.log";
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, 1);
      ::dup2(fd, 2);
      if (::chdir(place.root.c_str()) == 0) {
        ::execl("/bin/sh", "sh", "-c", place.command.c_str(), static_cast<char*>(nullptr));
      }
      ::_exit(127);
    }
    record_.line("gateway started, pid " + std::to_string(pid_) + ", listens at " + listen_.text());
  }
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;
  ~GatewayProcess() { end(); }

  const Address& listen() const { return listen_; }
  const Address& admin() const { return admin_; }

  void send_signal(int number) {
    record_.line("gateway gets signal " + std::to_string(number));
    if (pid_ > 0) {
      ::kill(pid_, number);
    }
  }
  /// Whether the process has ended by itself.
  bool has_ended() {
    int status = 0;
    if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
      record_.line("gateway ended with status " + std::to_string(status));
      pid_ = -1;
    }
    return pid_ < 0;
  }
  void end() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
      pid_ = -1;
      record_.line("gateway ended by SIGKILL");
    }
  }
  /// A figure of /proc/PID/status in KiB, such as VmRSS.
  long status_kib(const std::string& name) const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(file, line);) {
      if (line.rfind(name + ":", 0) == 0) {
        return std::stol(line.substr(name.size() + 1));
      }
    }
    return 0;
  }
  /// Until GET /up answers 200; false after 10 s.
  bool wait_until_ready() {
    for (const std::int64_t end = now_ms() + 10000; now_ms() < end; sleep_ms(50)) {
      const Socket socket = connect_to(listen_);
      if (!socket.is_open()) {
        continue;
      }
      write_all(socket, "GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n");
      MessageReader reader(socket);
      const auto response = reader.read(now_ms() + 1000);
      if (response && response->start_line.rfind("HTTP/1.1 200", 0) == 0) {
        record_.line("gateway is ready");
        return true;
      }
    }
    return false;
  }

 private:
  const Place place_;
  Record& record_;
  const Address listen_;
  const Address admin_;
  pid_t pid_ = -1;
};

}  // namespace review
