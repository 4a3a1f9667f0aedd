#include "lab/soak/faulty_host.hpp"

#include <algorithm>
#include <utility>

#include "lab/soak/host_connection.hpp"
#include "runtime/arrival_time.hpp"

namespace gateway::lab {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int kSlowReaderBuffer = 16 << 10;

}  // namespace

FaultyHost::FaultyHost(boost::asio::io_context& io, HostPlan plan, RequestLedger& ledger,
                       std::uint64_t seed)
    : io_(io),
      plan_(std::move(plan)),
      ledger_(ledger),
      random_(seed),
      endpoint_(boost::asio::ip::address_v4::loopback(), 0) {
  restart();
}

FaultyHost::~FaultyHost() {
  crash();
}

void FaultyHost::restart() {
  acceptor_.emplace(io_, endpoint_);
  if (reads_in_pieces()) {
    // Else the system would take several hundred kilobytes in place of a host that does not read.
    acceptor_->set_option(boost::asio::socket_base::receive_buffer_size(kSlowReaderBuffer));
  }
  runtime::record_arrival_times(acceptor_->native_handle());
  endpoint_ = acceptor_->local_endpoint();
  accept();
}

void FaultyHost::crash() {
  acceptor_.reset();
  for (const auto& connection : std::exchange(connections_, {})) {
    connection->close(true);
  }
}

// Takes all connections that wait: with one in each turn of a busy event loop, those behind it
// would be read much later than their requests arrive.
void FaultyHost::accept() {
  acceptor_->async_wait(tcp::acceptor::wait_read, [this](error_code wait_error) {
    if (wait_error) {
      return;
    }
    acceptor_->non_blocking(true);
    for (;;) {
      error_code ec;
      tcp::socket socket(io_);
      acceptor_->accept(socket, ec);
      if (ec) {
        break;
      }
      add_connection(std::move(socket));
    }
    accept();
  });
}

void FaultyHost::add_connection(tcp::socket socket) {
  ++accepted_;
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const auto connection = std::make_shared<HostConnection>(*this, std::move(socket));
  connections_.insert(connection);
  max_open_ = std::max(max_open_, connections_.size());
  connection->start();
}

void FaultyHost::on_closed(HostConnection* connection) {
  connections_.erase(connection->shared_from_this());
}

std::size_t FaultyHost::draw_between(std::size_t low, std::size_t high) {
  return low + static_cast<std::size_t>(unit_(random_) * static_cast<double>(high - low + 1));
}

std::chrono::milliseconds FaultyHost::draw_between(std::chrono::milliseconds low,
                                                   std::chrono::milliseconds high) {
  const auto range = static_cast<double>((high - low).count());
  return low + std::chrono::milliseconds(static_cast<std::int64_t>(unit_(random_) * (range + 1)));
}

}  // namespace gateway::lab
