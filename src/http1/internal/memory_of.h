// Estimates of the memory that messages use.
#pragma once

#include <cstddef>
#include <span>

#include "http1/message.h"

namespace mangonotch::http1 {

/// Memory of a header beyond its text: two strings and the blocks that they allocate.
inline constexpr std::size_t kHeaderOverheadBytes = 128;

inline std::size_t MemoryOf(std::span<const Header> headers) {
  std::size_t bytes = 0;
  for (const Header& it : headers) {
    bytes += kHeaderOverheadBytes + it.name.size() + it.value.size();
  }
  return bytes;
}

/// A request that has been dispatched is kept twice: as it came and as it is sent to a target.
inline std::size_t MemoryOf(const Request& request) {
  return 2 * (MemoryOf(std::span<const Header>(request.headers)) + request.target.size() +
              request.body.size());
}

inline std::size_t MemoryOf(const Response& response) {
  return MemoryOf(std::span<const Header>(response.headers)) + response.body.size();
}

}  // namespace mangonotch::http1
