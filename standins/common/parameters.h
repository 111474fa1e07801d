// Parses integers from queries and headers, and builds text and JSON responses.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http/response.h"
#include "http/server.h"

namespace mangonotch::standins {

std::optional<std::int64_t> ParseInteger(std::string_view text);
/// An integer from the query; nullopt when it is missing or not an integer.
std::optional<std::int64_t> IntegerParameter(const http::Request& request, std::string_view name);
std::optional<std::int64_t> IntegerHeader(const http::Request& request, std::string_view name);

http::Response Text(unsigned status, std::string_view body);
http::Response Json(std::string body);

}  // namespace mangonotch::standins
