// Guards against datagrams from unknown senders that crash or stall the control thread, and against
// decoded messages that encode to different bytes.
// fuzz: -runs=150000 -max_len=1500
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>
#include <vector>

#include "wire/codec.h"
#include "wire/decode_error.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const auto bytes = std::as_bytes(std::span(data, size));
  try {
    const auto packet = mangonotch::wire::Decode(bytes);
    std::vector<std::byte> encoded;
    mangonotch::wire::Encode(packet.message, packet.sequence, encoded);
    if (!std::equal(bytes.begin(), bytes.end(), encoded.begin(), encoded.end())) {
      std::abort();
    }
  } catch (const mangonotch::wire::DecodeError&) {
    return 0;
  }
  return 0;
}
