// A library for LD_PRELOAD that makes the system calls of sockets fail as Linux documents. The
// variable SYSCALL_FAULTS lists the faults with their share of the calls: "short_write=0.05,...".
// Faults: short_write, short_read, interrupt (of reads and writes), accept, connect, socket,
// interrupt_wait (of epoll_wait).
#include <dlfcn.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <random>
#include <string>

namespace {

template <class Function>
Function next(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

double share_of(const char* fault) {
  const char* list = std::getenv("SYSCALL_FAULTS");
  const std::string key = std::string(fault) + "=";
  const char* at = list ? std::strstr(list, key.c_str()) : nullptr;
  const bool is_name = at && (at == list || at[-1] == ',');
  return is_name ? std::atof(at + key.size()) : 0;
}

bool draw(double share) {
  static std::mt19937_64 random(static_cast<std::uint64_t>(share_of("seed")) + 1);
  return share > 0 && std::uniform_real_distribution<double>(0, 1)(random) < share;
}

bool is_tcp(int fd) {
  int type = 0;
  socklen_t size = sizeof type;
  return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) == 0 && type == SOCK_STREAM;
}

template <class Result>
Result fail(int error) {
  errno = error;
  return static_cast<Result>(-1);
}

bool interrupts() {
  static const double kShare = share_of("interrupt");
  return draw(kShare);
}

bool shortens_write(std::size_t bytes) {
  static const double kShare = share_of("short_write");
  return bytes > 1 && draw(kShare);
}

bool shortens_read(std::size_t bytes) {
  static const double kShare = share_of("short_read");
  return bytes > 1 && draw(kShare);
}

}  // namespace

extern "C" {

ssize_t send(int fd, const void* data, size_t size, int flags) {
  static const auto kReal = next<ssize_t (*)(int, const void*, size_t, int)>("send");
  if (is_tcp(fd)) {
    if (interrupts()) {
      return fail<ssize_t>(EINTR);
    }
    if (shortens_write(size)) {
      return kReal(fd, data, size / 2, flags);
    }
  }
  return kReal(fd, data, size, flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  static const auto kReal = next<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  if (!is_tcp(fd) || message->msg_iovlen == 0) {
    return kReal(fd, message, flags);
  }
  if (interrupts()) {
    return fail<ssize_t>(EINTR);
  }
  if (!shortens_write(message->msg_iov[0].iov_len)) {
    return kReal(fd, message, flags);
  }
  iovec first = message->msg_iov[0];
  first.iov_len /= 2;
  msghdr cut = *message;
  cut.msg_iov = &first;
  cut.msg_iovlen = 1;
  return kReal(fd, &cut, flags);
}

ssize_t recv(int fd, void* data, size_t size, int flags) {
  static const auto kReal = next<ssize_t (*)(int, void*, size_t, int)>("recv");
  if (is_tcp(fd)) {
    if (interrupts()) {
      return fail<ssize_t>(EINTR);
    }
    if (shortens_read(size)) {
      return kReal(fd, data, std::min<size_t>(size, 7), flags);
    }
  }
  return kReal(fd, data, size, flags);
}

ssize_t recvmsg(int fd, msghdr* message, int flags) {
  static const auto kReal = next<ssize_t (*)(int, msghdr*, int)>("recvmsg");
  if (!is_tcp(fd) || message->msg_iovlen == 0) {
    return kReal(fd, message, flags);
  }
  if (interrupts()) {
    return fail<ssize_t>(EINTR);
  }
  if (!shortens_read(message->msg_iov[0].iov_len)) {
    return kReal(fd, message, flags);
  }
  iovec first = message->msg_iov[0];
  first.iov_len = std::min<size_t>(first.iov_len, 7);
  msghdr cut = *message;
  cut.msg_iov = &first;
  cut.msg_iovlen = 1;
  return kReal(fd, &cut, flags);
}

int accept(int fd, sockaddr* address, socklen_t* size) {
  static const auto kReal = next<int (*)(int, sockaddr*, socklen_t*)>("accept");
  static const double kShare = share_of("accept");
  static constexpr int kErrors[] = {ECONNABORTED, ENFILE, ENOBUFS, EINTR};
  static std::size_t count = 0;
  return draw(kShare) ? fail<int>(kErrors[count++ % 4]) : kReal(fd, address, size);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
  static const auto kReal = next<int (*)(int, const sockaddr*, socklen_t)>("connect");
  static const double kShare = share_of("connect");
  static constexpr int kErrors[] = {EADDRNOTAVAIL, ENETUNREACH};
  static std::size_t count = 0;
  return is_tcp(fd) && draw(kShare) ? fail<int>(kErrors[count++ % 2]) : kReal(fd, address, size);
}

int socket(int domain, int type, int protocol) {
  static const auto kReal = next<int (*)(int, int, int)>("socket");
  static const double kShare = share_of("socket");
  static constexpr int kErrors[] = {ENFILE, ENOBUFS};
  static std::size_t count = 0;
  return draw(kShare) ? fail<int>(kErrors[count++ % 2]) : kReal(domain, type, protocol);
}

int epoll_wait(int fd, epoll_event* events, int max_events, int timeout) {
  static const auto kReal = next<int (*)(int, epoll_event*, int, int)>("epoll_wait");
  static const double kShare = share_of("interrupt_wait");
  return draw(kShare) ? fail<int>(EINTR) : kReal(fd, events, max_events, timeout);
}

}  // extern "C"
