// Encodes the messages between hosts: heartbeats and those of quotas as datagrams, and catalog
// changes as HTTP bodies. The format is cereal's portable binary archive, preceded by a magic
// number that includes the format version.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/instant.h"
#include "discovery/registry.h"
#include "fleet/heartbeat.h"
#include "quota/messages.h"

namespace mangonotch::peering {

/// Fits into an Ethernet frame without IP fragmentation.
inline constexpr std::size_t kMaxDatagramBytes = 1400;
/// Maximum lengths of the lists in a heartbeat, so that it fits into a datagram.
inline constexpr std::size_t kMaxLoads = 80;
inline constexpr std::size_t kMaxContacts = 6;
inline constexpr std::size_t kMaxRelayed = 8;

/// Truncates the lists to their maximum lengths, and `relayed` further if the datagram would
/// otherwise be too long. The lists of relayed heartbeats are left out.
std::string EncodeHeartbeat(const fleet::Heartbeat& heartbeat);
/// Returns nullopt if `bytes` is not a heartbeat of this format version.
std::optional<fleet::Heartbeat> DecodeHeartbeat(std::string_view bytes);

// Messages of quotas, one datagram each. Decoding returns nullopt for other bytes.

std::string EncodeUsageReport(const quota::UsageReport& report);
std::optional<quota::UsageReport> DecodeUsageReport(std::string_view bytes);
std::string EncodeShareUpdate(const quota::ShareUpdate& update);
std::optional<quota::ShareUpdate> DecodeShareUpdate(std::string_view bytes);

/// Instants are encoded as the time remaining after `now`, since the clocks of hosts differ.
std::string EncodeChanges(const discovery::CatalogChanges& changes, base::Instant now);
/// Returns nullopt if `bytes` is not a set of changes of this format version.
std::optional<discovery::CatalogChanges> DecodeChanges(std::string_view bytes, base::Instant now);

}  // namespace mangonotch::peering
