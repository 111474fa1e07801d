// Implementation of app::LogCatalog and app::LogReport.
#include "app/internal/catalog_report.h"

#include <algorithm>
#include <cstdint>
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

void LogReport(const discovery::ReportDecision& decision, std::string_view sender) {
  const catalog::Target& target = decision.report.target;
  const catalog::Target* const believed = decision.believed;
  const bool is_of_host = decision.origin == discovery::ReportOrigin::kHost;
  const std::uint64_t known = believed != nullptr ? believed->report.sequence.value_or(0) : 0;
  logging::Log(logging::Level::kInfo, "target_reported",
               {{"target", target.id},
                {"draining", target.is_draining},
                {"started_at_ms", target.report.started_at_ms},
                {"sequence", target.report.sequence.value_or(0)},
                {"revision", catalog::RevisionInEra(decision.report.revision)},
                {"source", NameOf(decision.origin)},
                {"host", is_of_host ? sender : std::string_view()},
                {"verdict", NameOf(decision.verdict)},
                {"in_use", believed != nullptr && !believed->is_draining},
                {"known_sequence", known}});
}

}  // namespace mangonotch::app
