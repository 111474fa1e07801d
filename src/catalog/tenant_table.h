// Finds the tenant that holds an API key.
#pragma once

#include <cstring>
#include <memory>
#include <unordered_map>

#include "catalog/catalog.h"

namespace mangonotch::catalog {

class TenantTable {
 public:
  TenantTable() = default;
  explicit TenantTable(std::shared_ptr<const Configuration> configuration);

  /// False if the deployment has no tenants, in which case requests need no key.
  bool HasTenants() const { return configuration_ && !configuration_->tenants.empty(); }
  /// Returns null when no tenant holds the key. The tenant lives as long as the configuration.
  const Tenant* Find(const KeyDigest& key) const;
  /// Priority of requests without a tenant: after those of all tenants.
  std::uint32_t anonymous_priority() const { return anonymous_priority_; }

 private:
  struct DigestHash {
    /// A digest is evenly distributed, so that a part of it serves as its hash.
    std::size_t operator()(const KeyDigest& key) const {
      std::size_t n = 0;
      std::memcpy(&n, key.data(), sizeof(n));
      return n;
    }
  };

  std::shared_ptr<const Configuration> configuration_;
  std::unordered_map<KeyDigest, const Tenant*, DigestHash> tenants_;
  std::uint32_t anonymous_priority_ = 0;
};

}  // namespace mangonotch::catalog
