// Index of the tenants by the digests of their keys.
#include "catalog/tenant_table.h"

#include <algorithm>
#include <limits>

namespace mangonotch::catalog {
namespace {

constexpr std::uint32_t kLowestPriority = std::numeric_limits<std::uint32_t>::max();

}  // namespace

TenantTable::TenantTable(std::shared_ptr<const Configuration> configuration)
    : configuration_(std::move(configuration)) {
  if (!configuration_) return;
  for (const Tenant& it : configuration_->tenants) {
    for (const KeyDigest& key : it.keys) tenants_.emplace(key, &it);
    const std::uint32_t after = it.priority == kLowestPriority ? it.priority : it.priority + 1;
    anonymous_priority_ = std::max(anonymous_priority_, after);
  }
}

const Tenant* TenantTable::Find(const KeyDigest& key) const {
  const auto entry = tenants_.find(key);
  return entry == tenants_.end() ? nullptr : entry->second;
}

}  // namespace mangonotch::catalog
