#include "lab/soak/request_ledger.hpp"

#include <algorithm>
#include <cstdio>
#include <set>

namespace gateway::lab {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxExamples = 20;
// An attempt may begin this long after its client closed the connection.
constexpr milliseconds kGoneClientSlack{100};
// The deadline of an attempt may be this much later than its client's.
constexpr milliseconds kDeadlineSlack{150};
constexpr int kStatusOk = 200;
constexpr char kPadding = '#';
constexpr std::size_t kMaxQuotedBytes = 100;

double seconds_between(RequestLedger::Time from, RequestLedger::Time to) {
  return std::chrono::duration<double>(to - from).count();
}

bool is_response_to(const std::string& id, const std::string& body) {
  const std::string expected = RequestLedger::body_for(id);
  return body.compare(0, expected.size(), expected) == 0 &&
         body.find_first_not_of(kPadding, expected.size()) == std::string::npos;
}

std::string one_line(std::string text) {
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c == '\r' || c == '\n'; }, ' ');
  return text;
}

const char* name_of(Effect effect) {
  switch (effect) {
    case Effect::safe:
      return "safe";
    case Effect::keyed:
      return "keyed";
    case Effect::unsafe:
      return "unsafe";
  }
  return "unknown";
}

}  // namespace

const char* name_of(LedgerViolation violation) {
  switch (violation) {
    case LedgerViolation::foreign_response:
      return "foreign_response";
    case LedgerViolation::unsafe_repeated:
      return "unsafe_repeated";
    case LedgerViolation::keyed_repeated:
      return "keyed_repeated";
    case LedgerViolation::attempts_overlap:
      return "attempts_overlap";
    case LedgerViolation::no_response:
      return "no_response";
    case LedgerViolation::sent_for_gone_client:
      return "sent_for_gone_client";
    case LedgerViolation::deadline_too_long:
      return "deadline_too_long";
    case LedgerViolation::sent_to_closed_host:
      return "sent_to_closed_host";
  }
  return "unknown";
}

void RequestLedger::on_sent(const std::string& id, Effect effect, milliseconds timeout) {
  Request& request = requests_[id];
  request.effect = effect;
  request.sent = Clock::now();
  request.timeout = timeout;
}

void RequestLedger::on_sent_by_crowd(const std::string& id, Effect effect) {
  Request& request = requests_[id];
  request.effect = effect;
  request.checks_deadline = false;
  ++crowd_requests_;
}

void RequestLedger::on_response(const std::string& id, int status, const std::string& body) {
  Request& request = requests_.at(id);
  request.is_answered = true;
  request.status = status;
  ++responses_[status];
  if (status == kStatusOk) {
    latencies_ms_.push_back(seconds_between(request.sent, Clock::now()) * 1000);
  }
  if (status == kStatusOk && (!is_response_to(id, body) || request.executions == 0)) {
    record(LedgerViolation::foreign_response, id,
           "got '" + one_line(body.substr(0, kMaxQuotedBytes)) + "', executed " +
               std::to_string(request.executions) + " times");
  }
}

void RequestLedger::on_last_byte_sent(const std::string& id) {
  Request& request = requests_.at(id);
  request.is_complete = true;
  request.sent = Clock::now();
}

void RequestLedger::on_returned(const std::string& id) {
  Request& request = requests_.at(id);
  request.client_gone = false;
  request.is_complete = false;
  request.sent = Clock::now();
}

std::string RequestLedger::long_body_for(const std::string& id, std::size_t bytes) {
  std::string body = body_for(id);
  body.resize(std::max(bytes, body.size()), kPadding);
  return body;
}

void RequestLedger::on_no_response(const std::string& id, const std::string& how) {
  record(LedgerViolation::no_response, id, how);
}

void RequestLedger::on_client_closed(const std::string& id) {
  Request& request = requests_.at(id);
  request.client_gone = true;
  request.gone_at = Clock::now();
}

std::size_t RequestLedger::on_attempt(const std::string& id, const std::string& host,
                                      const std::string& zone, milliseconds deadline, Time told_at,
                                      bool executes) {
  Request& request = requests_[id];
  const Time now = Clock::now();
  for (const Attempt& earlier : request.attempts) {
    if (earlier.in_flight) {
      record(LedgerViolation::attempts_overlap, id, earlier.host + " and " + host);
    }
  }
  retries_ += request.attempts.empty() ? 0 : 1;
  request.attempts.push_back({host, zone, now, true});
  if (executes) {
    ++request.executions;
    std::set<std::string> groups;
    for (const Attempt& attempt : request.attempts) {
      groups.insert(attempt.zone);
    }
    if (request.effect == Effect::unsafe && request.executions > 1) {
      record(LedgerViolation::unsafe_repeated, id, "again at " + host);
    }
    if (request.effect == Effect::keyed && request.executions > 1 && groups.size() > 1) {
      record(LedgerViolation::keyed_repeated, id, "again at " + host + " in " + zone);
    }
  }
  // A host that reads slowly has the last byte long after the attempt was begun.
  if (request.client_gone && told_at - request.gone_at > kGoneClientSlack) {
    record(LedgerViolation::sent_for_gone_client, id,
           host + " " + std::to_string(seconds_between(request.gone_at, told_at)) + " s after");
  }
  // The client's time starts at its last byte, which a long request reaches after it was told.
  const auto remaining = std::chrono::duration_cast<milliseconds>(request.sent + request.timeout -
                                                                  std::max(told_at, request.sent));
  if (request.checks_deadline && deadline > remaining + kDeadlineSlack) {
    record(LedgerViolation::deadline_too_long, id,
           std::to_string(deadline.count()) + " ms of " + std::to_string(remaining.count()));
  }
  return request.attempts.size() - 1;
}

void RequestLedger::on_attempt_ended(const std::string& id, std::size_t attempt) {
  requests_.at(id).attempts.at(attempt).in_flight = false;
}

void RequestLedger::on_sent_to_closed_host(const std::string& id, const std::string& host) {
  record(LedgerViolation::sent_to_closed_host, id, host);
}

std::size_t RequestLedger::responses(int status) const {
  const auto entry = responses_.find(status);
  return entry == responses_.end() ? 0 : entry->second;
}

double RequestLedger::latency_ms(double percent) const {
  if (latencies_ms_.empty()) {
    return 0;
  }
  std::vector<double> sorted = latencies_ms_;
  std::sort(sorted.begin(), sorted.end());
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(last * percent / 100)];
}

std::size_t RequestLedger::violations() const {
  std::size_t total = 0;
  for (const std::size_t count : counts_) {
    total += count;
  }
  return total;
}

std::size_t RequestLedger::violations_after(double second) const {
  return static_cast<std::size_t>(std::count_if(violation_seconds_.begin(),
                                                violation_seconds_.end(),
                                                [&](double at) { return at > second; }));
}

void RequestLedger::record(LedgerViolation violation, const std::string& id,
                           const std::string& detail) {
  ++counts_[static_cast<std::size_t>(violation)];
  violation_seconds_.push_back(seconds_between(start_, Clock::now()));
  if (examples_.size() >= kMaxExamples) {
    return;
  }
  char second[32];
  std::snprintf(second, sizeof second, "%.3f", seconds_between(start_, Clock::now()));
  examples_.push_back(std::string(second) + " " + name_of(violation) + " " + id + " (" +
                      name_of(requests_[id].effect) + ") " + detail);
}

}  // namespace gateway::lab
