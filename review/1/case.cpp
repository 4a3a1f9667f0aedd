/// @file
/// A host leaves the list while a long answer from it is being passed on, and a new host joins.
/// After the grace of drains, does the host that has left get new requests?
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

constexpr const char* kLongPath = "/report";
constexpr std::size_t kLongBytes = 4 << 20;
constexpr std::size_t kBytesPerSecond = 512 << 10;
/// drainGraceNs, and 50 ms that the protocol page adds to each limit on sockets.
constexpr std::int64_t kGraceMs = 550;
constexpr std::int64_t kEndMs = 40000;

Answer behave(const Arrival& arrival) {
  Answer answer;
  // A client asks for a long answer by an id that begins with "long".
  if (arrival.id.rfind("long", 0) == 0) {
    answer.body_bytes = kLongBytes;
    answer.bytes_per_second = kBytesPerSecond;
  }
  return answer;
}

ListEntry entry_of(const Host& host) {
  return {host.uid(), host.address().text(), host.zone()};
}

int run(const Place& place) {
  Record record(place.record);
  record.line(std::string("trouble ") + (place.trouble ? "1" : "0"));
  Knowledge knowledge;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<ListEntry> entries;
  for (const char* uid : {"s-a1", "s-b2", "s-c3", "s-d4"}) {
    const std::string zone = hosts.size() < 2 ? "sofia-1" : "plovdiv";
    hosts.push_back(std::make_unique<Host>(uid, zone, knowledge, record, behave));
    entries.push_back(entry_of(*hosts.back()));
  }
  Discovery discovery(record, entries);
  GatewayProcess gateway(place, record, discovery.address(), discovery.whole_list(), {});
  if (!gateway.wait_until_ready()) {
    record.line("could not run: the gateway is not ready");
    return kCouldNotRun;
  }
  // Eight clients, each with one request at a time, 0.1 s apart: about 50 requests a second.
  std::atomic<bool> stopping = false;
  std::atomic<int> served = 0;
  std::vector<std::thread> clients;
  for (int number = 0; number < 8; ++number) {
    clients.emplace_back([&, number] {
      Client client(gateway.listen(), knowledge, record);
      const std::vector<std::string> classes = {"status", "consent", "seal"};
      for (int i = number; !stopping; ++i) {
        ClientRequest request;
        request.request_class = classes[static_cast<std::size_t>(i) % classes.size()];
        request.key = "7f3a9c21e0b4d6" + std::to_string(10 + (i * 7 + number) % 80);
        served += client.send(request, 4000).status == 200 ? 1 : 0;
        sleep_ms(100);
      }
    });
  }
  sleep_until_ms(3000);
  std::thread long_client([&] {
    Client client(gateway.listen(), knowledge, record);
    ClientRequest request;
    request.id = "long" + new_id();
    request.path_suffix = kLongPath;
    client.send(request, 30000);
  });
  sleep_ms(1000);
  Host* leaving = nullptr;
  for (const auto& host : hosts) {
    for (const Arrival& arrival : host->arrivals()) {
      leaving = arrival.id.rfind("long", 0) == 0 ? host.get() : leaving;
    }
  }
  if (!leaving) {
    record.line("could not run: no host got the request for a long answer");
    return kCouldNotRun;
  }
  std::int64_t told_ms = -1;
  if (place.trouble) {
    // The host drains, is taken from the list 1 s later and goes on to finish what it has; another
    // joins 1 s after that.
    ListEntry left = entry_of(*leaving);
    left.state = "DRAINING";
    discovery.change(left);
    const std::int64_t version = discovery.version();
    const bool told_draining = discovery.wait_until_told(8000);
    told_ms = discovery.told_ms(version);
    sleep_ms(1000);
    left.state = "DELETED";
    discovery.change(left);
    const bool told_deleted = discovery.wait_until_told(8000);
    sleep_ms(1000);
    hosts.push_back(std::make_unique<Host>("s-e5", leaving->zone(), knowledge, record, behave));
    ListEntry joined = entry_of(*hosts.back());
    joined.boot_ms = unix_ms();
    discovery.change(joined);
    if (!told_draining || !told_deleted || !discovery.wait_until_told(8000)) {
      record.line("could not run: the gateway did not ask discovery");
      return kCouldNotRun;
    }
  }
  sleep_until_ms(kEndMs);
  stopping = true;
  for (std::thread& client : clients) {
    client.join();
  }
  long_client.join();
  int late = 0;
  for (const Arrival& arrival : leaving->arrivals()) {
    if (told_ms >= 0 && arrival.first_byte_ms > told_ms + kGraceMs) {
      ++late;
      record.line("BROKEN: host " + leaving->uid() + " got id=" + arrival.id + " " +
                  std::to_string(arrival.first_byte_ms - told_ms) +
                  " ms after the gateway was told that it drains");
    }
  }
  record.line("served " + std::to_string(served) + ", sent too late to " + leaving->uid() + ": " +
              std::to_string(late));
  if (served < 100) {
    record.line("could not run: hardly any request was served");
    return kCouldNotRun;
  }
  gateway.end();
  // The stand-ins' threads still use what they share with this function.
  std::_Exit(late > 0 ? kBroken : kHeld);
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
