// Converts SAX events to values.
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
bool TreeBuilder::start_object(std::size_t /*elements*/) { return BeginContainer(Value::Object()); }
bool TreeBuilder::end_object() { return EndContainer(); }
bool TreeBuilder::start_array(std::size_t /*elements*/) { return BeginContainer(Value::Array()); }
bool TreeBuilder::end_array() { return EndContainer(); }

bool TreeBuilder::key(std::string& name) {
  OpenContainer& container = open_containers_.back();
  container.name = std::move(name);
  container.name_line = *line_;
  if (!container.names.insert(container.name).second) {
    faults_->Add(*line_, Path(), "unique field names", "duplicate \"" + container.name + "\"");
  }
  return true;
}

bool TreeBuilder::parse_error(std::size_t /*position*/, const std::string& /*last_token*/,
                              const nlohmann::json::exception& ex) {
  // Drops the exception number and the position at the start, since the fault has its own line.
  std::string_view what = ex.what();
  const std::size_t n = what.find("column ");
  const std::size_t start = what.find(": ", n == std::string_view::npos ? 0 : n);
  if (start != std::string_view::npos) {
    what.remove_prefix(start + 2);
  }
  faults_->Add(*line_, Path(), "valid JSON with comments", what);
  return false;
}

bool TreeBuilder::BeginContainer(Value::Data data) {
  if (static_cast<int>(open_containers_.size()) >= max_depth_) {
    faults_->Add(*line_, "", "nesting of at most " + std::to_string(max_depth_), "deeper nesting");
    return false;
  }
  open_containers_.push_back({Value(std::move(data), *line_), {}, 0, {}});
  return true;
}

bool TreeBuilder::EndContainer() {
  Value value = std::move(open_containers_.back().value);
  open_containers_.pop_back();
  return Add(std::move(value));
}

bool TreeBuilder::Add(Value value) {
  if (open_containers_.empty()) {
    root_ = std::move(value);
    return true;
  }
  OpenContainer& container = open_containers_.back();
  if (auto* array = std::get_if<Value::Array>(&container.value.data())) {
    array->push_back(std::move(value));
  } else {
    std::get<Value::Object>(container.value.data())
        .push_back({container.name, container.name_line, std::move(value)});
  }
  return true;
}

std::string TreeBuilder::Path() const {
  std::string path;
  for (const OpenContainer& container : open_containers_) {
    if (const auto* array = std::get_if<Value::Array>(&container.value.data())) {
      path += '[' + std::to_string(array->size()) + ']';
    } else if (!container.name.empty()) {
      path += (path.empty() ? "" : ".") + container.name;
    }
  }
  return path;
}

}  // namespace mangonotch::jsonc::internal
