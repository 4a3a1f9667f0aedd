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

constexpr std::chrono::milliseconds kRetransmit{
    200};  // the least that Linux waits before it sends anew
constexpr std::size_t kPiece = 16384;

}  // namespace

struct FaultProxy::State : std::enable_shared_from_this<FaultProxy::State> {
  // One way of a link. One piece at a time: that bounds what the proxy holds, and a delay slows the
  // sender down as a slow network would.
  struct Way {
    Way(asio::io_context& io, tcp::socket& f, tcp::socket& t, bool th)
        : from(f), to(t), timer(io), there(th) {}
    tcp::socket &from, &to;
    asio::steady_timer timer;
    std::array<char, kPiece> piece;
    bool there;            // from the one who dialled
    std::size_t held = 0;  // bytes that a silence holds back
    bool over = false;     // and the end of the way, that nobody has heard of
  };
  struct Link {
    explicit Link(asio::io_context& io)
        : client(io), server(io), ways{{{io, client, server, true}, {io, server, client, false}}} {}
    tcp::socket client, server;
    std::array<Way, 2> ways;
  };
  using LinkPtr = std::shared_ptr<Link>;

  asio::io_context& io;
  tcp::acceptor acceptor;
  tcp::endpoint target;
  Random draws;
  std::function<void(const std::string&)> log;
  Fault now;
  Counts counts;
  std::list<LinkPtr> links;
  bool closed = false;

  State(asio::io_context& context, tcp::endpoint to, std::uint64_t seed,
        std::function<void(const std::string&)> tell)
      : io(context),
        acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        target(std::move(to)),
        draws(seed, "proxy"),
        log(std::move(tell)) {}

  void accept() {
    auto link = std::make_shared<Link>(io);
    acceptor.async_accept(link->client, [self = shared_from_this(), link](error_code ec) {
      if (self->closed) {
        return;
      }
      if (!ec) {
        self->taken(link);
      }
      self->accept();
    });
  }

  void taken(const LinkPtr& link) {
    if (now.disconnect) {
      ++counts.refused;
      error_code ignored;
      link->client.close(ignored);
      return;
    }
    ++counts.accepted;
    links.push_back(link);
    link->server.async_connect(target, [self = shared_from_this(), link](error_code ec) {
      if (ec) {
        return self->drop(link, true);  // as the target itself would refuse, a moment later
      }
      error_code ignored;
      link->client.set_option(tcp::no_delay(true), ignored);
      link->server.set_option(tcp::no_delay(true), ignored);
      for (Way& way : link->ways) {
        self->read(link, way);
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
    for (Way& way : link->ways) {
      way.timer.cancel();
    }
    links.remove(link);
  }

  bool silent(const Way& way) const { return way.there ? now.drop_forward : now.drop_backward; }

  std::chrono::microseconds wait(std::size_t bytes) {
    std::chrono::microseconds time = now.delay;
    if (now.jitter.count() > 0) {
      time += std::chrono::microseconds(
          draws.below(static_cast<std::size_t>(now.jitter.count()) * 1000 + 1));
    }
    while (now.loss < 1 && draws.chance(now.loss)) {
      time += kRetransmit;
    }
    if (now.k_bytes_per_s > 0) {
      time += std::chrono::microseconds(bytes * 1000 / now.k_bytes_per_s);
    }
    return time;
  }

  void read(const LinkPtr& link, Way& way) {
    way.from.async_read_some(asio::buffer(way.piece),
                             [self = shared_from_this(), link, &way](error_code ec, std::size_t n) {
                               if (ec) {
                                 return self->ended(link, way, ec != asio::error::eof);
                               }
                               self->counts.bytes += n;
                               self->pass(link, way, n);
                             });
  }

  void ended(const LinkPtr& link, Way& way, bool reset) {
    if (!way.from.is_open()) {
      return;
    }
    way.over = silent(way);  // then nobody hears of it yet
    if (!way.over) {
      drop(link, reset);
    }
  }

  void pass(const LinkPtr& link, Way& way, std::size_t n) {
    const auto time = wait(n);
    if (time.count() == 0) {
      return write(link, way, n);
    }
    way.timer.expires_after(time);
    way.timer.async_wait([self = shared_from_this(), link, &way, n](error_code ec) {
      if (!ec) {
        self->write(link, way, n);
      }
    });
  }

  void write(const LinkPtr& link, Way& way, std::size_t n) {
    if (!way.to.is_open()) {
      return;
    }
    way.held = silent(way) ? n : 0;
    if (way.held > 0) {
      return;  // set_fault() passes it on
    }
    asio::async_write(way.to, asio::buffer(way.piece, n),
                      [self = shared_from_this(), link, &way](error_code ec, std::size_t) {
                        if (ec) {
                          return self->drop(link, false);
                        }
                        self->read(link, way);
                      });
  }

  void set_fault(const Fault& fault) {
    now = fault;
    if (log) {
      log(text_of(fault));
    }
    for (auto open = links; const auto& link : open) {
      if (fault.disconnect || fault.reset) {
        counts.reset += fault.reset ? 1 : 0;
        drop(link, fault.reset);
        continue;
      }
      for (Way& way : link->ways) {
        if (silent(way)) {
          continue;
        }
        if (way.over) {
          drop(link, true);
        } else if (way.held > 0) {
          write(link, way, std::exchange(way.held, 0));
        }
      }
    }
    now.reset = false;  // once
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
  for (auto open = state_->links; const auto& link : open) {
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
  return state_->now;
}
const FaultProxy::Counts& FaultProxy::counts() const {
  return state_->counts;
}

}  // namespace gateway::lab
