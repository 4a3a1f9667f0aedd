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
  struct Member {
    explicit Member(asio::io_context& io) : socket(io, {asio::ip::address_v4::loopback(), 0}) {
      error_code ignored;
      socket.non_blocking(true, ignored);
      socket.set_option(asio::socket_base::receive_buffer_size(1 << 20), ignored);
    }
    udp::socket socket;
    udp::endpoint real, sender;
    std::array<char, 65536> buffer;
    Counts counts;
  };
  struct Flight {
    MemberIndex from, to;
    std::string data;
  };

  State(asio::io_context& context, std::uint64_t seed)
      : io(context), timer(context), draws(seed, "mesh") {}

  void receive(MemberIndex to) {
    Member& m = members[to];
    m.socket.async_receive_from(
        asio::buffer(m.buffer), m.sender,
        [this, to, self = shared_from_this()](error_code ec, std::size_t n) {
          if (closed || ec == asio::error::operation_aborted) {
            return;
          }
          if (!ec) {
            taken(to, n);
          }
          receive(to);
        });
  }

  void taken(MemberIndex to, std::size_t n) {
    const auto from = parties.find(members[to].sender.port());
    if (from == parties.end()) {
      ++unknown_senders;
      return;
    }
    Counts& c = members[from->second].counts;
    ++c.datagrams;
    c.bytes += n;
    const auto it = faults.find({from->second, to});
    const Fault& f = it == faults.end() ? pass : it->second;
    if (f.drop_forward || draws.chance(f.loss)) {
      ++c.lost;
      return;
    }
    std::string data(members[to].buffer.data(), n);
    if (n > 0 && draws.chance(f.corrupt)) {
      ++c.corrupted;
      if (draws.chance(0.5)) {
        char& byte = data[draws.below(n)];
        byte = static_cast<char>(byte ^ static_cast<char>(1 << draws.below(8)));
      } else {
        data.resize(draws.below(n));
      }
    }
    if (draws.chance(f.duplicate)) {
      ++c.duplicated;
      send(f, {from->second, to, data});
    }
    send(f, {from->second, to, std::move(data)});
  }

  void send(const Fault& f, Flight flight) {
    if (f.delay.count() == 0 && f.jitter.count() == 0) {
      return deliver(flight);
    }
    const auto jitter = draws.below(static_cast<std::size_t>(f.jitter.count()) * 1000 + 1);
    const auto at = Clock::now() + f.delay + std::chrono::microseconds(jitter);
    agenda.add(std::chrono::duration_cast<Duration>(at.time_since_epoch()), std::move(flight));
    arm();
  }

  void arm() {
    if (agenda.next_at() >= armed) {
      return;
    }
    armed = agenda.next_at();
    timer.expires_at(Clock::time_point(std::chrono::duration_cast<Clock::duration>(armed)));
    timer.async_wait([this, self = shared_from_this()](error_code ec) {
      if (ec || closed) {
        return;
      }
      armed = kNever;
      const auto now = std::chrono::duration_cast<Duration>(Clock::now().time_since_epoch());
      while (agenda.next_at() <= now) {
        deliver(agenda.pop());
      }
      arm();
    });
  }

  // Sent from the sender's public address: the receiver knows it by no other.
  void deliver(const Flight& flight) {
    error_code ignored;  // a receiver that is gone loses it, as on a network
    members[flight.from].socket.send_to(asio::buffer(flight.data), members[flight.to].real, 0,
                                        ignored);
  }

  asio::io_context& io;
  asio::steady_timer timer;
  Random draws;
  std::deque<Member> members;
  std::unordered_map<unsigned short, MemberIndex> parties;  // by the port they send from
  std::map<std::pair<MemberIndex, MemberIndex>, Fault> faults;
  EventQueue<Flight> agenda;
  Time armed = kNever;
  std::uint64_t unknown_senders = 0;
  const Fault pass{};
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
  const MemberIndex party = state_->members.size();
  state_->members.emplace_back(state_->io).real = real;
  state_->parties[real.port()] = party;
  state_->receive(party);
  return party;
}

udp::endpoint DatagramMesh::address(MemberIndex party) const {
  return state_->members.at(party).socket.local_endpoint();
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
