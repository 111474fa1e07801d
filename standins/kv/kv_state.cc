// State of the key-value stand-in.
#include "standins/kv/kv_state.h"

#include <algorithm>

namespace mangonotch::standins {

std::optional<KvState::Value> KvState::Get(std::string_view key, bool stale) const {
  const auto it = entries_.find(key);
  if (it == entries_.end()) {
    return std::nullopt;
  }
  const Entry& entry = it->second;
  return stale && entry.previous ? entry.previous : entry.present;
}

std::uint64_t KvState::LastChange(std::string_view key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? 0 : it->second.last_change;
}

KvState::PutResult KvState::Put(std::string_view key, std::uint64_t expect, std::string_view bytes,
                                std::uint64_t lease) {
  Entry& entry = entries_[std::string(key)];
  const std::uint64_t version = entry.present ? entry.present->version : 0;
  if (version != expect) {
    return {false, version};
  }
  ++last_version_;
  entry.previous = std::move(entry.present);
  entry.present = Value{std::string(bytes), last_version_};
  entry.last_change = last_version_;
  entry.lease = lease;
  return {true, last_version_};
}

std::uint64_t KvState::Grant(base::Duration ttl, base::Instant now) {
  leases_[++last_lease_] = {now + ttl, ttl};
  return last_lease_;
}

bool KvState::Renew(std::uint64_t lease, base::Instant now) {
  const auto it = leases_.find(lease);
  if (it == leases_.end()) {
    return false;
  }
  it->second.expiry = now + it->second.ttl;
  return true;
}

bool KvState::Expire(base::Instant now) {
  bool deleted = false;
  std::erase_if(leases_, [&](const auto& lease) {
    if (now < lease.second.expiry) {
      return false;
    }
    for (auto& [key, entry] : entries_) {
      if (entry.lease == lease.first && entry.present) {
        entry.previous = std::move(entry.present);
        entry.present.reset();
        entry.last_change = ++last_version_;
        deleted = true;
      }
    }
    return true;
  });
  return deleted;
}

base::Instant KvState::NextExpiry() const {
  base::Instant next = base::Instant::Never();
  for (const auto& [id, lease] : leases_) {
    next = std::min(next, lease.expiry);
  }
  return next;
}

}  // namespace mangonotch::standins
