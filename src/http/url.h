// Percent-encoding and query parameters.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace mangonotch::http {

/// Decodes %XX; other characters, also '+', stay as they are. nullopt on a malformed escape.
std::optional<std::string> Decode(std::string_view text);
/// Encodes all but unreserved characters.
std::string EncodeComponent(std::string_view text);
/// Encodes a path: like EncodeComponent, but '/' and the other characters allowed in paths stay.
std::string EncodePath(std::string_view path);
/// Decoded value of the first parameter `name` of a query string.
std::optional<std::string> QueryParameter(std::string_view query, std::string_view name);

}  // namespace mangonotch::http
