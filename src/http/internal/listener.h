// The part of the server that touches cxxtools. It is compiled as C++17, because
// <cxxtools/net/tcpsocket.h> does not compile as C++20, so this header and what it includes stay
// within C++17.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http/internal/connection_reaper.h"
#include "http/internal/request_check.h"

namespace mangonotch::http::internal {

struct IncomingRequest {
  RequestHead head;
  std::string body;
  std::string peer;
  int socket = -1;  // Owned by cxxtools; valid until the answer is sent.
};

struct OutgoingResponse {
  unsigned status = 200;
  std::string reason;
  std::vector<std::pair<std::string, std::string>> headers;  // Checked by http::Headers.
  std::string body;
  bool close = false;
};

/// What the listener asks its owner; called on the threads of cxxtools.
class RequestSink {
 public:
  virtual ~RequestSink() = default;
  /// Called when the header is read and before the body is.
  virtual Refusal CheckHead(const RequestHead& head) = 0;
  virtual OutgoingResponse Handle(const IncomingRequest& request) = 0;
  virtual OutgoingResponse Refuse(Refusal refusal) = 0;
};

struct ListenerSettings {
  std::string address;
  std::uint16_t port = 0;
  unsigned threads = 1;
  ReaperSettings timeouts;
};

class Listener {
 public:
  /// Throws std::runtime_error when the address cannot be bound.
  Listener(const ListenerSettings& settings, RequestSink& sink);
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  ~Listener();

  std::uint16_t port() const;
  /// Closes the listening socket and idle connections; returns when no request is in flight.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mangonotch::http::internal
