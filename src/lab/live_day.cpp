#include "lab/live_day.hpp"

#include <signal.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>
#include <unordered_map>

#include "lab/clients.hpp"
#include "lab/gateway_process.hpp"
#include "lab/live_fleet.hpp"
#include "lab/referee.hpp"
#include "lab/request_text.hpp"
#include "lab/traffic.hpp"

namespace fennelridge::lab {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;

constexpr Duration kSettleIn = std::chrono::seconds(1);
constexpr Duration kAfterwards = std::chrono::seconds(10);
constexpr Duration kOperator = std::chrono::seconds(2);
constexpr Duration kVoid = std::chrono::milliseconds(100);  // one such delay spoils latencies
constexpr double kVoidShare = 0.01;                         // or so many small ones, against the requests

// The rule on held-back answers is judged from what is under way at the hosts; a live run does not see
// attempts to connect, so there it would blame the innocent.
RulesSpec liveRules(RulesSpec rules) {
  rules.heldBackMs = 60000;
  return rules;
}

// One request to an address: written whole, its answer read whole. The connection comes back for the next.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  struct Outcome {
    bool connected = false, written = false, answered = false,
         untouched = true;  // untouched: no byte came back
    int status = 0;
    std::string body, retryAfter;
  };
  using Done = std::function<void(const Outcome&, std::unique_ptr<tcp::socket> kept)>;

  Exchange(std::unique_ptr<tcp::socket> socket, std::string text, std::function<void()> written, Done done)
      : socket_(std::move(socket)),
        text_(std::move(text)),
        written_(std::move(written)),
        done_(std::move(done)) {}

  void begin(const tcp::endpoint& to) {
    if (socket_->is_open()) {
      outcome_.connected = true;
      return write();
    }
    socket_->async_connect(to, [self = shared_from_this()](error_code ec) {
      if (ec) return self->end();
      self->outcome_.connected = true;
      error_code ignored;
      self->socket_->set_option(tcp::no_delay(true), ignored);
      self->write();
    });
  }
  void abandon() {  // its client leaves
    done_ = nullptr;
    error_code ignored;
    if (socket_) socket_->close(ignored);
  }

 private:
  void write() {
    asio::async_write(*socket_, asio::buffer(text_), [self = shared_from_this()](error_code ec, std::size_t) {
      if (ec) return self->end();
      self->outcome_.written = true;
      if (self->written_) self->written_();
      self->parser_.body_limit(std::uint64_t{64} << 20);
      http::async_read(*self->socket_, self->buffer_, self->parser_, [self](error_code bad, std::size_t n) {
        self->outcome_.untouched = n == 0 && self->buffer_.size() == 0;
        if (bad) return self->end();
        auto& message = self->parser_.get();
        self->outcome_.answered = true;
        self->outcome_.status = static_cast<int>(message.result_int());
        self->outcome_.body = std::move(message.body());
        self->outcome_.retryAfter = std::string(message[http::field::retry_after]);
        self->end(message.keep_alive());
      });
    });
  }
  void end(bool keep = false) {
    if (!done_) return;
    const Done done = std::exchange(done_, nullptr);
    if (!keep) {
      error_code ignored;
      socket_->close(ignored);
    }
    done(outcome_, keep ? std::move(socket_) : nullptr);
  }

  std::unique_ptr<tcp::socket> socket_;
  std::string text_;
  std::function<void()> written_;
  Done done_;
  boost::beast::flat_buffer buffer_;
  http::response_parser<http::string_body> parser_;
  Outcome outcome_;
};

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
        front_(seed, "front") {
    // Proxies first: they hold their ports, where freeAddress only names a port that was free, which a proxy
    // bound after it could take.
    const std::size_t count = fleet_.layout().gatewayZones.size();
    for (std::uint32_t g = 0; g < count; ++g) {
      Gateway& gate = gateways_.emplace_back();
      gate.zone = fleet_.layout().gatewayZones[g];
      if (!options.discoveryFaults.empty())  // free while off: no proxy at all
        gate.discovery = std::make_unique<FaultProxy>(io_, fleet_.discoveryOf(g), seed ^ g);
    }
    for (std::uint32_t g = 0; g < count; ++g) {
      Gateway& gate = gateways_[g];
      gate.process = std::make_unique<GatewayProcess>(
          options.gateway,
          GatewayProcess::Place{"g" + std::to_string(g), freeAddress(), freeAddress(),
                                gate.discovery ? gate.discovery->address() : fleet_.discoveryOf(g),
                                std::filesystem::path(options.folder) / ("g" + std::to_string(g))});
    }
  }

  LiveResult play();

  // What hosts and discovery saw.
  void arrived(Time now, std::uint64_t id, std::uint32_t host) override {
    const std::uint32_t gateway = gatewayOf(id);
    ++tally_.attempts;
    if (gateway == UINT32_MAX) return;
    referee_.sent(now, id, gateway, host);
    land(now, host);
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
    std::unique_ptr<FaultProxy> discovery;  // only where faults are asked for
    std::uint32_t zone = 0;
    unsigned starts = 0;
    bool ready = false, seenAlive = false;
    std::vector<std::unique_ptr<tcp::socket>> idle;
  };
  struct Try {
    std::uint64_t id = 0;
    std::uint32_t wish = 0, gateway = 0;
    Time deadline{};
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
  void land(Time now, std::uint32_t host);
  void rigWindows();
  void rigEvent(std::uint32_t gateway, const std::string& what);
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
};

void LiveDay::land(Time now, std::uint32_t host) {
  if (now < begin_ || begin_ == Time{} || host >= fleet_.hosts()) return;
  const auto second = static_cast<std::size_t>(toSeconds(now - begin_));
  while (landed_.seconds.size() <= second) {
    landed_.seconds.emplace_back(fleet_.hosts(), 0);
    landed_.peak.emplace_back(fleet_.hosts(), 0);
  }
  ++landed_.seconds[second][host];
  std::uint32_t& peak = landed_.peak[second][host];
  peak = std::max(peak, static_cast<std::uint32_t>(fleet_.holds(host)));
}

void LiveDay::rigEvent(std::uint32_t gateway, const std::string& what) {
  char at[32];
  std::snprintf(at, sizeof at, "%.3f g%u ", toSeconds(clock_.now() - begin_), gateway);
  events_.push_back(at + what);
}

// The rig's faults and pauses, each at its time; the end of a window brings the gateway back as it was.
void LiveDay::rigWindows() {
  const auto each = [&](const LiveOptions::Window& w, auto begin, auto end) {
    for (std::uint32_t g = 0; g < gateways_.size(); ++g) {
      if (w.every == 0 || g % w.every != w.offset) continue;
      clock_.at(begin_ + fromSeconds(w.fromS), [=] { begin(g); });
      clock_.at(begin_ + fromSeconds(w.fromS + w.forS), [=] { end(g); });
    }
  };
  for (const LiveOptions::DiscoveryFault& f : options_.discoveryFaults)
    each(
        f,
        [this, fault = f.fault](std::uint32_t g) {
          gateways_[g].discovery->set(fault);
          rigEvent(g, "discovery " + lab::textOf(fault));
        },
        [this](std::uint32_t g) {
          gateways_[g].discovery->set(Fault{});
          rigEvent(g, "discovery pass");
        });
  for (const LiveOptions::Window& p : options_.pauses)
    each(
        p,
        [this](std::uint32_t g) {
          gateways_[g].process->kill(SIGSTOP);
          rigEvent(g, "paused");
        },
        [this](std::uint32_t g) {
          gateways_[g].process->kill(SIGCONT);
          rigEvent(g, "resumed");
        });
}

void LiveDay::startGateway(std::uint32_t number) {
  Gateway& g = gateways_[number];
  const std::uint64_t start[2] = {number, g.starts++};
  const std::uint64_t seed = XXH3_64bits_withSeed(start, sizeof start, seed_);
  const ochrehill::Settings module = moduleSettings(s_, number, s_.zones[g.zone].name, seed);
  referee_.gatewayStarted(number);
  g.process->start(platformSettings(module, s_), fleet_.list(), seed);
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
        if (o.status == 200) gate.ready = gate.seenAlive = true;
        else
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
  t->gateway = static_cast<std::uint32_t>(from.empty() ? front_.below(gateways_.size())
                                                       : from[front_.below(from.size())]);
  ++tries_;
  sendTry(t);
  clock_.at(t->deadline + fromMillis(rules_.answerSlackMs), [this, t] {
    if (t->over) return;
    referee_.clientGaveUp(clock_.now(), t->id);
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
        const bool alive = gateways_[t->gateway].ready && gateways_[t->gateway].process->running();
        if (!t->wrote || !o.connected || !alive) referee_.excused(t->id);
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
        gate.process->kill(SIGKILL);
        gate.ready = false;
        gate.idle.clear();
        clock_.at(clock_.now() + fromSeconds(s_.gateways.noticeS.draw(front_)), [this, g] {
          if (!gateways_[g].ready) gateways_[g].seenAlive = false;
        });
      }
    });
    eachSecond();
  });
  if (options_.demo) handMoves();
  rigWindows();
  nextFirstTry();
  const Time end = begin_ + fromSeconds(s_.lengthS);
  LiveResult result{{s_.name, seed_, Tally(s_), {}, {}, 0, 0}, false, {}, 0, 0, 0, false, {}, {}, {}};
  while (!stopped() && !failed_ && clock_.now() < end + kAfterwards &&
         !(trafficOver_ && clients_->open() == 0 && clock_.now() >= end))
    io_.run_for(std::chrono::milliseconds(20));
  result.stopped = stopped();
  double cpu = 0;
  for (Gateway& g : gateways_) {
    cpu += g.process->cpuSeconds();
    g.process->running();
    result.gatewaysDied += g.process->died() ? 1 : 0;
    if (!options_.pauses.empty()) g.process->kill(SIGCONT);  // a stopped process would not heed SIGTERM
    g.process->kill(SIGTERM);
  }
  const Time patience = clock_.now() + std::chrono::seconds(5);
  for (Gateway& g : gateways_)
    while (g.process->running() && clock_.now() < patience) io_.run_for(std::chrono::milliseconds(20));
  if (failed_) throw std::runtime_error(failure_);
  tally_.workDone = tally_.workUseful = fleet_.workDone();  // what was useful is not seen from here
  tally_.troubles = fleet_.plan().times;
  result.day = DayResult{
      s_.name, seed_, tally_, referee_.counts(), referee_.first(), toSeconds(clock_.now() - begin_), tries_};
  for (Breach& b : result.day.firstBreaches) b.at -= begin_;
  result.landed = std::move(landed_);
  result.spread = spreadOf(result.landed, 0, result.landed.seconds.size());
  result.events = std::move(events_);
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
