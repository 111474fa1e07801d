// HTTP/1.1 messages as the event-driven server and client exchange them: whole in memory, framed
// anew on each connection.
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

/// The value of the first header of that name, in any case; empty when there is none.
std::string_view FindHeader(std::span<const Header> headers, std::string_view name);
bool HasHeader(std::span<const Header> headers, std::string_view name);
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

/// Without those headers that concern a single connection (RFC 9110, section 7.6.1), and without
/// the framing of the body.
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

/// Writes the framing headers itself; `headers` must be end-to-end headers.
std::string Serialize(const Request& request);
/// `is_head` leaves the body out and keeps its length.
std::string Serialize(const Response& response, bool close, bool is_head);

/// The usual reason phrase of a status.
std::string_view ReasonPhrase(unsigned status);

}  // namespace mangonotch::http1
