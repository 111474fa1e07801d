// One connection of a caller: reads and parses requests and sends the responses in request order.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "http1/message.h"
#include "http1/server.h"

namespace mangonotch::http1 {

template <typename Handler>
class ServerConnection : public std::enable_shared_from_this<ServerConnection<Handler>> {
 public:
  ServerConnection(Server<Handler>& server, boost::asio::ip::tcp::socket socket)
      : server_(&server), socket_(std::move(socket)) {}

  void Start();
  void Reply(RequestId id, Response&& response);
  /// Finishes the pending requests and reads no further ones; without pending requests, the
  /// connection goes on until CheckTimeouts() finds it idle.
  void StartDraining();
  /// Closes the connection, or rejects the request that is being read, when a time limit is
  /// exceeded.
  void CheckTimeouts(base::Instant now);
  /// Closes the socket without notifying the handler; called when the server is destroyed.
  void Abandon();

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// A request that has been read and whose response has not been sent.
  struct PipelinedRequest {
    RequestId id = 0;
    bool is_head = false;
    /// The connection is closed after the response: the caller asked for it, the server is
    /// draining, or the request was rejected. Set for the last request of the pipeline at most.
    bool close = false;
    /// nullopt until the handler has replied.
    std::optional<Response> response{};
  };

  void Read();
  void OnRead(boost::system::error_code ec, std::size_t n);
  /// Parses the buffered input and dispatches its requests; false when the connection has been
  /// closed.
  bool ParseBuffered();
  void ResetParser();
  /// Passes the parsed request to the handler.
  void DispatchRequest();
  /// Sends an error response to an invalid or late request and reads no further requests.
  void Reject(unsigned status);
  /// Sends "100 Continue" when the request that is being read asks for it.
  void ContinueIfExpected();
  /// Starts writing the oldest response, when it is available and no write is in progress.
  void WriteNext();
  void OnWritten(boost::system::error_code ec, bool close);
  /// Reads no further requests, and closes the connection after the response to the last one that
  /// was dispatched. The caller sees that those behind it were not read, and sends them again.
  void CloseAfterPending();
  /// Starts a lingering close after the last response.
  void ShutDownSending();
  void Close();
  /// True while the maximum of pipelined requests is pending.
  bool IsReadPaused() const;

  /// Null once the connection is closed.
  Server<Handler>* server_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  /// In the order of arrival.
  std::deque<PipelinedRequest> pipeline_;
  /// The response that is being written.
  std::string write_buffer_;
  bool is_reading_ = false;
  bool is_writing_ = false;
  /// No further request is parsed; input is read and discarded.
  bool is_discarding_input_ = false;
  /// The Expect header of the request that is being read has been handled.
  bool has_checked_expect_ = false;
  /// When data was last received or a response was last written.
  base::Instant last_activity_at_;
  /// When the first byte of the request that is being read was parsed; Never() between requests.
  base::Instant request_started_at_ = base::Instant::Never();
};

}  // namespace mangonotch::http1

#include "http1/internal/server_connection.inl"  // IWYU pragma: export
