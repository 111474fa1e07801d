// Implementation of settings::EdgeSettingsWatch.
#include "settings/edge_settings_watch.h"

#include <utility>

#include "base/error.h"

namespace mangonotch::settings {

SettingsChange EdgeSettingsWatch::Check() {
  try {
    EdgeSettings next = EdgeSettings::ReadFile(path_);
    fault_.clear();
    if (next == current_) return SettingsChange::kNone;
    current_ = std::move(next);
    return SettingsChange::kChanged;
  } catch (const base::Error& ex) {
    if (fault_ == ex.what()) return SettingsChange::kNone;
    fault_ = ex.what();
    return SettingsChange::kRefused;
  }
}

}  // namespace mangonotch::settings
