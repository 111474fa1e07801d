// One connection of a caller: reads and parses requests, keeps the replies in their order.
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
  void Reply(RequestId id, const Response& response);
  /// Closes the connection when it is beyond a limit of time.
  void CheckTime(base::Instant now);
  /// The server is going away.
  void Abandon();

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  struct Slot {
    RequestId id = 0;
    bool is_head = false;
    /// The caller or a fault of the request asks for the end of the connection after the answer.
    bool close = false;
    /// Nothing until the reply is known.
    std::optional<std::string> answer{};
  };

  void Read();
  void OnRead(boost::system::error_code ec, std::size_t n);
  /// Parses what has been read; false when the connection takes no more requests.
  bool ParseBuffered();
  void StartParser();
  void TakeRequest();
  /// Answers a request that cannot be parsed and takes no more.
  void Reject(unsigned status);
  void ContinueIfExpected();
  void WriteNext();
  void OnWritten(boost::system::error_code ec, bool close);
  void ShutDownSending();
  void Close();
  bool IsReadPaused() const;

  /// Null once the connection is closed.
  Server<Handler>* server_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::deque<Slot> slots_;
  std::string writing_;
  bool is_reading_ = false;
  bool is_writing_ = false;
  /// No further request is read; what the caller still sends is thrown away.
  bool is_finishing_ = false;
  bool has_continued_ = false;
  /// When the state of reading last changed: bytes came, or an answer went.
  base::Instant active_at_;
  /// First byte of the request that is being read; Never() between requests.
  base::Instant request_since_ = base::Instant::Never();
};

}  // namespace mangonotch::http1

#include "http1/internal/server_connection.inl"  // IWYU pragma: export
