// Bounds of what is sent to and accepted from peers. A decoder checks each before it allocates.
#pragma once

#include <cstddef>
#include <cstdint>

namespace mangonotch::wire {

/// Fits one packet on any path (IPv6 guarantees 1,280, every link in use carries 1,500), so that no
/// datagram is fragmented.
inline constexpr std::size_t kMaxDatagramBytes = 1'400;
/// The store's largest value is 1 MB; the rest is room for its head.
inline constexpr std::size_t kMaxTableBytes = 1'100'000;
inline constexpr std::size_t kMaxRecordBytes = 1'000'000;

inline constexpr std::size_t kMaxHostBytes = 64;
/// `[ip]:port` of IPv6 has at most 53 characters.
inline constexpr std::size_t kMaxAddressBytes = 64;
inline constexpr std::size_t kMaxRegionBytes = 64;
inline constexpr std::size_t kMaxZoneBytes = 64;
/// More of the smallest line (11 bytes) do not fit in a datagram.
inline constexpr std::size_t kMaxLines = 128;

inline constexpr std::size_t kMaxStandbys = 2;
/// Entry hosts at the planned size (1,100) and as many replaced ones whose grants still run.
inline constexpr std::size_t kMaxGrantees = 2'200;

/// "MNGO" in the order of the bytes sent.
inline constexpr std::uint32_t kMagic = 0x4f474e4d;
inline constexpr std::uint16_t kVersion = 1;

}  // namespace mangonotch::wire
