// Encodes what hosts send each other: heartbeats as datagrams, changes of the catalog as bodies.
// The binary form is cereal's portable one behind a magic number and a version.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/instant.h"
#include "discovery/registry.h"
#include "fleet/heartbeat.h"

namespace mangonotch::peering {

/// Fits an Ethernet frame.
inline constexpr std::size_t kMostDatagramBytes = 1400;
/// Bounds of a heartbeat's lists, so that it fits a datagram.
inline constexpr std::size_t kMostLoads = 80;
inline constexpr std::size_t kMostContacts = 10;

std::string EncodeHeartbeat(const fleet::Heartbeat& heartbeat);
/// Nothing when the bytes are no heartbeat of this version.
std::optional<fleet::Heartbeat> DecodeHeartbeat(std::string_view bytes);

/// Instants are sent as time left from `now`.
std::string EncodeChanges(const discovery::CatalogChanges& changes, base::Instant now);
std::optional<discovery::CatalogChanges> DecodeChanges(std::string_view bytes, base::Instant now);

}  // namespace mangonotch::peering
