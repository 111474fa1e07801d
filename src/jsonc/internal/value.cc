// Look-up and description of values.
#include "jsonc/value.h"

#include <algorithm>

#include "jsonc/print.h"

namespace mangonotch::jsonc {

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
