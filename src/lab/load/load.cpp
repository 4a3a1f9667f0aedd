#include "lab/load/load.hpp"

#include <sched.h>
#include <sys/resource.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <memory>
#include <optional>

#include "lab/live/request_text.hpp"
#include "lab/model/random.hpp"

namespace gateway::lab {
namespace {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

// A wait of the event loop has a resolution of 1 ms, so within kSpinTime of the next due time the
// generator polls instead of waiting.
constexpr Duration kSpinTime = std::chrono::milliseconds(2);
constexpr Duration kWaitTime = std::chrono::milliseconds(1);
constexpr unsigned kMaxBurst = 64;  // requests sent before responses are read again

// CPU time of the calling thread, in seconds.
double thread_cpu_seconds() {
  rusage usage{};
  ::getrusage(RUSAGE_THREAD, &usage);
  const auto seconds = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

struct PendingRequest {
  DueRequest request;
  std::uint64_t number = 0;  // in order of due time, from 1
  bool fresh = false;        // is sent on a new connection
};

// A connection to one target, with at most one request in flight. Once connected, a read is always
// pending, so that a close by the server is detected at once.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  struct Owner {
    virtual ~Owner() = default;
    // A response was read; the connection can be reused if `keep_alive`.
    virtual void on_response(const std::shared_ptr<Connection>& connection, int status,
                             bool keep_alive) = 0;
    // The connection failed, or the server closed it while idle.
    virtual void on_closed(const std::shared_ptr<Connection>& connection) = 0;
  };

  Connection(asio::io_context& io, Owner& owner, std::size_t target_index)
      : target(target_index), socket_(io), owner_(&owner) {}

  // Sends the request `text`; connects to `endpoint` first if not yet connected.
  void send(const tcp::endpoint& endpoint, std::string text) {
    busy = true;
    out_ = std::move(text);
    if (socket_.is_open()) {
      return write();
    }
    socket_.async_connect(endpoint, [self = shared_from_this()](error_code ec) {
      if (!self->owner_) {
        return;
      }
      if (ec) {
        return self->fail();
      }
      error_code ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->socket_.non_blocking(true, ignored);
      self->write();
      self->read();
    });
  }
  // Closes without a call of the owner.
  void close() {
    owner_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
  }

  const std::size_t target;  // index in LoadOptions::to
  bool busy = false;         // a request is in flight
  PendingRequest pending;    // the last request sent
  Duration sent_at{};        // from the start of the load
  std::uint64_t uses = 0;    // requests sent on this connection

 private:
  void write() {
    error_code ec;
    const std::size_t n = socket_.write_some(asio::buffer(out_), ec);
    if (ec && ec != asio::error::would_block) {
      return;  // the pending read fails as well and reports it
    }
    if (n == out_.size()) {
      return;
    }
    asio::async_write(socket_, asio::buffer(out_.data() + n, out_.size() - n),
                      [self = shared_from_this()](error_code, std::size_t) {});
  }
  void read() {
    parser_.emplace();
    beast_http::async_read(socket_, buffer_, *parser_,
                           [self = shared_from_this()](error_code ec, std::size_t) {
                             if (!self->owner_) {
                               return;
                             }
                             if (ec || !self->busy) {
                               return self->fail();
                             }
                             const auto& message = self->parser_->get();
                             const int status = static_cast<int>(message.result_int());
                             const bool keep_alive = message.keep_alive();
                             self->busy = false;
                             if (keep_alive) {
                               self->read();
                             }
                             self->owner_->on_response(self, status, keep_alive);
                           });
  }
  void fail() {
    error_code ignored;
    socket_.close(ignored);
    std::exchange(owner_, nullptr)->on_closed(shared_from_this());
  }

  tcp::socket socket_;
  Owner* owner_;
  std::string out_;
  boost::beast::flat_buffer buffer_;
  std::optional<beast_http::response_parser<beast_http::string_body>> parser_;
};

// One load: an event loop, its connections and the counts.
class Load : public Connection::Owner {
 public:
  Load(Schedule& schedule, const LoadOptions& options)
      : schedule_(schedule),
        o_(options),
        random_(options.seed, "fresh"),
        targets_(options.to.size()) {}

  LoadResult run() {
    begin_ = std::chrono::steady_clock::now();
    const double cpu_before = thread_cpu_seconds();
    DueRequest next;
    bool more = schedule_.next(next);
    Duration next_second = std::chrono::seconds(1);
    while (more || unfinished_ > 0) {
      Duration t = now();
      for (unsigned n = 0; more && next.at <= t && n < kMaxBurst; ++n, t = now()) {
        enqueue(next, t);
        more = schedule_.next(next);
      }
      expire_sent(t);
      if (t >= next_second) {
        next_second += std::chrono::seconds(1);
        if (o_.each_second) {
          o_.each_second(result_.counts);
        }
        if (o_.stopped && o_.stopped()) {
          result_.stopped = true;
          break;
        }
      }
      io_.restart();
      const Duration gap = more ? next.at - t : kSpinTime + kWaitTime;
      if (gap > kSpinTime) {
        io_.run_one_for(kWaitTime);
      } else if (io_.poll() == 0 && gap > Duration{}) {
        ::sched_yield();
      }
    }
    result_.counts.unanswered += unfinished_;
    result_.seconds = to_seconds(now());
    result_.cpu_seconds = thread_cpu_seconds() - cpu_before;
    for (Target& target : targets_) {
      for (const auto& connection : std::vector(target.connections)) {
        connection->close();
      }
    }
    io_.restart();
    io_.poll();
    return result_;
  }

  void on_response(const std::shared_ptr<Connection>& connection, int status,
                   bool keep_alive) override {
    LoadCounts& c = result_.counts;
    ++(status >= 200 && status <= 299   ? c.served
       : status == 429 || status == 503 ? c.refused
                                        : c.failed);
    const Duration t = now();
    result_.from_due(to_seconds(t - connection->pending.request.at) * 1e3);
    result_.from_sent(to_seconds(t - connection->sent_at) * 1e3);
    --unfinished_;
    if (!keep_alive || connection->pending.fresh) {
      connection->close();
      remove(connection);
    } else {
      targets_[connection->target].idle.push_back(connection);
    }
    send_queued(connection->target);
  }
  void on_closed(const std::shared_ptr<Connection>& connection) override {
    if (connection->busy) {
      ++result_.counts.broken;
      --unfinished_;
    }
    remove(connection);
    send_queued(connection->target);
  }

 private:
  struct Target {
    std::vector<std::shared_ptr<Connection>> connections, idle;  // all, and those without request
    std::deque<PendingRequest> queue;  // requests that wait for a connection
  };
  struct SentRequest {
    Duration at;
    std::weak_ptr<Connection> connection;
    std::uint64_t use;  // Connection::uses at the sending
  };

  // Time since the start of the load.
  Duration now() const {
    return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - begin_);
  }

  void enqueue(const DueRequest& request, Duration t) {
    const Duration delay = t - request.at;
    LoadCounts& c = result_.counts;
    ++c.due;
    c.late += delay > LoadResult::kLate;
    result_.worst_late = std::max(result_.worst_late, delay);
    ++unfinished_;
    const std::size_t target = c.due % targets_.size();
    targets_[target].queue.push_back({request, c.due, random_.chance(o_.fresh)});
    if (!send_queued(target)) {
      ++c.waited;
    }
  }

  // Sends the first queued request of this target if a connection is idle or may be opened. Returns
  // false if the request stays queued.
  bool send_queued(std::size_t target_index) {
    Target& target = targets_[target_index];
    if (target.queue.empty()) {
      return true;
    }
    std::shared_ptr<Connection> connection;
    if (!target.idle.empty() && !target.queue.front().fresh) {
      connection = std::move(target.idle.back());
      target.idle.pop_back();
    } else {
      if (target.connections.size() >= o_.connections &&
          !target.idle.empty()) {  // makes room for a new connection
        const auto old = target.idle.front();
        old->close();
        remove(old);
      }
      if (target.connections.size() >= o_.connections) {
        return false;
      }
      connection = std::make_shared<Connection>(io_, *this, target_index);
      target.connections.push_back(connection);
      ++result_.counts.connected;
    }
    connection->pending = std::move(target.queue.front());
    target.queue.pop_front();
    connection->sent_at = now();
    sent_.push_back({connection->sent_at, connection, ++connection->uses});
    const DueRequest& r = connection->pending.request;
    connection->send(o_.to[target_index],
                     request_text({r.cls, r.work_us, r.key, connection->pending.number,
                                   o_.deadline.count() / 1000000, "", o_.post}));
    return true;
  }

  void remove(const std::shared_ptr<Connection>& connection) {
    Target& target = targets_[connection->target];
    std::erase(target.connections, connection);
    std::erase(target.idle, connection);
  }

  // Counts sent requests without a response within `patience` and closes their connections.
  void expire_sent(Duration t) {
    while (!sent_.empty() && t - sent_.front().at > o_.patience) {
      const auto connection = sent_.front().connection.lock();
      const bool in_flight =
          connection && connection->busy && connection->uses == sent_.front().use;
      sent_.pop_front();
      if (!in_flight) {
        continue;
      }
      ++result_.counts.unanswered;
      --unfinished_;
      connection->close();
      remove(connection);
      send_queued(connection->target);
    }
  }

  Schedule& schedule_;
  const LoadOptions& o_;
  Random random_;
  asio::io_context io_{1};
  std::chrono::steady_clock::time_point begin_;
  std::vector<Target> targets_;
  std::deque<SentRequest> sent_;  // in order of sending, as the timeout of all is the same
  std::uint64_t unfinished_ = 0;  // due requests, queued or sent, without a result
  LoadResult result_;
};

}  // namespace

LoadResult send_load(Schedule& schedule, const LoadOptions& options) {
  return Load(schedule, options).run();
}

}  // namespace gateway::lab
