// Raw sockets on the loopback address for tests of HTTP servers and clients.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>
#include <utility>

#include "base/endpoint.h"
#include "base/instant.h"
#include "http1/clock.h"

namespace mangonotch::http1 {

/// 127.0.0.1 with port 0, which binds to a free port.
inline constexpr base::Endpoint kLoopback{.address = *base::ParseIpAddress("127.0.0.1"), .port = 0};

inline base::Endpoint LoopbackAt(std::uint16_t port) {
  return {.address = kLoopback.address, .port = port};
}

/// Runs `context` until `condition` holds; false when it does not hold within 2 seconds.
inline bool RunContext(boost::asio::io_context& context, const std::function<bool()>& condition) {
  const base::Instant end = Now() + base::Duration::Seconds(2);
  while (Now() < end) {
    context.restart();
    context.run_for(std::chrono::milliseconds(5));
    if (condition()) return true;
  }
  return false;
}

/// Runs `context` for 60 ms, so that data in transit arrives.
inline void RunBriefly(boost::asio::io_context& context) {
  context.restart();
  context.run_for(std::chrono::milliseconds(60));
}

/// One end of a TCP connection with non-blocking reads.
class LoopbackSocket {
 public:
  explicit LoopbackSocket(std::uint16_t port)
      : LoopbackSocket({boost::asio::ip::address_v4::loopback(), port}) {}
  explicit LoopbackSocket(const boost::asio::ip::tcp::endpoint& server) : socket_(context_) {
    socket_.connect(server);
    socket_.non_blocking(true);
  }
  explicit LoopbackSocket(boost::asio::ip::tcp::acceptor& acceptor) : socket_(context_) {
    acceptor.accept(socket_);
    socket_.non_blocking(true);
  }

  void Send(const std::string& bytes) {
    const std::size_t n = socket_.write_some(boost::asio::buffer(bytes));
    if (n != bytes.size()) throw std::runtime_error("the socket's buffer is full");
  }
  /// Sends as much of `bytes` as the socket takes; returns how much. 0 when the peer has closed.
  std::size_t SendSome(const std::string& bytes) {
    boost::system::error_code ec;
    const std::size_t n = socket_.write_some(boost::asio::buffer(bytes), ec);
    has_failed_ = has_failed_ || (ec && ec != boost::asio::error::would_block);
    return n;
  }
  /// True when SendSome() has met a closed or reset connection.
  bool HasFailed() const { return has_failed_; }
  /// Sets the size of the kernel's receive buffer, so that little data is accepted unread.
  void SetReceiveBuffer(int bytes) {
    socket_.set_option(boost::asio::socket_base::receive_buffer_size(bytes));
  }
  void Close() { socket_.close(); }
  /// Sends no more, but stays open for what the peer sends.
  void ShutDownSending() { socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send); }
  /// Closes the connection with a TCP reset.
  void Reset() {
    socket_.set_option(boost::asio::socket_base::linger(true, 0));
    socket_.close();
  }

  /// All bytes received so far.
  const std::string& Received() {
    char buf[4096];
    boost::system::error_code ec;
    while (!is_closed_) {
      const std::size_t n = socket_.read_some(boost::asio::buffer(buf), ec);
      if (ec == boost::asio::error::would_block) break;
      if (ec) {
        is_closed_ = true;
        break;
      }
      received_.append(buf, n);
    }
    return received_;
  }
  /// True when the peer has closed or reset the connection.
  bool IsClosed() {
    Received();
    return is_closed_;
  }

 private:
  boost::asio::io_context context_;
  boost::asio::ip::tcp::socket socket_;
  std::string received_;
  bool is_closed_ = false;
  bool has_failed_ = false;
};

}  // namespace mangonotch::http1
