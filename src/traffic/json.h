// Short constructors for JSON values that handlers answer with.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "jsonc/value.h"

namespace mangonotch::traffic {

inline jsonc::Value Text(std::string_view text) { return jsonc::Value(std::string(text)); }
inline jsonc::Value Number(std::uint64_t n) {
  return jsonc::Value(jsonc::Value::Data(static_cast<std::int64_t>(n)));
}
inline jsonc::Value Flag(bool flag) { return jsonc::Value(jsonc::Value::Data(flag)); }
inline jsonc::Member Field(std::string_view name, jsonc::Value value) {
  return {std::string(name), 0, std::move(value)};
}

}  // namespace mangonotch::traffic
