// A scenario: the fleet, its clients, its troubles. Every constant of the model stands here, with its unit in
// the name. Bounds and meanings: the tables in scenario.cpp, printed by `fennelridge-lab fields`.
#pragma once

#include <filesystem>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lab/fields.hpp"
#include "ochrehill/ochrehill.hpp"

namespace fennelridge::lab {

struct ZoneSpec {
  std::string name = "a";
  double traffic = 1, hosts = 1;  // shares, against the other zones
};

struct NetworkSpec {  // one way each
  Range sameMs{0.09, 0.33}, crossMs{9, 16}, clientMs{0.3, 1.1};
  double jitter = 0.15;  // standard deviation, as a share of the mean
};

struct KindSpec {  // machines of one size
  std::string name = "std";
  double share = 1;
  unsigned cores = 3;
  Range speed{1};           // yardstick 1: work of 1 s takes 1 s of one core
  Range slotsPerCore{16};   // requests in work
  Range queuePerCore{16};   // waiting room
  Range thrash{0.08};       // efficiency lost for each request a core above thrashAt
  Range thrashAt{6};        // requests a core
  Range coldShare{0.2};     // of its capacity, at its start
  Range coldS{18};          // to full capacity
  Range errorRate{0.0005};  // answers that fail at any time
};

struct CrowdingSpec {  // lasting slowness after too many waited
  bool on = true;
  Range holdsPerCore{4, 7}, forS{1.5, 2.5}, slower{2, 3.4}, belowPerCore{0.25, 0.4}, restS{2.6, 4.5},
      mostS{18, 32};
};

struct WarmSpec {  // a key met lately costs less
  bool on = true;
  Range gain{0.36, 0.62}, forS{2.3, 9.7}, keysPerCore{4.8, 9.5};
};

struct ConnectionSpec {
  unsigned handshakeTrips = 2;
  Range handshakeUs{1700, 4000};  // of the host's work
  double idleCloseS = 15, timeoutMs = 250;
  Range capPerCore{600, 900};
  Range fullTax{0.16, 0.38};  // of the capacity, at a full table
};

struct ReportSpec {  // load reports on answers
  Range periodMs{320, 1500}, delayMs{150, 490};
  double noise = 0.03;
};

struct HostsSpec {
  unsigned count = 13;
  unsigned cellSize = 4;
  std::string start = "warm";  // or "cold": all have been restarted just before
  std::vector<KindSpec> kinds{KindSpec{}};
  CrowdingSpec crowding;
  WarmSpec warm;
  ConnectionSpec connections;
  ReportSpec report;
};

struct GatewaysSpec {
  unsigned count = 4;
  Range noticeS{0.94, 4};  // the front goes on sending to a dead one
  unsigned heavy = 0;      // the first so many are given `heavyTimes` the traffic of the others
  double heavyTimes = 20;
};

struct ClientsSpec {
  Range load{0.5};      // of what all warm hosts can do; not used where ratePerS is set
  double ratePerS = 0;  // of first tries, over the whole fleet
  double swing = 0.2;   // the rate swings by this share, once over the run
  unsigned keys = 400;
  double keySkew = 0.8;  // Zipf exponent
  unsigned retries = 2;
  Range tryShare{0.4, 0.8};  // of the class's total wait, for one try
  Range backoffMs{60, 480};  // doubled at each retry
  double honour = 0.85;      // share of clients that heed Retry-After
  double impatient = 0.01;   // share that leaves early
};

struct ClassSpec {
  std::string name = "status";
  double share = 1;
  Range workMs{100};
  Range variation{0.3};  // coefficient of variation of the work
  double aimMs = 600, giveUpMs = 2500, worth = 1, lateShare = 0.25;
  std::string effect = "retryable";  // dedup, fragile
  std::string group = "all";         // zone, cell
  double windowMs = 5000;
};

struct DiscoverySpec {
  Range noticeS{0.5, 4.9}, addS{1, 2.1};  // until the list knows of a way out; of a start
  Range spreadMs{31, 110};                // from the list to a gateway that watches
  double callMs = 4, lineUs = 100;        // its work for one call; for one line
  double timeoutMs = 2000;                // a call that waits longer fails
};

struct RulesSpec {
  double answerSlackMs = 50, drainGraceMs = 550, fallMultiple = 3, fallMs = 1000, fallSlackMs = 300;
  double heldBackMs = 100;  // a refusal with nothing under way for longer was held back
};

struct LimitsSpec {  // what the gateways are allowed
  unsigned maxAttempts = 4;
  double maxRetryAfterMs = 2000;
  bool cancel = true, secondCopies = true, retryAfter = true;
};

enum class TroubleKind {
  slow,
  fastErrors,
  neighbour,
  staleList,
  discoveryDown,
  gatewayRoll,
  sharedSlow,
  drain,
  replace,
  restart,
  zoneLoss,
  silentCut,
  reset,
  spoilt,
  slowPeers
};
std::string_view nameOf(TroubleKind kind);

struct TroubleSpec {
  std::string kindName = "slow";
  TroubleKind kind = TroubleKind::slow;
  Range atS{10}, lengthS{10};
  Range part{0.2};   // of the hosts (gatewayRoll: of the gateways)
  Range size{2};     // by kind, see `fennelridge-lab fields`
  Range extra{1};    // by kind
  std::string zone;  // zoneLoss: which one; empty: drawn
};

struct Scenario {
  std::string name = "unnamed", about;
  double lengthS = 40;
  std::vector<ZoneSpec> zones{ZoneSpec{}};
  NetworkSpec network;
  GatewaysSpec gateways;
  HostsSpec hosts;
  ClientsSpec clients;
  std::vector<ClassSpec> classes{ClassSpec{}};
  DiscoverySpec discovery;
  RulesSpec rules;
  LimitsSpec limits;
  std::vector<TroubleSpec> troubles;
};

// A scenario, or the mistakes in it (then the scenario is not to be used).
struct ScenarioReading {
  Scenario scenario;
  std::vector<Mistake> mistakes;
};
ScenarioReading readScenario(const nlohmann::json& json);
ScenarioReading loadScenario(const std::filesystem::path& file);  // an unreadable file is one mistake

// The reference of all fields.
std::vector<FieldRow> describeScenario();

// The module's settings for gateway `number`, as the platform would tell them.
ochrehill::Settings moduleSettings(const Scenario& scenario, unsigned number, const std::string& zone,
                                   std::uint64_t seed);

}  // namespace fennelridge::lab
