// Interface to the store's key `table` for the publication of an edit.
#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace mangonotch::publication {

/// Version of the key, which changes with each write and is never reused. 0 while the key is
/// absent.
using StoreVersion = std::uint64_t;

struct ReadAnswer {
  enum class Status : std::uint8_t { kFound, kAbsent, kUnavailable };
  Status status = Status::kUnavailable;
  StoreVersion version = 0;
  std::string value;
};

enum class SwapResult : std::uint8_t {
  /// The write took effect.
  kSwapped,
  /// The key's version differs from the expected one, so the write had no effect.
  kConflict,
  /// No byte of the write was sent, so it had no effect.
  kNotSent,
  /// The response was lost: the write may have taken effect or may still take effect.
  kAnswerLost,
};

/// Reads may be stale. A write takes effect only while the key has the expected version.
template <typename T>
concept TableStore = requires(T& store, StoreVersion expected, std::string_view value) {
  { store.ReadTable() } -> std::same_as<ReadAnswer>;
  { store.SwapTable(expected, value) } -> std::same_as<SwapResult>;
};

}  // namespace mangonotch::publication
