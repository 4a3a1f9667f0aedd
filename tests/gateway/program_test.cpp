// The program itself: exit codes and SIGTERM. Its path is the first argument.
#include <spawn.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <thread>

#include "discovery/endpoint_list.hpp"
#include "support/network_peers.hpp"

namespace gateway::testing {
namespace {

std::string program;  // set once, by main

// With `socket`, it is inherited as descriptor 3 and named.
pid_t run(const std::string& variable, int socket = -1) {
  std::vector<char*> argv{program.data(), nullptr};
  std::vector<std::string> copies{variable, "TMPDIR=" + ::testing::TempDir()};
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

int exit_code(pid_t pid) {
  int status = 0;
  EXPECT_EQ(waitpid(pid, &status, 0), pid);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

TEST(Program, ExitsOnInvalidConfiguration) {
  EXPECT_EQ(exit_code(run("GW_CONFIG=/nonexistent")), 2);
}

std::string written(const json& config, const std::string& name) {
  std::string path = ::testing::TempDir() + name + std::to_string(getpid()) + ".json";
  std::ofstream(path) << config.dump();
  return path;
}

TEST(Program, ExitsOnDescriptorThatIsNotListening) {
  const std::string path = written(config_json(), "no_listener");
  asio::io_context io;
  tcp::acceptor socket(io, tcp::v4());  // neither bound nor listening
  EXPECT_EQ(exit_code(run("GW_CONFIG=" + path, socket.native_handle())), 1);
  std::remove(path.c_str());
}

class RunningProgram : public ::testing::Test {
 protected:
  asio::io_context io;
  json config = config_json();
  const std::string path =
      ::testing::TempDir() + "program_config" + std::to_string(getpid()) + ".json";
  pid_t pid = 0;

  void SetUp() override {
    {
      tcp::acceptor probe(io, loopback());
      tcp::acceptor other(io, loopback());
      config["listen"] = text_of(probe.local_endpoint());
      config["admin_addr"] = text_of(other.local_endpoint());
    }
    config["known"] = {{"rev", 1}, {"all", true}, {"targets", {target("s-0", loopback(1))}}};
    prepare();
    write(config.dump());
    pid = run("GW_CONFIG=" + path);
    EXPECT_EQ(up(), 200u);
  }
  void TearDown() override {
    kill(pid, SIGTERM);
    EXPECT_EQ(exit_code(pid), 0);
    std::remove(path.c_str());
  }
  virtual void prepare() {}
  void write(const std::string& text) { std::ofstream(path) << text; }
  unsigned up() { return call("GET", "/up", config["listen"]); }
  unsigned call(const std::string& method, const std::string& path, std::string address = {},
                const std::string& headers = {}) {
    if (address.empty()) {
      address = config["admin_addr"];
    }
    tcp::socket socket(io);
    const tcp::endpoint at = discovery::parse_endpoint(address);
    error_code ec = asio::error::not_connected;
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (ec && std::chrono::steady_clock::now() < end) {
      socket.close();
      socket.connect(at, ec);
      std::this_thread::yield();
    }
    if (ec) {
      return 0;
    }
    asio::write(socket, asio::buffer(method + " " + path + " HTTP/1.1\r\n" + headers + "\r\n"));
    boost::beast::flat_buffer buffer;
    Response answer;
    read(socket, buffer, answer, ec);
    return ec ? 0 : answer.result_int();
  }
};

TEST_F(RunningProgram, ExitsWithZeroOnSigterm) {}

TEST_F(RunningProgram, ServesAdminAddress) {
  EXPECT_EQ(call("GET", "/healthcheck"), 200u);
  EXPECT_EQ(call("POST", "/hosts/s-0/maint"), 200u);
  EXPECT_EQ(call("POST", "/hosts/s-none/maint"), 404u);
  EXPECT_EQ(call("POST", "/healthcheck/fail"), 200u);
  EXPECT_EQ(call("GET", "/healthcheck"), 503u);
  EXPECT_EQ(up(), 503u);
  EXPECT_EQ(call("POST", "/healthcheck/ok"), 200u);
  EXPECT_EQ(up(), 200u);
}

TEST_F(RunningProgram, SighupSwitchesDiscoveryAndIgnoresInvalidFile) {
  tcp::acceptor discovery(io, loopback());
  config["discovery"] = text_of(discovery.local_endpoint());
  write(config.dump());
  kill(pid, SIGHUP);
  bool called = false;
  discovery.async_accept([&](error_code ec, tcp::socket) { called = !ec; });
  io.run_for(kWaitTimeout);  // ends at the first call
  EXPECT_TRUE(called) << "the one that the new file names";
  write("{");
  kill(pid, SIGHUP);
  kill(pid, SIGHUP);
  EXPECT_EQ(up(), 200u);
}

// The platform holds the socket; the second process takes over while the first one finishes.
// Before it is ready, within a reload and twice: it ends in order all the same.
TEST(Program, ExitsWithZeroOnEarlyAndRepeatedSigterm) {
  asio::io_context io;
  tcp::acceptor discovery(io, loopback());
  tcp::acceptor moved(io, loopback());
  json config = config_json();
  config["name"] = "early";
  config["discovery"] = text_of(discovery.local_endpoint());
  const std::string path = written(config, "early");
  const pid_t pid = run("GW_CONFIG=" + path);
  discovery.accept();  // it has asked, and is told nothing
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

// Idle clients hold all the descriptors that clients may have, half of them with half a request,
// while discovery is down. Operators, hosts, new clients and discovery at its return still get
// theirs.
class ProgramAtDescriptorLimit : public RunningProgram {
 protected:
  static constexpr rlim_t kDescriptors = 96;
  tcp::acceptor discovery{io, tcp::v4()};  // bound, and refuses until it listens
  std::unique_ptr<Peer> host;
  rlimit before{};

  void prepare() override {
    discovery.bind(loopback());
    host =
        std::make_unique<Peer>(io, [](PeerConnection& c) { c.reply(response_text(200, "", "x")); });
    config["discovery"] = text_of(discovery.local_endpoint());
    config["name"] = "crowded";  // a state of its own
    config["limits"]["sockets"] = kDescriptors;
    config["known"]["targets"] = {target("s-1", host->endpoint)};
    getrlimit(RLIMIT_NOFILE, &before);
    const rlimit tight{kDescriptors, before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &tight);  // inherited by the program
  }
  void SetUp() override {
    RunningProgram::SetUp();
    setrlimit(RLIMIT_NOFILE, &before);
  }
};

TEST_F(ProgramAtDescriptorLimit, ServesAllClientsAtDescriptorLimit) {
  std::vector<tcp::socket> idle;
  for (int i = 0; i < 120; ++i) {
    idle.emplace_back(io);
    idle.back().connect(discovery::parse_endpoint(config["listen"].get<std::string>()));
    if (i % 2) {
      asio::write(idle.back(), asio::buffer(std::string("GET /read HTTP/1.1\r\nX-Cl")));
    }
  }
  const auto open_descriptors = [&] {
    const std::filesystem::directory_iterator open("/proc/" + std::to_string(pid) + "/fd");
    const std::filesystem::directory_iterator end;
    return static_cast<rlim_t>(std::distance(open, end));
  };
  const auto until = std::chrono::steady_clock::now() + kWaitTimeout;
  while (open_descriptors() < kDescriptors / 2 && std::chrono::steady_clock::now() < until) {
    std::this_thread::yield();
  }
  EXPECT_GE(open_descriptors(), kDescriptors / 2) << "the crowd is in";
  EXPECT_EQ(call("GET", "/healthcheck"), 200u);
  std::size_t calls = 0;
  discovery.listen();
  std::shared_ptr<PeerConnection> call1;
  discovery.async_accept([&](error_code ec, tcp::socket socket) {
    if (ec) {
      return;
    }
    call1 = std::make_shared<PeerConnection>(std::move(socket), [&](PeerConnection& c) {
      if (++calls == 1) {
        c.reply(response_text(
            200, "",
            json{{"rev", 7}, {"all", true}, {"targets", {target("s-1", host->endpoint)}}}.dump()));
      }
    });
    call1->read();
  });
  EXPECT_TRUE(run_until(io, [&] { return calls == 2; })) << "asked, answered and watched";
  unsigned status = 0;
  std::thread asker([&] {  // the host lives on this thread's loop
    status = call("GET", "/read", config["listen"], "X-Request-Id: r1\r\nX-Class: read\r\n");
    asio::post(io, [] {});
  });
  EXPECT_TRUE(run_until(io, [&] { return !host->requests.empty(); }));
  io.restart();
  io.run_for(std::chrono::milliseconds(50));
  asker.join();
  EXPECT_EQ(status, 200u);
  EXPECT_EQ(call("POST", "/hosts/s-1/ready"), 200u);
  EXPECT_LE(open_descriptors(), kDescriptors);
  if (call1) {
    call1->close();
  }
}

TEST(Upgrade, NewProcessServesAndKeepsMaintenanceWhileOldOneEnds) {
  asio::io_context io;
  tcp::acceptor platform(io, loopback());
  json config = config_json();
  config["name"] = "upgrade" + std::to_string(getpid());
  config["listen"] = text_of(platform.local_endpoint());
  config["known"] = {{"rev", 1}, {"all", true}, {"targets", {target("s-0", loopback(1))}}};
  const auto start = [&](const std::string& name) {
    std::string admin;
    {
      tcp::acceptor probe(io, loopback());
      admin = text_of(probe.local_endpoint());
    }
    config["admin_addr"] = admin;
    return std::make_pair(run("GW_CONFIG=" + written(config, name), platform.native_handle()),
                          admin);
  };
  // The answer at an operators' address, asked for until it is the one.
  const auto becomes = [&](const std::string& address, const std::string& call, unsigned status) {
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (std::chrono::steady_clock::now() < end) {
      tcp::socket socket(io);
      error_code ec;
      socket.connect(discovery::parse_endpoint(address), ec);
      if (ec) {
        continue;
      }
      asio::write(socket, asio::buffer(call + " HTTP/1.1\r\n\r\n"), ec);
      boost::beast::flat_buffer buffer;
      Response answer;
      read(socket, buffer, answer, ec);
      if (!ec && answer.result_int() == status) {
        return true;
      }
    }
    return false;
  };
  const auto [old, oldAdmin] = start("old");
  ASSERT_TRUE(becomes(oldAdmin, "GET /healthcheck", 200));
  ASSERT_TRUE(becomes(oldAdmin, "POST /hosts/s-0/maint", 200));
  const auto [next, nextAdmin] = start("new");
  ASSERT_TRUE(becomes(nextAdmin, "GET /healthcheck", 200));
  kill(old, SIGTERM);
  EXPECT_EQ(exit_code(old), 0);
  EXPECT_TRUE(becomes(nextAdmin, "POST /hosts/s-0/ready", 200));
  EXPECT_TRUE(becomes(text_of(platform.local_endpoint()), "GET /up", 200));
  kill(next, SIGTERM);
  EXPECT_EQ(exit_code(next), 0);
  for (const char* name : {"old", "new"}) {
    std::remove((::testing::TempDir() + name + std::to_string(getpid()) + ".json").c_str());
  }
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
