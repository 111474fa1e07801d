// Reads the fields of a JSON object and checks their types and ranges. Faults are collected instead
// of thrown: for an invalid field a reader returns a placeholder value and continues.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "jsonc/fault.h"
#include "jsonc/value.h"

namespace mangonotch::jsonc {

struct IntegerRange {
  std::int64_t min = 0;
  std::int64_t max = std::numeric_limits<std::int64_t>::max();
  /// Printed after the range: "ms", "bytes". Empty for a plain count.
  std::string_view unit = "";
};

/// An element of an array of strings, with its position for later checks.
struct StringItem {
  std::string text;
  int line = 0;
  std::string path;
};

/// A member of an object that maps names to integers.
struct IntegerItem {
  std::string name;
  std::int64_t value = 0;
  int line = 0;
  std::string path;
};

class Reader {
 public:
  /// Both references must outlive the reader. `path` is empty for the root.
  Reader(const Value& value, std::string_view path, FaultList& faults);

  // Required fields. A missing one is a fault.
  std::string String(std::string_view field);
  std::int64_t Integer(std::string_view field, const IntegerRange& range);
  bool Boolean(std::string_view field);
  Reader Object(std::string_view field);
  std::vector<Reader> Objects(std::string_view field);
  std::vector<StringItem> Strings(std::string_view field);
  /// Reads an object whose members are all integers in the range.
  std::vector<IntegerItem> Integers(std::string_view field, const IntegerRange& range);

  // Optional fields. A missing one yields the fallback, or an empty result.
  std::string StringOr(std::string_view field, std::string_view fallback);
  std::int64_t IntegerOr(std::string_view field, const IntegerRange& range, std::int64_t fallback);
  bool BooleanOr(std::string_view field, bool fallback);
  std::optional<Reader> ObjectIfAny(std::string_view field);
  std::vector<Reader> ObjectsIfAny(std::string_view field);
  std::vector<StringItem> StringsIfAny(std::string_view field);

  /// Reports a fault for each member that was not read. Call it after all fields are read.
  void RefuseUnknownFields();

  /// Reports a fault of a field, or of the whole object when `field` is empty.
  void AddFault(std::string_view field, std::string_view expected, std::string_view found);

  bool Has(std::string_view field) const { return value_->Find(field) != nullptr; }
  int LineOf(std::string_view field) const;
  std::string PathOf(std::string_view field) const;

 private:
  /// Finds the member, or null, and marks the field as known.
  const Value* FindAndMarkKnown(std::string_view field);
  /// Like FindAndMarkKnown, and reports a fault when the member is missing.
  const Value* Require(std::string_view field, std::string_view expected);
  template <typename T>
  const T* CheckedType(std::string_view field, const Value& value, std::string_view expected);
  std::int64_t CheckedInteger(std::string_view path, const Value& value, const IntegerRange& range);

  const Value* value_;
  std::string path_;
  FaultList* faults_;
  std::set<std::string, std::less<>> known_;
};

}  // namespace mangonotch::jsonc
