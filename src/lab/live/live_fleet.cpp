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

// Laboratory time at which a run starts; above zero, because Time{} stands for "before the run".
constexpr Time kStartTime = std::chrono::seconds(100);
constexpr std::uint64_t kMaxBodyBytes = 33 << 20;  // largest that the platform accepts
// Delay of an error response that a fault injects.
constexpr Duration kInjectedErrorDelay = std::chrono::milliseconds(2);
// Longest that discovery holds a list request open.
constexpr Duration kMaxPollTimeout = std::chrono::seconds(60);

tcp::endpoint loopback() {
  return {asio::ip::address_v4::loopback(), 0};
}

// Value of the query parameter `name`; `fallback` if it is missing or not a number.
template <class T>
T query_number(std::string_view target, std::string_view name, T fallback, int base = 10) {
  const std::string prefix = std::string(name) + "=";
  for (std::size_t at = target.find(prefix); at != std::string_view::npos;
       at = target.find(prefix, at + 1)) {
    if (at == 0 || (target[at - 1] != '?' && target[at - 1] != '&')) {
      continue;
    }
    T value{};
    const char* first = target.data() + at + prefix.size();
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
  return fallback;
}

std::string response_text(int status, std::string_view headers, std::string_view body) {
  std::string text =
      "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " No") + "\r\n";
  text.append(headers)
      .append("Content-Length: ")
      .append(std::to_string(body.size()))
      .append("\r\n\r\n");
  return text.append(body);
}

// An accepted connection: reads requests one after the other and writes the responses given to it.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Request = beast_http::request<beast_http::string_body>;
  using RequestHandler = std::function<void(const std::shared_ptr<Connection>&, Request&)>;
  using CloseHandler = std::function<void(const std::shared_ptr<Connection>&)>;

  Connection(tcp::socket socket, RequestHandler report_accepted, CloseHandler gone)
      : socket_(std::move(socket)),
        on_request_(std::move(report_accepted)),
        on_closed_(std::move(gone)) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
  }

  void read() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    beast_http::async_read(socket_, buffer_, *parser_,
                           [self = shared_from_this()](error_code ec, std::size_t) {
                             if (ec) {
                               return self->close();
                             }
                             self->request_pending_ = true;
                             self->await_readable();
                             Request request = self->parser_->release();
                             self->on_request_(self, request);
                           });
  }
  void respond(std::string text) {
    if (!open_) {
      return;
    }
    response_ = std::move(text);
    asio::async_write(socket_, asio::buffer(response_),
                      [self = shared_from_this()](error_code ec, std::size_t) {
                        self->request_pending_ = false;
                        if (ec) {
                          return self->close();
                        }
                        if (!self->awaits_readable_) {
                          self->read();
                        }
                      });
  }
  void reset() {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
  }
  void close() {
    if (!open_) {
      return;
    }
    open_ = false;
    error_code ignored;
    socket_.close(ignored);
    on_closed_(shared_from_this());
  }
  bool open() const { return open_; }
  std::uint64_t job = 0;  // id of the job that runs for this connection; 0: none

 private:
  // While a request is pending, detects that the peer closes the connection, which cancels the
  // attempt.
  void await_readable() {
    awaits_readable_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
      self->awaits_readable_ = false;
      if (ec || !self->open_) {
        return;
      }
      if (!self->request_pending_) {
        return self->read();
      }
      char byte;
      error_code peek;
      const std::size_t n =
          self->socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, peek);
      if (peek || n == 0) {
        return self->close();
      }
      // Bytes of a further request: read after the response to this one.
    });
  }

  tcp::socket socket_;
  RequestHandler on_request_;
  CloseHandler on_closed_;
  boost::beast::flat_buffer buffer_;
  std::optional<beast_http::request_parser<beast_http::string_body>> parser_;
  std::string response_;
  bool open_ = true, request_pending_ = false, awaits_readable_ = false;
};

}  // namespace

// --- Time
// -------------------------------------------------------------------------------------------------

LiveClock::LiveClock(asio::io_context& io) : timer_(io), begin_(std::chrono::steady_clock::now()) {}

Time LiveClock::now() const {
  return kStartTime +
         std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - begin_);
}

void LiveClock::at(Time when, std::function<void()> task) {
  tasks_.add(when, std::move(task));
  if (!is_running_tasks_) {
    arm_timer();
  }
}

void LiveClock::arm_timer() {
  if (tasks_.next_at() == kNever || tasks_.next_at() >= armed_for_) {
    return;
  }
  armed_for_ = tasks_.next_at();
  timer_.expires_at(begin_ + std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                                 armed_for_ - kStartTime));
  timer_.async_wait([this](error_code ec) {
    if (!ec) {
      run_due_tasks();
    }
  });
}

void LiveClock::run_due_tasks() {
  armed_for_ = kNever;
  is_running_tasks_ = true;
  for (Time t = now(); tasks_.next_at() <= t; t = now()) {
    const Duration delay = t - tasks_.next_at();
    max_delay_ = std::max(max_delay_, delay);
    if (delay > kTolerance) {
      ++delayed_count_;
    }
    tasks_.pop()();
  }
  is_running_tasks_ = false;
  arm_timer();
}

// --- The fleet
// --------------------------------------------------------------------------------------------

struct LiveFleet::Impl : std::enable_shared_from_this<LiveFleet::Impl> {
  struct Host {
    Host(asio::io_context& io, const HostPlacement& p, std::uint32_t number, std::uint64_t seed,
         Time now, bool cold)
        : placement(p),
          model(p.traits, now, cold),
          acceptor(io),
          started_at(cold ? now : Time{}),
          fault_random(seed, "luck", number) {}
    HostPlacement placement;
    HostModel model;
    tcp::acceptor acceptor;
    tcp::endpoint endpoint;
    Time started_at;
    bool unreachable = false;
    std::vector<std::uint32_t> faults;
    std::set<std::shared_ptr<Connection>>
        connections;  // ordered by address, which no result depends on
    Time wake_at = kNever;
    Random fault_random;
  };
  struct PendingRequest {
    std::weak_ptr<Connection> connection;
    std::uint64_t id = 0;
    std::uint32_t host = 0;
  };
  struct ListWatcher {
    std::weak_ptr<Connection> connection;
    std::uint32_t gateway;
    std::uint64_t since;
  };
  struct DiscoveryServer {  // discovery as one gateway reaches it
    explicit DiscoveryServer(asio::io_context& io) : acceptor(io) {}
    tcp::acceptor acceptor;
    tcp::endpoint endpoint;
    std::set<std::shared_ptr<Connection>> connections;
  };

  Impl(asio::io_context& context, LiveClock& live_clock, const Scenario& spec,
       std::uint64_t run_seed, FleetObserver* run_observer)
      : io(context),
        clock(live_clock),
        scenario(spec),
        seed(run_seed),
        observer(run_observer),
        topology(draw_topology(spec, run_seed)),
        fault_schedule(schedule_faults(spec, topology, run_seed)),
        discovery(spec.discovery, run_seed),
        network_random(run_seed, "packets") {
    unix_time_at_zero =
        std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()) -
        clock.now();
  }

  // --- Hosts ---

  void add_host(const HostPlacement& placement, bool cold, bool publish_now) {
    const auto number = static_cast<std::uint32_t>(hosts.size());
    hosts.emplace_back(io, placement, number, seed, clock.now(), cold);
    hosts.back().endpoint = loopback();
    listen_host(number);
    const ListedHost listed{number, EndpointState::active, hosts.back().started_at};
    if (publish_now) {
      discovery.publish_immediately(clock.now(), listed);
    } else {
      publish(listed);
    }
  }

  void bind_port(tcp::acceptor& acceptor, tcp::endpoint& endpoint) {
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    endpoint = acceptor.local_endpoint();
  }

  void listen_host(std::uint32_t number) {
    Host& h = hosts[number];
    if (!h.acceptor.is_open()) {
      bind_port(h.acceptor, h.endpoint);
    }
    h.acceptor.listen();
    accept_host_connection(number);
  }

  void accept_host_connection(std::uint32_t number) {
    hosts[number].acceptor.async_accept(
        [this, number, self = shared_from_this()](error_code ec, tcp::socket socket) {
          if (ec) {
            return;
          }
          Host& h = hosts[number];
          if (observer) {
            observer->on_connected(clock.now(), number);
          }
          if (h.model.open_connection()) {
            auto connection = std::make_shared<Connection>(
                std::move(socket),
                [this, number](const std::shared_ptr<Connection>& c, Connection::Request& r) {
                  handle_request(number, c, r);
                },
                [this, number](const std::shared_ptr<Connection>& c) {
                  on_connection_closed(number, c);
                });
            h.connections.insert(connection);
            unused_connections.insert(connection.get());
            connection->read();
          }
          accept_host_connection(number);
        });
  }

  void on_connection_closed(std::uint32_t number, const std::shared_ptr<Connection>& connection) {
    Host& h = hosts[number];
    unused_connections.erase(connection.get());
    if (h.connections.erase(connection) > 0) {
      h.model.close_connection();
    }
    if (connection->job == 0) {
      return;
    }
    const auto it = pending.find(connection->job);
    if (it != pending.end()) {
      if (observer) {
        observer->on_finished(clock.now(), it->second.id);
      }
      pending.erase(it);
    }
    h.model.cancel(clock.now(), std::exchange(connection->job, 0), finished_jobs);
    deliver_finished_jobs(number);
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

  void send_response(const std::shared_ptr<Connection>& c, const Host& h, std::string text) {
    const Duration delay = h.model.condition().response_delay;
    if (delay <= Duration{}) {
      return c->respond(std::move(text));
    }
    clock.at(clock.now() + delay,
             [c, text = std::move(text)]() mutable { c->respond(std::move(text)); });
  }

  // Injects the host's faults, submits the request to its model and rejects it if the model does.
  // NOLINTNEXTLINE(readability-function-size): too long
  void handle_request(std::uint32_t number, const std::shared_ptr<Connection>& c,
                      Connection::Request& r) {
    Host& h = hosts[number];
    if (h.unreachable) {
      return;  // an unreachable host sends nothing
    }
    const std::string_view target(r.target().data(), r.target().size());
    if (target == "/alive") {
      return c->respond(response_text(200, load_header(h), ""));
    }
    const auto id_text = r.find("X-Request-Id");
    std::uint64_t id = 0;
    if (id_text == r.end()) {
      return c->respond(response_text(404, "", ""));
    }
    std::from_chars(id_text->value().data(), id_text->value().data() + id_text->value().size(), id,
                    16);
    const Time now = clock.now();
    if (observer) {
      observer->on_arrived(now, id, number);
    }
    const std::uint64_t job_id = ++last_job_id;
    const auto report_accepted = [&] {
      if (observer) {
        observer->on_accepted(now, id, job_id, number);
      }
    };
    const Condition& condition = h.model.condition();
    if (h.fault_random.chance(condition.reset_share)) {
      report_accepted();
      if (observer) {
        observer->on_finished(now, id);
      }
      return c->reset();
    }
    if (h.fault_random.chance(condition.error_share)) {
      report_accepted();
      if (observer) {
        observer->on_finished(now, id);
      }
      return clock.at(now + kInjectedErrorDelay, [c] { c->respond(response_text(500, "", "")); });
    }
    Job job;
    job.id = job_id;
    double mean = 0;
    for (const ClassSpec& cls : scenario.classes) {
      if (target.substr(1, target.find_first_of("?/", 1) - 1) == cls.name) {
        mean = cls.work_ms.middle() * 1e3;
      }
    }
    job.work = query_number<double>(target, "w", mean) / 1e6;
    job.key = query_number<std::uint64_t>(target, "k", 0, 16);
    job.has_key = job.key != 0;
    job.handshake = unused_connections.erase(c.get()) > 0;
    const std::uint32_t gateway = observer ? observer->gateway_of(id) : UINT32_MAX;
    job.sender_knows_start = gateway < known_start_times.size() &&
                             known_start_times[gateway].count(number) > 0 &&
                             known_start_times[gateway][number] == h.started_at;
    const bool was_up = !h.model.collapse();
    const Admission admission = h.model.submit(now, job, finished_jobs);
    if (was_up && h.model.collapse()) {
      if (observer) {
        observer->on_collapsed(now, number, *h.model.collapse());
      }
      return stop_host(number);
    }
    if (admission == Admission::rejected) {
      if (observer) {
        observer->on_finished(now, id);
      }
      c->respond(response_text(503, "X-Not-Run: 1\r\n" + load_header(h), ""));
    } else {
      report_accepted();
      c->job = job_id;
      pending[job_id] = {c, id, number};
    }
    deliver_finished_jobs(number);
  }

  void deliver_finished_jobs(std::uint32_t number) {
    Host& h = hosts[number];
    std::vector<FinishedJob> done;
    std::swap(done, finished_jobs);
    for (const FinishedJob& e : done) {
      const auto it = pending.find(e.id);
      if (it == pending.end()) {
        continue;
      }
      const PendingRequest w = it->second;
      pending.erase(it);
      if (observer) {
        observer->on_finished(clock.now(), w.id);
      }
      const auto c = w.connection.lock();
      if (!c || !c->open()) {
        continue;
      }
      c->job = 0;
      if (h.unreachable) {
        continue;
      }
      if (e.outcome == FinishedJob::Outcome::expired) {
        if (observer) {
          observer->on_not_run(w.id, e.id);
        }
        send_response(c, h, response_text(504, "X-Not-Run: 1\r\n" + load_header(h), ""));
      } else if (h.fault_random.chance(h.model.condition().malformed_share)) {
        c->respond("HTTP/1.1 2x0 \x01\x02 spoilt\r\nContent-Length: -5\r\n\r\nnoise");
      } else if (h.fault_random.chance(h.model.traits().error_rate)) {
        send_response(c, h, response_text(500, load_header(h), ""));
      } else {
        send_response(c, h, response_text(200, load_header(h), "done " + std::to_string(e.id)));
      }
    }
    const Time next = h.model.next_event();
    const Time now = clock.now();
    if (next == kNever || (h.wake_at != kNever && h.wake_at <= next && h.wake_at > now)) {
      return;
    }
    h.wake_at = next;
    clock.at(next, [this, number, next, weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self || hosts[number].wake_at != next) {
        return;
      }
      hosts[number].wake_at = kNever;
      hosts[number].model.advance(clock.now(), finished_jobs);
      deliver_finished_jobs(number);
    });
  }

  void stop_host(std::uint32_t number) {
    Host& h = hosts[number];
    if (!h.model.running()) {
      return;
    }
    error_code ignored;
    h.acceptor.close(ignored);
    // A bound port that does not listen refuses connections. If it were freed, the kernel could
    // give it to another socket.
    bind_port(h.acceptor, h.endpoint);
    const auto connections = h.connections;
    h.connections.clear();
    for (const auto& c : connections) {
      c->reset();
    }
    h.model.stop(clock.now());
    h.wake_at = kNever;
    publish({number, EndpointState::removed, h.started_at});
  }

  void start_host(std::uint32_t number) {
    Host& h = hosts[number];
    if (h.model.running() && !h.model.collapse()) {
      stop_host(number);
    }
    h.model.restart(clock.now());
    h.started_at = clock.now();
    listen_host(number);
    publish({number, EndpointState::active, h.started_at});
  }

  // --- Discovery ---

  void publish(const ListedHost& listed) {
    discovery.publish(clock.now(), listed);
    schedule_list_update();
  }

  void advance_list() {
    if (!discovery.advance(clock.now()).empty()) {
      std::vector<ListWatcher> waiting;
      std::swap(waiting, watchers);
      for (const ListWatcher& w : waiting) {
        const Duration spread = from_millis(scenario.discovery.spread_ms.draw(network_random));
        clock.at(clock.now() + spread, [this, w, weak = weak_from_this()] {
          if (const auto self = weak.lock()) {
            respond_with_list(w);
          }
        });
      }
    }
    schedule_list_update();
  }

  // Schedules one task for the next change of the list, however many changes are due then.
  void schedule_list_update() {
    const Time next = discovery.next_event();
    if (next == kNever || (list_update_at > clock.now() && list_update_at <= next)) {
      return;
    }
    list_update_at = next;
    clock.at(next, [this, weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        advance_list();
      }
    });
  }

  json endpoint_entry(const ListedHost& l, std::uint32_t gateway) const {
    const Host& h = hosts[l.host];
    const tcp::endpoint seen = host_address ? host_address(gateway, l.host) : h.endpoint;
    std::int64_t boot = 0;
    if (l.started > Time{}) {
      boot = (l.started + unix_time_at_zero).count() / 1000000;
    }
    return {{"uid", uid_of(l.host)},
            {"endpoint", "127.0.0.1:" + std::to_string(seen.port())},
            {"az", scenario.zones[h.placement.zone].name},
            {"model", scenario.hosts.kinds[h.placement.kind].name},
            {"pod_group", h.placement.cell},
            {"state", l.state == EndpointState::active     ? "SERVING"
                      : l.state == EndpointState::draining ? "DRAINING"
                                                           : "DELETED"},
            {"capacity_hint", 1.0},
            {"boot_ms", boot}};
  }
  static std::string uid_of(std::uint32_t host) { return "host-" + std::to_string(host); }

  json list_changes_since(std::uint64_t since, std::uint32_t gateway,
                          std::vector<ListedHost>& entries) const {
    bool whole = false;
    entries = discovery.changes_since(since, whole);
    json out{{"rev", discovery.revision()}, {"all", whole}, {"targets", json::array()}};
    for (const ListedHost& l : entries) {
      out["targets"].push_back(endpoint_entry(l, gateway));
    }
    return out;
  }

  void respond_with_list(const ListWatcher& w) {
    const auto c = w.connection.lock();
    if (!c || !c->open()) {
      return;
    }
    std::vector<ListedHost> entries;
    const json out = list_changes_since(w.since, w.gateway, entries);
    for (const ListedHost& l : entries) {
      if (l.state == EndpointState::removed) {
        known_start_times[w.gateway].erase(l.host);
      } else {
        known_start_times[w.gateway][l.host] = l.started;
      }
      if (observer) {
        observer->on_endpoint_sent(clock.now(), w.gateway, l.host, l.state);
      }
    }
    c->respond(response_text(200, "Content-Type: application/json\r\n", out.dump()));
  }

  void handle_list_request(std::uint32_t gateway, const std::shared_ptr<Connection>& c,
                           const Connection::Request& r) {
    const std::string_view target(r.target().data(), r.target().size());
    if (target.substr(0, 16) != "/discovery/hosts") {
      return c->respond(response_text(404, "", ""));
    }
    const auto since = query_number<std::uint64_t>(target, "since", 0);
    const ListWatcher w{c, gateway, since};
    if (since > 0 && since >= discovery.revision() && !discovery_down) {
      const auto wait =
          std::min(from_millis(query_number<double>(target, "timeout_ms", 0)), kMaxPollTimeout);
      watchers.push_back(w);
      clock.at(clock.now() + wait, [this, w, weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        const auto same = [&](const ListWatcher& o) {
          return !o.connection.owner_before(w.connection) &&
                 !w.connection.owner_before(o.connection) && o.since == w.since;
        };
        const auto it = std::find_if(watchers.begin(), watchers.end(), same);
        if (it == watchers.end()) {
          return;
        }
        watchers.erase(it);
        respond_with_list(w);
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
        return respond_with_list(w);
      }
      if (const auto connection = w.connection.lock()) {
        connection->respond(response_text(503, "", ""));
      }
    });
  }

  void accept_discovery_connection(std::uint32_t gateway) {
    discovery_servers[gateway].acceptor.async_accept(
        [this, gateway, self = shared_from_this()](error_code ec, tcp::socket socket) {
          if (ec) {
            return;
          }
          auto connection = std::make_shared<Connection>(
              std::move(socket),
              [this, gateway](const std::shared_ptr<Connection>& c, Connection::Request& r) {
                handle_list_request(gateway, c, r);
              },
              [this, gateway](const std::shared_ptr<Connection>& c) {
                discovery_servers[gateway].connections.erase(c);
              });
          discovery_servers[gateway].connections.insert(connection);
          connection->read();
          accept_discovery_connection(gateway);
        });
  }

  // --- Faults ---

  // NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): too long
  void apply_fault_step(const FaultStep& step,
                        const std::function<void(const FaultStep&)>& on_gateway_step) {
    switch (step.kind) {
      case FaultStepKind::condition_on:
      case FaultStepKind::condition_off:
        for (std::uint32_t number : step.targets) {
          Host& h = hosts[number];
          std::erase(h.faults, step.fault);
          if (step.kind == FaultStepKind::condition_on) {
            h.faults.push_back(step.fault);
          }
          Condition c;
          for (std::uint32_t t : h.faults) {
            c = combine(c, fault_schedule.conditions[t]);
          }
          h.model.set_condition(clock.now(), c, finished_jobs);
          deliver_finished_jobs(number);
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
        return add_host(topology.hosts[step.targets[0]], true, false);
      case FaultStepKind::host_drain:
        for (std::uint32_t h : step.targets) {
          publish({h, EndpointState::draining, hosts[h].started_at});
        }
        return;
      case FaultStepKind::host_unreachable:
        for (std::uint32_t h : step.targets) {
          hosts[h].unreachable = true;
        }
        return;
      case FaultStepKind::host_reachable:
        for (std::uint32_t h : step.targets) {
          hosts[h].unreachable = false;
          const auto connections = hosts[h].connections;
          for (const auto& c : connections) {
            c->reset();
          }
        }
        return;
      case FaultStepKind::gateway_stop:
      case FaultStepKind::gateway_start:
        return on_gateway_step(step);
      case FaultStepKind::list_delay_increase:
      case FaultStepKind::list_delay_decrease:
        extra_list_delay_s +=
            step.kind == FaultStepKind::list_delay_increase ? step.amount : -step.amount;
        discovery.set_extra_delay(from_seconds(std::max(extra_list_delay_s, 0.0)));
        return;
      case FaultStepKind::discovery_down:
      case FaultStepKind::discovery_up:
        discovery_down = step.kind == FaultStepKind::discovery_down;
        discovery.set_down(discovery_down);
        if (!discovery_down) {
          return;
        }
        watchers.clear();
        for (DiscoveryServer& d : discovery_servers) {
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
        c->close();
      }
    }
    for (DiscoveryServer& d : discovery_servers) {
      d.acceptor.close(ignored);
      const auto connections = d.connections;
      for (const auto& c : connections) {
        c->close();
      }
    }
  }

  asio::io_context& io;
  LiveClock& clock;
  const Scenario& scenario;
  std::uint64_t seed;
  FleetObserver* observer;
  FleetTopology topology;
  FaultSchedule fault_schedule;
  DiscoveryModel discovery;
  Random network_random;
  Duration unix_time_at_zero{};
  HostAddress host_address;
  std::deque<Host> hosts;
  std::deque<DiscoveryServer> discovery_servers;
  std::set<Connection*> unused_connections;         // without a request so far
  std::map<std::uint64_t, PendingRequest> pending;  // by job id
  std::vector<ListWatcher> watchers;
  std::vector<std::map<std::uint32_t, Time>>
      known_start_times;  // by gateway: start time of each host that its list contains
  std::vector<FinishedJob> finished_jobs;
  std::uint64_t last_job_id = 0;
  Time list_update_at{};
  double extra_list_delay_s = 0;
  bool discovery_down = false;
};

LiveFleet::LiveFleet(asio::io_context& io, LiveClock& clock, const Scenario& scenario,
                     std::uint64_t seed, FleetObserver* observer)
    : impl_(std::make_shared<Impl>(io, clock, scenario, seed, observer)) {
  for (const HostPlacement& placement : impl_->topology.hosts) {
    impl_->add_host(placement, scenario.hosts.start == "cold", true);
  }
  impl_->known_start_times.resize(impl_->topology.gateway_zones.size());
  for (std::uint32_t g = 0; g < impl_->known_start_times.size(); ++g) {
    for (std::uint32_t h = 0; h < impl_->hosts.size(); ++h) {
      impl_->known_start_times[g][h] = impl_->hosts[h].started_at;
    }
    impl_->discovery_servers.emplace_back(io);
    impl_->discovery_servers[g].endpoint = loopback();
    impl_->bind_port(impl_->discovery_servers[g].acceptor, impl_->discovery_servers[g].endpoint);
    impl_->discovery_servers[g].acceptor.listen();
    impl_->accept_discovery_connection(g);
  }
}
LiveFleet::~LiveFleet() {
  impl_->close();
}

tcp::endpoint LiveFleet::discovery_of(std::uint32_t gateway) const {
  return impl_->discovery_servers.at(gateway).endpoint;
}
tcp::endpoint LiveFleet::endpoint_of(std::uint32_t host) const {
  return impl_->hosts.at(host).endpoint;
}
void LiveFleet::set_host_address(HostAddress host_address) {
  impl_->host_address = std::move(host_address);
}
json LiveFleet::endpoint_list(std::uint32_t gateway) const {
  std::vector<ListedHost> entries;
  return impl_->list_changes_since(0, gateway, entries);
}
const FleetTopology& LiveFleet::topology() const {
  return impl_->topology;
}
const FaultSchedule& LiveFleet::fault_schedule() const {
  return impl_->fault_schedule;
}
std::string LiveFleet::uid_of(std::uint32_t host) const {
  return Impl::uid_of(host);
}
std::size_t LiveFleet::hosts() const {
  return impl_->hosts.size();
}
std::size_t LiveFleet::active_requests(std::uint32_t host) const {
  return impl_->hosts.at(host).model.active_jobs();
}
std::size_t LiveFleet::connections(std::uint32_t host) const {
  return impl_->hosts.at(host).connections.size();
}
bool LiveFleet::running(std::uint32_t host) const {
  return impl_->hosts.at(host).model.running() && !impl_->hosts[host].unreachable;
}
double LiveFleet::work_done() const {
  double sum = 0;
  for (const auto& h : impl_->hosts) {
    sum += h.model.work_done();
  }
  return sum;
}
void LiveFleet::begin_faults(const std::function<void(const FaultStep&)>& on_gateway_step) {
  const Time begin = impl_->clock.now();
  for (const FaultStep& step : impl_->fault_schedule.steps) {
    impl_->clock.at(begin + step.at,
                    [impl = impl_.get(), &step, on_gateway_step, weak = std::weak_ptr(impl_)] {
                      if (const auto self = weak.lock()) {
                        impl->apply_fault_step(step, on_gateway_step);
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
