// Notices changes of the settings file of an entry host: the platform may rewrite it without a
// signal.
#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include "settings/edge_settings.h"

namespace mangonotch::settings {

enum class SettingsChange : std::uint8_t {
  kNone,
  kChanged,
  /// The file cannot be read or has faults; the settings before it stay in force.
  kRefused,
};

class EdgeSettingsWatch {
 public:
  /// `current` is what the file at `path` held when it was read last.
  EdgeSettingsWatch(std::string path, EdgeSettings current)
      : path_(std::move(path)), current_(std::move(current)) {}

  /// Reads the file. A file that stays faulty in the same way is refused once.
  SettingsChange Check();

  const EdgeSettings& current() const { return current_; }
  /// Why the file was refused last; empty while it is valid.
  const std::string& fault() const { return fault_; }

 private:
  std::string path_;
  EdgeSettings current_;
  std::string fault_;
};

}  // namespace mangonotch::settings
