#include "lab/virtual_fleet.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

#include "lab/clients.hpp"
#include "lab/discovery_model.hpp"
#include "lab/front.hpp"
#include "lab/layout.hpp"
#include "lab/lines.hpp"
#include "lab/referee.hpp"
#include "lab/traffic.hpp"

namespace fennelridge::lab {
namespace {

using ochrehill::ActionKind;
using ochrehill::ListKind;
using ochrehill::Outcome;
using ochrehill::Phase;

constexpr Time kMorning = std::chrono::seconds(100);        // zero means "long ago" to the module
constexpr Duration kSettleIn = std::chrono::seconds(1);     // gateways run before the clients come
constexpr Duration kAfterwards = std::chrono::seconds(60);  // at most, after the last try
constexpr Duration kTidy = std::chrono::seconds(1);
constexpr double kFastErrorS = 0.002;

enum class What : std::uint8_t {
  firstTry,
  atGateway,
  unreachable,
  atHost,
  attemptEnds,
  attemptTimesOut,
  hostCancels,
  hostSteps,
  clientHears,
  clientGivesUp,
  clientLeaves,
  comesAgain,
  gatewayWakes,
  listMoves,
  listAnswers,
  listPushed,
  troubleSteps,
  frontNotices,
  tidy
};

struct Event {
  What what;
  std::uint8_t detail = 0;  // Outcome of attemptEnds; of listAnswers: whether it came
  std::uint32_t a = 0;      // slot of a request or attempt; host, gateway or wish
  std::uint32_t b = 0;      // its generation or epoch
  std::uint64_t c = 0;
};

// Things kept in numbered places that are used again; what named an earlier one is told by its generation.
template <class T>
class Slab {
 public:
  std::uint32_t take() {
    if (free_.empty()) {
      free_.push_back(static_cast<std::uint32_t>(items_.size()));
      items_.emplace_back();
    }
    const std::uint32_t slot = free_.back();
    free_.pop_back();
    const std::uint32_t generation = items_[slot].generation + 1;
    items_[slot] = T{};
    items_[slot].generation = generation;
    items_[slot].live = true;
    return slot;
  }
  void give(std::uint32_t slot) {
    items_[slot].live = false;
    free_.push_back(slot);
  }
  T& operator[](std::uint32_t slot) { return items_[slot]; }
  T* find(std::uint32_t slot, std::uint32_t generation) {
    T& item = items_[slot];
    return item.live && item.generation == generation ? &item : nullptr;
  }
  std::uint32_t size() const { return static_cast<std::uint32_t>(items_.size()); }

 private:
  std::vector<T> items_;
  std::vector<std::uint32_t> free_;
};

constexpr std::size_t kMostAttempts = 8;

struct Request {  // one try of a client
  std::uint32_t generation = 0, wish = 0, gateway = 0, epoch = 0;
  bool live = false, atGateway = false, ended = false, clientDone = false;
  TryEnd end = TryEnd::unanswered;
  FirstTry what;  // kept here too: attempts may be out when the client's wish is long over
  Duration retryAfter{};
  Time deadline{};
  std::uint32_t count = 0, out = 0;
  std::array<std::uint32_t, kMostAttempts> attempts{}, generations{};
};

struct Attempt {
  std::uint32_t generation = 0, request = 0, number = 0, host = 0, gateway = 0;
  std::uint32_t boot = 0;  // of the host
  bool live = false, settled = false, fresh = false, counted = false, arrived = false;
  Time sentAt{};
  double work = 0;                               // that it cost the host, once done
  ochrehill::HostId knownAs = ochrehill::kNone;  // by the policy
  std::optional<LoadReport> load;                // that came with its answer
};

struct Gateway {
  std::unique_ptr<Policy> policy;
  std::unique_ptr<Lines> lines;
  std::uint32_t zone = 0, epoch = 0, starts = 0;
  bool alive = false, watching = false;
  bool seenAlive = true;  // by the front
  std::uint64_t revision = 0;
  std::map<std::uint32_t, Listed> known;
  Time wakeAt = kNever;
};

struct Host {
  Host(const HostPlace& place, std::uint32_t number, std::uint64_t seed, Time now, bool cold)
      : model(place.traits, now, cold),
        address(1, 'h'),
        zone(place.zone),
        kind(place.kind),
        cell(place.cell),
        startedAt(cold ? now : Time{}),
        luck(seed, "luck", number) {
    address += std::to_string(number);
  }

  HostModel model;
  std::string address;
  std::uint32_t zone, kind, cell, boot = 1;
  bool cut = false;
  Time startedAt;  // zero: long ago
  std::vector<std::uint32_t> troubles;
  Time stepAt = kNever;
  Random luck;
};

std::uint32_t numberOf(const std::string& address) {  // UINT32_MAX: none
  std::uint32_t number = 0;
  const char* last = address.data() + address.size();
  if (address.size() < 2 || std::from_chars(address.data() + 1, last, number).ptr != last) return UINT32_MAX;
  return number;
}

class Fleet {
 public:
  Fleet(const Scenario& scenario, std::uint64_t seed, const PolicyMaker& policy)
      : s_(scenario),
        seed_(seed),
        makePolicy_(policy),
        layout_(drawLayout(scenario, seed)),
        plan_(planTroubles(scenario, layout_, seed)),
        tally_(scenario),
        referee_(scenario.rules, scenario.classes),
        discovery_(scenario.discovery, seed),
        begin_(kMorning + kSettleIn),
        traffic_(scenario, seed, layout_.rate, begin_),
        clients_(scenario, seed, begin_, tally_),
        network_(seed, "packets"),
        front_(seed, "front") {}

  DayResult play(std::atomic<unsigned>* progress);

 private:
  void setUp();
  void handle(const Event& e);

  // The network.
  Duration hop(double mean) {
    return fromSeconds(mean * std::max(1 + s_.network.jitter * network_.normal(), 0.2));
  }
  Duration toHost(std::uint32_t gateway, std::uint32_t host) {
    return hop(layout_.delay[gateways_[gateway].zone][hosts_[host].zone]);
  }
  Duration toClient() { return hop(layout_.clientDelay); }

  // Clients.
  void nextFirstTry();
  void startTry(std::uint32_t wish);
  std::uint32_t chooseGateway(std::uint32_t zone);
  void renewFront();
  void arriveAtGateway(std::uint32_t slot);
  void tellClient(std::uint32_t slot, TryEnd end, Duration retryAfter);
  void clientEnds(std::uint32_t slot, TryEnd end);
  void dropIfOver(std::uint32_t slot);

  // Gateways.
  void carryOut(std::uint32_t gateway);
  void send(std::uint32_t gateway, const ochrehill::Action& action);
  void cancel(const ochrehill::Action& action);
  void settle(std::uint32_t slot, Outcome outcome);
  void startGateway(std::uint32_t gateway);
  void stopGateway(std::uint32_t gateway);
  void deliverList(std::uint32_t gateway, bool answer);
  ochrehill::HostEntry entryOf(const Listed& listed) const;

  // Hosts.
  void arriveAtHost(std::uint32_t slot);
  void afterHost(std::uint32_t host);
  void addHost(const HostPlace& place, bool cold);
  void stopHost(std::uint32_t host);
  void startHost(std::uint32_t host);
  void closeLines(std::uint32_t host);
  void renewCondition(std::uint32_t host);
  void carryOut(const Step& step);
  void moveList();

  void tidy();
  std::uint64_t keyOf(std::uint32_t slot) {
    return (static_cast<std::uint64_t>(requests_[slot].generation) << 32) | slot;
  }
  void add(Time at, Event event) { agenda_.add(std::max(at, now_), event); }

  const Scenario& s_;
  std::uint64_t seed_;
  const PolicyMaker& makePolicy_;
  Layout layout_;
  Plan plan_;
  Tally tally_;
  Referee referee_;
  DiscoveryModel discovery_;
  Time begin_, now_ = kMorning;
  Traffic traffic_;
  Clients clients_;
  Random network_, front_;
  Agenda<Event> agenda_;
  std::vector<Gateway> gateways_;
  std::vector<std::vector<std::uint32_t>> seen_;  // by the front: gateways by zone; last: all of them
  std::deque<Host> hosts_;
  Slab<Request> requests_;
  Slab<Attempt> attempts_;
  std::vector<Ended> ended_;
  std::vector<ochrehill::Action> batch_;
  FirstTry coming_;
  bool trafficOver_ = false;
  std::uint64_t events_ = 0;
  std::size_t attemptsOut_ = 0;
  Time listMovesAt_{};
  double stale_ = 0;  // seconds by which the list is further behind
};

// --- The day ----------------------------------------------------------------------------------------------

void Fleet::setUp() {
  const bool cold = s_.hosts.start == "cold";
  for (const HostPlace& place : layout_.hosts) addHost(place, cold);
  for (std::uint32_t g = 0; g < layout_.gatewayZones.size(); ++g) {
    gateways_.emplace_back();
    gateways_[g].zone = layout_.gatewayZones[g];
    for (std::uint32_t h = 0; h < hosts_.size(); ++h)
      gateways_[g].known[h] = {h, Phase::in, hosts_[h].startedAt};
    gateways_[g].revision = discovery_.revision();
  }
  for (std::uint32_t g = 0; g < gateways_.size(); ++g) startGateway(g);
  for (std::uint32_t i = 0; i < plan_.steps.size(); ++i)
    add(begin_ + plan_.steps[i].at, {What::troubleSteps, 0, i});
  add(now_ + kTidy, {What::tidy});
  nextFirstTry();
}

DayResult Fleet::play(std::atomic<unsigned>* progress) {
  setUp();
  const Time end = begin_ + fromSeconds(s_.lengthS);
  while (agenda_.nextAt() < end + kAfterwards) {
    if (trafficOver_ && clients_.open() == 0 && attemptsOut_ == 0 && now_ >= end) break;
    now_ = agenda_.nextAt();
    handle(agenda_.take());
    if (++events_ % 4096 == 0 && progress)
      *progress =
          static_cast<unsigned>(std::clamp(1000 * toSeconds(now_ - begin_) / s_.lengthS, 0.0, 1000.0));
  }
  for (Host& h : hosts_) tally_.workDone += h.model.workDone();
  tally_.listLines = discovery_.lines();
  tally_.troubles = plan_.times;
  DayResult result{s_.name, seed_, tally_, referee_.counts(), referee_.first(), toSeconds(now_ - kMorning),
                   events_};
  for (Breach& b : result.firstBreaches) b.at -= begin_;
  return result;
}

void Fleet::handle(const Event& e) {
  switch (e.what) {
    case What::firstTry: {
      const std::uint32_t wish = clients_.wish(coming_);
      nextFirstTry();
      return startTry(wish);
    }
    case What::comesAgain: return startTry(e.a);
    case What::atGateway:
      if (requests_.find(e.a, e.b)) arriveAtGateway(e.a);
      return;
    case What::unreachable:
      if (requests_.find(e.a, e.b)) clientEnds(e.a, TryEnd::unreachable);
      return;
    case What::atHost:
      if (attempts_.find(e.a, e.b)) arriveAtHost(e.a);
      return;
    case What::attemptEnds:
      if (attempts_.find(e.a, e.b)) settle(e.a, static_cast<Outcome>(e.detail));
      return;
    case What::attemptTimesOut:
      if (attempts_.find(e.a, e.b)) settle(e.a, Outcome::timeout);
      return;
    case What::hostCancels:
      if (hosts_[e.a].boot != e.b || hosts_[e.a].cut) return;
      hosts_[e.a].model.cancel(now_, e.c, ended_);
      return afterHost(e.a);
    case What::hostSteps:
      if (hosts_[e.a].stepAt != now_) return;  // an earlier step was asked for meanwhile
      hosts_[e.a].stepAt = kNever;
      hosts_[e.a].model.advance(now_, ended_);
      return afterHost(e.a);
    case What::clientHears:
      if (requests_.find(e.a, e.b)) clientEnds(e.a, requests_[e.a].end);
      return;
    case What::clientGivesUp: {
      Request* r = requests_.find(e.a, e.b);
      if (!r || r->clientDone) return;
      if (r->atGateway && !r->ended) {
        referee_.clientGaveUp(now_, keyOf(e.a));
        r->ended = true;
        const std::uint32_t g = r->gateway;
        clientEnds(e.a, TryEnd::unanswered);
        gateways_[g].policy->onClientGone(now_, (static_cast<std::uint64_t>(e.b) << 32) | e.a);
        return carryOut(g);
      }
      return clientEnds(e.a, TryEnd::unanswered);
    }
    case What::clientLeaves: {
      Request* r = requests_.find(e.a, e.b);
      if (!r || r->clientDone || r->ended) return;
      const std::uint32_t g = r->gateway;
      const bool there = r->atGateway;
      referee_.excused(keyOf(e.a));
      r->ended = true;
      clientEnds(e.a, TryEnd::unanswered);
      if (!there) return;
      gateways_[g].policy->onClientGone(now_, (static_cast<std::uint64_t>(e.b) << 32) | e.a);
      return carryOut(g);
    }
    case What::gatewayWakes: {
      Gateway& g = gateways_[e.a];
      if (!g.alive || g.epoch != e.b || g.wakeAt != now_) return;
      g.wakeAt = kNever;
      g.policy->onWake(now_);
      return carryOut(e.a);
    }
    case What::listMoves: return moveList();
    case What::listAnswers:
    case What::listPushed: {
      Gateway& g = gateways_[e.a];
      if (!g.alive || g.epoch != e.b) return;
      if (e.what == What::listAnswers && e.detail == 0) {
        g.watching = false;
        g.policy->onHosts(now_, ListKind::unavailable, {});
        return carryOut(e.a);
      }
      if (e.what == What::listAnswers) g.watching = true;
      return deliverList(e.a, e.what == What::listAnswers);
    }
    case What::troubleSteps: return carryOut(plan_.steps[e.a]);
    case What::frontNotices:
      if (gateways_[e.a].epoch == e.b) gateways_[e.a].seenAlive = false;
      return renewFront();
    case What::tidy: return tidy();
  }
}

// --- Clients ----------------------------------------------------------------------------------------------

void Fleet::nextFirstTry() {
  if (traffic_.next(coming_)) add(coming_.at, {What::firstTry});
  else trafficOver_ = true;
}

// A plain front spreads clients over the gateways of their zone that it takes for alive; with none, over all.
std::uint32_t Fleet::chooseGateway(std::uint32_t zone) {
  const std::vector<std::uint32_t>& near = seen_[zone];
  if (!near.empty()) return chooseAtFront(s_.gateways, near, front_);
  const std::vector<std::uint32_t>& any = seen_.back();
  if (!any.empty()) return chooseAtFront(s_.gateways, any, front_);
  return static_cast<std::uint32_t>(front_.below(gateways_.size()));
}

void Fleet::renewFront() {
  seen_.assign(s_.zones.size() + 1, {});
  for (std::uint32_t g = 0; g < gateways_.size(); ++g) {
    if (!gateways_[g].seenAlive) continue;
    seen_[gateways_[g].zone].push_back(g);
    seen_.back().push_back(g);
  }
}

void Fleet::startTry(std::uint32_t wish) {
  const Clients::TryPlan plan = clients_.beginTry(now_, wish);
  const std::uint32_t slot = requests_.take();
  Request& r = requests_[slot];
  r.wish = wish;
  r.what = clients_.what(wish);
  r.gateway = chooseGateway(r.what.zone);
  r.deadline = now_ + plan.limit;
  add(now_ + toClient(), {What::atGateway, 0, slot, r.generation});
  add(r.deadline + fromMillis(s_.rules.answerSlackMs), {What::clientGivesUp, 0, slot, r.generation});
  if (plan.leaves) add(now_ + *plan.leaves, {What::clientLeaves, 0, slot, r.generation});
}

void Fleet::arriveAtGateway(std::uint32_t slot) {
  Request& r = requests_[slot];
  if (r.clientDone) return dropIfOver(slot);
  Gateway& g = gateways_[r.gateway];
  if (!g.alive) return add(now_ + toClient(), {What::unreachable, 0, slot, r.generation});
  r.atGateway = true;
  r.epoch = g.epoch;
  const FirstTry& what = r.what;
  referee_.taken(now_, keyOf(slot), what.cls, r.gateway, r.deadline);
  ochrehill::Request q;
  q.id = keyOf(slot);
  q.classIndex = what.cls;
  q.left = r.deadline - now_;
  q.key = what.key;
  q.hasKey = true;
  const std::uint32_t gateway = r.gateway;
  g.policy->onRequest(now_, q);
  carryOut(gateway);
}

void Fleet::tellClient(std::uint32_t slot, TryEnd end, Duration retryAfter) {
  Request& r = requests_[slot];
  r.ended = true;
  r.end = end;
  r.retryAfter = retryAfter;
  if (!r.clientDone) add(now_ + toClient(), {What::clientHears, 0, slot, r.generation});
}

void Fleet::clientEnds(std::uint32_t slot, TryEnd end) {
  Request& r = requests_[slot];
  if (r.clientDone) return;
  r.clientDone = true;
  if (end == TryEnd::served && now_ > r.deadline) end = TryEnd::unanswered;  // nobody waits any more
  if (const auto wait = clients_.endTry(now_, r.wish, end, r.retryAfter))
    add(now_ + *wait, {What::comesAgain, 0, r.wish});
  dropIfOver(slot);
}

void Fleet::dropIfOver(std::uint32_t slot) {
  Request& r = requests_[slot];
  if (!r.live || !r.clientDone || r.out > 0 || (r.atGateway && !r.ended)) return;
  referee_.forget(keyOf(slot));
  requests_.give(slot);
}

// --- Gateways ---------------------------------------------------------------------------------------------

void Fleet::startGateway(std::uint32_t number) {
  Gateway& g = gateways_[number];
  g.alive = g.seenAlive = true;
  renewFront();
  ++g.epoch;
  g.wakeAt = kNever;
  g.watching = false;
  g.lines = std::make_unique<Lines>(fromSeconds(s_.hosts.connections.idleCloseS));
  const std::uint64_t start[2] = {number, g.starts++};
  const ochrehill::Settings settings =
      moduleSettings(s_, number, s_.zones[g.zone].name, XXH3_64bits_withSeed(start, sizeof start, seed_));
  g.policy = makePolicy_(settings, now_);
  referee_.gatewayStarted(number);
  std::vector<ochrehill::HostEntry> list;
  for (const auto& [host, listed] : g.known) {
    list.push_back(entryOf(listed));
    referee_.told(now_, number, host, listed.phase);
  }
  g.policy->onHosts(now_, ListKind::restored, list);
  carryOut(number);
}

void Fleet::stopGateway(std::uint32_t number) {
  Gateway& g = gateways_[number];
  if (!g.alive) return;
  g.alive = g.watching = false;
  ++g.epoch;
  for (std::uint32_t slot = 0; slot < attempts_.size(); ++slot) {
    Attempt& a = attempts_[slot];
    if (!a.live || a.settled || a.gateway != number) continue;
    a.settled = true;
    --attemptsOut_;
    Request& r = requests_[a.request];
    --r.out;
    if (a.counted) hosts_[a.host].model.closeConnection();
    if (a.arrived && !hosts_[a.host].cut)
      add(now_ + toHost(number, a.host),
          {What::hostCancels, 0, a.host, a.boot, (static_cast<std::uint64_t>(a.generation) << 32) | slot});
    attempts_.give(slot);
  }
  for (std::uint32_t slot = 0; slot < requests_.size(); ++slot) {
    Request& r = requests_[slot];
    if (!r.live || !r.atGateway || r.gateway != number || r.epoch + 1 != g.epoch) continue;
    referee_.excused(keyOf(slot));
    if (!r.ended) tellClient(slot, TryEnd::failed, {});  // a reset
    dropIfOver(slot);
  }
  g.lines->dropAll([&](std::uint32_t host, std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) hosts_[host].model.closeConnection();
  });
  g.policy.reset();
}

ochrehill::HostEntry Fleet::entryOf(const Listed& listed) const {
  const Host& h = hosts_[listed.host];
  ochrehill::HostEntry e;
  e.address = h.address;
  e.zone = s_.zones[h.zone].name;
  e.kind = s_.hosts.kinds[h.kind].name;
  e.cell = h.cell;
  e.phase = listed.phase;
  e.upSince = listed.started;
  return e;
}

void Fleet::deliverList(std::uint32_t number, bool answer) {
  Gateway& g = gateways_[number];
  bool whole = false;
  const std::vector<Listed> entries = discovery_.since(g.revision, whole);
  g.revision = discovery_.revision();
  if (entries.empty() && !whole && !answer) return;
  if (whole) {
    for (const auto& [host, listed] : g.known) referee_.told(now_, number, host, Phase::out);
    g.known.clear();
  }
  std::vector<ochrehill::HostEntry> list;
  for (const Listed& listed : entries) {
    list.push_back(entryOf(listed));
    referee_.told(now_, number, listed.host, listed.phase);
    if (listed.phase == Phase::out) g.known.erase(listed.host);
    else g.known[listed.host] = listed;
  }
  g.policy->onHosts(now_, whole ? ListKind::replace : ListKind::update, list);
  carryOut(number);
}

void Fleet::carryOut(std::uint32_t number) {
  Gateway& g = gateways_[number];
  batch_.clear();
  std::swap(batch_, g.policy->actions());
  for (const ochrehill::Action& a : batch_) {
    const auto slot = static_cast<std::uint32_t>(a.request);
    const auto generation = static_cast<std::uint32_t>(a.request >> 32);
    switch (a.kind) {
      case ActionKind::send:
        if (requests_.find(slot, generation)) send(number, a);
        break;
      case ActionKind::refuse:
      case ActionKind::fail: {
        Request* r = requests_.find(slot, generation);
        if (!r || r->gateway != number) break;
        const bool refused = a.kind == ActionKind::refuse;
        referee_.answered(now_, a.request, refused ? Answer::refused : Answer::failed);
        if (!r->ended) tellClient(slot, refused ? TryEnd::refused : TryEnd::failed, a.span);
        dropIfOver(slot);
        break;
      }
      case ActionKind::cancel:
        if (requests_.find(slot, generation)) cancel(a);
        break;
      case ActionKind::close: {
        const std::uint32_t host = numberOf(g.policy->address(a.host));
        if (host >= hosts_.size()) break;  // forgotten since
        for (std::size_t n = g.lines->dropIdle(host); n > 0; --n) hosts_[host].model.closeConnection();
        break;
      }
      case ActionKind::wake:
        if (g.wakeAt != kNever && g.wakeAt > now_ && g.wakeAt <= a.span) break;
        g.wakeAt = std::max(a.span, now_ + Duration(1));
        add(g.wakeAt, {What::gatewayWakes, 0, number, g.epoch});
        break;
      case ActionKind::subscribe: {
        bool whole = false;
        const std::size_t lines = discovery_.since(g.revision, whole).size();
        const DiscoveryModel::Call call = discovery_.call(now_, lines);
        add(call.at + fromMillis(s_.discovery.spreadMs.draw(network_)),
            {What::listAnswers, static_cast<std::uint8_t>(call.ok), number, g.epoch});
        break;
      }
      case ActionKind::forget:
      case ActionKind::log: break;
    }
  }
}

void Fleet::send(std::uint32_t number, const ochrehill::Action& action) {
  Gateway& g = gateways_[number];
  const auto requestSlot = static_cast<std::uint32_t>(action.request);
  const std::uint32_t host = numberOf(g.policy->address(action.host));
  if (host >= hosts_.size()) throw std::logic_error("the policy sends to a host that no list named");

  const std::uint32_t slot = attempts_.take();
  Attempt& a = attempts_[slot];
  Request& r = requests_[requestSlot];
  a.request = requestSlot;
  a.number = action.attempt;
  a.host = host;
  a.gateway = number;
  a.boot = hosts_[host].boot;
  a.sentAt = now_;
  a.knownAs = action.host;
  if (r.out > 0) ++tally_.secondCopies;
  if (r.count < kMostAttempts) {
    r.attempts[r.count] = slot;
    r.generations[r.count++] = a.generation;
  }
  ++r.out;
  ++attemptsOut_;
  ++tally_.attempts;
  if (hosts_[host].zone != g.zone) ++tally_.crossings;
  referee_.sent(now_, action.request, number, host);

  const Duration one = toHost(number, host);
  const Time limit = action.span > Duration{} ? std::min(now_ + action.span, r.deadline) : r.deadline;
  add(limit, {What::attemptTimesOut, 0, slot, a.generation});
  Host& h = hosts_[host];
  std::size_t closed = 0;
  const bool reused = g.lines->reuse(now_, host, closed);
  for (; closed > 0; --closed) h.model.closeConnection();
  if (reused) {
    a.counted = true;
    return add(now_ + one, {What::atHost, 0, slot, a.generation});
  }
  a.fresh = true;
  ++tally_.handshakes;
  const auto failed = static_cast<std::uint8_t>(Outcome::connectFailed);
  if (!h.cut && !(h.model.running() && !h.model.fallen()))
    return add(now_ + 2 * one, {What::attemptEnds, failed, slot, a.generation});
  if (h.cut || !h.model.openConnection())
    return add(now_ + fromMillis(s_.hosts.connections.timeoutMs),
               {What::attemptEnds, failed, slot, a.generation});
  a.counted = true;
  add(now_ + one * (1 + 2 * static_cast<int>(s_.hosts.connections.handshakeTrips)),
      {What::atHost, 0, slot, a.generation});
}

void Fleet::cancel(const ochrehill::Action& action) {
  Request& r = requests_[static_cast<std::uint32_t>(action.request)];
  for (std::uint32_t i = 0; i < r.count; ++i) {
    Attempt* a = attempts_.find(r.attempts[i], r.generations[i]);
    if (a && !a->settled && a->number == action.attempt)
      add(now_,
          {What::attemptEnds, static_cast<std::uint8_t>(Outcome::cancelled), r.attempts[i], a->generation});
  }
}

void Fleet::settle(std::uint32_t slot, Outcome outcome) {
  Attempt& a = attempts_[slot];
  if (a.settled) return;
  a.settled = true;
  --attemptsOut_;
  Host& h = hosts_[a.host];
  Gateway& g = gateways_[a.gateway];
  const bool givenUp = outcome == Outcome::timeout || outcome == Outcome::cancelled;
  if (a.counted && a.boot == h.boot) {
    if (givenUp || outcome == Outcome::reset || outcome == Outcome::connectFailed) h.model.closeConnection();
    else g.lines->release(now_, a.host);
  }
  if (givenUp && a.arrived && !h.cut)
    add(now_ + toHost(a.gateway, a.host),
        {What::hostCancels, 0, a.host, a.boot, (static_cast<std::uint64_t>(a.generation) << 32) | slot});
  ++tally_.outcomes[static_cast<std::size_t>(outcome)];

  Request& r = requests_[a.request];
  --r.out;
  const std::uint64_t key = keyOf(a.request);
  if (outcome == Outcome::full || outcome == Outcome::connectFailed) referee_.disproved(key, a.number);
  referee_.settled(now_, key);
  ochrehill::AttemptResult result;
  result.request = key;
  result.attempt = a.number;
  result.outcome = outcome;
  result.taken = now_ - a.sentAt;
  if (outcome == Outcome::served && !r.ended) {
    referee_.answered(now_, key, Answer::served);
    tally_.workUseful += a.work;
    tellClient(a.request, TryEnd::served, {});
  }
  result.terminal = r.ended;
  const std::uint32_t gateway = a.gateway, request = a.request;
  if (a.load && !givenUp) g.policy->onReport(now_, a.knownAs, {a.load->util, fromMillis(a.load->latencyMs)});
  attempts_.give(slot);
  g.policy->onResult(now_, result);
  carryOut(gateway);
  dropIfOver(request);
}

// --- Hosts ------------------------------------------------------------------------------------------------

void Fleet::addHost(const HostPlace& place, bool cold) {
  const auto number = static_cast<std::uint32_t>(hosts_.size());
  hosts_.emplace_back(place, number, seed_, now_, cold);
  tally_.load.emplace_back(static_cast<std::size_t>(std::max(toSeconds(now_ - begin_), 0.0)), -1.0f);
  if (now_ < begin_) discovery_.tellAtOnce(now_, {number, Phase::in, hosts_[number].startedAt});
}

void Fleet::arriveAtHost(std::uint32_t slot) {
  Attempt& a = attempts_[slot];
  if (a.settled) return;
  Host& h = hosts_[a.host];
  if (h.cut) return;  // nothing comes back
  const Duration back = toHost(a.gateway, a.host);
  const auto ends = [&](Outcome o, Duration after) {
    add(now_ + after, {What::attemptEnds, static_cast<std::uint8_t>(o), slot, a.generation});
  };
  if (a.boot != h.boot || !h.model.running() || h.model.fallen())
    return ends(a.fresh ? Outcome::connectFailed : Outcome::reset, back);
  Request& r = requests_[a.request];
  const std::uint64_t key = keyOf(a.request);
  const auto taken = [&] {
    a.arrived = true;
    referee_.reached(now_, key, a.number, a.host, h.zone, h.cell, a.sentAt);
  };
  const Condition& c = h.model.condition();
  if (h.luck.chance(c.resetShare)) {
    taken();
    return ends(Outcome::reset, back);
  }
  if (h.luck.chance(c.errorShare)) {
    taken();
    return ends(Outcome::error, back + fromSeconds(kFastErrorS));
  }
  Job job;
  job.id = (static_cast<std::uint64_t>(a.generation) << 32) | slot;
  job.work = r.what.work;
  job.key = r.what.key;
  job.hasKey = true;
  job.handshake = a.fresh;
  job.deadline = r.deadline;
  const auto known = gateways_[a.gateway].known.find(a.host);
  job.senderKnowsStart = known != gateways_[a.gateway].known.end() && known->second.started == h.startedAt;
  const bool stood = !h.model.fallen();
  const Admission admission = h.model.arrive(now_, job, ended_);
  if (stood && h.model.fallen()) {
    const Fall& f = *h.model.fallen();
    referee_.fell(now_, a.host, f.knownShare, f.pushed, f.borne);
    return stopHost(a.host);
  }
  if (admission == Admission::full) {
    a.load = h.model.report(now_);
    ends(Outcome::full, back);
  } else taken();
  afterHost(a.host);
}

// What the host has finished goes out, and its next step is entered.
void Fleet::afterHost(std::uint32_t number) {
  Host& h = hosts_[number];
  for (const Ended& e : ended_) {
    const auto slot = static_cast<std::uint32_t>(e.id);
    Attempt* a = attempts_.find(slot, static_cast<std::uint32_t>(e.id >> 32));
    if (!a || a->settled) continue;
    a->work = e.work;
    Outcome outcome = e.how == Ended::How::expired ? Outcome::full : Outcome::served;
    if (outcome == Outcome::served && h.luck.chance(h.model.traits().errorRate)) outcome = Outcome::error;
    if (outcome == Outcome::served && h.luck.chance(h.model.condition().spoiltShare))
      outcome = Outcome::reset;
    if (h.cut) continue;  // the answer is lost on the way
    if (outcome != Outcome::reset) a->load = h.model.report(now_);
    add(now_ + toHost(a->gateway, number) + h.model.condition().trickle,
        {What::attemptEnds, static_cast<std::uint8_t>(outcome), slot, a->generation});
  }
  ended_.clear();
  const Time next = h.model.nextEvent();
  if (next == kNever || (h.stepAt != kNever && h.stepAt <= next && h.stepAt > now_)) return;
  h.stepAt = next;
  add(next, {What::hostSteps, 0, number});
}

void Fleet::closeLines(std::uint32_t number) {
  for (Gateway& g : gateways_)
    if (g.lines) g.lines->dropIdle(number);
  hosts_[number].model.closeAllConnections();
  for (std::uint32_t slot = 0; slot < attempts_.size(); ++slot) {
    Attempt& a = attempts_[slot];
    if (!a.live || a.settled || a.host != number || !a.counted) continue;
    a.counted = false;
    add(now_ + toHost(a.gateway, number),
        {What::attemptEnds, static_cast<std::uint8_t>(a.arrived ? Outcome::reset : Outcome::connectFailed),
         slot, a.generation});
  }
}

void Fleet::stopHost(std::uint32_t number) {
  Host& h = hosts_[number];
  h.model.advance(now_, ended_);
  afterHost(number);
  ++h.boot;
  if (!h.cut) closeLines(number);
  h.model.stop(now_);
  h.stepAt = kNever;
  discovery_.tell(now_, {number, Phase::out, h.startedAt});
  moveList();
}

void Fleet::startHost(std::uint32_t number) {
  Host& h = hosts_[number];
  ++h.boot;
  h.model.restart(now_);
  h.startedAt = now_;
  discovery_.tell(now_, {number, Phase::in, now_});
  moveList();
}

void Fleet::renewCondition(std::uint32_t number) {
  Condition c;
  for (std::uint32_t t : hosts_[number].troubles) c = together(c, plan_.conditions[t]);
  hosts_[number].model.setCondition(now_, c, ended_);
  afterHost(number);
}

void Fleet::carryOut(const Step& step) {
  switch (step.kind) {
    case StepKind::conditionOn:
    case StepKind::conditionOff:
      for (std::uint32_t h : step.who) {
        std::erase(hosts_[h].troubles, step.trouble);
        if (step.kind == StepKind::conditionOn) hosts_[h].troubles.push_back(step.trouble);
        renewCondition(h);
      }
      break;
    case StepKind::hostStop:
      for (std::uint32_t h : step.who) stopHost(h);
      break;
    case StepKind::hostStart:
      for (std::uint32_t h : step.who) startHost(h);
      break;
    case StepKind::hostNew: {
      const HostPlace place = layout_.hosts[step.who[0]];
      addHost(place, true);
      const auto number = static_cast<std::uint32_t>(hosts_.size() - 1);
      discovery_.tell(now_, {number, Phase::in, now_});
      moveList();
      break;
    }
    case StepKind::hostDrain:
      for (std::uint32_t h : step.who) discovery_.tell(now_, {h, Phase::draining, hosts_[h].startedAt});
      moveList();
      break;
    case StepKind::hostCut:
      for (std::uint32_t h : step.who) hosts_[h].cut = true;
      break;
    case StepKind::hostBack:
      for (std::uint32_t h : step.who) {
        hosts_[h].cut = false;
        closeLines(h);
      }
      break;
    case StepKind::gatewayStop:
      for (std::uint32_t g : step.who) {
        stopGateway(g);
        add(now_ + fromSeconds(s_.gateways.noticeS.draw(front_)),
            {What::frontNotices, 0, g, gateways_[g].epoch});
      }
      break;
    case StepKind::gatewayStart:
      for (std::uint32_t g : step.who)
        if (!gateways_[g].alive) startGateway(g);
      break;
    case StepKind::staleMore:
    case StepKind::staleLess:
      stale_ += step.kind == StepKind::staleMore ? step.amount : -step.amount;
      discovery_.setStale(fromSeconds(std::max(stale_, 0.0)));
      break;
    case StepKind::discoveryDown:
    case StepKind::discoveryUp:
      discovery_.setDown(step.kind == StepKind::discoveryDown);
      if (step.kind == StepKind::discoveryDown)
        for (std::uint32_t g = 0; g < gateways_.size(); ++g)
          if (gateways_[g].watching) add(now_, {What::listAnswers, 0, g, gateways_[g].epoch});
      break;
  }
}

// Whoever watches is told of what the list has come to know; the time of the next such word is entered.
void Fleet::moveList() {
  if (!discovery_.advance(now_).empty())
    for (std::uint32_t g = 0; g < gateways_.size(); ++g)
      if (gateways_[g].alive && gateways_[g].watching)
        add(now_ + fromMillis(s_.discovery.spreadMs.draw(network_)),
            {What::listPushed, 0, g, gateways_[g].epoch});
  const Time next = discovery_.nextEvent();
  if (next == kNever || (listMovesAt_ > now_ && listMovesAt_ <= next)) return;  // entered already
  listMovesAt_ = next;
  add(next, {What::listMoves});
}

void Fleet::tidy() {
  add(now_ + kTidy, {What::tidy});
  double cut = 0;
  std::size_t alive = 0;
  for (Gateway& g : gateways_) {
    if (!g.alive) continue;
    cut += g.policy->cutoff();
    ++alive;
    g.lines->dropOldEverywhere(now_, [&](std::uint32_t host, std::size_t count) {
      for (; count > 0; --count) hosts_[host].model.closeConnection();
    });
  }
  if (now_ <= begin_ || now_ > begin_ + fromSeconds(s_.lengthS)) return;
  tally_.cutoffs.push_back(alive > 0 ? cut / static_cast<double>(alive) : 0);
  for (std::uint32_t h = 0; h < hosts_.size(); ++h) {
    const HostModel& m = hosts_[h].model;
    tally_.load[h].push_back(m.running() && !hosts_[h].cut
                                 ? static_cast<float>(m.holds()) / static_cast<float>(m.traits().cores)
                                 : -1.0f);
  }
}

}  // namespace

DayResult playDay(const Scenario& scenario, std::uint64_t seed, const PolicyMaker& policy,
                  std::atomic<unsigned>* progress) {
  return Fleet(scenario, seed, policy).play(progress);
}

}  // namespace fennelridge::lab
