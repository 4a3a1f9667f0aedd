// A discovery service on loopback for soak runs: whole lists, watches and faults of its own.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_set>
#include <vector>

namespace gateway::lab {

class DiscoveryConnection;

// Used on its event loop's thread only, which must outlive it.
class DiscoveryServer {
 public:
  explicit DiscoveryServer(boost::asio::io_context& io);
  // NOLINTNEXTLINE(bugprone-exception-escape): throws only when out of memory
  ~DiscoveryServer();
  DiscoveryServer(const DiscoveryServer&) = delete;
  DiscoveryServer& operator=(const DiscoveryServer&) = delete;

  boost::asio::ip::tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  // Adds or changes an entry and responds to the open watches. One in state DELETED is told as a
  // change and left out of whole lists.
  void set_host(const std::string& uid, const nlohmann::json& entry);
  nlohmann::json list() const;
  // Writes an earlier version of the list, which nobody asked for, on all open connections.
  void write_stray_list();
  // Resets all open connections, and with them the watches.
  void reset_connections();
  std::int64_t version() const { return version_; }

 private:
  friend class DiscoveryConnection;
  void accept();
  nlohmann::json changes_since(std::int64_t version) const;

  struct Entry {
    nlohmann::json json;
    std::int64_t version = 0;
  };
  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::pair<std::string, Entry>> entries_;
  nlohmann::json first_list_;
  std::unordered_set<std::shared_ptr<DiscoveryConnection>> connections_;
  std::int64_t version_ = 1;
};

}  // namespace gateway::lab
