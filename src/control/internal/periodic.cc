// Implementation of control::Periodic.
#include "control/periodic.h"

#include <chrono>

namespace mangonotch::control {

Periodic::Periodic(base::Duration pause, std::function<void()> task)
    : thread_([this, pause, task = std::move(task)] { Run(pause, task); }) {}

Periodic::~Periodic() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void Periodic::Run(base::Duration pause, const std::function<void()>& task) {
  const std::chrono::nanoseconds wait(pause.nanoseconds());
  std::unique_lock lock(mutex_);
  while (!is_stopping_) {
    lock.unlock();
    task();
    lock.lock();
    wake_.wait_for(lock, wait, [&] { return is_stopping_; });
  }
}

}  // namespace mangonotch::control
