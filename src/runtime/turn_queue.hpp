/// @file
/// Long pieces of work, spread over the turns of an event loop.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <utility>

namespace gateway::runtime {

/// Runs one task in each turn of the event loop, in the order in which they were added. Everything
/// that becomes ready meanwhile is handled between two of them, so their number delays nothing
/// else. Used on the event loop's thread only; tasks that are left are dropped with the queue.
class TurnQueue {
 public:
  explicit TurnQueue(boost::asio::any_io_executor executor) : executor_(std::move(executor)) {}
  TurnQueue(const TurnQueue&) = delete;
  TurnQueue& operator=(const TurnQueue&) = delete;

  void add(std::function<void()> task) {
    tasks_->push_back(std::move(task));
    if (tasks_->size() == 1) {
      post_next();
    }
  }

 private:
  using Tasks = std::deque<std::function<void()>>;

  void post_next() {
    boost::asio::post(executor_, [this, alive = std::weak_ptr<Tasks>(tasks_)] {
      const auto tasks = alive.lock();
      if (!tasks) {
        return;
      }
      const std::function<void()> task = std::move(tasks->front());
      task();
      tasks->pop_front();                              // after the task, which may add others
      if (!tasks->empty() && tasks.use_count() > 1) {  // else the queue was destroyed
        post_next();
      }
    });
  }

  boost::asio::any_io_executor executor_;
  std::shared_ptr<Tasks> tasks_ = std::make_shared<Tasks>();
};

}  // namespace gateway::runtime
