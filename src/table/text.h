// Formats the table as aligned text for an operator's terminal.
#pragma once

#include <string>

#include "table/table.h"

namespace mangonotch::table {

/// Shows every field of the table with its unit, and the capacity under weights and limits.
std::string RenderText(const Table& table);

/// Formats a time such as "2026-12-04 10:30:00 UTC"; times before 1970 as 1970-01-01.
std::string FormatUtc(std::int64_t unix_ms);

}  // namespace mangonotch::table
