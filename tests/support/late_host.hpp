// A host on loopback to which connections are established late.
#pragma once

#include <memory>
#include <vector>

#include "support/network_peers.hpp"

namespace gateway::testing {

// A host that accepts no connection before accept_connections(): its listening socket's queue is
// full. Responds to each request with status 200 and the body "late".
class LateHost {
 public:
  explicit LateHost(asio::io_context& io) : acceptor_(io, loopback()) {
    acceptor_.listen(0);
    for (int i = 0; i < 4; ++i) {
      queue_.push_back(std::make_unique<tcp::socket>(io));
      queue_.back()->async_connect(acceptor_.local_endpoint(), [](error_code) {});
    }
    io.poll();
  }
  ~LateHost() {
    for (auto& c : connections_) {
      c->close();
    }
  }
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  // Empties the queue, so that a connect succeeds once the system repeats its SYN, after about 1 s.
  void accept_connections() {
    for (auto& socket : queue_) {
      socket->close();
    }
    accept();
  }
  std::vector<Request> requests;

 private:
  void accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) {
        return;
      }
      connections_.push_back(
          std::make_shared<PeerConnection>(std::move(socket), [this](PeerConnection& c) {
            requests.push_back(c.request);
            c.reply(response_text(200, "", "late"));
          }));
      connections_.back()->read();
      accept();
    });
  }
  tcp::acceptor acceptor_;
  std::vector<std::unique_ptr<tcp::socket>> queue_;
  std::vector<std::shared_ptr<PeerConnection>> connections_;
};

}  // namespace gateway::testing
