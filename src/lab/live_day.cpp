#include "lab/live_day.hpp"

#include <signal.h>
#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
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

#include "lab/clients.hpp"
#include "lab/exchange.hpp"
#include "lab/front.hpp"
#include "lab/gateway_process.hpp"
#include "lab/live_fleet.hpp"
#include "lab/referee.hpp"
#include "lab/request_text.hpp"
#include "lab/rig/links.hpp"
#include "lab/traffic.hpp"

namespace fennelridge::lab {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr Duration kSettleIn = std::chrono::seconds(1);
constexpr Duration kAfterwards = std::chrono::seconds(10);
constexpr Duration kOperator = std::chrono::seconds(2);
constexpr Duration kVoid = std::chrono::milliseconds(100);  // one such delay spoils latencies
constexpr double kVoidShare = 0.01;                         // or so many small ones, against the requests
constexpr double kSlotS = 0.1;                              // in which what lands at the hosts is counted
constexpr double kBackS = 2;                                // after gateways came back, for the herd
// PROTOCOL, figures: after SIGTERM the front goes on for a moment; SIGKILL comes no sooner than this.
constexpr double kFrontAfterStopS = 0.3, kKillAfterStopS = 3.7;
constexpr Duration kLookAgain = std::chrono::milliseconds(50);

// The rule on held-back answers is judged from what is under way at the hosts; a live run does not see
// attempts to connect, so there it would blame the innocent.
RulesSpec liveRules(RulesSpec rules) {
  rules.heldBackMs = 60000;
  return rules;
}

double childrenCpuSeconds() {  // of those that have ended and were waited for
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
        rules_(liveRules(scenario.rules)),
        referee_(rules_, scenario.classes),
        fleet_(io_, clock_, scenario, seed, this),
        links_(
            io_, rig(), gatewayCount(), seed, [this](std::uint32_t g) { return fleet_.discoveryOf(g); },
            [this](std::uint32_t h) { return fleet_.endpointOf(h); }),
        front_(seed, "front") {
    fleet_.setView([this](std::uint32_t g, std::uint32_t h) { return links_.hostOf(g, h); });
    landed_.slotS = kSlotS;
    // Proxies hold their ports, where freeAddress only names one that was free; so they come first.
    for (std::uint32_t g = 0; g < gatewayCount(); ++g) fleet_.list(g);
    if (!rig().fleet.empty()) beginFleet();
    for (std::uint32_t g = 0; g < gatewayCount(); ++g) {
      Gateway& gate = gateways_.emplace_back();
      gate.zone = fleet_.layout().gatewayZones[g];
      gate.process = std::make_unique<GatewayProcess>(
          options.gateway,
          GatewayProcess::Place{nameOf(g), freeAddress(), freeAddress(), links_.discoveryOf(g), folderOf(g),
                                rig().fleet.empty() ? "" : folderOf(g) / "fleet.json"});
    }
  }

  LiveResult play();

  // What hosts and discovery saw.
  void connected(Time now, std::uint32_t host) override {
    if (begin_ > Time{}) landed_.handshake(toSeconds(now - begin_), host);
  }
  void arrived(Time now, std::uint64_t id, std::uint32_t host) override {
    const std::uint32_t gateway = gatewayOf(id);
    ++tally_.attempts;
    if (gateway == UINT32_MAX) return;
    referee_.sent(now, id, gateway, host);
    if (begin_ > Time{}) landed_.request(toSeconds(now - begin_), host, fleet_.holds(host));
    if (host < fleet_.layout().hosts.size() && fleet_.layout().hosts[host].zone != gateways_[gateway].zone)
      ++tally_.crossings;
  }
  void reached(Time now, std::uint64_t id, std::uint64_t attempt, std::uint32_t host) override {
    const HostPlace& place = fleet_.layout().hosts[host % fleet_.layout().hosts.size()];
    referee_.reached(now, id, attempt, host, place.zone, place.cell, now);
  }
  void notRun(std::uint64_t id, std::uint64_t attempt) override { referee_.disproved(id, attempt); }
  void over(Time now, std::uint64_t id) override { referee_.settled(now, id); }
  void told(Time now, std::uint32_t gateway, std::uint32_t host, ochrehill::Phase phase) override {
    referee_.told(now, gateway, host, phase);
  }
  void fell(Time now, std::uint32_t host, const Fall& f) override {
    referee_.fell(now, host, f.knownShare, f.pushed, f.borne);
  }
  std::uint32_t gatewayOf(std::uint64_t id) override {
    const auto it = sentTo_.find(id);
    return it == sentTo_.end() ? UINT32_MAX : it->second;
  }

 private:
  struct Gateway {
    std::unique_ptr<GatewayProcess> process;
    std::uint32_t zone = 0;
    unsigned starts = 0;
    bool ready = false, seenAlive = false;
    bool killed = false;  // by SIGKILL, and not ready since: it owes nothing
    Time pausedAt = kNever, resumedAt{};
    Time stoppedAt = kNever;  // SIGTERM
    std::vector<std::unique_ptr<tcp::socket>> idle;
  };
  struct Try {
    std::uint64_t id = 0;
    std::uint32_t wish = 0, gateway = 0;
    Time sentAt{}, deadline{};
    bool over = false, again = false, wrote = false;
    std::weak_ptr<Exchange> exchange;
  };

  void startGateway(std::uint32_t number);
  void askReady(std::uint32_t number, Time since);
  void nextFirstTry();
  void startTry(std::uint32_t wish);
  void sendTry(const std::shared_ptr<Try>& t);
  void endTry(const std::shared_ptr<Try>& t, TryEnd end, Duration retryAfter);
  void operatorCall(const std::string& target);
  void handMoves();
  void eachSecond();
  const RigPlan& rig() const {
    static const RigPlan none;
    return options_.rig ? *options_.rig : none;
  }
  std::uint32_t gatewayCount() const {
    return static_cast<std::uint32_t>(fleet_.layout().gatewayZones.size());
  }
  static std::string nameOf(std::uint32_t g) { return "g" + std::to_string(g); }
  std::filesystem::path folderOf(std::uint32_t g) const {
    return std::filesystem::path(options_.folder) / nameOf(g);
  }
  void beginFleet();
  void checkFleet(LiveResult& result);
  double unixSeconds() const {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
  }
  void beginRig();
  void makeMove(const RigMove& move);
  void moveGateway(const RigMove& move, std::uint32_t gateway);
  void endMove(const RigMove& move, std::uint32_t gateway);
  void awaitBack(std::string name, std::vector<std::uint32_t> who, Time until);
  void killGateway(std::uint32_t number, Duration noticed);
  bool wasPaused(const Try& t) const;
  void event(const std::string& what);
  std::vector<std::size_t> hostsRunning(double fromS, double toS) const;
  void judgeSpread(LiveResult& result);
  std::string textOf(const Try& t) const;

  const Scenario& s_;
  std::uint64_t seed_;
  const LiveOptions& options_;
  asio::io_context io_{1};
  LiveClock clock_;
  Tally tally_;
  RulesSpec rules_;
  Referee referee_;
  LiveFleet fleet_;
  RigLinks links_;
  Random front_;
  std::deque<Gateway> gateways_;
  std::unique_ptr<Traffic> traffic_;
  std::unique_ptr<Clients> clients_;
  std::unordered_map<std::uint64_t, std::uint32_t> sentTo_;  // open ids and their gateway
  FirstTry coming_;
  bool trafficOver_ = false, failed_ = false;
  std::string failure_;
  Time begin_{};
  std::uint64_t lastId_ = 0, tries_ = 0;
  double lastEarned_ = 0, lastAsked_ = 0;
  std::uint64_t lastTries_ = 0;
  std::string note_;
  Landed landed_;
  std::vector<std::string> events_;
  std::vector<PhaseSpread> back_;
  double connectionsSum_ = 0, connectionsCount_ = 0;
  std::vector<std::pair<std::string, double>> kills_;  // gateways, in Unix seconds
  std::vector<std::pair<double, double>> splits_;
  double talkEnds_ = 0;
};

// --- The rig ----------------------------------------------------------------------------------------------

void LiveDay::event(const std::string& what) {
  char at[32];
  std::snprintf(at, sizeof at, "%.3f ", toSeconds(clock_.now() - begin_));
  events_.push_back(at + what);
  note_ = what;
}

// Each gateway's operator file: what the plan says, and where it and the others are. They know each other by
// their addresses at the laboratory's mesh alone.
void LiveDay::beginFleet() {
  std::vector<asio::ip::udp::endpoint> real;
  std::vector<std::unique_ptr<asio::ip::udp::socket>>
      held;  // till all are named, so that none is named twice
  for (std::uint32_t g = 0; g < gatewayCount(); ++g) {
    held.push_back(std::make_unique<asio::ip::udp::socket>(
        io_, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0)));
    real.push_back(held.back()->local_endpoint());
  }
  links_.meshGateways(real);
  const auto text = [](const asio::ip::udp::endpoint& e) {
    return e.address().to_string() + ":" + std::to_string(e.port());
  };
  nlohmann::json file = nlohmann::json::parse(rig().fleet);
  file["fleet"] = "rig";
  if (!file.contains("members")) file["members"] = gatewayCount();
  file["seeds"] = nlohmann::json::array();
  for (std::uint32_t g = 0; g < std::min(3U, gatewayCount()); ++g)
    file["seeds"].push_back(text(links_.talkOf(g)));
  for (std::uint32_t g = 0; g < gatewayCount(); ++g) {
    file["listen"] = text(real[g]);
    file["address"] = text(links_.talkOf(g));
    file["log"] = (folderOf(g) / "fleet.jsonl").string();
    std::filesystem::create_directories(folderOf(g));
    std::ofstream(folderOf(g) / "fleet.json") << file.dump(1);
  }
}

void LiveDay::checkFleet(LiveResult& result) {
  if (rig().fleet.empty()) return;
  const nlohmann::json file = nlohmann::json::parse(rig().fleet);
  FleetPromise promise;
  const double slotS = file.value("slot_ms", 1000.0) / 1000;
  if (const auto it = file.find("retries"); it != file.end()) {
    promise.retryShare = it->value("share", -1.0);
    promise.retryLapseS = slotS * it->value("lapse_slots", 10.0);
  }
  promise.limitLapseS = slotS * file.value("limit_lapse_slots", 3.0);
  if (const auto it = file.find("limits"); it != file.end())
    for (const auto& l : *it) promise.limits[l.value("name", "")] = l.value("per_s", 0.0);
  promise.bytesFromS = rig().within.bytesFromS;
  FleetCheck check(promise);
  check.ends(talkEnds_);
  for (const auto& [name, at] : kills_) check.killed(name, at);
  for (const auto& [from, to] : splits_) check.split(from, to);
  for (std::uint32_t g = 0; g < gatewayCount(); ++g) check.file(nameOf(g), folderOf(g) / "fleet.jsonl");
  result.fleet = check.report();
}

void LiveDay::beginRig() {
  for (std::size_t i = 0; i < rig().faults.size(); ++i) {
    const RigFault& f = rig().faults[i];
    const std::string where = (f.toHosts()      ? "hosts " + f.hostsText
                               : f.toGateways() ? "talk with gateways " + f.othersText
                                                : "discovery") +
                              " of gateways " + f.gatewaysText;
    const Fault& fault = f.fault;
    if (f.toGateways() && (fault.silentThere || fault.silentBack))
      clock_.at(begin_ + fromSeconds(f.fromS),
                [this, &f] { splits_.emplace_back(unixSeconds(), unixSeconds() + f.forS); });
    clock_.at(begin_ + fromSeconds(f.fromS), [this, i, where] {
      event(where + ": " + lab::textOf(rig().faults[i].fault));
      links_.begin(i);
    });
    clock_.at(begin_ + fromSeconds(f.fromS + f.forS), [this, i, where] {
      event(where + ": over");
      links_.end(i);
    });
  }
  for (const RigMove& move : rig().moves)
    clock_.at(begin_ + fromSeconds(move.atS), [this, &move] { makeMove(move); });
}

void LiveDay::makeMove(const RigMove& move) {
  event(move.whatText + " gateways " + move.gatewaysText);
  const std::vector<std::uint32_t> who = move.gateways.of(gatewayCount());
  for (std::size_t i = 0; i < who.size(); ++i) {
    const double part = static_cast<double>(i) / static_cast<double>(who.size());
    const double turn = move.overS * part, back = turn + move.forS + move.backOverS * part;
    clock_.at(clock_.now() + fromSeconds(turn), [this, &move, g = who[i]] { moveGateway(move, g); });
    clock_.at(clock_.now() + fromSeconds(back), [this, &move, g = who[i]] { endMove(move, g); });
  }
  const Time over = clock_.now() + fromSeconds(move.overS + move.forS + move.backOverS);
  clock_.at(over,
            [this, &move, who, over] { awaitBack(move.whatText, who, over + GatewayProcess::kReadyWithin); });
}

void LiveDay::moveGateway(const RigMove& move, std::uint32_t number) {
  Gateway& g = gateways_[number];
  switch (move.what) {
    case RigMove::What::kill: return killGateway(number, fromSeconds(s_.gateways.noticeS.draw(front_)));
    case RigMove::What::pause: g.pausedAt = clock_.now(); return g.process->kill(SIGSTOP);
    case RigMove::What::stop:
      g.stoppedAt = clock_.now();
      kills_.emplace_back(nameOf(number), unixSeconds());
      g.process->kill(SIGTERM);
      return clock_.at(clock_.now() + fromSeconds(kFrontAfterStopS), [&g] {
        if (g.stoppedAt != kNever) g.seenAlive = false;
      });
  }
}

void LiveDay::endMove(const RigMove& move, std::uint32_t number) {
  Gateway& g = gateways_[number];
  if (move.what == RigMove::What::pause) {
    g.resumedAt = clock_.now();
    referee_.resumed(g.resumedAt, number, g.pausedAt);
    return g.process->kill(SIGCONT);
  }
  if (move.what == RigMove::What::stop && g.process->running()) {
    if (clock_.now() - g.stoppedAt < fromSeconds(kKillAfterStopS))
      return clock_.at(clock_.now() + kLookAgain, [this, &move, number] { endMove(move, number); });
    killGateway(number, Duration{});
  }
  g.process->running();
  g.ready = false;
  g.stoppedAt = kNever;
  startGateway(number);
}

// The herd is looked for once all of them take clients again.
void LiveDay::awaitBack(std::string name, std::vector<std::uint32_t> who, Time until) {
  bool all = true;
  for (std::uint32_t g : who) all &= gateways_[g].ready;
  if (all) {
    event(name + ": all back");
    const double from = toSeconds(clock_.now() - begin_);
    back_.push_back({std::move(name), from, from + kBackS, {}});
  } else if (clock_.now() < until) {
    clock_.at(clock_.now() + kLookAgain, [this, name, who, until] { awaitBack(name, who, until); });
  }
}

void LiveDay::killGateway(std::uint32_t number, Duration noticed) {
  Gateway& g = gateways_[number];
  kills_.emplace_back(nameOf(number), unixSeconds());
  g.process->kill(SIGKILL);
  g.killed = true;
  g.ready = false;
  g.idle.clear();
  clock_.at(clock_.now() + noticed, [&g] {
    if (!g.ready) g.seenAlive = false;
  });
}

// A stopped process can't answer; what it held or was sent then is owed nothing, and is late in the figures.
bool LiveDay::wasPaused(const Try& t) const {
  const Gateway& g = gateways_[t.gateway];
  return g.pausedAt != kNever && (g.resumedAt < g.pausedAt || t.sentAt < g.resumedAt);
}

// Over the hosts that ran all through it: of the others less is expected.
std::vector<std::size_t> LiveDay::hostsRunning(double fromS, double toS) const {
  std::vector<std::size_t> out;
  for (std::size_t h = 0; h < tally_.load.size(); ++h) {
    bool up = true;
    for (auto s = static_cast<std::size_t>(fromS); s < tally_.load[h].size() && static_cast<double>(s) < toS;
         ++s)
      up &= tally_.load[h][s] >= 0;
    if (up && tally_.load[h].size() > static_cast<std::size_t>(fromS)) out.push_back(h);
  }
  return out;
}

void LiveDay::judgeSpread(LiveResult& result) {
  const auto over = [&](double from, double to) {
    return spreadOf(landed_, from, to, hostsRunning(from, to));
  };
  result.spread = over(rig().within.fromS, s_.lengthS);
  for (PhaseSpread& phase : back_) phase.spread = over(phase.fromS, phase.toS);
  double calm = s_.lengthS;
  for (const RigFault& f : rig().faults) calm = std::min(calm, f.fromS);
  for (const RigMove& m : rig().moves) calm = std::min(calm, m.atS);
  for (const TroubleTime& t : fleet_.plan().times) calm = std::min(calm, toSeconds(t.from));
  std::vector<double> peaks;
  for (double from = rig().within.fromS; from + kBackS <= calm; from += kBackS)
    peaks.push_back(over(from, from + kBackS).herdPeak);
  if (!peaks.empty()) {
    std::nth_element(peaks.begin(), peaks.begin() + static_cast<std::ptrdiff_t>(peaks.size() / 2),
                     peaks.end());
    result.herdInCalm = peaks[peaks.size() / 2];
  }
  result.back = std::move(back_);
  result.landed = std::move(landed_);
  result.events = std::move(events_);
  result.hostConnections = connectionsCount_ > 0 ? connectionsSum_ / connectionsCount_ : 0;
}

// --- Gateways ---------------------------------------------------------------------------------------------

void LiveDay::startGateway(std::uint32_t number) {
  Gateway& g = gateways_[number];
  const std::uint64_t start[2] = {number, g.starts++};
  const std::uint64_t seed = XXH3_64bits_withSeed(start, sizeof start, seed_);
  const ochrehill::Settings module = moduleSettings(s_, number, s_.zones[g.zone].name, seed);
  referee_.gatewayStarted(number);
  g.process->start(platformSettings(module, s_), fleet_.list(number), seed);
  askReady(number, clock_.now());
}

void LiveDay::askReady(std::uint32_t number, Time since) {
  Gateway& g = gateways_[number];
  if (!g.process->running() || clock_.now() - since > GatewayProcess::kReadyWithin) {
    failed_ = true;
    failure_ = g.process->notReady();
    return;
  }
  auto exchange = std::make_shared<Exchange>(
      std::make_unique<tcp::socket>(io_), GatewayProcess::kReadyAsk, nullptr,
      [this, number, since](const Exchange::Outcome& o, std::unique_ptr<tcp::socket>) {
        Gateway& gate = gateways_[number];
        if (o.status == 200) {
          gate.ready = gate.seenAlive = true;
          gate.killed = false;
        } else
          clock_.at(clock_.now() + GatewayProcess::kReadyPause,
                    [this, number, since] { askReady(number, since); });
      });
  exchange->begin(g.process->place().listen);
}

void LiveDay::nextFirstTry() {
  if (!traffic_->next(coming_)) {
    trafficOver_ = true;
    return;
  }
  clock_.at(coming_.at, [this] {
    const std::uint32_t wish = clients_->wish(coming_);
    nextFirstTry();
    startTry(wish);
  });
}

std::string LiveDay::textOf(const Try& t) const {
  const FirstTry& what = clients_->what(t.wish);
  const ClassSpec& c = s_.classes[what.cls];
  RequestLine line{
      c.name, what.work * 1e6,        what.key, t.id, (t.deadline - clock_.now()).count() / 1000000,
      "",     c.effect != "retryable"};
  if (c.effect == "dedup") {
    char key[40];
    std::snprintf(key, sizeof key, "%016llx%016llx", static_cast<unsigned long long>(what.at.count()),
                  static_cast<unsigned long long>(what.key));
    line.idempotencyKey = key;
  }
  return requestText(line);
}

void LiveDay::startTry(std::uint32_t wish) {
  const Clients::TryPlan plan = clients_->beginTry(clock_.now(), wish);
  auto t = std::make_shared<Try>();
  t->wish = wish;
  t->deadline = clock_.now() + plan.limit;
  std::vector<std::uint32_t> near, any;
  for (std::uint32_t g = 0; g < gateways_.size(); ++g) {
    if (!gateways_[g].seenAlive) continue;
    any.push_back(g);
    if (gateways_[g].zone == clients_->what(wish).zone) near.push_back(g);
  }
  const std::vector<std::uint32_t>& from = near.empty() ? any : near;
  t->gateway = from.empty() ? static_cast<std::uint32_t>(front_.below(gateways_.size()))
                            : chooseAtFront(s_.gateways, from, front_);
  t->sentAt = clock_.now();
  ++tries_;
  sendTry(t);
  clock_.at(t->deadline + fromMillis(rules_.answerSlackMs), [this, t] {
    if (t->over) return;
    if (wasPaused(*t)) referee_.excused(t->id);
    else referee_.clientGaveUp(clock_.now(), t->id);
    endTry(t, TryEnd::unanswered, {});
  });
  if (plan.leaves)
    clock_.at(clock_.now() + *plan.leaves, [this, t] {
      if (t->over) return;
      referee_.excused(t->id);
      endTry(t, TryEnd::unanswered, {});
    });
}

void LiveDay::sendTry(const std::shared_ptr<Try>& t) {
  Gateway& g = gateways_[t->gateway];
  t->id = ++lastId_;
  sentTo_[t->id] = t->gateway;
  std::unique_ptr<tcp::socket> socket;
  if (!g.idle.empty() && !t->again) {
    socket = std::move(g.idle.back());
    g.idle.pop_back();
  } else {
    socket = std::make_unique<tcp::socket>(io_);
  }
  const bool reused = socket->is_open();
  auto exchange = std::make_shared<Exchange>(
      std::move(socket), textOf(*t),
      [this, t] {
        if (t->over) return;
        t->wrote = true;
        referee_.taken(clock_.now(), t->id, clients_->what(t->wish).cls, t->gateway, t->deadline);
      },
      [this, t, reused](const Exchange::Outcome& o, std::unique_ptr<tcp::socket> kept) {
        if (kept) gateways_[t->gateway].idle.push_back(std::move(kept));
        if (t->over) return;
        if (o.answered) {
          const bool served = o.status == 200 && o.body.rfind("done ", 0) == 0;
          const bool refused = o.status == 429 || o.status == 503;
          referee_.answered(clock_.now(), t->id,
                            served    ? Answer::served
                            : refused ? Answer::refused
                                      : Answer::failed);
          Duration wait{};
          if (refused && !o.retryAfter.empty())
            wait = fromSeconds(std::strtod(o.retryAfter.c_str(), nullptr));
          return endTry(t, served ? TryEnd::served : refused ? TryEnd::refused : TryEnd::failed, wait);
        }
        // The gateway may close a connection between requests; if that crossed this one, it is sent once
        // more.
        if (reused && o.untouched && !t->again) {
          referee_.excused(t->id);
          referee_.forget(t->id);
          sentTo_.erase(t->id);
          t->again = true;
          return sendTry(t);
        }
        if (!t->wrote || !o.connected || gateways_[t->gateway].killed) referee_.excused(t->id);
        else referee_.clientGaveUp(clock_.now(), t->id);  // a living gateway broke it off: lost
        endTry(t, o.written ? TryEnd::failed : TryEnd::unreachable, {});
      });
  t->exchange = exchange;
  exchange->begin(g.process->place().listen);
}

void LiveDay::endTry(const std::shared_ptr<Try>& t, TryEnd end, Duration retryAfter) {
  t->over = true;
  if (end == TryEnd::unanswered)
    if (const auto exchange = t->exchange.lock()) exchange->abandon();
  const Time now = clock_.now();
  if (end == TryEnd::served && now > t->deadline) end = TryEnd::unanswered;
  if (const auto wait = clients_->endTry(now, t->wish, end, retryAfter))
    clock_.at(now + *wait, [this, wish = t->wish] { startTry(wish); });
  // Attempts may still be out at hosts; they are judged till then.
  clock_.at(now + std::chrono::seconds(5), [this, id = t->id] {
    referee_.forget(id);
    sentTo_.erase(id);
  });
}

void LiveDay::operatorCall(const std::string& target) {
  for (Gateway& g : gateways_) {
    auto exchange = std::make_shared<Exchange>(
        std::make_unique<tcp::socket>(io_),
        "POST " + target + " HTTP/1.1\r\nHost: lab\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
        nullptr, [this, target](const Exchange::Outcome& o, std::unique_ptr<tcp::socket>) {
          if (o.status < 200 || o.status > 299)
            note_ = "operator's call " + target + " got " + std::to_string(o.status);
        });
    exchange->begin(g.process->place().admin);
    clock_.at(clock_.now() + kOperator, [exchange] { exchange->abandon(); });
  }
}

void LiveDay::handMoves() {
  const auto share = [&](double part) { return begin_ + fromSeconds(s_.lengthS * part); };
  clock_.at(share(0.27), [this] {
    note_ = "operator takes host-1 out";
    operatorCall("/hosts/host-1/maint");
  });
  clock_.at(share(0.5), [this] {
    note_ = "host-2 is killed";
    fleet_.stopHost(2);
  });
  clock_.at(share(0.67), [this] {
    note_ = "host-2 starts again, cold";
    fleet_.startHost(2);
  });
  clock_.at(share(0.75), [this] {
    note_ = "operator calls host-1 back";
    operatorCall("/hosts/host-1/ready");
  });
}

void LiveDay::eachSecond() {
  clock_.at(clock_.now() + std::chrono::seconds(1), [this] { eachSecond(); });
  const double passed = toSeconds(clock_.now() - begin_);
  if (passed > s_.lengthS + 0.5) return;
  double asked = 0, earned = 0;
  std::uint64_t refused = 0;
  for (const ClassTally& c : tally_.classes) {
    asked += c.asked, earned += c.earned;
    for (std::uint32_t r : c.refusals) refused += r;
  }
  std::size_t up = 0, held = 0;
  tally_.load.resize(fleet_.hosts());
  for (std::uint32_t h = 0; h < fleet_.hosts(); ++h) {
    const auto cores =
        static_cast<float>(fleet_.layout().hosts[h % fleet_.layout().hosts.size()].traits.cores);
    const bool running = fleet_.running(h);
    tally_.load[h].push_back(running ? static_cast<float>(fleet_.holds(h)) / cores : -1.0f);
    up += running, held += fleet_.holds(h);
    connectionsSum_ += static_cast<double>(fleet_.connections(h));
    connectionsCount_ += 1;
  }
  tally_.cutoffs.push_back(0);
  if (options_.showEachSecond) {
    const double share = asked - lastAsked_ > 0 ? (earned - lastEarned_) / (asked - lastAsked_) : 1;
    std::printf("%6.0f %10llu %9.0f %% %9llu %9zu %7zu   %s\n", passed,
                static_cast<unsigned long long>(tries_ - lastTries_), 100 * std::min(share, 1.0),
                static_cast<unsigned long long>(refused), held, up, note_.c_str());
    std::fflush(stdout);
  }
  note_.clear();
  lastAsked_ = asked, lastEarned_ = earned, lastTries_ = tries_;
}

LiveResult LiveDay::play() {
  const double cpuBefore = childrenCpuSeconds();
  for (std::uint32_t g = 0; g < gateways_.size(); ++g) startGateway(g);
  const auto everybodyReady = [&] {
    for (const Gateway& g : gateways_)
      if (!g.ready) return false;
    return true;
  };
  const auto stopped = [&] { return options_.stopped && options_.stopped(); };
  while (!everybodyReady() && !failed_ && !stopped()) io_.run_for(std::chrono::milliseconds(20));
  if (failed_) throw std::runtime_error(failure_);

  begin_ = clock_.now() + kSettleIn;
  traffic_ = std::make_unique<Traffic>(s_, seed_, fleet_.layout().rate, begin_);
  clients_ = std::make_unique<Clients>(s_, seed_, begin_, tally_);
  if (options_.showEachSecond)
    std::printf("%6s %10s %11s %9s %9s %7s\n", "second", "tries", "in time", "refused", "held", "hosts up");
  clock_.at(begin_, [this] {
    fleet_.beginTroubles([this](const Step& step) {
      for (std::uint32_t g : step.who) {
        Gateway& gate = gateways_[g];
        if (step.kind == StepKind::gatewayStart) {
          gate.process->running();
          startGateway(g);
          continue;
        }
        killGateway(g, fromSeconds(s_.gateways.noticeS.draw(front_)));
      }
    });
    eachSecond();
  });
  if (options_.demo) handMoves();
  beginRig();
  nextFirstTry();
  const Time end = begin_ + fromSeconds(s_.lengthS);
  LiveResult result(DayResult{s_.name, seed_, Tally(s_), {}, {}, 0, 0});
  while (!stopped() && !failed_ && clock_.now() < end + kAfterwards &&
         !(trafficOver_ && clients_->open() == 0 && clock_.now() >= end))
    io_.run_for(std::chrono::milliseconds(20));
  result.stopped = stopped();
  talkEnds_ = unixSeconds();
  for (Gateway& g : gateways_) {
    const GatewayProcess::Usage usage = g.process->usage();
    result.gatewayMemoryMb = std::max(result.gatewayMemoryMb, usage.residentMb);
    result.gatewayDescriptors = std::max(result.gatewayDescriptors, static_cast<double>(usage.descriptors));
    g.process->running();
    result.gatewaysDied += g.process->died() ? 1 : 0;
    g.process->kill(SIGCONT);  // a stopped process would not heed SIGTERM
    g.process->kill(SIGTERM);
  }
  const Time patience = clock_.now() + std::chrono::seconds(5);
  for (Gateway& g : gateways_)
    while (g.process->running() && clock_.now() < patience) io_.run_for(std::chrono::milliseconds(20));
  if (failed_) throw std::runtime_error(failure_);
  const double cpu = childrenCpuSeconds() - cpuBefore;
  tally_.workDone = tally_.workUseful = fleet_.workDone();  // what was useful is not seen from here
  tally_.troubles = fleet_.plan().times;
  result.day = DayResult{
      s_.name, seed_, tally_, referee_.counts(), referee_.first(), toSeconds(clock_.now() - begin_), tries_};
  for (Breach& b : result.day.firstBreaches) b.at -= begin_;
  judgeSpread(result);
  checkFleet(result);
  result.gatewayCpuUs = tries_ > 0 ? 1e6 * cpu / static_cast<double>(tries_) : 0;
  result.latestMs = toSeconds(clock_.latest()) * 1e3;
  const double late = static_cast<double>(clock_.late());
  if (clock_.latest() > kVoid ||
      late > kVoidShare * static_cast<double>(std::max<std::uint64_t>(tries_, 100))) {
    result.isVoid = true;
    char text[160];
    std::snprintf(text, sizeof text, "the laboratory ran up to %.0f ms late, %.0f times over %.0f ms",
                  result.latestMs, late, toSeconds(LiveClock::kTolerance) * 1e3);
    result.voidReason = text;
  }
  return result;
}

}  // namespace

LiveResult playLive(const Scenario& scenario, std::uint64_t seed, const LiveOptions& options) {
  return LiveDay(scenario, seed, options).play();
}

}  // namespace fennelridge::lab
