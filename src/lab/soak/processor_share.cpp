#include "lab/soak/processor_share.hpp"

#include <sys/syscall.h>
#include <unistd.h>

#include <csignal>

namespace gateway::lab {

ProcessorShare::ProcessorShare(ProcessorPlan plan) : plan_(plan) {
  if (plan_.stopped.count() > 0) {
    thread_ = std::thread([this] { run(); });
  }
}

ProcessorShare::~ProcessorShare() {
  {
    const std::lock_guard lock(mutex_);
    ended_ = true;
  }
  ended_changed_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
  signal_all(SIGCONT);
  for (const int descriptor : descriptors_) {
    ::close(descriptor);
  }
}

void ProcessorShare::add(pid_t process) {
  const auto descriptor = static_cast<int>(::syscall(SYS_pidfd_open, process, 0));
  if (descriptor < 0) {
    return;
  }
  const std::lock_guard lock(mutex_);
  descriptors_.push_back(descriptor);
}

// Returns false once the object is destroyed.
bool ProcessorShare::wait(std::unique_lock<std::mutex>& lock, std::chrono::milliseconds time) {
  return !ended_changed_.wait_for(lock, time, [this] { return ended_; });
}

void ProcessorShare::run() {
  std::unique_lock lock(mutex_);
  for (;;) {
    signal_all(SIGCONT);
    if (!wait(lock, plan_.running)) {
      return;
    }
    signal_all(SIGSTOP);
    if (!wait(lock, plan_.stopped)) {
      return;
    }
  }
}

void ProcessorShare::signal_all(int signal) {
  for (const int descriptor : descriptors_) {
    ::syscall(SYS_pidfd_send_signal, descriptor, signal, nullptr, 0);
  }
}

}  // namespace gateway::lab
