// A GET from a chosen source address, so that a test can be a caller of any region: the table maps
// 127.0.<i>.0/24 to the i-th region.
#pragma once

#include <string>

#include "http/response.h"

namespace mangonotch::support {

/// Sends one request from `source` and reads until the peer closes, at most `timeout_ms` between
/// two reads. Throws base::Error when there is no whole answer.
http::Response BoundGet(const std::string& source, const std::string& address,
                        const std::string& target, const std::string& header_lines, int timeout_ms);

}  // namespace mangonotch::support
