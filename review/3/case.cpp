/// @file
/// A planned restart, while clients fetch one long answer after another on connections that they
/// keep: does each request that the gateway takes more than 0.7 s after SIGTERM get its answer?
#include <atomic>
#include <cstdio>
#include <exception>
#include <memory>
#include <thread>
#include <vector>

#include "client.hpp"
#include "discovery.hpp"
#include "gateway.hpp"
#include "host.hpp"
#include "record.hpp"

namespace {

using namespace review;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// About 2.5 s for an answer.
constexpr std::size_t kAnswerBytes = 1280 << 10;
constexpr std::size_t kBytesPerSecond = 512 << 10;
constexpr int kClients = 12;
constexpr std::int64_t kTermMs = 5000;
/// The longest deadline of the settings (consent, 3 s) and 0.7 s; 50 ms more to be sure.
constexpr std::int64_t kKillMs = kTermMs + 3700 + 50;
/// What came earlier is not held against the gateway.
constexpr std::int64_t kTakenLateMs = kTermMs + 700;

struct Fetch {
  std::string id;
  std::int64_t sent_ms = 0;
  bool answered = false;
  std::string seen;
};

// Fetches on one connection until the gateway ends it or says that it will.
std::vector<Fetch> fetch_all(const Address& gateway, Knowledge& knowledge, Record& record) {
  std::vector<Fetch> fetches;
  const Socket socket = connect_to(gateway);
  MessageReader reader(socket);
  for (bool open = socket.is_open(); open;) {
    ClientRequest request;
    request.deadline_ms = 2000;
    request.path_suffix = "/report";
    knowledge.add_id(request.id);
    // A client does not send on a connection whose end it has seen.
    pollfd descriptor{socket.fd(), POLLIN, 0};
    if (::poll(&descriptor, 1, 0) != 0) {
      record.line("client sees that its connection has ended, at rest");
      break;
    }
    Fetch fetch;
    fetch.id = request.id;
    open = write_all(socket, head_of(request));
    fetch.sent_ms = now_ms();
    const ClientResult result = read_result(reader, now_ms() + 10000);
    // A rejection is a final answer as well.
    fetch.answered = result.status != 0;
    fetch.seen = result.text() + ", " + std::to_string(reader.buffered()) + " bytes of a part";
    open = open && fetch.answered && result.response.field("connection") != "close";
    record.line("client id=" + fetch.id + " sent at " + std::to_string(fetch.sent_ms) + ": " +
                fetch.seen + (open ? "" : ", the connection ends"));
    // The gateway closed the connection at rest, and the request crossed the close: the protocol
    // lets the client send it once more elsewhere.
    const bool crossed = !fetch.answered && result.end == ReadEnd::closed && reader.buffered() == 0;
    if (!crossed || now_ms() >= kKillMs) {
      fetches.push_back(fetch);
    }
  }
  return fetches;
}

int run(const Place& place) {
  Record record(place.record);
  record.line(std::string("trouble ") + (place.trouble ? "1" : "0"));
  Knowledge knowledge;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<ListEntry> entries;
  for (const char* uid : {"s-a1", "s-b2", "s-c3", "s-d4"}) {
    const std::string zone = hosts.size() < 2 ? "sofia-1" : "plovdiv";
    hosts.push_back(std::make_unique<Host>(uid, zone, knowledge, record, [](const Arrival&) {
      Answer answer;
      answer.body_bytes = kAnswerBytes;
      answer.bytes_per_second = kBytesPerSecond;
      return answer;
    }));
    entries.push_back({uid, hosts.back()->address().text(), zone});
  }
  Discovery discovery(record, entries);
  GatewayProcess gateway(place, record, discovery.address(), discovery.whole_list(), {});
  if (!gateway.wait_until_ready()) {
    record.line("could not run: the gateway is not ready");
    return kCouldNotRun;
  }
  std::vector<std::vector<Fetch>> fetches(kClients);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      sleep_until_ms(500 + i * 200);
      fetches[static_cast<std::size_t>(i)] = fetch_all(gateway.listen(), knowledge, record);
    });
  }
  sleep_until_ms(kTermMs);
  if (place.trouble) {
    gateway.send_signal(SIGTERM);
  }
  // Without the restart the clients go on for as long, and have time to end what they fetch.
  const std::int64_t end_ms = place.trouble ? kKillMs : kKillMs + 4000;
  while (now_ms() < end_ms && !gateway.has_ended()) {
    sleep_ms(10);
  }
  gateway.end();
  for (std::thread& client : clients) {
    client.join();
  }
  int taken = 0;
  int lost = 0;
  for (const auto& of_client : fetches) {
    for (const Fetch& fetch : of_client) {
      if (fetch.sent_ms <= kTakenLateMs || fetch.sent_ms >= kKillMs) {
        continue;
      }
      ++taken;
      if (!fetch.answered) {
        ++lost;
        record.line("BROKEN: id=" + fetch.id + " came " + std::to_string(fetch.sent_ms - kTermMs) +
                    " ms after SIGTERM, got " + fetch.seen);
      }
    }
  }
  record.line("taken more than 0.7 s after SIGTERM: " + std::to_string(taken) +
              ", lost: " + std::to_string(lost));
  std::_Exit(lost > 0 ? kBroken : kHeld);
}

}  // namespace

int main() {
  try {
    return run(place_of_environment());
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
  }
  return kCouldNotRun;
}
