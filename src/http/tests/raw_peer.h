// Plain sockets for tests: a caller that writes any bytes, and a target that answers with any
// bytes.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace mangonotch::http {

inline sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in addr{};
  addr.sin_family = AF_INET;
  addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  addr.sin_port = htons(port);
  return addr;
}

/// A connection that ends with the object. Reads give up after 5 s.
class RawConnection {
 public:
  explicit RawConnection(int fd) : fd_(fd) {}
  static RawConnection To(std::uint16_t port) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in addr = Loopback(port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&addr), sizeof addr) != 0) {
      close(fd);
      return RawConnection(-1);
    }
    return RawConnection(fd);
  }
  RawConnection(RawConnection&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;
  ~RawConnection() { Close(); }

  bool connected() const { return fd_ >= 0; }
  void Write(std::string_view bytes) const {
    while (!bytes.empty()) {
      const ssize_t n = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (n <= 0) {
        return;
      }
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
  }
  /// Reads until `text` was seen or the connection ended.
  std::string ReadUntil(std::string_view text) const {
    std::string seen;
    char byte = 0;
    while (text.empty() || seen.find(text) == std::string::npos) {
      pollfd fd{fd_, POLLIN, 0};
      if (poll(&fd, 1, 5000) <= 0 || recv(fd_, &byte, 1, 0) <= 0) {
        break;
      }
      seen += byte;
    }
    return seen;
  }
  std::string ReadToEnd() const { return ReadUntil(""); }
  /// Reads `n` bytes, fewer when the connection ended; returns how many.
  std::size_t Skip(std::size_t n) const {
    std::string buf(64 << 10, '\0');
    std::size_t seen = 0;
    while (seen < n) {
      pollfd fd{fd_, POLLIN, 0};
      const ssize_t got = poll(&fd, 1, 5000) > 0 ? recv(fd_, buf.data(), buf.size(), 0) : 0;
      if (got <= 0) {
        break;
      }
      seen += static_cast<std::size_t>(got);
    }
    return seen;
  }
  /// True when the peer ended the connection within 5 s.
  bool Ended() const {
    pollfd fd{fd_, POLLRDHUP, 0};
    return poll(&fd, 1, 5000) > 0;
  }
  void Close() {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }
  /// Closes the connection with a TCP reset.
  void Reset() {
    const linger discard{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
    Close();
  }

 private:
  int fd_;
};

/// Accepts connections one after the other and hands each to `serve` together with its number, from
/// 0.
class RawTarget {
 public:
  using Serve = std::function<void(RawConnection&, int)>;

  explicit RawTarget(Serve serve) : fd_(socket(AF_INET, SOCK_STREAM, 0)), serve_(std::move(serve)) {
    sockaddr_in addr = Loopback(0);
    socklen_t n = sizeof addr;
    if (bind(fd_, reinterpret_cast<sockaddr*>(&addr), sizeof addr) != 0 || listen(fd_, 16) != 0 ||
        getsockname(fd_, reinterpret_cast<sockaddr*>(&addr), &n) != 0) {
      throw std::runtime_error("no free port");
    }
    port_ = ntohs(addr.sin_port);
    thread_ = std::thread([this] { Run(); });
  }
  RawTarget(const RawTarget&) = delete;
  RawTarget& operator=(const RawTarget&) = delete;
  ~RawTarget() {
    shutdown(fd_, SHUT_RDWR);
    thread_.join();
    close(fd_);
  }

  std::uint16_t port() const { return port_; }
  int connections() const { return connections_; }

 private:
  void Run() {
    while (true) {
      const int fd = accept(fd_, nullptr, nullptr);
      if (fd < 0) {
        return;
      }
      RawConnection connection(fd);
      serve_(connection, connections_++);
    }
  }

  int fd_;
  Serve serve_;
  std::uint16_t port_ = 0;
  std::atomic<int> connections_ = 0;
  std::thread thread_;
};

}  // namespace mangonotch::http
