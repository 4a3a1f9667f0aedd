// The gateway's program as a child process: exit codes, signals, operators' requests, the
// descriptor limit and the upgrade by a second process. The program's path is the first argument.
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/ip/udp.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <optional>
#include <thread>

#include "discovery/endpoint_list.hpp"
#include "support/network_peers.hpp"

namespace gateway::testing {
namespace {

std::string program;  // path, set by main

// Starts the program with these environment variables, NAME=VALUE, beside TMPDIR. `socket` is
// passed as descriptor 3 in GW_PASSED_SOCKET; -1: none.
pid_t start_program(const std::vector<std::string>& variables, int socket = -1) {
  std::vector<char*> argv{program.data(), nullptr};
  std::vector<std::string> copies = variables;
  copies.push_back("TMPDIR=" + ::testing::TempDir());
  if (socket >= 0) {
    copies.emplace_back("GW_PASSED_SOCKET=3");
  }
  std::vector<char*> env;
  for (std::string& copy : copies) {
    env.push_back(copy.data());
  }
  env.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  if (socket >= 0) {
    posix_spawn_file_actions_adddup2(&files, socket, 3);
  }
  pid_t pid = 0;
  EXPECT_EQ(posix_spawn(&pid, program.c_str(), &files, nullptr, argv.data(), env.data()), 0);
  posix_spawn_file_actions_destroy(&files);
  return pid;
}

// Waits for the end of the process. -1 if a signal ended it.
int exit_code(pid_t pid) {
  int status = 0;
  EXPECT_EQ(waitpid(pid, &status, 0), pid);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

TEST(Program, ExitsOnInvalidConfiguration) {
  EXPECT_EQ(exit_code(start_program({"GW_CONFIG=/nonexistent"})), 2);
}

TEST(Program, ExitsOnInvalidLogSetting) {
  EXPECT_EQ(exit_code(start_program({"GW_LOG_LINES_PER_SECOND=many"})), 2);
}

// Writes a configuration file of this test process and returns its path.
std::string write_config(const json& config, const std::string& name) {
  std::string path = ::testing::TempDir() + name + std::to_string(getpid()) + ".json";
  std::ofstream(path) << config.dump();
  return path;
}

TEST(Program, ExitsOnDescriptorThatIsNotListening) {
  const std::string path = write_config(config_json(), "no_listener");
  asio::io_context io;
  tcp::acceptor socket(io, tcp::v4());  // neither bound nor listening
  EXPECT_EQ(exit_code(start_program({"GW_CONFIG=" + path}, socket.native_handle())), 1);
  std::remove(path.c_str());
}

// Starts the program on free ports of loopback, with one host that refuses connections, and waits
// until it is ready. At the end the program must exit with 0 on SIGTERM.
class RunningProgram : public ::testing::Test {
 protected:
  asio::io_context io;
  json config = config_json();
  const std::string path =
      ::testing::TempDir() + "program_config" + std::to_string(getpid()) + ".json";
  pid_t pid = 0;

  void SetUp() override {
    {
      // The system chooses two free ports, which are released for the program.
      tcp::acceptor listen(io, loopback());
      tcp::acceptor admin(io, loopback());
      config["listen"] = text_of(listen.local_endpoint());
      config["admin_addr"] = text_of(admin.local_endpoint());
    }
    config["known"] = {{"rev", 1}, {"all", true}, {"targets", {target("s-0", loopback(1))}}};
    adjust_config();
    write(config.dump());
    pid = start_program({"GW_CONFIG=" + path});
    EXPECT_EQ(up_status(), 200u);
  }
  void TearDown() override {
    kill(pid, SIGTERM);
    EXPECT_EQ(exit_code(pid), 0);
    std::remove(path.c_str());
  }
  // Changes `config` before the program is started.
  virtual void adjust_config() {}
  void write(const std::string& text) { std::ofstream(path) << text; }
  unsigned up_status() { return status_of("GET", "/up", config["listen"]); }
  // Sends a request without a body, by default to the operators' address, and returns the status of
  // the response; 0 without a response. Repeats the connect for kWaitTimeout at most.
  unsigned status_of(const std::string& method, const std::string& request_path,
                     std::string address = {}, const std::string& headers = {}) {
    if (address.empty()) {
      address = config["admin_addr"];
    }
    tcp::socket socket(io);
    const tcp::endpoint endpoint = discovery::parse_endpoint(address);
    error_code ec = asio::error::not_connected;
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (ec && std::chrono::steady_clock::now() < end) {
      socket.close();
      socket.connect(endpoint, ec);
      std::this_thread::yield();
    }
    if (ec) {
      return 0;
    }
    asio::write(socket,
                asio::buffer(method + " " + request_path + " HTTP/1.1\r\n" + headers + "\r\n"));
    boost::beast::flat_buffer buffer;
    Response response;
    read(socket, buffer, response, ec);
    return ec ? 0 : response.result_int();
  }
};

TEST_F(RunningProgram, ExitsWithZeroOnSigterm) {}  // checked by TearDown()

TEST_F(RunningProgram, HandlesOperatorRequestsAtAdminAddress) {
  EXPECT_EQ(status_of("GET", "/events"), 200u);
  EXPECT_EQ(status_of("GET", "/resources"), 200u);
  EXPECT_EQ(status_of("GET", "/healthcheck"), 200u);
  EXPECT_EQ(status_of("POST", "/hosts/s-0/maint"), 200u);
  EXPECT_EQ(status_of("POST", "/hosts/s-none/maint"), 404u);
  EXPECT_EQ(status_of("POST", "/healthcheck/fail"), 200u);
  EXPECT_EQ(status_of("GET", "/healthcheck"), 503u);
  EXPECT_EQ(up_status(), 503u);
  EXPECT_EQ(status_of("POST", "/healthcheck/ok"), 200u);
  EXPECT_EQ(up_status(), 200u);
}

TEST_F(RunningProgram, SighupSwitchesDiscoveryAndIgnoresInvalidFile) {
  tcp::acceptor discovery(io, loopback());
  config["discovery"] = text_of(discovery.local_endpoint());
  write(config.dump());
  kill(pid, SIGHUP);
  bool is_called = false;
  discovery.async_accept([&](error_code ec, tcp::socket) { is_called = !ec; });
  io.run_for(kWaitTimeout);  // returns at the first call
  EXPECT_TRUE(is_called) << "the discovery server of the new file was not called";
  write("{");
  kill(pid, SIGHUP);
  kill(pid, SIGHUP);
  EXPECT_EQ(up_status(), 200u);
}

// SIGTERM arrives before the program is ready, during a reload, and twice: the program must still
// end in order.
TEST(Program, ExitsWithZeroOnEarlyAndRepeatedSigterm) {
  asio::io_context io;
  tcp::acceptor discovery(io, loopback());
  tcp::acceptor moved(io, loopback());
  json config = config_json();
  config["name"] = "early";
  config["discovery"] = text_of(discovery.local_endpoint());
  const std::string path = write_config(config, "early");
  const pid_t pid = start_program({"GW_CONFIG=" + path});
  discovery.accept();  // the program polls and gets no response
  config["discovery"] = text_of(moved.local_endpoint());
  std::ofstream(path) << config.dump();
  kill(pid, SIGHUP);
  moved.accept();
  kill(pid, SIGHUP);
  kill(pid, SIGTERM);
  kill(pid, SIGTERM);
  EXPECT_EQ(exit_code(pid), 0);
  std::remove(path.c_str());
}

// While discovery is down, idle clients use all descriptors that clients may have, half of them
// with an incomplete request. Operators, hosts and new clients must still be served, and discovery
// must be called once it can be reached.
class ProgramAtDescriptorLimit : public RunningProgram {
 protected:
  static constexpr rlim_t kDescriptors = 96;
  tcp::acceptor discovery{io, tcp::v4()};  // bound; refuses connections until it listens
  std::unique_ptr<Peer> host;
  rlimit original_limit{};

  void adjust_config() override {
    discovery.bind(loopback());
    host =
        std::make_unique<Peer>(io, [](PeerConnection& c) { c.reply(response_text(200, "", "x")); });
    config["discovery"] = text_of(discovery.local_endpoint());
    config["name"] = "crowded";  // has a state directory of its own
    config["limits"]["sockets"] = kDescriptors;
    config["known"]["targets"] = {target("s-1", host->endpoint)};
    getrlimit(RLIMIT_NOFILE, &original_limit);
    const rlimit limit{kDescriptors, original_limit.rlim_max};
    setrlimit(RLIMIT_NOFILE, &limit);  // inherited by the program
  }
  void SetUp() override {
    RunningProgram::SetUp();
    setrlimit(RLIMIT_NOFILE, &original_limit);
  }
};

TEST_F(ProgramAtDescriptorLimit, ServesOperatorsAndNewClientsAndPollsDiscovery) {
  std::vector<tcp::socket> idle;
  for (int i = 0; i < 120; ++i) {
    idle.emplace_back(io);
    idle.back().connect(discovery::parse_endpoint(config["listen"].get<std::string>()));
    if (i % 2) {
      asio::write(idle.back(), asio::buffer(std::string("GET /read HTTP/1.1\r\nX-Cl")));
    }
  }
  const auto open_descriptors = [&] {
    const std::filesystem::directory_iterator first("/proc/" + std::to_string(pid) + "/fd");
    const std::filesystem::directory_iterator last;
    return static_cast<rlim_t>(std::distance(first, last));
  };
  const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
  while (open_descriptors() < kDescriptors / 2 && std::chrono::steady_clock::now() < end) {
    std::this_thread::yield();
  }
  EXPECT_GE(open_descriptors(), kDescriptors / 2) << "the idle clients are not connected";
  EXPECT_EQ(status_of("GET", "/healthcheck"), 200u);
  std::size_t calls = 0;
  discovery.listen();
  std::shared_ptr<PeerConnection> discovery_connection;
  discovery.async_accept([&](error_code ec, tcp::socket socket) {
    if (ec) {
      return;
    }
    discovery_connection =
        std::make_shared<PeerConnection>(std::move(socket), [&](PeerConnection& c) {
          if (++calls == 1) {
            c.reply(response_text(
                200, "",
                json{{"rev", 7}, {"all", true}, {"targets", {target("s-1", host->endpoint)}}}
                    .dump()));
          }
        });
    discovery_connection->read();
  });
  EXPECT_TRUE(run_until(io, [&] { return calls == 2; }))
      << "a poll that gets a response, then a watch";
  unsigned status = 0;
  // Sent from another thread, as the host needs this thread's event loop to respond.
  std::thread request_thread([&] {
    status = status_of("GET", "/read", config["listen"], "X-Request-Id: r1\r\nX-Class: read\r\n");
    asio::post(io, [] {});
  });
  EXPECT_TRUE(run_until(io, [&] { return !host->requests.empty(); }));
  io.restart();
  io.run_for(std::chrono::milliseconds(50));
  request_thread.join();
  EXPECT_EQ(status, 200u);
  EXPECT_EQ(status_of("POST", "/hosts/s-1/ready"), 200u);
  EXPECT_LE(open_descriptors(), kDescriptors);
  if (discovery_connection) {
    discovery_connection->close();
  }
}

// Two processes of one gateway. The listening socket belongs to neither: this test holds it open,
// as a process supervisor does, and passes it to both.
class Upgrade : public ::testing::Test {
 protected:
  struct Process {
    pid_t id = 0;
    std::string admin;
  };

  asio::io_context io;
  tcp::acceptor listening_socket{io, loopback()};
  json config = config_json();
  std::vector<std::string> config_paths;
  std::vector<std::string> environment;  // further variables of the processes

  void SetUp() override {
    // Each test has its own state folder.
    config["name"] =
        ::testing::UnitTest::GetInstance()->current_test_info()->name() + std::to_string(getpid());
    config["listen"] = text_of(listening_socket.local_endpoint());
    set_only_host(loopback(1));
  }
  void TearDown() override {
    for (const std::string& path : config_paths) {
      std::remove(path.c_str());
    }
  }
  void set_only_host(const tcp::endpoint& endpoint) {
    config["known"] = {{"rev", 1}, {"all", true}, {"targets", {target("s-0", endpoint)}}};
  }
  // Starts a process and waits until its operators' address responds.
  Process start(const std::string& name) {
    Process process;
    {
      tcp::acceptor free_port(io, loopback());
      process.admin = text_of(free_port.local_endpoint());
    }
    config["admin_addr"] = process.admin;
    config_paths.push_back(write_config(config, name));
    std::vector<std::string> variables = environment;
    variables.push_back("GW_CONFIG=" + config_paths.back());
    process.id = start_program(variables, listening_socket.native_handle());
    EXPECT_TRUE(status_becomes(process.admin, "GET /healthcheck", 200));
    return process;
  }
  static void stop(const Process& process) {
    kill(process.id, SIGTERM);
    EXPECT_EQ(exit_code(process.id), 0);
  }
  // Nothing if the address does not respond.
  std::optional<Response> response_of(const std::string& address, const std::string& request_line) {
    tcp::socket socket(io);
    error_code ec;
    socket.connect(discovery::parse_endpoint(address), ec);
    if (ec) {
      return std::nullopt;
    }
    asio::write(socket, asio::buffer(request_line + " HTTP/1.1\r\n\r\n"), ec);
    boost::beast::flat_buffer buffer;
    Response response;
    read(socket, buffer, response, ec);
    return ec ? std::nullopt : std::optional(response);
  }
  // Repeats a request at an address until its response has this status; false after kWaitTimeout.
  bool status_becomes(const std::string& address, const std::string& request_line,
                      unsigned status) {
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (std::chrono::steady_clock::now() < end) {
      const auto response = response_of(address, request_line);
      if (response && response->result_int() == status) {
        return true;
      }
    }
    return false;
  }
};

// The second process takes over while the first one finishes.
TEST_F(Upgrade, NewProcessServesAndKeepsMaintenanceWhileOldOneEnds) {
  const Process old = start("old");
  ASSERT_TRUE(status_becomes(old.admin, "POST /hosts/s-0/maint", 200));
  const Process next = start("new");
  stop(old);
  EXPECT_TRUE(status_becomes(next.admin, "POST /hosts/s-0/ready", 200));
  EXPECT_TRUE(status_becomes(text_of(listening_socket.local_endpoint()), "GET /up", 200));
  stop(next);
}

// Guards against an id that is known to one process only: a request whose client had left ran again
// when its id came back at the other process of an upgrade, or after the first one had ended.
TEST_F(Upgrade, RequestOfLeftClientIsNotExecutedAgainAtNewProcess) {
  const std::string request =
      "POST /write HTTP/1.1\r\nHost: x\r\nX-Class: write\r\nX-Request-Id: r1\r\n"
      "Content-Length: 2\r\n\r\nab";
  Peer host(io, [](PeerConnection&) {});  // executes requests and never responds
  set_only_host(host.endpoint);
  const Process old = start("old");
  auto left = Client::connect(io, listening_socket.local_endpoint());
  left->send(request);
  ASSERT_TRUE(run_until(io, [&] { return host.requests.size() == 1 || !left->responses.empty(); }));
  ASSERT_TRUE(left->responses.empty());
  left->close();
  const Process next = start("new");
  const auto expect_refused = [&] {
    auto returning = Client::connect(io, listening_socket.local_endpoint());
    returning->send(request);
    ASSERT_TRUE(
        run_until(io, [&] { return !returning->responses.empty() || host.requests.size() > 1; }));
    ASSERT_EQ(returning->responses.size(), 1u);
    EXPECT_EQ(returning->responses[0].result_int(), 409u);
  };
  expect_refused();  // by either process
  stop(old);
  expect_refused();
  EXPECT_EQ(host.requests.size(), 1u);
  stop(next);
}

// Two processes of one gateway that belongs to a fleet, with a limit of requests of which none is
// admitted by a process that has not joined.
class FleetUpgrade : public Upgrade {
 protected:
  static constexpr int kSlotMs = 200;
  virtual int requests_per_second() const { return 400; }  // more than a test sends

  Peer host{io, [](PeerConnection& c) {
              c.reply(response_text(200, "", "done"));
            }};
  int serial = 0;

  void SetUp() override {
    Upgrade::SetUp();
    set_only_host(host.endpoint);
    asio::ip::udp::socket free_port(io, {asio::ip::address_v4::loopback(), 0});
    json limit;
    limit["name"] = "all";
    limit["per_s"] = requests_per_second();
    json fleet;
    fleet["fleet"] = name();
    fleet["listen"] = "127.0.0.1:" + std::to_string(free_port.local_endpoint().port());
    fleet["slot_ms"] = kSlotMs;
    fleet["retries"]["share"] = 0.1;
    fleet["limits"] = json::array({limit});
    free_port.close();
    config_paths.push_back(write_config(fleet, "fleet" + name()));
    environment = {"GW_FLEET=" + config_paths.back(), "GW_NAME=" + name()};
  }
  json fleet_at(const Process& process) {
    const auto response = response_of(process.admin, "GET /fleet");
    return response ? json::parse(response->body()) : json::object();
  }
  // Waits until a process takes part under a name that ends like this, and has tokens.
  ::testing::AssertionResult takes_part_as(const Process& process, const std::string& name_end) {
    return run_until(io, [&] {
      const json status = fleet_at(process);
      return status.value("name", "").ends_with(name_end) && status["settled"] == true &&
             status["limits"]["all"]["rights"] >= 2;
    });
  }
  // Sends requests one after another on new connections and returns how many were not served.
  int unserved_of(int requests) {
    int unserved = 0;
    for (int i = 0; i < requests; ++i) {
      auto c = Client::connect(io, listening_socket.local_endpoint());
      c->send("GET /read HTTP/1.1\r\nHost: x\r\nX-Class: read\r\nX-Request-Id: r" +
              std::to_string(++serial) + "\r\n\r\n");
      EXPECT_TRUE(run_until(io, [&] { return !c->responses.empty() || c->closed_by_peer; }));
      unserved += c->responses.empty() || c->responses[0].result_int() != 200 ? 1 : 0;
    }
    return unserved;
  }
  std::string name() const { return config["name"]; }
};

// Guards against a new version that exits because the old process holds the fleet's address, and
// against one that admits nothing of a limit until it has that address.
TEST_F(FleetUpgrade, NewProcessTakesPartAndTakesOverWhenOldOneStops) {
  const Process old = start("old");
  ASSERT_TRUE(takes_part_as(old, name()));
  EXPECT_EQ(unserved_of(20), 0);
  const Process next = start("new");
  ASSERT_TRUE(takes_part_as(next, "+next"));
  EXPECT_EQ(unserved_of(60), 0) << "by either process";
  stop(old);
  EXPECT_EQ(unserved_of(20), 0);
  ASSERT_TRUE(takes_part_as(next, name()));
  EXPECT_EQ(unserved_of(20), 0);
  stop(next);
}

// The same for an old process that is killed, and for the process after the next one.
TEST_F(FleetUpgrade, NewProcessesTakeOverOneAfterAnother) {
  Process old = start("old");
  for (int i = 0; i < 2; ++i) {
    const Process next = start("new" + std::to_string(i));
    ASSERT_TRUE(takes_part_as(next, "+next"));
    kill(old.id, SIGKILL);
    EXPECT_EQ(exit_code(old.id), -1);
    ASSERT_TRUE(takes_part_as(next, name()));
    EXPECT_EQ(unserved_of(20), 0);
    old = next;
  }
  stop(old);
}

class FleetUpgradeAtLimit : public FleetUpgrade {
 protected:
  int requests_per_second() const override { return 40; }  // a third of what a test sends
};

// Both processes together admit what the limit allows, no more and little less.
TEST_F(FleetUpgradeAtLimit, BothProcessesShareTheLimit) {
  constexpr double kTokenLifetimeSeconds = 3 * kSlotMs / 1000.0;
  constexpr double kEdgeSeconds = 2 * kSlotMs / 1000.0;
  const Process old = start("old");
  const Process next = start("new");
  ASSERT_TRUE(takes_part_as(next, "+next"));
  const auto started_at = std::chrono::steady_clock::now();
  constexpr int kRequests = 600;
  const int served = kRequests - unserved_of(kRequests);
  const std::chrono::duration<double> time = std::chrono::steady_clock::now() - started_at;
  const double rate = requests_per_second();
  EXPECT_LE(served, rate * (time.count() + kTokenLifetimeSeconds + kEdgeSeconds));
  EXPECT_GE(served, std::min(rate * (time.count() - kEdgeSeconds) / 2, kRequests / 2.0));
  stop(old);
  stop(next);
}

// An address that something else holds is a mistake of the operator, not an upgrade.
TEST(Program, ExitsIfFleetAddressIsHeldBySomethingElse) {
  asio::io_context io;
  asio::ip::udp::socket holder(io, {asio::ip::address_v4::loopback(), 0});
  json fleet;
  fleet["fleet"] = "held";
  fleet["listen"] = "127.0.0.1:" + std::to_string(holder.local_endpoint().port());
  fleet["retries"]["share"] = 0.1;
  const std::string fleet_path = write_config(fleet, "held_fleet");
  json config = config_json();
  config["name"] = "held" + std::to_string(getpid());
  const std::string path = write_config(config, "held");
  EXPECT_EQ(
      exit_code(start_program({"GW_CONFIG=" + path, "GW_FLEET=" + fleet_path, "GW_NAME=held"})), 1);
  std::remove(path.c_str());
  std::remove(fleet_path.c_str());
}

}  // namespace
}  // namespace gateway::testing

int main(int argc, char** argv) {
  ::testing::InitGoogleTest(&argc, argv);
  if (argc < 2) {
    return 1;
  }
  gateway::testing::program = argv[1];
  return RUN_ALL_TESTS();
}
