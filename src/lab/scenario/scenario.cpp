#include "lab/scenario/scenario.hpp"

#include <array>
#include <cstdio>
#include <fstream>
#include <set>

#include "lab/model/event_queue.hpp"

namespace gateway::lab {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 15> kFaultNames{
    "slow",         "fast_errors", "neighbour", "stale_list", "discovery_down",
    "gateway_roll", "shared_slow", "drain",     "replace",    "restart",
    "zone_loss",    "silent_cut",  "reset",     "spoilt",     "slow_peers"};

const std::vector<Field<ZoneSpec>> kZone{
    {"name", "", 0, 0, "a name, used once", &ZoneSpec::name},
    {"traffic", "share", 0, 1e6, "of the first tries, against the other zones", &ZoneSpec::traffic},
    {"hosts", "share", 0, 1e6, "of the hosts, against the other zones", &ZoneSpec::hosts}};

const std::vector<Field<NetworkSpec>> kNetwork{
    {"same_ms", "ms", 0.001, 1000, "one way within a zone", &NetworkSpec::same_ms},
    {"cross_ms", "ms", 0.001, 1000, "one way between zones", &NetworkSpec::cross_ms},
    {"client_ms", "ms", 0.001, 1000, "one way between client and gateway", &NetworkSpec::client_ms},
    {"jitter", "share", 0, 2, "standard deviation of each, as a share of its mean",
     &NetworkSpec::jitter}};

const std::vector<Field<GatewaysSpec>> kGateways{
    {"count", "", 1, 1000, "gateways, dealt over the zones", &GatewaysSpec::count},
    {"notice_s", "s", 0, 60, "until the front notices a dead gateway",
     &GatewaysSpec::failure_detection_s},
    {"heavy", "", 0, 1000, "so many, the first, are given more of the traffic",
     &GatewaysSpec::heavy_count},
    {"heavy_times", "times", 0.01, 1000, "what one of the others gets",
     &GatewaysSpec::heavy_factor}};

const std::vector<Field<KindSpec>> kKind{
    {"name", "", 0, 0, "name of the machine kind", &KindSpec::name},
    {"share", "share", 0, 1e6, "of the hosts, against the other kinds", &KindSpec::share},
    {"cores", "", 1, 1024, "cores", &KindSpec::cores},
    {"speed", "yardsticks", 0.01, 100, "of one core", &KindSpec::speed},
    {"slots_per_core", "requests", 1, 10000, "in work at most", &KindSpec::slots_per_core},
    {"queue_per_core", "requests", 0, 10000, "in the waiting room at most",
     &KindSpec::queue_per_core},
    {"thrash", "share", 0, 10, "efficiency lost for each request a core above thrash_at",
     &KindSpec::thrash},
    {"thrash_at", "requests a core", 1, 10000, "where efficiency begins to fall",
     &KindSpec::thrash_at},
    {"cold_share", "share", 0.01, 1, "of its capacity at its start", &KindSpec::cold_share},
    {"cold_s", "s", 0, 600, "until it is warm", &KindSpec::cold_s},
    {"error_rate", "share", 0, 1, "of the answers that fail at any time", &KindSpec::error_rate}};

const std::vector<Field<CrowdingSpec>> kCrowding{
    {"on", "", 0, 0, "lasting slowness after crowding", &CrowdingSpec::on},
    {"holds_per_core", "requests a core", 1, 1000, "more held than this crowds a host",
     &CrowdingSpec::threshold_per_core},
    {"for_s", "s", 0.1, 60, "for so long", &CrowdingSpec::delay_s},
    {"slower", "times", 1, 100, "so much slower it turns", &CrowdingSpec::slowdown},
    {"below_per_core", "requests a core", 0, 1000, "mostly idle: fewer held than this",
     &CrowdingSpec::recovery_threshold_per_core},
    {"rest_s", "s", 0, 600, "until it has been mostly idle for so long,",
     &CrowdingSpec::recovery_s},
    {"most_s", "s", 0, 3600, "or so long in all", &CrowdingSpec::max_slow_s}};

const std::vector<Field<WarmSpec>> kWarm{
    {"on", "", 0, 0, "a key met lately costs less", &WarmSpec::on},
    {"gain", "share", 0, 0.99, "of the work that is saved", &WarmSpec::saving},
    {"for_s", "s", 0, 3600, "for so long after the key was met", &WarmSpec::ttl_s},
    {"keys_per_core", "keys", 0, 1e6, "remembered at most", &WarmSpec::keys_per_core}};

const std::vector<Field<ConnectionSpec>> kConnections{
    {"handshake_trips", "round trips", 0, 20, "for a new connection",
     &ConnectionSpec::handshake_trips},
    {"handshake_us", "us", 0, 1e6, "of the host's work for a new connection",
     &ConnectionSpec::handshake_us},
    {"idle_close_s", "s", 0.1, 3600, "the host's machine closes an idle one after this",
     &ConnectionSpec::idle_close_s},
    {"timeout_ms", "ms", 1, 60000, "one that is not up by then has failed",
     &ConnectionSpec::timeout_ms},
    {"cap_per_core", "connections", 1, 1e6, "held by a host at most",
     &ConnectionSpec::cap_per_core},
    {"full_tax", "share", 0, 0.95, "of the capacity that a full table takes",
     &ConnectionSpec::full_tax}};

const std::vector<Field<ReportSpec>> kReport{
    {"period_ms", "ms", 1, 60000, "between two load reports of a host", &ReportSpec::period_ms},
    {"delay_ms", "ms", 0, 60000, "until an answer carries it", &ReportSpec::delay_ms},
    {"noise", "share", 0, 1, "standard deviation, as a share of the value", &ReportSpec::noise}};

const std::vector<Field<HostsSpec>> kHosts{
    {"count", "", 1, 100000, "hosts at the start", &HostsSpec::count},
    {"cell_size", "hosts", 1, 100000, "hosts of one cell", &HostsSpec::cell_size},
    {"start", "", 0, 0, R"("warm", or "cold": all were restarted just before)", &HostsSpec::start}};

const std::vector<Field<ClientsSpec>> kClients{
    {"load", "share", 0, 10, "first tries, as a share of what all warm hosts can do",
     &ClientsSpec::load},
    {"rate_per_s", "requests/s", 0, 1e6, "first tries; 0: taken from load",
     &ClientsSpec::rate_per_s},
    {"swing", "share", 0, 1, "by which the rate swings, once over the run", &ClientsSpec::swing},
    {"keys", "", 1, 1e7, "distinct keys", &ClientsSpec::keys},
    {"key_skew", "", 0, 4, "Zipf exponent of their popularity", &ClientsSpec::key_skew},
    {"retries", "", 0, 10, "of a client at most", &ClientsSpec::retries},
    {"try_share", "share", 0.05, 1, "of the class's total wait for one try",
     &ClientsSpec::timeout_share},
    {"backoff_ms", "ms", 0, 60000, "wait before the first retry, then doubled",
     &ClientsSpec::backoff_ms},
    {"honour", "share", 0, 1, "of the clients heed Retry-After",
     &ClientsSpec::retry_after_compliance},
    {"impatient", "share", 0, 1, "of the tries whose client leaves early",
     &ClientsSpec::early_disconnect_share}};

const std::vector<Field<ClassSpec>> kClass{
    {"name", "", 0, 0, "name of the class, used once", &ClassSpec::name},
    {"share", "share", 0, 1e6, "of the requests, against the other classes", &ClassSpec::share},
    {"work_ms", "ms", 0.001, 1e6, "mean work on a core of speed 1", &ClassSpec::work_ms},
    {"variation", "", 0, 10, "coefficient of variation of the work", &ClassSpec::variation},
    {"aim_ms", "ms", 1, 1e6, "full worth up to here", &ClassSpec::latency_objective_ms},
    {"give_up_ms", "ms", 1, 1e6, "the client's total wait", &ClassSpec::client_timeout_ms},
    {"worth", "points", 0, 1e6, "for each unit of work", &ClassSpec::priority_weight},
    {"late_share", "share", 0, 1, "of the worth after the aim", &ClassSpec::late_value_fraction},
    {"effect", "", 0, 0, R"("retryable", "dedup" or "fragile")", &ClassSpec::idempotency},
    {"group", "", 0, 0, R"(dedup: hosts that drop repeats together: "all", "zone" or "cell")",
     &ClassSpec::deduplication_scope},
    {"window_ms", "ms", 0, 1e6, "dedup: how long repeats are dropped",
     &ClassSpec::deduplication_window_ms}};

const std::vector<Field<DiscoverySpec>> kDiscovery{
    {"notice_s", "s", 0, 60, "until the list knows that a host is gone or drains",
     &DiscoverySpec::removal_delay_s},
    {"add_s", "s", 0, 60, "until the list knows a new host or a new start",
     &DiscoverySpec::addition_delay_s},
    {"spread_ms", "ms", 0, 60000, "from the list to a gateway that watches",
     &DiscoverySpec::spread_ms},
    {"call_ms", "ms", 0, 10000, "discovery's work for one call", &DiscoverySpec::call_ms},
    {"line_us", "us", 0, 1e6, "discovery's work for one line of an answer",
     &DiscoverySpec::line_us},
    {"timeout_ms", "ms", 1, 60000, "a call that waits longer fails with 503",
     &DiscoverySpec::timeout_ms}};

const std::vector<Field<RulesSpec>> kRules{
    {"answer_slack_ms", "ms", 0, 10000,
     "after the client's time in which an answer still counts as given",
     &RulesSpec::response_slack_ms},
    {"drain_grace_ms", "ms", 0, 60000, "after which nothing new goes to a drained host",
     &RulesSpec::drain_grace_ms},
    {"fall_multiple", "times", 1, 100, "of its capacity fells a cold host",
     &RulesSpec::collapse_load_factor},
    {"fall_ms", "ms", 10, 60000, "window over which that is counted",
     &RulesSpec::collapse_window_ms},
    {"fall_slack_ms", "ms", 0, 60000, "of work that the window bears beyond it",
     &RulesSpec::collapse_slack_ms},
    {"held_back_ms", "ms", 1, 60000, "with nothing under way, before a refusal counts as held back",
     &RulesSpec::max_rejection_delay_ms}};

const std::vector<Field<LimitsSpec>> kLimits{
    {"max_attempts", "", 1, 8, "of the gateway for one request", &LimitsSpec::max_attempts},
    {"max_retry_after_ms", "ms", 0, 60000, "longest wait that clients heed",
     &LimitsSpec::max_retry_after_ms},
    {"cancel", "", 0, 0, "attempts may be cancelled", &LimitsSpec::cancel},
    {"second_copies", "", 0, 0, "a second attempt may be out beside the first",
     &LimitsSpec::hedging},
    {"retry_after", "", 0, 0, "refusals may say when to come back", &LimitsSpec::retry_after}};

const std::vector<Field<FaultSpec>> kFault{
    {"kind", "", 0, 0,
     "slow (size: times), fast_errors (size: share failing), neighbour (size: share of the machine "
     "taken; "
     "extra: "
     "s on or off), stale_list (size: s of delay), discovery_down, gateway_roll (size: share at a "
     "time; "
     "extra: s "
     "down), shared_slow (size: times), drain (extra: s until the host goes; it comes back cold at "
     "the end), "
     "replace (extra: s until the new one is up), restart (extra: s down), zone_loss, silent_cut, "
     "reset "
     "(size: "
     "share of the attempts), spoilt (size: share of the answers), slow_peers (extra: s by which "
     "answers "
     "trickle)",
     &FaultSpec::kind_name},
    {"at_s", "s", 0, 86400, "when it begins", &FaultSpec::at_s},
    {"length_s", "s", 0, 86400, "how long it lasts", &FaultSpec::length_s},
    {"part", "share", 0, 1, "of the hosts or gateways that it meets", &FaultSpec::part},
    {"size", "", 0, 1000, "how bad; the unit depends on the kind", &FaultSpec::size},
    {"extra", "s", 0, 600, "a further time; see kind", &FaultSpec::extra},
    {"zone", "", 0, 0, "zone_loss: the zone; empty: one is drawn", &FaultSpec::zone}};

const std::vector<Field<Scenario>> kScenario{
    {"name", "", 0, 0, "name of the scenario", &Scenario::name},
    {"about", "", 0, 0, "what it shows, in a sentence", &Scenario::about},
    {"length_s", "s", 1, 86400, "time in which clients send", &Scenario::length_s}};

template <class T>
void read_section(const json& object, const char* name, const std::vector<Field<T>>& table,
                  const std::string& path, T& into, std::vector<ValidationError>& mistakes,
                  const std::vector<std::string>& others = {}) {
  if (const auto it = object.find(name); it != object.end()) {
    read_fields(*it, table, others, path + name, into, mistakes);
  }
}

template <class T, class Each>
void read_list(const json& object, const char* name, const std::vector<Field<T>>& table,
               const std::string& path, bool may_be_empty, std::vector<T>& into,
               std::vector<ValidationError>& mistakes, Each check_entry) {
  const auto it = object.find(name);
  if (it == object.end()) {
    return;
  }
  if (!it->is_array() || (it->empty() && !may_be_empty)) {
    mistakes.push_back(
        {path + name, may_be_empty ? "should be a list [...]" : "should be a list with an entry"});
    return;
  }
  into.clear();
  for (std::size_t i = 0; i < it->size(); ++i) {
    const std::string entry_path = path + name + "[" + std::to_string(i) + "]";
    into.emplace_back();
    read_fields((*it)[i], table, {}, entry_path, into.back(), mistakes);
    check_entry(into.back(), entry_path);
  }
}

void check_consistency(const Scenario& s, std::vector<ValidationError>& mistakes) {
  const auto require_positive_sum = [&](const auto& items, auto member, const char* where) {
    double total = 0;
    for (const auto& item : items) {
      total += item.*member;
    }
    if (total <= 0) {
      mistakes.push_back({where, "the shares are all 0; at least one must be above"});
    }
  };
  require_positive_sum(s.zones, &ZoneSpec::traffic, "zones.traffic");
  require_positive_sum(s.zones, &ZoneSpec::hosts, "zones.hosts");
  require_positive_sum(s.hosts.kinds, &KindSpec::share, "hosts.kinds.share");
  require_positive_sum(s.classes, &ClassSpec::share, "classes.share");
  std::set<std::string> names;
  for (const ZoneSpec& z : s.zones) {
    if (!names.insert(z.name).second) {
      mistakes.push_back({"zones", "two zones are named '" + z.name + "'"});
    }
  }
  names.clear();
  for (const ClassSpec& c : s.classes) {
    if (!names.insert(c.name).second) {
      mistakes.push_back({"classes", "two classes are named '" + c.name + "'"});
    }
    if (c.client_timeout_ms < c.latency_objective_ms) {
      mistakes.push_back({"classes." + c.name + ".give_up_ms", "should not be below aim_ms"});
    }
  }
  if (s.hosts.start != "warm" && s.hosts.start != "cold") {
    mistakes.push_back(
        {"hosts.start", "is '" + s.hosts.start + R"('; it should be "warm" or "cold")"});
  }
  for (std::size_t i = 0; i < s.faults.size(); ++i) {
    const FaultSpec& t = s.faults[i];
    if (t.zone.empty()) {
      continue;
    }
    bool found = false;
    for (const ZoneSpec& z : s.zones) {
      found |= z.name == t.zone;
    }
    if (!found) {
      mistakes.push_back(
          {"troubles[" + std::to_string(i) + "].zone", "no zone is named '" + t.zone + "'"});
    }
  }
}

}  // namespace

std::string format_number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.12g", value);
  return text;
}

bool detail::read_number(const json& value, double least, double most, const char* unit,
                         double& into, std::string& mistake) {
  const std::string unit_text = *unit ? std::string(" (") + unit + ")" : "";
  if (!value.is_number()) {
    mistake = "should be a number" + unit_text + " from " + format_number(least) + " to " +
              format_number(most);
    return false;
  }
  const double d = value.get<double>();
  if (!(d >= least && d <= most)) {
    mistake = "is " + format_number(d) + "; it should be " + format_number(least) + " to " +
              format_number(most) + unit_text;
    return false;
  }
  into = d;
  return true;
}

std::string_view name_of(FaultKind kind) {
  return kFaultNames[static_cast<std::size_t>(kind)];
}

// NOLINTNEXTLINE(readability-function-size): too long
ScenarioReading read_scenario(const json& object) {
  ScenarioReading reading;
  Scenario& s = reading.scenario;
  std::vector<ValidationError>& m = reading.mistakes;
  read_fields(object, kScenario,
              {"zones", "network", "gateways", "hosts", "clients", "classes", "discovery", "rules",
               "limits", "troubles"},
              "", s, m);
  if (!object.is_object()) {
    return reading;
  }
  const auto no_check = [](auto&, const std::string&) {
  };
  read_list(object, "zones", kZone, "", false, s.zones, m, no_check);
  read_section(object, "network", kNetwork, "", s.network, m);
  read_section(object, "gateways", kGateways, "", s.gateways, m);
  read_section(object, "hosts", kHosts, "", s.hosts, m,
               {"kinds", "crowding", "warm", "connections", "report"});
  if (const auto hosts = object.find("hosts"); hosts != object.end() && hosts->is_object()) {
    read_list(*hosts, "kinds", kKind, "hosts.", false, s.hosts.kinds, m, no_check);
    read_section(*hosts, "crowding", kCrowding, "hosts.", s.hosts.crowding, m);
    read_section(*hosts, "warm", kWarm, "hosts.", s.hosts.warm, m);
    read_section(*hosts, "connections", kConnections, "hosts.", s.hosts.connections, m);
    read_section(*hosts, "report", kReport, "hosts.", s.hosts.report, m);
  }
  read_section(object, "clients", kClients, "", s.clients, m);
  read_list(
      object, "classes", kClass, "", false, s.classes, m, [&](ClassSpec& c, const std::string& at) {
        if (c.idempotency != "retryable" && c.idempotency != "dedup" &&
            c.idempotency != "fragile") {
          m.push_back({at + ".effect",
                       "is '" + c.idempotency + "'; it should be retryable, dedup or fragile"});
        }
        if (c.deduplication_scope != "all" && c.deduplication_scope != "zone" &&
            c.deduplication_scope != "cell") {
          m.push_back({at + ".group",
                       "is '" + c.deduplication_scope + "'; it should be all, zone or cell"});
        }
      });
  read_section(object, "discovery", kDiscovery, "", s.discovery, m);
  read_section(object, "rules", kRules, "", s.rules, m);
  read_section(object, "limits", kLimits, "", s.limits, m);
  read_list(object, "troubles", kFault, "", true, s.faults, m,
            [&](FaultSpec& t, const std::string& at) {
              for (std::size_t i = 0; i < kFaultNames.size(); ++i) {
                if (t.kind_name == kFaultNames[i]) {
                  t.kind = static_cast<FaultKind>(i);
                  return;
                }
              }
              std::string known;
              for (std::string_view name : kFaultNames) {
                known += (known.empty() ? "" : ", ") + std::string(name);
              }
              m.push_back({at + ".kind", "'" + t.kind_name + "' is no trouble; known: " + known});
            });
  if (m.empty()) {
    check_consistency(s, m);
  }
  return reading;
}

ScenarioReading load_scenario(const std::filesystem::path& path) {
  std::ifstream file(path);
  if (!file || std::filesystem::is_directory(path)) {
    return {{}, {{"", "cannot be read as a file"}}};
  }
  try {
    return read_scenario(json::parse(file));
  } catch (const json::parse_error& error) {
    std::string what = error.what();  // "[json.exception...] parse error at line L, column C: ..."
    if (const auto from = what.find("] "); from != std::string::npos) {
      what = what.substr(from + 2);
    }
    return {{}, {{"", "is not JSON: " + what}}};
  }
}

std::vector<FieldRow> describe_scenario() {
  std::vector<FieldRow> rows;
  describe_fields("", kScenario, rows);
  describe_fields("zones[]", kZone, rows);
  describe_fields("network", kNetwork, rows);
  describe_fields("gateways", kGateways, rows);
  describe_fields("hosts", kHosts, rows);
  describe_fields("hosts.kinds[]", kKind, rows);
  describe_fields("hosts.crowding", kCrowding, rows);
  describe_fields("hosts.warm", kWarm, rows);
  describe_fields("hosts.connections", kConnections, rows);
  describe_fields("hosts.report", kReport, rows);
  describe_fields("clients", kClients, rows);
  describe_fields("classes[]", kClass, rows);
  describe_fields("discovery", kDiscovery, rows);
  describe_fields("rules", kRules, rows);
  describe_fields("limits", kLimits, rows);
  describe_fields("troubles[]", kFault, rows);
  return rows;
}

load_balancer::Settings balancer_settings(const Scenario& s, unsigned gateway_index,
                                          const std::string& zone, std::uint64_t seed) {
  load_balancer::Settings m;
  m.seed = seed;
  m.gateway_count = s.gateways.count;
  m.gateway_index = gateway_index;
  m.zone = zone;
  m.poll_discovery = true;
  m.allow_hedging = s.limits.hedging;
  m.key_affinity = s.hosts.warm.on;
  m.send_retry_after = s.limits.retry_after;
  m.allow_cancellation = s.limits.cancel;
  m.max_attempts = s.limits.max_attempts;
  m.idle_connection_timeout = from_seconds(s.hosts.connections.idle_close_s);
  m.max_retry_after = from_millis(s.limits.max_retry_after_ms);
  m.max_poll_interval = from_seconds(10);
  m.event_batch_interval = from_millis(5);
  m.initial_warmup_fraction = 1;
  for (const KindSpec& k : s.hosts.kinds) {
    m.initial_warmup_fraction = std::min(m.initial_warmup_fraction, k.cold_share.low);
    m.warmup_duration = std::max(m.warmup_duration, from_seconds(k.cold_s.high));
  }
  m.collapse_load_factor = s.rules.collapse_load_factor;
  m.collapse_window = from_millis(s.rules.collapse_window_ms);
  for (const ClassSpec& c : s.classes) {
    load_balancer::ClassSettings settings;
    settings.name = c.name;
    settings.latency_objective = from_millis(c.latency_objective_ms);
    settings.client_timeout = from_millis(c.client_timeout_ms);
    settings.deduplication_window = from_millis(c.deduplication_window_ms);
    settings.idempotency = c.idempotency == "retryable" ? load_balancer::Idempotency::idempotent
                           : c.idempotency == "dedup"   ? load_balancer::Idempotency::deduplicated
                                                      : load_balancer::Idempotency::non_idempotent;
    settings.deduplication_scope =
        c.deduplication_scope == "zone"   ? load_balancer::DeduplicationScope::zone
        : c.deduplication_scope == "cell" ? load_balancer::DeduplicationScope::cell
                                          : load_balancer::DeduplicationScope::global;
    settings.priority_weight = c.priority_weight;
    settings.late_value_fraction = c.late_value_fraction;
    m.classes.push_back(settings);
  }
  return m;
}

}  // namespace gateway::lab
