/// @file
/// An HTTP connection to a discovery server and the request in flight on it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "discovery/endpoint_list.hpp"
#include "runtime/clock.hpp"

namespace gateway::discovery {

/// Which endpoints a request asks for, and when discovery responds.
enum class RequestKind {
  full_list,    ///< All endpoints, without delay.
  watch_start,  ///< Changes since the known version, without delay, even if there are none.
  long_poll     ///< Changes since the known version, as soon as there are any.
};

/// Sends one request at a time and decodes the response to an endpoint list. The connection is
/// reused for the next request as long as both sides keep it open. Owned by shared_ptr: pending
/// operations keep the object alive until they complete. Used on the event loop's thread only.
class DiscoveryCall : public std::enable_shared_from_this<DiscoveryCall> {
 public:
  using Pointer = std::shared_ptr<DiscoveryCall>;

  /// Receives the result of a call. It must outlive the call, unless it has called cancel().
  class Observer {
   public:
    /// The call's timeout has passed. Returns true to keep the call open; the observer has then set
    /// another timeout. Returns false to let the call fail.
    virtual bool on_call_overdue(const Pointer& call) = 0;
    /// The call has ended. Without a list it has failed, or its response was not an endpoint list;
    /// the connection is then closed.
    virtual void on_call_finished(const Pointer& call, const std::optional<EndpointList>& list) = 0;

   protected:
    ~Observer() = default;
  };

  struct Request {
    RequestKind kind = RequestKind::full_list;
    std::string target;                   ///< Path with query.
    std::uint64_t epoch = 0;              ///< The client's version epoch when the request is sent.
    std::chrono::milliseconds timeout{};  ///< After this time the call is overdue.
  };

  DiscoveryCall(boost::asio::io_context& io, runtime::Clock& clock,
                boost::asio::ip::tcp::endpoint server, Observer& observer);

  /// Sends the request; connects first if no connection is open. No other request may be in flight.
  void start(const Request& request);
  /// Closes the connection and stops all calls to the observer. Can't be undone.
  void cancel();
  /// Replaces the current timeout by one that begins now.
  void set_timeout(std::chrono::milliseconds timeout);

  bool is_connected() const { return socket_.is_open(); }
  /// Whether the connection has carried no earlier request.
  bool is_first_on_connection() const { return requests_ == 1; }
  RequestKind kind() const { return kind_; }
  std::uint64_t epoch() const { return epoch_; }
  /// Whether this call repeats one that was overdue or has failed. Reset by start().
  bool is_retry() const { return is_retry_; }
  void mark_as_retry() { is_retry_ = true; }

 private:
  void write();
  void on_response(boost::system::error_code ec);
  void finish(const std::optional<EndpointList>& list);

  Observer* observer_;  // null once cancelled
  runtime::Clock& clock_;
  boost::asio::ip::tcp::endpoint server_;
  boost::asio::ip::tcp::socket socket_;
  std::unique_ptr<runtime::Timer> timer_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::request<boost::beast::http::empty_body> request_;
  std::string output_;  // being written
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
  RequestKind kind_ = RequestKind::full_list;
  std::uint64_t epoch_ = 0;
  bool is_retry_ = false;
  std::uint64_t requests_ = 0;  // on the connection
};

}  // namespace gateway::discovery
