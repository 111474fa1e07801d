// Aligned columns for an operator's terminal.
#pragma once

#include <string>
#include <vector>

namespace mangonotch::app {

class TextTable {
 public:
  explicit TextTable(std::vector<std::string> head) : rows_{std::move(head)} {}

  /// `row` has as many cells as the head.
  void AddRow(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
  std::string Render() const;

 private:
  std::vector<std::vector<std::string>> rows_;  // The first is the head.
};

}  // namespace mangonotch::app
