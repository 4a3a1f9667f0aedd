/// @file
/// A planned restart, while clients upload slowly and half of the hosts hang: does each request
/// that the gateway takes more than 0.7 s after SIGTERM get its answer before SIGKILL?
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

/// "A client may take [...] a body at 64 kB a second": 192 kB take 3 s.
constexpr std::size_t kBodyBytes = 192000;
constexpr std::size_t kBytesPerSecond = 64000;
constexpr int kUploads = 16;
constexpr std::int64_t kTermMs = 4000;
/// The longest deadline of the settings (consent, 3 s) and 0.7 s; 50 ms more to be sure.
constexpr std::int64_t kKillMs = kTermMs + 3700 + 50;
/// What came earlier is not held against the gateway.
constexpr std::int64_t kTakenLateMs = kTermMs + 700;

struct Upload {
  std::string id;
  std::int64_t last_byte_ms = -1;  ///< -1: it was not written.
  std::int64_t answered_ms = -1;
  std::string seen;
};

// Sends the body at 64 kB a second; stops if an answer or the end of the connection comes earlier.
Upload upload(const Address& gateway, Knowledge& knowledge, Record& record) {
  ClientRequest request;
  request.request_class = "seal";
  request.deadline_ms = 2000;  // 80 % of the time of the class
  request.body_bytes = kBodyBytes;
  knowledge.add_id(request.id);
  Upload result;
  result.id = request.id;
  const Socket socket = connect_to(gateway);
  const std::string body = body_of(request);
  constexpr std::int64_t kStepMs = 50;
  constexpr std::size_t kStep = kBytesPerSecond * kStepMs / 1000;
  bool writing = socket.is_open() && write_all(socket, head_of(request));
  std::int64_t at_ms = now_ms();
  for (std::size_t at = 0; writing && at < body.size(); at += kStep) {
    pollfd descriptor{socket.fd(), POLLIN, 0};
    writing = ::poll(&descriptor, 1, 0) == 0 && write_all(socket, body.substr(at, kStep));
    sleep_until_ms(at_ms += kStepMs);
  }
  result.last_byte_ms = writing ? now_ms() - kStepMs : -1;
  MessageReader reader(socket);
  const ClientResult answer = read_result(reader, now_ms() + 6000);
  result.answered_ms = answer.status != 0 ? now_ms() : -1;
  result.seen = answer.text();
  record.line("client id=" + result.id + " class=seal upload, last byte " +
              (writing ? "at " + std::to_string(result.last_byte_ms) : "not written") + ": " +
              result.seen);
  return result;
}

int run(const Place& place) {
  Record record(place.record);
  record.line(std::string("trouble ") + (place.trouble ? "1" : "0"));
  Knowledge knowledge;
  std::atomic<bool> hanging = false;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<ListEntry> entries;
  for (const char* uid : {"s-a1", "s-b2", "s-c3", "s-d4"}) {
    const bool may_hang = hosts.size() % 2 == 1;  // half of the hosts
    const std::string zone = hosts.size() < 2 ? "sofia-1" : "plovdiv";
    hosts.push_back(
        std::make_unique<Host>(uid, zone, knowledge, record, [&, may_hang](const Arrival&) {
          Answer answer;
          answer.work_ms = 150;
          answer.hangs = may_hang && hanging;
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
  // Other clients, about 15 requests a second, until the gateway ends their connections.
  std::atomic<bool> stopping = false;
  std::vector<std::thread> clients;
  for (int number = 0; number < 4; ++number) {
    clients.emplace_back([&, number] {
      Client client(gateway.listen(), knowledge, record);
      while (!stopping) {
        ClientRequest request;
        request.request_class = number % 2 == 0 ? "status" : "consent";
        request.key = "7f3a9c21e0b4d6" + std::to_string(10 + number);
        client.send(request, 4000);
        sleep_ms(100);
      }
    });
  }
  // The uploads end 1.0 to 2.8 s after SIGTERM.
  std::vector<Upload> uploads(kUploads);
  std::vector<std::thread> uploading;
  for (int i = 0; i < kUploads; ++i) {
    uploading.emplace_back([&, i] {
      sleep_until_ms(kTermMs - 1950 + i * 120);
      uploads[static_cast<std::size_t>(i)] = upload(gateway.listen(), knowledge, record);
    });
  }
  sleep_until_ms(kTermMs - 50);
  hanging = place.trouble;
  record.line(hanging ? "s-b2 and s-d4 hang from here on" : "no host hangs");
  sleep_until_ms(kTermMs);
  stopping = true;
  gateway.send_signal(SIGTERM);
  while (now_ms() < kKillMs && !gateway.has_ended()) {
    sleep_ms(10);
  }
  gateway.end();
  for (std::thread& thread : uploading) {
    thread.join();
  }
  int taken = 0;
  int lost = 0;
  for (const Upload& upload : uploads) {
    if (upload.last_byte_ms <= kTakenLateMs) {
      continue;
    }
    ++taken;
    if (upload.answered_ms < 0) {
      ++lost;
      record.line("BROKEN: id=" + upload.id + " came " +
                  std::to_string(upload.last_byte_ms - kTermMs) + " ms after SIGTERM, got " +
                  upload.seen);
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
