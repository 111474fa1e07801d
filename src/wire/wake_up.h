// Wakes a thread that sleeps in poll.
#pragma once

#include "wire/file_descriptor.h"

namespace mangonotch::wire {

class WakeUp {
 public:
  /// Throws base::Error when the process has no descriptor left.
  WakeUp();

  /// May be called from any thread; several signals before a Clear count as one.
  void Signal() const;
  /// Called by the woken thread before it looks for its work.
  void Clear() const;
  /// Readable while a signal is pending.
  int fd() const { return fd_.get(); }

 private:
  FileDescriptor fd_;
};

}  // namespace mangonotch::wire
