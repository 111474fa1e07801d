// Formats rows of cells in aligned columns: text to the left, numbers to the right.
#pragma once

#include <initializer_list>
#include <string>
#include <vector>

namespace mangonotch::table::internal {

class TextGrid {
 public:
  explicit TextGrid(std::vector<std::string> header) { rows_.push_back(std::move(header)); }

  void Add(std::vector<std::string> cells) { rows_.push_back(std::move(cells)); }
  /// Each line starts with `indent` spaces and ends with a line break, without trailing spaces.
  std::string Text(std::size_t indent) const;

 private:
  bool IsNumeric(std::size_t column) const;

  /// The header comes first; all rows have the same number of cells.
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace mangonotch::table::internal
