#include "simulator_adapter/adapter.hpp"

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <variant>

namespace load_balancer::wire {
namespace {

// A line that breaks the protocol. The message names the field that is wrong.
struct MalformedLine : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A field of a line: "name=value".
struct Pair {
  std::string_view name, value;
};

// Removes the next space-separated token from the front of `rest` and returns it.
std::string_view next_token(std::string_view& rest) {
  const std::size_t end = rest.find(' ');
  const std::string_view token = rest.substr(0, end);
  rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
  return token;
}

// Removes the next field from the front of `rest`. False at the end of the line.
bool next_pair(std::string_view& rest, Pair& pair) {
  while (!rest.empty()) {
    const std::string_view token = next_token(rest);
    if (token.empty()) {
      continue;
    }
    const std::size_t equals_sign = token.find('=');
    if (equals_sign == std::string_view::npos) {
      throw MalformedLine("'" + std::string(token) + "' is not of the form name=value");
    }
    pair = {token.substr(0, equals_sign), token.substr(equals_sign + 1)};
    return true;
  }
  return false;
}

template <class Number>
Number to_number(const Pair& pair) {
  Number value{};
  const auto [end, error] =
      std::from_chars(pair.value.data(), pair.value.data() + pair.value.size(), value);
  if (error != std::errc{} || end != pair.value.data() + pair.value.size()) {
    throw MalformedLine(std::string(pair.name) + ": '" + std::string(pair.value) +
                        "' is not a number in range");
  }
  return value;
}

Duration to_duration(const Pair& pair) {
  return Duration(to_number<std::int64_t>(pair));
}

bool to_boolean(const Pair& pair) {
  if (pair.value == "1" || pair.value == "true") {
    return true;
  }
  if (pair.value == "0" || pair.value == "false") {
    return false;
  }
  throw MalformedLine(std::string(pair.name) + ": '" + std::string(pair.value) +
                      "' is not a boolean (1, true, 0 or false)");
}

// The outcome for a value of the field "disposition".
AttemptOutcome to_outcome(int code) {
  switch (code) {
    case 10:
      return AttemptOutcome::success;
    case 20:
      return AttemptOutcome::server_error;
    case 30:
      return AttemptOutcome::rejected_by_host;
    case 40:
      return AttemptOutcome::timeout;
    case 50:
      return AttemptOutcome::connect_failed;
    case 60:
      return AttemptOutcome::reset;
    case 70:
      return AttemptOutcome::cancelled;
    case 80:
      return AttemptOutcome::not_sent;
    default:
      throw MalformedLine("disposition: unknown code " + std::to_string(code));
  }
}

void append_number(std::string& out, std::int64_t number) {
  char buffer[24];
  const auto end = std::to_chars(buffer, buffer + sizeof buffer, number).ptr;
  out.append(buffer, end);
}

// Calls visit(index, field) if `path` has the form "<head>.<index>.<field>", with an index up to
// 1000.
template <class Visitor>
void visit_indexed_field(std::string_view path, std::string_view head, Visitor visit) {
  if (path.substr(0, head.size()) != head || path.size() <= head.size() ||
      path[head.size()] != '.') {
    return;
  }
  path.remove_prefix(head.size() + 1);
  const std::size_t dot = path.find('.');
  if (dot == std::string_view::npos) {
    return;
  }
  std::size_t index = 0;
  const auto [end, error] = std::from_chars(path.data(), path.data() + dot, index);
  if (error != std::errc{} || end != path.data() + dot || index > 1000) {
    return;
  }
  visit(index, path.substr(dot + 1));
}

// The elements of a comma-separated list, without the empty ones.
std::vector<std::string> split_list(std::string_view list) {
  std::vector<std::string> elements;
  for (std::size_t end; !list.empty(); list.remove_prefix(std::min(end + 1, list.size()))) {
    end = std::min(list.find(','), list.size());
    if (end > 0) {
      elements.emplace_back(list.substr(0, end));
    }
  }
  return elements;
}

// The element at `index`, up to which the vector grows if needed.
template <class T>
T& grow_and_get(std::vector<T>& elements, std::size_t index) {
  if (elements.size() <= index) {
    elements.resize(index + 1);
  }
  return elements[index];
}

}  // namespace

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): one table
Settings read_settings(std::string_view rest) {
  Settings settings;
  Pair pair;
  try {
    while (next_pair(rest, pair)) {
      const std::string_view name = pair.name;
      if (name == "rngSeed") {
        settings.seed = static_cast<std::uint64_t>(to_number<std::int64_t>(pair));
      } else if (name == "groupSize") {
        settings.gateway_count = to_number<std::uint32_t>(pair);
      } else if (name == "ceilings.parallelTries") {
        settings.allow_hedging = to_boolean(pair);
      } else if (name == "weights") {
        settings.dynamic_weights = pair.value == "live";
      } else if (name == "myNumber") {
        settings.gateway_index = to_number<std::uint32_t>(pair);
      } else if (name == "zone") {
        settings.zone = pair.value;
      } else if (name == "overShareWorth") {
        settings.over_quota_weight = to_number<double>(pair);
      } else if (name == "registryMode") {
        settings.poll_discovery = pair.value == "ask";
      } else if (name == "stepNs") {
        settings.event_batch_interval = to_duration(pair);
      } else if (name == "domain.warmKeys") {
        settings.key_affinity = to_boolean(pair);
      } else if (name == "ceilings.retryAfter") {
        settings.send_retry_after = to_boolean(pair);
      } else if (name == "ceilings.cancel") {
        settings.allow_cancellation = to_boolean(pair);
      } else if (name == "ceilings.maxAttempts") {
        settings.max_attempts = to_number<std::uint32_t>(pair);
      } else if (name == "ceilings.streamsPerConn") {
        settings.streams_per_connection = to_number<std::uint32_t>(pair);
      } else if (name == "ceilings.idleCloseNs") {
        settings.idle_connection_timeout = to_duration(pair);
      } else if (name == "ceilings.maxRetryAfterNs") {
        settings.max_retry_after = to_duration(pair);
      } else if (name == "rules.askWithinNs") {
        settings.max_poll_interval = to_duration(pair);
      } else if (name == "rules.coldNs") {
        settings.warmup_duration = to_duration(pair);
      } else if (name == "rules.coldShare") {
        settings.initial_warmup_fraction = to_number<double>(pair);
      } else if (name == "rules.fallMultiple") {
        settings.collapse_load_factor = to_number<double>(pair);
      } else if (name == "rules.fallNs") {
        settings.collapse_window = to_duration(pair);
      } else if (name == "rules.keyRestNs") {
        settings.key_cooldown = to_duration(pair);
      } else {
        visit_indexed_field(name, "grades", [&](std::size_t index, std::string_view field) {
          ClassSettings& class_settings = grow_and_get(settings.classes, index);
          if (field == "name") {
            class_settings.name = pair.value;
          } else if (field == "aimNs") {
            class_settings.latency_objective = to_duration(pair);
          } else if (field == "giveUpNs") {
            class_settings.client_timeout = to_duration(pair);
          } else if (field == "windowNs") {
            class_settings.deduplication_window = to_duration(pair);
          } else if (field == "points") {
            class_settings.priority_weight = to_number<double>(pair);
          } else if (field == "lateShare") {
            class_settings.late_value_fraction = to_number<double>(pair);
          } else if (field == "aimStretch") {
            class_settings.latency_objective_per_cost = to_number<double>(pair);
          } else if (field == "inTurn") {
            class_settings.serialize_by_key = to_boolean(pair);
          } else if (field == "staysIn") {
            class_settings.zones = split_list(pair.value);
          } else if (field == "boundTo") {
            class_settings.machine_types = split_list(pair.value);
          } else if (field == "effect") {
            class_settings.idempotency = pair.value == "retryable" ? Idempotency::idempotent
                                         : pair.value == "dedup"   ? Idempotency::deduplicated
                                                                   : Idempotency::non_idempotent;
          } else if (field == "group") {
            class_settings.deduplication_scope = pair.value == "all"    ? DeduplicationScope::global
                                                 : pair.value == "zone" ? DeduplicationScope::zone
                                                                        : DeduplicationScope::cell;
          }
        });
        visit_indexed_field(name, "tenants", [&](std::size_t index, std::string_view field) {
          TenantSettings& tenant = grow_and_get(settings.tenants, index);
          if (field == "name") {
            tenant.name = pair.value;
          } else if (field == "quotaRps") {
            tenant.quota_per_second = to_number<double>(pair);
          }
        });
      }
    }
  } catch (const MalformedLine& error) {
    throw std::invalid_argument(error.what());
  }
  // The wire may name a client timeout below the latency objective, which validate() would reject.
  for (ClassSettings& class_settings : settings.classes) {
    class_settings.client_timeout =
        std::max(class_settings.client_timeout, class_settings.latency_objective);
  }
  return settings;
}

// A simulated gateway: its Balancer, and the map between the request ids of the wire (the text
// after "ref=") and those of the Balancer. A RequestId is the slot of the request and, above 32
// bits, the generation of the slot, so that ids are never reused.
struct Adapter::Gateway {
  struct RequestSlot {
    std::string ref;  // empty: the slot is free
    std::uint32_t generation = 0;
    std::uint32_t attempts_in_flight = 0;
    bool ended = false;  // the client needs no further response
  };

  std::string name;
  Balancer balancer;
  std::unordered_map<std::string, std::uint32_t, TextHash, std::equal_to<>> slot_by_ref;
  std::vector<RequestSlot> requests;
  std::vector<std::uint32_t> free_slots;
  std::unordered_map<std::string, std::uint32_t, TextHash, std::equal_to<>> class_by_name;
  std::unordered_map<std::string, std::uint32_t, TextHash, std::equal_to<>> tenant_by_name;
  std::vector<std::string> report_fields;  // names of the values in "metrics", in their order
  std::string reply;                       // lines for the present batch
  bool has_event = false;                  // in the present batch

  Gateway(std::string_view gateway_name, const Settings& settings, Time now)
      : name(gateway_name), balancer(settings, now) {
    for (std::size_t i = 0; i < settings.classes.size(); ++i) {
      class_by_name.emplace(settings.classes[i].name, static_cast<std::uint32_t>(i));
    }
    for (std::size_t i = 0; i < settings.tenants.size(); ++i) {
      tenant_by_name.emplace(settings.tenants[i].name, static_cast<std::uint32_t>(i));
    }
  }

  // Reads the comma-separated values of "metrics"; an empty one is not reported.
  LoadReport to_load_report(std::string_view values) const {
    LoadReport report;
    for (const std::string& field : report_fields) {
      if (values.empty()) {
        break;
      }
      const std::size_t end = std::min(values.find(','), values.size());
      const std::string_view text = values.substr(0, end);
      values.remove_prefix(std::min(end + 1, values.size()));
      if (text.empty()) {
        continue;
      }
      const auto value = to_number<double>({field, text});
      if (!(value >= 0 && value <= 1e6)) {
        throw MalformedLine("metrics: '" + std::string(text) +
                            "' is out of range; expected 0 to 1e6");
      }
      if (field == "utilization") {
        report.utilization = std::min(value, 1.0);
      }
      if (field == "recent_ms") {
        report.recent_service_time = Duration(static_cast<Duration::rep>(value * 1e6));
      }
    }
    return report;
  }
  RequestId id_of(std::uint32_t slot) const {
    return (static_cast<RequestId>(requests[slot].generation) << 32) | slot;
  }
  // Adds a request under a ref that is not in use.
  RequestId add_request(std::string_view ref) {
    std::uint32_t slot;
    if (free_slots.empty()) {
      slot = static_cast<std::uint32_t>(requests.size());
      requests.emplace_back();
    } else {
      slot = free_slots.back();
      free_slots.pop_back();
    }
    RequestSlot& request = requests[slot];
    request.ref.assign(ref);
    ++request.generation;
    request.attempts_in_flight = 0;
    request.ended = false;
    slot_by_ref.emplace(request.ref, slot);
    return id_of(slot);
  }
  // Null if no request has that ref; else sets `slot`.
  RequestSlot* find_request(std::string_view ref, std::uint32_t& slot) {
    const auto position = slot_by_ref.find(ref);
    if (position == slot_by_ref.end()) {
      return nullptr;
    }
    slot = position->second;
    return &requests[slot];
  }
  // Frees the slot if the request has ended and no attempt is in flight.
  void remove_if_over(std::uint32_t slot) {
    RequestSlot& request = requests[slot];
    if (!request.ended || request.attempts_in_flight > 0) {
      return;
    }
    slot_by_ref.erase(request.ref);
    request.ref.clear();
    free_slots.push_back(slot);
  }
};

Adapter::Adapter(std::ostream& errors) : errors_(errors) {}
Adapter::~Adapter() = default;

void Adapter::report_error(std::string_view line, std::string_view cause) {
  errors_ << "line " << line_number_ << ": " << cause << ": " << line.substr(0, 120) << '\n';
}

// NOLINTNEXTLINE(readability-function-size): one branch for each kind of line
bool Adapter::feed(std::string_view line, std::string& reply) {
  ++line_number_;
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    return false;
  }
  std::string_view rest = line;
  const std::string_view name = next_token(rest);
  try {
    if (missing_rows_ > 0 && name != "ROW") {
      missing_rows_ = 0;
      report_error(line, "the list before this line is incomplete: ROW lines are missing");
    }
    if (name == "FRAME") {
      if (inside_batch_) {
        report_error(line, "FRAME inside a batch");
      }
      inside_batch_ = true;
      Pair pair;
      bool has_time = false;
      while (next_pair(rest, pair)) {
        if (pair.name == "tNs") {
          now_ns_ = std::max(now_ns_, to_number<std::int64_t>(pair));
          has_time = true;
        }
      }
      if (!has_time) {
        throw MalformedLine("tNs is missing");
      }
      return false;
    }
    if (name == "EOF_BATCH") {
      if (!inside_batch_) {
        report_error(line, "EOF_BATCH outside a batch");
      }
      inside_batch_ = false;
      for (Gateway* gateway : batch_gateways_) {
        reply += gateway->reply;
        gateway->reply.clear();
        gateway->has_event = false;
      }
      batch_gateways_.clear();
      reply += "OK\n";
      return true;
    }
    if (!inside_batch_) {
      throw MalformedLine("event outside a batch");
    }
    handle_event(name, rest);
  } catch (const MalformedLine& error) {
    report_error(line, error.what());
  }
  return false;
}

Adapter::Gateway& Adapter::gateway_of(std::string_view rest) {
  while (!rest.empty()) {
    const std::string_view token = next_token(rest);
    if (token.substr(0, 2) != "i=") {
      continue;
    }
    const auto position = gateways_.find(token.substr(2));
    if (position == gateways_.end()) {
      throw MalformedLine("i: unknown gateway");
    }
    Gateway& gateway = *position->second;
    if (!gateway.has_event) {
      gateway.has_event = true;
      batch_gateways_.push_back(&gateway);
    }
    return gateway;
  }
  throw MalformedLine("i is missing");
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): dispatch
void Adapter::handle_event(std::string_view name, std::string_view rest) {
  if (name == "REQ") {
    return on_request(gateway_of(rest), rest);
  }
  if (name == "SETTLED") {
    return on_settled(gateway_of(rest), rest);
  }
  if (name == "ROW") {
    return on_row(rest);
  }
  if (name == "LEDGER") {
    return on_ledger(rest);
  }
  if (name == "ENLIST") {
    return on_enlist(rest);
  }
  if (name == "MEMBERSHIP") {
    return on_membership(gateway_of(rest), rest);
  }
  Pair pair;
  if (name == "RETIRE") {
    Gateway& gateway = gateway_of(rest);  // its requests and unsent actions are dropped
    batch_gateways_.erase(std::find(batch_gateways_.begin(), batch_gateways_.end(), &gateway));
    gateways_.erase(gateways_.find(gateway.name));
    return;
  }
  if (name == "TIMEOUT_FIRED") {
    Gateway& gateway = gateway_of(rest);
    gateway.balancer.on_wakeup(Time(now_ns_));
    return print_actions(gateway);
  }
  if (name == "LEFT" || name == "HEAD_RECEIVED") {
    Gateway& gateway = gateway_of(rest);
    std::string_view ref;
    std::uint32_t attempt = 0;
    std::uint32_t slot = 0;
    while (next_pair(rest, pair)) {
      if (pair.name == "ref") {
        ref = pair.value;
      } else if (pair.name == "go") {
        attempt = to_number<std::uint32_t>(pair);
      }
    }
    if (ref.empty()) {
      throw MalformedLine("ref is missing");
    }
    Gateway::RequestSlot* request = gateway.find_request(ref, slot);
    if (!request) {
      return;  // the request is over already
    }
    if (name == "LEFT") {
      gateway.balancer.on_client_disconnected(Time(now_ns_), gateway.id_of(slot));
      request->ended = true;
    } else {
      gateway.balancer.on_response_started(Time(now_ns_), gateway.id_of(slot), attempt);
    }
    print_actions(gateway);
    if (name == "LEFT" && gateway.find_request(ref, slot)) {
      gateway.remove_if_over(slot);
    }
    return;
  }
  if (name == "PROBED" || name == "FROM_PEER") {
    gateway_of(rest);  // checks the gateway; the Balancer does not use these events
    return;
  }
  throw MalformedLine("unknown event");
}

// A gateway that is enlisted again has restarted: its requests and estimates are dropped.
void Adapter::on_enlist(std::string_view rest) {
  std::string_view scan = rest;
  std::string_view name;
  std::string_view fields;
  Pair pair;
  while (next_pair(scan, pair)) {
    if (pair.name == "i") {
      name = pair.value;
    } else if (pair.name == "report.fields") {
      fields = pair.value;
    }
  }
  if (name.empty()) {
    throw MalformedLine("i is missing");
  }
  const auto old = gateways_.find(name);
  if (old != gateways_.end()) {
    batch_gateways_.erase(
        std::remove(batch_gateways_.begin(), batch_gateways_.end(), old->second.get()),
        batch_gateways_.end());
    gateways_.erase(old);
  }
  try {
    auto gateway = std::make_unique<Gateway>(name, read_settings(rest), Time(now_ns_));
    gateway->report_fields = split_list(fields);
    gateways_.emplace(std::string(name), std::move(gateway));
  } catch (const std::invalid_argument& error) {
    throw MalformedLine(error.what());
  }
  gateway_of(rest);
}

void Adapter::on_ledger(std::string_view rest) {
  Pair pair;
  std::size_t index = lists_.size();
  std::size_t rows = 0;
  while (next_pair(rest, pair)) {
    if (pair.name == "buffer") {
      index = to_number<std::size_t>(pair);
    } else if (pair.name == "rowsIn") {
      rows = to_number<std::size_t>(pair);
    }
  }
  if (index >= lists_.size()) {
    throw MalformedLine("buffer is missing or out of range; expected 0 to 15");
  }
  current_list_ = &lists_[index];
  current_list_->is_known = true;
  current_list_->entries.clear();
  missing_rows_ = rows;
}

void Adapter::on_row(std::string_view rest) {
  if (missing_rows_ == 0) {
    throw MalformedLine("ROW outside a list");
  }
  --missing_rows_;
  Endpoint endpoint;
  Pair pair;
  while (next_pair(rest, pair)) {
    if (pair.name == "host") {
      endpoint.address = pair.value;
    } else if (pair.name == "locality") {
      endpoint.zone = pair.value;
    } else if (pair.name == "machine") {
      endpoint.machine_type = pair.value;
    } else if (pair.name == "block") {
      endpoint.cell = to_number<std::int64_t>(pair);
    } else if (pair.name == "capacityHint") {
      endpoint.weight = to_number<double>(pair);
    } else if (pair.name == "upSinceNs") {
      endpoint.started_at = to_duration(pair);
    } else if (pair.name == "phase") {
      if (pair.value == "IN") {
        endpoint.state = EndpointState::active;
      } else if (pair.value == "LAME") {
        endpoint.state = EndpointState::draining;
      } else if (pair.value == "OUT") {
        endpoint.state = EndpointState::removed;
      } else {
        throw MalformedLine("phase: expected IN, LAME or OUT");
      }
    }
  }
  if (endpoint.address.empty()) {
    throw MalformedLine("host is missing");
  }
  current_list_->entries.push_back(std::move(endpoint));
}

void Adapter::on_membership(Gateway& gateway, std::string_view rest) {
  Pair pair;
  std::size_t index = lists_.size();
  std::string_view kind;
  while (next_pair(rest, pair)) {
    if (pair.name == "kind") {
      kind = pair.value;
    } else if (pair.name == "buffer" && pair.value != "-") {
      index = to_number<std::size_t>(pair);
    }
  }
  static const std::vector<Endpoint> kNoEntries;
  if (kind == "unavailable") {
    gateway.balancer.on_endpoint_update(Time(now_ns_), EndpointUpdateKind::unavailable, kNoEntries);
    return print_actions(gateway);
  }
  EndpointUpdateKind update_kind;
  if (kind == "update") {
    update_kind = EndpointUpdateKind::delta;
  } else if (kind == "replace") {
    update_kind = EndpointUpdateKind::snapshot;
  } else if (kind == "restored") {
    update_kind = EndpointUpdateKind::restored;
  } else {
    throw MalformedLine("kind: expected unavailable, update, replace or restored");
  }
  if (index >= lists_.size() || !lists_[index].is_known) {
    throw MalformedLine("buffer: no LEDGER has set this list");
  }
  gateway.balancer.on_endpoint_update(Time(now_ns_), update_kind, lists_[index].entries);
  print_actions(gateway);
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity,readability-function-size): one table
void Adapter::on_request(Gateway& gateway, std::string_view rest) {
  Request request;
  std::string_view ref;
  std::string_view scan = rest;
  Pair pair;
  // The ref is read first, so that a malformed request still gets a response.
  while (!scan.empty()) {
    const std::string_view token = next_token(scan);
    if (token.substr(0, 4) == "ref=") {
      ref = token.substr(4);
      break;
    }
  }
  if (ref.empty()) {
    throw MalformedLine("ref is missing");
  }
  std::uint32_t slot = 0;
  if (gateway.find_request(ref, slot)) {
    throw MalformedLine("ref: a request with this id is still active");
  }
  try {
    bool has_time = false;
    bool has_class = false;
    while (next_pair(rest, pair)) {
      if (pair.name == "leftNs") {
        request.time_remaining = to_duration(pair);
        has_time = true;
      } else if (pair.name == "costNs") {
        request.cost = to_duration(pair);
      } else if (pair.name == "tierClass") {
        const auto position = gateway.class_by_name.find(pair.value);
        request.class_index = position == gateway.class_by_name.end() ? kNone : position->second;
        has_class = true;
      } else if (pair.name == "realm") {
        const auto position = gateway.tenant_by_name.find(pair.value);
        request.tenant_index = position == gateway.tenant_by_name.end() ? kNone : position->second;
      } else if (pair.name == "routeKey") {
        const auto [end, error] = std::from_chars(
            pair.value.data(), pair.value.data() + pair.value.size(), request.key, 16);
        if (error != std::errc{} || end != pair.value.data() + pair.value.size()) {
          throw MalformedLine("routeKey: expected a hexadecimal number of 64 bits");
        }
        request.has_key = true;
      } else if (pair.name == "repeat") {
        to_boolean(pair);  // only checked: time_remaining shows how late a repeated request is
      }
    }
    if (!has_time) {
      throw MalformedLine("leftNs is missing");
    }
    if (!has_class) {
      throw MalformedLine("tierClass is missing");
    }
  } catch (const MalformedLine&) {
    gateway.reply += "RESPOND_ERROR i=" + gateway.name + " ref=" + std::string(ref) + "\n";
    throw;
  }
  request.id = gateway.add_request(ref);
  gateway.balancer.on_request(Time(now_ns_), request);
  print_actions(gateway);
}

void Adapter::on_settled(Gateway& gw, std::string_view rest) {
  AttemptResult result;
  std::string_view ref;
  std::string_view host;
  std::string_view load;
  Pair pair;
  bool has_attempt = false;
  bool has_outcome = false;
  while (next_pair(rest, pair)) {
    if (pair.name == "ref") {
      ref = pair.value;
    } else if (pair.name == "go") {
      result.attempt = to_number<std::uint32_t>(pair);
      has_attempt = true;
    } else if (pair.name == "disposition") {
      result.outcome = to_outcome(to_number<int>(pair));
      has_outcome = true;
    } else if (pair.name == "timeTakenNs") {
      result.elapsed = to_duration(pair);
    } else if (pair.name == "terminal") {
      result.is_final = to_boolean(pair);
    } else if (pair.name == "host") {
      host = pair.value;
    } else if (pair.name == "metrics") {
      load = pair.value;
    }
  }
  if (ref.empty() || !has_attempt || !has_outcome) {
    throw MalformedLine("ref, go or disposition is missing");
  }
  std::uint32_t slot = 0;
  Gateway::RequestSlot* request = gw.find_request(ref, slot);
  if (!request) {
    return;
  }
  result.request = gw.id_of(slot);
  if (request->attempts_in_flight > 0) {
    --request->attempts_in_flight;
  }
  if (result.is_final) {
    request->ended = true;
  }
  if (!load.empty()) {
    gw.balancer.on_load_report(Time(now_ns_), gw.balancer.find_host(host), gw.to_load_report(load));
  }
  gw.balancer.on_attempt_result(Time(now_ns_), result);
  print_actions(gw);
  if (gw.find_request(ref, slot)) {
    gw.remove_if_over(slot);
  }
}

// Appends a line for each action to the gateway's reply.
class Adapter::ActionPrinter {
 public:
  explicit ActionPrinter(Gateway& gateway) : gateway_(gateway), reply_(gateway.reply) {}

  void operator()(const SendAttempt& send) {
    ++request_of(send.request).attempts_in_flight;
    begin("FORWARD");
    append_ref(send.request);
    reply_.append(" host=").append(gateway_.balancer.address(send.host)).append(" withinNs=");
    append_number(reply_, send.timeout.count());
    reply_ += '\n';
  }
  void operator()(const RejectRequest& rejection) {
    begin("TURN_AWAY");
    append_ref(rejection.request);
    if (rejection.retry_after > Duration{}) {
      reply_.append(" notBeforeForNs=");
      append_number(reply_, rejection.retry_after.count());
    }
    end_request(rejection.request);
  }
  void operator()(const FailRequest& failure) {
    begin("RESPOND_ERROR");
    append_ref(failure.request);
    end_request(failure.request);
  }
  void operator()(const CancelAttempt& cancellation) {
    begin("ABORT_ATTEMPT");
    append_ref(cancellation.request);
    reply_.append(" go=");
    append_number(reply_, cancellation.attempt);
    reply_ += '\n';
  }
  void operator()(const CloseIdleConnections& close) {
    begin("CLOSE");
    reply_.append(" host=").append(gateway_.balancer.address(close.host));
    reply_ += '\n';
  }
  void operator()(const ForgetHost&) {}  // the protocol names hosts by address, not by id
  void operator()(const ScheduleWakeup& wakeup) {
    begin("WAKE_AT");
    reply_.append(" alarmTimeNs=");
    append_number(reply_, wakeup.at.count());
    reply_.append(" ref=w\n");
  }
  void operator()(const PollEndpoints&) {
    begin("SUBSCRIBE");
    reply_.append(" active=1\n");
  }
  void operator()(const LogMessage& message) {
    begin("DEBUG");
    reply_.append(" words=").append(message.text);
    reply_ += '\n';
  }

  // Removes the requests that have ended. To be called after the last action, as later actions may
  // name them.
  void remove_ended() {
    for (const std::uint32_t slot : ended_slots_) {
      if (!gateway_.requests[slot].ref.empty()) {
        gateway_.remove_if_over(slot);
      }
    }
  }

 private:
  static std::uint32_t slot_of(RequestId id) { return static_cast<std::uint32_t>(id); }
  Gateway::RequestSlot& request_of(RequestId id) { return gateway_.requests[slot_of(id)]; }
  void begin(std::string_view action) { reply_.append(action).append(" i=").append(gateway_.name); }
  void append_ref(RequestId id) { reply_.append(" ref=").append(request_of(id).ref); }
  void end_request(RequestId id) {
    reply_ += '\n';
    request_of(id).ended = true;
    ended_slots_.push_back(slot_of(id));
  }

  Gateway& gateway_;
  std::string& reply_;
  std::vector<std::uint32_t> ended_slots_;
};

void Adapter::print_actions(Gateway& gateway) {
  ActionPrinter printer(gateway);
  for (const Action& action : gateway.balancer.actions()) {
    std::visit(printer, action);
  }
  printer.remove_ended();
  gateway.balancer.actions().clear();
}

}  // namespace load_balancer::wire
