// One thread serves a bounded number of connections that never block it: a slow peer delays nobody
// and is dropped at its deadline.
#include "wire/table_server.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>
#include <vector>

#include "base/error.h"
#include "wire/internal/system.h"
#include "wire/internal/table_frame.h"
#include "wire/limits.h"

namespace mangonotch::wire {
namespace {

/// More than half of the 60 hosts of the largest region; the rest wait in the listener's queue.
constexpr std::size_t kMaxConnections = 32;
/// A table is in force everywhere within 4 s, so a slower pull is of no use.
constexpr base::Duration kPullTimeout = base::Duration::Seconds(4);
/// Pause after a failed accept: without descriptors the listener stays ready, and polling it at
/// once would spin.
constexpr base::Duration kAcceptPause = base::Duration::Milliseconds(100);

}  // namespace

/// One peer's pull. All calls return at once.
class TableServer::Connection {
 public:
  Connection(FileDescriptor fd, base::Instant deadline) : fd_(std::move(fd)), deadline_(deadline) {}

  base::Instant deadline() const { return deadline_; }
  pollfd Poll() const {
    pollfd fd{fd_.get(), POLLIN, 0};
    if (table_) {
      fd.events = POLLOUT;
    }
    return fd;
  }

  /// Reads the request; then `current` gives the table to send. False when the connection is over.
  template <class Current>
  bool Continue(const Current& current) {
    if (!table_) {
      if (!ReadSome()) {
        return false;
      }
      if (received_ < request_.size()) {
        return true;
      }
      if (!internal::IsPullRequest(request_)) {
        return false;
      }
      table_ = current();
      head_ = internal::EncodePullHead(
          {table_->revision, static_cast<std::uint32_t>(table_->text.size())});
    }
    return WriteSome();
  }

 private:
  static bool MayTryAgain() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }

  bool ReadSome() {
    const auto free = std::span(request_).subspan(received_);
    const auto n = recv(fd_.get(), free.data(), free.size(), 0);
    if (n < 0) {
      return MayTryAgain();
    }
    received_ += static_cast<std::size_t>(n);
    return n > 0;
  }

  bool WriteSome() {
    while (sent_ < head_.size() + table_->text.size()) {
      const auto rest = sent_ < head_.size()
                            ? std::span<const std::byte>(head_).subspan(sent_)
                            : std::as_bytes(std::span(table_->text)).subspan(sent_ - head_.size());
      const auto n = send(fd_.get(), rest.data(), rest.size(), MSG_NOSIGNAL);
      if (n < 0) {
        return MayTryAgain();
      }
      sent_ += static_cast<std::size_t>(n);
    }
    return false;
  }

  FileDescriptor fd_;
  base::Instant deadline_;
  internal::PullRequest request_{};
  std::size_t received_ = 0;
  internal::PullHeadFrame head_{};
  /// Set once the request is there; one revision for the whole answer.
  std::shared_ptr<const TableText> table_;
  std::size_t sent_ = 0;
};

TableServer::TableServer(const SocketAddress& address)
    : listener_(internal::OpenSocket(address, SOCK_STREAM, "open table listener")),
      table_(std::make_shared<const TableText>()) {
  const int on = 1;
  // A restart must not wait for connections of its predecessor that are in TIME_WAIT.
  setsockopt(listener_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  internal::Bind(listener_, address, "bind table listener");
  if (listen(listener_.get(), SOMAXCONN) != 0) {
    internal::ThrowSystemError("open table listener", address.ToString());
  }
  local_ = internal::LocalAddress(listener_);
  thread_ = std::thread([this] { Serve(); });
}

TableServer::~TableServer() {
  stop_.Signal();
  thread_.join();
}

void TableServer::Publish(std::shared_ptr<const TableText> table) {
  if (table->text.size() > kMaxTableBytes) {
    throw base::Error("publish table", "", "the text is over the bound of a pull");
  }
  const std::lock_guard lock(mutex_);
  table_ = std::move(table);
}

std::shared_ptr<const TableText> TableServer::Current() {
  const std::lock_guard lock(mutex_);
  return table_;
}

base::Instant TableServer::AcceptAll(std::vector<Connection>& connections) {
  const auto now = internal::Now();
  while (connections.size() < kMaxConnections) {
    FileDescriptor fd(accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (fd.get() < 0) {
      const bool none_waits = errno == EAGAIN || errno == EWOULDBLOCK;
      return none_waits ? now : now + kAcceptPause;
    }
    connections.emplace_back(std::move(fd), now + kPullTimeout);
  }
  return now;
}

void TableServer::ContinueReady(std::vector<Connection>& connections, std::span<const pollfd> fds) {
  const auto now = internal::Now();
  const auto current = [this] { return Current(); };
  std::vector<Connection> open;
  for (std::size_t i = 0; i < connections.size(); ++i) {
    auto& connection = connections[i];
    const bool ready = fds[i].revents != 0;
    if (now < connection.deadline() && (!ready || connection.Continue(current))) {
      open.push_back(std::move(connection));
    }
  }
  connections = std::move(open);
}

void TableServer::Serve() {
  std::vector<Connection> connections;
  std::vector<pollfd> fds;
  auto accept_from = internal::Now();
  while (true) {
    auto deadline = base::Instant::Never();
    fds.clear();
    for (const auto& connection : connections) {
      fds.push_back(connection.Poll());
      deadline = std::min(deadline, connection.deadline());
    }
    fds.push_back({stop_.fd(), POLLIN, 0});
    const bool accepts = internal::Now() >= accept_from;
    if (accepts && connections.size() < kMaxConnections) {
      fds.push_back({listener_.get(), POLLIN, 0});
    }
    internal::PollUntil(fds, accepts ? deadline : std::min(deadline, accept_from));
    if (fds[connections.size()].revents != 0) {
      return;
    }
    ContinueReady(connections, fds);
    if (accepts) {
      accept_from = AcceptAll(connections);
    }
  }
}

}  // namespace mangonotch::wire
