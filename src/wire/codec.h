// Encodes messages for one datagram: an envelope {byte order, magic, version, kind, sender
// incarnation, sequence} and the message in cereal's portable binary form.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "wire/message.h"

namespace mangonotch::wire {

/// Replaces the contents of `out`. Throws base::Error when the message has a string over its bound
/// or does not fit `kMaxDatagramBytes`; Split (wire/split.h) makes messages that fit.
void Encode(const Message& message, std::uint64_t sequence, std::vector<std::byte>& out);

/// Throws DecodeError. Allocates no more than a small multiple of the size of `bytes`.
Packet Decode(std::span<const std::byte> bytes);

/// Size that Encode would give, without the bound on it.
std::size_t EncodedSize(const Message& message);

}  // namespace mangonotch::wire
