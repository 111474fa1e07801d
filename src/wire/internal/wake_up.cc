// An eventfd carries the signal.
#include "wire/wake_up.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>

#include "wire/internal/system.h"

namespace mangonotch::wire {

FileDescriptor::~FileDescriptor() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

WakeUp::WakeUp() : fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (fd_.get() < 0) {
    internal::ThrowSystemError("open wake-up descriptor", "");
  }
}

void WakeUp::Signal() const {
  const std::uint64_t one = 1;
  // It fails only when the counter is full, and then a signal is pending.
  [[maybe_unused]] const auto n = write(fd_.get(), &one, sizeof(one));
}

void WakeUp::Clear() const {
  std::uint64_t count = 0;
  // It fails only when no signal is pending.
  [[maybe_unused]] const auto n = read(fd_.get(), &count, sizeof(count));
}

}  // namespace mangonotch::wire
