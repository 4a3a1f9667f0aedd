// The clients of a soak run: requests at a fixed rate, whatever becomes of earlier ones.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "lab/soak/request_ledger.hpp"

namespace gateway::lab {

// A gateway as its clients see it.
struct ClientTarget {
  boost::asio::ip::tcp::endpoint endpoint;
  bool accepts = true;  // new connections go to it
  bool killed = false;
  std::optional<RequestLedger::Time> stopped_at;  // SIGTERM
  // SIGTERM of the latest process that SIGKILL ended. Its clients may notice its end only when the
  // next process is ready.
  std::optional<RequestLedger::Time> killed_process_stopped_at{};
};

struct ClientPlan {
  double rate = 100;  // requests a second
  std::size_t requests = 500;
  std::chrono::milliseconds timeout{2000};
  double leaving_share = 0;  // of the requests: the client closes before the response
  double slow_share = 0;     // of the requests: written in pieces
  double upload_share = 0;   // of the requests with a body: upload_bytes at 64 kB a second
  std::size_t upload_bytes = 96'000;
  // Of the requests with a body: a long body written as fast as the gateway takes it, half of them
  // chunked, with a drawn deadline.
  double fast_upload_share = 0;
  std::size_t min_fast_upload_bytes = 100'000;
  std::size_t max_fast_upload_bytes = 900'000;
  std::chrono::milliseconds min_fast_upload_timeout{300};
  std::chrono::milliseconds max_fast_upload_timeout{3000};
  // Of the requests with a body: the client leaves after returning_after and sends the request
  // again, under the same id, on a new connection, twice.
  double returning_share = 0;
  std::chrono::milliseconds returning_after{150};
};

// One request class of the gateways' settings.
struct SoakClass {
  std::string name;
  Effect effect;
};
// The classes that the clients draw from, a third of the requests each.
const std::vector<SoakClass>& soak_classes();

class ClientConnection;
struct ClientBehaviour;

// Used on its event loop's thread only, which must outlive it.
class SoakClients {
 public:
  SoakClients(boost::asio::io_context& io, ClientPlan plan, std::vector<ClientTarget>& targets,
              RequestLedger& ledger, std::uint64_t seed);
  ~SoakClients();
  SoakClients(const SoakClients&) = delete;
  SoakClients& operator=(const SoakClients&) = delete;

  void start();
  // All requests are sent and have their result.
  bool is_done() const { return sent_ >= plan_.requests && in_flight_ == 0; }
  // The requests without a result, for a message.
  std::string unfinished() const;
  std::size_t resent() const { return resent_; }
  std::size_t unreachable() const { return unreachable_; }
  // Requests that a gateway did not take, as it ended their connection before their last byte.
  std::size_t not_taken() const { return not_taken_; }

 private:
  friend class ClientConnection;
  void send_due();
  void send_one();
  std::optional<std::size_t> choose_target();
  std::shared_ptr<ClientConnection> take_idle(std::size_t target);
  std::string make_request(std::string& id, ClientBehaviour& behaviour);
  std::string body_for(const std::string& id, const ClientBehaviour& behaviour);
  ClientBehaviour draw_behaviour();
  bool draw(double share) { return unit_(random_) < share; }
  // A connection ended before its response; `reused` if it had carried a request before.
  void on_closed_without_response(const std::string& id, const std::string& text,
                                  std::size_t target, bool reused, const std::string& how,
                                  std::chrono::milliseconds timeout);
  void on_left(const std::string& id, const std::string& text, std::size_t target,
               ClientBehaviour behaviour);
  void on_finished() { --in_flight_; }

  boost::asio::io_context& io_;
  ClientPlan plan_;
  std::vector<ClientTarget>& targets_;
  RequestLedger& ledger_;
  std::mt19937_64 random_;
  std::uniform_real_distribution<double> unit_{0, 1};
  boost::asio::steady_timer timer_;
  RequestLedger::Time start_;
  std::vector<std::vector<std::shared_ptr<ClientConnection>>> idle_;  // by target
  std::unordered_set<std::shared_ptr<ClientConnection>> all_;
  std::unordered_set<std::string> resent_ids_;
  std::size_t sent_ = 0;
  std::size_t in_flight_ = 0;
  std::size_t resent_ = 0;
  std::size_t unreachable_ = 0;  // requests without a gateway that accepts
  std::size_t not_taken_ = 0;
};

}  // namespace gateway::lab
