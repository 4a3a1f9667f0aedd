// The clients' side: what they wish, how long they wait, when they come again. Pure; the virtual
// fleet and the load tool both ask it. A wish is what a client wants done; a try is one request for
// it.
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

enum class RequestOutcome {
  served,
  refused,
  failed,
  unanswered,
  unreachable
};  // unreachable: no gateway took it

class Clients {
 public:
  Clients(const Scenario& scenario, std::uint64_t seed, Time start, RunMetrics& tally);

  using OperationId = std::uint32_t;  // given out again once the wish is over
  OperationId begin_operation(const Arrival& first);
  const Arrival& arrival(OperationId wish) const { return wishes_[wish].first; }

  // A try sets out: how long its client will wait. `leaves`: it will go away after that time
  // without a word.
  struct RequestPlan {
    Duration timeout{};
    std::optional<Duration> disconnect_after;
  };
  RequestPlan begin_request(Time now, OperationId wish);

  // What became of the try. The wait until the next one, or none: the wish is over and its id is
  // free.
  std::optional<Duration> end_request(Time now, OperationId wish, RequestOutcome end,
                                      Duration retry_after);

  std::size_t open_operations() const { return open_; }

 private:
  struct Wish {
    Arrival first;
    Time deadline{};
    unsigned tries = 0;
    bool honours = false;
    double share = 0.5, backoff = 0.1, worth = 0;
  };
  bool may_come_again(const Wish& wish, RequestOutcome end) const;

  const Scenario& scenario_;
  RunMetrics& tally_;
  Random random_;
  Time start_;
  double share_, backoff_;
  std::vector<Wish> wishes_;
  std::vector<OperationId> free_;
  std::size_t open_ = 0;
};

}  // namespace gateway::lab
