/// @file
/// When bytes arrived at a socket, by the kernel's record: a busy event loop reads them later.
#pragma once

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <cerrno>
#include <chrono>
#include <cstddef>
#include <cstring>
#include <ctime>

namespace gateway::runtime {

/// Asks the kernel to record when bytes arrive at a socket. A listening socket passes this on to
/// the sockets that it accepts, also for what arrives before they are accepted. A system that can't
/// do so records nothing.
inline void record_arrival_times(int descriptor) {
  const int enabled = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_TIMESTAMPNS, &enabled, sizeof enabled);
}

struct ReceivedBytes {
  std::size_t size = 0;
  /// Time since the last of these bytes arrived; zero if the kernel has no record.
  std::chrono::nanoseconds age{};
};

namespace internal {

// The record is a time of the wall clock, which may have been stepped since.
inline std::chrono::nanoseconds age_of(const msghdr& message) {
  const cmsghdr* const header = CMSG_FIRSTHDR(&message);
  if (header == nullptr || header->cmsg_level != SOL_SOCKET ||
      header->cmsg_type != SCM_TIMESTAMPNS || header->cmsg_len < CMSG_LEN(sizeof(timespec))) {
    return {};
  }
  timespec arrived{};
  std::memcpy(&arrived, CMSG_DATA(header), sizeof arrived);
  const auto since_epoch =
      std::chrono::seconds(arrived.tv_sec) + std::chrono::nanoseconds(arrived.tv_nsec);
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::max(std::chrono::nanoseconds(now - since_epoch), std::chrono::nanoseconds::zero());
}

}  // namespace internal

/// Like read_some() of a non-blocking socket, with the age of the bytes. `flags` as of recvmsg().
inline ReceivedBytes receive_with_age(boost::asio::ip::tcp::socket& socket,
                                      boost::asio::mutable_buffer buffer, int flags,
                                      boost::system::error_code& ec) {
  iovec piece{buffer.data(), buffer.size()};
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(timespec))> control{};
  msghdr message{};
  message.msg_iov = &piece;
  message.msg_iovlen = 1;
  message.msg_control = control.data();
  message.msg_controllen = control.size();
  const ssize_t received = ::recvmsg(socket.native_handle(), &message, flags | MSG_DONTWAIT);
  if (received < 0) {
    ec.assign(errno, boost::asio::error::get_system_category());
    return {};
  }
  ec = {};
  if (received == 0 && buffer.size() > 0) {
    ec = boost::asio::error::eof;
    return {};
  }
  return {static_cast<std::size_t>(received), internal::age_of(message)};
}

/// Age of the first unread byte; zero if nothing is unread or the kernel has no record.
inline std::chrono::nanoseconds unread_age(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  boost::system::error_code ignored;
  return receive_with_age(socket, boost::asio::buffer(&byte, 1), MSG_PEEK, ignored).age;
}

}  // namespace gateway::runtime
