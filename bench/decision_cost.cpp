// CPU time of one decision by fleet size: a request and its response, in a steady state with a few
// requests in flight, for one gateway of 48; and the duration of the slowest events, sweeps
// included.
//
//   decision_cost [--benchmark_filter=...]   counters: p99 and maximum of one event, in us
#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <deque>

#include "load_balancer/load_balancer.hpp"

namespace {

using namespace load_balancer;
using std::chrono::microseconds;
using std::chrono::milliseconds;

Settings settings(bool warm_keys) {
  Settings s;
  s.gateway_count = 48;
  s.zone = "z0";
  s.classes = {{"seal",
                milliseconds(600),
                milliseconds(2500),
                milliseconds(5000),
                Idempotency::non_idempotent,
                DeduplicationScope::global,
                10,
                0.25,
                0,
                false,
                {},
                {}}};
  s.key_affinity = warm_keys;
  s.send_retry_after = s.allow_cancellation = true;
  s.max_attempts = 3;
  s.max_retry_after = milliseconds(2000);
  s.warmup_duration = milliseconds(15000);
  s.initial_warmup_fraction = 0.2;
  s.collapse_window = milliseconds(1000);
  return s;
}

// NOLINTNEXTLINE(readability-function-size): too long
void request_and_answer(benchmark::State& state, bool warm_keys) {
  const auto count = static_cast<std::size_t>(state.range(0));
  Time now = std::chrono::seconds(100);
  Balancer balancer(settings(warm_keys), now);
  std::vector<Endpoint> list;
  for (std::size_t i = 0; i < count; ++i) {
    list.push_back({"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":80",
                    "z" + std::to_string(i % 3), "k" + std::to_string(i % 4), 0, 1,
                    EndpointState::active, Time{}});
  }
  balancer.on_endpoint_update(now, EndpointUpdateKind::snapshot, list);
  struct InFlight {
    RequestId id;
    std::uint32_t attempt;
    HostId host;
    Time at;
  };
  std::deque<InFlight> out;
  std::vector<double> took;
  RequestId last = 0;
  const auto timed = [&](auto&& event) {
    const auto from = std::chrono::steady_clock::now();
    event();
    took.push_back(
        std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - from).count());
  };
  const auto once = [&] {
    now += microseconds(200);  // 5,000 requests a second
    Request q;
    q.id = ++last;
    q.class_index = 0;
    q.time_remaining = milliseconds(2500);
    q.has_key = true;
    q.key = last * 0x9e3779b97f4a7c15ULL;
    timed([&] { balancer.on_request(now, q); });
    for (const Action& action : balancer.actions()) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        out.push_back({send->request, send->attempt, send->host, now});
      }
    }
    balancer.actions().clear();
    while (!out.empty() && now - out.front().at >= milliseconds(5)) {
      const InFlight o = out.front();
      out.pop_front();
      timed([&] {
        balancer.on_attempt_result(
            now, {o.id, o.attempt, o.host, AttemptOutcome::success, now - o.at, true, false});
      });
      balancer.actions().clear();
    }
    if (last % 500 == 0) {
      timed([&] { balancer.on_wakeup(now); });
      balancer.actions().clear();
    }
  };
  for (int i = 0; i < 5000; ++i) {
    once();
  }
  took.clear();
  for (auto _ : state) {
    once();
  }
  const auto at = [&](double share) {
    const auto nth =
        took.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(took.size() - 1));
    std::nth_element(took.begin(), nth, took.end());
    return *nth;
  };
  state.counters["p99_us"] = at(0.99);
  state.counters["most_us"] = at(1);
}

}  // namespace

BENCHMARK_CAPTURE(request_and_answer, keyless, false)->Arg(10)->Arg(100)->Arg(1000)->Arg(5000);
BENCHMARK_CAPTURE(request_and_answer, warm_keys, true)->Arg(10)->Arg(100)->Arg(1000)->Arg(5000);
BENCHMARK_MAIN();
