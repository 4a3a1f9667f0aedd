// Prints a digest of all actions of the balancer over random event streams, one line per seed.
// Equal lines from two builds mean that no action changed, except for the text of log lines.
// Settings, endpoint lists, requests and outcomes are random, with every feature on or off and with
// events that are invalid in the current state.
//
//   action_digest [SEEDS=100] [EVENTS=20000]
#include <xxhash.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <variant>

#include "lab/model/random.hpp"
#include "load_balancer/load_balancer.hpp"

namespace {

using namespace load_balancer;
using gateway::lab::Random;
using std::chrono::microseconds;
using std::chrono::milliseconds;

struct InFlight {
  RequestId request;
  std::uint32_t attempt;
  HostId host;
  Time at;
};

// Kind, request, attempt, host, duration or time, and latest start of the attempt: the layout of an
// earlier action type, kept so that digests remain comparable with those of older builds.
using DigestWords = std::array<std::uint64_t, 6>;

constexpr auto kUnbounded = static_cast<std::uint64_t>(Duration::max().count());

std::uint64_t nanoseconds_of(Duration duration) {
  return static_cast<std::uint64_t>(duration.count());
}

DigestWords words_of(const SendAttempt& action) {
  return {0,
          action.request,
          action.attempt,
          action.host,
          nanoseconds_of(action.timeout),
          nanoseconds_of(action.must_start_within)};
}
DigestWords words_of(const RejectRequest& action) {
  return {1, action.request, 0, kNone, nanoseconds_of(action.retry_after), kUnbounded};
}
DigestWords words_of(const FailRequest& action) {
  return {2, action.request, 0, kNone, 0, kUnbounded};
}
DigestWords words_of(const CancelAttempt& action) {
  return {3, action.request, action.attempt, kNone, 0, kUnbounded};
}
DigestWords words_of(const CloseIdleConnections& action) {
  return {4, 0, 0, action.host, 0, kUnbounded};
}
DigestWords words_of(const ForgetHost& action) {
  return {5, 0, 0, action.host, 0, kUnbounded};
}
DigestWords words_of(const ScheduleWakeup& action) {
  return {6, 0, 0, kNone, nanoseconds_of(action.at), kUnbounded};
}
DigestWords words_of(const PollEndpoints&) {
  return {7, 0, 0, kNone, 0, kUnbounded};
}
DigestWords words_of(const LogMessage&) {
  return {8, 0, 0, kNone, 0, kUnbounded};
}

Settings draw_settings(Random& r, std::uint64_t seed) {
  Settings s;
  s.seed = seed;
  const std::uint32_t sizes[] = {1, 2, 4, 8, 24, 48, 300};
  s.gateway_count = sizes[r.below(7)];
  s.gateway_index = static_cast<std::uint32_t>(r.below(s.gateway_count));
  s.zone = "z0";
  const Idempotency effects[] = {Idempotency::idempotent, Idempotency::deduplicated,
                                 Idempotency::non_idempotent};
  const DeduplicationScope groups[] = {DeduplicationScope::global, DeduplicationScope::zone,
                                       DeduplicationScope::cell};
  for (std::size_t i = 0; i < 3; ++i) {
    ClassSettings c;
    c.name = "c" + std::to_string(i);
    c.latency_objective = milliseconds(300 + r.below(500));
    c.client_timeout = c.latency_objective * (2 + static_cast<int>(r.below(4)));
    c.deduplication_window = milliseconds(500 + r.below(8000));
    c.idempotency = effects[r.below(3)];
    c.deduplication_scope = groups[r.below(3)];
    c.priority_weight = r.between(1, 10);
    c.late_value_fraction = r.chance(0.5) ? r.unit() : 0;
    c.serialize_by_key = r.chance(0.2);
    if (r.chance(0.1)) {
      c.zones = std::vector<std::string>{"z0", "z1"};
    }
    if (r.chance(0.1)) {
      c.machine_types = std::vector<std::string>{"k0"};
    }
    s.classes.push_back(c);
  }
  s.tenants = {{"t0", 0}, {"t1", 40}};
  s.poll_discovery = r.chance(0.5);
  s.dynamic_weights = r.chance(0.3);
  s.allow_hedging = r.chance(0.5);
  s.key_affinity = r.chance(0.4);
  s.send_retry_after = r.chance(0.7);
  s.allow_cancellation = r.chance(0.7);
  s.max_attempts = 1 + static_cast<std::uint32_t>(r.below(4));
  s.streams_per_connection = r.chance(0.7) ? 1 : 8;
  s.idle_connection_timeout = r.chance(0.5) ? milliseconds(4000) : Duration{};
  s.max_retry_after = milliseconds(2000);
  s.max_poll_interval = r.chance(0.5) ? milliseconds(10000) : Duration{};
  s.event_batch_interval = milliseconds(r.chance(0.5) ? 0 : 5);
  s.warmup_duration = milliseconds(15000);
  s.initial_warmup_fraction = r.between(0.1, 0.4);
  s.collapse_load_factor = 3;
  s.collapse_window = milliseconds(1000);
  s.key_cooldown = milliseconds(500);
  return s;
}

Endpoint draw_host(Random& r, std::size_t number, Time now) {
  Endpoint e;
  e.address = "10.0.0." + std::to_string(number) + ":80";
  e.zone = "z" + std::to_string(number % 3);
  e.machine_type = "k" + std::to_string(number % 2);
  e.cell = static_cast<std::int64_t>(number % 5);
  e.weight = r.between(0.5, 2);
  const double state_draw = r.unit();
  e.state = state_draw < 0.85   ? EndpointState::active
            : state_draw < 0.93 ? EndpointState::draining
                                : EndpointState::removed;
  e.started_at = r.chance(0.3) ? now - milliseconds(r.below(20000)) : Time{};
  return e;
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): too long
std::uint64_t digest(std::uint64_t seed, std::size_t events) {
  Random r(seed, "events");
  Time now = std::chrono::seconds(100);
  Balancer balancer(draw_settings(r, seed), now);
  const std::size_t fleet = 1 + r.below(r.chance(0.2) ? 120 : 14);
  const double gap = r.between(0.1, 8);
  const double work = r.between(2, 200);
  const double bad = r.chance(0.5) ? r.between(0, 0.4) : 0;
  std::deque<InFlight> out;
  std::vector<RequestId> ids;
  RequestId last = 0;
  XXH3_state_t* state = XXH3_createState();
  XXH3_64bits_reset(state);
  const auto collect = [&] {
    for (const Action& action : balancer.actions()) {
      const DigestWords words =
          std::visit([](const auto& typed) { return words_of(typed); }, action);
      XXH3_64bits_update(state, words.data(), sizeof words);
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        out.push_back({send->request, send->attempt, send->host, now});
      }
    }
    balancer.actions().clear();
    const double threshold = balancer.shedding_threshold();
    XXH3_64bits_update(state, &threshold, sizeof threshold);
  };
  std::vector<Endpoint> list;
  for (std::size_t i = 0; i < fleet; ++i) {
    list.push_back(draw_host(r, i, now));
  }
  balancer.on_endpoint_update(now, EndpointUpdateKind::snapshot, list);
  for (std::size_t n = 0; n < events; ++n) {
    now += microseconds(static_cast<std::int64_t>(r.exponential(gap) * 1000));
    const double what = r.unit();
    if (what < 0.44) {
      Request q;
      q.id = r.chance(0.001) && last > 0 ? last : ++last;
      q.class_index = r.chance(0.01) ? kNone : static_cast<std::uint32_t>(r.below(3));
      q.tenant_index = static_cast<std::uint32_t>(r.below(3));
      q.time_remaining = milliseconds(200 + r.below(2500));
      q.cost = r.chance(0.3) ? milliseconds(r.below(300)) : Duration{};
      q.has_key = r.chance(0.5);
      q.key = r.below(40);
      q.body_pending = r.chance(0.03);
      balancer.on_request(now, q);
      ids.push_back(q.id);
    } else if (what < 0.93 && !out.empty()) {
      const std::size_t at = r.below(std::min<std::size_t>(out.size(), 8));
      if (r.chance(std::min(1.0, static_cast<double>(out.size()) * gap / work))) {
        const InFlight o = out[at];
        out.erase(out.begin() + static_cast<std::ptrdiff_t>(at));
        AttemptResult a{o.request,  o.attempt, o.host, AttemptOutcome::success,
                        now - o.at, true,      false};
        if (r.chance(bad + 0.02)) {
          a.outcome = static_cast<AttemptOutcome>(r.below(9));
          a.is_final = r.chance(0.1);
          a.request_consumed = r.chance(0.1);
        }
        balancer.on_attempt_result(now, a);
      }
    } else if (what < 0.95) {
      if (!ids.empty()) {
        balancer.on_client_disconnected(now, ids[r.below(ids.size())]);
      }
    } else if (what < 0.96) {
      if (!ids.empty()) {
        balancer.on_request_complete(
            now, ids[ids.size() - 1 - r.below(std::min<std::size_t>(ids.size(), 30))]);
      }
    } else if (what < 0.97) {
      if (!out.empty()) {
        balancer.on_response_started(now, out.back().request, out.back().attempt);
      }
    } else if (what < 0.975) {
      const double kind = r.unit();
      if (kind < 0.3) {
        balancer.on_endpoint_update(now, EndpointUpdateKind::unavailable, {});
      } else if (kind < 0.8) {
        balancer.on_endpoint_update(now, EndpointUpdateKind::delta,
                                    {draw_host(r, r.below(fleet + 3), now)});
      } else {
        list.clear();
        for (std::size_t i = 0; i < fleet; ++i) {
          if (r.chance(0.95)) {
            list.push_back(draw_host(r, i, now));
          }
        }
        balancer.on_endpoint_update(
            now, kind < 0.9 ? EndpointUpdateKind::snapshot : EndpointUpdateKind::restored, list);
      }
    } else if (what < 0.98) {
      balancer.set_maintenance(now, "10.0.0." + std::to_string(r.below(fleet)) + ":80",
                               r.chance(0.4));
    } else if (what < 0.981) {
      balancer.set_budget_fraction(now, r.chance(0.5) ? 1 : 0.5);
    } else {
      balancer.on_wakeup(now);
    }
    if (n % 16 == 0) {
      balancer.on_wakeup(now);
    }
    collect();
  }
  const std::uint64_t sum = XXH3_64bits_digest(state);
  XXH3_freeState(state);
  return sum;
}

}  // namespace

int main(int argc, char** argv) {
  const std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 100;
  const std::size_t events = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 20000;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    std::printf("%llu\t%016llx\n", static_cast<unsigned long long>(seed),
                static_cast<unsigned long long>(digest(seed, events)));
  }
}
