// Serialization of the types that several messages between hosts share, and of whole messages: a
// magic number that includes the format version, and the message, in cereal's portable binary
// archive.
#pragma once

#include <array>
#include <cereal/archives/portable_binary.hpp>
#include <cstdint>
#include <exception>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

#include "base/duration.h"
#include "base/endpoint.h"
#include "base/ip_address.h"
#include "catalog/store_position.h"

namespace mangonotch::base {

/// IpAddress keeps an IPv4 address behind these bytes.
inline constexpr std::size_t kV4Offset = 12;
inline constexpr std::array<std::uint8_t, 16> kV4Prefix = {0, 0, 0, 0, 0,    0,
                                                           0, 0, 0, 0, 0xff, 0xff};

// An IPv4 address is encoded in four bytes: addresses are the larger part of a heartbeat.

template <typename Archive>
void save(Archive& archive, const IpAddress& address) {
  archive(address.is_v4);
  const std::size_t start = address.is_v4 ? kV4Offset : 0;
  for (std::size_t i = start; i < address.bytes.size(); ++i) archive(address.bytes[i]);
}

template <typename Archive>
void load(Archive& archive, IpAddress& address) {
  archive(address.is_v4);
  if (address.is_v4) address.bytes = kV4Prefix;
  const std::size_t start = address.is_v4 ? kV4Offset : 0;
  for (std::size_t i = start; i < address.bytes.size(); ++i) archive(address.bytes[i]);
}

template <typename Archive>
void serialize(Archive& archive, Endpoint& endpoint) {
  archive(endpoint.address, endpoint.port);
}

template <typename Archive>
void save(Archive& archive, const Duration& duration) {
  archive(duration.nanoseconds());
}

template <typename Archive>
void load(Archive& archive, Duration& duration) {
  std::int64_t n = 0;
  archive(n);
  duration = Duration::Nanoseconds(n);
}

}  // namespace mangonotch::base

namespace mangonotch::catalog {

/// Encodes a number in as many bytes of seven bits as it needs, the lowest first.
struct CompactNumber {
  std::uint64_t& number;

  static constexpr unsigned kBits = 7;
  static constexpr std::uint8_t kMore = 1U << kBits;

  template <typename Archive>
  void save(Archive& archive) const {
    std::uint64_t rest = number;
    for (; rest >= kMore; rest >>= kBits) archive(static_cast<std::uint8_t>(rest | kMore));
    archive(static_cast<std::uint8_t>(rest));
  }

  template <typename Archive>
  void load(Archive& archive) {
    number = 0;
    std::uint8_t byte = kMore;
    for (unsigned shift = 0; (byte & kMore) != 0 && shift < 64; shift += kBits) {
      archive(byte);
      number |= std::uint64_t{byte & (kMore - 1U)} << shift;
    }
  }
};

template <typename Archive>
void serialize(Archive& archive, StorePosition& it) {
  archive(CompactNumber{it.operator_records}, CompactNumber{it.targets},
          CompactNumber{it.configuration_version});
}

}  // namespace mangonotch::catalog

namespace mangonotch::peering {

/// `magic`: its low byte is the format version of the message.
template <typename T>
std::string Encode(std::uint32_t magic, const T& value) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(magic, value);
  }
  return out.str();
}

/// Returns nullopt if `bytes` is no such message of this format version.
template <typename T>
std::optional<T> Decode(std::uint32_t magic, std::string_view bytes) {
  std::istringstream in{std::string(bytes)};
  try {
    cereal::PortableBinaryInputArchive archive(in);
    std::uint32_t found = 0;
    archive(found);
    if (found != magic) return std::nullopt;
    T value;
    archive(value);
    return value;
  } catch (const std::exception&) {  // cereal::Exception, or bad_alloc for a forged length.
    return std::nullopt;
  }
}

}  // namespace mangonotch::peering
