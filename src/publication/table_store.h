// The store's key `table`, as the publication of an edit needs it.
#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace mangonotch::publication {

/// Version of the key; it changes with each write and never repeats. 0 while the key is absent.
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
  /// The key has another version than expected; this write had no effect.
  kConflict,
  /// No byte of the write was sent, so it had no effect.
  kNotSent,
  /// The answer was lost: the write may have taken effect, or may still do so.
  kAnswerLost,
};

/// Reads may be stale. A write takes effect only while the key has the expected version.
template <typename T>
concept TableStore = requires(T& store, StoreVersion expected, std::string_view value) {
  { store.ReadTable() } -> std::same_as<ReadAnswer>;
  { store.SwapTable(expected, value) } -> std::same_as<SwapResult>;
};

}  // namespace mangonotch::publication
