// A host on loopback that executes requests and misbehaves as its plan says.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_set>

#include "lab/soak/request_ledger.hpp"
#include "lab/soak/stray_plan.hpp"

namespace gateway::lab {

class HostConnection;

struct HostPlan {
  std::string uid;
  std::string zone;
  std::chrono::milliseconds min_service{15};
  std::chrono::milliseconds max_service{60};
  double rejected_share = 0;  // of the requests: answered 503 with X-Not-Run: 1, not executed
  double reset_share = 0;     // of the requests: the connection is reset while they are executed
  double hang_share = 0;      // of the requests: executed, never answered
  double long_share = 0;      // of the requests: answered with long_bytes over long_duration
  std::size_t long_bytes = 400'000;
  std::chrono::milliseconds long_duration{2000};
  bool chunks_long_responses = false;  // else their length is known
  double late_accept_share = 0;        // of the connections: read only after accept_delay
  std::chrono::milliseconds accept_delay{0};
  std::chrono::milliseconds idle_timeout{0};  // closes connections that are idle; 0: never
  double stuck_share =
      0;  // of the requests: reads only up to a drawn number of bytes, then nothing
  std::size_t max_bytes_before_stuck = 64'000;
  double slow_read_share = 0;  // of the requests: read at a drawn rate, in bytes a second
  std::size_t min_read_rate = 20'000;
  std::size_t max_read_rate = 800'000;
  StrayPlan stray;
};

// Used on its event loop's thread only, which must outlive it.
class FaultyHost {
 public:
  FaultyHost(boost::asio::io_context& io, HostPlan plan, RequestLedger& ledger, std::uint64_t seed);
  ~FaultyHost();
  FaultyHost(const FaultyHost&) = delete;
  FaultyHost& operator=(const FaultyHost&) = delete;

  boost::asio::ip::tcp::endpoint endpoint() const { return endpoint_; }
  const HostPlan& plan() const { return plan_; }
  HostPlan& mutable_plan() { return plan_; }
  // From `at` on, the first byte of each attempt is a violation: a drain was notified long enough
  // before.
  void forbid_attempts_from(RequestLedger::Time at) { closed_from_ = at; }
  void allow_attempts() { closed_from_.reset(); }
  // Closes the connections with a reset and refuses new ones until restart().
  void crash();
  void restart();

  std::size_t accepted_connections() const { return accepted_; }
  std::size_t strays_sent() const { return strays_sent_; }
  std::size_t max_open_connections() const { return max_open_; }

 private:
  friend class HostConnection;
  void accept();
  void add_connection(boost::asio::ip::tcp::socket socket);
  void on_closed(HostConnection* connection);
  bool draw(double share) { return unit_(random_) < share; }
  std::chrono::milliseconds draw_between(std::chrono::milliseconds low,
                                         std::chrono::milliseconds high);
  std::size_t draw_between(std::size_t low, std::size_t high);
  bool reads_in_pieces() const { return plan_.stuck_share > 0 || plan_.slow_read_share > 0; }

  boost::asio::io_context& io_;
  HostPlan plan_;
  RequestLedger& ledger_;
  std::mt19937_64 random_;
  std::uniform_real_distribution<double> unit_{0, 1};
  boost::asio::ip::tcp::endpoint endpoint_;
  std::optional<boost::asio::ip::tcp::acceptor> acceptor_;
  std::unordered_set<std::shared_ptr<HostConnection>> connections_;
  std::optional<RequestLedger::Time> closed_from_;
  std::size_t accepted_ = 0;
  std::size_t strays_sent_ = 0;
  std::size_t max_open_ = 0;
};

}  // namespace gateway::lab
