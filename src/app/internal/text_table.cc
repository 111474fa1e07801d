// Implementation of app::TextTable.
#include "app/internal/text_table.h"

#include <algorithm>

namespace mangonotch::app {

std::string TextTable::Render() const {
  std::vector<std::size_t> widths(rows_.front().size(), 0);
  for (const auto& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string out;
  for (const auto& row : rows_) {
    std::string line = " ";
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += " " + row[i] + std::string(widths[i] - row[i].size() + 1, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out += line + "\n";
  }
  return out;
}

}  // namespace mangonotch::app
