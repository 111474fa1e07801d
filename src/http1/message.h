// HTTP/1.1 messages of the event-driven server and client. A message is kept completely in memory,
// without framing headers; they are generated for each connection.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mangonotch::http1 {

struct Header {
  std::string name;
  std::string value;

  bool operator==(const Header&) const = default;
};

using Headers = std::vector<Header>;

/// The value of the first header with that name, compared without regard to case; empty when there
/// is none.
std::string_view FindHeader(std::span<const Header> headers, std::string_view name);
bool HasHeader(std::span<const Header> headers, std::string_view name);
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

/// The headers without hop-by-hop headers (RFC 9110, section 7.6.1) and without Content-Length,
/// Expect and Proxy-Authorization.
Headers EndToEndHeaders(std::span<const Header> headers);

struct Request {
  std::string method{};
  /// Path and query.
  std::string target{};
  Headers headers{};
  std::string body{};
  bool keep_alive = true;
};

struct Response {
  unsigned status = 200;
  std::string reason{};
  Headers headers{};
  std::string body{};
  bool keep_alive = true;
};

/// Formats the message for sending and adds the framing headers; the headers of the message must be
/// end-to-end headers.
std::string Serialize(const Request& request);
/// The same with `body` instead of the body of `head`, which saves a copy of a large body.
std::string Serialize(const Request& head, std::string_view body);
/// `close` adds "Connection: close"; `is_head` omits the body but keeps its Content-Length.
std::string Serialize(const Response& response, bool close, bool is_head);

/// The same without the body.
std::string SerializeHead(const Response& response, bool close);
/// Whether responses with the status have a body.
bool StatusAllowsBody(unsigned status);

/// The standard reason phrase of a status code.
std::string_view ReasonPhrase(unsigned status);

}  // namespace mangonotch::http1
