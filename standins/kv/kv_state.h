// State of the key-value stand-in: keys with versions, and leases. It reads no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/instant.h"

namespace mangonotch::standins {

class KvState {
 public:
  struct Value {
    std::string bytes;
    std::uint64_t version = 0;
  };
  struct PutResult {
    bool written = false;
    std::uint64_t version = 0;  // The new version, or on a conflict the present one.
  };

  /// The present value, or the previous one, if any, when `stale`.
  std::optional<Value> Get(std::string_view key, bool stale) const;
  /// Version of the last write or deletion of the key; 0 when it never existed.
  std::uint64_t LastChange(std::string_view key) const;
  /// Writes if the present version is `expect` (0: absent). `lease` 0 attaches no lease.
  PutResult Put(std::string_view key, std::uint64_t expect, std::string_view bytes,
                std::uint64_t lease);

  std::uint64_t Grant(base::Duration ttl, base::Instant now);
  /// Returns false when the lease has expired.
  bool Renew(std::uint64_t lease, base::Instant now);
  bool HasLease(std::uint64_t lease) const { return leases_.contains(lease); }

  /// Removes expired leases and deletes their keys; returns whether a key was deleted.
  bool Expire(base::Instant now);
  /// The earliest expiry of a lease; Never without leases.
  base::Instant NextExpiry() const;

 private:
  struct Entry {
    std::optional<Value> present;
    std::optional<Value> previous;
    std::uint64_t last_change = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    base::Instant expiry;
    base::Duration ttl;
  };

  std::map<std::string, Entry, std::less<>>
      entries_;  // Deleted keys stay, so versions never repeat.
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t last_version_ = 0;  // One sequence for all keys.
  std::uint64_t last_lease_ = 0;
};

}  // namespace mangonotch::standins
