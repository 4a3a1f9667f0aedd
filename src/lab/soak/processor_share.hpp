// Holds processes to a share of a core: stops and continues them in short slices.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace gateway::lab {

struct ProcessorPlan {
  std::chrono::milliseconds running{0};  // of each slice; 0: the processes are never stopped
  std::chrono::milliseconds stopped{0};
};

// Signals from a thread of its own, so that the run's event loop does not lengthen the slices.
class ProcessorShare {
 public:
  explicit ProcessorShare(ProcessorPlan plan);
  ~ProcessorShare();  // continues the processes
  ProcessorShare(const ProcessorShare&) = delete;
  ProcessorShare& operator=(const ProcessorShare&) = delete;

  // A child process that was not waited for yet; its id may be reused later.
  void add(pid_t process);

 private:
  void run();
  void signal_all(int signal);
  bool wait(std::unique_lock<std::mutex>& lock, std::chrono::milliseconds time);

  ProcessorPlan plan_;
  std::mutex mutex_;
  std::condition_variable ended_changed_;
  bool ended_ = false;
  std::vector<int> descriptors_;  // of the processes
  std::thread thread_;
};

}  // namespace gateway::lab
