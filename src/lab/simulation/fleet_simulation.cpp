#include "lab/simulation/fleet_simulation.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>

#include "lab/analysis/invariant_checker.hpp"
#include "lab/model/clients.hpp"
#include "lab/model/connection_model.hpp"
#include "lab/model/discovery_model.hpp"
#include "lab/model/edge_router.hpp"
#include "lab/model/fleet_topology.hpp"
#include "lab/model/traffic.hpp"

namespace gateway::lab {
namespace {

using load_balancer::AttemptOutcome;
using load_balancer::EndpointState;
using load_balancer::EndpointUpdateKind;

// Above zero, since a start time of zero means "long ago" to the balancer.
constexpr Time kSimulationStart = std::chrono::seconds(100);
// The gateways run for this long before the first client request.
constexpr Duration kTimeBeforeTraffic = std::chrono::seconds(1);
// Limit on the time that open requests and attempts have to end after the scenario's length.
constexpr Duration kMaxTimeAfterTraffic = std::chrono::seconds(60);
// Interval of the load samples and of the closing of idle connections.
constexpr Duration kUpdateInterval = std::chrono::seconds(1);
// Time that a host takes for a response of the fault fast_errors.
constexpr double kFastErrorSeconds = 0.002;

enum class EventKind : std::uint8_t {
  operation_begins,
  request_at_gateway,
  gateway_unreachable,
  attempt_at_host,
  attempt_ends,
  attempt_timeout,
  host_cancel,
  host_step,
  response_at_client,
  client_timeout,
  client_disconnects,
  client_retries,
  gateway_wakeup,
  list_changes,
  list_response,
  list_pushed,
  fault_step,
  gateway_failure_detected,
  periodic_update
};

// An event of the simulation; which fields are used depends on the kind.
struct Event {
  EventKind kind;
  std::uint8_t detail = 0;  // attempt_ends: AttemptOutcome; list_response: 1 if ok
  std::uint32_t index = 0;  // slot of a request or attempt; index of a host or gateway; operation
  std::uint32_t generation = 0;  // of the slot, or epoch of the gateway, or host incarnation
  std::uint64_t job = 0;
};

// Items in reused slots. The generation tells an item from an earlier one in the same slot, so that
// events of the earlier one are ignored.
template <class T>
class Slab {
 public:
  std::uint32_t acquire() {
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
  void release(std::uint32_t slot) {
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

constexpr std::size_t kMaxAttempts = 8;

// One request of a client for its operation.
struct Request {
  std::uint32_t generation = 0, operation = 0, gateway = 0, epoch = 0;
  bool live = false, at_gateway = false, ended = false, client_done = false;
  RequestOutcome outcome = RequestOutcome::unanswered;
  Arrival arrival;  // a copy: attempts may be in flight after the operation has ended
  Duration retry_after{};
  Time deadline{};
  std::uint32_t attempt_count = 0, in_flight = 0;
  std::array<std::uint32_t, kMaxAttempts> attempts{}, attempt_generations{};
};

struct Attempt {
  std::uint32_t generation = 0, request = 0, number = 0, host = 0, gateway = 0;
  std::uint32_t host_incarnation = 0;  // at the time of sending
  bool live = false, finished = false, on_new_connection = false, holds_connection = false,
       reached_host = false;
  Time sent_at{};
  double work = 0;  // seconds that the host spent on it, once done
  load_balancer::HostId policy_host = load_balancer::kNone;  // the policy's id of the host
  std::optional<LoadReport> load_report;                     // received with its response
};

struct Gateway {
  std::unique_ptr<Policy> policy;
  std::unique_ptr<ConnectionModel> connections;
  std::uint32_t zone = 0, epoch = 0, start_count = 0;
  bool alive = false, is_watching = false;
  bool alive_at_edge = true;  // as the edge router sees it
  std::uint64_t revision = 0;
  std::map<std::uint32_t, ListedHost> known_hosts;
  Time wake_at = kNever;
};

struct Host {
  Host(const HostPlacement& place, std::uint32_t number, std::uint64_t seed, Time now, bool cold)
      : model(place.traits, now, cold),
        address(1, 'h'),
        zone(place.zone),
        kind(place.kind),
        cell(place.cell),
        started_at(cold ? now : Time{}),
        random(seed, "luck", number) {
    address += std::to_string(number);
  }

  HostModel model;
  std::string address;
  std::uint32_t zone, kind, cell, incarnation = 1;
  bool unreachable = false;
  Time started_at;  // zero: long ago
  std::vector<std::uint32_t> active_faults;
  Time next_step_at = kNever;
  Random random;
};

// Index of the host with this address; UINT32_MAX: not a host's address.
std::uint32_t host_index_of(const std::string& address) {
  std::uint32_t number = 0;
  const char* last = address.data() + address.size();
  if (address.size() < 2 || std::from_chars(address.data() + 1, last, number).ptr != last) {
    return UINT32_MAX;
  }
  return number;
}

// One run: hosts, discovery, clients and gateways, driven by one queue of events.
class FleetSimulation {
 public:
  FleetSimulation(const Scenario& scenario, std::uint64_t seed, const PolicyMaker& policy)
      : scenario_(scenario),
        seed_(seed),
        make_policy_(policy),
        topology_(draw_topology(scenario, seed)),
        fault_schedule_(schedule_faults(scenario, topology_, seed)),
        metrics_(scenario),
        invariant_checker_(scenario.rules, scenario.classes),
        discovery_(scenario.discovery, seed),
        traffic_start_(kSimulationStart + kTimeBeforeTraffic),
        traffic_(scenario, seed, topology_.request_rate, traffic_start_),
        clients_(scenario, seed, traffic_start_, metrics_),
        network_random_(seed, "packets"),
        edge_random_(seed, "front") {}

  RunResult run(std::atomic<unsigned>* progress);

 private:
  void set_up();
  void handle(const Event& e);

  // Network delays, one direction.
  Duration network_delay(double mean) {
    return from_seconds(mean *
                        std::max(1 + scenario_.network.jitter * network_random_.normal(), 0.2));
  }
  Duration delay_to_host(std::uint32_t gateway, std::uint32_t host) {
    return network_delay(topology_.delay[gateways_[gateway].zone][hosts_[host].zone]);
  }
  Duration delay_to_client() { return network_delay(topology_.client_delay); }

  // Clients.
  void schedule_next_operation();
  void start_request(std::uint32_t operation);
  std::uint32_t choose_gateway(std::uint32_t zone);
  void update_alive_gateways();
  void arrive_at_gateway(std::uint32_t slot);
  void respond_to_client(std::uint32_t slot, RequestOutcome outcome, Duration retry_after);
  void finish_client_request(std::uint32_t slot, RequestOutcome outcome);
  void release_if_finished(std::uint32_t slot);

  // Gateways.
  void execute_actions(std::uint32_t gateway);
  void execute(std::uint32_t gateway, const load_balancer::SendAttempt& action);
  void execute(std::uint32_t gateway, const load_balancer::RejectRequest& action);
  void execute(std::uint32_t gateway, const load_balancer::FailRequest& action);
  void execute(std::uint32_t gateway, const load_balancer::CancelAttempt& action);
  void execute(std::uint32_t gateway, const load_balancer::CloseIdleConnections& action);
  void execute(std::uint32_t gateway, const load_balancer::ScheduleWakeup& action);
  void execute(std::uint32_t gateway, const load_balancer::PollEndpoints& action);
  void execute(std::uint32_t, const load_balancer::ForgetHost&) {}  // hosts are found by address
  void execute(std::uint32_t, const load_balancer::LogMessage&) {}
  Request* find_request(load_balancer::RequestId id);
  void finish_request(std::uint32_t gateway, load_balancer::RequestId id, ResponseKind answer,
                      RequestOutcome outcome, Duration retry_after);
  void send_attempt(std::uint32_t gateway, const load_balancer::SendAttempt& action);
  void finish_attempt(std::uint32_t slot, AttemptOutcome outcome);
  void start_gateway(std::uint32_t gateway);
  void stop_gateway(std::uint32_t gateway);
  void deliver_list(std::uint32_t gateway, bool is_response);
  load_balancer::Endpoint endpoint_of(const ListedHost& listed) const;

  // Hosts.
  void arrive_at_host(std::uint32_t slot);
  void process_finished_jobs(std::uint32_t host);
  void add_host(const HostPlacement& place, bool cold);
  void stop_host(std::uint32_t host);
  void start_host(std::uint32_t host);
  void close_connections(std::uint32_t host);
  void update_condition(std::uint32_t host);
  void apply_fault_step(const FaultStep& step);
  void push_list_changes();

  void update_periodically();
  std::uint64_t request_key(std::uint32_t slot) {
    return (static_cast<std::uint64_t>(requests_[slot].generation) << 32) | slot;
  }
  void add(Time at, Event event) { event_queue_.add(std::max(at, now_), event); }

  const Scenario& scenario_;
  std::uint64_t seed_;
  const PolicyMaker& make_policy_;
  FleetTopology topology_;
  FaultSchedule fault_schedule_;
  RunMetrics metrics_;
  InvariantChecker invariant_checker_;
  DiscoveryModel discovery_;
  Time traffic_start_, now_ = kSimulationStart;
  Traffic traffic_;
  Clients clients_;
  Random network_random_, edge_random_;
  EventQueue<Event> event_queue_;
  std::vector<Gateway> gateways_;
  std::vector<std::vector<std::uint32_t>>
      alive_gateways_;  // as the edge router sees it: by zone; last entry: in all zones
  std::deque<Host> hosts_;
  Slab<Request> requests_;
  Slab<Attempt> attempts_;
  std::vector<FinishedJob> finished_jobs_;
  std::vector<load_balancer::Action> actions_;
  Arrival next_arrival_;
  bool traffic_over_ = false;
  std::uint64_t event_count_ = 0;
  std::size_t attempts_in_flight_ = 0;
  Time next_list_change_at_{};
  double extra_list_delay_s_ = 0;  // seconds added to the delay of the host list
};

// --- The run

void FleetSimulation::set_up() {
  const bool cold = scenario_.hosts.start == "cold";
  for (const HostPlacement& place : topology_.hosts) {
    add_host(place, cold);
  }
  for (std::uint32_t g = 0; g < topology_.gateway_zones.size(); ++g) {
    gateways_.emplace_back();
    gateways_[g].zone = topology_.gateway_zones[g];
    for (std::uint32_t h = 0; h < hosts_.size(); ++h) {
      gateways_[g].known_hosts[h] = {h, EndpointState::active, hosts_[h].started_at};
    }
    gateways_[g].revision = discovery_.revision();
  }
  for (std::uint32_t g = 0; g < gateways_.size(); ++g) {
    start_gateway(g);
  }
  for (std::uint32_t i = 0; i < fault_schedule_.steps.size(); ++i) {
    add(traffic_start_ + fault_schedule_.steps[i].at, {EventKind::fault_step, 0, i});
  }
  add(now_ + kUpdateInterval, {EventKind::periodic_update});
  schedule_next_operation();
}

RunResult FleetSimulation::run(std::atomic<unsigned>* progress) {
  set_up();
  const Time end = traffic_start_ + from_seconds(scenario_.length_s);
  while (event_queue_.next_at() < end + kMaxTimeAfterTraffic) {
    if (traffic_over_ && clients_.open_operations() == 0 && attempts_in_flight_ == 0 &&
        now_ >= end) {
      break;
    }
    now_ = event_queue_.next_at();
    handle(event_queue_.pop());
    if (++event_count_ % 4096 == 0 && progress) {
      *progress = static_cast<unsigned>(
          std::clamp(1000 * to_seconds(now_ - traffic_start_) / scenario_.length_s, 0.0, 1000.0));
    }
  }
  for (Host& h : hosts_) {
    metrics_.work_done += h.model.work_done();
  }
  metrics_.list_lines = discovery_.lines();
  metrics_.troubles = fault_schedule_.intervals;
  RunResult result{scenario_.name,
                   seed_,
                   metrics_,
                   invariant_checker_.counts(),
                   invariant_checker_.first_violations(),
                   to_seconds(now_ - kSimulationStart),
                   event_count_};
  for (Violation& b : result.first_violations) {
    b.at -= traffic_start_;
  }
  return result;
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): too long
void FleetSimulation::handle(const Event& e) {
  switch (e.kind) {
    case EventKind::operation_begins: {
      const std::uint32_t operation = clients_.begin_operation(next_arrival_);
      schedule_next_operation();
      return start_request(operation);
    }
    case EventKind::client_retries:
      return start_request(e.index);
    case EventKind::request_at_gateway:
      if (requests_.find(e.index, e.generation)) {
        arrive_at_gateway(e.index);
      }
      return;
    case EventKind::gateway_unreachable:
      if (requests_.find(e.index, e.generation)) {
        finish_client_request(e.index, RequestOutcome::unreachable);
      }
      return;
    case EventKind::attempt_at_host:
      if (attempts_.find(e.index, e.generation)) {
        arrive_at_host(e.index);
      }
      return;
    case EventKind::attempt_ends:
      if (attempts_.find(e.index, e.generation)) {
        finish_attempt(e.index, static_cast<AttemptOutcome>(e.detail));
      }
      return;
    case EventKind::attempt_timeout:
      if (attempts_.find(e.index, e.generation)) {
        finish_attempt(e.index, AttemptOutcome::timeout);
      }
      return;
    case EventKind::host_cancel:
      if (hosts_[e.index].incarnation != e.generation || hosts_[e.index].unreachable) {
        return;
      }
      hosts_[e.index].model.cancel(now_, e.job, finished_jobs_);
      return process_finished_jobs(e.index);
    case EventKind::host_step:
      if (hosts_[e.index].next_step_at != now_) {
        return;  // superseded by an earlier step
      }
      hosts_[e.index].next_step_at = kNever;
      hosts_[e.index].model.advance(now_, finished_jobs_);
      return process_finished_jobs(e.index);
    case EventKind::response_at_client:
      if (requests_.find(e.index, e.generation)) {
        finish_client_request(e.index, requests_[e.index].outcome);
      }
      return;
    case EventKind::client_timeout: {
      Request* r = requests_.find(e.index, e.generation);
      if (!r || r->client_done) {
        return;
      }
      if (r->at_gateway && !r->ended) {
        invariant_checker_.client_timed_out(now_, request_key(e.index));
        r->ended = true;
        const std::uint32_t g = r->gateway;
        finish_client_request(e.index, RequestOutcome::unanswered);
        gateways_[g].policy->on_client_disconnected(
            now_, (static_cast<std::uint64_t>(e.generation) << 32) | e.index);
        return execute_actions(g);
      }
      return finish_client_request(e.index, RequestOutcome::unanswered);
    }
    case EventKind::client_disconnects: {
      Request* r = requests_.find(e.index, e.generation);
      if (!r || r->client_done || r->ended) {
        return;
      }
      const std::uint32_t g = r->gateway;
      const bool reached_gateway = r->at_gateway;
      invariant_checker_.release(request_key(e.index));
      r->ended = true;
      finish_client_request(e.index, RequestOutcome::unanswered);
      if (!reached_gateway) {
        return;
      }
      gateways_[g].policy->on_client_disconnected(
          now_, (static_cast<std::uint64_t>(e.generation) << 32) | e.index);
      return execute_actions(g);
    }
    case EventKind::gateway_wakeup: {
      Gateway& g = gateways_[e.index];
      if (!g.alive || g.epoch != e.generation || g.wake_at != now_) {
        return;
      }
      g.wake_at = kNever;
      g.policy->on_wakeup(now_);
      return execute_actions(e.index);
    }
    case EventKind::list_changes:
      return push_list_changes();
    case EventKind::list_response:
    case EventKind::list_pushed: {
      Gateway& g = gateways_[e.index];
      if (!g.alive || g.epoch != e.generation) {
        return;
      }
      if (e.kind == EventKind::list_response && e.detail == 0) {
        g.is_watching = false;
        g.policy->on_endpoint_update(now_, EndpointUpdateKind::unavailable, {});
        return execute_actions(e.index);
      }
      if (e.kind == EventKind::list_response) {
        g.is_watching = true;
      }
      return deliver_list(e.index, e.kind == EventKind::list_response);
    }
    case EventKind::fault_step:
      return apply_fault_step(fault_schedule_.steps[e.index]);
    case EventKind::gateway_failure_detected:
      if (gateways_[e.index].epoch == e.generation) {
        gateways_[e.index].alive_at_edge = false;
      }
      return update_alive_gateways();
    case EventKind::periodic_update:
      return update_periodically();
  }
}

// --- Clients

void FleetSimulation::schedule_next_operation() {
  if (traffic_.next(next_arrival_)) {
    add(next_arrival_.at, {EventKind::operation_begins});
  } else {
    traffic_over_ = true;
  }
}

// The edge router draws from the gateways of the client's zone that it regards as alive; if there
// is none, from those of all zones, and if there is none either, from all gateways.
std::uint32_t FleetSimulation::choose_gateway(std::uint32_t zone) {
  const std::vector<std::uint32_t>& in_zone = alive_gateways_[zone];
  if (!in_zone.empty()) {
    return draw_gateway(scenario_.gateways, in_zone, edge_random_);
  }
  const std::vector<std::uint32_t>& any = alive_gateways_.back();
  if (!any.empty()) {
    return draw_gateway(scenario_.gateways, any, edge_random_);
  }
  return static_cast<std::uint32_t>(edge_random_.below(gateways_.size()));
}

void FleetSimulation::update_alive_gateways() {
  alive_gateways_.assign(scenario_.zones.size() + 1, {});
  for (std::uint32_t g = 0; g < gateways_.size(); ++g) {
    if (!gateways_[g].alive_at_edge) {
      continue;
    }
    alive_gateways_[gateways_[g].zone].push_back(g);
    alive_gateways_.back().push_back(g);
  }
}

void FleetSimulation::start_request(std::uint32_t operation) {
  const Clients::RequestPlan plan = clients_.begin_request(now_, operation);
  const std::uint32_t slot = requests_.acquire();
  Request& r = requests_[slot];
  r.operation = operation;
  r.arrival = clients_.arrival(operation);
  r.gateway = choose_gateway(r.arrival.zone);
  r.deadline = now_ + plan.timeout;
  add(now_ + delay_to_client(), {EventKind::request_at_gateway, 0, slot, r.generation});
  add(r.deadline + from_millis(scenario_.rules.response_slack_ms),
      {EventKind::client_timeout, 0, slot, r.generation});
  if (plan.disconnect_after) {
    add(now_ + *plan.disconnect_after, {EventKind::client_disconnects, 0, slot, r.generation});
  }
}

void FleetSimulation::arrive_at_gateway(std::uint32_t slot) {
  Request& r = requests_[slot];
  if (r.client_done) {
    return release_if_finished(slot);
  }
  Gateway& g = gateways_[r.gateway];
  if (!g.alive) {
    return add(now_ + delay_to_client(), {EventKind::gateway_unreachable, 0, slot, r.generation});
  }
  r.at_gateway = true;
  r.epoch = g.epoch;
  const Arrival& arrival = r.arrival;
  invariant_checker_.request_received(now_, request_key(slot), arrival.cls, r.gateway, r.deadline);
  load_balancer::Request q;
  q.id = request_key(slot);
  q.class_index = arrival.cls;
  q.time_remaining = r.deadline - now_;
  q.key = arrival.key;
  q.has_key = true;
  const std::uint32_t gateway = r.gateway;
  g.policy->on_request(now_, q);
  execute_actions(gateway);
}

void FleetSimulation::respond_to_client(std::uint32_t slot, RequestOutcome outcome,
                                        Duration retry_after) {
  Request& r = requests_[slot];
  r.ended = true;
  r.outcome = outcome;
  r.retry_after = retry_after;
  if (!r.client_done) {
    add(now_ + delay_to_client(), {EventKind::response_at_client, 0, slot, r.generation});
  }
}

void FleetSimulation::finish_client_request(std::uint32_t slot, RequestOutcome outcome) {
  Request& r = requests_[slot];
  if (r.client_done) {
    return;
  }
  r.client_done = true;
  if (outcome == RequestOutcome::served && now_ > r.deadline) {
    outcome = RequestOutcome::unanswered;  // the response came after the client's timeout
  }
  if (const auto wait = clients_.end_request(now_, r.operation, outcome, r.retry_after)) {
    add(now_ + *wait, {EventKind::client_retries, 0, r.operation});
  }
  release_if_finished(slot);
}

void FleetSimulation::release_if_finished(std::uint32_t slot) {
  Request& r = requests_[slot];
  if (!r.live || !r.client_done || r.in_flight > 0 || (r.at_gateway && !r.ended)) {
    return;
  }
  invariant_checker_.forget(request_key(slot));
  requests_.release(slot);
}

// --- Gateways

void FleetSimulation::start_gateway(std::uint32_t number) {
  Gateway& g = gateways_[number];
  g.alive = g.alive_at_edge = true;
  update_alive_gateways();
  ++g.epoch;
  g.wake_at = kNever;
  g.is_watching = false;
  g.connections =
      std::make_unique<ConnectionModel>(from_seconds(scenario_.hosts.connections.idle_close_s));
  const std::uint64_t start[2] = {number, g.start_count++};
  const load_balancer::Settings settings =
      balancer_settings(scenario_, number, scenario_.zones[g.zone].name,
                        XXH3_64bits_withSeed(start, sizeof start, seed_));
  g.policy = make_policy_(settings, now_);
  invariant_checker_.gateway_started(number);
  std::vector<load_balancer::Endpoint> list;
  for (const auto& [host, listed] : g.known_hosts) {
    list.push_back(endpoint_of(listed));
    invariant_checker_.endpoint_announced(now_, number, host, listed.state);
  }
  g.policy->on_endpoint_update(now_, EndpointUpdateKind::restored, list);
  execute_actions(number);
}

void FleetSimulation::stop_gateway(std::uint32_t number) {
  Gateway& g = gateways_[number];
  if (!g.alive) {
    return;
  }
  g.alive = g.is_watching = false;
  ++g.epoch;
  for (std::uint32_t slot = 0; slot < attempts_.size(); ++slot) {
    Attempt& a = attempts_[slot];
    if (!a.live || a.finished || a.gateway != number) {
      continue;
    }
    a.finished = true;
    --attempts_in_flight_;
    Request& r = requests_[a.request];
    --r.in_flight;
    if (a.holds_connection) {
      hosts_[a.host].model.close_connection();
    }
    if (a.reached_host && !hosts_[a.host].unreachable) {
      add(now_ + delay_to_host(number, a.host),
          {EventKind::host_cancel, 0, a.host, a.host_incarnation,
           (static_cast<std::uint64_t>(a.generation) << 32) | slot});
    }
    attempts_.release(slot);
  }
  for (std::uint32_t slot = 0; slot < requests_.size(); ++slot) {
    Request& r = requests_[slot];
    if (!r.live || !r.at_gateway || r.gateway != number || r.epoch + 1 != g.epoch) {
      continue;
    }
    invariant_checker_.release(request_key(slot));
    if (!r.ended) {
      respond_to_client(slot, RequestOutcome::failed, {});  // the client's connection is reset
    }
    release_if_finished(slot);
  }
  g.connections->close_all([&](std::uint32_t host, std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      hosts_[host].model.close_connection();
    }
  });
  g.policy.reset();
}

load_balancer::Endpoint FleetSimulation::endpoint_of(const ListedHost& listed) const {
  const Host& h = hosts_[listed.host];
  load_balancer::Endpoint e;
  e.address = h.address;
  e.zone = scenario_.zones[h.zone].name;
  e.machine_type = scenario_.hosts.kinds[h.kind].name;
  e.cell = h.cell;
  e.state = listed.state;
  e.started_at = listed.started;
  return e;
}

void FleetSimulation::deliver_list(std::uint32_t number, bool is_response) {
  Gateway& g = gateways_[number];
  bool is_snapshot = false;
  const std::vector<ListedHost> entries = discovery_.changes_since(g.revision, is_snapshot);
  g.revision = discovery_.revision();
  if (entries.empty() && !is_snapshot && !is_response) {
    return;
  }
  if (is_snapshot) {
    for (const auto& [host, listed] : g.known_hosts) {
      invariant_checker_.endpoint_announced(now_, number, host, EndpointState::removed);
    }
    g.known_hosts.clear();
  }
  std::vector<load_balancer::Endpoint> list;
  for (const ListedHost& listed : entries) {
    list.push_back(endpoint_of(listed));
    invariant_checker_.endpoint_announced(now_, number, listed.host, listed.state);
    if (listed.state == EndpointState::removed) {
      g.known_hosts.erase(listed.host);
    } else {
      g.known_hosts[listed.host] = listed;
    }
  }
  g.policy->on_endpoint_update(
      now_, is_snapshot ? EndpointUpdateKind::snapshot : EndpointUpdateKind::delta, list);
  execute_actions(number);
}

void FleetSimulation::execute_actions(std::uint32_t number) {
  Gateway& g = gateways_[number];
  actions_.clear();
  std::swap(actions_, g.policy->actions());
  for (const load_balancer::Action& action : actions_) {
    std::visit([&](const auto& typed_action) { execute(number, typed_action); }, action);
  }
}

// Null: the request has ended and its slot may hold another one.
Request* FleetSimulation::find_request(load_balancer::RequestId id) {
  return requests_.find(static_cast<std::uint32_t>(id), static_cast<std::uint32_t>(id >> 32));
}

void FleetSimulation::finish_request(std::uint32_t number, load_balancer::RequestId id,
                                     ResponseKind answer, RequestOutcome outcome,
                                     Duration retry_after) {
  const Request* request = find_request(id);
  if (!request || request->gateway != number) {
    return;
  }
  const auto slot = static_cast<std::uint32_t>(id);
  invariant_checker_.response_sent(now_, id, answer);
  if (!request->ended) {
    respond_to_client(slot, outcome, retry_after);
  }
  release_if_finished(slot);
}

void FleetSimulation::execute(std::uint32_t number, const load_balancer::SendAttempt& action) {
  if (find_request(action.request)) {
    send_attempt(number, action);
  }
}

void FleetSimulation::execute(std::uint32_t number, const load_balancer::RejectRequest& action) {
  finish_request(number, action.request, ResponseKind::refused, RequestOutcome::refused,
                 action.retry_after);
}

void FleetSimulation::execute(std::uint32_t number, const load_balancer::FailRequest& action) {
  finish_request(number, action.request, ResponseKind::failed, RequestOutcome::failed, Duration{});
}

void FleetSimulation::execute(std::uint32_t, const load_balancer::CancelAttempt& action) {
  const Request* request = find_request(action.request);
  if (!request) {
    return;
  }
  for (std::uint32_t i = 0; i < request->attempt_count; ++i) {
    const Attempt* attempt = attempts_.find(request->attempts[i], request->attempt_generations[i]);
    if (attempt && !attempt->finished && attempt->number == action.attempt) {
      add(now_, {EventKind::attempt_ends, static_cast<std::uint8_t>(AttemptOutcome::cancelled),
                 request->attempts[i], attempt->generation});
    }
  }
}

void FleetSimulation::execute(std::uint32_t number,
                              const load_balancer::CloseIdleConnections& action) {
  Gateway& gateway = gateways_[number];
  const std::uint32_t host = host_index_of(gateway.policy->address(action.host));
  if (host >= hosts_.size()) {
    return;  // the policy has removed the host since
  }
  for (std::size_t closed = gateway.connections->close_idle(host); closed > 0; --closed) {
    hosts_[host].model.close_connection();
  }
}

void FleetSimulation::execute(std::uint32_t number, const load_balancer::ScheduleWakeup& action) {
  Gateway& gateway = gateways_[number];
  if (gateway.wake_at != kNever && gateway.wake_at > now_ && gateway.wake_at <= action.at) {
    return;
  }
  gateway.wake_at = std::max(action.at, now_ + Duration(1));
  add(gateway.wake_at, {EventKind::gateway_wakeup, 0, number, gateway.epoch});
}

void FleetSimulation::execute(std::uint32_t number, const load_balancer::PollEndpoints&) {
  const Gateway& gateway = gateways_[number];
  bool is_snapshot = false;
  const std::size_t lines = discovery_.changes_since(gateway.revision, is_snapshot).size();
  const DiscoveryModel::Call call = discovery_.call(now_, lines);
  add(call.at + from_millis(scenario_.discovery.spread_ms.draw(network_random_)),
      {EventKind::list_response, static_cast<std::uint8_t>(call.ok), number, gateway.epoch});
}

// NOLINTNEXTLINE(readability-function-size): too long
void FleetSimulation::send_attempt(std::uint32_t number, const load_balancer::SendAttempt& action) {
  Gateway& g = gateways_[number];
  const auto request_slot = static_cast<std::uint32_t>(action.request);
  const std::uint32_t host = host_index_of(g.policy->address(action.host));
  if (host >= hosts_.size()) {
    throw std::logic_error("the policy sent an attempt to a host that is in no endpoint list");
  }

  const std::uint32_t slot = attempts_.acquire();
  Attempt& a = attempts_[slot];
  Request& r = requests_[request_slot];
  a.request = request_slot;
  a.number = action.attempt;
  a.host = host;
  a.gateway = number;
  a.host_incarnation = hosts_[host].incarnation;
  a.sent_at = now_;
  a.policy_host = action.host;
  if (r.in_flight > 0) {
    ++metrics_.second_copies;
  }
  if (r.attempt_count < kMaxAttempts) {
    r.attempts[r.attempt_count] = slot;
    r.attempt_generations[r.attempt_count++] = a.generation;
  }
  ++r.in_flight;
  ++attempts_in_flight_;
  ++metrics_.attempts;
  if (hosts_[host].zone != g.zone) {
    ++metrics_.cross_zone_attempts;
  }
  invariant_checker_.attempt_sent(now_, action.request, number, host);

  const Duration delay = delay_to_host(number, host);
  const Time limit =
      action.timeout > Duration{} ? std::min(now_ + action.timeout, r.deadline) : r.deadline;
  add(limit, {EventKind::attempt_timeout, 0, slot, a.generation});
  Host& h = hosts_[host];
  std::size_t closed = 0;
  const bool reused = g.connections->reuse(now_, host, closed);
  for (; closed > 0; --closed) {
    h.model.close_connection();
  }
  if (reused) {
    a.holds_connection = true;
    return add(now_ + delay, {EventKind::attempt_at_host, 0, slot, a.generation});
  }
  a.on_new_connection = true;
  ++metrics_.handshakes;
  const auto failed = static_cast<std::uint8_t>(AttemptOutcome::connect_failed);
  if (!h.unreachable && !(h.model.running() && !h.model.collapse())) {
    return add(now_ + 2 * delay, {EventKind::attempt_ends, failed, slot, a.generation});
  }
  if (h.unreachable || !h.model.open_connection()) {
    return add(now_ + from_millis(scenario_.hosts.connections.timeout_ms),
               {EventKind::attempt_ends, failed, slot, a.generation});
  }
  a.holds_connection = true;
  add(now_ + delay * (1 + 2 * static_cast<int>(scenario_.hosts.connections.handshake_trips)),
      {EventKind::attempt_at_host, 0, slot, a.generation});
}

// NOLINTNEXTLINE(readability-function-size): too long
void FleetSimulation::finish_attempt(std::uint32_t slot, AttemptOutcome outcome) {
  Attempt& a = attempts_[slot];
  if (a.finished) {
    return;
  }
  a.finished = true;
  --attempts_in_flight_;
  Host& h = hosts_[a.host];
  Gateway& g = gateways_[a.gateway];
  const bool aborted = outcome == AttemptOutcome::timeout || outcome == AttemptOutcome::cancelled;
  if (a.holds_connection && a.host_incarnation == h.incarnation) {
    if (aborted || outcome == AttemptOutcome::reset || outcome == AttemptOutcome::connect_failed) {
      h.model.close_connection();
    } else {
      g.connections->release(now_, a.host);
    }
  }
  if (aborted && a.reached_host && !h.unreachable) {
    add(now_ + delay_to_host(a.gateway, a.host),
        {EventKind::host_cancel, 0, a.host, a.host_incarnation,
         (static_cast<std::uint64_t>(a.generation) << 32) | slot});
  }
  ++metrics_.outcomes[static_cast<std::size_t>(outcome)];

  Request& r = requests_[a.request];
  --r.in_flight;
  const std::uint64_t key = request_key(a.request);
  if (outcome == AttemptOutcome::rejected_by_host || outcome == AttemptOutcome::connect_failed) {
    invariant_checker_.attempt_not_executed(key, a.number);
  }
  invariant_checker_.attempt_ended(now_, key);
  load_balancer::AttemptResult result;
  result.request = key;
  result.attempt = a.number;
  result.outcome = outcome;
  result.elapsed = now_ - a.sent_at;
  if (outcome == AttemptOutcome::success && !r.ended) {
    invariant_checker_.response_sent(now_, key, ResponseKind::served);
    metrics_.work_useful += a.work;
    respond_to_client(a.request, RequestOutcome::served, {});
  }
  result.is_final = r.ended;
  const std::uint32_t gateway = a.gateway;
  const std::uint32_t request = a.request;
  if (a.load_report && !aborted) {
    g.policy->on_load_report(now_, a.policy_host,
                             {a.load_report->util, from_millis(a.load_report->latency_ms)});
  }
  attempts_.release(slot);
  g.policy->on_attempt_result(now_, result);
  execute_actions(gateway);
  release_if_finished(request);
}

// --- Hosts

void FleetSimulation::add_host(const HostPlacement& place, bool cold) {
  const auto number = static_cast<std::uint32_t>(hosts_.size());
  hosts_.emplace_back(place, number, seed_, now_, cold);
  metrics_.load.emplace_back(
      static_cast<std::size_t>(std::max(to_seconds(now_ - traffic_start_), 0.0)), -1.0f);
  if (now_ < traffic_start_) {
    discovery_.publish_immediately(now_,
                                   {number, EndpointState::active, hosts_[number].started_at});
  }
}

// NOLINTNEXTLINE(readability-function-size): too long
void FleetSimulation::arrive_at_host(std::uint32_t slot) {
  Attempt& a = attempts_[slot];
  if (a.finished) {
    return;
  }
  Host& h = hosts_[a.host];
  if (h.unreachable) {
    return;  // no response: the attempt times out
  }
  const Duration back = delay_to_host(a.gateway, a.host);
  const auto end_attempt = [&](AttemptOutcome o, Duration after) {
    add(now_ + after, {EventKind::attempt_ends, static_cast<std::uint8_t>(o), slot, a.generation});
  };
  if (a.host_incarnation != h.incarnation || !h.model.running() || h.model.collapse()) {
    return end_attempt(a.on_new_connection ? AttemptOutcome::connect_failed : AttemptOutcome::reset,
                       back);
  }
  Request& r = requests_[a.request];
  const std::uint64_t key = request_key(a.request);
  const auto mark_accepted = [&] {
    a.reached_host = true;
    invariant_checker_.attempt_received(now_, key, a.number, a.host, h.zone, h.cell, a.sent_at);
  };
  const Condition& c = h.model.condition();
  if (h.random.chance(c.reset_share)) {
    mark_accepted();
    return end_attempt(AttemptOutcome::reset, back);
  }
  if (h.random.chance(c.error_share)) {
    mark_accepted();
    return end_attempt(AttemptOutcome::server_error, back + from_seconds(kFastErrorSeconds));
  }
  Job job;
  job.id = (static_cast<std::uint64_t>(a.generation) << 32) | slot;
  job.work = r.arrival.work;
  job.key = r.arrival.key;
  job.has_key = true;
  job.handshake = a.on_new_connection;
  job.deadline = r.deadline;
  const auto known = gateways_[a.gateway].known_hosts.find(a.host);
  job.sender_knows_start =
      known != gateways_[a.gateway].known_hosts.end() && known->second.started == h.started_at;
  const bool was_running = !h.model.collapse();
  const Admission admission = h.model.submit(now_, job, finished_jobs_);
  if (was_running && h.model.collapse()) {
    const Collapse& f = *h.model.collapse();
    invariant_checker_.cold_host_collapsed(now_, a.host, f.informed_share, f.work_sent,
                                           f.work_limit);
    return stop_host(a.host);
  }
  if (admission == Admission::rejected) {
    a.load_report = h.model.load_report(now_);
    end_attempt(AttemptOutcome::rejected_by_host, back);
  } else {
    mark_accepted();
  }
  process_finished_jobs(a.host);
}

// Sends the responses of the host's finished jobs and schedules its next step.
void FleetSimulation::process_finished_jobs(std::uint32_t number) {
  Host& h = hosts_[number];
  for (const FinishedJob& e : finished_jobs_) {
    const auto slot = static_cast<std::uint32_t>(e.id);
    Attempt* a = attempts_.find(slot, static_cast<std::uint32_t>(e.id >> 32));
    if (!a || a->finished) {
      continue;
    }
    a->work = e.work;
    AttemptOutcome outcome = e.outcome == FinishedJob::Outcome::expired
                                 ? AttemptOutcome::rejected_by_host
                                 : AttemptOutcome::success;
    if (outcome == AttemptOutcome::success && h.random.chance(h.model.traits().error_rate)) {
      outcome = AttemptOutcome::server_error;
    }
    if (outcome == AttemptOutcome::success &&
        h.random.chance(h.model.condition().malformed_share)) {
      outcome = AttemptOutcome::reset;
    }
    if (h.unreachable) {
      continue;  // the response is lost
    }
    if (outcome != AttemptOutcome::reset) {
      a->load_report = h.model.load_report(now_);
    }
    add(now_ + delay_to_host(a->gateway, number) + h.model.condition().response_delay,
        {EventKind::attempt_ends, static_cast<std::uint8_t>(outcome), slot, a->generation});
  }
  finished_jobs_.clear();
  const Time next = h.model.next_event();
  if (next == kNever ||
      (h.next_step_at != kNever && h.next_step_at <= next && h.next_step_at > now_)) {
    return;
  }
  h.next_step_at = next;
  add(next, {EventKind::host_step, 0, number});
}

void FleetSimulation::close_connections(std::uint32_t number) {
  for (Gateway& g : gateways_) {
    if (g.connections) {
      g.connections->close_idle(number);
    }
  }
  hosts_[number].model.close_all_connections();
  for (std::uint32_t slot = 0; slot < attempts_.size(); ++slot) {
    Attempt& a = attempts_[slot];
    if (!a.live || a.finished || a.host != number || !a.holds_connection) {
      continue;
    }
    a.holds_connection = false;
    add(now_ + delay_to_host(a.gateway, number),
        {EventKind::attempt_ends,
         static_cast<std::uint8_t>(a.reached_host ? AttemptOutcome::reset
                                                  : AttemptOutcome::connect_failed),
         slot, a.generation});
  }
}

void FleetSimulation::stop_host(std::uint32_t number) {
  Host& h = hosts_[number];
  h.model.advance(now_, finished_jobs_);
  process_finished_jobs(number);
  ++h.incarnation;
  if (!h.unreachable) {
    close_connections(number);
  }
  h.model.stop(now_);
  h.next_step_at = kNever;
  discovery_.publish(now_, {number, EndpointState::removed, h.started_at});
  push_list_changes();
}

void FleetSimulation::start_host(std::uint32_t number) {
  Host& h = hosts_[number];
  ++h.incarnation;
  h.model.restart(now_);
  h.started_at = now_;
  discovery_.publish(now_, {number, EndpointState::active, now_});
  push_list_changes();
}

void FleetSimulation::update_condition(std::uint32_t number) {
  Condition c;
  for (std::uint32_t t : hosts_[number].active_faults) {
    c = combine(c, fault_schedule_.conditions[t]);
  }
  hosts_[number].model.set_condition(now_, c, finished_jobs_);
  process_finished_jobs(number);
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): too long
void FleetSimulation::apply_fault_step(const FaultStep& step) {
  switch (step.kind) {
    case FaultStepKind::condition_on:
    case FaultStepKind::condition_off:
      for (std::uint32_t h : step.targets) {
        std::erase(hosts_[h].active_faults, step.fault);
        if (step.kind == FaultStepKind::condition_on) {
          hosts_[h].active_faults.push_back(step.fault);
        }
        update_condition(h);
      }
      break;
    case FaultStepKind::host_stop:
      for (std::uint32_t h : step.targets) {
        stop_host(h);
      }
      break;
    case FaultStepKind::host_start:
      for (std::uint32_t h : step.targets) {
        start_host(h);
      }
      break;
    case FaultStepKind::host_add: {
      const HostPlacement place = topology_.hosts[step.targets[0]];
      add_host(place, true);
      const auto number = static_cast<std::uint32_t>(hosts_.size() - 1);
      discovery_.publish(now_, {number, EndpointState::active, now_});
      push_list_changes();
      break;
    }
    case FaultStepKind::host_drain:
      for (std::uint32_t h : step.targets) {
        discovery_.publish(now_, {h, EndpointState::draining, hosts_[h].started_at});
      }
      push_list_changes();
      break;
    case FaultStepKind::host_unreachable:
      for (std::uint32_t h : step.targets) {
        hosts_[h].unreachable = true;
      }
      break;
    case FaultStepKind::host_reachable:
      for (std::uint32_t h : step.targets) {
        hosts_[h].unreachable = false;
        close_connections(h);
      }
      break;
    case FaultStepKind::gateway_stop:
      for (std::uint32_t g : step.targets) {
        stop_gateway(g);
        add(now_ + from_seconds(scenario_.gateways.failure_detection_s.draw(edge_random_)),
            {EventKind::gateway_failure_detected, 0, g, gateways_[g].epoch});
      }
      break;
    case FaultStepKind::gateway_start:
      for (std::uint32_t g : step.targets) {
        if (!gateways_[g].alive) {
          start_gateway(g);
        }
      }
      break;
    case FaultStepKind::list_delay_increase:
    case FaultStepKind::list_delay_decrease:
      extra_list_delay_s_ +=
          step.kind == FaultStepKind::list_delay_increase ? step.amount : -step.amount;
      discovery_.set_extra_delay(from_seconds(std::max(extra_list_delay_s_, 0.0)));
      break;
    case FaultStepKind::discovery_down:
    case FaultStepKind::discovery_up:
      discovery_.set_down(step.kind == FaultStepKind::discovery_down);
      if (step.kind == FaultStepKind::discovery_down) {
        for (std::uint32_t g = 0; g < gateways_.size(); ++g) {
          if (gateways_[g].is_watching) {
            add(now_, {EventKind::list_response, 0, g, gateways_[g].epoch});
          }
        }
      }
      break;
  }
}

// Sends the changes of the host list to the gateways that watch it and schedules the next change.
void FleetSimulation::push_list_changes() {
  if (!discovery_.advance(now_).empty()) {
    for (std::uint32_t g = 0; g < gateways_.size(); ++g) {
      if (gateways_[g].alive && gateways_[g].is_watching) {
        add(now_ + from_millis(scenario_.discovery.spread_ms.draw(network_random_)),
            {EventKind::list_pushed, 0, g, gateways_[g].epoch});
      }
    }
  }
  const Time next = discovery_.next_event();
  if (next == kNever || (next_list_change_at_ > now_ && next_list_change_at_ <= next)) {
    return;  // scheduled already
  }
  next_list_change_at_ = next;
  add(next, {EventKind::list_changes});
}

void FleetSimulation::update_periodically() {
  add(now_ + kUpdateInterval, {EventKind::periodic_update});
  double threshold_sum = 0;
  std::size_t alive = 0;
  for (Gateway& g : gateways_) {
    if (!g.alive) {
      continue;
    }
    threshold_sum += g.policy->shedding_threshold();
    ++alive;
    g.connections->close_expired(now_, [&](std::uint32_t host, std::size_t count) {
      for (; count > 0; --count) {
        hosts_[host].model.close_connection();
      }
    });
  }
  if (now_ <= traffic_start_ || now_ > traffic_start_ + from_seconds(scenario_.length_s)) {
    return;
  }
  metrics_.shedding_thresholds.push_back(alive > 0 ? threshold_sum / static_cast<double>(alive)
                                                   : 0);
  for (std::uint32_t h = 0; h < hosts_.size(); ++h) {
    const HostModel& m = hosts_[h].model;
    metrics_.load[h].push_back(m.running() && !hosts_[h].unreachable
                                   ? static_cast<float>(m.active_jobs()) /
                                         static_cast<float>(m.traits().cores)
                                   : -1.0f);
  }
}

}  // namespace

RunResult simulate_run(const Scenario& scenario, std::uint64_t seed, const PolicyMaker& policy,
                       std::atomic<unsigned>* progress) {
  return FleetSimulation(scenario, seed, policy).run(progress);
}

}  // namespace gateway::lab
