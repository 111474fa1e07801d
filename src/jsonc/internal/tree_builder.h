// Builds the value tree from the events of nlohmann-json's SAX parser.
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
  /// `line` is the line of the character that the parser read last.
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
  struct Open {
    Value value;
    std::string name;
    int name_line = 0;
    std::set<std::string> names;
  };

  bool Begin(Value::Data data);
  bool End();
  bool Add(Value value);
  std::string Path() const;

  const int* line_;
  int max_depth_;
  FaultList* faults_;
  std::vector<Open> open_;
  Value root_;
};

}  // namespace mangonotch::jsonc::internal
