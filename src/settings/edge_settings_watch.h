// Detects changes of the settings file of an entry host, since the platform may rewrite the file
// without sending a signal.
#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include "settings/edge_settings.h"

namespace mangonotch::settings {

enum class SettingsChange : std::uint8_t {
  kNone,
  kChanged,
  /// The file cannot be read or is invalid; the previous settings stay in force.
  kRefused,
};

class EdgeSettingsWatch {
 public:
  /// `current` holds the settings that were last read from the file at `path`.
  EdgeSettingsWatch(std::string path, EdgeSettings current)
      : path_(std::move(path)), current_(std::move(current)) {}

  /// Reads the file. Returns kRefused only once for an error that persists.
  SettingsChange Check();

  const EdgeSettings& current() const { return current_; }
  /// Error of the last check; empty while the file is valid.
  const std::string& fault() const { return fault_; }

 private:
  std::string path_;
  EdgeSettings current_;
  std::string fault_;
};

}  // namespace mangonotch::settings
