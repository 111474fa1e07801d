// Builds a value tree from the events of nlohmann-json's SAX parser.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "jsonc/fault.h"
#include "jsonc/value.h"

namespace mangonotch::jsonc::internal {

class TreeBuilder : public nlohmann::json_sax<nlohmann::json> {
 public:
  /// `line` holds the line of the last character read by the parser. It and `faults` must outlive
  /// the builder.
  TreeBuilder(const int* line, int max_depth, FaultList* faults)
      : line_(line), max_depth_(max_depth), faults_(faults) {}

  bool null() override;
  bool boolean(bool value) override;
  bool number_integer(std::int64_t value) override;
  bool number_unsigned(std::uint64_t value) override;
  bool number_float(double value, const std::string& text) override;
  bool string(std::string& value) override;
  bool binary(nlohmann::json::binary_t& value) override;
  bool start_object(std::size_t elements) override;
  bool key(std::string& name) override;
  bool end_object() override;
  bool start_array(std::size_t elements) override;
  bool end_array() override;
  bool parse_error(std::size_t position, const std::string& last_token,
                   const nlohmann::json::exception& ex) override;

  Value TakeRoot() { return std::move(root_); }

 private:
  /// An array or object whose end has not been read yet.
  struct OpenContainer {
    Value value;
    /// The last member name read in an object, with its line.
    std::string name;
    int name_line = 0;
    /// All member names read so far.
    std::set<std::string> names;
  };

  bool BeginContainer(Value::Data data);
  bool EndContainer();
  bool Add(Value value);
  /// Path of the value or member being read.
  std::string Path() const;

  const int* line_;
  int max_depth_;
  FaultList* faults_;
  /// From the root to the innermost container.
  std::vector<OpenContainer> open_containers_;
  Value root_;
};

}  // namespace mangonotch::jsonc::internal
