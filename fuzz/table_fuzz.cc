// Guards against stored tables that crash a host, and against tables that change when a host
// forwards them and another host parses them.
// fuzz: -runs=15000 -max_len=4000
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "jsonc/fault.h"
#include "table/table.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using mangonotch::table::Table;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  Table table;
  try {
    table = Table::Parse(text, "input");
  } catch (const mangonotch::jsonc::FaultError&) {
    return 0;
  }
  // A parse error in the serialized table is a finding, so it is not caught.
  if (Table::Parse(table.ToJson(), "printed") != table) {
    std::abort();
  }
  return 0;
}
