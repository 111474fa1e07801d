// Logs a summary of the catalog after each change, and what the host makes of targets' reports.
#pragma once

#include <string_view>

#include "catalog/catalog.h"
#include "discovery/registry.h"
#include "discovery/report_decision.h"

namespace mangonotch::app {

/// Logs one line about `catalog`, which was taken from `registry`. `source` is the origin of the
/// change: the store or another host.
void LogCatalog(const catalog::Catalog& catalog, const discovery::Registry& registry,
                std::string_view source);

/// Logs one line. `sender` is the host that has sent the report, if another host has.
void LogReport(const discovery::ReportDecision& decision, std::string_view sender);

}  // namespace mangonotch::app
