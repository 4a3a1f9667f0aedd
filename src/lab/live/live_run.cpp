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

constexpr Duration kSettleIn = std::chrono::seconds(1);
constexpr Duration kAfterwards = std::chrono::seconds(10);
constexpr Duration kOperator = std::chrono::seconds(2);
constexpr Duration kVoid = std::chrono::milliseconds(100);  // one such delay spoils latencies
constexpr double kVoidShare = 0.01;  // or so many small ones, against the requests
constexpr double kSlotS = 0.1;       // in which what lands at the hosts is counted
constexpr double kBackS = 2;         // after gateways came back, for the herd
// PROTOCOL, figures: after SIGTERM the front goes on for a moment; SIGKILL comes no sooner than
// this.
constexpr double kFrontAfterStopS = 0.3, kKillAfterStopS = 3.7;
constexpr Duration kLookAgain = std::chrono::milliseconds(50);

// The rule on held-back answers is judged from what is under way at the hosts; a live run does not
// see attempts to connect, so there it would blame the innocent.
RulesSpec live_rules(RulesSpec rules) {
  rules.max_rejection_delay_ms = 60000;
  return rules;
}

double children_cpu_seconds() {  // of those that have ended and were waited for
  rusage usage{};
  ::getrusage(RUSAGE_CHILDREN, &usage);
  const auto seconds = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + 1e-6 * static_cast<double>(t.tv_usec);
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

class LiveDay : public LiveEyes {
 public:
  LiveDay(const Scenario& scenario, std::uint64_t seed, const LiveOptions& options)
      : s_(scenario),
        seed_(seed),
        options_(options),
        clock_(io_),
        tally_(scenario),
        rules_(live_rules(scenario.rules)),
        referee_(rules_, scenario.classes),
        fleet_(io_, clock_, scenario, seed, this),
        links_(
            io_, rig(), gateway_count(), seed,
            [this](std::uint32_t g) { return fleet_.discovery_of(g); },
            [this](std::uint32_t h) { return fleet_.endpoint_of(h); }),
        front_(seed, "front") {
    fleet_.set_view([this](std::uint32_t g, std::uint32_t h) { return links_.host_of(g, h); });
    arrivals_.slot_s = kSlotS;
    // Proxies hold their ports, where freeAddress only names one that was free; so they come first.
    for (std::uint32_t g = 0; g < gateway_count(); ++g) {
      fleet_.endpoint_list(g);
    }
    if (!rig().fleet.empty()) {
      begin_fleet();
    }
    for (std::uint32_t g = 0; g < gateway_count(); ++g) {
      Gateway& gate = gateways_.emplace_back();
      gate.zone = fleet_.topology().gateway_zones[g];
      gate.process = std::make_unique<GatewayProcess>(
          options.gateway,
          GatewayProcess::Config{name_of(g), free_address(), free_address(), links_.discovery_of(g),
                                 folder_of(g),
                                 rig().fleet.empty() ? "" : folder_of(g) / "fleet.json"});
    }
  }

  LiveResult play();

  // What hosts and discovery saw.
  void connected(Time now, std::uint32_t host) override {
    if (begin_ > Time{}) {
      arrivals_.add_handshake(to_seconds(now - begin_), host);
    }
  }
  void arrived(Time now, std::uint64_t id, std::uint32_t host) override {
    const std::uint32_t gateway = gateway_of(id);
    ++tally_.attempts;
    if (gateway == UINT32_MAX) {
      return;
    }
    referee_.sent(now, id, gateway, host);
    if (begin_ > Time{}) {
      arrivals_.add_request(to_seconds(now - begin_), host, fleet_.holds(host));
    }
    if (host < fleet_.topology().hosts.size() &&
        fleet_.topology().hosts[host].zone != gateways_[gateway].zone) {
      ++tally_.crossings;
    }
  }
  void reached(Time now, std::uint64_t id, std::uint64_t attempt, std::uint32_t host) override {
    const HostPlacement& place = fleet_.topology().hosts[host % fleet_.topology().hosts.size()];
    referee_.reached(now, id, attempt, host, place.zone, place.cell, now);
  }
  void not_run(std::uint64_t id, std::uint64_t attempt) override {
    referee_.disproved(id, attempt);
  }
  void over(Time now, std::uint64_t id) override { referee_.settled(now, id); }
  void told(Time now, std::uint32_t gateway, std::uint32_t host,
            load_balancer::EndpointState phase) override {
    referee_.told(now, gateway, host, phase);
  }
  void fell(Time now, std::uint32_t host, const Collapse& f) override {
    referee_.fell(now, host, f.informed_share, f.work_sent, f.work_limit);
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
    bool ready = false, seen_alive = false;
    bool killed = false;  // by SIGKILL, and not ready since: it owes nothing
    Time paused_at = kNever, resumed_at{};
    Time stopped_at = kNever;  // SIGTERM
    std::vector<std::unique_ptr<tcp::socket>> idle;
  };
  struct Try {
    std::uint64_t id = 0;
    std::uint32_t wish = 0, gateway = 0;
    Time sent_at{}, deadline{};
    bool over = false, again = false, wrote = false;
    std::weak_ptr<Exchange> exchange;
  };

  void start_gateway(std::uint32_t number);
  void ask_ready(std::uint32_t number, Time since);
  void next_first_try();
  void start_try(std::uint32_t wish);
  void send_try(const std::shared_ptr<Try>& t);
  void end_try(const std::shared_ptr<Try>& t, RequestOutcome end, Duration retry_after);
  void operator_call(const std::string& target);
  void hand_moves();
  void each_second();
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
  void begin_fleet();
  void check_fleet(LiveResult& result);
  double unix_seconds() const {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch())
        .count();
  }
  void begin_rig();
  void make_move(const RigMove& move);
  void move_gateway(const RigMove& move, std::uint32_t gateway);
  void end_move(const RigMove& move, std::uint32_t gateway);
  void await_back(std::string name, const std::vector<std::uint32_t>& who, Time until);
  void kill_gateway(std::uint32_t number, Duration noticed);
  bool was_paused(const Try& t) const;
  void event(const std::string& what);
  std::vector<std::size_t> hosts_running(double from_s, double to_s) const;
  void judge_spread(LiveResult& result);
  std::string text_of(const Try& t) const;

  const Scenario& s_;
  std::uint64_t seed_;
  const LiveOptions& options_;
  asio::io_context io_{1};
  LiveClock clock_;
  RunMetrics tally_;
  RulesSpec rules_;
  InvariantChecker referee_;
  LiveFleet fleet_;
  RigLinks links_;
  Random front_;
  std::deque<Gateway> gateways_;
  std::unique_ptr<Traffic> traffic_;
  std::unique_ptr<Clients> clients_;
  std::unordered_map<std::uint64_t, std::uint32_t> sent_to_;  // open ids and their gateway
  Arrival coming_;
  bool traffic_over_ = false, failed_ = false;
  std::string failure_;
  Time begin_{};
  std::uint64_t last_id_ = 0, tries_ = 0;
  double last_earned_ = 0, last_asked_ = 0;
  std::uint64_t last_tries_ = 0;
  std::string note_;
  HostArrivals arrivals_;
  std::vector<std::string> events_;
  std::vector<PhaseSpread> recoveries_;
  double connections_sum_ = 0, connections_count_ = 0;
  std::vector<std::pair<std::string, double>> kills_;  // gateways, in Unix seconds
  std::vector<std::pair<double, double>> splits_;
  double talk_ends_ = 0;
};

// --- The rig
// ----------------------------------------------------------------------------------------------

void LiveDay::event(const std::string& what) {
  char at[32];
  std::snprintf(at, sizeof at, "%.3f ", to_seconds(clock_.now() - begin_));
  events_.push_back(at + what);
  note_ = what;
}

// Each gateway's operator file: what the plan says, and where it and the others are. They know each
// other by their addresses at the laboratory's mesh alone.
void LiveDay::begin_fleet() {
  std::vector<asio::ip::udp::endpoint> real;
  std::vector<std::unique_ptr<asio::ip::udp::socket>>
      held;  // till all are named, so that none is named twice
  for (std::uint32_t g = 0; g < gateway_count(); ++g) {
    held.push_back(std::make_unique<asio::ip::udp::socket>(
        io_, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0)));
    real.push_back(held.back()->local_endpoint());
  }
  links_.mesh_gateways(real);
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
    file["seeds"].push_back(text(links_.talk_of(g)));
  }
  for (std::uint32_t g = 0; g < gateway_count(); ++g) {
    file["listen"] = text(real[g]);
    file["address"] = text(links_.talk_of(g));
    file["log"] = (folder_of(g) / "fleet.jsonl").string();
    std::filesystem::create_directories(folder_of(g));
    std::ofstream(folder_of(g) / "fleet.json") << file.dump(1);
  }
}

void LiveDay::check_fleet(LiveResult& result) {
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
  check.set_end(talk_ends_);
  for (const auto& [name, at] : kills_) {
    check.add_kill(name, at);
  }
  for (const auto& [from, to] : splits_) {
    check.add_partition(from, to);
  }
  for (std::uint32_t g = 0; g < gateway_count(); ++g) {
    check.add_file(name_of(g), folder_of(g) / "fleet.jsonl");
  }
  result.fleet = check.report();
}

void LiveDay::begin_rig() {
  for (std::size_t i = 0; i < rig().faults.size(); ++i) {
    const RigFault& f = rig().faults[i];
    const std::string where = (f.to_hosts()      ? "hosts " + f.hosts_text
                               : f.to_gateways() ? "talk with gateways " + f.others_text
                                                 : "discovery") +
                              " of gateways " + f.gateways_text;
    const Fault& fault = f.fault;
    if (f.to_gateways() && (fault.drop_forward || fault.drop_backward)) {
      clock_.at(begin_ + from_seconds(f.from_s),
                [this, &f] { splits_.emplace_back(unix_seconds(), unix_seconds() + f.for_s); });
    }
    clock_.at(begin_ + from_seconds(f.from_s), [this, i, where] {
      event(where + ": " + lab::text_of(rig().faults[i].fault));
      links_.begin(i);
    });
    clock_.at(begin_ + from_seconds(f.from_s + f.for_s), [this, i, where] {
      event(where + ": over");
      links_.end(i);
    });
  }
  for (const RigMove& move : rig().moves) {
    clock_.at(begin_ + from_seconds(move.at_s), [this, &move] { make_move(move); });
  }
}

void LiveDay::make_move(const RigMove& move) {
  event(move.what_text + " gateways " + move.gateways_text);
  const std::vector<std::uint32_t> who = move.gateways.below(gateway_count());
  for (std::size_t i = 0; i < who.size(); ++i) {
    const double part = static_cast<double>(i) / static_cast<double>(who.size());
    const double turn = move.over_s * part;
    const double back = turn + move.for_s + move.back_over_s * part;
    clock_.at(clock_.now() + from_seconds(turn),
              [this, &move, g = who[i]] { move_gateway(move, g); });
    clock_.at(clock_.now() + from_seconds(back), [this, &move, g = who[i]] { end_move(move, g); });
  }
  const Time over = clock_.now() + from_seconds(move.over_s + move.for_s + move.back_over_s);
  clock_.at(over, [this, &move, who, over] {
    await_back(move.what_text, who, over + GatewayProcess::kReadinessTimeout);
  });
}

void LiveDay::move_gateway(const RigMove& move, std::uint32_t number) {
  Gateway& g = gateways_[number];
  switch (move.what) {
    case RigMove::What::kill:
      return kill_gateway(number, from_seconds(s_.gateways.failure_detection_s.draw(front_)));
    case RigMove::What::pause:
      g.paused_at = clock_.now();
      return g.process->kill(SIGSTOP);
    case RigMove::What::stop:
      g.stopped_at = clock_.now();
      kills_.emplace_back(name_of(number), unix_seconds());
      g.process->kill(SIGTERM);
      return clock_.at(clock_.now() + from_seconds(kFrontAfterStopS), [&g] {
        if (g.stopped_at != kNever) {
          g.seen_alive = false;
        }
      });
  }
}

void LiveDay::end_move(const RigMove& move, std::uint32_t number) {
  Gateway& g = gateways_[number];
  if (move.what == RigMove::What::pause) {
    g.resumed_at = clock_.now();
    referee_.resumed(g.resumed_at, number, g.paused_at);
    return g.process->kill(SIGCONT);
  }
  if (move.what == RigMove::What::stop && g.process->running()) {
    if (clock_.now() - g.stopped_at < from_seconds(kKillAfterStopS)) {
      return clock_.at(clock_.now() + kLookAgain,
                       [this, &move, number] { end_move(move, number); });
    }
    kill_gateway(number, Duration{});
  }
  g.process->running();
  g.ready = false;
  g.stopped_at = kNever;
  start_gateway(number);
}

// The herd is looked for once all of them take clients again.
void LiveDay::await_back(std::string name, const std::vector<std::uint32_t>& who, Time until) {
  bool all = true;
  for (std::uint32_t g : who) {
    all &= gateways_[g].ready;
  }
  if (all) {
    event(name + ": all back");
    const double from = to_seconds(clock_.now() - begin_);
    recoveries_.push_back({std::move(name), from, from + kBackS, {}});
  } else if (clock_.now() < until) {
    clock_.at(clock_.now() + kLookAgain,
              [this, name, who, until] { await_back(name, who, until); });
  }
}

void LiveDay::kill_gateway(std::uint32_t number, Duration noticed) {
  Gateway& g = gateways_[number];
  kills_.emplace_back(name_of(number), unix_seconds());
  g.process->kill(SIGKILL);
  g.killed = true;
  g.ready = false;
  g.idle.clear();
  clock_.at(clock_.now() + noticed, [&g] {
    if (!g.ready) {
      g.seen_alive = false;
    }
  });
}

// A stopped process can't answer; what it held or was sent then is owed nothing, and is late in the
// figures.
bool LiveDay::was_paused(const Try& t) const {
  const Gateway& g = gateways_[t.gateway];
  return g.paused_at != kNever && (g.resumed_at < g.paused_at || t.sent_at < g.resumed_at);
}

// Over the hosts that ran all through it: of the others less is expected.
std::vector<std::size_t> LiveDay::hosts_running(double from_s, double to_s) const {
  std::vector<std::size_t> out;
  for (std::size_t h = 0; h < tally_.load.size(); ++h) {
    bool up = true;
    for (auto s = static_cast<std::size_t>(from_s);
         s < tally_.load[h].size() && static_cast<double>(s) < to_s; ++s) {
      up &= tally_.load[h][s] >= 0;
    }
    if (up && tally_.load[h].size() > static_cast<std::size_t>(from_s)) {
      out.push_back(h);
    }
  }
  return out;
}

void LiveDay::judge_spread(LiveResult& result) {
  const auto over = [&](double from, double to) {
    return spread_of(arrivals_, from, to, hosts_running(from, to));
  };
  result.spread = over(rig().bounds.from_s, s_.length_s);
  for (PhaseSpread& phase : recoveries_) {
    phase.spread = over(phase.from_s, phase.to_s);
  }
  double calm = s_.length_s;
  for (const RigFault& f : rig().faults) {
    calm = std::min(calm, f.from_s);
  }
  for (const RigMove& m : rig().moves) {
    calm = std::min(calm, m.at_s);
  }
  for (const FaultInterval& t : fleet_.fault_schedule().intervals) {
    calm = std::min(calm, to_seconds(t.from));
  }
  std::vector<double> peaks;
  for (double from = rig().bounds.from_s; from + kBackS <= calm; from += kBackS) {
    peaks.push_back(over(from, from + kBackS).herd_peak);
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

void LiveDay::start_gateway(std::uint32_t number) {
  Gateway& g = gateways_[number];
  const std::uint64_t start[2] = {number, g.starts++};
  const std::uint64_t seed = XXH3_64bits_withSeed(start, sizeof start, seed_);
  const load_balancer::Settings module = balancer_settings(s_, number, s_.zones[g.zone].name, seed);
  referee_.gateway_started(number);
  g.process->start(platform_settings(module, s_), fleet_.endpoint_list(number), seed);
  ask_ready(number, clock_.now());
}

void LiveDay::ask_ready(std::uint32_t number, Time since) {
  Gateway& g = gateways_[number];
  if (!g.process->running() || clock_.now() - since > GatewayProcess::kReadinessTimeout) {
    failed_ = true;
    failure_ = g.process->not_ready_message();
    return;
  }
  auto exchange = std::make_shared<Exchange>(
      std::make_unique<tcp::socket>(io_), GatewayProcess::kReadinessRequest, nullptr,
      [this, number, since](const Exchange::Outcome& o, std::unique_ptr<tcp::socket>) {
        Gateway& gate = gateways_[number];
        if (o.status == 200) {
          gate.ready = gate.seen_alive = true;
          gate.killed = false;
        } else {
          clock_.at(clock_.now() + GatewayProcess::kReadinessPollInterval,
                    [this, number, since] { ask_ready(number, since); });
        }
      });
  exchange->begin(g.process->config().listen);
}

void LiveDay::next_first_try() {
  if (!traffic_->next(coming_)) {
    traffic_over_ = true;
    return;
  }
  clock_.at(coming_.at, [this] {
    const std::uint32_t wish = clients_->begin_operation(coming_);
    next_first_try();
    start_try(wish);
  });
}

std::string LiveDay::text_of(const Try& t) const {
  const Arrival& what = clients_->arrival(t.wish);
  const ClassSpec& c = s_.classes[what.cls];
  RequestLine line{c.name,
                   what.work * 1e6,
                   what.key,
                   t.id,
                   (t.deadline - clock_.now()).count() / 1000000,
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

void LiveDay::start_try(std::uint32_t wish) {
  const Clients::RequestPlan plan = clients_->begin_request(clock_.now(), wish);
  auto t = std::make_shared<Try>();
  t->wish = wish;
  t->deadline = clock_.now() + plan.timeout;
  std::vector<std::uint32_t> near;
  std::vector<std::uint32_t> any;
  for (std::uint32_t g = 0; g < gateways_.size(); ++g) {
    if (!gateways_[g].seen_alive) {
      continue;
    }
    any.push_back(g);
    if (gateways_[g].zone == clients_->arrival(wish).zone) {
      near.push_back(g);
    }
  }
  const std::vector<std::uint32_t>& from = near.empty() ? any : near;
  t->gateway = from.empty() ? static_cast<std::uint32_t>(front_.below(gateways_.size()))
                            : draw_gateway(s_.gateways, from, front_);
  t->sent_at = clock_.now();
  ++tries_;
  send_try(t);
  clock_.at(t->deadline + from_millis(rules_.response_slack_ms), [this, t] {
    if (t->over) {
      return;
    }
    if (was_paused(*t)) {
      referee_.excused(t->id);
    } else {
      referee_.client_gave_up(clock_.now(), t->id);
    }
    end_try(t, RequestOutcome::unanswered, {});
  });
  if (plan.disconnect_after) {
    clock_.at(clock_.now() + *plan.disconnect_after, [this, t] {
      if (t->over) {
        return;
      }
      referee_.excused(t->id);
      end_try(t, RequestOutcome::unanswered, {});
    });
  }
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): too long
void LiveDay::send_try(const std::shared_ptr<Try>& t) {
  Gateway& g = gateways_[t->gateway];
  t->id = ++last_id_;
  sent_to_[t->id] = t->gateway;
  std::unique_ptr<tcp::socket> socket;
  if (!g.idle.empty() && !t->again) {
    socket = std::move(g.idle.back());
    g.idle.pop_back();
  } else {
    socket = std::make_unique<tcp::socket>(io_);
  }
  const bool reused = socket->is_open();
  auto exchange = std::make_shared<Exchange>(
      std::move(socket), text_of(*t),
      [this, t] {
        if (t->over) {
          return;
        }
        t->wrote = true;
        referee_.taken(clock_.now(), t->id, clients_->arrival(t->wish).cls, t->gateway,
                       t->deadline);
      },
      [this, t, reused](const Exchange::Outcome& o, std::unique_ptr<tcp::socket> kept) {
        if (kept) {
          gateways_[t->gateway].idle.push_back(std::move(kept));
        }
        if (t->over) {
          return;
        }
        if (o.answered) {
          const bool served = o.status == 200 && o.body.rfind("done ", 0) == 0;
          const bool refused = o.status == 429 || o.status == 503;
          referee_.answered(clock_.now(), t->id,
                            served    ? Answer::served
                            : refused ? Answer::refused
                                      : Answer::failed);
          Duration wait{};
          if (refused && !o.retry_after.empty()) {
            wait = from_seconds(std::strtod(o.retry_after.c_str(), nullptr));
          }
          return end_try(t,
                         served    ? RequestOutcome::served
                         : refused ? RequestOutcome::refused
                                   : RequestOutcome::failed,
                         wait);
        }
        // The gateway may close a connection between requests; if that crossed this one, it is sent
        // once more.
        if (reused && o.untouched && !t->again) {
          referee_.excused(t->id);
          referee_.forget(t->id);
          sent_to_.erase(t->id);
          t->again = true;
          return send_try(t);
        }
        if (!t->wrote || !o.connected || gateways_[t->gateway].killed) {
          referee_.excused(t->id);
        } else {
          referee_.client_gave_up(clock_.now(), t->id);  // a living gateway broke it off: lost
        }
        end_try(t, o.written ? RequestOutcome::failed : RequestOutcome::unreachable, {});
      });
  t->exchange = exchange;
  exchange->begin(g.process->config().listen);
}

void LiveDay::end_try(const std::shared_ptr<Try>& t, RequestOutcome end, Duration retry_after) {
  t->over = true;
  if (end == RequestOutcome::unanswered) {
    if (const auto exchange = t->exchange.lock()) {
      exchange->abandon();
    }
  }
  const Time now = clock_.now();
  if (end == RequestOutcome::served && now > t->deadline) {
    end = RequestOutcome::unanswered;
  }
  if (const auto wait = clients_->end_request(now, t->wish, end, retry_after)) {
    clock_.at(now + *wait, [this, wish = t->wish] { start_try(wish); });
  }
  // Attempts may still be out at hosts; they are judged till then.
  clock_.at(now + std::chrono::seconds(5), [this, id = t->id] {
    referee_.forget(id);
    sent_to_.erase(id);
  });
}

void LiveDay::operator_call(const std::string& target) {
  for (Gateway& g : gateways_) {
    auto exchange = std::make_shared<Exchange>(
        std::make_unique<tcp::socket>(io_),
        "POST " + target +
            " HTTP/1.1\r\nHost: lab\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
        nullptr, [this, target](const Exchange::Outcome& o, std::unique_ptr<tcp::socket>) {
          if (o.status < 200 || o.status > 299) {
            note_ = "operator's call " + target + " got " + std::to_string(o.status);
          }
        });
    exchange->begin(g.process->config().admin);
    clock_.at(clock_.now() + kOperator, [exchange] { exchange->abandon(); });
  }
}

void LiveDay::hand_moves() {
  const auto share = [&](double part) {
    return begin_ + from_seconds(s_.length_s * part);
  };
  clock_.at(share(0.27), [this] {
    note_ = "operator takes host-1 out";
    operator_call("/hosts/host-1/maint");
  });
  clock_.at(share(0.5), [this] {
    note_ = "host-2 is killed";
    fleet_.stop_host(2);
  });
  clock_.at(share(0.67), [this] {
    note_ = "host-2 starts again, cold";
    fleet_.start_host(2);
  });
  clock_.at(share(0.75), [this] {
    note_ = "operator calls host-1 back";
    operator_call("/hosts/host-1/ready");
  });
}

void LiveDay::each_second() {
  clock_.at(clock_.now() + std::chrono::seconds(1), [this] { each_second(); });
  const double passed = to_seconds(clock_.now() - begin_);
  if (passed > s_.length_s + 0.5) {
    return;
  }
  double asked = 0;
  double earned = 0;
  std::uint64_t refused = 0;
  for (const ClassTally& c : tally_.classes) {
    asked += c.asked, earned += c.earned;
    for (std::uint32_t r : c.refusals) {
      refused += r;
    }
  }
  std::size_t up = 0;
  std::size_t held = 0;
  tally_.load.resize(fleet_.hosts());
  for (std::uint32_t h = 0; h < fleet_.hosts(); ++h) {
    const auto cores = static_cast<float>(
        fleet_.topology().hosts[h % fleet_.topology().hosts.size()].traits.cores);
    const bool running = fleet_.running(h);
    tally_.load[h].push_back(running ? static_cast<float>(fleet_.holds(h)) / cores : -1.0f);
    up += running, held += fleet_.holds(h);
    connections_sum_ += static_cast<double>(fleet_.connections(h));
    connections_count_ += 1;
  }
  tally_.cutoffs.push_back(0);
  if (options_.show_each_second) {
    const double share =
        asked - last_asked_ > 0 ? (earned - last_earned_) / (asked - last_asked_) : 1;
    std::printf("%6.0f %10llu %9.0f %% %9llu %9zu %7zu   %s\n", passed,
                static_cast<unsigned long long>(tries_ - last_tries_), 100 * std::min(share, 1.0),
                static_cast<unsigned long long>(refused), held, up, note_.c_str());
    std::fflush(stdout);
  }
  note_.clear();
  last_asked_ = asked, last_earned_ = earned, last_tries_ = tries_;
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): too long
LiveResult LiveDay::play() {
  const double cpu_before = children_cpu_seconds();
  for (std::uint32_t g = 0; g < gateways_.size(); ++g) {
    start_gateway(g);
  }
  const auto everybody_ready = [&] {
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
  while (!everybody_ready() && !failed_ && !stopped()) {
    io_.run_for(std::chrono::milliseconds(20));
  }
  if (failed_) {
    throw std::runtime_error(failure_);
  }

  begin_ = clock_.now() + kSettleIn;
  traffic_ = std::make_unique<Traffic>(s_, seed_, fleet_.topology().request_rate, begin_);
  clients_ = std::make_unique<Clients>(s_, seed_, begin_, tally_);
  if (options_.show_each_second) {
    std::printf("%6s %10s %11s %9s %9s %7s\n", "second", "tries", "in time", "refused", "held",
                "hosts up");
  }
  clock_.at(begin_, [this] {
    fleet_.begin_faults([this](const FaultStep& step) {
      for (std::uint32_t g : step.targets) {
        Gateway& gate = gateways_[g];
        if (step.kind == FaultStepKind::gateway_start) {
          gate.process->running();
          start_gateway(g);
          continue;
        }
        kill_gateway(g, from_seconds(s_.gateways.failure_detection_s.draw(front_)));
      }
    });
    each_second();
  });
  if (options_.demo) {
    hand_moves();
  }
  begin_rig();
  next_first_try();
  const Time end = begin_ + from_seconds(s_.length_s);
  LiveResult result(DayResult{s_.name, seed_, RunMetrics(s_), {}, {}, 0, 0});
  while (!stopped() && !failed_ && clock_.now() < end + kAfterwards &&
         !(traffic_over_ && clients_->open_operations() == 0 && clock_.now() >= end)) {
    io_.run_for(std::chrono::milliseconds(20));
  }
  result.stopped = stopped();
  talk_ends_ = unix_seconds();
  for (Gateway& g : gateways_) {
    const GatewayProcess::Usage usage = g.process->usage();
    result.gateway_memory_mb = std::max(result.gateway_memory_mb, usage.resident_mb);
    result.gateway_descriptors =
        std::max(result.gateway_descriptors, static_cast<double>(usage.descriptors));
    g.process->running();
    result.gateways_died += g.process->died() ? 1 : 0;
    g.process->kill(SIGCONT);  // a stopped process would not heed SIGTERM
    g.process->kill(SIGTERM);
  }
  const Time patience = clock_.now() + std::chrono::seconds(5);
  for (Gateway& g : gateways_) {
    while (g.process->running() && clock_.now() < patience) {
      io_.run_for(std::chrono::milliseconds(20));
    }
  }
  if (failed_) {
    throw std::runtime_error(failure_);
  }
  const double cpu = children_cpu_seconds() - cpu_before;
  // what was useful is not seen from here
  tally_.work_done = tally_.work_useful = fleet_.work_done();
  tally_.troubles = fleet_.fault_schedule().intervals;
  result.run = DayResult{s_.name,
                         seed_,
                         tally_,
                         referee_.counts(),
                         referee_.first(),
                         to_seconds(clock_.now() - begin_),
                         tries_};
  for (Breach& b : result.run.first_breaches) {
    b.at -= begin_;
  }
  judge_spread(result);
  check_fleet(result);
  result.gateway_cpu_us = tries_ > 0 ? 1e6 * cpu / static_cast<double>(tries_) : 0;
  result.max_delay_ms = to_seconds(clock_.max_delay()) * 1e3;
  const auto late = static_cast<double>(clock_.delayed_count());
  if (clock_.max_delay() > kVoid ||
      late > kVoidShare * static_cast<double>(std::max<std::uint64_t>(tries_, 100))) {
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
  return LiveDay(scenario, seed, options).play();
}

}  // namespace gateway::lab
