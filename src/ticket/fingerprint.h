// The fingerprint that shows whether two requests with the same ticket are the same request.
#pragma once

#include <cstdint>
#include <string_view>

#include "ticket/keyed_hash.h"

namespace mangonotch::ticket {

/// The parts of a request that a repeat must not change. `path` includes the query.
struct RequestView {
  std::string_view service;
  std::string_view method;
  std::string_view path;
  std::string_view body;
};

struct Fingerprint {
  std::uint64_t value = 0;

  bool operator==(const Fingerprint&) const = default;
};

/// Hashes the whole body (1 to 2 ms for 1 MB), so call it without holding the register's lock.
inline Fingerprint MakeFingerprint(const RequestView& request, const Secret& secret) {
  KeyedHash hash(secret);
  hash.AddField(request.service);
  hash.AddField(request.method);
  hash.AddField(request.path);
  hash.AddField(request.body);
  return {hash.Finish()};
}

}  // namespace mangonotch::ticket
