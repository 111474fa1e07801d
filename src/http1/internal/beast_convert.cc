// Conversion of Beast messages and parse errors.
#include "http1/internal/beast_convert.h"

#include <boost/beast/http/error.hpp>
#include <string>
#include <utility>

namespace mangonotch::http1 {
namespace {

namespace http = boost::beast::http;

std::string ToString(boost::beast::string_view text) { return {text.data(), text.size()}; }

template <typename Fields>
Headers ToHeaders(const Fields& fields) {
  Headers headers;
  for (const auto& it : fields) {
    headers.push_back({ToString(it.name_string()), ToString(it.value())});
  }
  return headers;
}

}  // namespace

Request ToRequest(BeastRequest&& message) {
  Request request;
  request.method = ToString(message.method_string());
  request.target = ToString(message.target());
  request.headers = ToHeaders(message);
  request.keep_alive = message.keep_alive();
  request.body = std::move(message.body());
  return request;
}

Response ToResponse(BeastResponse&& message) {
  Response response;
  response.status = message.result_int();
  response.reason = ToString(message.reason());
  response.headers = ToHeaders(message);
  response.keep_alive = message.keep_alive();
  response.body = std::move(message.body());
  return response;
}

bool HasUnambiguousFraming(const BeastRequest& message) {
  const bool has_length = message.count(http::field::content_length) > 0;
  const bool has_encoding = message.count(http::field::transfer_encoding) > 0;
  return !(has_length && has_encoding) && message.count(http::field::host) == 1;
}

bool HasUnambiguousFraming(const BeastResponse& message) {
  const std::size_t encodings = message.count(http::field::transfer_encoding);
  if (encodings == 0) return true;
  const auto coding = ToString(message[http::field::transfer_encoding]);
  return encodings == 1 && EqualsIgnoringCase(coding, "chunked");
}

bool HasFoldedLine(std::string_view head) {
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

unsigned StatusOfParseError(const boost::system::error_code& ec) {
  if (ec == http::error::header_limit) return 431;
  if (ec == http::error::body_limit) return 413;
  return 400;
}

}  // namespace mangonotch::http1
