// Connecting, sending, reading and closing of a client connection.
#include "http1/client_connection.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <charconv>
#include <utility>

#include "http1/asio_address.h"
#include "http1/clock.h"
#include "http1/internal/beast_convert.h"
#include "http1/internal/write_all.h"

namespace mangonotch::http1 {
namespace {

constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
/// Interim responses and responses to other requests after which an exchange fails.
constexpr std::uint32_t kMaxDiscardedResponses = 16;
constexpr unsigned kMinStatus = 100;
constexpr unsigned kMaxStatus = 599;
/// Time after the last arrival until the first probe, and time between probes: the shortest that
/// the kernel accepts.
constexpr int kProbeIntervalSeconds = 1;
constexpr int kMaxUnansweredProbes = 1;
/// At most this long after the last sign of the server, the kernel reports its silence.
constexpr base::Duration kSilenceTime =
    base::Duration::Seconds(std::int64_t{kProbeIntervalSeconds} * (1 + kMaxUnansweredProbes));
template <int kName>
using TcpOption = boost::asio::detail::socket_option::integer<IPPROTO_TCP, kName>;
using UserTimeout = TcpOption<TCP_USER_TIMEOUT>;

/// The timeout parameter of the Keep-Alive header; nullopt when there is none.
std::optional<base::Duration> ParseKeepAliveTimeout(const Response& response) {
  const std::string_view value = FindHeader(response.headers, "Keep-Alive");
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = value.find(kName);
  if (at == std::string_view::npos) return std::nullopt;
  const std::string_view digits = value.substr(at + kName.size());
  std::int64_t seconds = 0;
  const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (ec != std::errc() || end == digits.data()) return std::nullopt;
  return base::Duration::Seconds(seconds);
}

}  // namespace

ClientConnection::ClientConnection(boost::asio::io_context& context, const ClientLimits& limits,
                                   std::shared_ptr<ByteBudget> body_budget)
    : context_(context),
      socket_(context),
      connect_timer_(context),
      limits_(limits),
      body_budget_(std::move(body_budget)) {}

void ClientConnection::Exchange(const base::Endpoint& server, std::string bytes, bool is_head,
                                Filter filter, Done done) {
  is_busy_ = true;
  is_head_ = is_head;
  discarded_responses_ = 0;
  write_buffer_ = std::move(bytes);
  filter_ = std::move(filter);
  done_ = std::move(done);
  ResetParser();
  if (is_connected_) {
    Write();
  } else {
    Connect(server);
  }
}

void ClientConnection::Connect(const base::Endpoint& server) {
  connect_timer_.expires_after(ToChrono(limits_.connect_time));
  connect_timer_.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    if (ec || self->is_connected_ || self->is_closed_) return;
    self->Finish(ExchangeError::kNotSent, "connect timed out", {});
  });
  socket_.async_connect(ToAsio(server), [self = shared_from_this()](boost::system::error_code ec) {
    if (!self->is_closed_) self->OnConnected(ec);
  });
}

void ClientConnection::OnConnected(boost::system::error_code ec) {
  connect_timer_.cancel();
  if (ec) {
    Finish(ExchangeError::kNotSent, "connect failed", {});
    return;
  }
  is_connected_ = true;
  last_contact_ = Now();
  SetSocketOptions();
  Write();
}

void ClientConnection::SetSocketOptions() {
  boost::system::error_code ec;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ec);
  // Errors are ignored: without the option the connection works, but an unresponsive peer is
  // detected later.
  socket_.set_option(UserTimeout(static_cast<int>(limits_.unacknowledged_time.milliseconds())), ec);
  if (!limits_.probes_silence) return;
  socket_.set_option(boost::asio::socket_base::keep_alive(true), ec);
  socket_.set_option(TcpOption<TCP_KEEPIDLE>(kProbeIntervalSeconds), ec);
  socket_.set_option(TcpOption<TCP_KEEPINTVL>(kProbeIntervalSeconds), ec);
  socket_.set_option(TcpOption<TCP_KEEPCNT>(kMaxUnansweredProbes), ec);
}

void ClientConnection::Write() {
  is_writing_ = true;
  WriteAll(socket_, write_buffer_,
           [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
             self->is_writing_ = false;
             self->write_buffer_ = std::string();  // Idle connections keep no request.
             if (self->is_closed_ || !self->is_busy_) return;
             // A reset that follows the server's orderly close leaves a broken pipe.
             if (ec != boost::asio::error::broken_pipe) self->connection_error_ = ec;
             // The server may have responded before it closed the connection, so a pending read
             // determines the result.
             if (ec && !self->is_reading_) {
               self->Finish(ExchangeError::kBroken, "write failed", {});
             }
           });
  Read();
}

void ClientConnection::ResetParser() {
  ReleaseBody();
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
  parser_->body_limit(limits_.body_bytes);
  parser_->skip(is_head_);
}

void ClientConnection::Read() {
  if (is_reading_ || is_closed_) return;
  is_reading_ = true;
  socket_.async_read_some(buffer_.prepare(kReadBytes),
                          [self = shared_from_this()](boost::system::error_code ec, std::size_t n) {
                            self->is_reading_ = false;
                            if (!self->is_closed_) self->OnRead(ec, n);
                          });
}

void ClientConnection::OnRead(boost::system::error_code ec, std::size_t n) {
  // The kernel reports the failure of a connection to one operation only. If that was the write, a
  // read finds the end of the stream, as if the server had closed it in order.
  if (ec == boost::asio::error::eof && connection_error_) ec = connection_error_;
  // The server or its machine has closed the connection, unless the kernel has given up waiting.
  last_contact_ = ec == boost::asio::error::timed_out ? Now() - kSilenceTime : Now();
  if (!is_busy_) {
    OnIdleRead();
    return;
  }
  if (ec == boost::asio::error::eof) {
    boost::system::error_code parse_ec;
    if (parser_->got_some()) parser_->put_eof(parse_ec);
    if (parser_->got_some() && !parse_ec && parser_->is_done()) {
      is_connected_ = false;
      HandleResponse();
    } else {
      Finish(ExchangeError::kBroken, "closed before the end of the answer", {});
    }
    return;
  }
  if (ec) {
    Finish(ExchangeError::kBroken, "reset before the end of the answer", {});
    return;
  }
  buffer_.commit(n);
  ParseBuffered();
}

void ClientConnection::OnIdleRead() {
  // The server closed the connection or sent data without a request.
  const auto on_idle_end = on_idle_end_;
  Close();
  if (on_idle_end) on_idle_end();
}

void ClientConnection::ParseBuffered() {
  while (is_busy_ && !is_closed_ && buffer_.size() > 0) {
    boost::system::error_code ec;
    const bool is_in_head = !parser_->is_header_done();
    const auto bytes = buffer_.data();
    const std::size_t used = parser_->put(bytes, ec);
    const std::string_view taken(static_cast<const char*>(bytes.data()), used);
    const bool is_malformed = ec && ec != boost::beast::http::error::need_more;
    const bool is_accepted = !is_malformed && (!is_in_head || AcceptHead(taken));
    buffer_.consume(used);
    if (!is_accepted) {
      Finish(ExchangeError::kBroken, "malformed answer", {});
      return;
    }
    if (!ReserveBody()) {
      Finish(ExchangeError::kBroken, "answers too large together", {});
      return;
    }
    if (parser_->is_done()) {
      HandleResponse();
      continue;
    }
    if (ec == boost::beast::http::error::need_more || used == 0) break;
  }
  if (is_closed_) return;
  // The parser leaves what it cannot use yet in the buffer, such as an unfinished chunk extension.
  if (buffer_.size() > limits_.header_bytes) {
    Finish(ExchangeError::kBroken, "malformed answer", {});
    return;
  }
  Read();
}

bool ClientConnection::AcceptHead(std::string_view lines) {
  if (HasFoldedLine(lines)) return false;
  if (!parser_->is_header_done()) return true;
  // Only now: an eager parser goes on to the body, for which it allocates the announced length,
  // although it has found that length to be over the limit.
  parser_->eager(true);
  return HasUnambiguousFraming(parser_->get());
}

bool ClientConnection::ReserveBody() {
  if (!body_budget_) return true;
  const std::size_t size = parser_->get().body().size();
  const std::size_t needed =
      size > limits_.unreserved_body_bytes ? size - limits_.unreserved_body_bytes : 0;
  if (needed <= reserved_body_bytes_) return true;
  if (!body_budget_->TryReserve(needed - reserved_body_bytes_)) return false;
  reserved_body_bytes_ = needed;
  return true;
}

void ClientConnection::ReleaseBody() {
  if (body_budget_) body_budget_->Release(std::exchange(reserved_body_bytes_, 0));
}

void ClientConnection::HandleResponse() {
  const bool is_delimited_by_close = parser_->need_eof();
  Response response = ToResponse(parser_->release());
  // Such bytes are no response, so what follows them on the connection is not known either.
  if (response.status < kMinStatus || response.status > kMaxStatus) {
    Finish(ExchangeError::kBroken, "an answer with a status that does not exist", {});
    return;
  }
  const bool is_interim = response.status < 200;
  if (is_interim || !filter_(response)) {
    const bool is_last_allowed = ++discarded_responses_ >= kMaxDiscardedResponses;
    if (is_delimited_by_close || !is_connected_ || is_last_allowed) {
      Finish(ExchangeError::kBroken, "an answer to another request", {});
      return;
    }
    ResetParser();
    return;
  }
  // A server that responds before it has received the whole request may still read the rest of it.
  // Another request on this connection would be read as that rest.
  const bool must_close = is_delimited_by_close || is_writing_ || !response.keep_alive ||
                          buffer_.size() > 0 || !is_connected_;
  if (must_close) {
    Finish(ExchangeError::kNone, {}, std::move(response));
    return;
  }
  idle_since_ = Now();
  const auto keep_alive = ParseKeepAliveTimeout(response);
  usable_until_ = keep_alive ? idle_since_ + *keep_alive : base::Instant::Never();
  is_busy_ = false;
  ReleaseBody();
  const Done done = std::exchange(done_, nullptr);
  done({.response = std::move(response), .last_contact = last_contact_});
}

void ClientConnection::Finish(ExchangeError error, std::string_view detail, Response response) {
  const Done done = std::exchange(done_, nullptr);
  Close();
  if (!done) return;
  done({.error = error,
        .detail = detail,
        .response = std::move(response),
        .last_contact = last_contact_});
}

void ClientConnection::Close() {
  if (is_closed_) return;
  is_closed_ = true;
  is_connected_ = false;
  is_busy_ = false;
  done_ = nullptr;
  filter_ = nullptr;
  on_idle_end_ = nullptr;
  connect_timer_.cancel();
  parser_.reset();
  ReleaseBody();
  boost::system::error_code ec;
  socket_.close(ec);  // The connection is not used again, so errors are ignored.
}

}  // namespace mangonotch::http1
