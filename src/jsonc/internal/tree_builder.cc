// SAX events to values.
#include "jsonc/internal/tree_builder.h"

#include <limits>
#include <string_view>
#include <utility>

namespace mangonotch::jsonc::internal {

bool TreeBuilder::null() { return Add(Value(nullptr, *line_)); }
bool TreeBuilder::boolean(bool value) { return Add(Value(value, *line_)); }
bool TreeBuilder::number_integer(std::int64_t value) { return Add(Value(value, *line_)); }

bool TreeBuilder::number_unsigned(std::uint64_t value) {
  if (value > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
    return Add(Value(static_cast<double>(value), *line_));
  }
  return Add(Value(static_cast<std::int64_t>(value), *line_));
}

bool TreeBuilder::number_float(double value, const std::string& /*text*/) {
  return Add(Value(value, *line_));
}

bool TreeBuilder::string(std::string& value) { return Add(Value(std::move(value), *line_)); }
bool TreeBuilder::binary(nlohmann::json::binary_t& /*value*/) { return false; }
bool TreeBuilder::start_object(std::size_t /*elements*/) { return Begin(Value::Object()); }
bool TreeBuilder::end_object() { return End(); }
bool TreeBuilder::start_array(std::size_t /*elements*/) { return Begin(Value::Array()); }
bool TreeBuilder::end_array() { return End(); }

bool TreeBuilder::key(std::string& name) {
  Open& open = open_.back();
  open.name = std::move(name);
  open.name_line = *line_;
  if (!open.names.insert(open.name).second) {
    faults_->Add(*line_, Path(), "each field once", "a second \"" + open.name + "\"");
  }
  return true;
}

bool TreeBuilder::parse_error(std::size_t /*position*/, const std::string& /*last_token*/,
                              const nlohmann::json::exception& ex) {
  // The text starts with the exception's number and a byte position; the line replaces both.
  std::string_view what = ex.what();
  const std::size_t n = what.find("column ");
  const std::size_t start = what.find(": ", n == std::string_view::npos ? 0 : n);
  if (start != std::string_view::npos) {
    what.remove_prefix(start + 2);
  }
  faults_->Add(*line_, Path(), "valid JSON with comments", what);
  return false;
}

bool TreeBuilder::Begin(Value::Data data) {
  if (static_cast<int>(open_.size()) >= max_depth_) {
    faults_->Add(*line_, "", "nesting of at most " + std::to_string(max_depth_), "deeper nesting");
    return false;
  }
  open_.push_back({Value(std::move(data), *line_), {}, 0, {}});
  return true;
}

bool TreeBuilder::End() {
  Value value = std::move(open_.back().value);
  open_.pop_back();
  return Add(std::move(value));
}

bool TreeBuilder::Add(Value value) {
  if (open_.empty()) {
    root_ = std::move(value);
    return true;
  }
  Open& open = open_.back();
  if (auto* array = std::get_if<Value::Array>(&open.value.data())) {
    array->push_back(std::move(value));
  } else {
    std::get<Value::Object>(open.value.data())
        .push_back({open.name, open.name_line, std::move(value)});
  }
  return true;
}

std::string TreeBuilder::Path() const {
  std::string path;
  for (const Open& open : open_) {
    if (const auto* array = std::get_if<Value::Array>(&open.value.data())) {
      path += '[' + std::to_string(array->size()) + ']';
    } else if (!open.name.empty()) {
      path += (path.empty() ? "" : ".") + open.name;
    }
  }
  return path;
}

}  // namespace mangonotch::jsonc::internal
