// Model of the clients: their operations, how long they wait, and when they retry. An operation is
// what a client wants done; the client sends one request for it and may retry. No clock and no I/O:
// the simulation and the live run both drive it.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "lab/analysis/run_metrics.hpp"
#include "lab/model/event_queue.hpp"
#include "lab/model/random.hpp"
#include "lab/model/traffic.hpp"
#include "lab/scenario/scenario.hpp"

namespace gateway::lab {

// Outcome of one request as the client sees it. unreachable: no gateway accepted the connection;
// unanswered: no response within the client's time.
enum class RequestOutcome { served, refused, failed, unanswered, unreachable };

class Clients {
 public:
  Clients(const Scenario& scenario, std::uint64_t seed, Time start, RunMetrics& metrics);

  using OperationId = std::uint32_t;  // reused once the operation has ended
  OperationId begin_operation(const Arrival& arrival);
  const Arrival& arrival(OperationId operation) const { return operations_[operation].arrival; }

  // Begins a request of the operation and draws how long its client waits.
  struct RequestPlan {
    Duration timeout{};                        // from now
    std::optional<Duration> disconnect_after;  // if set, the client closes the connection then
  };
  RequestPlan begin_request(Time now, OperationId operation);

  // Records the outcome of the request. Returns the wait before the retry; without one the
  // operation has ended and its id is free.
  std::optional<Duration> end_request(Time now, OperationId operation, RequestOutcome outcome,
                                      Duration retry_after);

  std::size_t open_operations() const { return open_operations_; }

 private:
  struct Operation {
    Arrival arrival;
    Time deadline{};
    unsigned requests = 0;
    bool honours_retry_after = false;
    double timeout_share = 0.5, backoff = 0.1, value = 0;
  };
  bool may_retry(const Operation& operation, RequestOutcome outcome) const;

  const Scenario& scenario_;
  RunMetrics& metrics_;
  Random random_;
  Time start_;
  double timeout_share_, backoff_;
  std::vector<Operation> operations_;
  std::vector<OperationId> free_ids_;
  std::size_t open_operations_ = 0;
};

}  // namespace gateway::lab
