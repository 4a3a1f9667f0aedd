// A new version of a gateway that belongs to a fleet is started beside the running process.
// Usage, from the root of the repository: case-10 RECORD. Result: see standins.hpp.
#include "standins.hpp"

using namespace review;

namespace {

constexpr int kYesMs = 6000;  // given to the new process to say yes

std::string fleet_file(const std::string& folder, const std::string& datagrams) {
  const std::string path = folder + "/fleet.json";
  std::filesystem::create_directories(folder);
  std::ofstream(path) << "{\"fleet\":\"review\",\"listen\":\"" << datagrams << "\",\"seeds\":[\""
                      << datagrams << "\"],\"members\":1,\"retries\":{\"share\":0.1}}";
  return path;
}

std::string text_of(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

int run(const std::string& folder) {
  Discovery discovery;
  Host host("s-0", [](Connection& peer, const Message& request) {
    peer.write(ok_response("status " + request.field("x-request-id")));
  });
  discovery.set({host.uid, host.server.address});
  // The platform holds the clients' listening socket.
  std::string listen;
  const int socket = listen_on(0, listen);
  const std::string fleet = fleet_file(folder + "/n1", free_address(SOCK_DGRAM));
  const auto start = [&](Gateway& gateway) {
    gateway.listen = listen;
    gateway.passed = socket;
    gateway.folder = folder + "/n1";
    gateway.extra = {"GW_FLEET=" + fleet};
    gateway.write_config(discovery.address(), discovery.whole_list(), settings_json(1, 0));
    gateway.start();
  };
  const auto says_yes = [](Gateway& gateway, int limit_ms) {
    for (const auto end = Clock::now() + Ms(limit_ms); Clock::now() < end; sleep_ms(50)) {
      if (!gateway.program.running()) {
        return false;
      }
      if (gateway.status_of(gateway.admin, "GET", "/healthcheck") == 200) {
        return true;
      }
    }
    return false;
  };
  Gateway old_process;
  Gateway new_process;
  start(old_process);
  if (!says_yes(old_process, 10000)) {
    note("the first process did not say yes: " + text_of(folder + "/n1/log"));
    return kNotRun;
  }
  note("the first process says yes at " + old_process.admin);
  if (!with_trouble()) {
    old_process.program.signal(SIGTERM);
    for (int i = 0; i < 80 && old_process.program.running(); ++i) {
      sleep_ms(50);
    }
    note("the first process has ended: " + std::to_string(!old_process.program.running()));
  }
  note("a second process starts with the same addresses, GW_FLEET and TMPDIR");
  start(new_process);
  const bool is_yes = says_yes(new_process, kYesMs);
  if (is_yes) {
    note("the second process says yes at " + new_process.admin);
    return kHeld;
  }
  const bool is_running = new_process.program.running();
  note("log of both:\n" + text_of(folder + "/n1/log"));
  note(is_running ? "BROKEN: the second process did not say yes within 6 s"
                  : "BROKEN: the second process exited with status " +
                        std::to_string(WEXITSTATUS(new_process.program.exit_status)) +
                        " and never said yes");
  return kBroken;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    return kNotRun;
  }
  record().open(argv[1]);
  const TemporaryFolder folder;
  return run(folder.path);
}
