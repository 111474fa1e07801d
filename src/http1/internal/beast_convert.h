// Between Beast's messages and those of this module.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>

#include "http1/message.h"

namespace mangonotch::http1 {

using BeastRequest = boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse = boost::beast::http::response<boost::beast::http::string_body>;

Request ToRequest(BeastRequest&& message);
Response ToResponse(BeastResponse&& message);
/// False for a request whose end two headers tell differently, as in request smuggling.
bool IsFramedOnce(const BeastRequest& message);
/// Status that answers a request which the parser refuses.
unsigned StatusOfParseError(const boost::system::error_code& ec);

}  // namespace mangonotch::http1
