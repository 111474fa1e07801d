// One connection of a caller: reads and parses requests and sends the responses in request order.
// Reserves the memory that it uses in the server's budget.
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

  /// False when there is no memory for the connection, which is closed then.
  bool Start();
  void Reply(RequestId id, Response&& response);
  /// Finishes the pending requests and reads no further ones; without pending requests, the
  /// connection goes on until CheckTimeouts() finds it idle.
  void StartDraining();
  /// Closes the connection, or rejects the request that is being read, when a time limit is
  /// exceeded.
  void CheckTimeouts(base::Instant now);
  /// Closes the socket without notifying the handler; called when the server is destroyed.
  void Abandon();

  /// Bytes reserved in the server's budget.
  std::size_t reserved() const { return reserved_; }
  /// Bytes that Evict() would release; 0 when there are too few to be worth it.
  std::size_t EvictableBytes() const;
  /// True when the caller has sent no part of its request, or taken no part of its response, for
  /// kStallTime.
  bool IsStalled(base::Instant now) const;
  /// Releases the memory of the request that is being read, which is refused with 503, or of the
  /// responses, whose connection is closed.
  void Evict();

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// A request that has been read and whose response has not been sent.
  struct PipelinedRequest {
    RequestId id = 0;
    bool is_head = false;
    /// The connection is closed after the response: the caller asked for it, the server is
    /// draining, or the request was rejected. Set for the last request of the pipeline at most.
    bool close = false;
    /// Memory of the request, or of its response once there is one.
    std::size_t bytes = 0;
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
  /// Counts a rejection by its reason.
  void CountRejection(unsigned status);
  /// Memory of the request that is being read, beyond the connection's own.
  std::size_t ReadingBytes() const;
  /// Adjusts the reservation to the memory in use; false when the budget has no room.
  bool UpdateReservation();
  /// Closes the connection after the current event, since the handler must not be called within a
  /// call of its own.
  void CloseLater();
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
  std::string write_head_;
  std::string write_body_;
  /// Memory of the response that is being written.
  std::size_t writing_bytes_ = 0;
  /// Sum over `pipeline_` and the response that is being written.
  std::size_t pipeline_bytes_ = 0;
  /// Of these, the ones of responses.
  std::size_t response_bytes_ = 0;
  /// Memory of the parsed headers of the request that is being read.
  std::size_t header_bytes_ = 0;
  std::size_t reserved_ = 0;
  /// The connection is about to be closed by CloseLater().
  bool is_closing_ = false;
  bool is_reading_ = false;
  bool is_writing_ = false;
  /// No further request is parsed; input is read and discarded.
  bool is_discarding_input_ = false;
  /// The Expect header of the request that is being read has been handled.
  bool has_checked_expect_ = false;
  /// When data was last received or a response was last written.
  base::Instant last_activity_at_;
  /// When the caller last took a part of a response, or the writing of one began.
  base::Instant last_write_at_;
  /// When the first byte of the request that is being read was parsed; Never() between requests.
  base::Instant request_started_at_ = base::Instant::Never();
};

}  // namespace mangonotch::http1

#include "http1/internal/server_connection.inl"  // IWYU pragma: export
