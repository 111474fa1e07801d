// What the product needs of the platform's key-value service.
#pragma once

#include <concepts>
#include <cstdint>
#include <string>

#include "base/duration.h"

namespace mangonotch::store {

enum class ReadStatus {
  kFound,
  kNotFound,
  kUnchanged,    // Of a watch: the version is still the one that was given.
  kUnavailable,  // No answer, or one that says nothing of the key.
};

struct ReadResult {
  ReadStatus status = ReadStatus::kUnavailable;
  std::string value;
  /// Grows with each write of the key; never 0 for a key that exists.
  std::uint64_t version = 0;
};

enum class WriteStatus {
  kOk,
  kConflict,     // The key has another version; nothing was written.
  kUnavailable,  // Certainly nothing was written.
  kUnknown,      // The write may have taken effect, or may still do so.
};

struct WriteResult {
  WriteStatus status = WriteStatus::kUnknown;
  /// Version after kOk, the present one after kConflict when the service told it.
  std::uint64_t version = 0;
};

template <typename S>
concept Store = requires(S& store, const std::string& key, const std::string& value,
                         std::uint64_t version, base::Duration wait) {
  { store.Get(key) } -> std::same_as<ReadResult>;
  /// Compare-and-swap; `version` 0 means that the key must be absent.
  { store.Put(key, value, version) } -> std::same_as<WriteResult>;
  /// Waits at most `wait` for a version after `version`.
  { store.Watch(key, version, wait) } -> std::same_as<ReadResult>;
};

}  // namespace mangonotch::store
