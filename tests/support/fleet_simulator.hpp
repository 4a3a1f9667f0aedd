// A fleet in virtual time: the membership state machines of many members on a simulated network
// that loses, delays and blocks datagrams. One seed determines the whole run; a failing test prints
// it.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "membership/codec.hpp"
#include "membership/membership.hpp"

namespace gateway::testing {

using namespace std::chrono_literals;
using membership::Address;
using membership::Duration;
using membership::MemberChange;
using membership::MemberChangeKind;
using membership::Membership;
using membership::MemberState;
using membership::Message;
using membership::Time;

// Runs `count` members named g0, g1, ... Only members that were started take part. Not thread-safe.
class FleetSimulator {
 public:
  // What a process that continues after a pause handles first.
  enum class ResumeOrder { datagrams_first, timer_first };

  struct Node {
    std::unique_ptr<Membership> membership;  // null: the process is not running
    Address address;
    bool paused = false;
    // Datagrams that arrived during a pause, as in a socket's receive buffer.
    std::vector<std::pair<Address, std::string>> buffered;
    std::uint64_t sent_bytes = 0;
    std::uint64_t starts = 0;  // processes started so far
  };
  struct Link {
    double loss = 0;  // probability that a datagram is lost
    bool blocked = false;
    Duration delay = 500us;
    Duration jitter = 500us;  // upper bound of the random addition to the delay
  };

  // Called for each change in a member's view.
  std::function<void(Time, const std::string& observer, const MemberChange&)> on_change;
  // Properties of the path of a datagram, asked for each datagram.
  std::function<Link(std::size_t from, std::size_t to)> link = [](std::size_t, std::size_t) {
    return Link{};
  };
  // Returns the payload of at most `max_bytes` that a datagram carries.
  std::function<std::string(std::size_t from, const std::string& to, std::size_t max_bytes)>
      payload_for;
  // Called at the recipient of a payload, before the membership handles the message.
  std::function<void(std::size_t to, const Message&)> on_payload;
  membership::Settings settings;  // of members started from now on; name and address are set here
  std::vector<Node> nodes;

  FleetSimulator(std::size_t count, std::uint64_t seed) : seed_(seed), random_(seed) {
    nodes.resize(count);
    for (std::size_t i = 0; i < count; ++i) {
      nodes[i].address = {kLoopback, static_cast<std::uint16_t>(kFirstPort + i)};
    }
  }

  static std::string name(std::size_t i) { return "g" + std::to_string(i); }
  static std::size_t index_of(const std::string& name) { return std::stoul(name.substr(1)); }
  static std::size_t index_of(const Address& address) {
    return std::size_t{address.port} - kFirstPort;
  }
  Time now() const { return now_; }
  Membership& at(std::size_t i) { return *nodes[i].membership; }
  bool is_running(std::size_t i) const { return nodes[i].membership != nullptr; }

  // Starts a process of member i, which joins through up to three of the first members. Without
  // `boot_id`, the clock in milliseconds serves as the boot id.
  void start(std::size_t i, std::optional<std::uint64_t> boot_id = {}) {
    membership::Settings own_settings = settings;
    own_settings.name = name(i);
    own_settings.address = nodes[i].address;
    const std::uint64_t clock_ms = 1000000 + static_cast<std::uint64_t>(now_ / 1ms);
    const std::uint64_t seed = seed_ * 1000003 + i * 101 + nodes[i].starts++;
    nodes[i].membership =
        std::make_unique<Membership>(own_settings, boot_id.value_or(clock_ms), seed, now_);
    std::vector<Address> seeds;
    for (std::size_t k = 0; k < std::min<std::size_t>(3, nodes.size()); ++k) {
      if (k != i) {
        seeds.push_back(nodes[k].address);
      }
    }
    at(i).join(now_, seeds);
    process_results(i);
  }
  void start_all() {
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      start(i);
    }
  }
  // Ends the process without a message to the others.
  void kill(std::size_t i) {
    nodes[i].membership.reset();
    nodes[i].buffered.clear();
    nodes[i].paused = false;
  }
  void broadcast_payload(std::size_t i, std::size_t count) {
    at(i).broadcast_payload(count);
    process_results(i);
  }
  void send_payload_to(std::size_t i, const std::string& name) {
    at(i).send_payload_to(name);
    process_results(i);
  }
  // Stops the process; datagrams are buffered until resume().
  void pause(std::size_t i) { nodes[i].paused = true; }
  // The timer of a process that continues may be due before it reads the buffered datagrams.
  void resume(std::size_t i, ResumeOrder order = ResumeOrder::datagrams_first) {
    nodes[i].paused = false;
    if (order == ResumeOrder::timer_first) {
      run_timer(i);
    }
    for (const auto& [from, datagram] : std::exchange(nodes[i].buffered, {})) {
      receive(i, from, datagram);
    }
    run_timer(i);
  }
  // Runs `action` at a virtual time, after earlier scheduled actions of the same time.
  void schedule(Time when, std::function<void()> action) {
    events_.push({when, ++last_event_, std::move(action)});
  }

  void run_for(Duration duration) { run_until(now_ + duration); }
  void run_until(Time until) {
    while (!events_.empty() && events_.top().at <= until) {
      const Event event = events_.top();
      events_.pop();
      now_ = std::max(now_, event.at);
      event.action();
    }
    now_ = until;
  }
  // Runs until `done` holds, checked every 10 ms, or for `timeout`. Returns whether it holds.
  bool run_until_done(Duration timeout, const std::function<bool()>& done) {
    const Time until = now_ + timeout;
    while (now_ < until) {
      if (done()) {
        return true;
      }
      run_for(10ms);
    }
    return done();
  }

  // Whether every running member considers every other running member alive.
  bool all_agree() {
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (is_running(i) && !sees_all_running_alive(i)) {
        return false;
      }
    }
    return true;
  }

 private:
  struct Event {
    Time at;
    std::uint64_t number;  // orders events of the same time
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  static constexpr std::uint64_t kFleet = 42;
  static constexpr std::uint32_t kLoopback = 0x7f000001;
  static constexpr std::uint16_t kFirstPort = 1000;
  static constexpr std::size_t kMaxPayloadBytes = 700;

  bool sees_all_running_alive(std::size_t observer) {
    const auto& peers = at(observer).peers();
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (i == observer || !is_running(i)) {
        continue;
      }
      const auto peer = peers.find(name(i));
      if (peer == peers.end() || peer->second.state != MemberState::alive) {
        return false;
      }
    }
    return true;
  }

  void receive(std::size_t i, Address from, const std::string& datagram) {
    if (!is_running(i)) {
      return;
    }
    if (nodes[i].paused) {
      nodes[i].buffered.emplace_back(from, datagram);
      return;
    }
    const auto decoded = membership::decode(datagram, kFleet);
    const Message* message = std::get_if<Message>(&decoded);
    ASSERT_NE(message, nullptr) << "a datagram encoded here was not decoded, seed " << seed_;
    if (on_payload && !message->payload.empty()) {
      on_payload(i, *message);
    }
    at(i).on_message(now_, from, *message);
    process_results(i);
  }

  void run_timer(std::size_t i) {
    if (!is_running(i) || nodes[i].paused || at(i).next_timer() > now_) {
      return;
    }
    at(i).on_timer(now_);
    process_results(i);
  }

  void process_results(std::size_t i) {
    for (Membership::OutgoingMessage& outgoing : std::exchange(at(i).outgoing(), {})) {
      if (payload_for && !outgoing.payload_recipient.empty()) {
        outgoing.message.payload = payload_for(i, outgoing.payload_recipient, kMaxPayloadBytes);
      }
      transmit(i, outgoing.to, membership::encode(outgoing.message, kFleet));
    }
    for (const MemberChange& change : std::exchange(at(i).changes(), {})) {
      if (on_change) {
        on_change(now_, name(i), change);
      }
    }
    const Time next = at(i).next_timer();
    if (next != Time::max()) {
      schedule(std::max(next, now_), [this, i, process = nodes[i].starts] {
        if (nodes[i].starts == process) {
          run_timer(i);
        }
      });
    }
  }

  void transmit(std::size_t from, Address to, std::string datagram) {
    EXPECT_LE(datagram.size(), membership::kMaxDatagramBytes);
    nodes[from].sent_bytes += datagram.size();
    const std::size_t target = index_of(to);
    if (target >= nodes.size()) {
      return;
    }
    const Link properties = link(from, target);
    if (properties.blocked || std::uniform_real_distribution<>()(random_) < properties.loss) {
      return;
    }
    const Duration jitter(
        std::uniform_int_distribution<std::int64_t>(0, properties.jitter.count())(random_));
    schedule(now_ + properties.delay + jitter,
             [this, target, source = nodes[from].address, datagram = std::move(datagram)] {
               receive(target, source, datagram);
             });
  }

  std::uint64_t seed_;
  std::uint64_t last_event_ = 0;
  std::mt19937_64 random_;
  Time now_ = 100s;
  std::priority_queue<Event> events_;
};

// A link function for a partitioned network: members reach only those of the same part.
inline std::function<FleetSimulator::Link(std::size_t, std::size_t)> partitioned_by(
    std::function<int(std::size_t)> part_of) {
  return [part_of = std::move(part_of)](std::size_t from, std::size_t to) {
    FleetSimulator::Link link;
    link.blocked = part_of(from) != part_of(to);
    return link;
  };
}

// A link function for a network without faults.
inline std::function<FleetSimulator::Link(std::size_t, std::size_t)> fully_connected() {
  return [](std::size_t, std::size_t) {
    return FleetSimulator::Link{};
  };
}

}  // namespace gateway::testing
