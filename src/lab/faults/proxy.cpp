#include "lab/faults/proxy.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <list>
#include <vector>

namespace fennelridge::lab {

namespace asio = boost::asio;
using asio::ip::tcp;

std::string textOf(const Fault& f) {
  switch (f.kind) {
    case Fault::Kind::pass: return "pass";
    case Fault::Kind::delay:
      return "delay " + std::to_string(f.delay.count()) + "+" + std::to_string(f.jitter.count()) + " ms";
    case Fault::Kind::cut: return "cut";
    case Fault::Kind::reset: return "reset";
  }
  return "?";
}

struct FaultProxy::State : std::enable_shared_from_this<FaultProxy::State> {
  struct Link {
    tcp::socket client, server;
    explicit Link(asio::io_context& io) : client(io), server(io) {}
  };

  asio::io_context& io;
  tcp::acceptor acceptor;
  tcp::endpoint target;
  boost::random::mt19937_64 draws;
  std::function<void(const std::string&)> log;
  Fault now;
  Counts counts;
  std::list<std::shared_ptr<Link>> links;
  bool closed = false;

  State(asio::io_context& context, tcp::endpoint to, std::uint64_t seed,
        std::function<void(const std::string&)> tell)
      : io(context),
        acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        target(to),
        draws(seed),
        log(std::move(tell)) {}

  void accept() {
    auto link = std::make_shared<Link>(io);
    acceptor.async_accept(link->client, [self = shared_from_this(), link](boost::system::error_code ec) {
      if (self->closed) return;
      if (!ec) self->taken(link);
      self->accept();
    });
  }

  void taken(const std::shared_ptr<Link>& link) {
    if (now.kind == Fault::Kind::cut) {
      ++counts.refused;
      boost::system::error_code ignored;
      link->client.close(ignored);
      return;
    }
    ++counts.accepted;
    links.push_back(link);
    link->server.async_connect(target, [self = shared_from_this(), link](boost::system::error_code ec) {
      if (ec) return self->drop(link, false);
      self->pump(link, link->client, link->server);
      self->pump(link, link->server, link->client);
    });
  }

  void drop(const std::shared_ptr<Link>& link, bool reset) {
    boost::system::error_code ignored;
    if (reset) {
      link->client.set_option(asio::socket_base::linger(true, 0), ignored);
      link->server.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    link->client.close(ignored);
    link->server.close(ignored);
    links.remove(link);
  }

  std::chrono::milliseconds wait() {
    if (now.kind != Fault::Kind::delay) return std::chrono::milliseconds(0);
    boost::random::uniform_int_distribution<std::int64_t> jitter(0, now.jitter.count());
    return now.delay + std::chrono::milliseconds(jitter(draws));
  }

  // Reads from `from` and writes to `to`; the next read waits until the piece is written, which bounds what
  // the proxy holds to one piece a direction and lets a delay slow the sender down as a slow link would.
  void pump(const std::shared_ptr<Link>& link, tcp::socket& from, tcp::socket& to) {
    auto piece = std::make_shared<std::vector<char>>(16384);
    from.async_read_some(asio::buffer(*piece), [self = shared_from_this(), link, piece, &from, &to](
                                                   boost::system::error_code ec, std::size_t n) {
      if (ec) return self->drop(link, false);
      piece->resize(n);
      self->counts.bytes += n;
      auto timer = std::make_shared<asio::steady_timer>(self->io, self->wait());
      timer->async_wait([self, link, piece, timer, &from, &to](boost::system::error_code) {
        if (!to.is_open()) return;
        asio::async_write(to, asio::buffer(*piece),
                          [self, link, piece, &from, &to](boost::system::error_code failed, std::size_t) {
                            if (failed) return self->drop(link, false);
                            self->pump(link, from, to);
                          });
      });
    });
  }

  void set(const Fault& fault) {
    now = fault;
    if (log) log(textOf(fault));
    if (fault.kind != Fault::Kind::cut && fault.kind != Fault::Kind::reset) return;
    const bool reset = fault.kind == Fault::Kind::reset;
    for (auto open = links; const auto& link : open) {
      counts.reset += reset ? 1 : 0;
      drop(link, reset);
    }
    if (reset) now = Fault{};  // once: what comes after passes
  }
};

FaultProxy::FaultProxy(asio::io_context& io, tcp::endpoint target, std::uint64_t seed,
                       std::function<void(const std::string&)> log)
    : state_(std::make_shared<State>(io, target, seed, std::move(log))) {
  state_->accept();
}

FaultProxy::~FaultProxy() {
  state_->closed = true;
  boost::system::error_code ignored;
  state_->acceptor.close(ignored);
  for (auto open = state_->links; const auto& link : open) state_->drop(link, false);
}

tcp::endpoint FaultProxy::address() const { return state_->acceptor.local_endpoint(); }
void FaultProxy::set(const Fault& fault) { state_->set(fault); }
const Fault& FaultProxy::fault() const { return state_->now; }
const FaultProxy::Counts& FaultProxy::counts() const { return state_->counts; }

}  // namespace fennelridge::lab
