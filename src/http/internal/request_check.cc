// Framing checks on a request header.
#include "http/internal/request_check.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace mangonotch::http::internal {
namespace {

constexpr std::array<std::string_view, 7> kMethods = {"GET",   "HEAD",   "POST",   "PUT",
                                                      "PATCH", "DELETE", "OPTIONS"};

bool NeedsLength(std::string_view method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

std::vector<std::string_view> Values(const RequestHead& head, std::string_view name) {
  std::vector<std::string_view> values;
  for (const HeaderView& line : head.headers) {
    if (EqualsIgnoreCase(line.name, name)) {
      values.push_back(line.value);
    }
  }
  return values;
}

bool HasControlCharacter(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte < 0x20 || byte == 0x7f;
  });
}

Refusal CheckUrl(const RequestHead& head, const HeadLimits& limits) {
  if (head.path.size() + head.query.size() > limits.url_bytes) {
    return Refusal::kUrlTooLong;
  }
  const bool asterisk = head.method == "OPTIONS" && head.path == "*";
  const bool absolute = !head.path.empty() && head.path.front() == '/';
  // cxxtools decodes the path: an encoded line end or NUL must not reach a message to a target.
  if ((!absolute && !asterisk) || HasControlCharacter(head.path) ||
      HasControlCharacter(head.query)) {
    return Refusal::kBadUrl;
  }
  return Refusal::kNone;
}

Refusal CheckLength(const RequestHead& head, const HeadLimits& limits) {
  if (!Values(head, "Transfer-Encoding").empty()) {
    return Refusal::kTransferEncoding;
  }
  const auto lengths = Values(head, "Content-Length");
  if (lengths.empty()) {
    return NeedsLength(head.method) ? Refusal::kLengthRequired : Refusal::kNone;
  }
  const std::string_view text = lengths.front();
  const bool digits = !text.empty() && std::all_of(text.begin(), text.end(),
                                                   [](char c) { return c >= '0' && c <= '9'; });
  if (lengths.size() > 1 || !digits) {
    return Refusal::kBadLength;
  }
  std::size_t n = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  const bool overflow = ec != std::errc();
  return overflow || n > limits.body_bytes ? Refusal::kBodyTooLarge : Refusal::kNone;
}

Refusal CheckHost(const RequestHead& head) {
  const std::size_t n = Values(head, "Host").size();
  return n > 1 || (n == 0 && head.version_minor >= 1) ? Refusal::kBadHost : Refusal::kNone;
}

Refusal CheckExpectation(const RequestHead& head) {
  for (const std::string_view value : Values(head, "Expect")) {
    if (!EqualsIgnoreCase(value, "100-continue")) {
      return Refusal::kUnknownExpectation;
    }
  }
  return Refusal::kNone;
}

}  // namespace

Refusal Check(const RequestHead& head, const HeadLimits& limits) {
  if (std::find(kMethods.begin(), kMethods.end(), head.method) == kMethods.end()) {
    return Refusal::kUnknownMethod;
  }
  for (const Refusal refusal : {CheckUrl(head, limits), CheckHost(head), CheckLength(head, limits),
                                CheckExpectation(head)}) {
    if (refusal != Refusal::kNone) {
      return refusal;
    }
  }
  return Refusal::kNone;
}

}  // namespace mangonotch::http::internal
