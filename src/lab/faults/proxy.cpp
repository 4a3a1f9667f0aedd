#include "lab/faults/proxy.hpp"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <list>
#include <utility>
#include <vector>

#include "lab/model/random.hpp"

namespace gateway::lab {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds kRetransmissionDelay{
    200};  // minimum retransmission time-out of Linux
constexpr std::size_t kPieceBytes = 16384;

}  // namespace

struct FaultProxy::State : std::enable_shared_from_this<FaultProxy::State> {
  // One direction of a link. It carries one piece at a time: that bounds the memory of the proxy,
  // and a delay slows the sender down as a slow network would.
  struct Direction {
    Direction(asio::io_context& io, tcp::socket& source, tcp::socket& sink, bool forward)
        : from(source), to(sink), timer(io), is_forward(forward) {}
    tcp::socket &from, &to;
    asio::steady_timer timer;
    std::array<char, kPieceBytes> piece;
    bool is_forward;             // from the side that connected
    std::size_t held_bytes = 0;  // bytes held back by drop_forward or drop_backward
    bool end_held = false;       // the end of this direction is held back too
  };
  struct Link {
    explicit Link(asio::io_context& io)
        : client(io),
          server(io),
          directions{{{io, client, server, true}, {io, server, client, false}}} {}
    tcp::socket client, server;
    std::array<Direction, 2> directions;
  };
  using LinkPtr = std::shared_ptr<Link>;

  asio::io_context& io;
  tcp::acceptor acceptor;
  tcp::endpoint target;
  Random random;
  std::function<void(const std::string&)> log;
  Fault fault;
  Counts counts;
  std::list<LinkPtr> links;
  bool closed = false;

  State(asio::io_context& context, tcp::endpoint to, std::uint64_t seed,
        std::function<void(const std::string&)> log_function)
      : io(context),
        acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        target(std::move(to)),
        random(seed, "proxy"),
        log(std::move(log_function)) {}

  void accept() {
    auto link = std::make_shared<Link>(io);
    acceptor.async_accept(link->client, [self = shared_from_this(), link](error_code ec) {
      if (self->closed) {
        return;
      }
      if (!ec) {
        self->on_accepted(link);
      }
      self->accept();
    });
  }

  void on_accepted(const LinkPtr& link) {
    if (fault.disconnect) {
      ++counts.refused;
      error_code ignored;
      link->client.close(ignored);
      return;
    }
    ++counts.accepted;
    links.push_back(link);
    link->server.async_connect(target, [self = shared_from_this(), link](error_code ec) {
      if (ec) {
        return self->drop(link, true);  // as the target's own refusal, slightly later
      }
      error_code ignored;
      link->client.set_option(tcp::no_delay(true), ignored);
      link->server.set_option(tcp::no_delay(true), ignored);
      for (Direction& direction : link->directions) {
        self->read(link, direction);
      }
    });
  }

  void drop(const LinkPtr& link, bool reset) {
    error_code ignored;
    if (reset) {
      link->client.set_option(asio::socket_base::linger(true, 0), ignored);
      link->server.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    link->client.close(ignored);
    link->server.close(ignored);
    for (Direction& direction : link->directions) {
      direction.timer.cancel();
    }
    links.remove(link);
  }

  bool is_blocked(const Direction& direction) const {
    return direction.is_forward ? fault.drop_forward : fault.drop_backward;
  }

  std::chrono::microseconds delay_for(std::size_t bytes) {
    std::chrono::microseconds time = fault.delay;
    if (fault.jitter.count() > 0) {
      time += std::chrono::microseconds(
          random.below(static_cast<std::size_t>(fault.jitter.count()) * 1000 + 1));
    }
    while (fault.loss < 1 && random.chance(fault.loss)) {
      time += kRetransmissionDelay;
    }
    if (fault.k_bytes_per_s > 0) {
      time += std::chrono::microseconds(bytes * 1000 / fault.k_bytes_per_s);
    }
    return time;
  }

  void read(const LinkPtr& link, Direction& direction) {
    direction.from.async_read_some(
        asio::buffer(direction.piece),
        [self = shared_from_this(), link, &direction](error_code ec, std::size_t n) {
          if (ec) {
            return self->on_read_end(link, direction, ec != asio::error::eof);
          }
          self->counts.bytes += n;
          self->forward(link, direction, n);
        });
  }

  void on_read_end(const LinkPtr& link, Direction& direction, bool reset) {
    if (!direction.from.is_open()) {
      return;
    }
    direction.end_held =
        is_blocked(direction);  // then the other side is notified once the fault ends
    if (!direction.end_held) {
      drop(link, reset);
    }
  }

  void forward(const LinkPtr& link, Direction& direction, std::size_t n) {
    const auto delay = delay_for(n);
    if (delay.count() == 0) {
      return write(link, direction, n);
    }
    direction.timer.expires_after(delay);
    direction.timer.async_wait([self = shared_from_this(), link, &direction, n](error_code ec) {
      if (!ec) {
        self->write(link, direction, n);
      }
    });
  }

  void write(const LinkPtr& link, Direction& direction, std::size_t n) {
    if (!direction.to.is_open()) {
      return;
    }
    direction.held_bytes = is_blocked(direction) ? n : 0;
    if (direction.held_bytes > 0) {
      return;  // set_fault() forwards it later
    }
    asio::async_write(direction.to, asio::buffer(direction.piece, n),
                      [self = shared_from_this(), link, &direction](error_code ec, std::size_t) {
                        if (ec) {
                          return self->drop(link, false);
                        }
                        self->read(link, direction);
                      });
  }

  void set_fault(const Fault& new_fault) {
    fault = new_fault;
    if (log) {
      log(text_of(new_fault));
    }
    for (auto open_links = links; const auto& link : open_links) {
      if (new_fault.disconnect || new_fault.reset) {
        counts.reset += new_fault.reset ? 1 : 0;
        drop(link, new_fault.reset);
        continue;
      }
      for (Direction& direction : link->directions) {
        if (is_blocked(direction)) {
          continue;
        }
        if (direction.end_held) {
          drop(link, true);
        } else if (direction.held_bytes > 0) {
          write(link, direction, std::exchange(direction.held_bytes, 0));
        }
      }
    }
    fault.reset = false;  // a reset applies only once
  }
};

FaultProxy::FaultProxy(asio::io_context& io, const tcp::endpoint& target, std::uint64_t seed,
                       std::function<void(const std::string&)> log)
    : state_(std::make_shared<State>(io, target, seed, std::move(log))) {
  state_->accept();
}

// NOLINTNEXTLINE(bugprone-exception-escape): throws only when out of memory
FaultProxy::~FaultProxy() {
  state_->closed = true;
  error_code ignored;
  state_->acceptor.close(ignored);
  for (auto open_links = state_->links; const auto& link : open_links) {
    state_->drop(link, false);
  }
}

tcp::endpoint FaultProxy::address() const {
  return state_->acceptor.local_endpoint();
}
void FaultProxy::set_fault(const Fault& fault) {
  state_->set_fault(fault);
}
const Fault& FaultProxy::fault() const {
  return state_->fault;
}
const FaultProxy::Counts& FaultProxy::counts() const {
  return state_->counts;
}

}  // namespace gateway::lab
