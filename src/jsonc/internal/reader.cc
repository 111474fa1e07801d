// Reads and checks typed fields.
#include "jsonc/reader.h"

#include <utility>

namespace mangonotch::jsonc {
namespace {

/// Stands in for an object that is missing or of another type.
const Value& MissingObject() {
  static const Value value{Value::Object()};
  return value;
}

std::string RangeText(const IntegerRange& range) {
  std::string text = "an integer from " + std::to_string(range.min);
  text += range.max == std::numeric_limits<std::int64_t>::max()
              ? " up"
              : " to " + std::to_string(range.max);
  if (!range.unit.empty()) {
    text += " (" + std::string(range.unit) + ")";
  }
  return text;
}

std::string ItemPath(const std::string& path, std::size_t n) {
  return path + '[' + std::to_string(n) + ']';
}

}  // namespace

Reader::Reader(const Value& value, std::string_view path, FaultList& faults)
    : value_(&value), path_(path), faults_(&faults) {
  if (!std::holds_alternative<Value::Object>(value.data())) {
    faults.Add(value.line(), path_, "an object", value.Describe());
    value_ = &MissingObject();
  }
}

std::string Reader::String(std::string_view field) {
  const Value* value = Require(field, "a string");
  const auto* text =
      value == nullptr ? nullptr : CheckedType<std::string>(field, *value, "a string");
  return text == nullptr ? std::string() : *text;
}

std::string Reader::StringOr(std::string_view field, std::string_view fallback) {
  return Has(field) ? String(field) : (FindAndMarkKnown(field), std::string(fallback));
}

std::int64_t Reader::Integer(std::string_view field, const IntegerRange& range) {
  const Value* value = Require(field, RangeText(range));
  return value == nullptr ? range.min : CheckedInteger(PathOf(field), *value, range);
}

std::int64_t Reader::IntegerOr(std::string_view field, const IntegerRange& range,
                               std::int64_t fallback) {
  return Has(field) ? Integer(field, range) : (FindAndMarkKnown(field), fallback);
}

bool Reader::Boolean(std::string_view field) {
  const Value* value = Require(field, "true or false");
  const auto* flag = value == nullptr ? nullptr : CheckedType<bool>(field, *value, "true or false");
  return flag != nullptr && *flag;
}

bool Reader::BooleanOr(std::string_view field, bool fallback) {
  return Has(field) ? Boolean(field) : (FindAndMarkKnown(field), fallback);
}

Reader Reader::Object(std::string_view field) {
  const Value* value = Require(field, "an object");
  return {value == nullptr ? MissingObject() : *value, PathOf(field), *faults_};
}

std::optional<Reader> Reader::ObjectIfAny(std::string_view field) {
  FindAndMarkKnown(field);
  return Has(field) ? std::optional(Object(field)) : std::nullopt;
}

std::vector<Reader> Reader::Objects(std::string_view field) {
  std::vector<Reader> readers;
  const Value* value = Require(field, "an array of objects");
  const auto* array =
      value == nullptr ? nullptr : CheckedType<Value::Array>(field, *value, "an array of objects");
  if (array != nullptr) {
    for (const Value& item : *array) {
      readers.emplace_back(item, ItemPath(PathOf(field), readers.size()), *faults_);
    }
  }
  return readers;
}

std::vector<Reader> Reader::ObjectsIfAny(std::string_view field) {
  FindAndMarkKnown(field);
  return Has(field) ? Objects(field) : std::vector<Reader>();
}

std::vector<StringItem> Reader::Strings(std::string_view field) {
  std::vector<StringItem> items;
  const Value* value = Require(field, "an array of strings");
  const auto* array =
      value == nullptr ? nullptr : CheckedType<Value::Array>(field, *value, "an array of strings");
  if (array == nullptr) {
    return items;
  }
  std::size_t n = 0;
  for (const Value& item : *array) {
    std::string path = ItemPath(PathOf(field), n++);
    if (const auto* text = std::get_if<std::string>(&item.data())) {
      items.push_back({*text, item.line(), std::move(path)});
    } else {
      faults_->Add(item.line(), path, "a string", item.Describe());
    }
  }
  return items;
}

std::vector<StringItem> Reader::StringsIfAny(std::string_view field) {
  FindAndMarkKnown(field);
  return Has(field) ? Strings(field) : std::vector<StringItem>();
}

std::vector<IntegerItem> Reader::Integers(std::string_view field, const IntegerRange& range) {
  std::vector<IntegerItem> items;
  const Value* value = Require(field, "an object of integers");
  const auto* object = value == nullptr
                           ? nullptr
                           : CheckedType<Value::Object>(field, *value, "an object of integers");
  if (object == nullptr) {
    return items;
  }
  for (const Member& member : *object) {
    std::string path = PathOf(field) + '.' + member.name;
    const std::int64_t n = CheckedInteger(path, member.value, range);
    items.push_back({member.name, n, member.line, std::move(path)});
  }
  return items;
}

void Reader::RefuseUnknownFields() {
  for (const Member& member : std::get<Value::Object>(value_->data())) {
    if (known_.find(member.name) == known_.end()) {
      std::string names;
      for (const std::string& name : known_) {
        names += (names.empty() ? "" : ", ") + name;
      }
      faults_->Add(member.line, PathOf(member.name), "one of the fields " + names,
                   "an unknown field");
    }
  }
}

void Reader::AddFault(std::string_view field, std::string_view expected, std::string_view found) {
  faults_->Add(LineOf(field), field.empty() ? path_ : PathOf(field), expected, found);
}

int Reader::LineOf(std::string_view field) const {
  const Value* value = field.empty() ? nullptr : value_->Find(field);
  return value == nullptr ? value_->line() : value->line();
}

std::string Reader::PathOf(std::string_view field) const {
  return path_.empty() ? std::string(field) : path_ + '.' + std::string(field);
}

const Value* Reader::FindAndMarkKnown(std::string_view field) {
  known_.emplace(field);
  return value_->Find(field);
}

const Value* Reader::Require(std::string_view field, std::string_view expected) {
  const Value* value = FindAndMarkKnown(field);
  // Nothing is reported for the fields of a missing object, since its fault is already listed.
  if (value == nullptr && value_ != &MissingObject()) {
    faults_->Add(value_->line(), PathOf(field), expected, "nothing");
  }
  return value;
}

template <typename T>
const T* Reader::CheckedType(std::string_view field, const Value& value,
                             std::string_view expected) {
  const T* data = std::get_if<T>(&value.data());
  if (data == nullptr) {
    faults_->Add(value.line(), PathOf(field), expected, value.Describe());
  }
  return data;
}

std::int64_t Reader::CheckedInteger(std::string_view path, const Value& value,
                                    const IntegerRange& range) {
  const auto* n = std::get_if<std::int64_t>(&value.data());
  if (n == nullptr || *n < range.min || *n > range.max) {
    faults_->Add(value.line(), path, RangeText(range), value.Describe());
    return range.min;
  }
  return *n;
}

}  // namespace mangonotch::jsonc
