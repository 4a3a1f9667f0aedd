// Runs the membership protocol over UDP on the caller's event loop: the socket, the timer, the
// encoding and payloads. All decisions are Membership's. Datagrams that cannot be decoded or belong
// to another fleet or format are counted and dropped, and so are payloads that do not come from the
// known address of the member that they name as sender. Must be used from the event loop's thread
// only.
#pragma once

#include <array>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "membership/codec.hpp"
#include "membership/membership.hpp"

namespace gateway::membership {

class Transport {
 public:
  // Callbacks that are not set are not called.
  struct Callbacks {
    // Returns the payload to piggyback for a member, at most `max_bytes` long; empty: none.
    std::function<std::string(const std::string& member, std::size_t max_bytes)> payload_for;
    // Called with a payload that arrived from the member's known address.
    std::function<void(const std::string& member, std::string_view payload)> on_payload;
    // Called for each change in this process's view of another member.
    std::function<void(const MemberChange&)> on_change;
  };
  struct Counters {
    std::uint64_t sent = 0;  // datagrams
    std::uint64_t sent_bytes = 0;
    std::uint64_t received = 0;  // datagrams, including dropped ones
    // Datagrams dropped, by reason; see DecodeError.
    std::uint64_t malformed = 0;
    std::uint64_t other_fleet = 0;
    std::uint64_t other_format = 0;
    // Payloads dropped because the sender is unknown, or its address or boot id is not the known
    // value.
    std::uint64_t sender_mismatches = 0;
  };

  // Starts to receive on `socket`, which must be bound. `fleet`: see fleet_id().
  Transport(boost::asio::ip::udp::socket socket, std::uint64_t fleet, Settings settings,
            std::uint64_t boot_id, std::uint64_t seed, Callbacks callbacks);

  // These do what the functions of the same name in Membership do, and send the resulting messages.
  void join(std::vector<Address> seeds);
  void broadcast_payload(std::size_t count);
  void send_payload_to(const std::string& member);
  void leave();

  boost::asio::any_io_executor executor() { return socket_.get_executor(); }
  const Membership& membership() const { return membership_; }
  const Counters& counters() const { return counters_; }

 private:
  static Time now() { return std::chrono::steady_clock::now().time_since_epoch(); }
  void receive_next();
  void on_datagram(std::string_view datagram);
  void count_dropped(DecodeError error);
  void deliver_payload(const Message& message, Address from);
  void process_results();
  void send_datagram(Membership::OutgoingMessage outgoing);
  void schedule_timer();

  // Expires with this object: a handler that is queued by then has no error and must not run.
  std::shared_ptr<const bool> lifetime_ = std::make_shared<const bool>(true);
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_;
  std::uint64_t fleet_;
  Membership membership_;
  Callbacks callbacks_;
  Counters counters_;
  Time scheduled_at_ = Time::max();        // expiry of the running timer; Time::max(): not running
  boost::asio::ip::udp::endpoint sender_;  // of the datagram in the receive buffer
  // One byte longer than a datagram may be: a longer datagram is truncated to this size, and
  // decode() rejects it instead of accepting its first bytes as a message.
  std::array<char, kMaxDatagramBytes + 1> receive_buffer_{};
};

}  // namespace gateway::membership
