// One connection to an HTTP/1.1 server: connects, sends one request at a time and reads the
// complete response. Detects that the server closes the connection while it is idle.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/endpoint.h"
#include "base/instant.h"
#include "http1/byte_budget.h"
#include "http1/message.h"

namespace mangonotch::http1 {

enum class ExchangeError : std::uint8_t {
  kNone,
  /// The connection could not be established, so no byte of the request was sent.
  kNotSent,
  /// The connection failed, or no complete response to this request was received.
  kBroken,
};

struct ExchangeResult {
  ExchangeError error = ExchangeError::kNone;
  /// Cause of an error, for logs; a string literal.
  std::string_view detail{};
  Response response{};
  /// When the server was last known to be reachable; the lowest instant if it was never connected.
  base::Instant last_contact{};
};

struct ClientLimits {
  std::size_t header_bytes = std::size_t{64} * 1024;
  std::size_t body_bytes = std::size_t{16} * 1024 * 1024;
  /// Bytes of a body beyond these are reserved in the budget, if there is one; without room there
  /// the exchange fails. Small responses are always accepted.
  std::size_t unreserved_body_bytes = std::size_t{256} * 1024;
  base::Duration connect_time = base::Duration::Milliseconds(500);
  /// The connection fails when sent bytes stay unacknowledged for this time (TCP_USER_TIMEOUT).
  base::Duration unacknowledged_time = base::Duration::Milliseconds(1500);
  /// The kernel probes the connection each second while nothing arrives; the connection fails when
  /// a probe stays unanswered. For requests whose answer may rightly take long.
  bool probes_silence = false;
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  using Done = std::function<void(ExchangeResult)>;
  /// Returns whether a response belongs to the request; other responses are discarded.
  using Filter = std::function<bool(const Response&)>;

  /// `body_budget` is shared by connections of the same context; null for none.
  ClientConnection(boost::asio::io_context& context, const ClientLimits& limits,
                   std::shared_ptr<ByteBudget> body_budget = nullptr);
  ~ClientConnection() { ReleaseBody(); }
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  /// Sends the serialized request `bytes` and reads the response; connects to `server` first when
  /// not yet connected. `is_head` is true for a HEAD request, whose response has no body. `done` is
  /// called at most once: never from within this call and never after Close(). Only one exchange
  /// may be in progress at a time.
  void Exchange(const base::Endpoint& server, std::string bytes, bool is_head, Filter filter,
                Done done);
  /// Closes the connection and abandons the exchange in progress without calling its `done`.
  void Close();

  /// True when the connection is open and idle, so that it can carry another request.
  bool is_reusable() const { return is_connected_ && !is_busy_ && !is_closed_; }
  /// When the server will close the idle connection according to its Keep-Alive header; Never()
  /// when it announced no timeout.
  base::Instant usable_until() const { return usable_until_; }
  base::Instant idle_since() const { return idle_since_; }
  /// `on_idle_end` is called when the server closes the connection, or sends data on it, while it
  /// is idle; not after Close().
  void set_on_idle_end(std::function<void()> on_idle_end) { on_idle_end_ = std::move(on_idle_end); }

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Connect(const base::Endpoint& server);
  void OnConnected(boost::system::error_code ec);
  void SetSocketOptions();
  void Write();
  void Read();
  void OnRead(boost::system::error_code ec, std::size_t n);
  /// A read has completed while no exchange is in progress.
  void OnIdleRead();
  void ParseBuffered();
  /// Checks the lines of the head that the parser has taken from the buffer, and the whole head
  /// when they are its last; false if it cannot be used.
  bool AcceptHead(std::string_view lines);
  void ResetParser();
  /// Reserves the part of the body that has been received; false if the budget has no room.
  bool ReserveBody();
  void ReleaseBody();
  void HandleResponse();
  /// Closes the connection and ends the exchange.
  void Finish(ExchangeError error, std::string_view detail, Response response);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  ClientLimits limits_;
  std::shared_ptr<ByteBudget> body_budget_;
  /// Bytes reserved in `body_budget_` for the response in progress.
  std::size_t reserved_body_bytes_ = 0;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::string write_buffer_;
  Filter filter_;
  Done done_;
  std::function<void()> on_idle_end_;
  bool is_head_ = false;
  bool is_connected_ = false;
  bool is_busy_ = false;
  bool is_closed_ = false;
  bool is_reading_ = false;
  bool is_writing_ = false;
  /// Why the connection failed, if a write has been told; not set after an orderly close.
  boost::system::error_code connection_error_;
  /// Responses discarded in the exchange in progress.
  std::uint32_t discarded_responses_ = 0;
  base::Instant usable_until_ = base::Instant::Never();
  base::Instant idle_since_;
  /// See ExchangeResult.
  base::Instant last_contact_;
};

}  // namespace mangonotch::http1
