// Formats rows of text as aligned columns for a terminal.
#pragma once

#include <string>
#include <vector>

namespace mangonotch::app {

class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header) : rows_{std::move(header)} {}

  /// `row` must have as many cells as the header.
  void AddRow(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
  std::string Render() const;

 private:
  std::vector<std::vector<std::string>> rows_;  // The first row is the header.
};

}  // namespace mangonotch::app
