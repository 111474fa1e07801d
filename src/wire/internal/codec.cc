// Envelope and dispatch over the kinds of messages.
#include "wire/codec.h"

#include <istream>
#include <ostream>
#include <string>
#include <type_traits>
#include <utility>

#include "wire/internal/archive.h"
#include "wire/internal/layout.h"

namespace mangonotch::wire {
namespace {

/// Byte order, magic, version, kind, sender incarnation, sequence.
constexpr std::size_t kHeadBytes = 1 + 4 + 2 + 1 + 8 + 8;
/// First byte of cereal's portable form for the low byte first, the only order in use here.
constexpr std::byte kLittleEndian{1};

template <class Buffer>
void Write(const Message& message, std::uint64_t sequence, Buffer& buf) {
  std::ostream stream(&buf);
  internal::OutputArchive ar(stream, internal::OutputArchive::Options::LittleEndian());
  ar(kMagic, kVersion, static_cast<std::uint8_t>(message.index()), SenderOf(message).incarnation,
     sequence);
  std::visit([&ar](const auto& m) { ar(m); }, message);
}

/// Loads the alternative with the number `kind`.
template <std::size_t... I>
void LoadKind(internal::InputArchive& ar, std::uint8_t kind, Message& message,
              std::index_sequence<I...> /*kinds*/) {
  ((kind == I ? static_cast<void>(ar(message.emplace<I>())) : static_cast<void>(0)), ...);
}

Packet Read(internal::SpanBuffer& buf) {
  std::istream stream(&buf);
  internal::InputArchive ar(stream);
  std::uint32_t magic = 0;
  std::uint16_t version = 0;
  std::uint8_t kind = 0;
  base::Incarnation incarnation = 0;
  Packet packet;
  ar(magic, version, kind, incarnation, packet.sequence);
  if (magic != kMagic) {
    throw DecodeError(DecodeReason::kWrongMagic);
  }
  if (version != kVersion) {
    throw DecodeError(DecodeReason::kWrongVersion, std::to_string(version));
  }
  constexpr std::size_t kKinds = std::variant_size_v<Message>;
  if (kind >= kKinds) {
    throw DecodeError(DecodeReason::kUnknownKind, std::to_string(kind));
  }
  LoadKind(ar, kind, packet.message, std::make_index_sequence<kKinds>());
  if (SenderOf(packet.message).incarnation != incarnation) {
    throw DecodeError(DecodeReason::kBadValue, "two incarnations of the sender");
  }
  return packet;
}

}  // namespace

const membership::HostRef& SenderOf(const Message& message) {
  return std::visit(
      [](const auto& m) -> const membership::HostRef& {
        if constexpr (std::is_same_v<std::decay_t<decltype(m)>, shares::Heartbeat>) {
          return m.sender.ref;
        } else {
          return m.sender;
        }
      },
      message);
}

void Encode(const Message& message, std::uint64_t sequence, std::vector<std::byte>& out) {
  out.clear();
  internal::VectorBuffer buf(out);
  Write(message, sequence, buf);
  if (out.size() > kMaxDatagramBytes) {
    throw base::Error("encode message", "",
                      std::to_string(out.size()) + " bytes do not fit a datagram");
  }
}

std::size_t EncodedSize(const Message& message) {
  internal::CountBuffer buf;
  Write(message, 0, buf);
  return buf.count();
}

Packet Decode(std::span<const std::byte> bytes) {
  if (bytes.size() < kHeadBytes) {
    throw DecodeError(DecodeReason::kTooShort);
  }
  if (bytes.size() > kMaxDatagramBytes) {
    throw DecodeError(DecodeReason::kTooLong);
  }
  if (bytes.front() != kLittleEndian) {
    throw DecodeError(DecodeReason::kWrongMagic);
  }
  internal::SpanBuffer buf(bytes);
  Packet packet;
  try {
    packet = Read(buf);
  } catch (const cereal::Exception&) {
    throw DecodeError(DecodeReason::kTruncated);
  }
  if (buf.remaining() != 0) {
    throw DecodeError(DecodeReason::kTrailingBytes);
  }
  return packet;
}

}  // namespace mangonotch::wire
