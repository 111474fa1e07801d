// Logs a summary of the catalog after each change.
#pragma once

#include <string_view>

#include "catalog/catalog.h"
#include "discovery/registry.h"

namespace mangonotch::app {

/// Logs one line about `catalog`, which was taken from `registry`. `source` is the origin of the
/// change: the store or another host.
void LogCatalog(const catalog::Catalog& catalog, const discovery::Registry& registry,
                std::string_view source);

}  // namespace mangonotch::app
