// SipHash-2-4: a keyed hash of 64 bits. Without the key nobody can make the hash of a text, so it
// serves as the tag of a ticket and as the fingerprint of a request.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace mangonotch::ticket {

/// Key of one process, drawn at its start from the system's random source and never sent or stored.
using Secret = std::array<std::uint64_t, 2>;

class KeyedHash {
 public:
  explicit KeyedHash(const Secret& secret);

  /// Adds the bytes of `text`; several calls give the hash of the joined text.
  void Add(std::string_view text);
  /// Adds eight bytes, the lowest first.
  void Add(std::uint64_t value);
  /// Adds the length of `text` and then its bytes, so that fields cannot run into each other.
  void AddField(std::string_view text);
  /// Ends the hash; nothing may be added afterwards.
  std::uint64_t Finish();

 private:
  void Round();
  void Compress(std::uint64_t word);

  std::array<std::uint64_t, 4> state_;
  /// Bytes added that do not fill a word yet, the first byte lowest.
  std::uint64_t tail_ = 0;
  std::size_t length_ = 0;
};

}  // namespace mangonotch::ticket
