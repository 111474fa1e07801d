// Sockets of the client: connect and poll(2) with deadline and cancellation. Nothing here spins:
// each wait lasts until an event, the deadline, or the next check of the cancel predicate.
#include "http/internal/socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <system_error>

#include "http/clock.h"

namespace mangonotch::http::internal {
namespace {

constexpr base::Duration kCancelCheck = base::Duration::Milliseconds(20);
constexpr int kLongestWaitMs = 60'000;

/// Rounded up, so that a wait never ends just before its deadline and is then repeated with 0 ms.
int WaitMs(base::Instant now, base::Instant deadline, bool check_often) {
  base::Duration left = deadline - now;
  if (check_often) {
    left = std::min(left, kCancelCheck);
  }
  const auto ms = (left + base::Duration::Nanoseconds(999'999)).milliseconds();
  return static_cast<int>(std::min<std::int64_t>(ms, kLongestWaitMs));
}

bool IsCancelled(const ExecuteOptions& options, const pollfd& cancel) {
  return (cancel.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0 ||
         (options.cancelled && options.cancelled());
}

socklen_t Fill(const Endpoint& endpoint, sockaddr_storage& storage) {
  auto* v4 = reinterpret_cast<sockaddr_in*>(&storage);
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&storage);
  if (inet_pton(AF_INET, endpoint.address.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(endpoint.port);
    return sizeof *v4;
  }
  if (inet_pton(AF_INET6, endpoint.address.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(endpoint.port);
    return sizeof *v6;
  }
  throw ClientError(Failure::kConnectRefused, false, endpoint.Text(), "not an IP number");
}

[[noreturn]] void ThrowConnect(const Endpoint& endpoint, int err) {
  throw ClientError(Failure::kConnectRefused, false, endpoint.Text(),
                    std::generic_category().message(err));
}

}  // namespace

Socket::~Socket() {
  if (fd_ >= 0) {
    ::close(fd_);
  }
}

WaitResult Wait(int fd, PollEvents events, base::Instant deadline, const ExecuteOptions& options) {
  const bool check_often = static_cast<bool>(options.cancelled);
  while (true) {
    const base::Instant now = Now();
    if (now >= deadline) {
      return WaitResult::kTimeout;
    }
    pollfd fds[2] = {{fd, events, 0}, {options.cancel_socket, POLLRDHUP, 0}};
    poll(fds, 2, WaitMs(now, deadline, check_often));
    if (IsCancelled(options, fds[1])) {
      return WaitResult::kCancelled;
    }
    if (fds[0].revents != 0) {
      return WaitResult::kReady;
    }
  }
}

Socket Connect(const Endpoint& endpoint, base::Instant deadline, const ExecuteOptions& options) {
  sockaddr_storage storage{};
  const socklen_t n = Fill(endpoint, storage);
  Socket socket(::socket(storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket) {
    ThrowConnect(endpoint, errno);
  }
  const int on = 1;
  setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect(socket.fd(), reinterpret_cast<const sockaddr*>(&storage), n) == 0) {
    return socket;
  }
  if (errno != EINPROGRESS) {
    ThrowConnect(endpoint, errno);
  }
  switch (Wait(socket.fd(), POLLOUT, std::min(deadline, options.connect_deadline), options)) {
    case WaitResult::kTimeout:
      throw ClientError(Failure::kConnectTimeout, false, endpoint.Text(), "");
    case WaitResult::kCancelled:
      throw ClientError(Failure::kCancelled, false, endpoint.Text(), "while connecting");
    case WaitResult::kReady:
      break;
  }
  int err = 0;
  socklen_t size = sizeof err;
  getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &err, &size);
  if (err != 0) {
    ThrowConnect(endpoint, err);
  }
  return socket;
}

bool IsIdle(int fd) {
  char byte = 0;
  return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

}  // namespace mangonotch::http::internal
