// Guards against header values that crash a traffic thread, and against more than one accepted text
// for the same ticket.
// fuzz: -runs=500000 -max_len=200
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <variant>

#include "ticket/ticket.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto parsed = mangonotch::ticket::Parse(text);
  const auto* ticket = std::get_if<mangonotch::ticket::Ticket>(&parsed);
  if (ticket != nullptr && mangonotch::ticket::Format(*ticket) != text) {
    std::abort();
  }
  return 0;
}
