// Header lookup and message serialization.
#include "http1/message.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <ostream>  // Boost 1.74 needs it before the next header.

namespace mangonotch::http1 {
namespace {

/// Hop-by-hop headers, headers that frame the body, Expect, and credentials for this
/// proxy.
constexpr std::array<std::string_view, 10> kNotForwarded = {
    "connection",        "keep-alive", "proxy-connection", "te",     "trailer",
    "transfer-encoding", "upgrade",    "content-length",   "expect", "proxy-authorization"};

char ToLower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

/// The header names listed in the Connection headers.
std::vector<std::string_view> ConnectionOptions(std::span<const Header> headers) {
  std::vector<std::string_view> options;
  for (const Header& it : headers) {
    if (!EqualsIgnoringCase(it.name, "connection")) continue;
    std::string_view rest = it.value;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      options.push_back(Trim(rest.substr(0, comma)));
      rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
    }
  }
  return options;
}

void AppendHeaders(std::span<const Header> headers, std::string& out) {
  for (const Header& it : headers) out.append(it.name).append(": ").append(it.value).append("\r\n");
}

bool HasBody(const Request& request, std::string_view body) {
  return !body.empty() || request.method == "POST" || request.method == "PUT" ||
         request.method == "PATCH";
}

}  // namespace

bool StatusAllowsBody(unsigned status) { return status >= 200 && status != 204 && status != 304; }

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return ToLower(x) == ToLower(y);
         });
}

std::string_view FindHeader(std::span<const Header> headers, std::string_view name) {
  for (const Header& it : headers) {
    if (EqualsIgnoringCase(it.name, name)) return it.value;
  }
  return {};
}

bool HasHeader(std::span<const Header> headers, std::string_view name) {
  return std::any_of(headers.begin(), headers.end(),
                     [&](const Header& it) { return EqualsIgnoringCase(it.name, name); });
}

Headers EndToEndHeaders(std::span<const Header> headers) {
  const std::vector<std::string_view> options = ConnectionOptions(headers);
  const auto contains = [](const auto& names, std::string_view name) {
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view it) { return EqualsIgnoringCase(it, name); });
  };
  Headers kept;
  kept.reserve(headers.size());
  for (const Header& it : headers) {
    if (!contains(kNotForwarded, it.name) && !contains(options, it.name)) kept.push_back(it);
  }
  return kept;
}

std::string Serialize(const Request& request) { return Serialize(request, request.body); }

std::string Serialize(const Request& request, std::string_view body) {
  std::string out;
  out.reserve(body.size() + 512);
  out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
  AppendHeaders(request.headers, out);
  if (HasBody(request, body)) {
    out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  }
  if (!request.keep_alive) out.append("Connection: close\r\n");
  return out.append("\r\n").append(body);
}

std::string Serialize(const Response& response, bool close, bool is_head) {
  std::string out = SerializeHead(response, close);
  if (StatusAllowsBody(response.status) && !is_head) out.append(response.body);
  return out;
}

std::string SerializeHead(const Response& response, bool close) {
  std::string out;
  out.reserve(512);
  out.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
  const std::string_view own_reason = response.reason;
  out.append(own_reason.empty() ? ReasonPhrase(response.status) : own_reason);
  out.append("\r\n");
  AppendHeaders(response.headers, out);
  if (StatusAllowsBody(response.status)) {
    out.append("Content-Length: ").append(std::to_string(response.body.size())).append("\r\n");
  }
  if (close) out.append("Connection: close\r\n");
  return out.append("\r\n");
}

std::string_view ReasonPhrase(unsigned status) {
  const auto phrase =
      boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
  return {phrase.data(), phrase.size()};
}

}  // namespace mangonotch::http1
