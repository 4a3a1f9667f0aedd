#include "lab/live/gateway_process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <vector>

#include "lab/model/event_queue.hpp"

namespace gateway::lab {
namespace {

using boost::asio::ip::tcp;
using nlohmann::json;

constexpr double kKibPerMib = 1024;

// Gateways run at a lower priority than the laboratory: on a machine with few cores a delayed
// laboratory would make the run void.
constexpr int kGatewayNiceness = 5;

}  // namespace

std::string text_of(const tcp::endpoint& e) {
  return e.address().to_string() + ":" + std::to_string(e.port());
}

GatewayProcess::GatewayProcess(std::string program, Config config)
    : program_(std::move(program)), config_(std::move(config)) {}

std::string GatewayProcess::not_ready_message() const {
  return "gateway " + config_.name +
         " was not ready; its log: " + (config_.folder / "log.txt").string();
}

GatewayProcess::~GatewayProcess() {
  if (pid_ <= 0) {
    return;
  }
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

// NOLINTNEXTLINE(readability-function-size): too long
void GatewayProcess::start(const json& settings, const json& known, std::uint64_t seed) {
  std::filesystem::create_directories(config_.folder / "tmp");
  char hex[20];
  std::snprintf(hex, sizeof hex, "%016llx", static_cast<unsigned long long>(seed));
  const std::filesystem::path file = config_.folder / "config.json";
  std::ofstream(file) << json{
      {"name", config_.name},
      {"listen", text_of(config_.listen)},
      {"discovery", text_of(config_.discovery)},
      {"admin_addr", text_of(config_.admin)},
      {"seed", hex},
      {"limits",
       {{"cores", 1.0}, {"memory_mb", config_.memory_mb}, {"sockets", config_.descriptors}}},
      {"known", known},
      {"settings", settings}}.dump(1);
  std::vector<std::string> variables{"GW_NAME=" + config_.name,
                                     "GW_LISTEN=" + text_of(config_.listen),
                                     "GW_DISCOVERY=" + text_of(config_.discovery),
                                     "GW_ADMIN_ADDR=" + text_of(config_.admin),
                                     "GW_CONFIG=" + file.string(),
                                     "TMPDIR=" + (config_.folder / "tmp").string(),
                                     "PATH=/usr/bin:/bin"};
  if (!config_.fleet.empty()) {
    variables.push_back("GW_FLEET=" + config_.fleet.string());
  }
  variables.insert(variables.end(), config_.environment.begin(), config_.environment.end());
  std::vector<char*> environment;
  environment.reserve(variables.size());
  for (std::string& v : variables) {
    environment.push_back(v.data());
  }
  environment.push_back(nullptr);
  const std::string log = (config_.folder / "log.txt").string();
  char* arguments[] = {program_.data(), nullptr};
  const pid_t laboratory = ::getpid();
  // vfork: hundreds of gateways are started within a second, and copying the laboratory's page
  // tables for each would delay its own tasks. The child makes only system calls before execve.
  pid_ = ::vfork();
  if (pid_ < 0) {
    throw std::runtime_error("cannot create a gateway process: vfork failed");
  }
  if (pid_ == 0) {
    const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (fd >= 0) {
      ::dup2(fd, 1), ::dup2(fd, 2);
    }
    ::close_range(3, ~0U, 0);  // inherited sockets of hosts would stay open after the hosts stop
    ::setpgid(0, 0);           // Ctrl-C reaches only the laboratory, which stops the gateways
    // Ends this process when the laboratory dies, even by SIGKILL. If the laboratory died before
    // this call, no signal comes: getppid() detects that.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != laboratory) {
      ::_exit(126);
    }
    ::setpriority(PRIO_PROCESS, 0, kGatewayNiceness);
    ::execve(program_.c_str(), arguments, environment.data());
    ::_exit(127);
  }
  killed_ = false;
}

void GatewayProcess::kill(int signal) {
  if (pid_ <= 0) {
    return;
  }
  killed_ |= signal == SIGKILL || signal == SIGTERM;
  ::kill(pid_, signal);
}

bool GatewayProcess::running() {
  if (pid_ <= 0) {
    return false;
  }
  if (::waitpid(pid_, nullptr, WNOHANG) == 0) {
    return true;
  }
  pid_ = -1;
  died_ |= !killed_;
  return false;
}

double GatewayProcess::cpu_seconds() const {
  if (pid_ <= 0) {
    return 0;
  }
  std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  const auto from = text.rfind(')');
  if (from == std::string::npos) {
    return 0;
  }
  double user = 0;
  double system = 0;
  std::sscanf(text.c_str() + from + 2, "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lf %lf", &user,
              &system);
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

GatewayProcess::Usage GatewayProcess::usage() const {
  Usage out;
  if (pid_ <= 0) {
    return out;
  }
  const std::filesystem::path proc = "/proc/" + std::to_string(pid_);
  std::ifstream status(proc / "status");
  for (std::string line; std::getline(status, line);) {
    double number = 0;
    if (std::sscanf(line.c_str(), "VmRSS: %lf", &number) == 1) {
      out.resident_mb = number / 1024;
    }
    if (std::sscanf(line.c_str(), "Threads: %lf", &number) == 1) {
      out.threads = static_cast<std::size_t>(number);
    }
  }
  std::error_code ec;
  for (std::filesystem::directory_iterator it(proc / "fd", ec), end; !ec && it != end;
       it.increment(ec)) {
    ++out.descriptors;
  }
  return out;
}

double GatewayProcess::peak_resident_mb() const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(status, line);) {
    double kib = 0;
    if (std::sscanf(line.c_str(), "VmHWM: %lf", &kib) == 1) {
      return kib / kKibPerMib;
    }
  }
  return 0;
}

json platform_settings(const load_balancer::Settings& m, const Scenario& s) {
  json grades = json::array();
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    const ClassSpec& c = s.classes[i];
    const load_balancer::ClassSettings& k = m.classes[i];
    grades.push_back({{"name", c.name},
                      {"aimNs", k.latency_objective.count()},
                      {"giveUpNs", k.client_timeout.count()},
                      {"windowNs", k.deduplication_window.count()},
                      {"points", c.priority_weight},
                      {"lateShare", c.late_value_fraction},
                      {"effect", c.idempotency},
                      {"group", c.deduplication_scope}});
  }
  return {{"groupSize", m.gateway_count},
          {"myNumber", m.gateway_index},
          {"zone", m.zone},
          {"registryMode", "ask"},
          {"weights", "none"},
          {"stepNs", m.event_batch_interval.count()},
          {"domain", {{"warmKeys", m.key_affinity}}},
          {"ceilings",
           {{"parallelTries", m.allow_hedging},
            {"retryAfter", m.send_retry_after},
            {"cancel", m.allow_cancellation},
            {"maxAttempts", m.max_attempts},
            {"idleCloseNs", m.idle_connection_timeout.count()},
            {"maxRetryAfterNs", m.max_retry_after.count()},
            {"connectTimeoutNs", from_millis(s.hosts.connections.timeout_ms).count()}}},
          {"rules",
           {{"askWithinNs", m.max_poll_interval.count()},
            {"coldNs", m.warmup_duration.count()},
            {"coldShare", m.initial_warmup_fraction},
            {"fallMultiple", m.collapse_load_factor},
            {"fallNs", m.collapse_window.count()}}},
          {"report", {{"fields", {"latency_ms", "util"}}, {"via", "answers"}}},
          {"grades", grades}};
}

tcp::endpoint free_address(const boost::asio::ip::address_v4& at) {
  // The kernel may choose the same port again once it is closed. A rig of 20 gateways needs 40
  // ports, so this process returns each port only once, unless 100 attempts find no new one.
  static std::set<unsigned short> used_ports;
  boost::asio::io_context io;
  for (int attempts = 0;; ++attempts) {
    tcp::acceptor acceptor(io, {at, 0});
    if (used_ports.insert(acceptor.local_endpoint().port()).second || attempts == 100) {
      return acceptor.local_endpoint();
    }
  }
}

boost::asio::ip::address_v4 loopback_address_of_this_process() {
  constexpr std::uint32_t kFirstAddress = 0x7F400001;  // 127.64.0.1
  constexpr std::uint32_t kProcessIds = 1U << 22;      // Linux assigns none above
  return boost::asio::ip::address_v4(kFirstAddress +
                                     static_cast<std::uint32_t>(::getpid()) % kProcessIds);
}

}  // namespace gateway::lab
