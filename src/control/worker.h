// A thread that runs tasks that block on the store or a peer, so that the control thread never
// blocks on them.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace mangonotch::control {

class Worker {
 public:
  Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;
  ~Worker();  // Waits for the task in progress; drops queued tasks.

  void Post(std::function<void()> task);

 private:
  void Run();

  std::mutex mutex_;
  std::condition_variable wake_;
  // Guarded by mutex_.
  std::deque<std::function<void()>> tasks_;
  bool is_stopping_ = false;
  /// Declared last: the thread uses the other members.
  std::thread thread_;
};

}  // namespace mangonotch::control
