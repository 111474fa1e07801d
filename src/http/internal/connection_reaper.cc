// Ends connections on which nothing moves.
#include "http/internal/connection_reaper.h"

#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

#include "http/internal/open_files.h"

namespace mangonotch::http::internal {
namespace {

constexpr int kLongestCheckMs = 1000;
constexpr int kChecksInTimeout = 4;

/// A second number for the same connection, so that the checks and the shutdown cannot meet a new
/// file that took the first number meanwhile.
class Duplicate {
 public:
  explicit Duplicate(int fd) : fd_(fcntl(fd, F_DUPFD_CLOEXEC, 0)) {}
  Duplicate(const Duplicate&) = delete;
  Duplicate& operator=(const Duplicate&) = delete;
  ~Duplicate() {
    if (fd_ >= 0) {
      close(fd_);
    }
  }
  int fd() const { return fd_; }

 private:
  int fd_;
};

bool IsAccepted(int fd, std::uint16_t port) {
  sockaddr_in addr{};
  socklen_t n = sizeof addr;
  int listening = 0;
  socklen_t size = sizeof listening;
  return fd >= 0 && getsockname(fd, reinterpret_cast<sockaddr*>(&addr), &n) == 0 &&
         addr.sin_family == AF_INET && ntohs(addr.sin_port) == port &&
         getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) == 0 && listening == 0;
}

std::int64_t IdleMs(int fd) {
  tcp_info info{};
  socklen_t n = sizeof info;
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &n) != 0) {
    return 0;
  }
  return std::min(info.tcpi_last_data_recv, info.tcpi_last_data_sent);
}

bool HasUnsent(int fd) {
  int n = 0;
  return ioctl(fd, SIOCOUTQ, &n) == 0 && n > 0;
}

}  // namespace

ConnectionReaper::ConnectionReaper(std::uint16_t port, const ReaperSettings& settings)
    : port_(port), settings_(settings), thread_([this] { Run(); }) {}

ConnectionReaper::~ConnectionReaper() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopped_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void ConnectionReaper::Mark(int fd, Phase phase) {
  const std::lock_guard<std::mutex> lock(mutex_);
  phases_[fd] = phase;
  changed_.notify_all();
}

void ConnectionReaper::Unmark(int fd, Phase phase) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = phases_.find(fd);
  if (it != phases_.end() && it->second == phase) {
    phases_.erase(it);
    changed_.notify_all();
  }
}

void ConnectionReaper::AwaitAnswers() {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait(lock, [this] {
    return std::all_of(phases_.begin(), phases_.end(),
                       [](const auto& it) { return it.second == Phase::kClosing; });
  });
}

void ConnectionReaper::Run() {
  const int shortest = std::min(settings_.read_timeout_ms, settings_.idle_timeout_ms);
  const std::chrono::milliseconds check(
      std::clamp(shortest / kChecksInTimeout, 1, kLongestCheckMs));
  std::unique_lock<std::mutex> lock(mutex_);
  while (!changed_.wait_for(lock, check, [this] { return stopped_; })) {
    lock.unlock();
    Reap(false);
    lock.lock();
  }
}

void ConnectionReaper::Reap(bool stopping) {
  for (const int fd : OpenFiles()) {
    ReapOne(fd, stopping);
  }
}

void ConnectionReaper::ReapOne(int fd, bool stopping) {
  const Duplicate connection(fd);
  if (!IsAccepted(connection.fd(), port_)) {
    return;
  }
  // Held until the shutdown, so that no handler starts between the check and it.
  const std::lock_guard<std::mutex> lock(mutex_);
  if (MayEnd(fd, connection.fd(), stopping)) {
    shutdown(connection.fd(), SHUT_RDWR);
  }
}

bool ConnectionReaper::MayEnd(int fd, int connection, bool stopping) const {
  const auto it = phases_.find(fd);
  if (stopping) {
    return it == phases_.end() && !HasUnsent(connection);
  }
  if (it != phases_.end() && it->second == Phase::kHandling) {
    return false;
  }
  const bool reading = it != phases_.end() && it->second == Phase::kReading;
  return IdleMs(connection) > (reading ? settings_.read_timeout_ms : settings_.idle_timeout_ms);
}

}  // namespace mangonotch::http::internal
