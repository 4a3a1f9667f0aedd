#include "lab/soak/soak_run.hpp"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <thread>

#include "lab/live/gateway_process.hpp"
#include "lab/soak/discovery_server.hpp"

namespace gateway::lab {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using nlohmann::json;
using std::chrono::milliseconds;
using tcp = asio::ip::tcp;

constexpr milliseconds kPollInterval{20};
constexpr milliseconds kReadyTimeout{10000};
// Requests that are still open this long after the last one was sent end the run.
constexpr milliseconds kDrainTimeout{8000};
constexpr std::int64_t kNanosPerMilli = 1'000'000;
constexpr std::uint64_t kCrowdSeedOffset = 7919;

json class_settings(const SoakClass& request_class, milliseconds timeout) {
  const char* effect = "retryable";
  if (request_class.effect == Effect::keyed) {
    effect = "dedup";
  } else if (request_class.effect == Effect::unsafe) {
    effect = "fragile";
  }
  return {{"name", request_class.name},
          {"effect", effect},
          {"group", "zone"},
          {"aimNs", timeout.count() * kNanosPerMilli / 2},
          {"giveUpNs", timeout.count() * kNanosPerMilli},
          {"windowNs", 15'000 * kNanosPerMilli},
          {"lateShare", 0.5},
          {"points", 1.0}};
}

json gateway_settings(const SoakPlan& plan, std::size_t index) {
  json grades = json::array();
  for (const SoakClass& request_class : soak_classes()) {
    grades.push_back(class_settings(request_class, plan.clients.timeout));
  }
  const std::int64_t idle_ms =
      plan.host.idle_timeout.count() > 0 ? plan.host.idle_timeout.count() : 60'000;
  return {{"groupSize", plan.gateways},
          {"myNumber", index},
          {"zone", "a"},
          {"registryMode", "ask"},
          {"stepNs", 5 * kNanosPerMilli},
          {"ceilings",
           {{"parallelTries", plan.allow_hedging},
            {"cancel", true},
            {"retryAfter", true},
            {"maxAttempts", 4},
            {"connectTimeoutNs", 500 * kNanosPerMilli},
            {"idleCloseNs", idle_ms * kNanosPerMilli},
            {"maxRetryAfterNs", 1'000 * kNanosPerMilli}}},
          {"rules",
           {{"askWithinNs", 2'000 * kNanosPerMilli},
            {"coldNs", 9'000 * kNanosPerMilli},
            {"coldShare", 0.32},
            {"fallMultiple", 3.0},
            {"fallNs", 2'000 * kNanosPerMilli}}},
          {"grades", grades}};
}

// Owns everything that takes part in a run.
class SoakRun {
 public:
  SoakRun(const std::string& program, const SoakPlan& plan, const std::filesystem::path& folder)
      : plan_(plan), processor_share_(plan.processor) {
    for (std::size_t i = 0; i < plan.hosts; ++i) {
      add_host(i % 2 == 0 ? "a" : "b");
    }
    for (std::size_t i = 0; i < plan.gateways; ++i) {
      add_gateway(program, folder, i);
    }
  }

  SoakResult run() {
    if (wait_until_ready()) {
      result_.initial_resident_mb = resident_mb();
      clients_.emplace(io_, plan_.clients, targets_, result_.ledger, plan_.seed);
      clients_->start();
      run_clients();
    }
    collect();
    clients_.reset();
    crowd_.reset();
    stop_gateways();
    return std::move(result_);
  }

 private:
  void add_host(const std::string& zone) {
    const std::size_t index = hosts_.size();
    HostPlan host = plan_.host;
    host.uid = "s-" + std::to_string(index);
    host.zone = zone;
    hosts_.push_back(
        std::make_unique<FaultyHost>(io_, host, result_.ledger, plan_.seed * 1000 + index));
    discovery_.set_host(host.uid, list_entry(*hosts_.back(), "SERVING"));
  }

  void add_gateway(const std::string& program, const std::filesystem::path& folder,
                   std::size_t index) {
    GatewayProcess::Config config;
    config.name = "n" + std::to_string(index);
    config.listen = free_address(loopback_address_of_this_process());
    config.admin = free_address(loopback_address_of_this_process());
    config.discovery = discovery_.endpoint();
    config.folder = folder / config.name;
    config.descriptors = plan_.descriptors;
    config.memory_mb = plan_.memory_mb;
    config.environment = plan_.environment;
    targets_.push_back({config.listen, true, false, std::nullopt});
    gateways_.push_back(std::make_unique<GatewayProcess>(program, config));
    start_gateway(index);
  }

  void start_gateway(std::size_t index) {
    gateways_[index]->start(gateway_settings(plan_, index), discovery_.list(),
                            plan_.seed * 100 + index);
    processor_share_.add(gateways_[index]->id());
  }

  RestartControls restart_controls() {
    return {[this](std::size_t i) { gateways_[i]->kill(SIGTERM); },
            [this](std::size_t i) {
              result_.gateway_cpu_seconds += gateways_[i]->cpu_seconds();
              record_memory(*gateways_[i]);
              gateways_[i]->kill(SIGKILL);
              while (gateways_[i]->running()) {
                std::this_thread::yield();
              }
            },
            [this](std::size_t i) { return gateways_[i]->running(); },
            [this](std::size_t i) { start_gateway(i); },
            [this](std::size_t i) { return is_up(targets_[i].endpoint); },
            [this](bool hanging) {
              set_hosts_hanging(hanging);
            }};
  }

  // Every second host.
  void set_hosts_hanging(bool hanging) {
    for (std::size_t i = 1; i < hosts_.size(); i += 2) {
      hosts_[i]->mutable_plan().hang_share = hanging ? 1 : plan_.host.hang_share;
    }
  }

  // Of the gateway that has most.
  double resident_mb() const {
    double most = 0;
    for (const auto& gateway : gateways_) {
      most = std::max(most, gateway->usage().resident_mb);
    }
    return most;
  }

  void record_memory(const GatewayProcess& gateway) {
    result_.peak_resident_mb = std::max(result_.peak_resident_mb, gateway.peak_resident_mb());
  }

  // The crowd comes and goes as its plan says.
  void poll_crowd(RequestLedger::Time now, RequestLedger::Time start) {
    const CrowdPlan& plan = plan_.crowd;
    if (plan.connections == 0 || now < start + plan.starts_after) {
      return;
    }
    if (!crowd_) {
      std::vector<tcp::endpoint> addresses;
      for (const ClientTarget& target : targets_) {
        addresses.push_back(target.endpoint);
      }
      crowd_.emplace(io_, plan, addresses, result_.ledger, plan_.seed + kCrowdSeedOffset);
      crowd_->start();
    }
    if (plan.duration > milliseconds(0) && now >= start + plan.starts_after + plan.duration) {
      crowd_->stop();
    }
  }

  // How long handlers of the run's own event loop wait: as long as those of its hosts, which then
  // read requests later than they arrive.
  void measure_delay() {
    delay_timer_.expires_after(kPollInterval);
    delay_timer_.async_wait([this](error_code ec) {
      if (ec) {
        return;
      }
      const auto delay = asio::steady_timer::clock_type::now() - delay_timer_.expiry();
      result_.longest_lab_delay_ms = std::max(
          result_.longest_lab_delay_ms, std::chrono::duration<double, std::milli>(delay).count());
      measure_delay();
    });
  }

  void run_for(milliseconds time) {
    io_.restart();
    io_.run_for(time);
  }

  bool is_up(const tcp::endpoint& address) {
    asio::io_context io;
    tcp::socket socket(io);
    error_code ec;
    socket.connect(address, ec);
    if (ec) {
      return false;
    }
    asio::write(socket, asio::buffer(std::string(GatewayProcess::kReadinessRequest)), ec);
    std::string response(12, '\0');
    asio::read(socket, asio::buffer(response), ec);
    return !ec && response == "HTTP/1.1 200";
  }

  bool wait_until_ready() {
    const auto end = RequestLedger::Clock::now() + kReadyTimeout;
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      while (!is_up(targets_[i].endpoint)) {
        if (RequestLedger::Clock::now() > end || !gateways_[i]->running()) {
          result_.process_failures.push_back(gateways_[i]->not_ready_message());
          return false;
        }
        run_for(kPollInterval);
      }
    }
    return true;
  }

  void run_clients() {
    const auto sending = milliseconds(static_cast<std::int64_t>(
        1000.0 * static_cast<double>(plan_.clients.requests) / plan_.clients.rate));
    const auto start = RequestLedger::Clock::now();
    measure_delay();
    GatewayRestarts restarts(plan_.restarts, restart_controls(), targets_, start);
    HostReplacements replacements(
        plan_.replacements, hosts_, discovery_, [this](const std::string& zone) { add_host(zone); },
        plan_.seed, start);
    for (auto now = start; now < start + sending + kDrainTimeout;
         now = RequestLedger::Clock::now()) {
      if (clients_->is_done() && restarts.is_idle()) {
        break;
      }
      run_for(kPollInterval);
      restarts.poll(RequestLedger::Clock::now(), now < start + sending);
      replacements.poll(RequestLedger::Clock::now());
      poll_crowd(RequestLedger::Clock::now(), start);
      for (const auto& gateway : gateways_) {
        record_memory(*gateway);
      }
    }
    if (!clients_->is_done()) {
      result_.process_failures.push_back("no result: " + clients_->unfinished());
    }
    result_.restarts = restarts.completed();
    result_.kills = restarts.killed();
    result_.replacements = replacements.completed();
    result_.not_taken = clients_->not_taken();
  }

  void collect() {
    for (const auto& host : hosts_) {
      result_.strays_sent += host->strays_sent();
      result_.connections_to_hosts += host->accepted_connections();
      result_.max_open_connections += host->max_open_connections();
    }
    result_.final_resident_mb = resident_mb();
    for (const auto& gateway : gateways_) {
      result_.gateway_cpu_seconds += gateway->cpu_seconds();
      if (!gateway->running() && gateway->died()) {
        result_.process_failures.push_back("gateway " + gateway->config().name + " died");
      }
    }
  }

  void stop_gateways() {
    for (const auto& gateway : gateways_) {
      gateway->kill(SIGTERM);
    }
    const auto end = RequestLedger::Clock::now() + kReadyTimeout;
    for (const auto& gateway : gateways_) {
      while (gateway->running() && RequestLedger::Clock::now() < end) {
        run_for(kPollInterval);
      }
    }
  }

  SoakPlan plan_;
  SoakResult result_;
  asio::io_context io_;
  asio::steady_timer delay_timer_{io_};
  DiscoveryServer discovery_{io_};
  std::vector<std::unique_ptr<FaultyHost>> hosts_;
  std::vector<std::unique_ptr<GatewayProcess>> gateways_;
  std::vector<ClientTarget> targets_;
  std::optional<SoakClients> clients_;
  std::optional<ClientCrowd> crowd_;
  ProcessorShare processor_share_;
};

}  // namespace

std::string summary(const SoakResult& result) {
  const double requests = static_cast<double>(std::max<std::size_t>(result.ledger.requests(), 1));
  char text[256];
  std::snprintf(text, sizeof text,
                "%zu requests, %zu served, %zu retries, %zu strays, %zu connections (at most %zu "
                "open), CPU %.0f us a request;",
                result.ledger.requests(), result.ledger.responses(200), result.ledger.retries(),
                result.strays_sent, result.connections_to_hosts, result.max_open_connections,
                result.gateway_cpu_seconds * 1e6 / requests);
  std::string out = text;
  std::snprintf(text, sizeof text,
                " %.1f MB resident at most, %.1f MB at the end; laboratory %.0f ms late at most;",
                result.peak_resident_mb, result.final_resident_mb, result.longest_lab_delay_ms);
  out += text;
  std::snprintf(text, sizeof text, " served within %.0f ms (50 %%), %.0f ms (99 %%);",
                result.ledger.latency_ms(50), result.ledger.latency_ms(99));
  out += text;
  if (result.restarts > 0 || result.replacements > 0) {
    out += " " + std::to_string(result.restarts) + " restarts (" + std::to_string(result.kills) +
           " ended by SIGKILL), " + std::to_string(result.replacements) + " hosts replaced, " +
           std::to_string(result.not_taken) + " requests not taken;";
  }
  for (std::size_t i = 0; i < kLedgerViolations; ++i) {
    const auto violation = static_cast<LedgerViolation>(i);
    if (result.ledger.count(violation) > 0) {
      out += std::string(" ") + name_of(violation) + "=" +
             std::to_string(result.ledger.count(violation));
    }
  }
  out += " violations=" + std::to_string(result.ledger.violations());
  for (const std::string& line : result.ledger.examples()) {
    out += "\n  " + line;
  }
  for (const std::string& line : result.process_failures) {
    out += "\n  " + line;
  }
  return out;
}

SoakPlan restart_soak_plan(std::uint64_t seed, std::size_t requests) {
  SoakPlan plan;
  plan.seed = seed;
  plan.gateways = 2;
  plan.clients.requests = requests;
  plan.clients.slow_share = 0.05;
  plan.clients.upload_share = 0.05;
  plan.host.long_share = 0.05;
  plan.host.rejected_share = 0.02;
  plan.restarts.interval = milliseconds(1500);
  plan.restarts.kill_delay = plan.clients.timeout + milliseconds(700);
  plan.replacements.interval = milliseconds(1500);
  return plan;
}

SoakPlan pressure_soak_plan(std::uint64_t seed, std::size_t requests) {
  std::mt19937_64 random(seed);
  const auto draw = [&](std::size_t low, std::size_t high) {
    return low + random() % (high - low + 1);
  };
  SoakPlan plan = restart_soak_plan(seed, requests);
  plan.gateways = draw(2, 4);
  constexpr std::size_t kMemory[] = {32, 64, 192};
  plan.memory_mb = kMemory[draw(0, 2)];
  plan.descriptors = draw(0, 1) == 0 ? 256 : 1024;
  plan.clients.rate = 60;
  plan.clients.leaving_share = 0.05;
  plan.clients.fast_upload_share = 0.1;
  plan.clients.returning_share = 0.1;
  plan.host.stuck_share = 0.02 * static_cast<double>(draw(0, 3));
  plan.host.slow_read_share = 0.05 * static_cast<double>(draw(0, 4));
  plan.host.hang_share = 0.01 * static_cast<double>(draw(0, 3));
  if (draw(0, 2) > 0) {
    plan.crowd.connections = draw(20, plan.descriptors / 8);
    for (std::size_t i = 0; i < kDrawnCrowdKinds; ++i) {
      if (draw(0, 1) == 0) {
        plan.crowd.kinds.push_back(kAllCrowdKinds[i]);
      }
    }
    if (plan.crowd.kinds.empty()) {
      plan.crowd.kinds.push_back(CrowdKind::many_fields);
    }
    plan.crowd.starts_after = milliseconds(draw(0, 3000));
    plan.crowd.duration = milliseconds(draw(2000, 8000));
  }
  return plan;
}

SoakResult run_soak(const std::string& program, const SoakPlan& plan,
                    const std::filesystem::path& folder) {
  return SoakRun(program, plan, folder).run();
}

}  // namespace gateway::lab
