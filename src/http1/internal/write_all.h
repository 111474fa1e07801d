// Functions that write a complete string to a socket.
#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <utility>

namespace mangonotch::http1 {

/// The most that Asio passes to the socket at once.
inline constexpr std::size_t kMaxWriteBytes = 65536;

/// Asynchronous; `bytes` must stay valid until `done` is called.
template <typename Done>
void WriteAll(boost::asio::ip::tcp::socket& socket, const std::string& bytes, Done done) {
// A default argument in Asio is a literal 0 for a pointer.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wzero-as-null-pointer-constant"
  boost::asio::async_write(socket, boost::asio::buffer(bytes), std::move(done));
#pragma GCC diagnostic pop
}

/// Like WriteAll for two strings, which saves joining them. Calls `on_progress` whenever the socket
/// has taken bytes.
template <typename OnProgress, typename Done>
void WriteBoth(boost::asio::ip::tcp::socket& socket, const std::string& first,
               const std::string& second, OnProgress on_progress, Done done) {
  const std::array<boost::asio::const_buffer, 2> buffers = {boost::asio::buffer(first),
                                                            boost::asio::buffer(second)};
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wzero-as-null-pointer-constant"
  boost::asio::async_write(
      socket, buffers,
      [on_progress](const boost::system::error_code& ec, std::size_t) {
        on_progress();
        return ec ? std::size_t{0} : kMaxWriteBytes;
      },
      std::move(done));
#pragma GCC diagnostic pop
}

/// Blocks until all bytes are written. Only for a few bytes that fit into the socket's send buffer.
inline boost::system::error_code WriteBlocking(boost::asio::ip::tcp::socket& socket,
                                               const std::string& bytes) {
  boost::system::error_code ec;
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wzero-as-null-pointer-constant"
  boost::asio::write(socket, boost::asio::buffer(bytes), ec);
#pragma GCC diagnostic pop
  return ec;
}

}  // namespace mangonotch::http1
