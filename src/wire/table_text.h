// The operators' table as peers hand it to each other: its text, unparsed.
#pragma once

#include <string>

#include "base/ids.h"

namespace mangonotch::wire {

struct TableText {
  /// 0 when the peer has no table.
  base::Revision revision = 0;
  std::string text;

  bool operator==(const TableText&) const = default;
};

}  // namespace mangonotch::wire
