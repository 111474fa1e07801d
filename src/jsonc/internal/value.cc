// Finds members and describes values.
#include "jsonc/value.h"

#include <algorithm>
#include <utility>

#include "jsonc/print.h"

namespace mangonotch::jsonc {

Value::Value() = default;
Value::Value(Data data, int line) : data_(std::move(data)), line_(line) {}
Value::Value(const Value& other) = default;
Value::Value(Value&& other) noexcept = default;
Value& Value::operator=(const Value& other) = default;
Value& Value::operator=(Value&& other) noexcept = default;
Value::~Value() = default;

const Value* Value::Find(std::string_view name) const {
  const auto* object = std::get_if<Object>(&data_);
  if (object == nullptr) {
    return nullptr;
  }
  const auto it = std::find_if(object->begin(), object->end(),
                               [&](const Member& member) { return member.name == name; });
  return it == object->end() ? nullptr : &it->value;
}

std::string Value::Describe() const {
  if (std::holds_alternative<Array>(data_)) {
    return "an array";
  }
  if (std::holds_alternative<Object>(data_)) {
    return "an object";
  }
  return PrintCompact(*this);
}

}  // namespace mangonotch::jsonc
