// An owned socket and waiting with a deadline and cancellation.
#pragma once

#include <poll.h>

#include <functional>
#include <utility>

#include "base/instant.h"
#include "http/client.h"

namespace mangonotch::http::internal {

class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket();

  int fd() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

using PollEvents = decltype(pollfd::events);

enum class WaitResult { kReady, kTimeout, kCancelled };

/// Waits until `fd` has one of `events` (or failed), the deadline passed or the call was cancelled.
WaitResult Wait(int fd, PollEvents events, base::Instant deadline, const ExecuteOptions& options);

/// A non-blocking socket connected to `endpoint`. Throws ClientError.
Socket Connect(const Endpoint& endpoint, base::Instant deadline, const ExecuteOptions& options);

/// True when a kept connection can be used: open, with no byte of an unasked answer waiting.
bool IsIdle(int fd);

}  // namespace mangonotch::http::internal
