// FNV-1a with a finalizer: stable across processes and versions, so hosts agree on keys and ranks.
#pragma once

#include <cstdint>
#include <string_view>

namespace mangonotch::base {

constexpr std::uint64_t Mix(std::uint64_t x) {
  x ^= x >> 33;
  x *= 0xff51afd7ed558ccdULL;
  x ^= x >> 33;
  x *= 0xc4ceb9fe1a85ec53ULL;
  x ^= x >> 33;
  return x;
}

constexpr std::uint64_t Hash(std::string_view text, std::uint64_t seed = 0) {
  std::uint64_t h = 0xcbf29ce484222325ULL ^ seed;
  for (const char c : text) {
    h ^= static_cast<unsigned char>(c);
    h *= 0x100000001b3ULL;
  }
  return Mix(h);
}

}  // namespace mangonotch::base
