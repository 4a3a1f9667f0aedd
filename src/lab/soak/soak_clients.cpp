#include "lab/soak/soak_clients.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "lab/soak/client_connection.hpp"

namespace gateway::lab {
namespace {

using boost::system::error_code;
using std::chrono::milliseconds;

constexpr milliseconds kTick{1};
// What SIGKILL finds unanswered is excused if it came within this time of SIGTERM.
constexpr milliseconds kStopGrace{700};
constexpr std::size_t kChunkBytes = 8000;
constexpr double kChunkedShare = 0.5;
constexpr int kReturns = 2;

}  // namespace

const std::vector<SoakClass>& soak_classes() {
  static const std::vector<SoakClass> kClasses{
      {"status", Effect::safe}, {"consent", Effect::keyed}, {"seal", Effect::unsafe}};
  return kClasses;
}

SoakClients::SoakClients(boost::asio::io_context& io, ClientPlan plan,
                         std::vector<ClientTarget>& targets, RequestLedger& ledger,
                         std::uint64_t seed)
    : io_(io),
      plan_(plan),
      targets_(targets),
      ledger_(ledger),
      random_(seed),
      timer_(io),
      idle_(targets.size()) {}

SoakClients::~SoakClients() {
  for (const auto& connection : std::exchange(all_, {})) {
    connection->close();
  }
}

void SoakClients::start() {
  start_ = RequestLedger::Clock::now();
  send_due();
}

void SoakClients::send_due() {
  const double elapsed =
      std::chrono::duration<double>(RequestLedger::Clock::now() - start_).count();
  while (sent_ < plan_.requests && static_cast<double>(sent_) < elapsed * plan_.rate) {
    ++sent_;
    send_one();
  }
  if (sent_ >= plan_.requests) {
    return;
  }
  timer_.expires_after(kTick);
  timer_.async_wait([this](error_code ec) {
    if (!ec) {
      send_due();
    }
  });
}

// A gateway that was told to stop gets requests only on connections that are open.
std::optional<std::size_t> SoakClients::choose_target() {
  std::vector<std::size_t> candidates;
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    if (!targets_[i].killed && (targets_[i].accepts || !idle_[i].empty())) {
      candidates.push_back(i);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[random_() % candidates.size()];
}

std::shared_ptr<ClientConnection> SoakClients::take_idle(std::size_t target) {
  auto& idle = idle_[target];
  if (idle.empty()) {
    return nullptr;
  }
  auto connection = idle.back();
  idle.pop_back();
  return connection;
}

std::string SoakClients::make_request(std::string& id, ClientBehaviour& behaviour) {
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random_()));
  id = text;
  const SoakClass& request_class = soak_classes()[random_() % soak_classes().size()];
  const bool is_safe = request_class.effect == Effect::safe;
  if (is_safe) {
    behaviour.fast_upload_bytes = 0;
    behaviour.timeout = plan_.timeout;
    behaviour.returns = 0;
  }
  if (behaviour.returns > 0) {
    behaviour.leaves_after = plan_.returning_after;
  }
  ledger_.on_sent(id, request_class.effect, behaviour.timeout);
  std::string out = (is_safe ? "GET /" : "POST /") + request_class.name + "/1 HTTP/1.1\r\n";
  out += "Host: soak\r\nX-Class: " + request_class.name + "\r\nX-Request-Id: " + id + "\r\n";
  out += "X-Deadline-Ms: " + std::to_string(behaviour.timeout.count()) + "\r\n";
  if (request_class.effect == Effect::keyed) {
    out += "Idempotency-Key: key-" + id + "\r\n";
  }
  if (is_safe) {
    return out + "\r\n";
  }
  return out + body_for(id, behaviour);
}

// The last fields of the head, and the body.
std::string SoakClients::body_for(const std::string& id, const ClientBehaviour& behaviour) {
  std::string body = "document " + id;
  if (behaviour.uploads) {
    body.resize(plan_.upload_bytes, '#');
  }
  if (behaviour.fast_upload_bytes > 0) {
    body.resize(behaviour.fast_upload_bytes, '#');
  }
  if (!behaviour.is_chunked || behaviour.fast_upload_bytes == 0) {
    return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  std::string out = "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t from = 0; from < body.size(); from += kChunkBytes) {
    const std::size_t size = std::min(kChunkBytes, body.size() - from);
    char head[32];
    std::snprintf(head, sizeof head, "%zx\r\n", size);
    out += head + body.substr(from, size) + "\r\n";
  }
  return out + "0\r\n\r\n";
}

// Shares of 0 draw nothing, so that a seed gives the same run as before they were added.
ClientBehaviour SoakClients::draw_behaviour() {
  ClientBehaviour behaviour;
  behaviour.timeout = plan_.timeout;
  behaviour.writes_slowly = draw(plan_.slow_share);
  behaviour.uploads = plan_.upload_share > 0 && draw(plan_.upload_share);
  if (draw(plan_.leaving_share)) {
    behaviour.leaves_after = milliseconds(
        1 + static_cast<int>(unit_(random_) * 0.1 * static_cast<double>(plan_.timeout.count())));
  }
  if (plan_.fast_upload_share > 0 && draw(plan_.fast_upload_share)) {
    behaviour.uploads = false;
    behaviour.writes_slowly = false;
    const auto draw_between = [&](double low, double high) {
      return low + unit_(random_) * (high - low);
    };
    behaviour.fast_upload_bytes =
        static_cast<std::size_t>(draw_between(static_cast<double>(plan_.min_fast_upload_bytes),
                                              static_cast<double>(plan_.max_fast_upload_bytes)));
    behaviour.timeout = milliseconds(static_cast<std::int64_t>(
        draw_between(static_cast<double>(plan_.min_fast_upload_timeout.count()),
                     static_cast<double>(plan_.max_fast_upload_timeout.count()))));
    behaviour.is_chunked = draw(kChunkedShare);
  } else if (plan_.returning_share > 0 && draw(plan_.returning_share)) {
    behaviour.returns = kReturns;
  }
  return behaviour;
}

void SoakClients::send_one() {
  const auto target = choose_target();
  if (!target) {
    ++unreachable_;
    return;
  }
  ++in_flight_;
  ClientBehaviour behaviour = draw_behaviour();
  auto connection = take_idle(*target);
  if (!connection) {
    connection = std::make_shared<ClientConnection>(*this, io_, *target);
    all_.insert(connection);
  }
  std::string id;
  const std::string text = make_request(id, behaviour);
  connection->send(id, text, behaviour);
}

std::string SoakClients::unfinished() const {
  std::string text;
  for (const auto& connection : all_) {
    text += connection->describe();
  }
  return text;
}

// The client of a request comes back on a new connection to the same gateway: others do not know
// the id.
void SoakClients::on_left(const std::string& id, const std::string& text, std::size_t target,
                          ClientBehaviour behaviour) {
  if (!targets_[target].accepts) {
    return on_finished();
  }
  ledger_.on_returned(id);
  if (behaviour.returns == 0) {
    behaviour.leaves_after.reset();
  }
  auto connection = std::make_shared<ClientConnection>(*this, io_, target);
  all_.insert(connection);
  connection->send(id, text, behaviour);
}

// A close that crosses a request which the gateway has not read is no loss: the client repeats the
// request once on a new connection.
void SoakClients::on_closed_without_response(const std::string& id, const std::string& text,
                                             std::size_t target, bool reused,
                                             const std::string& how, milliseconds timeout) {
  ClientTarget& gateway = targets_[target];
  const bool is_excused = gateway.killed_process_stopped_at &&
                          ledger_.sent_at(id) <= *gateway.killed_process_stopped_at + kStopGrace;
  const bool may_repeat = reused && !ledger_.was_attempted(id) && how != "no response in time" &&
                          resent_ids_.insert(id).second;
  if (may_repeat) {
    const auto other = choose_target();
    if (other && targets_[*other].accepts) {
      ++resent_;
      auto connection = std::make_shared<ClientConnection>(*this, io_, *other);
      all_.insert(connection);
      ledger_.on_sent_again(id);
      ClientBehaviour plain;
      plain.timeout = timeout;
      return connection->send(id, text, plain);
    }
  }
  on_finished();
  if (gateway.stopped_at && !ledger_.is_complete(id)) {
    ++not_taken_;
    return;
  }
  if (is_excused) {
    return;
  }
  ledger_.on_no_response(id, how + (reused ? " (reused connection)" : " (new connection)"));
}

}  // namespace gateway::lab
