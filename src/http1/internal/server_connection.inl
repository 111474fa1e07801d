// ServerConnection: reading, parsing, answering in order, closing.
#pragma once

#include <algorithm>

#include "http1/clock.h"
#include "http1/internal/beast_convert.h"
#include "http1/internal/server_connection.h"
#include "http1/internal/write_all.h"

namespace mangonotch::http1 {

/// Requests of one connection that are worked on at the same time.
inline constexpr std::size_t kMostPipelined = 32;
inline constexpr std::size_t kReadBytes = std::size_t{8} * 1024;
/// After the last answer, what the caller still sends is read and thrown away for this time, so
/// that its kernel does not discard the answer on a reset.
inline constexpr base::Duration kLingerTime = base::Duration::Milliseconds(500);

template <typename Handler>
void ServerConnection<Handler>::Start() {
  boost::system::error_code ec;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ec);
  active_at_ = Now();
  StartParser();
  Read();
}

template <typename Handler>
void ServerConnection<Handler>::StartParser() {
  parser_.emplace();
  // Several steps of a message in one call of put().
  parser_->eager(true);
  parser_->header_limit(static_cast<std::uint32_t>(server_->limits_.header_bytes));
  parser_->body_limit(server_->limits_.body_bytes);
  has_continued_ = false;
  request_since_ = base::Instant::Never();
}

template <typename Handler>
bool ServerConnection<Handler>::IsReadPaused() const {
  return !is_finishing_ && slots_.size() >= kMostPipelined;
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
  if (is_finishing_) {
    Read();
    return;
  }
  buffer_.commit(n);
  active_at_ = Now();
  if (ParseBuffered()) Read();
}

template <typename Handler>
bool ServerConnection<Handler>::ParseBuffered() {
  while (buffer_.size() > 0 && !is_finishing_ && !IsReadPaused()) {
    if (request_since_ == base::Instant::Never()) request_since_ = active_at_;
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
    TakeRequest();
    if (server_ == nullptr) return false;
  }
  return true;
}

template <typename Handler>
void ServerConnection<Handler>::ContinueIfExpected() {
  if (has_continued_ || !parser_->is_header_done() || parser_->is_done()) return;
  has_continued_ = true;
  const auto expect = parser_->get().find(boost::beast::http::field::expect);
  if (expect == parser_->get().end() || !slots_.empty()) return;
  static const std::string continue_answer = "HTTP/1.1 100 Continue\r\n\r\n";
  // No answer is under way on the connection, so the bytes fit the socket's buffer.
  if (WriteNow(socket_, continue_answer)) Close();
}

template <typename Handler>
void ServerConnection<Handler>::Reject(unsigned status) {
  ++server_->counts_.malformed_requests;
  slots_.push_back({.close = true, .answer = Serialize(Response{.status = status}, true, false)});
  is_finishing_ = true;
  WriteNext();
  Read();
}

template <typename Handler>
void ServerConnection<Handler>::TakeRequest() {
  auto message = parser_->release();
  StartParser();
  if (!IsFramedOnce(message)) {
    Reject(400);
    return;
  }
  Request request = ToRequest(std::move(message));
  const RequestId id = ++server_->last_id_;
  slots_.push_back({.id = id, .is_head = request.method == "HEAD", .close = !request.keep_alive});
  if (!request.keep_alive) is_finishing_ = true;
  server_->pending_.emplace(id, this);
  server_->handler_.OnRequest(id, std::move(request));
}

template <typename Handler>
void ServerConnection<Handler>::Reply(RequestId id, const Response& response) {
  const auto slot =
      std::find_if(slots_.begin(), slots_.end(), [&](const Slot& it) { return it.id == id; });
  if (slot == slots_.end()) return;
  slot->close = slot->close || server_->is_draining_ || !response.keep_alive;
  slot->answer = Serialize(response, slot->close, slot->is_head);
  WriteNext();
}

template <typename Handler>
void ServerConnection<Handler>::WriteNext() {
  if (server_ == nullptr || is_writing_ || slots_.empty() || !slots_.front().answer) return;
  is_writing_ = true;
  const bool close = slots_.front().close;
  writing_ = std::move(*slots_.front().answer);
  slots_.pop_front();
  WriteAll(socket_, writing_,
           [self = this->shared_from_this(), close](boost::system::error_code ec, std::size_t) {
             self->OnWritten(ec, close);
           });
}

template <typename Handler>
void ServerConnection<Handler>::OnWritten(boost::system::error_code ec, bool close) {
  is_writing_ = false;
  if (server_ == nullptr) return;
  active_at_ = Now();
  if (ec) {
    Close();
    return;
  }
  if (close) {
    ShutDownSending();
    return;
  }
  WriteNext();
  // Reading may have paused at the bound on pipelined requests.
  if (!is_reading_ && ParseBuffered()) Read();
}

template <typename Handler>
void ServerConnection<Handler>::ShutDownSending() {
  // Requests behind the last answer get none; their callers know that they were not read.
  for (const Slot& it : slots_) {
    if (server_->pending_.erase(it.id) > 0) server_->handler_.OnCallerGone(it.id);
  }
  slots_.clear();
  is_finishing_ = true;
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
void ServerConnection<Handler>::CheckTime(base::Instant now) {
  const ServerLimits& limits = server_->limits_;
  const base::Duration quiet = now - active_at_;
  if (is_finishing_ && slots_.empty() && !is_writing_) {
    if (quiet > kLingerTime) Close();
    return;
  }
  if (request_since_ != base::Instant::Never()) {
    const bool is_late = parser_->is_header_done() ? quiet > limits.body_time
                                                   : now - request_since_ > limits.header_time;
    if (is_late && slots_.empty()) Reject(408);
    return;
  }
  if (!slots_.empty() || is_writing_) return;
  if (server_->is_draining_ || quiet > limits.idle_time) Close();
}

template <typename Handler>
void ServerConnection<Handler>::Close() {
  if (server_ == nullptr) return;
  Server<Handler>& server = *server_;
  server_ = nullptr;
  boost::system::error_code ec;
  socket_.close(ec);  // The connection is given up; there is nobody to tell of a failure.
  for (const Slot& it : slots_) {
    if (server.pending_.erase(it.id) > 0) server.handler_.OnCallerGone(it.id);
  }
  server.connections_.erase(this->shared_from_this());
}

template <typename Handler>
void ServerConnection<Handler>::Abandon() {
  server_ = nullptr;
  boost::system::error_code ec;
  socket_.close(ec);  // As in Close.
}

}  // namespace mangonotch::http1
