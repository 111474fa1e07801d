// One connection: connect, request, head, text; every wait ends at the deadline.
#include "wire/table_pull.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <string>

#include "base/error.h"
#include "wire/decode_error.h"
#include "wire/internal/system.h"
#include "wire/internal/table_frame.h"

namespace mangonotch::wire {
namespace {

constexpr const char* kStep = "pull table";
/// The text grows in steps of this size as it arrives, so that a false length allocates little.
constexpr std::size_t kStepBytes = 65'536;

class PullConnection {
 public:
  PullConnection(const SocketAddress& peer, base::Instant deadline)
      : peer_(peer.ToString()),
        deadline_(deadline),
        fd_(internal::OpenSocket(peer, SOCK_STREAM, kStep)) {
    if (connect(fd_.get(), peer.address(), peer.length()) == 0) {
      return;
    }
    if (errno != EINPROGRESS) {
      internal::ThrowSystemError(kStep, peer_);
    }
    WaitFor(POLLOUT);
    int ec = 0;
    socklen_t n = sizeof(ec);
    getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &ec, &n);
    if (ec != 0) {
      errno = ec;
      internal::ThrowSystemError(kStep, peer_);
    }
  }

  void Write(std::span<const std::byte> bytes) const {
    while (!bytes.empty()) {
      const auto n = send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (n < 0) {
        WaitAfterError(POLLOUT);
        continue;
      }
      bytes = bytes.subspan(static_cast<std::size_t>(n));
    }
  }

  void Read(std::span<std::byte> bytes) const {
    while (!bytes.empty()) {
      const auto n = recv(fd_.get(), bytes.data(), bytes.size(), 0);
      if (n < 0) {
        WaitAfterError(POLLIN);
        continue;
      }
      if (n == 0) {
        throw base::Error(kStep, peer_, "the peer closed the connection early");
      }
      bytes = bytes.subspan(static_cast<std::size_t>(n));
    }
  }

 private:
  void WaitFor(decltype(pollfd::events) events) const {
    std::array<pollfd, 1> fds{pollfd{fd_.get(), events, 0}};
    while (internal::PollUntil(fds, deadline_) == 0) {
      if (internal::Now() >= deadline_) {
        throw base::Error(kStep, peer_, "the deadline has passed");
      }
    }
  }

  void WaitAfterError(decltype(pollfd::events) events) const {
    if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
      internal::ThrowSystemError(kStep, peer_);
    }
    WaitFor(events);
  }

  std::string peer_;
  base::Instant deadline_;
  FileDescriptor fd_;
};

}  // namespace

TableText PullTable(const SocketAddress& peer, base::Instant deadline) {
  const PullConnection connection(peer, deadline);
  connection.Write(internal::EncodePullRequest());
  internal::PullHeadFrame frame{};
  connection.Read(frame);
  const auto head = internal::DecodePullHead(frame, peer.ToString());
  TableText table;
  table.revision = head.revision;
  while (table.text.size() < head.length) {
    const std::size_t begin = table.text.size();
    table.text.resize(std::min<std::size_t>(head.length, begin + kStepBytes));
    connection.Read(std::as_writable_bytes(std::span(table.text).subspan(begin)));
  }
  return table;
}

}  // namespace mangonotch::wire
