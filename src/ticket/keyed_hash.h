// SipHash-2-4: a keyed 64-bit hash. The hash of a text cannot be computed without the key, so it is
// used as the tag of a ticket and as the fingerprint of a request.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace mangonotch::ticket {

/// Key of one process, generated at startup from the system's random source, never sent or stored.
using Secret = std::array<std::uint64_t, 2>;

class KeyedHash {
 public:
  explicit KeyedHash(const Secret& secret);

  /// Adds the bytes of `text`; several calls give the hash of the concatenated text.
  void Add(std::string_view text);
  /// Adds eight bytes in little-endian order.
  void Add(std::uint64_t value);
  /// Adds the length of `text` and then its bytes, so that different splits into fields give
  /// different hashes.
  void AddField(std::string_view text);
  /// Returns the hash; nothing may be added afterwards.
  std::uint64_t Finish();

 private:
  void Round();
  void Compress(std::uint64_t word);

  std::array<std::uint64_t, 4> state_;
  /// Added bytes that do not yet fill a word, in little-endian order.
  std::uint64_t tail_ = 0;
  std::size_t length_ = 0;
};

}  // namespace mangonotch::ticket
