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

constexpr Time kMorning = std::chrono::seconds(100);        // zero means "long ago" to the module
constexpr Duration kSettleIn = std::chrono::seconds(1);     // gateways run before the clients come
constexpr Duration kAfterwards = std::chrono::seconds(60);  // at most, after the last try
constexpr Duration kTidy = std::chrono::seconds(1);
constexpr double kFastErrorS = 0.002;

enum class What : std::uint8_t {
  first_try,
  at_gateway,
  unreachable,
  at_host,
  attempt_ends,
  attempt_times_out,
  host_cancels,
  host_steps,
  client_hears,
  client_gives_up,
  client_leaves,
  comes_again,
  gateway_wakes,
  list_moves,
  list_answers,
  list_pushed,
  trouble_steps,
  front_notices,
  tidy
};

struct Event {
  What what;
  std::uint8_t detail = 0;  // AttemptOutcome of attemptEnds; of listAnswers: whether it came
  std::uint32_t a = 0;      // slot of a request or attempt; host, gateway or wish
  std::uint32_t b = 0;      // its generation or epoch
  std::uint64_t c = 0;
};

// Things kept in numbered places that are used again; what named an earlier one is told by its
// generation.
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
  bool live = false, at_gateway = false, ended = false, client_done = false;
  RequestOutcome end = RequestOutcome::unanswered;
  Arrival what;  // kept here too: attempts may be out when the client's wish is long over
  Duration retry_after{};
  Time deadline{};
  std::uint32_t count = 0, out = 0;
  std::array<std::uint32_t, kMostAttempts> attempts{}, generations{};
};

struct Attempt {
  std::uint32_t generation = 0, request = 0, number = 0, host = 0, gateway = 0;
  std::uint32_t boot = 0;  // of the host
  bool live = false, settled = false, fresh = false, counted = false, arrived = false;
  Time sent_at{};
  double work = 0;                                        // that it cost the host, once done
  load_balancer::HostId known_as = load_balancer::kNone;  // by the policy
  std::optional<LoadReport> load;                         // that came with its answer
};

struct Gateway {
  std::unique_ptr<Policy> policy;
  std::unique_ptr<ConnectionModel> lines;
  std::uint32_t zone = 0, epoch = 0, starts = 0;
  bool alive = false, watching = false;
  bool seen_alive = true;  // by the front
  std::uint64_t revision = 0;
  std::map<std::uint32_t, ListedHost> known;
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
        luck(seed, "luck", number) {
    address += std::to_string(number);
  }

  HostModel model;
  std::string address;
  std::uint32_t zone, kind, cell, boot = 1;
  bool cut = false;
  Time started_at;  // zero: long ago
  std::vector<std::uint32_t> troubles;
  Time step_at = kNever;
  Random luck;
};

std::uint32_t number_of(const std::string& address) {  // UINT32_MAX: none
  std::uint32_t number = 0;
  const char* last = address.data() + address.size();
  if (address.size() < 2 || std::from_chars(address.data() + 1, last, number).ptr != last) {
    return UINT32_MAX;
  }
  return number;
}

class Fleet {
 public:
  Fleet(const Scenario& scenario, std::uint64_t seed, const PolicyMaker& policy)
      : s_(scenario),
        seed_(seed),
        make_policy_(policy),
        layout_(draw_topology(scenario, seed)),
        plan_(schedule_faults(scenario, layout_, seed)),
        tally_(scenario),
        referee_(scenario.rules, scenario.classes),
        discovery_(scenario.discovery, seed),
        begin_(kMorning + kSettleIn),
        traffic_(scenario, seed, layout_.request_rate, begin_),
        clients_(scenario, seed, begin_, tally_),
        network_(seed, "packets"),
        front_(seed, "front") {}

  DayResult play(std::atomic<unsigned>* progress);

 private:
  void set_up();
  void handle(const Event& e);

  // The network.
  Duration hop(double mean) {
    return from_seconds(mean * std::max(1 + s_.network.jitter * network_.normal(), 0.2));
  }
  Duration to_host(std::uint32_t gateway, std::uint32_t host) {
    return hop(layout_.delay[gateways_[gateway].zone][hosts_[host].zone]);
  }
  Duration to_client() { return hop(layout_.client_delay); }

  // Clients.
  void next_first_try();
  void start_try(std::uint32_t wish);
  std::uint32_t choose_gateway(std::uint32_t zone);
  void renew_front();
  void arrive_at_gateway(std::uint32_t slot);
  void tell_client(std::uint32_t slot, RequestOutcome end, Duration retry_after);
  void client_ends(std::uint32_t slot, RequestOutcome end);
  void drop_if_over(std::uint32_t slot);

  // Gateways.
  void carry_out(std::uint32_t gateway);
  void execute(std::uint32_t gateway, const load_balancer::SendAttempt& action);
  void execute(std::uint32_t gateway, const load_balancer::RejectRequest& action);
  void execute(std::uint32_t gateway, const load_balancer::FailRequest& action);
  void execute(std::uint32_t gateway, const load_balancer::CancelAttempt& action);
  void execute(std::uint32_t gateway, const load_balancer::CloseIdleConnections& action);
  void execute(std::uint32_t gateway, const load_balancer::ScheduleWakeup& action);
  void execute(std::uint32_t gateway, const load_balancer::PollEndpoints& action);
  void execute(std::uint32_t, const load_balancer::ForgetHost&) {}  // addresses are used here
  void execute(std::uint32_t, const load_balancer::LogMessage&) {}
  Request* find_request(load_balancer::RequestId id);
  void end_request(std::uint32_t gateway, load_balancer::RequestId id, Answer answer,
                   RequestOutcome end, Duration retry_after);
  void send(std::uint32_t gateway, const load_balancer::SendAttempt& action);
  void settle(std::uint32_t slot, AttemptOutcome outcome);
  void start_gateway(std::uint32_t gateway);
  void stop_gateway(std::uint32_t gateway);
  void deliver_list(std::uint32_t gateway, bool answer);
  load_balancer::Endpoint entry_of(const ListedHost& listed) const;

  // Hosts.
  void arrive_at_host(std::uint32_t slot);
  void after_host(std::uint32_t host);
  void add_host(const HostPlacement& place, bool cold);
  void stop_host(std::uint32_t host);
  void start_host(std::uint32_t host);
  void close_lines(std::uint32_t host);
  void renew_condition(std::uint32_t host);
  void carry_out(const FaultStep& step);
  void move_list();

  void tidy();
  std::uint64_t key_of(std::uint32_t slot) {
    return (static_cast<std::uint64_t>(requests_[slot].generation) << 32) | slot;
  }
  void add(Time at, Event event) { agenda_.add(std::max(at, now_), event); }

  const Scenario& s_;
  std::uint64_t seed_;
  const PolicyMaker& make_policy_;
  FleetTopology layout_;
  FaultSchedule plan_;
  RunMetrics tally_;
  InvariantChecker referee_;
  DiscoveryModel discovery_;
  Time begin_, now_ = kMorning;
  Traffic traffic_;
  Clients clients_;
  Random network_, front_;
  EventQueue<Event> agenda_;
  std::vector<Gateway> gateways_;
  std::vector<std::vector<std::uint32_t>>
      seen_;  // by the front: gateways by zone; last: all of them
  std::deque<Host> hosts_;
  Slab<Request> requests_;
  Slab<Attempt> attempts_;
  std::vector<FinishedJob> ended_;
  std::vector<load_balancer::Action> batch_;
  Arrival coming_;
  bool traffic_over_ = false;
  std::uint64_t events_ = 0;
  std::size_t attempts_out_ = 0;
  Time list_moves_at_{};
  double stale_ = 0;  // seconds by which the list is further behind
};

// --- The day
// ----------------------------------------------------------------------------------------------

void Fleet::set_up() {
  const bool cold = s_.hosts.start == "cold";
  for (const HostPlacement& place : layout_.hosts) {
    add_host(place, cold);
  }
  for (std::uint32_t g = 0; g < layout_.gateway_zones.size(); ++g) {
    gateways_.emplace_back();
    gateways_[g].zone = layout_.gateway_zones[g];
    for (std::uint32_t h = 0; h < hosts_.size(); ++h) {
      gateways_[g].known[h] = {h, EndpointState::active, hosts_[h].started_at};
    }
    gateways_[g].revision = discovery_.revision();
  }
  for (std::uint32_t g = 0; g < gateways_.size(); ++g) {
    start_gateway(g);
  }
  for (std::uint32_t i = 0; i < plan_.steps.size(); ++i) {
    add(begin_ + plan_.steps[i].at, {What::trouble_steps, 0, i});
  }
  add(now_ + kTidy, {What::tidy});
  next_first_try();
}

DayResult Fleet::play(std::atomic<unsigned>* progress) {
  set_up();
  const Time end = begin_ + from_seconds(s_.length_s);
  while (agenda_.next_at() < end + kAfterwards) {
    if (traffic_over_ && clients_.open_operations() == 0 && attempts_out_ == 0 && now_ >= end) {
      break;
    }
    now_ = agenda_.next_at();
    handle(agenda_.pop());
    if (++events_ % 4096 == 0 && progress) {
      *progress = static_cast<unsigned>(
          std::clamp(1000 * to_seconds(now_ - begin_) / s_.length_s, 0.0, 1000.0));
    }
  }
  for (Host& h : hosts_) {
    tally_.work_done += h.model.work_done();
  }
  tally_.list_lines = discovery_.lines();
  tally_.troubles = plan_.intervals;
  DayResult result{
      s_.name, seed_, tally_, referee_.counts(), referee_.first(), to_seconds(now_ - kMorning),
      events_};
  for (Breach& b : result.first_breaches) {
    b.at -= begin_;
  }
  return result;
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): too long
void Fleet::handle(const Event& e) {
  switch (e.what) {
    case What::first_try: {
      const std::uint32_t wish = clients_.begin_operation(coming_);
      next_first_try();
      return start_try(wish);
    }
    case What::comes_again:
      return start_try(e.a);
    case What::at_gateway:
      if (requests_.find(e.a, e.b)) {
        arrive_at_gateway(e.a);
      }
      return;
    case What::unreachable:
      if (requests_.find(e.a, e.b)) {
        client_ends(e.a, RequestOutcome::unreachable);
      }
      return;
    case What::at_host:
      if (attempts_.find(e.a, e.b)) {
        arrive_at_host(e.a);
      }
      return;
    case What::attempt_ends:
      if (attempts_.find(e.a, e.b)) {
        settle(e.a, static_cast<AttemptOutcome>(e.detail));
      }
      return;
    case What::attempt_times_out:
      if (attempts_.find(e.a, e.b)) {
        settle(e.a, AttemptOutcome::timeout);
      }
      return;
    case What::host_cancels:
      if (hosts_[e.a].boot != e.b || hosts_[e.a].cut) {
        return;
      }
      hosts_[e.a].model.cancel(now_, e.c, ended_);
      return after_host(e.a);
    case What::host_steps:
      if (hosts_[e.a].step_at != now_) {
        return;  // an earlier step was asked for meanwhile
      }
      hosts_[e.a].step_at = kNever;
      hosts_[e.a].model.advance(now_, ended_);
      return after_host(e.a);
    case What::client_hears:
      if (requests_.find(e.a, e.b)) {
        client_ends(e.a, requests_[e.a].end);
      }
      return;
    case What::client_gives_up: {
      Request* r = requests_.find(e.a, e.b);
      if (!r || r->client_done) {
        return;
      }
      if (r->at_gateway && !r->ended) {
        referee_.client_gave_up(now_, key_of(e.a));
        r->ended = true;
        const std::uint32_t g = r->gateway;
        client_ends(e.a, RequestOutcome::unanswered);
        gateways_[g].policy->on_client_disconnected(now_,
                                                    (static_cast<std::uint64_t>(e.b) << 32) | e.a);
        return carry_out(g);
      }
      return client_ends(e.a, RequestOutcome::unanswered);
    }
    case What::client_leaves: {
      Request* r = requests_.find(e.a, e.b);
      if (!r || r->client_done || r->ended) {
        return;
      }
      const std::uint32_t g = r->gateway;
      const bool there = r->at_gateway;
      referee_.excused(key_of(e.a));
      r->ended = true;
      client_ends(e.a, RequestOutcome::unanswered);
      if (!there) {
        return;
      }
      gateways_[g].policy->on_client_disconnected(now_,
                                                  (static_cast<std::uint64_t>(e.b) << 32) | e.a);
      return carry_out(g);
    }
    case What::gateway_wakes: {
      Gateway& g = gateways_[e.a];
      if (!g.alive || g.epoch != e.b || g.wake_at != now_) {
        return;
      }
      g.wake_at = kNever;
      g.policy->on_wakeup(now_);
      return carry_out(e.a);
    }
    case What::list_moves:
      return move_list();
    case What::list_answers:
    case What::list_pushed: {
      Gateway& g = gateways_[e.a];
      if (!g.alive || g.epoch != e.b) {
        return;
      }
      if (e.what == What::list_answers && e.detail == 0) {
        g.watching = false;
        g.policy->on_endpoint_update(now_, EndpointUpdateKind::unavailable, {});
        return carry_out(e.a);
      }
      if (e.what == What::list_answers) {
        g.watching = true;
      }
      return deliver_list(e.a, e.what == What::list_answers);
    }
    case What::trouble_steps:
      return carry_out(plan_.steps[e.a]);
    case What::front_notices:
      if (gateways_[e.a].epoch == e.b) {
        gateways_[e.a].seen_alive = false;
      }
      return renew_front();
    case What::tidy:
      return tidy();
  }
}

// --- Clients
// ----------------------------------------------------------------------------------------------

void Fleet::next_first_try() {
  if (traffic_.next(coming_)) {
    add(coming_.at, {What::first_try});
  } else {
    traffic_over_ = true;
  }
}

// A plain front spreads clients over the gateways of their zone that it takes for alive; with none,
// over all.
std::uint32_t Fleet::choose_gateway(std::uint32_t zone) {
  const std::vector<std::uint32_t>& near = seen_[zone];
  if (!near.empty()) {
    return draw_gateway(s_.gateways, near, front_);
  }
  const std::vector<std::uint32_t>& any = seen_.back();
  if (!any.empty()) {
    return draw_gateway(s_.gateways, any, front_);
  }
  return static_cast<std::uint32_t>(front_.below(gateways_.size()));
}

void Fleet::renew_front() {
  seen_.assign(s_.zones.size() + 1, {});
  for (std::uint32_t g = 0; g < gateways_.size(); ++g) {
    if (!gateways_[g].seen_alive) {
      continue;
    }
    seen_[gateways_[g].zone].push_back(g);
    seen_.back().push_back(g);
  }
}

void Fleet::start_try(std::uint32_t wish) {
  const Clients::RequestPlan plan = clients_.begin_request(now_, wish);
  const std::uint32_t slot = requests_.take();
  Request& r = requests_[slot];
  r.wish = wish;
  r.what = clients_.arrival(wish);
  r.gateway = choose_gateway(r.what.zone);
  r.deadline = now_ + plan.timeout;
  add(now_ + to_client(), {What::at_gateway, 0, slot, r.generation});
  add(r.deadline + from_millis(s_.rules.response_slack_ms),
      {What::client_gives_up, 0, slot, r.generation});
  if (plan.disconnect_after) {
    add(now_ + *plan.disconnect_after, {What::client_leaves, 0, slot, r.generation});
  }
}

void Fleet::arrive_at_gateway(std::uint32_t slot) {
  Request& r = requests_[slot];
  if (r.client_done) {
    return drop_if_over(slot);
  }
  Gateway& g = gateways_[r.gateway];
  if (!g.alive) {
    return add(now_ + to_client(), {What::unreachable, 0, slot, r.generation});
  }
  r.at_gateway = true;
  r.epoch = g.epoch;
  const Arrival& what = r.what;
  referee_.taken(now_, key_of(slot), what.cls, r.gateway, r.deadline);
  load_balancer::Request q;
  q.id = key_of(slot);
  q.class_index = what.cls;
  q.time_remaining = r.deadline - now_;
  q.key = what.key;
  q.has_key = true;
  const std::uint32_t gateway = r.gateway;
  g.policy->on_request(now_, q);
  carry_out(gateway);
}

void Fleet::tell_client(std::uint32_t slot, RequestOutcome end, Duration retry_after) {
  Request& r = requests_[slot];
  r.ended = true;
  r.end = end;
  r.retry_after = retry_after;
  if (!r.client_done) {
    add(now_ + to_client(), {What::client_hears, 0, slot, r.generation});
  }
}

void Fleet::client_ends(std::uint32_t slot, RequestOutcome end) {
  Request& r = requests_[slot];
  if (r.client_done) {
    return;
  }
  r.client_done = true;
  if (end == RequestOutcome::served && now_ > r.deadline) {
    end = RequestOutcome::unanswered;  // nobody waits any more
  }
  if (const auto wait = clients_.end_request(now_, r.wish, end, r.retry_after)) {
    add(now_ + *wait, {What::comes_again, 0, r.wish});
  }
  drop_if_over(slot);
}

void Fleet::drop_if_over(std::uint32_t slot) {
  Request& r = requests_[slot];
  if (!r.live || !r.client_done || r.out > 0 || (r.at_gateway && !r.ended)) {
    return;
  }
  referee_.forget(key_of(slot));
  requests_.give(slot);
}

// --- Gateways
// ---------------------------------------------------------------------------------------------

void Fleet::start_gateway(std::uint32_t number) {
  Gateway& g = gateways_[number];
  g.alive = g.seen_alive = true;
  renew_front();
  ++g.epoch;
  g.wake_at = kNever;
  g.watching = false;
  g.lines = std::make_unique<ConnectionModel>(from_seconds(s_.hosts.connections.idle_close_s));
  const std::uint64_t start[2] = {number, g.starts++};
  const load_balancer::Settings settings = balancer_settings(
      s_, number, s_.zones[g.zone].name, XXH3_64bits_withSeed(start, sizeof start, seed_));
  g.policy = make_policy_(settings, now_);
  referee_.gateway_started(number);
  std::vector<load_balancer::Endpoint> list;
  for (const auto& [host, listed] : g.known) {
    list.push_back(entry_of(listed));
    referee_.told(now_, number, host, listed.state);
  }
  g.policy->on_endpoint_update(now_, EndpointUpdateKind::restored, list);
  carry_out(number);
}

void Fleet::stop_gateway(std::uint32_t number) {
  Gateway& g = gateways_[number];
  if (!g.alive) {
    return;
  }
  g.alive = g.watching = false;
  ++g.epoch;
  for (std::uint32_t slot = 0; slot < attempts_.size(); ++slot) {
    Attempt& a = attempts_[slot];
    if (!a.live || a.settled || a.gateway != number) {
      continue;
    }
    a.settled = true;
    --attempts_out_;
    Request& r = requests_[a.request];
    --r.out;
    if (a.counted) {
      hosts_[a.host].model.close_connection();
    }
    if (a.arrived && !hosts_[a.host].cut) {
      add(now_ + to_host(number, a.host),
          {What::host_cancels, 0, a.host, a.boot,
           (static_cast<std::uint64_t>(a.generation) << 32) | slot});
    }
    attempts_.give(slot);
  }
  for (std::uint32_t slot = 0; slot < requests_.size(); ++slot) {
    Request& r = requests_[slot];
    if (!r.live || !r.at_gateway || r.gateway != number || r.epoch + 1 != g.epoch) {
      continue;
    }
    referee_.excused(key_of(slot));
    if (!r.ended) {
      tell_client(slot, RequestOutcome::failed, {});  // a reset
    }
    drop_if_over(slot);
  }
  g.lines->drop_all([&](std::uint32_t host, std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      hosts_[host].model.close_connection();
    }
  });
  g.policy.reset();
}

load_balancer::Endpoint Fleet::entry_of(const ListedHost& listed) const {
  const Host& h = hosts_[listed.host];
  load_balancer::Endpoint e;
  e.address = h.address;
  e.zone = s_.zones[h.zone].name;
  e.machine_type = s_.hosts.kinds[h.kind].name;
  e.cell = h.cell;
  e.state = listed.state;
  e.started_at = listed.started;
  return e;
}

void Fleet::deliver_list(std::uint32_t number, bool answer) {
  Gateway& g = gateways_[number];
  bool whole = false;
  const std::vector<ListedHost> entries = discovery_.changes_since(g.revision, whole);
  g.revision = discovery_.revision();
  if (entries.empty() && !whole && !answer) {
    return;
  }
  if (whole) {
    for (const auto& [host, listed] : g.known) {
      referee_.told(now_, number, host, EndpointState::removed);
    }
    g.known.clear();
  }
  std::vector<load_balancer::Endpoint> list;
  for (const ListedHost& listed : entries) {
    list.push_back(entry_of(listed));
    referee_.told(now_, number, listed.host, listed.state);
    if (listed.state == EndpointState::removed) {
      g.known.erase(listed.host);
    } else {
      g.known[listed.host] = listed;
    }
  }
  g.policy->on_endpoint_update(
      now_, whole ? EndpointUpdateKind::snapshot : EndpointUpdateKind::delta, list);
  carry_out(number);
}

void Fleet::carry_out(std::uint32_t number) {
  Gateway& g = gateways_[number];
  batch_.clear();
  std::swap(batch_, g.policy->actions());
  for (const load_balancer::Action& action : batch_) {
    std::visit([&](const auto& typed_action) { execute(number, typed_action); }, action);
  }
}

// Null: the request has ended and its slot may have passed on.
Request* Fleet::find_request(load_balancer::RequestId id) {
  return requests_.find(static_cast<std::uint32_t>(id), static_cast<std::uint32_t>(id >> 32));
}

void Fleet::end_request(std::uint32_t number, load_balancer::RequestId id, Answer answer,
                        RequestOutcome end, Duration retry_after) {
  const Request* request = find_request(id);
  if (!request || request->gateway != number) {
    return;
  }
  const auto slot = static_cast<std::uint32_t>(id);
  referee_.answered(now_, id, answer);
  if (!request->ended) {
    tell_client(slot, end, retry_after);
  }
  drop_if_over(slot);
}

void Fleet::execute(std::uint32_t number, const load_balancer::SendAttempt& action) {
  if (find_request(action.request)) {
    send(number, action);
  }
}

void Fleet::execute(std::uint32_t number, const load_balancer::RejectRequest& action) {
  end_request(number, action.request, Answer::refused, RequestOutcome::refused, action.retry_after);
}

void Fleet::execute(std::uint32_t number, const load_balancer::FailRequest& action) {
  end_request(number, action.request, Answer::failed, RequestOutcome::failed, Duration{});
}

void Fleet::execute(std::uint32_t, const load_balancer::CancelAttempt& action) {
  const Request* request = find_request(action.request);
  if (!request) {
    return;
  }
  for (std::uint32_t i = 0; i < request->count; ++i) {
    const Attempt* attempt = attempts_.find(request->attempts[i], request->generations[i]);
    if (attempt && !attempt->settled && attempt->number == action.attempt) {
      add(now_, {What::attempt_ends, static_cast<std::uint8_t>(AttemptOutcome::cancelled),
                 request->attempts[i], attempt->generation});
    }
  }
}

void Fleet::execute(std::uint32_t number, const load_balancer::CloseIdleConnections& action) {
  Gateway& gateway = gateways_[number];
  const std::uint32_t host = number_of(gateway.policy->address(action.host));
  if (host >= hosts_.size()) {
    return;  // forgotten since
  }
  for (std::size_t closed = gateway.lines->drop_idle(host); closed > 0; --closed) {
    hosts_[host].model.close_connection();
  }
}

void Fleet::execute(std::uint32_t number, const load_balancer::ScheduleWakeup& action) {
  Gateway& gateway = gateways_[number];
  if (gateway.wake_at != kNever && gateway.wake_at > now_ && gateway.wake_at <= action.at) {
    return;
  }
  gateway.wake_at = std::max(action.at, now_ + Duration(1));
  add(gateway.wake_at, {What::gateway_wakes, 0, number, gateway.epoch});
}

void Fleet::execute(std::uint32_t number, const load_balancer::PollEndpoints&) {
  const Gateway& gateway = gateways_[number];
  bool whole = false;
  const std::size_t lines = discovery_.changes_since(gateway.revision, whole).size();
  const DiscoveryModel::Call call = discovery_.call(now_, lines);
  add(call.at + from_millis(s_.discovery.spread_ms.draw(network_)),
      {What::list_answers, static_cast<std::uint8_t>(call.ok), number, gateway.epoch});
}

// NOLINTNEXTLINE(readability-function-size): too long
void Fleet::send(std::uint32_t number, const load_balancer::SendAttempt& action) {
  Gateway& g = gateways_[number];
  const auto request_slot = static_cast<std::uint32_t>(action.request);
  const std::uint32_t host = number_of(g.policy->address(action.host));
  if (host >= hosts_.size()) {
    throw std::logic_error("the policy sends to a host that no list named");
  }

  const std::uint32_t slot = attempts_.take();
  Attempt& a = attempts_[slot];
  Request& r = requests_[request_slot];
  a.request = request_slot;
  a.number = action.attempt;
  a.host = host;
  a.gateway = number;
  a.boot = hosts_[host].boot;
  a.sent_at = now_;
  a.known_as = action.host;
  if (r.out > 0) {
    ++tally_.second_copies;
  }
  if (r.count < kMostAttempts) {
    r.attempts[r.count] = slot;
    r.generations[r.count++] = a.generation;
  }
  ++r.out;
  ++attempts_out_;
  ++tally_.attempts;
  if (hosts_[host].zone != g.zone) {
    ++tally_.crossings;
  }
  referee_.sent(now_, action.request, number, host);

  const Duration one = to_host(number, host);
  const Time limit =
      action.timeout > Duration{} ? std::min(now_ + action.timeout, r.deadline) : r.deadline;
  add(limit, {What::attempt_times_out, 0, slot, a.generation});
  Host& h = hosts_[host];
  std::size_t closed = 0;
  const bool reused = g.lines->reuse(now_, host, closed);
  for (; closed > 0; --closed) {
    h.model.close_connection();
  }
  if (reused) {
    a.counted = true;
    return add(now_ + one, {What::at_host, 0, slot, a.generation});
  }
  a.fresh = true;
  ++tally_.handshakes;
  const auto failed = static_cast<std::uint8_t>(AttemptOutcome::connect_failed);
  if (!h.cut && !(h.model.running() && !h.model.collapse())) {
    return add(now_ + 2 * one, {What::attempt_ends, failed, slot, a.generation});
  }
  if (h.cut || !h.model.open_connection()) {
    return add(now_ + from_millis(s_.hosts.connections.timeout_ms),
               {What::attempt_ends, failed, slot, a.generation});
  }
  a.counted = true;
  add(now_ + one * (1 + 2 * static_cast<int>(s_.hosts.connections.handshake_trips)),
      {What::at_host, 0, slot, a.generation});
}

// NOLINTNEXTLINE(readability-function-size): too long
void Fleet::settle(std::uint32_t slot, AttemptOutcome outcome) {
  Attempt& a = attempts_[slot];
  if (a.settled) {
    return;
  }
  a.settled = true;
  --attempts_out_;
  Host& h = hosts_[a.host];
  Gateway& g = gateways_[a.gateway];
  const bool given_up = outcome == AttemptOutcome::timeout || outcome == AttemptOutcome::cancelled;
  if (a.counted && a.boot == h.boot) {
    if (given_up || outcome == AttemptOutcome::reset || outcome == AttemptOutcome::connect_failed) {
      h.model.close_connection();
    } else {
      g.lines->release(now_, a.host);
    }
  }
  if (given_up && a.arrived && !h.cut) {
    add(now_ + to_host(a.gateway, a.host),
        {What::host_cancels, 0, a.host, a.boot,
         (static_cast<std::uint64_t>(a.generation) << 32) | slot});
  }
  ++tally_.outcomes[static_cast<std::size_t>(outcome)];

  Request& r = requests_[a.request];
  --r.out;
  const std::uint64_t key = key_of(a.request);
  if (outcome == AttemptOutcome::rejected_by_host || outcome == AttemptOutcome::connect_failed) {
    referee_.disproved(key, a.number);
  }
  referee_.settled(now_, key);
  load_balancer::AttemptResult result;
  result.request = key;
  result.attempt = a.number;
  result.outcome = outcome;
  result.elapsed = now_ - a.sent_at;
  if (outcome == AttemptOutcome::success && !r.ended) {
    referee_.answered(now_, key, Answer::served);
    tally_.work_useful += a.work;
    tell_client(a.request, RequestOutcome::served, {});
  }
  result.is_final = r.ended;
  const std::uint32_t gateway = a.gateway;
  const std::uint32_t request = a.request;
  if (a.load && !given_up) {
    g.policy->on_load_report(now_, a.known_as, {a.load->util, from_millis(a.load->latency_ms)});
  }
  attempts_.give(slot);
  g.policy->on_attempt_result(now_, result);
  carry_out(gateway);
  drop_if_over(request);
}

// --- Hosts
// ------------------------------------------------------------------------------------------------

void Fleet::add_host(const HostPlacement& place, bool cold) {
  const auto number = static_cast<std::uint32_t>(hosts_.size());
  hosts_.emplace_back(place, number, seed_, now_, cold);
  tally_.load.emplace_back(static_cast<std::size_t>(std::max(to_seconds(now_ - begin_), 0.0)),
                           -1.0f);
  if (now_ < begin_) {
    discovery_.publish_immediately(now_,
                                   {number, EndpointState::active, hosts_[number].started_at});
  }
}

// NOLINTNEXTLINE(readability-function-size): too long
void Fleet::arrive_at_host(std::uint32_t slot) {
  Attempt& a = attempts_[slot];
  if (a.settled) {
    return;
  }
  Host& h = hosts_[a.host];
  if (h.cut) {
    return;  // nothing comes back
  }
  const Duration back = to_host(a.gateway, a.host);
  const auto ends = [&](AttemptOutcome o, Duration after) {
    add(now_ + after, {What::attempt_ends, static_cast<std::uint8_t>(o), slot, a.generation});
  };
  if (a.boot != h.boot || !h.model.running() || h.model.collapse()) {
    return ends(a.fresh ? AttemptOutcome::connect_failed : AttemptOutcome::reset, back);
  }
  Request& r = requests_[a.request];
  const std::uint64_t key = key_of(a.request);
  const auto taken = [&] {
    a.arrived = true;
    referee_.reached(now_, key, a.number, a.host, h.zone, h.cell, a.sent_at);
  };
  const Condition& c = h.model.condition();
  if (h.luck.chance(c.reset_share)) {
    taken();
    return ends(AttemptOutcome::reset, back);
  }
  if (h.luck.chance(c.error_share)) {
    taken();
    return ends(AttemptOutcome::server_error, back + from_seconds(kFastErrorS));
  }
  Job job;
  job.id = (static_cast<std::uint64_t>(a.generation) << 32) | slot;
  job.work = r.what.work;
  job.key = r.what.key;
  job.has_key = true;
  job.handshake = a.fresh;
  job.deadline = r.deadline;
  const auto known = gateways_[a.gateway].known.find(a.host);
  job.sender_knows_start =
      known != gateways_[a.gateway].known.end() && known->second.started == h.started_at;
  const bool stood = !h.model.collapse();
  const Admission admission = h.model.submit(now_, job, ended_);
  if (stood && h.model.collapse()) {
    const Collapse& f = *h.model.collapse();
    referee_.fell(now_, a.host, f.informed_share, f.work_sent, f.work_limit);
    return stop_host(a.host);
  }
  if (admission == Admission::rejected) {
    a.load = h.model.load_report(now_);
    ends(AttemptOutcome::rejected_by_host, back);
  } else {
    taken();
  }
  after_host(a.host);
}

// What the host has finished goes out, and its next step is entered.
void Fleet::after_host(std::uint32_t number) {
  Host& h = hosts_[number];
  for (const FinishedJob& e : ended_) {
    const auto slot = static_cast<std::uint32_t>(e.id);
    Attempt* a = attempts_.find(slot, static_cast<std::uint32_t>(e.id >> 32));
    if (!a || a->settled) {
      continue;
    }
    a->work = e.work;
    AttemptOutcome outcome = e.outcome == FinishedJob::Outcome::expired
                                 ? AttemptOutcome::rejected_by_host
                                 : AttemptOutcome::success;
    if (outcome == AttemptOutcome::success && h.luck.chance(h.model.traits().error_rate)) {
      outcome = AttemptOutcome::server_error;
    }
    if (outcome == AttemptOutcome::success && h.luck.chance(h.model.condition().malformed_share)) {
      outcome = AttemptOutcome::reset;
    }
    if (h.cut) {
      continue;  // the answer is lost on the way
    }
    if (outcome != AttemptOutcome::reset) {
      a->load = h.model.load_report(now_);
    }
    add(now_ + to_host(a->gateway, number) + h.model.condition().response_delay,
        {What::attempt_ends, static_cast<std::uint8_t>(outcome), slot, a->generation});
  }
  ended_.clear();
  const Time next = h.model.next_event();
  if (next == kNever || (h.step_at != kNever && h.step_at <= next && h.step_at > now_)) {
    return;
  }
  h.step_at = next;
  add(next, {What::host_steps, 0, number});
}

void Fleet::close_lines(std::uint32_t number) {
  for (Gateway& g : gateways_) {
    if (g.lines) {
      g.lines->drop_idle(number);
    }
  }
  hosts_[number].model.close_all_connections();
  for (std::uint32_t slot = 0; slot < attempts_.size(); ++slot) {
    Attempt& a = attempts_[slot];
    if (!a.live || a.settled || a.host != number || !a.counted) {
      continue;
    }
    a.counted = false;
    add(now_ + to_host(a.gateway, number),
        {What::attempt_ends,
         static_cast<std::uint8_t>(a.arrived ? AttemptOutcome::reset
                                             : AttemptOutcome::connect_failed),
         slot, a.generation});
  }
}

void Fleet::stop_host(std::uint32_t number) {
  Host& h = hosts_[number];
  h.model.advance(now_, ended_);
  after_host(number);
  ++h.boot;
  if (!h.cut) {
    close_lines(number);
  }
  h.model.stop(now_);
  h.step_at = kNever;
  discovery_.publish(now_, {number, EndpointState::removed, h.started_at});
  move_list();
}

void Fleet::start_host(std::uint32_t number) {
  Host& h = hosts_[number];
  ++h.boot;
  h.model.restart(now_);
  h.started_at = now_;
  discovery_.publish(now_, {number, EndpointState::active, now_});
  move_list();
}

void Fleet::renew_condition(std::uint32_t number) {
  Condition c;
  for (std::uint32_t t : hosts_[number].troubles) {
    c = combine(c, plan_.conditions[t]);
  }
  hosts_[number].model.set_condition(now_, c, ended_);
  after_host(number);
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): too long
void Fleet::carry_out(const FaultStep& step) {
  switch (step.kind) {
    case FaultStepKind::condition_on:
    case FaultStepKind::condition_off:
      for (std::uint32_t h : step.targets) {
        std::erase(hosts_[h].troubles, step.fault);
        if (step.kind == FaultStepKind::condition_on) {
          hosts_[h].troubles.push_back(step.fault);
        }
        renew_condition(h);
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
      const HostPlacement place = layout_.hosts[step.targets[0]];
      add_host(place, true);
      const auto number = static_cast<std::uint32_t>(hosts_.size() - 1);
      discovery_.publish(now_, {number, EndpointState::active, now_});
      move_list();
      break;
    }
    case FaultStepKind::host_drain:
      for (std::uint32_t h : step.targets) {
        discovery_.publish(now_, {h, EndpointState::draining, hosts_[h].started_at});
      }
      move_list();
      break;
    case FaultStepKind::host_unreachable:
      for (std::uint32_t h : step.targets) {
        hosts_[h].cut = true;
      }
      break;
    case FaultStepKind::host_reachable:
      for (std::uint32_t h : step.targets) {
        hosts_[h].cut = false;
        close_lines(h);
      }
      break;
    case FaultStepKind::gateway_stop:
      for (std::uint32_t g : step.targets) {
        stop_gateway(g);
        add(now_ + from_seconds(s_.gateways.failure_detection_s.draw(front_)),
            {What::front_notices, 0, g, gateways_[g].epoch});
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
      stale_ += step.kind == FaultStepKind::list_delay_increase ? step.amount : -step.amount;
      discovery_.set_extra_delay(from_seconds(std::max(stale_, 0.0)));
      break;
    case FaultStepKind::discovery_down:
    case FaultStepKind::discovery_up:
      discovery_.set_down(step.kind == FaultStepKind::discovery_down);
      if (step.kind == FaultStepKind::discovery_down) {
        for (std::uint32_t g = 0; g < gateways_.size(); ++g) {
          if (gateways_[g].watching) {
            add(now_, {What::list_answers, 0, g, gateways_[g].epoch});
          }
        }
      }
      break;
  }
}

// Whoever watches is told of what the list has come to know; the time of the next such word is
// entered.
void Fleet::move_list() {
  if (!discovery_.advance(now_).empty()) {
    for (std::uint32_t g = 0; g < gateways_.size(); ++g) {
      if (gateways_[g].alive && gateways_[g].watching) {
        add(now_ + from_millis(s_.discovery.spread_ms.draw(network_)),
            {What::list_pushed, 0, g, gateways_[g].epoch});
      }
    }
  }
  const Time next = discovery_.next_event();
  if (next == kNever || (list_moves_at_ > now_ && list_moves_at_ <= next)) {
    return;  // entered already
  }
  list_moves_at_ = next;
  add(next, {What::list_moves});
}

void Fleet::tidy() {
  add(now_ + kTidy, {What::tidy});
  double cut = 0;
  std::size_t alive = 0;
  for (Gateway& g : gateways_) {
    if (!g.alive) {
      continue;
    }
    cut += g.policy->shedding_threshold();
    ++alive;
    g.lines->drop_old_everywhere(now_, [&](std::uint32_t host, std::size_t count) {
      for (; count > 0; --count) {
        hosts_[host].model.close_connection();
      }
    });
  }
  if (now_ <= begin_ || now_ > begin_ + from_seconds(s_.length_s)) {
    return;
  }
  tally_.cutoffs.push_back(alive > 0 ? cut / static_cast<double>(alive) : 0);
  for (std::uint32_t h = 0; h < hosts_.size(); ++h) {
    const HostModel& m = hosts_[h].model;
    tally_.load[h].push_back(m.running() && !hosts_[h].cut
                                 ? static_cast<float>(m.active_jobs()) /
                                       static_cast<float>(m.traits().cores)
                                 : -1.0f);
  }
}

}  // namespace

DayResult simulate_run(const Scenario& scenario, std::uint64_t seed, const PolicyMaker& policy,
                       std::atomic<unsigned>* progress) {
  return Fleet(scenario, seed, policy).play(progress);
}

}  // namespace gateway::lab
