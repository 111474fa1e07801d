// One connection to an HTTP/1.1 server: connects, sends one request at a time and reads the whole
// answer. Notices when the server closes it while it is idle.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/endpoint.h"
#include "base/instant.h"
#include "http1/message.h"

namespace mangonotch::http1 {

enum class ExchangeError : std::uint8_t {
  kNone,
  /// No byte of the request was handed to the connection.
  kNotSent,
  /// The connection broke, or what came is no whole answer to this request.
  kBroken,
};

struct ExchangeResult {
  ExchangeError error = ExchangeError::kNone;
  /// Cause of an error, for logs.
  std::string_view detail{};
  Response response{};
};

struct ClientLimits {
  std::size_t header_bytes = std::size_t{64} * 1024;
  std::size_t body_bytes = std::size_t{16} * 1024 * 1024;
  base::Duration connect_time = base::Duration::Milliseconds(500);
  /// The connection fails when the peer's kernel has not taken sent bytes for this time.
  base::Duration unacknowledged_time = base::Duration::Milliseconds(1500);
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  using Done = std::function<void(ExchangeResult)>;
  /// Says whether an answer belongs to the request; others are thrown away.
  using Filter = std::function<bool(const Response&)>;

  ClientConnection(boost::asio::io_context& context, const ClientLimits& limits);

  /// Connects first when needed. `done` is called once, never from within this call, and not after
  /// Close. One exchange at a time.
  void Exchange(const base::Endpoint& server, std::string bytes, bool is_head, Filter filter,
                Done done);
  /// Drops the connection and the exchange on it.
  void Close();

  /// Connected, idle and fit for another request.
  bool is_reusable() const { return is_connected_ && !is_busy_ && !is_closed_; }
  /// Until when the server keeps the idle connection, by its own word; Never() without one.
  base::Instant usable_until() const { return usable_until_; }
  base::Instant idle_since() const { return idle_since_; }
  /// Called when an idle connection ends.
  void set_on_idle_end(std::function<void()> on_idle_end) { on_idle_end_ = std::move(on_idle_end); }

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Connect(const base::Endpoint& server);
  void OnConnected(boost::system::error_code ec);
  void SetOptions();
  void Write();
  void Read();
  void OnRead(boost::system::error_code ec, std::size_t n);
  void OnIdleRead();
  void ParseBuffered();
  void StartParser();
  void TakeResponse();
  void Finish(ExchangeError error, std::string_view detail, Response response);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  ClientLimits limits_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::string sending_;
  Filter filter_;
  Done done_;
  std::function<void()> on_idle_end_;
  bool is_head_ = false;
  bool is_connected_ = false;
  bool is_busy_ = false;
  bool is_closed_ = false;
  bool is_reading_ = false;
  bool is_writing_ = false;
  base::Instant usable_until_ = base::Instant::Never();
  base::Instant idle_since_;
};

}  // namespace mangonotch::http1
