// A host gives a long answer in small pieces, of a length that its head does not tell.
// Usage, from the root of the repository: case-6 RECORD. Result: see standins.hpp.
#include "standins.hpp"

using namespace review;

namespace {

constexpr int kRequests = 8;
constexpr int kDeadlineMs = 1200;         // 48 % of the 2.5 s of `seal`
constexpr std::size_t kBytes = 96 << 10;  // of an answer: over 64 KiB
constexpr std::size_t kPiece = 3200;      // each 50 ms: 64 kB a second
constexpr int kPieceMs = 50;
constexpr int kHeadAfterMs = 60;
constexpr int kBodyAfterMs = 300;  // after the head, with the disruption

struct Run {
  double head_at = 0, first_body_at = 0;
  std::size_t given = 0;
  bool all_given = false;
};
std::mutex g_mutex;
std::map<std::string, Run> g_runs;  // by request id

std::string body_of(const std::string& id) {
  std::string body;
  while (body.size() < kBytes) {
    body += id + "\n";
  }
  body.resize(kBytes);
  return body;
}

std::string chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

void serve(Connection& peer, const Message& request) {
  const std::string id = request.field("x-request-id");
  const std::string body = body_of(id);
  note("host runs " + id + ", told X-Deadline-Ms " + request.field("x-deadline-ms"));
  sleep_ms(kHeadAfterMs);
  Run run;
  run.head_at = seconds_now();
  std::string pending = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  if (with_trouble()) {
    if (!peer.write(pending)) {
      return;
    }
    pending.clear();
    sleep_ms(kBodyAfterMs);
  }
  run.first_body_at = seconds_now();
  while (run.given < body.size()) {
    const std::string piece = body.substr(run.given, kPiece);
    if (!peer.write(pending + chunk(piece))) {
      break;
    }
    pending.clear();
    run.given += piece.size();
    sleep_ms(kPieceMs);
  }
  run.all_given = run.given == body.size() && peer.write("0\r\n\r\n");
  note("host gave " + std::to_string(run.given) + " of " + std::to_string(kBytes) + " bytes of " +
       id + (run.all_given ? "" : ": the gateway closed the connection"));
  {
    const std::lock_guard lock(g_mutex);
    g_runs[id] = run;
  }
  if (!run.all_given) {
    peer.close();
  }
}

// Whether the rule held for one request.
bool ask(Gateway& gateway) {
  const auto peer = Connection::to(gateway.listen);
  const std::string id = request_id();
  if (!peer) {
    note("client could not connect");
    return false;
  }
  const double sent_at = seconds_now();
  peer->write("POST /seal/doc HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: " + id +
              "\r\nX-Class: seal\r\nCookie: obj=7f3a9c21e0b4d655\r\nX-Deadline-Ms: " +
              std::to_string(kDeadlineMs) + "\r\nContent-Length: 0\r\n\r\n");
  Message answer;
  read_message(*peer, answer, Clock::now() + Ms(6000), true);
  note("client sent " + id + " at " + std::to_string(sent_at) + ", got status " +
       std::to_string(answer.status()) + ", " + std::to_string(answer.body.size()) + " bytes, " +
       (answer.whole ? "whole" : "not whole"));
  const bool is_served = answer.status() == 200 && answer.whole && answer.body == body_of(id);
  sleep_ms(300);
  const std::lock_guard lock(g_mutex);
  const auto run = g_runs.find(id);
  if (is_served || run == g_runs.end()) {
    return true;  // served, or never run: not what this case judges
  }
  const double first_after = run->second.first_body_at - sent_at;
  note("BROKEN " + id + ": the host's first bytes of the body came " +
       std::to_string(static_cast<int>(first_after * 1000)) +
       " ms after the request, and what it still gave was cut off");
  return first_after * 1000 >= kDeadlineMs - 100;
}

int run(const std::string& folder) {
  Discovery discovery;
  std::vector<std::unique_ptr<Host>> hosts;
  for (int i = 0; i < 3; ++i) {
    hosts.push_back(std::make_unique<Host>("s-" + std::to_string(i), serve));
    discovery.set({hosts.back()->uid, hosts.back()->server.address});
  }
  Gateway gateway;
  gateway.folder = folder + "/n1";
  gateway.write_config(discovery.address(), discovery.whole_list(), settings_json(1, 0));
  gateway.start();
  if (!gateway.wait_until_up()) {
    return kNotRun;
  }
  int broken = 0;
  for (int i = 0; i < kRequests; ++i) {
    broken += ask(gateway) ? 0 : 1;
  }
  note(std::to_string(broken) + " of " + std::to_string(kRequests) + " requests were lost");
  gateway.program.signal(SIGTERM);
  sleep_ms(200);
  return broken > 0 ? kBroken : kHeld;
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
