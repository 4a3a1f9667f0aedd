// Drives a Balancer in virtual time and records its actions. There is no model of a host: the test
// reports the result of each attempt itself. Not thread-safe.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "load_balancer/load_balancer.hpp"

namespace load_balancer::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A class with a latency objective of 400 ms and clients that wait 1 s.
inline ClassSettings make_class(const std::string& name, Idempotency idempotency,
                                double priority_weight,
                                DeduplicationScope scope = DeduplicationScope::global) {
  ClassSettings c;
  c.name = name;
  c.latency_objective = milliseconds(400);
  c.client_timeout = milliseconds(1000);
  c.deduplication_window = milliseconds(800);
  c.idempotency = idempotency;
  c.deduplication_scope = scope;
  c.priority_weight = priority_weight;
  return c;
}

// One gateway in zone "east" with the classes 0 "read" (idempotent, priority weight 10), 1 "write"
// (non-idempotent, weight 1) and 2 "put" (deduplicated within a cell, weight 1).
inline Settings make_settings() {
  Settings s;
  s.seed = 7;
  s.zone = "east";
  s.classes = {make_class("read", Idempotency::idempotent, 10),
               make_class("write", Idempotency::non_idempotent, 1),
               make_class("put", Idempotency::deduplicated, 1, DeduplicationScope::cell)};
  s.allow_cancellation = true;
  s.max_attempts = 4;
  s.event_batch_interval = milliseconds(5);
  s.initial_warmup_fraction = 0.2;
  s.warmup_duration = seconds(10);
  s.collapse_window = seconds(2);
  return s;
}

// The endpoint "host-<100 + number>".
inline Endpoint make_host(int number, const std::string& zone = "east", std::int64_t cell = 0) {
  Endpoint e;
  e.address = "host-" + std::to_string(100 + number);
  e.zone = zone;
  e.machine_type = "std";
  e.cell = cell;
  return e;
}

// A SendAttempt action with the time at which it was returned.
struct SentAttempt {
  RequestId request;
  std::uint32_t attempt;
  HostId host;
  Time at;
  Duration timeout;
};

// Formats the fields of an action, to compare the actions of two runs.
inline std::string describe(const Action& action) {
  const auto text = [](auto... values) {
    return ((std::to_string(values) + ":") + ...);
  };
  return std::visit(
      ActionVisitor{[&](const SendAttempt& send) {
                      return "send:" + text(send.request, send.attempt, send.host,
                                            send.timeout.count(), send.must_start_within.count());
                    },
                    [&](const RejectRequest& rejection) {
                      return "reject:" + text(rejection.request, rejection.retry_after.count());
                    },
                    [&](const FailRequest& failure) { return "fail:" + text(failure.request); },
                    [&](const CancelAttempt& cancellation) {
                      return "cancel:" + text(cancellation.request, cancellation.attempt);
                    },
                    [&](const CloseIdleConnections& close) { return "close:" + text(close.host); },
                    [&](const ForgetHost& forget) { return "forget:" + text(forget.host); },
                    [&](const ScheduleWakeup& wakeup) { return "wake:" + text(wakeup.at.count()); },
                    [&](const PollEndpoints&) { return std::string("poll"); },
                    [&](const LogMessage& message) {
                      return "log:" + message.text;
                    }},
      action);
}

// The gateway's own response to a request that ends without a host's response.
enum class GatewayResponse { rejected, failed };

// Calls a Balancer with events at the virtual time `now` and collects the actions after each event.
// A second gateway response to one request fails the test.
class Driver {
 public:
  // Starts with a restored list of `hosts` hosts in zone "east", alternating between cells 0 and 1.
  explicit Driver(const Settings& s, int hosts = 6) : now(seconds(100)), balancer(s, now) {
    std::vector<Endpoint> list;
    for (int i = 0; i < hosts; ++i) {
      list.push_back(make_host(i, "east", i % 2));
    }
    balancer.on_endpoint_update(now, EndpointUpdateKind::restored, list);
    collect();
  }

  // Sends a request whose client waits for `time_remaining`. Key 0 stands for a request without
  // key.
  RequestId request(std::uint32_t cls, Duration time_remaining = milliseconds(1000),
                    std::uint64_t key = 0) {
    Request q;
    q.id = ++last;
    q.class_index = cls;
    q.time_remaining = time_remaining;
    q.key = key;
    q.has_key = key != 0;
    balancer.on_request(now, q);
    collect();
    return q.id;
  }
  // The same for a request whose body is incomplete until complete_body().
  RequestId request_with_pending_body(std::uint32_t cls) {
    Request q;
    q.id = ++last;
    q.class_index = cls;
    q.time_remaining = milliseconds(1000);
    q.body_pending = true;
    balancer.on_request(now, q);
    collect();
    return q.id;
  }
  void complete_body(RequestId id) {
    balancer.on_request_complete(now, id);
    collect();
  }
  // Reports the result of an attempt; a negative `elapsed` stands for the time since it was sent.
  // `is_final`: the client needs no further response.
  void report_result(const SentAttempt& s, AttemptOutcome outcome, bool is_final,
                     Duration elapsed = Duration(-1)) {
    balancer.on_attempt_result(now, {s.request, s.attempt, s.host, outcome,
                                     elapsed < Duration{} ? now - s.at : elapsed, is_final});
    for (std::size_t i = 0; i < in_flight.size(); ++i) {
      if (in_flight[i].request == s.request && in_flight[i].attempt == s.attempt) {
        in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(i));
        break;
      }
    }
    collect();
  }
  // Reports that an attempt succeeded.
  void serve(const SentAttempt& s) { report_result(s, AttemptOutcome::success, true); }
  // Advances the time and wakes the Balancer after every `step`. The last step may overshoot.
  void advance(Duration by, Duration step = milliseconds(5)) {
    for (const Time end = now + by; now < end;) {
      now += step;
      balancer.on_wakeup(now);
      collect();
    }
  }
  // Sends `count` requests of class `cls` and after each one, `response_time` later, serves every
  // attempt in flight.
  void warm_up(std::uint32_t cls, int count, Duration response_time = milliseconds(50)) {
    for (int i = 0; i < count; ++i) {
      request(cls);
      advance(response_time, response_time);
      while (!in_flight.empty()) {
        serve(SentAttempt(in_flight.front()));
      }
    }
  }
  // The latest attempt that was sent; there must be one.
  SentAttempt last_sent() const { return sent.back(); }
  bool rejected(RequestId id) const {
    return gateway_responses.count(id) && gateway_responses.at(id) == GatewayResponse::rejected;
  }
  bool failed(RequestId id) const {
    return gateway_responses.count(id) && gateway_responses.at(id) == GatewayResponse::failed;
  }
  // The id of make_host(number).
  HostId host(int number) const { return balancer.find_host(make_host(number).address); }
  // Attempts sent to a host since the start or clear_history().
  std::size_t sent_to(HostId id) const {
    std::size_t n = 0;
    for (const SentAttempt& s : sent) {
      n += s.host == id;
    }
    return n;
  }
  // Actions of a type since the start or clear_history().
  template <class ActionType>
  std::size_t count() const {
    std::size_t n = 0;
    for (const Action& action : actions) {
      n += std::holds_alternative<ActionType>(action);
    }
    return n;
  }
  // Drops the recorded attempts and actions. Attempts in flight and gateway responses stay.
  void clear_history() {
    sent.clear();
    actions.clear();
  }
  // Takes over the Balancer's pending actions; needed only after a direct call of `balancer`.
  void collect() {
    for (Action& action : balancer.actions()) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        sent.push_back({send->request, send->attempt, send->host, now, send->timeout});
        in_flight.push_back(sent.back());
      } else if (const auto* rejection = std::get_if<RejectRequest>(&action)) {
        record_gateway_response(rejection->request, GatewayResponse::rejected,
                                rejection->retry_after);
      } else if (const auto* failure = std::get_if<FailRequest>(&action)) {
        record_gateway_response(failure->request, GatewayResponse::failed, Duration{});
      }
      actions.push_back(std::move(action));
    }
    balancer.actions().clear();
  }

  Time now;
  Balancer balancer;
  RequestId last = 0;                        // id of the latest request
  std::vector<SentAttempt> sent, in_flight;  // in flight: without a result so far
  std::vector<Action> actions;
  std::map<RequestId, GatewayResponse> gateway_responses;
  std::map<RequestId, Duration> retry_after;  // of the gateway responses; zero: none

 private:
  void record_gateway_response(RequestId id, GatewayResponse response, Duration retry_after_time) {
    EXPECT_EQ(gateway_responses.count(id), 0u) << "second gateway response to a request";
    gateway_responses[id] = response;
    retry_after[id] = retry_after_time;
  }
};

}  // namespace load_balancer::testing
