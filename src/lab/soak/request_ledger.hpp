// What became of each request of a soak run, and the rules that it violates.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace gateway::lab {

// Whether a request may be executed again.
enum class Effect { safe, keyed, unsafe };

enum class LedgerViolation {
  foreign_response,      // a client got a 200 response that no host made for its request
  unsafe_repeated,       // a request of an unsafe class was executed more than once
  keyed_repeated,        // a keyed request was executed in two deduplication groups
  attempts_overlap,      // two attempts of a request were in flight at the same time
  no_response,           // a client got no final response in time
  sent_for_gone_client,  // an attempt began too long after its client had closed
  deadline_too_long,     // an attempt named a later deadline than its client's
  sent_to_closed_host    // an attempt began too long after a drain was notified
};
inline constexpr std::size_t kLedgerViolations = 8;
const char* name_of(LedgerViolation violation);

// Holds every request of a run. The clients and the hosts report to it; it compares the two sides.
// Used on one thread.
class RequestLedger {
 public:
  using Clock = std::chrono::steady_clock;
  using Time = Clock::time_point;

  struct Attempt {
    std::string host;
    std::string zone;  // the deduplication group
    Time begun;
    bool in_flight = true;
  };
  struct Request {
    Effect effect = Effect::safe;
    Time sent;
    std::chrono::milliseconds timeout{};
    bool checks_deadline = true;
    bool is_complete = false;  // its last byte is written
    bool client_gone = false;
    Time gone_at;
    bool is_answered = false;
    int status = 0;
    std::vector<Attempt> attempts;  // in the order in which the hosts received them
    int executions = 0;
  };

  // --- Reported by clients ---
  void on_sent(const std::string& id, Effect effect, std::chrono::milliseconds timeout);
  void on_response(const std::string& id, int status, const std::string& body);
  // A request whose client waits for no response and does not end it in time either. Only its
  // executions are checked.
  void on_sent_by_crowd(const std::string& id, Effect effect);
  // The gateway closed the connection without a response, or nothing came in time.
  void on_no_response(const std::string& id, const std::string& how);
  void on_client_closed(const std::string& id);
  // The client, which had closed its connection, sends the request again under the same id.
  void on_returned(const std::string& id);
  // The client repeats a request that no gateway has read.
  void on_sent_again(const std::string& id) { requests_.at(id).sent = Clock::now(); }
  // The last byte of a request is written: its time starts.
  void on_last_byte_sent(const std::string& id);
  bool is_complete(const std::string& id) const { return requests_.at(id).is_complete; }
  Time sent_at(const std::string& id) const { return requests_.at(id).sent; }
  bool was_attempted(const std::string& id) const { return !requests_.at(id).attempts.empty(); }

  // --- Reported by hosts ---
  // The last byte of a request has arrived. Returns the attempt's index. `deadline` is that of the
  // request's X-Deadline-Ms, which came with its first byte at `told_at`; `executes` is false if
  // the host rejects the request unprocessed.
  std::size_t on_attempt(const std::string& id, const std::string& host, const std::string& zone,
                         std::chrono::milliseconds deadline, Time told_at, bool executes);
  // The attempt has its response, or its connection is closed.
  void on_attempt_ended(const std::string& id, std::size_t attempt);
  // The first byte of an attempt came to a host that must not get any more.
  void on_sent_to_closed_host(const std::string& id, const std::string& host);

  // The body of the response that a host makes for a request.
  static std::string body_for(const std::string& id) { return "response to " + id; }
  // The same, followed by padding up to `bytes`.
  static std::string long_body_for(const std::string& id, std::size_t bytes);

  std::size_t requests() const { return requests_.size() - crowd_requests_; }
  std::size_t responses(int status) const;
  std::size_t retries() const { return retries_; }
  // The time within which so many percent of the served requests had their response, in ms.
  double latency_ms(double percent) const;
  std::size_t count(LedgerViolation violation) const {
    return counts_[static_cast<std::size_t>(violation)];
  }
  std::size_t violations() const;
  // Those later than this many seconds after the start.
  std::size_t violations_after(double second) const;
  // The first violations, a line each: second, rule, request, what was seen.
  const std::vector<std::string>& examples() const { return examples_; }

 private:
  void record(LedgerViolation violation, const std::string& id, const std::string& detail);

  std::unordered_map<std::string, Request> requests_;
  std::map<int, std::size_t> responses_;
  std::size_t retries_ = 0;
  std::vector<double> latencies_ms_;  // of the served requests
  std::size_t crowd_requests_ = 0;
  std::size_t counts_[kLedgerViolations] = {};
  std::vector<std::string> examples_;
  std::vector<double> violation_seconds_;
  Time start_ = Clock::now();
};

}  // namespace gateway::lab
