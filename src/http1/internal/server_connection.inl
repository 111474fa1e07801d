// ServerConnection: reading and parsing requests, writing responses in order, closing.
#pragma once

#include <algorithm>

#include "http1/clock.h"
#include "http1/internal/beast_convert.h"
#include "http1/internal/server_connection.h"
#include "http1/internal/write_all.h"

namespace mangonotch::http1 {

/// Maximum of requests pending at the same time on one connection; reading pauses at this limit.
inline constexpr std::size_t kMaxPipelinedRequests = 32;
inline constexpr std::size_t kReadBytes = std::size_t{8} * 1024;
/// After the last response, input is read and discarded for this time. Closing with unread input
/// would send a reset, on which the caller's kernel may discard the response.
inline constexpr base::Duration kLingeringCloseTime = base::Duration::Milliseconds(500);

template <typename Handler>
void ServerConnection<Handler>::Start() {
  boost::system::error_code ec;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ec);
  last_activity_at_ = Now();
  ResetParser();
  Read();
}

template <typename Handler>
void ServerConnection<Handler>::ResetParser() {
  parser_.emplace();
  // Lets one call of put() parse the headers and the body.
  parser_->eager(true);
  parser_->header_limit(static_cast<std::uint32_t>(server_->limits_.header_bytes));
  parser_->body_limit(server_->limits_.body_bytes);
  has_checked_expect_ = false;
  request_started_at_ = base::Instant::Never();
}

template <typename Handler>
bool ServerConnection<Handler>::IsReadPaused() const {
  return !is_discarding_input_ && pipeline_.size() >= kMaxPipelinedRequests;
}

template <typename Handler>
void ServerConnection<Handler>::Read() {
  if (server_ == nullptr || is_reading_ || IsReadPaused()) return;
  is_reading_ = true;
  socket_.async_read_some(buffer_.prepare(kReadBytes), [self = this->shared_from_this()](
                                                           boost::system::error_code ec,
                                                           std::size_t n) { self->OnRead(ec, n); });
}

template <typename Handler>
void ServerConnection<Handler>::OnRead(boost::system::error_code ec, std::size_t n) {
  is_reading_ = false;
  if (server_ == nullptr) return;
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
    if (!parser_->is_done()) {
      if (used == 0) break;
      continue;
    }
    DispatchRequest();
    if (server_ == nullptr) return false;
  }
  return true;
}

template <typename Handler>
void ServerConnection<Handler>::ContinueIfExpected() {
  if (has_checked_expect_ || !parser_->is_header_done() || parser_->is_done()) return;
  has_checked_expect_ = true;
  const auto expect = parser_->get().find(boost::beast::http::field::expect);
  if (expect == parser_->get().end() || !pipeline_.empty()) return;
  static const std::string continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
  // No response is being written to the connection, so the bytes fit into the socket's send buffer.
  if (WriteBlocking(socket_, continue_response)) Close();
}

template <typename Handler>
void ServerConnection<Handler>::Reject(unsigned status) {
  ++server_->counts_.malformed_requests;
  pipeline_.push_back({.response = Response{.status = status}});
  CloseAfterPending();
  WriteNext();
  Read();
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
  const RequestId id = ++server_->last_id_;
  pipeline_.push_back({.id = id, .is_head = request.method == "HEAD"});
  if (!request.keep_alive || server_->is_draining_) CloseAfterPending();
  server_->pending_.emplace(id, this);
  server_->handler_.OnRequest(id, std::move(request));
}

template <typename Handler>
void ServerConnection<Handler>::Reply(RequestId id, Response&& response) {
  const auto entry = std::find_if(pipeline_.begin(), pipeline_.end(),
                                  [&](const PipelinedRequest& it) { return it.id == id; });
  if (entry == pipeline_.end()) return;
  if (!response.keep_alive) CloseAfterPending();
  entry->response = std::move(response);
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
}

template <typename Handler>
void ServerConnection<Handler>::WriteNext() {
  if (server_ == nullptr || is_writing_ || pipeline_.empty() || !pipeline_.front().response) return;
  is_writing_ = true;
  const PipelinedRequest& next = pipeline_.front();
  const bool close = next.close;
  write_buffer_ = Serialize(*next.response, close, next.is_head);
  pipeline_.pop_front();
  WriteAll(socket_, write_buffer_,
           [self = this->shared_from_this(), close](boost::system::error_code ec, std::size_t) {
             self->OnWritten(ec, close);
           });
}

template <typename Handler>
void ServerConnection<Handler>::OnWritten(boost::system::error_code ec, bool close) {
  is_writing_ = false;
  if (server_ == nullptr) return;
  last_activity_at_ = Now();
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
  if (is_discarding_input_ && pipeline_.empty() && !is_writing_) {
    if (inactive_time > kLingeringCloseTime) Close();
    return;
  }
  if (request_started_at_ != base::Instant::Never()) {
    const bool is_late = parser_->is_header_done() ? inactive_time > limits.body_time
                                                   : now - request_started_at_ > limits.header_time;
    if (is_late && pipeline_.empty()) Reject(408);
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
  server.connections_.erase(this->shared_from_this());
}

template <typename Handler>
void ServerConnection<Handler>::Abandon() {
  server_ = nullptr;
  boost::system::error_code ec;
  socket_.close(ec);  // Errors are ignored as in Close().
}

}  // namespace mangonotch::http1
