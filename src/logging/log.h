// Structured log lines on standard error: time, level, event, key=value. Lines report changes of
// state; events of single requests are counted in metrics. Request bodies are never logged.
#pragma once

#include <concepts>
#include <initializer_list>
#include <iosfwd>
#include <string>
#include <string_view>

#include "logging/level.h"

namespace mangonotch::logging {

/// Longer values are truncated, so that an error message cannot put a request body into the log.
inline constexpr std::size_t kMaxValueBytes = 256;

/// One key=value pair of a line.
class Field {
 public:
  // Implicit, to allow calls such as Log(..., {{"revision", 7}, {"source", "store"}}).
  Field(std::string_view key, std::string_view value) : key_(key), value_(value) {}
  Field(std::string_view key, const char* value) : key_(key), value_(value) {}
  Field(std::string_view key, const std::string& value) : key_(key), value_(value) {}
  Field(std::string_view key, bool value) : key_(key), value_(value ? "true" : "false") {}
  template <std::integral T>
  Field(std::string_view key, T value) : key_(key), value_(std::to_string(value)) {}

  std::string_view key() const { return key_; }
  std::string_view value() const { return value_; }

 private:
  std::string_view key_;
  std::string value_;
};

/// Writes lines of level `minimum` or higher to `out`, which must outlive all logging. Replaces the
/// configuration of an earlier call. Must be called before other threads log.
void SetUp(Level minimum, std::ostream& out);

/// As above, but writes to standard error.
void SetUp(Level minimum);

/// Writes one line. `event` is a fixed name such as `table_accepted`. Thread-safe.
void Log(Level level, std::string_view event, std::initializer_list<Field> fields = {});

/// Writes one line of level info if `before` differs from `after`.
void LogChange(std::string_view event, std::string_view before, std::string_view after,
               std::initializer_list<Field> fields = {});

}  // namespace mangonotch::logging
