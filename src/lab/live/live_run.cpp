#include "lab/live/live_run.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>
#include <unordered_map>

#include "lab/analysis/invariant_checker.hpp"
#include "lab/live/gateway_process.hpp"
#include "lab/live/http_exchange.hpp"
#include "lab/live/live_fleet.hpp"
#include "lab/live/request_text.hpp"
#include "lab/model/clients.hpp"
#include "lab/model/edge_router.hpp"
#include "lab/model/traffic.hpp"
#include "lab/rig/links.hpp"

namespace gateway::lab {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr Duration kStartDelay = std::chrono::seconds(1);
// Longest that requests in progress may take after the end of the traffic.
constexpr Duration kMaxDrainTime = std::chrono::seconds(10);
constexpr Duration kOperatorCallTimeout = std::chrono::seconds(2);
// A run is void if a task of the laboratory is delayed by more than kVoidDelay, which distorts
// latencies, or if more tasks than this fraction of the requests are delayed noticeably.
constexpr Duration kVoidDelay = std::chrono::milliseconds(100);
constexpr double kVoidDelayedFraction = 0.01;
constexpr double kSlotSeconds = 0.1;  // interval over which arrivals at the hosts are counted
constexpr double kRecoveryWindowSeconds = 2;  // after restarted gateways are ready, to see a herd
// After SIGTERM the edge router sends clients to the gateway for this long; the platform sends
// SIGKILL no sooner than kMinTerminationSeconds after SIGTERM.
constexpr double kRoutedAfterStopSeconds = 0.3, kMinTerminationSeconds = 3.7;
constexpr Duration kReadinessCheckInterval = std::chrono::milliseconds(50);

// The rule on delayed rejections is checked from the attempts seen at the hosts. A live run does
// not see attempts to connect, so the rule would report false violations; this delay disables it.
RulesSpec live_rules(RulesSpec rules) {
  rules.max_rejection_delay_ms = 60000;
  return rules;
}

double children_cpu_seconds() {  // of children that ended and were waited for
  rusage usage{};
  ::getrusage(RUSAGE_CHILDREN, &usage);
  const auto seconds = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + 1e-6 * static_cast<double>(t.tv_usec);
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

// One live run: the gateway processes, the clients that send to them, and the checks. Runs on its
// own event loop, in one thread.
class LiveRun : public FleetObserver {
 public:
  LiveRun(const Scenario& scenario, std::uint64_t seed, const LiveOptions& options)
      : s_(scenario),
        seed_(seed),
        options_(options),
        clock_(io_),
        metrics_(scenario),
        rules_(live_rules(scenario.rules)),
        checker_(rules_, scenario.classes),
        fleet_(io_, clock_, scenario, seed, this),
        links_(
            io_, rig(), gateway_count(), seed,
            [this](std::uint32_t g) { return fleet_.discovery_of(g); },
            [this](std::uint32_t h) { return fleet_.endpoint_of(h); }),
        router_random_(seed, "front") {
    fleet_.set_host_address(
        [this](std::uint32_t g, std::uint32_t h) { return links_.host_of(g, h); });
    arrivals_.slot_s = kSlotSeconds;
    // Creates the proxies before free_address() is called: they keep their ports bound, while
    // free_address() only names a port that was free a moment ago.
    for (std::uint32_t g = 0; g < gateway_count(); ++g) {
      fleet_.endpoint_list(g);
    }
    if (!rig().fleet.empty()) {
      write_operator_files();
    }
    for (std::uint32_t g = 0; g < gateway_count(); ++g) {
      Gateway& gateway = gateways_.emplace_back();
      gateway.zone = fleet_.topology().gateway_zones[g];
      gateway.process = std::make_unique<GatewayProcess>(
          options.gateway,
          GatewayProcess::Config{name_of(g), free_address(), free_address(), links_.discovery_of(g),
                                 folder_of(g),
                                 rig().fleet.empty() ? "" : folder_of(g) / "fleet.json"});
    }
  }

  LiveResult run();

  // FleetObserver:
  void on_connected(Time now, std::uint32_t host) override {
    if (begin_ > Time{}) {
      arrivals_.add_handshake(to_seconds(now - begin_), host);
    }
  }
  void on_arrived(Time now, std::uint64_t id, std::uint32_t host) override {
    const std::uint32_t gateway = gateway_of(id);
    ++metrics_.attempts;
    if (gateway == UINT32_MAX) {
      return;
    }
    checker_.attempt_sent(now, id, gateway, host);
    if (begin_ > Time{}) {
      arrivals_.add_request(to_seconds(now - begin_), host, fleet_.active_requests(host));
    }
    if (host < fleet_.topology().hosts.size() &&
        fleet_.topology().hosts[host].zone != gateways_[gateway].zone) {
      ++metrics_.cross_zone_attempts;
    }
  }
  void on_accepted(Time now, std::uint64_t id, std::uint64_t attempt, std::uint32_t host) override {
    const HostPlacement& place = fleet_.topology().hosts[host % fleet_.topology().hosts.size()];
    checker_.attempt_received(now, id, attempt, host, place.zone, place.cell, now);
  }
  void on_not_run(std::uint64_t id, std::uint64_t attempt) override {
    checker_.attempt_not_executed(id, attempt);
  }
  void on_finished(Time now, std::uint64_t id) override { checker_.attempt_ended(now, id); }
  void on_endpoint_sent(Time now, std::uint32_t gateway, std::uint32_t host,
                        load_balancer::EndpointState state) override {
    checker_.endpoint_announced(now, gateway, host, state);
  }
  void on_collapsed(Time now, std::uint32_t host, const Collapse& collapse) override {
    checker_.cold_host_collapsed(now, host, collapse.informed_share, collapse.work_sent,
                                 collapse.work_limit);
  }
  std::uint32_t gateway_of(std::uint64_t id) override {
    const auto it = sent_to_.find(id);
    return it == sent_to_.end() ? UINT32_MAX : it->second;
  }

 private:
  struct Gateway {
    std::unique_ptr<GatewayProcess> process;
    std::uint32_t zone = 0;
    unsigned starts = 0;
    bool ready = false;
    bool in_rotation = false;  // the edge router sends clients to it
    bool killed = false;       // by SIGKILL and not ready since: its open requests are excused
    Time paused_at = kNever, resumed_at{};
    Time stopped_at = kNever;  // SIGTERM
    std::vector<std::unique_ptr<tcp::socket>> idle_connections;
  };
  struct ClientRequest {
    std::uint64_t id = 0;
    std::uint32_t operation = 0, gateway = 0;
    Time sent_at{}, deadline{};
    bool finished = false;
    bool resent = false;         // on a new connection, after the gateway closed the old one
    bool fully_written = false;  // to the gateway's socket
    std::weak_ptr<Exchange> exchange;
  };

  void start_gateway(std::uint32_t number);
  void poll_readiness(std::uint32_t number, Time since);
  void schedule_next_arrival();
  void start_request(std::uint32_t operation);
  void send_request(const std::shared_ptr<ClientRequest>& request);
  void end_request(const std::shared_ptr<ClientRequest>& request, RequestOutcome end,
                   Duration retry_after);
  void operator_call(const std::string& target);
  void schedule_demo_moves();
  void sample_each_second();
  const RigPlan& rig() const {
    static const RigPlan kNone;
    return options_.rig ? *options_.rig : kNone;
  }
  std::uint32_t gateway_count() const {
    return static_cast<std::uint32_t>(fleet_.topology().gateway_zones.size());
  }
  static std::string name_of(std::uint32_t g) { return "g" + std::to_string(g); }
  std::filesystem::path folder_of(std::uint32_t g) const {
    return std::filesystem::path(options_.folder) / name_of(g);
  }
  void write_operator_files();
  void check_fleet(LiveResult& result);
  double unix_seconds() const {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch())
        .count();
  }
  void schedule_rig();
  void begin_move(const RigMove& move);
  void move_gateway(const RigMove& move, std::uint32_t gateway);
  void end_move(const RigMove& move, std::uint32_t gateway);
  void await_ready(std::string name, const std::vector<std::uint32_t>& targets, Time until);
  void kill_gateway(std::uint32_t number, Duration detection_delay);
  bool was_paused(const ClientRequest& request) const;
  void record_event(const std::string& what);
  std::vector<std::size_t> hosts_up_throughout(double from_s, double to_s) const;
  void compute_spread(LiveResult& result);
  std::string text_of(const ClientRequest& request) const;

  const Scenario& s_;
  std::uint64_t seed_;
  const LiveOptions& options_;
  asio::io_context io_{1};
  LiveClock clock_;
  RunMetrics metrics_;
  RulesSpec rules_;
  InvariantChecker checker_;
  LiveFleet fleet_;
  RigLinks links_;
  Random router_random_;
  std::deque<Gateway> gateways_;
  std::unique_ptr<Traffic> traffic_;
  std::unique_ptr<Clients> clients_;
  std::unordered_map<std::uint64_t, std::uint32_t> sent_to_;  // gateway of each open request id
  Arrival next_arrival_;
  bool traffic_over_ = false, failed_ = false;
  std::string failure_;
  Time begin_{};
  std::uint64_t last_id_ = 0, requests_ = 0;
  double previous_earned_ = 0, previous_asked_ = 0;
  std::uint64_t previous_requests_ = 0;
  std::string status_note_;
  HostArrivals arrivals_;
  std::vector<std::string> events_;
  std::vector<PhaseSpread> recoveries_;
  double connections_sum_ = 0, connections_count_ = 0;
  std::vector<std::pair<std::string, double>>
      kills_;  // gateway and time of its kill or stop, in Unix seconds
  std::vector<std::pair<double, double>> partitions_;  // begin and end of each, in Unix seconds
  double fleet_end_ = 0;  // Unix seconds; from here on the gateways are stopped
};

// --- The rig
// ----------------------------------------------------------------------------------------------

void LiveRun::record_event(const std::string& what) {
  char at[32];
  std::snprintf(at, sizeof at, "%.3f ", to_seconds(clock_.now() - begin_));
  events_.push_back(at + what);
  status_note_ = what;
}

// Writes the operator file of each gateway: the plan's settings plus the addresses of this gateway
// and of the seed members. Gateways know each other only by their addresses at the datagram mesh.
void LiveRun::write_operator_files() {
  std::vector<asio::ip::udp::endpoint> real;
  std::vector<std::unique_ptr<asio::ip::udp::socket>>
      sockets;  // kept open until every port is chosen, so that none is chosen twice
  for (std::uint32_t g = 0; g < gateway_count(); ++g) {
    sockets.push_back(std::make_unique<asio::ip::udp::socket>(
        io_, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0)));
    real.push_back(sockets.back()->local_endpoint());
  }
  links_.connect_gateways(real);
  const auto text = [](const asio::ip::udp::endpoint& e) {
    return e.address().to_string() + ":" + std::to_string(e.port());
  };
  nlohmann::json file = nlohmann::json::parse(rig().fleet);
  file["fleet"] = "rig";
  if (!file.contains("members")) {
    file["members"] = gateway_count();
  }
  file["seeds"] = nlohmann::json::array();
  for (std::uint32_t g = 0; g < std::min(3U, gateway_count()); ++g) {
    file["seeds"].push_back(text(links_.mesh_address_of(g)));
  }
  for (std::uint32_t g = 0; g < gateway_count(); ++g) {
    file["listen"] = text(real[g]);
    file["address"] = text(links_.mesh_address_of(g));
    file["log"] = (folder_of(g) / "fleet.jsonl").string();
    std::filesystem::create_directories(folder_of(g));
    std::ofstream(folder_of(g) / "fleet.json") << file.dump(1);
  }
}

void LiveRun::check_fleet(LiveResult& result) {
  if (rig().fleet.empty()) {
    return;
  }
  const nlohmann::json file = nlohmann::json::parse(rig().fleet);
  FleetBounds bounds;
  const double slot_s = file.value("slot_ms", 1000.0) / 1000;
  if (const auto it = file.find("retries"); it != file.end()) {
    bounds.retry_ratio = it->value("share", -1.0);
    bounds.retry_token_lifetime_s = slot_s * it->value("lapse_slots", 10.0);
  }
  bounds.limit_token_lifetime_s = slot_s * file.value("limit_lapse_slots", 3.0);
  if (const auto it = file.find("limits"); it != file.end()) {
    for (const auto& l : *it) {
      bounds.limits[l.value("name", "")] = l.value("per_s", 0.0);
    }
  }
  bounds.bytes_from_s = rig().bounds.bytes_from_s;
  FleetCheck check(bounds);
  check.set_end(fleet_end_);
  for (const auto& [name, at] : kills_) {
    check.add_kill(name, at);
  }
  for (const auto& [from, to] : partitions_) {
    check.add_partition(from, to);
  }
  for (std::uint32_t g = 0; g < gateway_count(); ++g) {
    check.add_file(name_of(g), folder_of(g) / "fleet.jsonl");
  }
  result.fleet = check.report();
}

void LiveRun::schedule_rig() {
  for (std::size_t i = 0; i < rig().faults.size(); ++i) {
    const RigFault& f = rig().faults[i];
    const std::string where = (f.to_hosts()      ? "hosts " + f.hosts_text
                               : f.to_gateways() ? "datagrams to gateways " + f.others_text
                                                 : "discovery") +
                              " of gateways " + f.gateways_text;
    const Fault& fault = f.fault;
    if (f.to_gateways() && (fault.drop_forward || fault.drop_backward)) {
      clock_.at(begin_ + from_seconds(f.from_s),
                [this, &f] { partitions_.emplace_back(unix_seconds(), unix_seconds() + f.for_s); });
    }
    clock_.at(begin_ + from_seconds(f.from_s), [this, i, where] {
      record_event(where + ": " + lab::text_of(rig().faults[i].fault));
      links_.begin(i);
    });
    clock_.at(begin_ + from_seconds(f.from_s + f.for_s), [this, i, where] {
      record_event(where + ": over");
      links_.end(i);
    });
  }
  for (const RigMove& move : rig().moves) {
    clock_.at(begin_ + from_seconds(move.at_s), [this, &move] { begin_move(move); });
  }
}

void LiveRun::begin_move(const RigMove& move) {
  record_event(move.what_text + " gateways " + move.gateways_text);
  const std::vector<std::uint32_t> targets = move.gateways.below(gateway_count());
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const double part = static_cast<double>(i) / static_cast<double>(targets.size());
    const double begin = move.over_s * part;
    const double end = begin + move.for_s + move.back_over_s * part;
    clock_.at(clock_.now() + from_seconds(begin),
              [this, &move, g = targets[i]] { move_gateway(move, g); });
    clock_.at(clock_.now() + from_seconds(end),
              [this, &move, g = targets[i]] { end_move(move, g); });
  }
  const Time last_end = clock_.now() + from_seconds(move.over_s + move.for_s + move.back_over_s);
  clock_.at(last_end, [this, &move, targets, last_end] {
    await_ready(move.what_text, targets, last_end + GatewayProcess::kReadinessTimeout);
  });
}

void LiveRun::move_gateway(const RigMove& move, std::uint32_t number) {
  Gateway& g = gateways_[number];
  switch (move.what) {
    case RigMove::What::kill:
      return kill_gateway(number,
                          from_seconds(s_.gateways.failure_detection_s.draw(router_random_)));
    case RigMove::What::pause:
      g.paused_at = clock_.now();
      return g.process->kill(SIGSTOP);
    case RigMove::What::stop:
      g.stopped_at = clock_.now();
      kills_.emplace_back(name_of(number), unix_seconds());
      g.process->kill(SIGTERM);
      return clock_.at(clock_.now() + from_seconds(kRoutedAfterStopSeconds), [&g] {
        if (g.stopped_at != kNever) {
          g.in_rotation = false;
        }
      });
  }
}

void LiveRun::end_move(const RigMove& move, std::uint32_t number) {
  Gateway& g = gateways_[number];
  if (move.what == RigMove::What::pause) {
    g.resumed_at = clock_.now();
    checker_.gateway_resumed(g.resumed_at, number, g.paused_at);
    return g.process->kill(SIGCONT);
  }
  if (move.what == RigMove::What::stop && g.process->running()) {
    if (clock_.now() - g.stopped_at < from_seconds(kMinTerminationSeconds)) {
      return clock_.at(clock_.now() + kReadinessCheckInterval,
                       [this, &move, number] { end_move(move, number); });
    }
    kill_gateway(number, Duration{});
  }
  g.process->running();
  g.ready = false;
  g.stopped_at = kNever;
  start_gateway(number);
}

// Marks the begin of the recovery window once all gateways of a move are ready again.
void LiveRun::await_ready(std::string name, const std::vector<std::uint32_t>& targets, Time until) {
  bool all = true;
  for (std::uint32_t g : targets) {
    all &= gateways_[g].ready;
  }
  if (all) {
    record_event(name + ": all ready");
    const double from = to_seconds(clock_.now() - begin_);
    recoveries_.push_back({std::move(name), from, from + kRecoveryWindowSeconds, {}});
  } else if (clock_.now() < until) {
    clock_.at(clock_.now() + kReadinessCheckInterval,
              [this, name, targets, until] { await_ready(name, targets, until); });
  }
}

void LiveRun::kill_gateway(std::uint32_t number, Duration detection_delay) {
  Gateway& g = gateways_[number];
  kills_.emplace_back(name_of(number), unix_seconds());
  g.process->kill(SIGKILL);
  g.killed = true;
  g.ready = false;
  g.idle_connections.clear();
  clock_.at(clock_.now() + detection_delay, [&g] {
    if (!g.ready) {
      g.in_rotation = false;
    }
  });
}

// A paused process cannot respond. Requests that it had in progress or was sent during the pause
// are excused by the checker and count as late in the metrics.
bool LiveRun::was_paused(const ClientRequest& request) const {
  const Gateway& g = gateways_[request.gateway];
  return g.paused_at != kNever && (g.resumed_at < g.paused_at || request.sent_at < g.resumed_at);
}

// Indices of the hosts that were up during the whole interval; a host that was down for a part of
// it receives fewer requests and would distort the spread.
std::vector<std::size_t> LiveRun::hosts_up_throughout(double from_s, double to_s) const {
  std::vector<std::size_t> out;
  for (std::size_t h = 0; h < metrics_.load.size(); ++h) {
    bool is_up = true;
    for (auto s = static_cast<std::size_t>(from_s);
         s < metrics_.load[h].size() && static_cast<double>(s) < to_s; ++s) {
      is_up &= metrics_.load[h][s] >= 0;
    }
    if (is_up && metrics_.load[h].size() > static_cast<std::size_t>(from_s)) {
      out.push_back(h);
    }
  }
  return out;
}

void LiveRun::compute_spread(LiveResult& result) {
  const auto spread_between = [&](double from, double to) {
    return spread_of(arrivals_, from, to, hosts_up_throughout(from, to));
  };
  result.spread = spread_between(rig().bounds.from_s, s_.length_s);
  for (PhaseSpread& phase : recoveries_) {
    phase.spread = spread_between(phase.from_s, phase.to_s);
  }
  double first_disturbance = s_.length_s;
  for (const RigFault& f : rig().faults) {
    first_disturbance = std::min(first_disturbance, f.from_s);
  }
  for (const RigMove& m : rig().moves) {
    first_disturbance = std::min(first_disturbance, m.at_s);
  }
  for (const FaultInterval& t : fleet_.fault_schedule().intervals) {
    first_disturbance = std::min(first_disturbance, to_seconds(t.from));
  }
  std::vector<double> peaks;
  for (double from = rig().bounds.from_s; from + kRecoveryWindowSeconds <= first_disturbance;
       from += kRecoveryWindowSeconds) {
    peaks.push_back(spread_between(from, from + kRecoveryWindowSeconds).herd_peak);
  }
  if (!peaks.empty()) {
    std::nth_element(peaks.begin(), peaks.begin() + static_cast<std::ptrdiff_t>(peaks.size() / 2),
                     peaks.end());
    result.herd_peak_baseline = peaks[peaks.size() / 2];
  }
  result.recoveries = std::move(recoveries_);
  result.arrivals = std::move(arrivals_);
  result.events = std::move(events_);
  result.host_connections = connections_count_ > 0 ? connections_sum_ / connections_count_ : 0;
}

// --- Gateways
// ---------------------------------------------------------------------------------------------

void LiveRun::start_gateway(std::uint32_t number) {
  Gateway& g = gateways_[number];
  const std::uint64_t start[2] = {number, g.starts++};
  const std::uint64_t seed = XXH3_64bits_withSeed(start, sizeof start, seed_);
  const load_balancer::Settings module = balancer_settings(s_, number, s_.zones[g.zone].name, seed);
  checker_.gateway_started(number);
  g.process->start(platform_settings(module, s_), fleet_.endpoint_list(number), seed);
  poll_readiness(number, clock_.now());
}

void LiveRun::poll_readiness(std::uint32_t number, Time since) {
  Gateway& g = gateways_[number];
  if (!g.process->running() || clock_.now() - since > GatewayProcess::kReadinessTimeout) {
    failed_ = true;
    failure_ = g.process->not_ready_message();
    return;
  }
  auto exchange = std::make_shared<Exchange>(
      std::make_unique<tcp::socket>(io_), GatewayProcess::kReadinessRequest, nullptr,
      [this, number, since](const Exchange::Outcome& o, std::unique_ptr<tcp::socket>) {
        Gateway& gateway = gateways_[number];
        if (o.status == 200) {
          gateway.ready = gateway.in_rotation = true;
          gateway.killed = false;
        } else {
          clock_.at(clock_.now() + GatewayProcess::kReadinessPollInterval,
                    [this, number, since] { poll_readiness(number, since); });
        }
      });
  exchange->begin(g.process->config().listen);
}

void LiveRun::schedule_next_arrival() {
  if (!traffic_->next(next_arrival_)) {
    traffic_over_ = true;
    return;
  }
  clock_.at(next_arrival_.at, [this] {
    const std::uint32_t operation = clients_->begin_operation(next_arrival_);
    schedule_next_arrival();
    start_request(operation);
  });
}

std::string LiveRun::text_of(const ClientRequest& request) const {
  const Arrival& what = clients_->arrival(request.operation);
  const ClassSpec& c = s_.classes[what.cls];
  RequestLine line{c.name,
                   what.work * 1e6,
                   what.key,
                   request.id,
                   (request.deadline - clock_.now()).count() / 1000000,
                   "",
                   c.idempotency != "retryable"};
  if (c.idempotency == "dedup") {
    char key[40];
    std::snprintf(key, sizeof key, "%016llx%016llx",
                  static_cast<unsigned long long>(what.at.count()),
                  static_cast<unsigned long long>(what.key));
    line.idempotency_key = key;
  }
  return request_text(line);
}

void LiveRun::start_request(std::uint32_t operation) {
  const Clients::RequestPlan plan = clients_->begin_request(clock_.now(), operation);
  auto request = std::make_shared<ClientRequest>();
  request->operation = operation;
  request->deadline = clock_.now() + plan.timeout;
  std::vector<std::uint32_t> near;
  std::vector<std::uint32_t> any;
  for (std::uint32_t g = 0; g < gateways_.size(); ++g) {
    if (!gateways_[g].in_rotation) {
      continue;
    }
    any.push_back(g);
    if (gateways_[g].zone == clients_->arrival(operation).zone) {
      near.push_back(g);
    }
  }
  const std::vector<std::uint32_t>& from = near.empty() ? any : near;
  request->gateway = from.empty()
                         ? static_cast<std::uint32_t>(router_random_.below(gateways_.size()))
                         : draw_gateway(s_.gateways, from, router_random_);
  request->sent_at = clock_.now();
  ++requests_;
  send_request(request);
  clock_.at(request->deadline + from_millis(rules_.response_slack_ms), [this, request] {
    if (request->finished) {
      return;
    }
    if (was_paused(*request)) {
      checker_.release(request->id);
    } else {
      checker_.client_timed_out(clock_.now(), request->id);
    }
    end_request(request, RequestOutcome::unanswered, {});
  });
  if (plan.disconnect_after) {
    clock_.at(clock_.now() + *plan.disconnect_after, [this, request] {
      if (request->finished) {
        return;
      }
      checker_.release(request->id);
      end_request(request, RequestOutcome::unanswered, {});
    });
  }
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): too long
void LiveRun::send_request(const std::shared_ptr<ClientRequest>& request) {
  Gateway& g = gateways_[request->gateway];
  request->id = ++last_id_;
  sent_to_[request->id] = request->gateway;
  std::unique_ptr<tcp::socket> socket;
  if (!g.idle_connections.empty() && !request->resent) {
    socket = std::move(g.idle_connections.back());
    g.idle_connections.pop_back();
  } else {
    socket = std::make_unique<tcp::socket>(io_);
  }
  const bool reused = socket->is_open();
  auto exchange = std::make_shared<Exchange>(
      std::move(socket), text_of(*request),
      [this, request] {
        if (request->finished) {
          return;
        }
        request->fully_written = true;
        checker_.request_received(clock_.now(), request->id,
                                  clients_->arrival(request->operation).cls, request->gateway,
                                  request->deadline);
      },
      [this, request, reused](const Exchange::Outcome& o, std::unique_ptr<tcp::socket> kept) {
        if (kept) {
          gateways_[request->gateway].idle_connections.push_back(std::move(kept));
        }
        if (request->finished) {
          return;
        }
        if (o.answered) {
          const bool served = o.status == 200 && o.body.rfind("done ", 0) == 0;
          const bool refused = o.status == 429 || o.status == 503;
          checker_.response_sent(clock_.now(), request->id,
                                 served    ? ResponseKind::served
                                 : refused ? ResponseKind::refused
                                           : ResponseKind::failed);
          Duration wait{};
          if (refused && !o.retry_after.empty()) {
            wait = from_seconds(std::strtod(o.retry_after.c_str(), nullptr));
          }
          return end_request(request,
                             served    ? RequestOutcome::served
                             : refused ? RequestOutcome::refused
                                       : RequestOutcome::failed,
                             wait);
        }
        // The gateway may close an idle connection while this request is on its way; the request is
        // then sent once more, on a new connection.
        if (reused && o.untouched && !request->resent) {
          checker_.release(request->id);
          checker_.forget(request->id);
          sent_to_.erase(request->id);
          request->resent = true;
          return send_request(request);
        }
        if (!request->fully_written || !o.connected || gateways_[request->gateway].killed) {
          checker_.release(request->id);
        } else {
          checker_.client_timed_out(clock_.now(),
                                    request->id);  // a live gateway closed the connection: lost
        }
        end_request(request, o.written ? RequestOutcome::failed : RequestOutcome::unreachable, {});
      });
  request->exchange = exchange;
  exchange->begin(g.process->config().listen);
}

void LiveRun::end_request(const std::shared_ptr<ClientRequest>& request, RequestOutcome end,
                          Duration retry_after) {
  request->finished = true;
  if (end == RequestOutcome::unanswered) {
    if (const auto exchange = request->exchange.lock()) {
      exchange->abandon();
    }
  }
  const Time now = clock_.now();
  if (end == RequestOutcome::served && now > request->deadline) {
    end = RequestOutcome::unanswered;
  }
  if (const auto wait = clients_->end_request(now, request->operation, end, retry_after)) {
    clock_.at(now + *wait, [this, operation = request->operation] { start_request(operation); });
  }
  // Attempts may still run at hosts; the checker follows them for this long.
  clock_.at(now + std::chrono::seconds(5), [this, id = request->id] {
    checker_.forget(id);
    sent_to_.erase(id);
  });
}

void LiveRun::operator_call(const std::string& target) {
  for (Gateway& g : gateways_) {
    auto exchange = std::make_shared<Exchange>(
        std::make_unique<tcp::socket>(io_),
        "POST " + target +
            " HTTP/1.1\r\nHost: lab\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
        nullptr, [this, target](const Exchange::Outcome& o, std::unique_ptr<tcp::socket>) {
          if (o.status < 200 || o.status > 299) {
            status_note_ =
                "operator call " + target + " returned status " + std::to_string(o.status);
          }
        });
    exchange->begin(g.process->config().admin);
    clock_.at(clock_.now() + kOperatorCallTimeout, [exchange] { exchange->abandon(); });
  }
}

void LiveRun::schedule_demo_moves() {
  const auto share = [&](double part) {
    return begin_ + from_seconds(s_.length_s * part);
  };
  clock_.at(share(0.27), [this] {
    status_note_ = "operator puts host-1 into maintenance";
    operator_call("/hosts/host-1/maint");
  });
  clock_.at(share(0.5), [this] {
    status_note_ = "host-2 is killed";
    fleet_.stop_host(2);
  });
  clock_.at(share(0.67), [this] {
    status_note_ = "host-2 restarts cold";
    fleet_.start_host(2);
  });
  clock_.at(share(0.75), [this] {
    status_note_ = "operator ends the maintenance of host-1";
    operator_call("/hosts/host-1/ready");
  });
}

void LiveRun::sample_each_second() {
  clock_.at(clock_.now() + std::chrono::seconds(1), [this] { sample_each_second(); });
  const double passed = to_seconds(clock_.now() - begin_);
  if (passed > s_.length_s + 0.5) {
    return;
  }
  double asked = 0;
  double earned = 0;
  std::uint64_t refused = 0;
  for (const ClassTally& c : metrics_.classes) {
    asked += c.asked, earned += c.earned;
    for (std::uint32_t r : c.rejections) {
      refused += r;
    }
  }
  std::size_t up = 0;
  std::size_t active = 0;
  metrics_.load.resize(fleet_.hosts());
  for (std::uint32_t h = 0; h < fleet_.hosts(); ++h) {
    const auto cores = static_cast<float>(
        fleet_.topology().hosts[h % fleet_.topology().hosts.size()].traits.cores);
    const bool running = fleet_.running(h);
    metrics_.load[h].push_back(running ? static_cast<float>(fleet_.active_requests(h)) / cores
                                       : -1.0f);
    up += running, active += fleet_.active_requests(h);
    connections_sum_ += static_cast<double>(fleet_.connections(h));
    connections_count_ += 1;
  }
  metrics_.shedding_thresholds.push_back(0);
  if (options_.show_each_second) {
    const double share =
        asked - previous_asked_ > 0 ? (earned - previous_earned_) / (asked - previous_asked_) : 1;
    std::printf("%6.0f %10llu %9.0f %% %9llu %9zu %7zu   %s\n", passed,
                static_cast<unsigned long long>(requests_ - previous_requests_),
                100 * std::min(share, 1.0), static_cast<unsigned long long>(refused), active, up,
                status_note_.c_str());
    std::fflush(stdout);
  }
  status_note_.clear();
  previous_asked_ = asked, previous_earned_ = earned, previous_requests_ = requests_;
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): too long
LiveResult LiveRun::run() {
  const double cpu_before = children_cpu_seconds();
  for (std::uint32_t g = 0; g < gateways_.size(); ++g) {
    start_gateway(g);
  }
  const auto all_ready = [&] {
    for (const Gateway& g : gateways_) {
      if (!g.ready) {
        return false;
      }
    }
    return true;
  };
  const auto stopped = [&] {
    return options_.stopped && options_.stopped();
  };
  while (!all_ready() && !failed_ && !stopped()) {
    io_.run_for(std::chrono::milliseconds(20));
  }
  if (failed_) {
    throw std::runtime_error(failure_);
  }

  begin_ = clock_.now() + kStartDelay;
  traffic_ = std::make_unique<Traffic>(s_, seed_, fleet_.topology().request_rate, begin_);
  clients_ = std::make_unique<Clients>(s_, seed_, begin_, metrics_);
  if (options_.show_each_second) {
    std::printf("%6s %10s %11s %9s %9s %7s\n", "second", "requests", "in time", "refused", "active",
                "hosts up");
  }
  clock_.at(begin_, [this] {
    fleet_.begin_faults([this](const FaultStep& step) {
      for (std::uint32_t g : step.targets) {
        Gateway& gateway = gateways_[g];
        if (step.kind == FaultStepKind::gateway_start) {
          gateway.process->running();
          start_gateway(g);
          continue;
        }
        kill_gateway(g, from_seconds(s_.gateways.failure_detection_s.draw(router_random_)));
      }
    });
    sample_each_second();
  });
  if (options_.demo) {
    schedule_demo_moves();
  }
  schedule_rig();
  schedule_next_arrival();
  const Time end = begin_ + from_seconds(s_.length_s);
  LiveResult result(RunResult{s_.name, seed_, RunMetrics(s_), {}, {}, 0, 0});
  while (!stopped() && !failed_ && clock_.now() < end + kMaxDrainTime &&
         !(traffic_over_ && clients_->open_operations() == 0 && clock_.now() >= end)) {
    io_.run_for(std::chrono::milliseconds(20));
  }
  result.stopped = stopped();
  fleet_end_ = unix_seconds();
  for (Gateway& g : gateways_) {
    const GatewayProcess::Usage usage = g.process->usage();
    result.gateway_memory_mb = std::max(result.gateway_memory_mb, usage.resident_mb);
    result.gateway_descriptors =
        std::max(result.gateway_descriptors, static_cast<double>(usage.descriptors));
    g.process->running();
    result.gateways_died += g.process->died() ? 1 : 0;
    g.process->kill(SIGCONT);  // a process stopped by SIGSTOP does not handle SIGTERM
    g.process->kill(SIGTERM);
  }
  const Time termination_deadline = clock_.now() + std::chrono::seconds(5);
  for (Gateway& g : gateways_) {
    while (g.process->running() && clock_.now() < termination_deadline) {
      io_.run_for(std::chrono::milliseconds(20));
    }
  }
  if (failed_) {
    throw std::runtime_error(failure_);
  }
  const double cpu = children_cpu_seconds() - cpu_before;
  // A live run does not see which part of the work was useful.
  metrics_.work_done = metrics_.work_useful = fleet_.work_done();
  metrics_.troubles = fleet_.fault_schedule().intervals;
  result.run = RunResult{s_.name,
                         seed_,
                         metrics_,
                         checker_.counts(),
                         checker_.first_violations(),
                         to_seconds(clock_.now() - begin_),
                         requests_};
  for (Violation& b : result.run.first_violations) {
    b.at -= begin_;
  }
  compute_spread(result);
  check_fleet(result);
  result.gateway_cpu_us = requests_ > 0 ? 1e6 * cpu / static_cast<double>(requests_) : 0;
  result.max_delay_ms = to_seconds(clock_.max_delay()) * 1e3;
  const auto late = static_cast<double>(clock_.delayed_count());
  if (clock_.max_delay() > kVoidDelay ||
      late > kVoidDelayedFraction * static_cast<double>(std::max<std::uint64_t>(requests_, 100))) {
    result.is_void = true;
    char text[160];
    std::snprintf(text, sizeof text,
                  "the laboratory ran up to %.0f ms late, %.0f times over %.0f ms",
                  result.max_delay_ms, late, to_seconds(LiveClock::kTolerance) * 1e3);
    result.void_reason = text;
  }
  return result;
}

}  // namespace

LiveResult run_live(const Scenario& scenario, std::uint64_t seed, const LiveOptions& options) {
  return LiveRun(scenario, seed, options).run();
}

}  // namespace gateway::lab
