// The log line that tells what a change of the catalog brought.
#pragma once

#include <string_view>

#include "catalog/catalog.h"

namespace mangonotch::app {

/// `source` names where the change came from: the store or another host.
void ReportCatalog(const catalog::Catalog& catalog, std::string_view source);

}  // namespace mangonotch::app
