// Computes column widths and alignment.
#include "table/internal/text_grid.h"

#include <algorithm>
#include <string_view>

namespace mangonotch::table::internal {

namespace {

/// Number of characters in a UTF-8 text: its bytes except continuation bytes.
std::size_t Width(std::string_view text) {
  return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char c) {
    return (static_cast<unsigned char>(c) & 0xc0U) != 0x80U;
  }));
}

}  // namespace

std::string TextGrid::Text(std::size_t indent) const {
  std::vector<std::size_t> widths(rows_.front().size(), 0);
  for (const auto& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], Width(row[i]));
    }
  }
  std::string text;
  for (const auto& row : rows_) {
    std::string line(indent, ' ');
    for (std::size_t i = 0; i < row.size(); ++i) {
      const std::string padding(widths[i] - Width(row[i]), ' ');
      line += IsNumeric(i) ? padding + row[i] : row[i] + padding;
      line += "  ";
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + '\n';
  }
  return text;
}

bool TextGrid::IsNumeric(std::size_t column) const {
  return std::all_of(rows_.begin() + 1, rows_.end(), [&](const std::vector<std::string>& row) {
    return row[column].find_first_not_of("0123456789.") == std::string::npos;
  });
}

}  // namespace mangonotch::table::internal
