#include "membership/transport.hpp"

#include <algorithm>
#include <utility>

namespace gateway::membership {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

// Maximum size of the CBOR head of a payload.
constexpr std::size_t kPayloadHeaderBytes = 4;
// Holds the burst of datagrams in which a large fleet sends its member table after a join.
constexpr int kReceiveBufferBytes = 1 << 18;

}  // namespace

Transport::Transport(udp::socket socket, std::uint64_t fleet, Settings settings,
                     std::uint64_t boot_id, std::uint64_t seed, Callbacks callbacks)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      fleet_(fleet),
      membership_(std::move(settings), boot_id, seed, now()),
      callbacks_(std::move(callbacks)) {
  socket_.non_blocking(true);
  error_code ignored;
  socket_.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
  receive_next();
  schedule_timer();
}

void Transport::join(std::vector<Address> seeds) {
  membership_.join(now(), std::move(seeds));
  process_results();
}

void Transport::broadcast_payload(std::size_t count) {
  membership_.broadcast_payload(count);
  process_results();
}

void Transport::send_payload_to(const std::string& member) {
  membership_.send_payload_to(member);
  process_results();
}

void Transport::leave() {
  membership_.leave();
  process_results();
}

void Transport::receive_next() {
  socket_.async_receive_from(
      asio::buffer(receive_buffer_), sender_,
      [this, alive = std::weak_ptr(lifetime_)](error_code ec, std::size_t bytes) {
        if (alive.expired() || ec == asio::error::operation_aborted) {
          return;
        }
        // Any other error means that a datagram sent earlier reached a
        // closed port; receiving goes on.
        if (!ec) {
          on_datagram({receive_buffer_.data(), bytes});
        }
        receive_next();
      });
}

void Transport::on_datagram(std::string_view datagram) {
  ++counters_.received;
  const auto decoded = decode(datagram, fleet_);
  if (const auto* error = std::get_if<DecodeError>(&decoded)) {
    count_dropped(*error);
    return;
  }
  const auto& message = std::get<Message>(decoded);
  const Address from{sender_.address().to_v4().to_uint(), sender_.port()};
  membership_.on_message(now(), from, message);
  if (!message.payload.empty()) {
    deliver_payload(message, from);
  }
  process_results();
}

void Transport::count_dropped(DecodeError error) {
  switch (error) {
    case DecodeError::malformed:
      ++counters_.malformed;
      break;
    case DecodeError::other_fleet:
      ++counters_.other_fleet;
      break;
    case DecodeError::other_format:
      ++counters_.other_format;
      break;
  }
}

void Transport::deliver_payload(const Message& message, Address from) {
  const auto& peers = membership_.peers();
  const auto sender = peers.find(message.from);
  if (sender == peers.end() || sender->second.address != from ||
      sender->second.version.boot_id != message.version.boot_id) {
    ++counters_.sender_mismatches;
    return;
  }
  if (callbacks_.on_payload) {
    callbacks_.on_payload(message.from, message.payload);
  }
}

void Transport::process_results() {
  for (Membership::OutgoingMessage& outgoing : std::exchange(membership_.outgoing(), {})) {
    send_datagram(std::move(outgoing));
  }
  for (const MemberChange& change : std::exchange(membership_.changes(), {})) {
    if (callbacks_.on_change) {
      callbacks_.on_change(change);
    }
  }
  schedule_timer();
}

void Transport::send_datagram(Membership::OutgoingMessage outgoing) {
  std::string datagram = encode(outgoing.message, fleet_);
  if (callbacks_.payload_for && !outgoing.payload_recipient.empty()) {
    const std::size_t used_bytes =
        std::min(kMaxDatagramBytes, datagram.size() + kPayloadHeaderBytes);
    const std::size_t max_bytes = std::min(kMaxPayloadBytes, kMaxDatagramBytes - used_bytes);
    outgoing.message.payload = callbacks_.payload_for(outgoing.payload_recipient, max_bytes);
    if (!outgoing.message.payload.empty()) {
      datagram = encode(outgoing.message, fleet_);
    }
  }
  error_code ignored;  // the protocol tolerates the loss of a datagram
  const udp::endpoint destination(asio::ip::address_v4(outgoing.to.ip), outgoing.to.port);
  socket_.send_to(asio::buffer(datagram), destination, 0, ignored);
  ++counters_.sent;
  counters_.sent_bytes += datagram.size();
}

void Transport::schedule_timer() {
  if (membership_.next_timer() == scheduled_at_) {
    return;
  }
  scheduled_at_ = membership_.next_timer();
  if (scheduled_at_ == Time::max()) {
    timer_.cancel();
    return;
  }
  timer_.expires_at(std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(scheduled_at_)));
  timer_.async_wait([this, alive = std::weak_ptr(lifetime_)](error_code ec) {
    if (ec || alive.expired()) {
      return;
    }
    scheduled_at_ = Time::max();
    membership_.on_timer(now());
    process_results();
  });
}

}  // namespace gateway::membership
