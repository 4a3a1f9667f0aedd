// As many clients as may hold a third of the descriptors send a `consent` each, and the hosts give
// answers of just under 64 KiB slowly. The resident memory of the gateway is held against its
// limit. Usage, from the root of the repository: case-7 RECORD. Result: see standins.hpp.
#include "standins.hpp"

using namespace review;

namespace {

constexpr int kMemoryMb = 32;
constexpr int kSockets = 1024;
constexpr int kClients = kSockets / 3;
constexpr int kHosts = 14;
constexpr std::size_t kRequestBytes = 30000;
constexpr std::size_t kAnswerBytes = 65500;  // at most 64 KiB
constexpr std::size_t kPiece = 3200;         // each 50 ms: 64 kB a second
constexpr int kPieceMs = 50;
constexpr int kWorkMs = 150;       // the mean of `consent` is 94 to 170 ms
constexpr int kSlowWorkMs = 500;   // every host 1.5 to 3 times slower
constexpr int kDeadlineMs = 2400;  // 80 % of the 3 s of `consent`
constexpr int kCalmGapMs = 5;      // without the disruption the clients come one after another

std::atomic<int> g_run{0};
std::atomic<int> g_sent{0};
std::mutex g_mutex;
std::map<int, int> g_statuses;

void serve(Connection& peer, const Message& request) {
  ++g_run;
  sleep_ms(with_trouble() ? kSlowWorkMs : kWorkMs);
  std::string body = request.field("x-request-id");
  body.resize(kAnswerBytes, 'x');
  if (!with_trouble()) {
    peer.write(ok_response(body));
    return;
  }
  peer.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n");
  for (std::size_t given = 0; given < body.size(); given += kPiece) {
    if (!peer.write(body.substr(given, kPiece))) {
      peer.close();
      return;
    }
    sleep_ms(kPieceMs);
  }
}

void client(const Gateway& gateway, Clock::time_point at) {
  const std::string id = request_id();
  const auto peer = Connection::to(gateway.listen);
  std::this_thread::sleep_until(at);
  int status = 0;
  if (peer &&
      peer->write("POST /consent/doc HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: " + id +
                  "\r\nX-Class: consent\r\nIdempotency-Key: " + id +
                  "\r\nX-Deadline-Ms: " + std::to_string(kDeadlineMs) + "\r\nContent-Length: " +
                  std::to_string(kRequestBytes) + "\r\n\r\n" + std::string(kRequestBytes, 'y'))) {
    ++g_sent;
    Message answer;
    read_message(*peer, answer, Clock::now() + Ms(kDeadlineMs + 1000), true);
    status = answer.whole ? answer.status() : 0;
  }
  const std::lock_guard lock(g_mutex);
  ++g_statuses[status];
}

double resident_mb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind("VmRSS:", 0) == 0) {
      return std::atof(line.c_str() + 6) / 1024;
    }
  }
  return 0;
}

int run(const std::string& folder) {
  Discovery discovery;
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back(std::make_unique<Host>("s-" + std::to_string(i), serve));
    discovery.set({hosts.back()->uid, hosts.back()->server.address});
  }
  Gateway gateway;
  gateway.folder = folder + "/n1";
  gateway.memory_mb = kMemoryMb;
  gateway.sockets = kSockets;
  gateway.write_config(discovery.address(), discovery.whole_list(), settings_json(1, 0));
  gateway.start();
  if (!gateway.wait_until_up()) {
    return kNotRun;
  }
  note("resident before: " + std::to_string(resident_mb(gateway.program.pid())) + " MB");
  std::vector<std::thread> clients;
  const auto at = Clock::now() + Ms(700);
  const Ms gap(with_trouble() ? 0 : kCalmGapMs);
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&gateway, when = at + i * gap] { client(gateway, when); });
  }
  double peak = 0;
  double noted = 0;
  const auto end = at + kClients * gap + Ms(kDeadlineMs + 1500);
  for (; Clock::now() < end; sleep_ms(10)) {
    const double now = resident_mb(gateway.program.pid());
    if (now > noted + 2) {
      note("resident: " + std::to_string(now) + " MB");
      noted = now;
    }
    peak = std::max(peak, now);
  }
  for (std::thread& thread : clients) {
    thread.join();
  }
  for (const auto& [status, count] : g_statuses) {
    note(std::to_string(count) + " clients got " +
         (status == 0 ? "no whole answer" : std::to_string(status)));
  }
  std::ifstream log(gateway.folder + "/log");
  for (std::string line; std::getline(log, line);) {
    if (line.rfind("memory_use_changed", 0) == 0) {
      note("log: " + line);
    }
  }
  note(std::to_string(g_sent) + " requests sent, " + std::to_string(g_run) +
       " run; peak of the resident memory: " + std::to_string(peak) + " MB of " +
       std::to_string(kMemoryMb));
  if (!gateway.program.running() || g_sent < kClients || peak <= 0) {
    return kNotRun;
  }
  return peak > kMemoryMb ? kBroken : kHeld;
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
