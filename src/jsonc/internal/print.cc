// Formats values as JSON.
#include "jsonc/print.h"

#include <cstddef>
#include <nlohmann/json.hpp>

namespace mangonotch::jsonc {
namespace {

// Wide enough for a target entry of the table.
constexpr std::size_t kLineWidth = 120;
constexpr std::size_t kIndent = 2;

std::string Dump(const nlohmann::json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string Scalar(const Value::Data& data) {
  if (const auto* text = std::get_if<std::string>(&data)) {
    return Dump(*text);
  }
  if (const auto* n = std::get_if<std::int64_t>(&data)) {
    return std::to_string(*n);
  }
  if (const auto* number = std::get_if<double>(&data)) {
    return Dump(*number);
  }
  if (const auto* flag = std::get_if<bool>(&data)) {
    return *flag ? "true" : "false";
  }
  return "null";
}

void AppendCompact(const Value& value, std::string& out) {
  if (const auto* array = std::get_if<Value::Array>(&value.data())) {
    out += '[';
    for (std::size_t i = 0; i < array->size(); ++i) {
      out += i == 0 ? "" : ", ";
      AppendCompact((*array)[i], out);
    }
    out += ']';
  } else if (const auto* object = std::get_if<Value::Object>(&value.data())) {
    out += '{';
    for (std::size_t i = 0; i < object->size(); ++i) {
      out += i == 0 ? "" : ", ";
      out += Dump((*object)[i].name) + ": ";
      AppendCompact((*object)[i].value, out);
    }
    out += '}';
  } else {
    out += Scalar(value.data());
  }
}

void Append(const Value& value, std::size_t indent, std::size_t used, std::string& out) {
  std::string compact;
  AppendCompact(value, compact);
  const auto* array = std::get_if<Value::Array>(&value.data());
  const auto* object = std::get_if<Value::Object>(&value.data());
  if ((array == nullptr && object == nullptr) || used + compact.size() <= kLineWidth) {
    out += compact;
    return;
  }
  const std::string margin(indent + kIndent, ' ');
  const std::size_t n = array != nullptr ? array->size() : object->size();
  out += array != nullptr ? "[\n" : "{\n";
  for (std::size_t i = 0; i < n; ++i) {
    const std::string name = array != nullptr ? "" : Dump((*object)[i].name) + ": ";
    out += margin + name;
    Append(array != nullptr ? (*array)[i] : (*object)[i].value, indent + kIndent,
           margin.size() + name.size() + 1, out);
    out += i + 1 < n ? ",\n" : "\n";
  }
  out += std::string(indent, ' ') + (array != nullptr ? "]" : "}");
}

}  // namespace

std::string Print(const Value& value) {
  std::string out;
  Append(value, 0, 0, out);
  out += '\n';
  return out;
}

std::string PrintCompact(const Value& value) {
  std::string out;
  AppendCompact(value, out);
  return out;
}

}  // namespace mangonotch::jsonc
