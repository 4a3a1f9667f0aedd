#include "lab/live/live_fleet.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace gateway::lab {
namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using load_balancer::EndpointState;
using nlohmann::json;

constexpr Time kMorning = std::chrono::seconds(100);
constexpr std::uint64_t kBodyLimit = 33 << 20;  // the platform's largest
constexpr Duration kFastError = std::chrono::milliseconds(2);
constexpr Duration kLongestWatch = std::chrono::seconds(60);

tcp::endpoint loopback() {
  return {asio::ip::address_v4::loopback(), 0};
}

template <class T>
T number_in(std::string_view target, std::string_view name, T none, int base = 10) {
  const std::string want = std::string(name) + "=";
  for (std::size_t at = target.find(want); at != std::string_view::npos;
       at = target.find(want, at + 1)) {
    if (at == 0 || (target[at - 1] != '?' && target[at - 1] != '&')) {
      continue;
    }
    T value{};
    const char* first = target.data() + at + want.size();
    const char* last = target.data() + target.size();
    std::from_chars_result read{};
    if constexpr (std::is_floating_point_v<T>) {
      read = std::from_chars(first, last, value);
    } else {
      read = std::from_chars(first, last, value, base);
    }
    if (read.ec == std::errc{}) {
      return value;
    }
  }
  return none;
}

std::string answer(int status, std::string_view headers, std::string_view body) {
  std::string text =
      "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " No") + "\r\n";
  text.append(headers)
      .append("Content-Length: ")
      .append(std::to_string(body.size()))
      .append("\r\n\r\n");
  return text.append(body);
}

// One connection that a listener took: reads requests one after the other, writes what it is given.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Request = beast_http::request<beast_http::string_body>;
  using Taken = std::function<void(const std::shared_ptr<Connection>&, Request&)>;
  using Gone = std::function<void(const std::shared_ptr<Connection>&)>;

  Connection(tcp::socket socket, Taken taken, Gone gone)
      : socket_(std::move(socket)), taken_(std::move(taken)), gone_(std::move(gone)) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
  }

  void read() {
    parser_.emplace();
    parser_->body_limit(kBodyLimit);
    beast_http::async_read(socket_, buffer_, *parser_,
                           [self = shared_from_this()](error_code ec, std::size_t) {
                             if (ec) {
                               return self->leave();
                             }
                             self->busy_ = true;
                             self->watch();
                             Request request = self->parser_->release();
                             self->taken_(self, request);
                           });
  }
  void reply(std::string text) {
    if (!open_) {
      return;
    }
    out_ = std::move(text);
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this()](error_code ec, std::size_t) {
                        self->busy_ = false;
                        if (ec) {
                          return self->leave();
                        }
                        if (!self->watching_) {
                          self->read();
                        }
                      });
  }
  void reset() {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    leave();
  }
  void leave() {
    if (!open_) {
      return;
    }
    open_ = false;
    error_code ignored;
    socket_.close(ignored);
    gone_(shared_from_this());
  }
  bool open() const { return open_; }
  std::uint64_t job = 0;  // in work for this connection; 0: none

 private:
  // While a request is in work the other side's closing must be seen: it gives the attempt up.
  void watch() {
    watching_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
      self->watching_ = false;
      if (ec || !self->open_) {
        return;
      }
      if (!self->busy_) {
        return self->read();
      }
      char byte;
      error_code peek;
      const std::size_t n =
          self->socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, peek);
      if (peek || n == 0) {
        return self->leave();
      }
      // Bytes of a next request: read once this one is answered.
    });
  }

  tcp::socket socket_;
  Taken taken_;
  Gone gone_;
  boost::beast::flat_buffer buffer_;
  std::optional<beast_http::request_parser<beast_http::string_body>> parser_;
  std::string out_;
  bool open_ = true, busy_ = false, watching_ = false;
};

}  // namespace

// --- Time
// -------------------------------------------------------------------------------------------------

LiveClock::LiveClock(asio::io_context& io) : timer_(io), begin_(std::chrono::steady_clock::now()) {}

Time LiveClock::now() const {
  return kMorning + std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - begin_);
}

void LiveClock::at(Time when, std::function<void()> what) {
  agenda_.add(when, std::move(what));
  if (!running_) {
    arm();
  }
}

void LiveClock::arm() {
  if (agenda_.next_at() == kNever || agenda_.next_at() >= armed_) {
    return;
  }
  armed_ = agenda_.next_at();
  timer_.expires_at(
      begin_ + std::chrono::duration_cast<std::chrono::steady_clock::duration>(armed_ - kMorning));
  timer_.async_wait([this](error_code ec) {
    if (!ec) {
      run();
    }
  });
}

void LiveClock::run() {
  armed_ = kNever;
  running_ = true;
  for (Time t = now(); agenda_.next_at() <= t; t = now()) {
    const Duration behind = t - agenda_.next_at();
    max_delay_ = std::max(max_delay_, behind);
    if (behind > kTolerance) {
      ++delayed_count_;
    }
    agenda_.pop()();
  }
  running_ = false;
  arm();
}

// --- The fleet
// --------------------------------------------------------------------------------------------

struct LiveFleet::Impl : std::enable_shared_from_this<LiveFleet::Impl> {
  struct Host {
    Host(asio::io_context& io, const HostPlacement& p, std::uint32_t number, std::uint64_t seed,
         Time now, bool cold)
        : place(p),
          model(p.traits, now, cold),
          acceptor(io),
          started_at(cold ? now : Time{}),
          luck(seed, "luck", number) {}
    HostPlacement place;
    HostModel model;
    tcp::acceptor acceptor;
    tcp::endpoint endpoint;
    Time started_at;
    bool cut = false;
    std::vector<std::uint32_t> troubles;
    std::set<std::shared_ptr<Connection>> connections;  // order shows nowhere
    Time step_at = kNever;
    Random luck;
  };
  struct Work {
    std::weak_ptr<Connection> connection;
    std::uint64_t id = 0;
    std::uint32_t host = 0;
  };
  struct Watcher {
    std::weak_ptr<Connection> connection;
    std::uint32_t gateway;
    std::uint64_t since;
  };
  struct Door {  // a gateway's own address of discovery
    explicit Door(asio::io_context& io) : acceptor(io) {}
    tcp::acceptor acceptor;
    tcp::endpoint endpoint;
    std::set<std::shared_ptr<Connection>> connections;
  };

  Impl(asio::io_context& i, LiveClock& c, const Scenario& scenario, std::uint64_t sd, LiveEyes* e)
      : io(i),
        clock(c),
        s(scenario),
        seed(sd),
        eyes(e),
        layout(draw_topology(scenario, sd)),
        plan(schedule_faults(scenario, layout, sd)),
        discovery(scenario.discovery, sd),
        network(sd, "packets") {
    unix_begin =
        std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()) -
        clock.now();
  }

  // --- Hosts ---

  void add_host(const HostPlacement& place, bool cold, bool at_once) {
    const auto number = static_cast<std::uint32_t>(hosts.size());
    hosts.emplace_back(io, place, number, seed, clock.now(), cold);
    hosts.back().endpoint = loopback();
    listen_host(number);
    const ListedHost listed{number, EndpointState::active, hosts.back().started_at};
    if (at_once) {
      discovery.publish_immediately(clock.now(), listed);
    } else {
      tell(listed);
    }
  }

  void reserve(tcp::acceptor& acceptor, tcp::endpoint& endpoint) {
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    endpoint = acceptor.local_endpoint();
  }

  void listen_host(std::uint32_t number) {
    Host& h = hosts[number];
    if (!h.acceptor.is_open()) {
      reserve(h.acceptor, h.endpoint);
    }
    h.acceptor.listen();
    accept_host(number);
  }

  void accept_host(std::uint32_t number) {
    hosts[number].acceptor.async_accept(
        [this, number, self = shared_from_this()](error_code ec, tcp::socket socket) {
          if (ec) {
            return;
          }
          Host& h = hosts[number];
          if (eyes) {
            eyes->connected(clock.now(), number);
          }
          if (h.model.open_connection()) {
            auto connection = std::make_shared<Connection>(
                std::move(socket),
                [this, number](const std::shared_ptr<Connection>& c, Connection::Request& r) {
                  take(number, c, r);
                },
                [this, number](const std::shared_ptr<Connection>& c) { left(number, c); });
            h.connections.insert(connection);
            fresh.insert(connection.get());
            connection->read();
          }
          accept_host(number);
        });
  }

  void left(std::uint32_t number, const std::shared_ptr<Connection>& connection) {
    Host& h = hosts[number];
    fresh.erase(connection.get());
    if (h.connections.erase(connection) > 0) {
      h.model.close_connection();
    }
    if (connection->job == 0) {
      return;
    }
    const auto it = work.find(connection->job);
    if (it != work.end()) {
      if (eyes) {
        eyes->over(clock.now(), it->second.id);
      }
      work.erase(it);
    }
    h.model.cancel(clock.now(), std::exchange(connection->job, 0), ended);
    after_host(number);
  }

  std::string load_header(const Host& h) const {
    const auto report = h.model.load_report(clock.now());
    if (!report) {
      return "";
    }
    char text[96];
    std::snprintf(text, sizeof text, "X-Load: TEXT latency_ms=%.2f, util=%.3f\r\n",
                  report->latency_ms, report->util);
    return text;
  }

  void send(const std::shared_ptr<Connection>& c, const Host& h, std::string text) {
    const Duration late = h.model.condition().response_delay;
    if (late <= Duration{}) {
      return c->reply(std::move(text));
    }
    clock.at(clock.now() + late,
             [c, text = std::move(text)]() mutable { c->reply(std::move(text)); });
  }

  // NOLINTNEXTLINE(readability-function-size): too long
  void take(std::uint32_t number, const std::shared_ptr<Connection>& c, Connection::Request& r) {
    Host& h = hosts[number];
    if (h.cut) {
      return;  // silence
    }
    const std::string_view target(r.target().data(), r.target().size());
    if (target == "/alive") {
      return c->reply(answer(200, load_header(h), ""));
    }
    const auto id_text = r.find("X-Request-Id");
    std::uint64_t id = 0;
    if (id_text == r.end()) {
      return c->reply(answer(404, "", ""));
    }
    std::from_chars(id_text->value().data(), id_text->value().data() + id_text->value().size(), id,
                    16);
    const Time now = clock.now();
    if (eyes) {
      eyes->arrived(now, id, number);
    }
    const std::uint64_t job_id = ++jobs;
    const auto taken = [&] {
      if (eyes) {
        eyes->reached(now, id, job_id, number);
      }
    };
    const Condition& condition = h.model.condition();
    if (h.luck.chance(condition.reset_share)) {
      taken();
      if (eyes) {
        eyes->over(now, id);
      }
      return c->reset();
    }
    if (h.luck.chance(condition.error_share)) {
      taken();
      if (eyes) {
        eyes->over(now, id);
      }
      return clock.at(now + kFastError, [c] { c->reply(answer(500, "", "")); });
    }
    Job job;
    job.id = job_id;
    double mean = 0;
    for (const ClassSpec& cls : s.classes) {
      if (target.substr(1, target.find_first_of("?/", 1) - 1) == cls.name) {
        mean = cls.work_ms.middle() * 1e3;
      }
    }
    job.work = number_in<double>(target, "w", mean) / 1e6;
    job.key = number_in<std::uint64_t>(target, "k", 0, 16);
    job.has_key = job.key != 0;
    job.handshake = fresh.erase(c.get()) > 0;
    const std::uint32_t gateway = eyes ? eyes->gateway_of(id) : UINT32_MAX;
    job.sender_knows_start = gateway < told.size() && told[gateway].count(number) > 0 &&
                             told[gateway][number] == h.started_at;
    const bool stood = !h.model.collapse();
    const Admission admission = h.model.submit(now, job, ended);
    if (stood && h.model.collapse()) {
      if (eyes) {
        eyes->fell(now, number, *h.model.collapse());
      }
      return stop_host(number);
    }
    if (admission == Admission::rejected) {
      if (eyes) {
        eyes->over(now, id);
      }
      c->reply(answer(503, "X-Not-Run: 1\r\n" + load_header(h), ""));
    } else {
      taken();
      c->job = job_id;
      work[job_id] = {c, id, number};
    }
    after_host(number);
  }

  void after_host(std::uint32_t number) {
    Host& h = hosts[number];
    std::vector<FinishedJob> done;
    std::swap(done, ended);
    for (const FinishedJob& e : done) {
      const auto it = work.find(e.id);
      if (it == work.end()) {
        continue;
      }
      const Work w = it->second;
      work.erase(it);
      if (eyes) {
        eyes->over(clock.now(), w.id);
      }
      const auto c = w.connection.lock();
      if (!c || !c->open()) {
        continue;
      }
      c->job = 0;
      if (h.cut) {
        continue;
      }
      if (e.outcome == FinishedJob::Outcome::expired) {
        if (eyes) {
          eyes->not_run(w.id, e.id);
        }
        send(c, h, answer(504, "X-Not-Run: 1\r\n" + load_header(h), ""));
      } else if (h.luck.chance(h.model.condition().malformed_share)) {
        c->reply("HTTP/1.1 2x0 \x01\x02 spoilt\r\nContent-Length: -5\r\n\r\nnoise");
      } else if (h.luck.chance(h.model.traits().error_rate)) {
        send(c, h, answer(500, load_header(h), ""));
      } else {
        send(c, h, answer(200, load_header(h), "done " + std::to_string(e.id)));
      }
    }
    const Time next = h.model.next_event();
    const Time now = clock.now();
    if (next == kNever || (h.step_at != kNever && h.step_at <= next && h.step_at > now)) {
      return;
    }
    h.step_at = next;
    clock.at(next, [this, number, next, weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self || hosts[number].step_at != next) {
        return;
      }
      hosts[number].step_at = kNever;
      hosts[number].model.advance(clock.now(), ended);
      after_host(number);
    });
  }

  void stop_host(std::uint32_t number) {
    Host& h = hosts[number];
    if (!h.model.running()) {
      return;
    }
    error_code ignored;
    h.acceptor.close(ignored);
    // Bound but not listening it refuses. Danger: left free, the port is soon that of somebody's
    // connection.
    reserve(h.acceptor, h.endpoint);
    const auto connections = h.connections;
    h.connections.clear();
    for (const auto& c : connections) {
      c->reset();
    }
    h.model.stop(clock.now());
    h.step_at = kNever;
    tell({number, EndpointState::removed, h.started_at});
  }

  void start_host(std::uint32_t number) {
    Host& h = hosts[number];
    if (h.model.running() && !h.model.collapse()) {
      stop_host(number);
    }
    h.model.restart(clock.now());
    h.started_at = clock.now();
    listen_host(number);
    tell({number, EndpointState::active, h.started_at});
  }

  // --- Discovery ---

  void tell(const ListedHost& listed) {
    discovery.publish(clock.now(), listed);
    enter_list_move();
  }

  void move_list() {
    if (!discovery.advance(clock.now()).empty()) {
      std::vector<Watcher> waiting;
      std::swap(waiting, watchers);
      for (const Watcher& w : waiting) {
        const Duration spread = from_millis(s.discovery.spread_ms.draw(network));
        clock.at(clock.now() + spread, [this, w, weak = weak_from_this()] {
          if (const auto self = weak.lock()) {
            answer_list(w);
          }
        });
      }
    }
    enter_list_move();
  }

  // The time of the next word is entered once, however many changes wait for it.
  void enter_list_move() {
    const Time next = discovery.next_event();
    if (next == kNever || (list_moves_at > clock.now() && list_moves_at <= next)) {
      return;
    }
    list_moves_at = next;
    clock.at(next, [this, weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        move_list();
      }
    });
  }

  json entry_of(const ListedHost& l, std::uint32_t gateway) const {
    const Host& h = hosts[l.host];
    const tcp::endpoint seen = view ? view(gateway, l.host) : h.endpoint;
    std::int64_t boot = 0;
    if (l.started > Time{}) {
      boot = (l.started + unix_begin).count() / 1000000;
    }
    return {{"uid", uid_of(l.host)},
            {"endpoint", "127.0.0.1:" + std::to_string(seen.port())},
            {"az", s.zones[h.place.zone].name},
            {"model", s.hosts.kinds[h.place.kind].name},
            {"pod_group", h.place.cell},
            {"state", l.state == EndpointState::active     ? "SERVING"
                      : l.state == EndpointState::draining ? "DRAINING"
                                                           : "DELETED"},
            {"capacity_hint", 1.0},
            {"boot_ms", boot}};
  }
  static std::string uid_of(std::uint32_t host) { return "host-" + std::to_string(host); }

  json list_since(std::uint64_t since, std::uint32_t gateway,
                  std::vector<ListedHost>& entries) const {
    bool whole = false;
    entries = discovery.changes_since(since, whole);
    json out{{"rev", discovery.revision()}, {"all", whole}, {"targets", json::array()}};
    for (const ListedHost& l : entries) {
      out["targets"].push_back(entry_of(l, gateway));
    }
    return out;
  }

  void answer_list(const Watcher& w) {
    const auto c = w.connection.lock();
    if (!c || !c->open()) {
      return;
    }
    std::vector<ListedHost> entries;
    const json out = list_since(w.since, w.gateway, entries);
    for (const ListedHost& l : entries) {
      if (l.state == EndpointState::removed) {
        told[w.gateway].erase(l.host);
      } else {
        told[w.gateway][l.host] = l.started;
      }
      if (eyes) {
        eyes->told(clock.now(), w.gateway, l.host, l.state);
      }
    }
    c->reply(answer(200, "Content-Type: application/json\r\n", out.dump()));
  }

  void asked_for_list(std::uint32_t gateway, const std::shared_ptr<Connection>& c,
                      const Connection::Request& r) {
    const std::string_view target(r.target().data(), r.target().size());
    if (target.substr(0, 16) != "/discovery/hosts") {
      return c->reply(answer(404, "", ""));
    }
    const auto since = number_in<std::uint64_t>(target, "since", 0);
    const Watcher w{c, gateway, since};
    if (since > 0 && since >= discovery.revision() && !down) {
      const auto wait =
          std::min(from_millis(number_in<double>(target, "timeout_ms", 0)), kLongestWatch);
      watchers.push_back(w);
      clock.at(clock.now() + wait, [this, w, weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        const auto same = [&](const Watcher& o) {
          return !o.connection.owner_before(w.connection) &&
                 !w.connection.owner_before(o.connection) && o.since == w.since;
        };
        const auto it = std::find_if(watchers.begin(), watchers.end(), same);
        if (it == watchers.end()) {
          return;
        }
        watchers.erase(it);
        answer_list(w);
      });
      return;
    }
    bool whole = false;
    const DiscoveryModel::Call call =
        discovery.call(clock.now(), discovery.changes_since(since, whole).size());
    clock.at(call.at, [this, w, ok = call.ok, weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      if (ok) {
        return answer_list(w);
      }
      if (const auto connection = w.connection.lock()) {
        connection->reply(answer(503, "", ""));
      }
    });
  }

  void accept_door(std::uint32_t gateway) {
    doors[gateway].acceptor.async_accept(
        [this, gateway, self = shared_from_this()](error_code ec, tcp::socket socket) {
          if (ec) {
            return;
          }
          auto connection = std::make_shared<Connection>(
              std::move(socket),
              [this, gateway](const std::shared_ptr<Connection>& c, Connection::Request& r) {
                asked_for_list(gateway, c, r);
              },
              [this, gateway](const std::shared_ptr<Connection>& c) {
                doors[gateway].connections.erase(c);
              });
          doors[gateway].connections.insert(connection);
          connection->read();
          accept_door(gateway);
        });
  }

  // --- Troubles ---

  // NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): too long
  void carry_out(const FaultStep& step, const std::function<void(const FaultStep&)>& other) {
    switch (step.kind) {
      case FaultStepKind::condition_on:
      case FaultStepKind::condition_off:
        for (std::uint32_t number : step.targets) {
          Host& h = hosts[number];
          std::erase(h.troubles, step.fault);
          if (step.kind == FaultStepKind::condition_on) {
            h.troubles.push_back(step.fault);
          }
          Condition c;
          for (std::uint32_t t : h.troubles) {
            c = combine(c, plan.conditions[t]);
          }
          h.model.set_condition(clock.now(), c, ended);
          after_host(number);
        }
        return;
      case FaultStepKind::host_stop:
        for (std::uint32_t h : step.targets) {
          stop_host(h);
        }
        return;
      case FaultStepKind::host_start:
        for (std::uint32_t h : step.targets) {
          start_host(h);
        }
        return;
      case FaultStepKind::host_add:
        return add_host(layout.hosts[step.targets[0]], true, false);
      case FaultStepKind::host_drain:
        for (std::uint32_t h : step.targets) {
          tell({h, EndpointState::draining, hosts[h].started_at});
        }
        return;
      case FaultStepKind::host_unreachable:
        for (std::uint32_t h : step.targets) {
          hosts[h].cut = true;
        }
        return;
      case FaultStepKind::host_reachable:
        for (std::uint32_t h : step.targets) {
          hosts[h].cut = false;
          const auto connections = hosts[h].connections;
          for (const auto& c : connections) {
            c->reset();
          }
        }
        return;
      case FaultStepKind::gateway_stop:
      case FaultStepKind::gateway_start:
        return other(step);
      case FaultStepKind::list_delay_increase:
      case FaultStepKind::list_delay_decrease:
        stale += step.kind == FaultStepKind::list_delay_increase ? step.amount : -step.amount;
        discovery.set_extra_delay(from_seconds(std::max(stale, 0.0)));
        return;
      case FaultStepKind::discovery_down:
      case FaultStepKind::discovery_up:
        down = step.kind == FaultStepKind::discovery_down;
        discovery.set_down(down);
        if (!down) {
          return;
        }
        watchers.clear();
        for (Door& d : doors) {
          const auto connections = d.connections;
          for (const auto& c : connections) {
            c->reset();
          }
        }
        return;
    }
  }

  void close() {
    error_code ignored;
    for (Host& h : hosts) {
      h.acceptor.close(ignored);
      const auto connections = h.connections;
      for (const auto& c : connections) {
        c->leave();
      }
    }
    for (Door& d : doors) {
      d.acceptor.close(ignored);
      const auto connections = d.connections;
      for (const auto& c : connections) {
        c->leave();
      }
    }
  }

  asio::io_context& io;
  LiveClock& clock;
  const Scenario& s;
  std::uint64_t seed;
  LiveEyes* eyes;
  FleetTopology layout;
  FaultSchedule plan;
  DiscoveryModel discovery;
  Random network;
  Duration unix_begin{};
  View view;
  std::deque<Host> hosts;
  std::deque<Door> doors;
  std::set<Connection*> fresh;         // no request has come on it yet
  std::map<std::uint64_t, Work> work;  // by job
  std::vector<Watcher> watchers;
  std::vector<std::map<std::uint32_t, Time>> told;  // by gateway: hosts and the start it knows
  std::vector<FinishedJob> ended;
  std::uint64_t jobs = 0;
  Time list_moves_at{};
  double stale = 0;
  bool down = false;
};

LiveFleet::LiveFleet(asio::io_context& io, LiveClock& clock, const Scenario& scenario,
                     std::uint64_t seed, LiveEyes* eyes)
    : impl_(std::make_shared<Impl>(io, clock, scenario, seed, eyes)) {
  for (const HostPlacement& place : impl_->layout.hosts) {
    impl_->add_host(place, scenario.hosts.start == "cold", true);
  }
  impl_->told.resize(impl_->layout.gateway_zones.size());
  for (std::uint32_t g = 0; g < impl_->told.size(); ++g) {
    for (std::uint32_t h = 0; h < impl_->hosts.size(); ++h) {
      impl_->told[g][h] = impl_->hosts[h].started_at;
    }
    impl_->doors.emplace_back(io);
    impl_->doors[g].endpoint = loopback();
    impl_->reserve(impl_->doors[g].acceptor, impl_->doors[g].endpoint);
    impl_->doors[g].acceptor.listen();
    impl_->accept_door(g);
  }
}
LiveFleet::~LiveFleet() {
  impl_->close();
}

tcp::endpoint LiveFleet::discovery_of(std::uint32_t gateway) const {
  return impl_->doors.at(gateway).endpoint;
}
tcp::endpoint LiveFleet::endpoint_of(std::uint32_t host) const {
  return impl_->hosts.at(host).endpoint;
}
void LiveFleet::set_view(View view) {
  impl_->view = std::move(view);
}
json LiveFleet::endpoint_list(std::uint32_t gateway) const {
  std::vector<ListedHost> entries;
  return impl_->list_since(0, gateway, entries);
}
const FleetTopology& LiveFleet::topology() const {
  return impl_->layout;
}
const FaultSchedule& LiveFleet::fault_schedule() const {
  return impl_->plan;
}
std::string LiveFleet::uid_of(std::uint32_t host) const {
  return Impl::uid_of(host);
}
std::size_t LiveFleet::hosts() const {
  return impl_->hosts.size();
}
std::size_t LiveFleet::holds(std::uint32_t host) const {
  return impl_->hosts.at(host).model.active_jobs();
}
std::size_t LiveFleet::connections(std::uint32_t host) const {
  return impl_->hosts.at(host).connections.size();
}
bool LiveFleet::running(std::uint32_t host) const {
  return impl_->hosts.at(host).model.running() && !impl_->hosts[host].cut;
}
double LiveFleet::work_done() const {
  double sum = 0;
  for (const auto& h : impl_->hosts) {
    sum += h.model.work_done();
  }
  return sum;
}
void LiveFleet::begin_faults(const std::function<void(const FaultStep&)>& other) {
  const Time begin = impl_->clock.now();
  for (const FaultStep& step : impl_->plan.steps) {
    impl_->clock.at(begin + step.at,
                    [impl = impl_.get(), &step, other, weak = std::weak_ptr(impl_)] {
                      if (const auto self = weak.lock()) {
                        impl->carry_out(step, other);
                      }
                    });
  }
}
void LiveFleet::stop_host(std::uint32_t host) {
  impl_->stop_host(host);
}
void LiveFleet::start_host(std::uint32_t host) {
  impl_->start_host(host);
}
void LiveFleet::close() {
  impl_->close();
}

}  // namespace gateway::lab
