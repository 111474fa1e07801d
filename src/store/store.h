// The interface of a key-value store: reads, conditional writes (compare and swap by version),
// watches and leases.
#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/instant.h"

namespace mangonotch::store {

/// Version of a key. Increases with every change of any key; 0 means that the key does not exist.
using Version = std::uint64_t;
inline constexpr Version kAbsent = 0;
inline constexpr std::size_t kMaxValueBytes = 1 << 20;

enum class ReadStatus {
  kOk,
  kNotFound,
  kUnchanged,    // A watch ended without a change.
  kUnavailable,  // No valid response from the store.
};

struct ReadResult {
  ReadStatus status = ReadStatus::kUnavailable;
  Version version = kAbsent;  // For kNotFound from a watch, the version of the deletion.
  std::string value;
  std::string detail;  // Cause of kUnavailable.
};

enum class WriteStatus {
  kOk,
  kConflict,      // The key's version differs from the expected one; nothing was written.
  kLeaseExpired,  // The lease no longer exists; nothing was written.
  kUnavailable,   // Definitely nothing was written.
  kUnknown,       // The write may have taken effect, or may do so later; read the key to find out.
};

struct WriteResult {
  WriteStatus status = WriteStatus::kUnknown;
  Version version = kAbsent;  // The new version; for kConflict, the current one.
  std::string detail;         // Cause of kUnavailable and kUnknown.
};

/// All calls block until `deadline` at the latest and report failures of the store by their status
/// instead of by exceptions.
template <typename S>
concept Store = requires(S& store, std::string_view key, Version version, std::string_view value,
                         base::Instant deadline) {
  { store.Get(key, deadline) } -> std::same_as<ReadResult>;
  /// Writes if the current version is `version`; with kAbsent, creates the key.
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

/// A store that deletes the keys of a lease when the lease is not renewed in time.
template <typename S>
concept LeasingStore = Store<S> &&
    requires(S& store, LeaseId lease, std::string_view key, Version version, std::string_view value,
             base::Duration ttl, base::Instant deadline) {
  { store.Grant(ttl, deadline) } -> std::same_as<LeaseResult>;
  { store.Renew(lease, deadline) } -> std::same_as<WriteResult>;
  { store.PutLeased(key, version, value, lease, deadline) } -> std::same_as<WriteResult>;
};

}  // namespace mangonotch::store
