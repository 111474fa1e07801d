// The target side: calls that return an answer only when it is whole and that send a request at
// most once.
#pragma once

#include <functional>
#include <memory>
#include <span>
#include <string_view>

#include "base/instant.h"
#include "http/client_error.h"
#include "http/endpoint.h"
#include "http/header.h"
#include "http/response.h"

namespace mangonotch::http {

/// A request to send. Host, Content-Length and Connection are written by the client.
struct ClientRequest {
  std::string_view method;
  std::string_view target;  // Encoded path with query.
  std::span<const HeaderView> headers;
  std::string_view body;
};

enum class ConnectionUse {
  kFresh,      // A new connection, closed afterwards: one write, one answer.
  kKeptAlive,  // Only for idempotent requests: the peer may have closed a kept connection at any
               // time.
};

struct ExecuteOptions {
  ConnectionUse connection = ConnectionUse::kFresh;
  std::size_t max_header_bytes = 16 << 10;
  std::size_t max_body_bytes = 1 << 20;
  /// Limit for the connect alone; the deadline of the call holds as well.
  base::Instant connect_deadline = base::Instant::Never();
  /// Called after the connect and right before the first byte is written; false ends the call as
  /// kVetoed.
  std::function<bool()> before_write;
  /// A socket whose closing by its peer cancels the call, or -1.
  int cancel_socket = -1;
  /// Asked about every 20 ms of waiting; true cancels the call.
  std::function<bool()> cancelled;
};

/// True for names that belong to one connection (RFC 9110, section 7.6.1) or to the framing;
/// Execute refuses them.
bool IsConnectionHeader(std::string_view name);

/// May be shared by threads.
class Client {
 public:
  Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  ~Client();

  /// Sends the request once and returns the whole answer, whatever its status. Throws ClientError;
  /// never repeats the request by itself. Throws std::invalid_argument for a request that cannot be
  /// written safely.
  Response Execute(const Endpoint& endpoint, const ClientRequest& request, base::Instant deadline,
                   const ExecuteOptions& options = {});

  /// Closes the kept connections to `endpoint`.
  void Forget(const Endpoint& endpoint);

 private:
  class Pool;
  std::unique_ptr<Pool> pool_;
};

}  // namespace mangonotch::http
