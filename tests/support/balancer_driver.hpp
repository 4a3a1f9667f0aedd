// Feeds a Balancer by hand and keeps its actions. No model of a server: each test says what
// happens.
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

inline ClassSettings make_class(const std::string& name, Idempotency effect, double worth,
                                DeduplicationScope group = DeduplicationScope::global) {
  ClassSettings c;
  c.name = name;
  c.latency_objective = milliseconds(400);
  c.client_timeout = milliseconds(1000);
  c.deduplication_window = milliseconds(800);
  c.idempotency = effect;
  c.deduplication_scope = group;
  c.priority_weight = worth;
  return c;
}

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

inline Endpoint make_host(int number, const std::string& zone = "east", std::int64_t cell = 0) {
  Endpoint e;
  e.address = "host-" + std::to_string(100 + number);
  e.zone = zone;
  e.machine_type = "std";
  e.cell = cell;
  return e;
}

struct SentAttempt {
  RequestId request;
  std::uint32_t attempt;
  HostId host;
  Time at;
  Duration timeout;
};

// All fields of an action, to compare the actions of two runs.
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

// How a request ended without a response of a host.
enum class Answer { rejected, failed };

class Driver {
 public:
  explicit Driver(const Settings& s, int hosts = 6) : now(seconds(100)), balancer(s, now) {
    std::vector<Endpoint> list;
    for (int i = 0; i < hosts; ++i) {
      list.push_back(make_host(i, "east", i % 2));
    }
    balancer.on_endpoint_update(now, EndpointUpdateKind::restored, list);
    collect();
  }

  RequestId request(std::uint32_t cls, Duration left = milliseconds(1000), std::uint64_t key = 0) {
    Request q;
    q.id = ++last;
    q.class_index = cls;
    q.time_remaining = left;
    q.key = key;
    q.has_key = key != 0;
    balancer.on_request(now, q);
    collect();
    return q.id;
  }
  void report_result(const SentAttempt& s, AttemptOutcome outcome, bool terminal,
                     Duration taken = Duration(-1)) {
    balancer.on_attempt_result(now, {s.request, s.attempt, s.host, outcome,
                                     taken < Duration{} ? now - s.at : taken, terminal});
    for (std::size_t i = 0; i < in_flight.size(); ++i) {
      if (in_flight[i].request == s.request && in_flight[i].attempt == s.attempt) {
        in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(i));
        break;
      }
    }
    collect();
  }
  void serve(const SentAttempt& s) { report_result(s, AttemptOutcome::success, true); }
  void advance(Duration by, Duration step = milliseconds(5)) {
    for (const Time end = now + by; now < end;) {
      now += step;
      balancer.on_wakeup(now);
      collect();
    }
  }
  // Serves everything that is in_flight, `count` requests of class `cls` one after another.
  void warm_up(std::uint32_t cls, int count, Duration time = milliseconds(50)) {
    for (int i = 0; i < count; ++i) {
      request(cls);
      advance(time, time);
      while (!in_flight.empty()) {
        serve(SentAttempt(in_flight.front()));
      }
    }
  }
  SentAttempt last_sent() const { return sent.back(); }
  bool rejected(RequestId id) const {
    return gateway_responses.count(id) && gateway_responses.at(id) == Answer::rejected;
  }
  bool failed(RequestId id) const {
    return gateway_responses.count(id) && gateway_responses.at(id) == Answer::failed;
  }
  HostId host(int number) const { return balancer.find_host(make_host(number).address); }
  std::size_t sent_to(HostId id) const {
    std::size_t n = 0;
    for (const SentAttempt& s : sent) {
      n += s.host == id;
    }
    return n;
  }
  template <class ActionType>
  std::size_t count() const {
    std::size_t n = 0;
    for (const Action& action : actions) {
      n += std::holds_alternative<ActionType>(action);
    }
    return n;
  }
  void clear_history() {
    sent.clear();
    actions.clear();
  }

  void collect() {
    for (Action& action : balancer.actions()) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        sent.push_back({send->request, send->attempt, send->host, now, send->timeout});
        in_flight.push_back(sent.back());
      } else if (const auto* rejection = std::get_if<RejectRequest>(&action)) {
        record_answer(rejection->request, Answer::rejected, rejection->retry_after);
      } else if (const auto* failure = std::get_if<FailRequest>(&action)) {
        record_answer(failure->request, Answer::failed, Duration{});
      }
      actions.push_back(std::move(action));
    }
    balancer.actions().clear();
  }

  Time now;
  Balancer balancer;
  RequestId last = 0;
  std::vector<SentAttempt> sent, in_flight;
  std::vector<Action> actions;
  std::map<RequestId, Answer> gateway_responses;
  std::map<RequestId, Duration> retry_after;

 private:
  void record_answer(RequestId id, Answer answer, Duration retry_after_time) {
    EXPECT_EQ(gateway_responses.count(id), 0u) << "answered twice";
    gateway_responses[id] = answer;
    retry_after[id] = retry_after_time;
  }
};

}  // namespace load_balancer::testing
