// Framing checks on a request header, made before the body is read. cxxtools itself accepts all
// that is refused here.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "http/header.h"
#include "http/refusal.h"

namespace mangonotch::http::internal {

/// The header of a request as it came in.
struct RequestHead {
  std::string_view method;
  std::string_view path;
  std::string_view query;
  unsigned version_minor = 1;  // Of HTTP/1; cxxtools refuses other versions.
  std::vector<HeaderView> headers;
};

struct HeadLimits {
  std::size_t body_bytes;
  std::size_t url_bytes;
};

Refusal Check(const RequestHead& head, const HeadLimits& limits);

}  // namespace mangonotch::http::internal
