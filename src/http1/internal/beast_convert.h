// Conversion of Beast messages to the message types of this module.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <string_view>

#include "http1/message.h"

namespace mangonotch::http1 {

using BeastRequest = boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse = boost::beast::http::response<boost::beast::http::string_body>;

Request ToRequest(BeastRequest&& message);
Response ToResponse(BeastResponse&& message);
/// False for a request with both Content-Length and Transfer-Encoding, which permits request
/// smuggling, and for one that does not have exactly one Host header.
bool HasUnambiguousFraming(const BeastRequest& message);
/// False for a response in another transfer coding than chunked: its body would be passed on coded,
/// without the header that says so.
bool HasUnambiguousFraming(const BeastResponse& message);
/// Whether the bytes of a head hold a line that begins with a blank. Beast takes it for the rest of
/// the line before (obsolete line folding); a proxy may reject it (RFC 9112, section 5.2).
bool HasFoldedLine(std::string_view head);
/// HTTP status of the response to a request that the parser rejects.
unsigned StatusOfParseError(const boost::system::error_code& ec);

}  // namespace mangonotch::http1
