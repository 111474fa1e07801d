// Index of the tenants by the digests of their keys.
#include "catalog/tenant_table.h"

#include <algorithm>

namespace mangonotch::catalog {

TenantTable::TenantTable(std::shared_ptr<const Configuration> configuration)
    : configuration_(std::move(configuration)) {
  if (!configuration_) return;
  for (const Tenant& it : configuration_->tenants) {
    for (const KeyDigest& key : it.keys) tenants_.emplace(key, &it);
    anonymous_priority_ = std::max(anonymous_priority_, it.priority);
  }
}

const Tenant* TenantTable::Find(const KeyDigest& key) const {
  const auto entry = tenants_.find(key);
  return entry == tenants_.end() ? nullptr : entry->second;
}

}  // namespace mangonotch::catalog
