// Guards against stored values that crash a coordinator, and against records that change when they
// are encoded and decoded again.
// fuzz: -runs=40000 -max_len=2000
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "wire/decode_error.h"
#include "wire/region_record_json.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  try {
    const auto record = mangonotch::wire::DecodeRecord(text);
    if (mangonotch::wire::DecodeRecord(mangonotch::wire::EncodeRecord(record)) != record) {
      std::abort();
    }
  } catch (const mangonotch::wire::DecodeError&) {
    return 0;
  }
  return 0;
}
