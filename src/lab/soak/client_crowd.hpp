// Clients that hold a gateway's memory or keep it busy, beside the ordinary clients of a soak run.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <unordered_set>
#include <vector>

#include "lab/soak/request_ledger.hpp"

namespace gateway::lab {

enum class CrowdKind {
  many_fields,       // complete heads of very many short fields
  growing_head,      // a head that grows slowly and never ends
  half_body,         // a buffered body that stops half-way
  slow_upload,       // a long body at 64 kB a second
  slow_reader,       // reads a long response slowly
  read_ahead,        // sends more requests before its response
  flood,             // small requests under new names without a pause
  probe_flood,       // GET /up on one connection without a pause
  idle_reader,       // reads one long response and keeps its connection
  whole_body,        // a buffered body, complete at once
  slow_short_reader  // reads slowly a response that is just short enough to be buffered
};
inline constexpr CrowdKind kAllCrowdKinds[] = {
    CrowdKind::many_fields, CrowdKind::growing_head,     CrowdKind::half_body,
    CrowdKind::slow_upload, CrowdKind::slow_reader,      CrowdKind::read_ahead,
    CrowdKind::flood,       CrowdKind::probe_flood,      CrowdKind::idle_reader,
    CrowdKind::whole_body,  CrowdKind::slow_short_reader};
// Those that pressure_soak_plan() draws from. One more would give its seeds other runs.
inline constexpr std::size_t kDrawnCrowdKinds = 7;
const char* name_of(CrowdKind kind);

struct CrowdPlan {
  std::size_t connections = 0;   // to each gateway
  std::vector<CrowdKind> kinds;  // of the connections, in turn
  std::chrono::milliseconds starts_after{0};
  std::chrono::milliseconds duration{0};  // then all connections are closed; 0: until the end
};

class CrowdConnection;

// Opens a new connection for each one that ends. Used on its event loop's thread only.
class ClientCrowd {
 public:
  ClientCrowd(boost::asio::io_context& io, CrowdPlan plan,
              std::vector<boost::asio::ip::tcp::endpoint> targets, RequestLedger& ledger,
              std::uint64_t seed);
  // NOLINTNEXTLINE(bugprone-exception-escape): throws only when out of memory
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  void start();
  void stop();
  std::size_t responses() const { return responses_; }

 private:
  friend class CrowdConnection;
  void open(std::size_t target, CrowdKind kind);
  void on_closed(const std::shared_ptr<CrowdConnection>& connection);

  void open_next();

  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  std::size_t opened_ = 0;  // to each gateway
  CrowdPlan plan_;
  std::vector<boost::asio::ip::tcp::endpoint> targets_;
  RequestLedger& ledger_;
  std::mt19937_64 random_;
  std::unordered_set<std::shared_ptr<CrowdConnection>> connections_;
  std::size_t responses_ = 0;
  bool stopped_ = false;
};

}  // namespace gateway::lab
