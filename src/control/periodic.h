// A thread that runs a task repeatedly, with a pause between runs.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "base/duration.h"

namespace mangonotch::control {

class Periodic {
 public:
  Periodic(base::Duration pause, std::function<void()> task);
  Periodic(const Periodic&) = delete;
  Periodic& operator=(const Periodic&) = delete;
  ~Periodic();  // Waits for the run in progress.

 private:
  void Run(base::Duration pause, const std::function<void()>& task);

  std::mutex mutex_;
  std::condition_variable wake_;
  bool is_stopping_ = false;  // Guarded by mutex_.
  /// Declared last: the thread uses the other members.
  std::thread thread_;
};

}  // namespace mangonotch::control
