// Parses integers from queries and headers, and builds text and JSON responses.
#include "standins/common/parameters.h"

#include <charconv>

namespace mangonotch::standins {

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t n = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return n;
}

std::optional<std::int64_t> IntegerParameter(const http::Request& request, std::string_view name) {
  const auto text = request.Parameter(name);
  return text ? ParseInteger(*text) : std::nullopt;
}

std::optional<std::int64_t> IntegerHeader(const http::Request& request, std::string_view name) {
  const auto text = request.Header(name);
  return text ? ParseInteger(*text) : std::nullopt;
}

http::Response Text(unsigned status, std::string_view body) {
  http::Response response;
  response.status = status;
  response.headers.Add("Content-Type", "text/plain");
  response.body = body;
  return response;
}

http::Response Json(std::string body) {
  http::Response response;
  response.headers.Add("Content-Type", "application/json");
  response.body = std::move(body);
  return response;
}

}  // namespace mangonotch::standins
