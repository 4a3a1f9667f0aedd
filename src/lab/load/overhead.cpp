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

constexpr double kWarmUpSeconds = 1;  // load before each measurement, which is not counted
constexpr double kMaxEmulatorDelayMs = 100;

// Emulated hosts and discovery in their own thread, so that they do not delay the load generator.
class Emulator {
 public:
  // NOLINTNEXTLINE(bugprone-exception-escape): throws only when out of memory
  struct Endpoints {
    nlohmann::json list;
    tcp::endpoint discovery;
    std::vector<tcp::endpoint> hosts;
  };

  Emulator(const Scenario& scenario, std::uint64_t seed) {
    std::promise<Endpoints> ready;
    std::future<Endpoints> endpoints = ready.get_future();
    thread_ = std::thread([this, &scenario, seed, ready = std::move(ready)]() mutable {
      asio::io_context io(1);
      LiveClock clock(io);
      std::unique_ptr<LiveFleet> fleet;
      try {
        fleet = std::make_unique<LiveFleet>(io, clock, scenario, seed, nullptr);
        Endpoints e{fleet->endpoint_list(0), fleet->discovery_of(0), {}};
        for (std::uint32_t h = 0; h < fleet->hosts(); ++h) {
          e.hosts.push_back(fleet->endpoint_of(h));
        }
        ready.set_value(std::move(e));
      } catch (...) {
        return ready.set_exception(std::current_exception());
      }
      while (!stop_requested_) {
        io.run_for(std::chrono::milliseconds(20));
      }
      max_delay_ms_ = to_seconds(clock.max_delay()) * 1e3;
    });
    try {
      endpoints_ = endpoints.get();
    } catch (...) {
      thread_.join();
      throw;
    }
  }
  ~Emulator() { stop(); }
  Emulator(const Emulator&) = delete;

  const Endpoints& endpoints() const { return endpoints_; }
  // Ends the thread. Returns the longest delay of its event loop in milliseconds.
  double stop() {
    stop_requested_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
    return max_delay_ms_;
  }

 private:
  std::atomic<bool> stop_requested_{false};
  double max_delay_ms_ = 0;
  Endpoints endpoints_;
  std::thread thread_;
};

// Whether the gateway answers the readiness request with status 200.
bool is_ready(const tcp::endpoint& gateway) {
  asio::io_context io(1);
  tcp::socket socket(io);
  boost::system::error_code ec;
  socket.connect(gateway, ec);
  if (ec) {
    return false;
  }
  asio::write(socket, asio::buffer(std::string_view(GatewayProcess::kReadinessRequest)), ec);
  std::string response;
  if (!ec) {
    asio::read_until(socket, asio::dynamic_buffer(response), "\r\n", ec);
  }
  return response.rfind("HTTP/1.1 200", 0) == 0;
}

}  // namespace

bool OverheadResult::is_valid() const {
  const auto all_served = [](const LoadResult& r) {
    return r.kept_schedule() && r.counts.served == r.counts.due;
  };
  return all_served(direct) && all_served(through) && emulator_late_ms <= kMaxEmulatorDelayMs;
}

OverheadResult measure_overhead(const Scenario& scenario, std::uint64_t seed,
                                const OverheadOptions& o) {
  Emulator emulator(scenario, seed);
  const ClassSpec& c = scenario.classes.front();
  const DueRequest request{{}, c.name, c.work_ms.middle() * 1e3, 0};
  LoadOptions load;
  load.deadline = from_millis(c.client_timeout_ms);
  load.post = c.idempotency != "retryable";
  load.stopped = o.stopped;
  const auto send = [&](double seconds) {
    return send_load(*staged({{o.rate, seconds}}, request, true, seed), load);
  };

  OverheadResult result;
  result.hosts = static_cast<unsigned>(emulator.endpoints().hosts.size());
  load.to = emulator.endpoints().hosts;
  send(kWarmUpSeconds);
  result.direct = send(o.seconds);

  GatewayProcess gateway(o.gateway,
                         {"g0", free_address(), free_address(), emulator.endpoints().discovery,
                          std::filesystem::path(o.folder)});
  const load_balancer::Settings balancer =
      balancer_settings(scenario, 0, scenario.zones.front().name, seed);
  gateway.start(platform_settings(balancer, scenario), emulator.endpoints().list, seed);
  const auto started_at = std::chrono::steady_clock::now();
  while (!is_ready(gateway.config().listen)) {
    if (!gateway.running() ||
        std::chrono::steady_clock::now() - started_at > GatewayProcess::kReadinessTimeout) {
      throw std::runtime_error(gateway.not_ready_message());
    }
    std::this_thread::sleep_for(GatewayProcess::kReadinessPollInterval);
  }
  load.to = {gateway.config().listen};
  load.connections = o.connections;
  send(kWarmUpSeconds);
  const double cpu_before = gateway.cpu_seconds();
  result.through = send(o.seconds);
  const auto responses =
      result.through.counts.due - result.through.counts.broken - result.through.counts.unanswered;
  if (responses > 0) {
    result.gateway_cpu_us =
        1e6 * (gateway.cpu_seconds() - cpu_before) / static_cast<double>(responses);
  }
  gateway.kill(SIGTERM);
  result.emulator_late_ms = emulator.stop();
  return result;
}

}  // namespace gateway::lab
