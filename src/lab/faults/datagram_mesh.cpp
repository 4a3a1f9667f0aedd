#include "lab/faults/datagram_mesh.hpp"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "lab/model/event_queue.hpp"
#include "lab/model/random.hpp"

namespace gateway::lab {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

struct DatagramMesh::State : std::enable_shared_from_this<DatagramMesh::State> {
  using Clock = std::chrono::steady_clock;
  struct MemberSocket {
    explicit MemberSocket(asio::io_context& io)
        : socket(io, {asio::ip::address_v4::loopback(), 0}) {
      error_code ignored;
      socket.non_blocking(true, ignored);
      socket.set_option(asio::socket_base::receive_buffer_size(1 << 20), ignored);
    }
    udp::socket socket;
    udp::endpoint real, sender;
    std::array<char, 65536> buffer;
    Counts counts;
  };
  struct Datagram {
    MemberIndex from, to;
    std::string data;
  };

  State(asio::io_context& context, std::uint64_t seed)
      : io(context), timer(context), random(seed, "mesh") {}

  void receive(MemberIndex to) {
    MemberSocket& m = members[to];
    m.socket.async_receive_from(
        asio::buffer(m.buffer), m.sender,
        [this, to, self = shared_from_this()](error_code ec, std::size_t n) {
          if (closed || ec == asio::error::operation_aborted) {
            return;
          }
          if (!ec) {
            on_received(to, n);
          }
          receive(to);
        });
  }

  void on_received(MemberIndex to, std::size_t n) {
    const auto from = members_by_port.find(members[to].sender.port());
    if (from == members_by_port.end()) {
      ++unknown_senders;
      return;
    }
    Counts& c = members[from->second].counts;
    ++c.datagrams;
    c.bytes += n;
    const auto it = faults.find({from->second, to});
    const Fault& f = it == faults.end() ? no_fault : it->second;
    if (f.drop_forward || random.chance(f.loss)) {
      ++c.lost;
      return;
    }
    std::string data(members[to].buffer.data(), n);
    if (n > 0 && random.chance(f.corrupt)) {
      ++c.corrupted;
      if (random.chance(0.5)) {
        char& byte = data[random.below(n)];
        byte = static_cast<char>(byte ^ static_cast<char>(1 << random.below(8)));
      } else {
        data.resize(random.below(n));
      }
    }
    if (random.chance(f.duplicate)) {
      ++c.duplicated;
      send(f, {from->second, to, data});
    }
    send(f, {from->second, to, std::move(data)});
  }

  void send(const Fault& f, Datagram datagram) {
    if (f.delay.count() == 0 && f.jitter.count() == 0) {
      return deliver(datagram);
    }
    const auto jitter = random.below(static_cast<std::size_t>(f.jitter.count()) * 1000 + 1);
    const auto at = Clock::now() + f.delay + std::chrono::microseconds(jitter);
    delayed_datagrams.add(std::chrono::duration_cast<Duration>(at.time_since_epoch()),
                          std::move(datagram));
    arm_timer();
  }

  void arm_timer() {
    if (delayed_datagrams.next_at() >= timer_at) {
      return;
    }
    timer_at = delayed_datagrams.next_at();
    timer.expires_at(Clock::time_point(std::chrono::duration_cast<Clock::duration>(timer_at)));
    timer.async_wait([this, self = shared_from_this()](error_code ec) {
      if (ec || closed) {
        return;
      }
      timer_at = kNever;
      const auto now = std::chrono::duration_cast<Duration>(Clock::now().time_since_epoch());
      while (delayed_datagrams.next_at() <= now) {
        deliver(delayed_datagrams.pop());
      }
      arm_timer();
    });
  }

  // Sends from the sender's public address, the only one by which the receiver knows it.
  void deliver(const Datagram& datagram) {
    error_code ignored;  // a datagram to a closed socket is lost, as on a network
    members[datagram.from].socket.send_to(asio::buffer(datagram.data), members[datagram.to].real, 0,
                                          ignored);
  }

  asio::io_context& io;
  asio::steady_timer timer;
  Random random;
  std::deque<MemberSocket> members;
  std::unordered_map<unsigned short, MemberIndex> members_by_port;  // by sending port
  std::map<std::pair<MemberIndex, MemberIndex>, Fault> faults;
  EventQueue<Datagram> delayed_datagrams;
  Time timer_at = kNever;
  std::uint64_t unknown_senders = 0;
  const Fault no_fault{};
  bool closed = false;
};

DatagramMesh::DatagramMesh(asio::io_context& io, std::uint64_t seed)
    : state_(std::make_shared<State>(io, seed)) {}

// NOLINTNEXTLINE(bugprone-exception-escape): throws only when out of memory
DatagramMesh::~DatagramMesh() {
  state_->closed = true;
  state_->timer.cancel();
  error_code ignored;
  for (auto& member : state_->members) {
    member.socket.close(ignored);
  }
}

DatagramMesh::MemberIndex DatagramMesh::add(const udp::endpoint& real) {
  const MemberIndex member = state_->members.size();
  state_->members.emplace_back(state_->io).real = real;
  state_->members_by_port[real.port()] = member;
  state_->receive(member);
  return member;
}

udp::endpoint DatagramMesh::address(MemberIndex member) const {
  return state_->members.at(member).socket.local_endpoint();
}

void DatagramMesh::set_fault(MemberIndex from, MemberIndex to, const Fault& fault) {
  if (fault == Fault{}) {
    state_->faults.erase({from, to});
  } else {
    state_->faults[{from, to}] = fault;
  }
}

const DatagramMesh::Counts& DatagramMesh::counts(MemberIndex from) const {
  return state_->members.at(from).counts;
}
std::uint64_t DatagramMesh::unknown_senders() const {
  return state_->unknown_senders;
}

}  // namespace gateway::lab
