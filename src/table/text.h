// The table as aligned text for an operator's terminal.
#pragma once

#include <string>

#include "table/table.h"

namespace mangonotch::table {

/// Every field of the table with its unit, and the room that follows from weights and limits.
std::string RenderText(const Table& table);

/// "2026-12-04 10:30:00 UTC"
std::string FormatUtc(std::int64_t unix_ms);

}  // namespace mangonotch::table
