// Implementation of app::LogCatalog.
#include "app/internal/catalog_report.h"

#include <algorithm>
#include <string>

#include "logging/log.h"

namespace mangonotch::app {

void LogCatalog(const catalog::Catalog& catalog, const discovery::Registry& registry,
                std::string_view source) {
  const std::uint64_t version = catalog.configuration ? catalog.configuration->version : 0;
  const auto draining = std::count_if(catalog.targets.begin(), catalog.targets.end(),
                                      [](const catalog::Target& it) { return it.is_draining; });
  std::string evacuated;
  for (const std::string& it : catalog.evacuated_zones) {
    evacuated += (evacuated.empty() ? "" : ",") + it;
  }
  logging::Log(logging::Level::kInfo, "catalog_changed",
               {{"configuration", version},
                {"targets", catalog.targets.size()},
                {"draining", draining},
                {"evacuated", evacuated},
                {"source", source},
                {"era", registry.era()},
                {"operator_revision", catalog::RevisionInEra(registry.applied().operator_records)},
                {"targets_revision", catalog::RevisionInEra(registry.applied().targets)}});
}

}  // namespace mangonotch::app
