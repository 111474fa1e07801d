// Structured log lines on standard error: time, level, event, key=value. Lines are for changes of
// state; whatever happens per request is a counter. Bodies of requests never go into a line.
#pragma once

#include <concepts>
#include <initializer_list>
#include <iosfwd>
#include <string>
#include <string_view>

#include "logging/level.h"

namespace mangonotch::logging {

/// Longer values are cut, so that no body gets into the log by way of an error text.
inline constexpr std::size_t kMaxValueBytes = 256;

/// One key=value pair of a line.
class Field {
 public:
  // Implicit, so that a line reads as Log(..., {{"revision", 7}, {"source", "store"}}).
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

/// Sends lines of at least `minimum` to `out`, which must outlive all logging. Replaces an earlier
/// set-up. Call it before other threads log.
void SetUp(Level minimum, std::ostream& out);

/// As above, to standard error.
void SetUp(Level minimum);

/// Writes one line. `event` is a fixed word such as `table_accepted`. Safe from every thread.
void Log(Level level, std::string_view event, std::initializer_list<Field> fields = {});

/// Writes one line of level info when the state changed, and none when `before` equals `after`.
void LogChange(std::string_view event, std::string_view before, std::string_view after,
               std::initializer_list<Field> fields = {});

}  // namespace mangonotch::logging
