#include "http/client_listener.hpp"

#include <fcntl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <iterator>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "runtime/arrival_time.hpp"

namespace gateway::http {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Interval at which sessions are checked against their time limits and for disconnected clients.
constexpr auto kSweepInterval = std::chrono::milliseconds(100);
// Time that a client may take to close its side after the last response.
constexpr auto kLingerTimeout = std::chrono::milliseconds(500);
// Pause before the next accept when there was no capacity or no descriptor.
constexpr auto kAcceptRetryInterval = std::chrono::milliseconds(20);
// Connections accepted in a row before the event loop serves the accepted ones.
constexpr std::size_t kAcceptBatch = 32;
// A client usually sends its first request within this time of connecting, so a younger connection
// is not closed in favour of another one.
constexpr auto kFirstRequestGrace = std::chrono::milliseconds(50);
// Sessions of a queue that are examined to find one that can be closed; bounds the system calls.
constexpr std::size_t kMaxExaminedSessions = 8;

}  // namespace

ClientListener::ClientListener(asio::io_context& io, const Listen& listen, Limits limits,
                               Callbacks callbacks, std::shared_ptr<MemoryBudget> memory_budget,
                               runtime::WorkMonitor* work_monitor)
    : io_(io),
      acceptor_(open(io, listen)),
      sessions_(io.get_executor()),
      sweep_timer_(io),
      accept_retry_timer_(io),
      is_passed_socket_(listen.passed.has_value()) {
  runtime::record_arrival_times(acceptor_.native_handle());
  sessions_.limits = limits;
  sessions_.callbacks = std::move(callbacks);
  sessions_.memory_budget = std::move(memory_budget);
  sessions_.work_monitor = work_monitor;
  sessions_.on_session_closed = [this] {
    on_session_closed();
  };
  sessions_.on_first_request = [this] {
    limit_reused_connections();
  };
  if (!is_passed_socket_) {
    start_accepting();
  }
  sweep();
}

tcp::acceptor ClientListener::open(asio::io_context& io, const Listen& listen) {
  if (!listen.passed) {
    return {io, listen.address, true};
  }
  int is_listening = 0;
  socklen_t size = sizeof is_listening;
  if (::getsockopt(*listen.passed, SOL_SOCKET, SO_ACCEPTCONN, &is_listening, &size) != 0 ||
      is_listening == 0) {
    throw std::invalid_argument("GW_PASSED_SOCKET: descriptor " + std::to_string(*listen.passed) +
                                " is no listening socket");
  }
  ::fcntl(*listen.passed, F_SETFD, FD_CLOEXEC);
  return {io, listen.address.protocol(), *listen.passed};
}

void ClientListener::start_accepting() {
  if (accepting_ || !acceptor_.is_open()) {
    return;
  }
  accepting_ = true;
  accept();
}

ClientListener::~ClientListener() {
  on_empty = nullptr;
  sessions_.callbacks.body_complete = [](ExchangeId, std::chrono::nanoseconds) {
  };
  sessions_.callbacks.client_disconnected = [](ExchangeId) {
  };
  sessions_.callbacks.connection_closed = nullptr;
  sessions_.callbacks.request_not_taken = nullptr;
  sessions_.pending_exchanges.clear();
  for (SessionQueue& queue : sessions_.queues) {
    while (!queue.empty()) {
      queue.front()->close(ClientCloseReason::shutdown);
    }
  }
}

void ClientListener::respond(ExchangeId exchange, HttpResponse response,
                             std::shared_ptr<BodyStream> stream) {
  const auto pending = sessions_.pending_exchanges.find(exchange);
  if (pending == sessions_.pending_exchanges.end()) {
    if (stream) {
      stream->drop();
    }
    return;
  }
  const auto session = std::move(pending->second);
  sessions_.pending_exchanges.erase(pending);
  session->respond(std::move(response), std::move(stream));
}

bool ClientListener::close_if_disconnected(ExchangeId exchange) {
  const auto pending = sessions_.pending_exchanges.find(exchange);
  if (pending == sessions_.pending_exchanges.end()) {
    return true;
  }
  const auto session = pending->second;
  if (!session->client_disconnected()) {
    return false;
  }
  session->close(ClientCloseReason::client_closed);
  return true;
}

void ClientListener::set_upload_timeout(ExchangeId exchange, std::chrono::nanoseconds timeout) {
  const auto pending = sessions_.pending_exchanges.find(exchange);
  if (pending != sessions_.pending_exchanges.end()) {
    pending->second->set_upload_timeout(timeout);
  }
}

void ClientListener::accept() {
  acceptor_.async_wait(
      tcp::acceptor::wait_read, [this, alive = std::weak_ptr(lifetime_)](error_code ec) {
        if (ec || alive.expired() || !acceptor_.is_open() || stopping_) {
          return;
        }
        const runtime::WorkMonitor::Scope scope(sessions_.work_monitor, "accept");
        if (accept_waiting(kAcceptBatch) != AcceptResult::no_capacity) {
          return accept();
        }
        // While nothing can be accepted, the listening socket stays readable: without a pause the
        // event loop would spin.
        accept_retry_timer_.expires_after(kAcceptRetryInterval);
        accept_retry_timer_.async_wait([this, alive](error_code wait_error) {
          if (!wait_error && !alive.expired() && acceptor_.is_open() && !stopping_) {
            accept();
          }
        });
      });
}

// Accepts the connections that wait. At the limit another connection is closed only after a new one
// has been accepted, so that no client is disconnected needlessly; the limit may therefore be
// exceeded by one.
ClientListener::AcceptResult ClientListener::accept_waiting(std::size_t max_connections) {
  error_code ignored;
  // The non-blocking flag belongs to the socket, which other processes may share. If one of them
  // cleared it, an accept without a waiting connection would block the event loop.
  acceptor_.non_blocking(true, ignored);
  for (std::size_t i = 0; i < max_connections; ++i) {
    if (sessions_.open_sessions > sessions_.limits.connections && !make_room()) {
      return AcceptResult::no_capacity;
    }
    error_code ec;
    tcp::socket socket(io_);
    const auto now = Clock::now();
    acceptor_.accept(socket, ec);
    if (ec == asio::error::would_block || ec == asio::error::try_again) {
      sessions_.accept_queue_empty_at = now;
      return AcceptResult::queue_empty;
    }
    if (ec == asio::error::connection_aborted || ec == asio::error::interrupted) {
      continue;
    }
    if (ec) {
      return make_room() ? AcceptResult::more_may_wait : AcceptResult::no_capacity;
    }
    if (sessions_.open_sessions >= sessions_.limits.connections) {
      make_room();
    }
    add_session(std::move(socket));
    if (sessions_.open_sessions > sessions_.limits.connections) {
      return AcceptResult::no_capacity;
    }
  }
  return AcceptResult::more_may_wait;
}

void ClientListener::add_session(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  SessionQueue& queue = sessions_.queue(SessionState::awaiting_request);
  queue.push_back(std::make_shared<ClientSession>(sessions_, std::move(socket)));
  ++sessions_.open_sessions;
  queue.back()->start(std::prev(queue.end()));
}

// Closes one connection, in this order of preference: one that got its last response, one that has
// sent nothing since it connected, one that is idle between two requests, one whose first request
// is incomplete (that request is lost). While more than half of the allowed connections wait for
// their first request, no idle one is closed: hundreds of clients that connect and send nothing
// would displace all of these. New connections then wait until the time limit of those clients
// expires.
bool ClientListener::make_room() {
  const auto now = Clock::now();
  if (close_oldest(SessionState::lingering, now - kFirstRequestGrace) ||
      close_oldest(SessionState::awaiting_request, now - kFirstRequestGrace)) {
    return true;
  }
  if (sessions_.queue(SessionState::awaiting_request).size() > sessions_.limits.connections / 2) {
    return close_oldest(SessionState::awaiting_request, now - kFirstRequestGrace,
                        Eligible::also_incomplete_request);
  }
  return close_oldest(SessionState::idle, now) ||
         close_oldest(SessionState::awaiting_request, now - kFirstRequestGrace,
                      Eligible::also_incomplete_request);
}

// Closes the connection that is idle longest if too many connections have sent a request. A proxy
// before this gateway has a connection limit of its own, above which it rejects clients without the
// gateway's knowledge: clients that send one request and keep their connection would block all
// others, so capacity is freed in advance. The cost is that clients that send seldom have to
// reconnect, and a client that sends at the moment of the close has to retry.
void ClientListener::limit_reused_connections() {
  std::size_t reused = 0;
  for (const SessionState state :
       {SessionState::idle, SessionState::reading_head, SessionState::receiving_body,
        SessionState::awaiting_response, SessionState::writing_response,
        SessionState::streaming_response}) {
    reused += sessions_.queue(state).size();
  }
  if (reused <= sessions_.limits.reused_connections) {
    return;
  }
  ClientSession* const oldest =
      oldest_closable(SessionState::idle, Clock::now(), Eligible::without_input);
  if (oldest != nullptr) {
    oldest->close_gracefully();
  }
}

// The first session that can be closed among the oldest kMaxExaminedSessions of a queue, or null.
ClientSession* ClientListener::oldest_closable(SessionState state,
                                               Clock::time_point last_progress_before,
                                               Eligible eligible) {
  std::size_t examined = 0;
  for (const auto& session : sessions_.queue(state)) {
    if (session->last_progress_at() > last_progress_before || ++examined > kMaxExaminedSessions) {
      return nullptr;
    }
    if (state == SessionState::lingering || session->has_no_input() ||
        (eligible == Eligible::also_incomplete_request && !session->has_unread_input() &&
         !session->waits_for_others())) {
      return session.get();
    }
  }
  return nullptr;
}

bool ClientListener::close_oldest(SessionState state, Clock::time_point last_progress_before,
                                  Eligible eligible) {
  ClientSession* const oldest = oldest_closable(state, last_progress_before, eligible);
  if (oldest != nullptr) {
    oldest->close_now();
  }
  return oldest != nullptr;
}

// Closes the sessions of disconnected clients that would not detect this themselves, as they do not
// wait for input.
void ClientListener::close_disconnected() {
  std::vector<std::shared_ptr<ClientSession>> disconnected;
  for (const SessionState state : {SessionState::receiving_body, SessionState::awaiting_response,
                                   SessionState::streaming_response}) {
    for (const auto& session : sessions_.queue(state)) {
      if (!session->is_waiting_for_input() && session->client_disconnected()) {
        disconnected.push_back(session);
      }
    }
  }
  for (const auto& session : disconnected) {
    session->close(ClientCloseReason::client_closed);
  }
}

void ClientListener::on_session_closed() {
  --sessions_.open_sessions;
  if (sessions_.open_sessions == 0 && !acceptor_.is_open() && on_empty) {
    asio::post(io_, [this, alive = std::weak_ptr(lifetime_)] {
      if (!alive.expired() && on_empty) {
        on_empty();
      }
    });
  }
}

void ClientListener::close_idle(bool enabled) {
  if (!enabled) {
    sessions_.closing_idle_since.reset();
  } else if (!sessions_.closing_idle_since) {
    sessions_.closing_idle_since = Clock::now();
  }
}

void ClientListener::close_idle_before(Clock::time_point last_progress_before) {
  // The first request of a connection that was just accepted is probably on its way.
  const auto connected_before = std::min(last_progress_before, Clock::now() - kFirstRequestGrace);
  for (const auto& [state, before] : {std::pair{SessionState::awaiting_request, connected_before},
                                      std::pair{SessionState::idle, last_progress_before}}) {
    for (const auto& session : sessions_in(state)) {
      if (session->last_progress_at() <= before && session->has_no_input()) {
        session->close_gracefully();
      }
    }
  }
}

void ClientListener::take_no_requests(bool enabled) {
  if (enabled) {
    reject_incomplete_requests();
    close_idle_before(Clock::now());
  }
  sessions_.takes_no_requests = enabled;
}

void ClientListener::reject_incomplete_requests() {
  for (const SessionState state : {SessionState::awaiting_request, SessionState::idle,
                                   SessionState::reading_head, SessionState::receiving_body}) {
    for (const auto& session : sessions_in(state)) {
      session->reject_if_incomplete();
    }
  }
}

void ClientListener::reject_overdue_uploads(Clock::time_point now) {
  for (const auto& session : sessions_in(SessionState::receiving_body)) {
    session->reject_if_overdue(now);
  }
}

std::vector<std::shared_ptr<ClientSession>> ClientListener::sessions_in(SessionState state) {
  const SessionQueue& queue = sessions_.queue(state);
  return {queue.begin(), queue.end()};
}

void ClientListener::stop_accepting(std::chrono::milliseconds time_limit) {
  // Ends the accept loop, which would otherwise restart the timer that is started here.
  stopping_ = true;
  // Connections that wait to be accepted may have received requests already; closing the listening
  // socket would reset them.
  if (!is_passed_socket_ &&
      accept_waiting(sessions_.limits.connections) != AcceptResult::queue_empty &&
      time_limit > kAcceptRetryInterval) {
    close_idle_before(Clock::now());
    accept_retry_timer_.expires_after(kAcceptRetryInterval);
    accept_retry_timer_.async_wait(
        [this, alive = std::weak_ptr(lifetime_), time_limit](error_code ec) {
          if (!ec && !alive.expired()) {
            stop_accepting(time_limit - kAcceptRetryInterval);
          }
        });
    return;
  }
  error_code ignored;
  acceptor_.close(ignored);
  accept_retry_timer_.cancel();
  if (!is_passed_socket_) {
    close_idle_before(Clock::now());
  }
  if (sessions_.open_sessions == 0 && on_empty) {
    on_empty();
  }
}

void ClientListener::sweep() {
  const runtime::WorkMonitor::Scope scope(sessions_.work_monitor, "client_sweep");
  const auto now = Clock::now();
  const Limits limits = sessions_.limits;
  expire_sessions(SessionState::awaiting_request, limits.request_timeout, now);
  expire_sessions(SessionState::reading_head, limits.request_timeout, now);
  expire_sessions(SessionState::receiving_body, limits.request_timeout, now);
  expire_sessions(SessionState::idle, limits.idle_timeout, now);
  // The client does not read its response.
  expire_sessions(SessionState::writing_response, 2 * limits.request_timeout, now);
  expire_sessions(SessionState::streaming_response, limits.response_stall_timeout, now);
  expire_sessions(SessionState::lingering, kLingerTimeout, now);
  close_disconnected();
  reject_overdue_uploads(now);
  if (sessions_.takes_no_requests) {
    reject_incomplete_requests();
    close_idle_before(now);
  } else if (const auto since = sessions_.closing_idle_since) {
    close_idle_before(now - *since < kCloseAllIdleAfter ? now - kCloseIdleAfter : now);
  }
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this, alive = std::weak_ptr(lifetime_)](error_code ec) {
    if (!ec && !alive.expired()) {
      sweep();
    }
  });
}

void ClientListener::expire_sessions(SessionState state, std::chrono::milliseconds time_limit,
                                     Clock::time_point now) {
  const SessionQueue& queue = sessions_.queue(state);
  while (!queue.empty() && now - queue.front()->last_progress_at() > time_limit) {
    const auto session = queue.front();
    if (session->waits_for_others()) {
      session->record_progress();
      continue;
    }
    // Unread input may complete the request, which then gets a response.
    if (session->has_unread_input() && state != SessionState::streaming_response) {
      session->read_available();
    }
    if (session->state() == state && now - session->last_progress_at() > time_limit) {
      session->expire();
    }
  }
}

}  // namespace gateway::http
