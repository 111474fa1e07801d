// ServerConnection: reading and parsing requests, writing responses in order, closing.
#pragma once

#include <algorithm>

#include "http1/clock.h"
#include "http1/internal/beast_convert.h"
#include "http1/internal/memory_of.h"
#include "http1/internal/server_connection.h"
#include "http1/internal/write_all.h"
#include "http1/post.h"

namespace mangonotch::http1 {

/// Maximum of requests pending at the same time on one connection; reading pauses at this limit.
inline constexpr std::size_t kMaxPipelinedRequests = 32;
inline constexpr std::size_t kReadBytes = std::size_t{8} * 1024;
/// After the last response, input is read and discarded for this time. Closing with unread input
/// would send a reset, on which the caller's kernel may discard the response.
inline constexpr base::Duration kLingeringCloseTime = base::Duration::Milliseconds(500);
/// Callers that pause for this long lose their memory first when the budget is used up.
inline constexpr base::Duration kStallTime = base::Duration::Seconds(1);
/// Memory of a connection with its read buffer and a parser.
inline constexpr std::size_t kConnectionBytes = std::size_t{12} * 1024;
/// Less than this is not worth the loss of a request.
inline constexpr std::size_t kMinEvictableBytes = std::size_t{4} * 1024;

inline constexpr unsigned kLateStatus = 408;
inline constexpr unsigned kBodyTooLargeStatus = 413;
inline constexpr unsigned kHeadersTooLargeStatus = 431;
/// Says that the request has not run, like every answer to a request that was not dispatched.
inline constexpr unsigned kNoMemoryStatus = 503;

template <typename Handler>
bool ServerConnection<Handler>::Start() {
  boost::system::error_code ec;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ec);
  last_activity_at_ = Now();
  ResetParser();
  if (!UpdateReservation()) {
    Close();
    return false;
  }
  Read();
  return true;
}

template <typename Handler>
void ServerConnection<Handler>::ResetParser() {
  parser_.emplace();
  // Lets one call of put() parse the headers and the body.
  parser_->eager(true);
  parser_->header_limit(static_cast<std::uint32_t>(server_->limits_.header_bytes));
  parser_->body_limit(server_->limits_.body_bytes);
  has_checked_expect_ = false;
  header_bytes_ = 0;
  request_started_at_ = base::Instant::Never();
  if (buffer_.size() == 0 && buffer_.capacity() > kReadBytes) buffer_.shrink_to_fit();
}

template <typename Handler>
bool ServerConnection<Handler>::IsReadPaused() const {
  return !is_discarding_input_ && pipeline_.size() >= kMaxPipelinedRequests;
}

template <typename Handler>
void ServerConnection<Handler>::Read() {
  if (server_ == nullptr || is_closing_ || is_reading_ || IsReadPaused()) return;
  is_reading_ = true;
  socket_.async_read_some(buffer_.prepare(kReadBytes), [self = this->shared_from_this()](
                                                           boost::system::error_code ec,
                                                           std::size_t n) { self->OnRead(ec, n); });
}

template <typename Handler>
void ServerConnection<Handler>::OnRead(boost::system::error_code ec, std::size_t n) {
  is_reading_ = false;
  if (server_ == nullptr || is_closing_) return;
  if (ec) {
    Close();
    return;
  }
  if (is_discarding_input_) {
    Read();
    return;
  }
  buffer_.commit(n);
  last_activity_at_ = Now();
  if (ParseBuffered()) Read();
}

template <typename Handler>
bool ServerConnection<Handler>::ParseBuffered() {
  while (buffer_.size() > 0 && !is_discarding_input_ && !IsReadPaused()) {
    if (request_started_at_ == base::Instant::Never()) request_started_at_ = last_activity_at_;
    boost::system::error_code ec;
    const std::size_t used = parser_->put(buffer_.data(), ec);
    buffer_.consume(used);
    if (ec == boost::beast::http::error::need_more) break;
    if (ec) {
      Reject(StatusOfParseError(ec));
      return server_ != nullptr;
    }
    ContinueIfExpected();
    if (server_ == nullptr) return false;
    if (!UpdateReservation()) {
      Reject(kNoMemoryStatus);
      return server_ != nullptr;
    }
    if (!parser_->is_done()) {
      if (used == 0) break;
      continue;
    }
    DispatchRequest();
    if (server_ == nullptr || is_closing_) return false;
  }
  if (is_discarding_input_ || IsReadPaused()) return true;
  // The parser leaves what it cannot use yet in the buffer: unfinished trailers or chunk
  // extensions.
  if (buffer_.size() > server_->limits_.header_bytes) {
    Reject(kHeadersTooLargeStatus);
  } else if (!UpdateReservation()) {
    Reject(kNoMemoryStatus);
  }
  return server_ != nullptr;
}

template <typename Handler>
void ServerConnection<Handler>::ContinueIfExpected() {
  if (has_checked_expect_ || !parser_->is_header_done() || parser_->is_done()) return;
  has_checked_expect_ = true;
  for (const auto& it : parser_->get()) {
    header_bytes_ += kHeaderOverheadBytes + it.name_string().size() + it.value().size();
  }
  const auto expect = parser_->get().find(boost::beast::http::field::expect);
  if (expect == parser_->get().end() || !pipeline_.empty()) return;
  static const std::string continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
  // No response is being written to the connection, so the bytes fit into the socket's send buffer.
  if (WriteBlocking(socket_, continue_response)) Close();
}

template <typename Handler>
void ServerConnection<Handler>::Reject(unsigned status) {
  CountRejection(status);
  Response response{.status = status};
  if (status == kNoMemoryStatus) response.headers.push_back({"Retry-After", "1"});
  pipeline_.push_back({.response = std::move(response)});
  CloseAfterPending();
  WriteNext();
  Read();
}

template <typename Handler>
void ServerConnection<Handler>::CountRejection(unsigned status) {
  ServerCounts& counts = server_->counts_;
  ++counts.malformed_requests;
  if (status == kLateStatus) ++counts.late_requests;
  if (status == kBodyTooLargeStatus) ++counts.oversized_bodies;
  if (status == kHeadersTooLargeStatus) ++counts.oversized_headers;
  if (status == kNoMemoryStatus) ++counts.requests_without_memory;
}

template <typename Handler>
void ServerConnection<Handler>::DispatchRequest() {
  auto message = parser_->release();
  ResetParser();
  if (!HasUnambiguousFraming(message)) {
    Reject(400);
    return;
  }
  Request request = ToRequest(std::move(message));
  const std::size_t bytes = MemoryOf(request);
  pipeline_bytes_ += bytes;
  if (!UpdateReservation()) {
    pipeline_bytes_ -= bytes;
    Reject(kNoMemoryStatus);
    return;
  }
  const RequestId id = ++server_->last_id_;
  pipeline_.push_back({.id = id, .is_head = request.method == "HEAD", .bytes = bytes});
  if (!request.keep_alive || server_->is_draining_) CloseAfterPending();
  server_->pending_.emplace(id, this);
  server_->handler_.OnRequest(id, std::move(request));
}

template <typename Handler>
void ServerConnection<Handler>::Reply(RequestId id, Response&& response) {
  if (is_closing_) return;
  const auto entry = std::find_if(pipeline_.begin(), pipeline_.end(),
                                  [&](const PipelinedRequest& it) { return it.id == id; });
  if (entry == pipeline_.end()) return;
  if (!response.keep_alive) CloseAfterPending();
  const std::size_t bytes = MemoryOf(response);
  pipeline_bytes_ += bytes - std::exchange(entry->bytes, bytes);
  response_bytes_ += bytes;
  entry->response = std::move(response);
  if (!UpdateReservation()) {
    ++server_->counts_.responses_without_memory;
    CloseLater();
    return;
  }
  WriteNext();
}

template <typename Handler>
void ServerConnection<Handler>::StartDraining() {
  if (!pipeline_.empty()) CloseAfterPending();
}

template <typename Handler>
void ServerConnection<Handler>::CloseAfterPending() {
  ResetParser();
  is_discarding_input_ = true;
  pipeline_.back().close = true;
  UpdateReservation();  // Only releases memory, so it succeeds.
}

template <typename Handler>
void ServerConnection<Handler>::WriteNext() {
  if (server_ == nullptr || is_closing_ || is_writing_) return;
  if (pipeline_.empty() || !pipeline_.front().response) return;
  is_writing_ = true;
  last_write_at_ = Now();
  PipelinedRequest& next = pipeline_.front();
  const bool close = next.close;
  const bool sends_body = StatusAllowsBody(next.response->status) && !next.is_head;
  write_head_ = SerializeHead(*next.response, close);
  write_body_ = sends_body ? std::move(next.response->body) : std::string();
  writing_bytes_ = next.bytes;
  pipeline_.pop_front();
  WriteBoth(
      socket_, write_head_, write_body_, [this] { last_write_at_ = Now(); },
      [self = this->shared_from_this(), close](boost::system::error_code ec, std::size_t) {
        self->OnWritten(ec, close);
      });
}

template <typename Handler>
void ServerConnection<Handler>::OnWritten(boost::system::error_code ec, bool close) {
  is_writing_ = false;
  write_body_ = std::string();
  if (server_ == nullptr || is_closing_) return;
  last_activity_at_ = Now();
  pipeline_bytes_ -= writing_bytes_;
  response_bytes_ -= std::exchange(writing_bytes_, 0);
  UpdateReservation();  // Only releases memory, so it succeeds.
  if (ec) {
    Close();
    return;
  }
  if (close) {
    ShutDownSending();
    return;
  }
  WriteNext();
  // Reading may have paused at the limit on pipelined requests.
  if (!is_reading_ && ParseBuffered()) Read();
}

template <typename Handler>
void ServerConnection<Handler>::ShutDownSending() {
  boost::system::error_code ec;
  socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
  if (ec) {
    Close();
    return;
  }
  buffer_.consume(buffer_.size());
  Read();
}

template <typename Handler>
void ServerConnection<Handler>::CheckTimeouts(base::Instant now) {
  const ServerLimits& limits = server_->limits_;
  const base::Duration inactive_time = now - last_activity_at_;
  if (is_closing_) return;
  if (is_writing_ && now - last_write_at_ > limits.write_time) {
    ++server_->counts_.stalled_responses;
    Close();
    return;
  }
  if (is_discarding_input_ && pipeline_.empty() && !is_writing_) {
    if (inactive_time > kLingeringCloseTime) Close();
    return;
  }
  if (request_started_at_ != base::Instant::Never()) {
    const base::Duration reading_time = now - request_started_at_;
    const bool is_late = parser_->is_header_done() ? inactive_time > limits.body_time ||
                                                         reading_time > limits.request_time
                                                   : reading_time > limits.header_time;
    if (is_late && pipeline_.empty()) Reject(kLateStatus);
    return;
  }
  if (!pipeline_.empty() || is_writing_) return;
  if (server_->is_draining_ || inactive_time > limits.idle_time) Close();
}

template <typename Handler>
void ServerConnection<Handler>::Close() {
  if (server_ == nullptr) return;
  Server<Handler>& server = *server_;
  server_ = nullptr;
  boost::system::error_code ec;
  socket_.close(ec);  // The connection is not used again, so errors are ignored.
  for (const PipelinedRequest& it : pipeline_) {
    if (server.pending_.erase(it.id) > 0) server.handler_.OnCallerGone(it.id);
  }
  server.Release(std::exchange(reserved_, 0));
  server.connections_.erase(this->shared_from_this());
}

template <typename Handler>
void ServerConnection<Handler>::Abandon() {
  server_ = nullptr;
  boost::system::error_code ec;
  socket_.close(ec);  // Errors are ignored as in Close().
}

template <typename Handler>
std::size_t ServerConnection<Handler>::ReadingBytes() const {
  // Between requests there is nothing to refuse, whatever room the buffer keeps.
  if (is_discarding_input_ || request_started_at_ == base::Instant::Never()) return 0;
  const std::size_t capacity = buffer_.capacity();
  const std::size_t excess = capacity > kReadBytes ? capacity - kReadBytes : 0;
  return excess + header_bytes_ + parser_->get().body().size();
}

template <typename Handler>
bool ServerConnection<Handler>::UpdateReservation() {
  if (is_closing_) return true;
  const std::size_t needed = kConnectionBytes + ReadingBytes() + pipeline_bytes_;
  if (needed <= reserved_) {
    server_->Release(reserved_ - needed);
  } else if (!server_->Reserve(*this, needed - reserved_)) {
    return false;
  }
  reserved_ = needed;
  return true;
}

template <typename Handler>
std::size_t ServerConnection<Handler>::EvictableBytes() const {
  if (server_ == nullptr || is_closing_) return 0;
  const std::size_t bytes = std::max(response_bytes_, ReadingBytes());
  return bytes >= kMinEvictableBytes ? bytes : 0;
}

template <typename Handler>
bool ServerConnection<Handler>::IsStalled(base::Instant now) const {
  if (response_bytes_ > ReadingBytes()) return is_writing_ && now - last_write_at_ > kStallTime;
  return now - last_activity_at_ > kStallTime;
}

template <typename Handler>
void ServerConnection<Handler>::Evict() {
  if (response_bytes_ > ReadingBytes()) {
    ++server_->counts_.responses_without_memory;
    CloseLater();
  } else {
    Reject(kNoMemoryStatus);
  }
}

template <typename Handler>
void ServerConnection<Handler>::CloseLater() {
  is_closing_ = true;
  for (PipelinedRequest& it : pipeline_) it.response.reset();
  server_->Release(std::exchange(reserved_, 0));
  Post(server_->context_, [self = this->shared_from_this()] { self->Close(); });
}

}  // namespace mangonotch::http1
