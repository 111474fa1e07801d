// What the system needs of a key-value store: reads, writes against an expected version, and
// watches.
#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/instant.h"

namespace mangonotch::store {

/// Grows with every change of any key; 0 stands for an absent key.
using Version = std::uint64_t;
inline constexpr Version kAbsent = 0;
inline constexpr std::size_t kMostValueBytes = 1 << 20;

enum class ReadStatus {
  kOk,
  kNotFound,
  kUnchanged,    // A watch ended without a change.
  kUnavailable,  // No valid answer from the store.
};

struct ReadResult {
  ReadStatus status = ReadStatus::kUnavailable;
  Version version = kAbsent;  // With kNotFound from a watch: of the deletion.
  std::string value;
  std::string detail;  // Cause of kUnavailable.
};

enum class WriteStatus {
  kOk,
  kConflict,     // The key has another version than expected; nothing was written.
  kLeaseLapsed,  // The lease no longer exists; nothing was written.
  kUnavailable,  // Nothing was written, for certain.
  kUnknown,      // The write may have taken effect, now or later; read it back.
};

struct WriteResult {
  WriteStatus status = WriteStatus::kUnknown;
  Version version = kAbsent;  // The new version, or the one met by kConflict.
  std::string detail;         // Cause of kUnavailable and kUnknown.
};

/// All calls block until `deadline` at most and never throw for faults of the store.
template <typename S>
concept Store = requires(S& store, std::string_view key, Version version, std::string_view value,
                         base::Instant deadline) {
  { store.Get(key, deadline) } -> std::same_as<ReadResult>;
  /// Writes when the present version is `version`; kAbsent creates the key.
  { store.Put(key, version, value, deadline) } -> std::same_as<WriteResult>;
  /// Waits until the key has changed after `version`.
  { store.Watch(key, version, deadline) } -> std::same_as<ReadResult>;
};

struct LeaseId {
  std::uint64_t value = 0;
  auto operator<=>(const LeaseId&) const = default;
};

struct LeaseResult {
  WriteStatus status = WriteStatus::kUnknown;
  LeaseId lease;
  std::string detail;
};

/// A store that deletes keys when their lease is not renewed.
template <typename S>
concept LeasingStore = Store<S> &&
    requires(S& store, LeaseId lease, std::string_view key, Version version, std::string_view value,
             base::Duration ttl, base::Instant deadline) {
  { store.Grant(ttl, deadline) } -> std::same_as<LeaseResult>;
  { store.Renew(lease, deadline) } -> std::same_as<WriteResult>;
  { store.PutLeased(key, version, value, lease, deadline) } -> std::same_as<WriteResult>;
};

}  // namespace mangonotch::store
