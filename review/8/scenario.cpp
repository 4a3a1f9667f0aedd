// Many clients upload at a time through a gateway with little memory, while half of the hosts hang
// in the middle of their requests and the others read slowly.
// Usage, from the root of the repository: case-8 RECORD. Result: see standins.hpp.
#include "standins.hpp"

using namespace review;

namespace {

constexpr int kMemoryMb = 32;
constexpr int kSockets = 1024;
constexpr int kClients = 60;  // a third of the descriptors would be 341
constexpr int kHosts = 6;
constexpr int kSeconds = 25;
constexpr int kDeadlineMs = 1200;  // 48 % of the 2.5 s of `seal`
// A request is lost once its time is over by 0.5 s; 50 ms more for limits on sockets, and 100 ms
// for this test's own delays.
constexpr int kLateMs = kDeadlineMs + 500 + 50 + 100;
constexpr int kPauseMs = 200;  // of a client between two requests
constexpr std::size_t kPiece = 16384;
constexpr int kSendBuffer = 16384;  // so little is on its way once the last byte is written
constexpr std::size_t kHangAfter = 60000;
constexpr std::size_t kSizes[] = {300000, 700000, 1500000, 4000000};

std::atomic<bool> g_over{false};
std::mutex g_mutex;
std::map<std::string, int> g_results;
int g_late = 0;

// Reads a request as slowly as the host does, then answers.
void serve(Connection& peer, int host) {
  const int rates[] = {64000, 200000, 800000};  // bytes a second
  for (;;) {
    Message request;
    std::string line;
    const auto end = Clock::now() + Ms(120000);
    if (!peer.read_line(request.start, end)) {
      return;
    }
    while (peer.read_line(line, end) && !line.empty()) {
      const std::size_t colon = line.find(':');
      request.fields[lower(line.substr(0, colon))] = line.substr(colon + 2);
    }
    std::size_t left = std::stoul("0" + request.field("content-length"));
    std::size_t got = 0;
    const std::size_t at_once = with_trouble() ? 3200 : 65536;
    while (left > 0) {
      if (with_trouble() && host % 2 == 1 && got > kHangAfter) {
        for (int i = 0; i < 600 && !g_over; ++i) {
          sleep_ms(100);  // it hangs
        }
        return;
      }
      std::string body;
      const std::size_t count = std::min(left, at_once);
      if (!peer.read_bytes(count, body, end)) {
        return;
      }
      left -= count;
      got += count;
      if (with_trouble()) {
        sleep_ms(static_cast<int>(count * 1000 / static_cast<std::size_t>(rates[host / 2])));
      }
    }
    if (!peer.write(ok_response("run " + request.field("x-request-id")))) {
      return;
    }
  }
}

// Writes the request, as far as it is not answered before its end. True: to its last byte.
bool upload(Connection& peer, const std::string& text) {
  std::size_t done = 0;
  while (done < text.size()) {
    pollfd item{peer.fd(), POLLIN | POLLOUT, 0};
    if (::poll(&item, 1, 10000) <= 0 || (item.revents & (POLLIN | POLLERR | POLLHUP)) != 0) {
      return false;
    }
    const ssize_t sent = ::send(peer.fd(), text.data() + done, std::min(kPiece, text.size() - done),
                                MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
      return false;
    }
    done += sent > 0 ? static_cast<std::size_t>(sent) : 0;
  }
  return true;
}

void client(const Gateway& gateway, unsigned number) {
  for (unsigned round = 0; !g_over; ++round) {
    const std::size_t size = kSizes[(number + round) % std::size(kSizes)];
    const std::string id = request_id();
    const auto peer = Connection::to(gateway.listen);
    if (!peer) {
      sleep_ms(50);
      continue;
    }
    ::setsockopt(peer->fd(), SOL_SOCKET, SO_SNDBUF, &kSendBuffer, sizeof kSendBuffer);
    const bool is_written =
        upload(*peer, "POST /seal/doc HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: " + id +
                          "\r\nX-Class: seal\r\nX-Deadline-Ms: " + std::to_string(kDeadlineMs) +
                          "\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" +
                          std::string(size, 'z'));
    if (!is_written) {
      {
        const std::lock_guard lock(g_mutex);
        ++g_results["answered or closed before its last byte"];
      }
      sleep_ms(kPauseMs);
      continue;
    }
    const double written_at = seconds_now();
    Message answer;
    read_message(*peer, answer, Clock::now() + Ms(10000), true);
    const int took = static_cast<int>((seconds_now() - written_at) * 1000);
    const bool is_late = took > kLateMs;
    const std::string status = answer.whole ? std::to_string(answer.status()) : "no answer";
    if (is_late) {
      note("LOST " + id + " of " + std::to_string(size) + " bytes, last byte written at " +
           std::to_string(written_at) + ": " + status + " after " + std::to_string(took) +
           " ms of " + std::to_string(kDeadlineMs));
    }
    {
      const std::lock_guard lock(g_mutex);
      ++g_results[status];
      g_late += is_late ? 1 : 0;
    }
    sleep_ms(kPauseMs);
  }
}

int run(const std::string& folder) {
  Discovery discovery;
  std::vector<std::unique_ptr<Server>> hosts;
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back(std::make_unique<Server>([i](Connection& peer) { serve(peer, i); }));
    discovery.set({"s-" + std::to_string(i), hosts.back()->address});
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
  std::vector<std::thread> clients;
  for (unsigned i = 0; i < kClients; ++i) {
    clients.emplace_back([&gateway, i] { client(gateway, i); });
  }
  sleep_ms(kSeconds * 1000);
  g_over = true;
  for (std::thread& thread : clients) {
    thread.join();
  }
  int written = 0;
  for (const auto& [result, count] : g_results) {
    note(std::to_string(count) + " requests: " + result);
    written += result.front() == 'a' ? 0 : count;
  }
  note(std::to_string(g_late) + " of " + std::to_string(written) +
       " requests that were written whole got their final answer more than " +
       std::to_string(kLateMs) + " ms after their last byte, or none");
  if (!gateway.program.running() || written == 0) {
    return kNotRun;
  }
  return g_late > 0 ? kBroken : kHeld;
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
