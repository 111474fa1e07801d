// A parsed JSON value with its line number, so that checks made after parsing can refer to a line
// of the operator's file.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mangonotch::jsonc {

struct Member;

class Value {
 public:
  using Array = std::vector<Value>;
  /// Members in file order. Names are unique in a value that `Parse` returned.
  using Object = std::vector<Member>;
  using Data = std::variant<std::nullptr_t, bool, std::int64_t, double, std::string, Array, Object>;

  // Defined in value.cc because Member is incomplete here.
  Value();
  explicit Value(Data data, int line = 0);
  Value(const Value& other);
  Value(Value&& other) noexcept;
  Value& operator=(const Value& other);
  Value& operator=(Value&& other) noexcept;
  ~Value();

  const Data& data() const { return data_; }
  Data& data() { return data_; }
  /// Line of the file, counted from 1; 0 for a value that was not parsed.
  int line() const { return line_; }

  /// Finds a member. Null when this is not an object or has no such member.
  const Value* Find(std::string_view name) const;
  /// A short description for fault messages: `"text"`, `12`, `an object`.
  std::string Describe() const;

 private:
  Data data_;
  int line_ = 0;
};

struct Member {
  std::string name;
  int line = 0;
  Value value;
};

}  // namespace mangonotch::jsonc
