// Implementation of control::Worker.
#include "control/worker.h"

namespace mangonotch::control {

Worker::Worker() : thread_([this] { Run(); }) {}

Worker::~Worker() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void Worker::Post(std::function<void()> task) {
  {
    const std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
  }
  wake_.notify_one();
}

void Worker::Run() {
  std::unique_lock lock(mutex_);
  for (;;) {
    wake_.wait(lock, [&] { return is_stopping_ || !tasks_.empty(); });
    if (is_stopping_) return;
    const auto task = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

}  // namespace mangonotch::control
