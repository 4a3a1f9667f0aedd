#include "lab/load/overhead.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <future>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

#include "lab/live/gateway_process.hpp"
#include "lab/live/live_fleet.hpp"

namespace gateway::lab {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr double kWarmUpSeconds = 1;
constexpr double kLateMs = 100;

// The hosts in a thread of their own, so that their work is not the load's.
class Emulator {
 public:
  // NOLINTNEXTLINE(bugprone-exception-escape): throws only when out of memory
  struct Address {
    nlohmann::json list;
    tcp::endpoint discovery;
    std::vector<tcp::endpoint> hosts;
  };

  Emulator(const Scenario& scenario, std::uint64_t seed) {
    std::promise<Address> ready;
    std::future<Address> address = ready.get_future();
    thread_ = std::thread([this, &scenario, seed, ready = std::move(ready)]() mutable {
      asio::io_context io(1);
      LiveClock clock(io);
      std::unique_ptr<LiveFleet> fleet;
      try {
        fleet = std::make_unique<LiveFleet>(io, clock, scenario, seed, nullptr);
        Address a{fleet->endpoint_list(0), fleet->discovery_of(0), {}};
        for (std::uint32_t h = 0; h < fleet->hosts(); ++h) {
          a.hosts.push_back(fleet->endpoint_of(h));
        }
        ready.set_value(std::move(a));
      } catch (...) {
        return ready.set_exception(std::current_exception());
      }
      while (!over_) {
        io.run_for(std::chrono::milliseconds(20));
      }
      late_ms_ = to_seconds(clock.max_delay()) * 1e3;
    });
    try {
      address_ = address.get();
    } catch (...) {
      thread_.join();
      throw;
    }
  }
  ~Emulator() { stop(); }
  Emulator(const Emulator&) = delete;

  const Address& address() const { return address_; }
  double stop() {
    over_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
    return late_ms_;
  }

 private:
  std::atomic<bool> over_{false};
  double late_ms_ = 0;
  Address address_;
  std::thread thread_;
};

bool is_ready(const tcp::endpoint& gateway) {
  asio::io_context io(1);
  tcp::socket socket(io);
  boost::system::error_code ec;
  socket.connect(gateway, ec);
  if (ec) {
    return false;
  }
  asio::write(socket, asio::buffer(std::string_view(GatewayProcess::kReadinessRequest)), ec);
  std::string answer;
  if (!ec) {
    asio::read_until(socket, asio::dynamic_buffer(answer), "\r\n", ec);
  }
  return answer.rfind("HTTP/1.1 200", 0) == 0;
}

}  // namespace

bool OverheadResult::sound() const {
  const auto whole = [](const LoadResult& r) {
    return r.kept_schedule() && r.counts.served == r.counts.due;
  };
  return whole(straight) && whole(through) && emulator_late_ms <= kLateMs;
}

OverheadResult measure_overhead(const Scenario& scenario, std::uint64_t seed,
                                const OverheadOptions& o) {
  Emulator emulator(scenario, seed);
  const ClassSpec& c = scenario.classes.front();
  const DueRequest what{{}, c.name, c.work_ms.middle() * 1e3, 0};
  LoadOptions load;
  load.deadline = from_millis(c.client_timeout_ms);
  load.post = c.idempotency != "retryable";
  load.stopped = o.stopped;
  const auto send = [&](double seconds) {
    return send_load(*staged({{o.rate, seconds}}, what, true, seed), load);
  };

  OverheadResult result;
  result.hosts = static_cast<unsigned>(emulator.address().hosts.size());
  load.to = emulator.address().hosts;
  send(kWarmUpSeconds);
  result.straight = send(o.seconds);

  GatewayProcess gateway(o.gateway,
                         {"g0", free_address(), free_address(), emulator.address().discovery,
                          std::filesystem::path(o.folder)});
  const load_balancer::Settings module =
      balancer_settings(scenario, 0, scenario.zones.front().name, seed);
  gateway.start(platform_settings(module, scenario), emulator.address().list, seed);
  const auto since = std::chrono::steady_clock::now();
  while (!is_ready(gateway.config().listen)) {
    if (!gateway.running() ||
        std::chrono::steady_clock::now() - since > GatewayProcess::kReadinessTimeout) {
      throw std::runtime_error(gateway.not_ready_message());
    }
    std::this_thread::sleep_for(GatewayProcess::kReadinessPollInterval);
  }
  load.to = {gateway.config().listen};
  load.connections = o.connections;
  send(kWarmUpSeconds);
  const double before = gateway.cpu_seconds();
  result.through = send(o.seconds);
  const auto answered =
      result.through.counts.due - result.through.counts.broken - result.through.counts.unanswered;
  if (answered > 0) {
    result.gateway_cpu_us = 1e6 * (gateway.cpu_seconds() - before) / static_cast<double>(answered);
  }
  gateway.kill(SIGTERM);
  result.emulator_late_ms = emulator.stop();
  return result;
}

}  // namespace gateway::lab
