// Thin wrappers that turn errno into base::Error.
#include "wire/internal/system.h"

#include <algorithm>
#include <cerrno>
#include <ctime>
#include <system_error>

#include "base/error.h"

namespace mangonotch::wire::internal {

void ThrowSystemError(const std::string& step, const std::string& peer) {
  const int ec = errno;
  throw base::Error(step, peer, std::generic_category().message(ec));
}

base::Instant Now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return base::Instant::FromNanoseconds(now.tv_sec * 1'000'000'000LL + now.tv_nsec);
}

int PollUntil(std::span<pollfd> fds, base::Instant deadline) {
  timespec timeout{};
  const bool bounded = deadline != base::Instant::Never();
  if (bounded) {
    const auto n = std::max<std::int64_t>((deadline - Now()).nanoseconds(), 0);
    timeout.tv_sec = n / 1'000'000'000;
    timeout.tv_nsec = n % 1'000'000'000;
  }
  const int ready = ppoll(fds.data(), fds.size(), bounded ? &timeout : nullptr, nullptr);
  if (ready < 0 && errno != EINTR) {
    ThrowSystemError("wait for sockets", "");
  }
  return std::max(ready, 0);
}

FileDescriptor OpenSocket(const SocketAddress& address, int type, const std::string& step) {
  FileDescriptor fd(socket(address.family(), type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (fd.get() < 0) {
    ThrowSystemError(step, address.ToString());
  }
  return fd;
}

void Bind(const FileDescriptor& fd, const SocketAddress& address, const std::string& step) {
  if (bind(fd.get(), address.address(), address.length()) != 0) {
    ThrowSystemError(step, address.ToString());
  }
}

SocketAddress LocalAddress(const FileDescriptor& fd) {
  sockaddr_storage address{};
  socklen_t n = sizeof(address);
  if (getsockname(fd.get(), reinterpret_cast<sockaddr*>(&address), &n) != 0) {
    ThrowSystemError("read own address", "");
  }
  return {address, n};
}

}  // namespace mangonotch::wire::internal
