// Serialization of heartbeats and of the messages of quotas.
#include "peering/codec.h"

#include <algorithm>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cmath>
#include <limits>
#include <utility>
#include <vector>

#include "peering/internal/archive.h"

namespace mangonotch::peering {

/// A list with a maximum length, encoded like any other. Without it, a forged length would make the
/// decoder allocate before it has read a single element.
template <typename T>
struct BoundedList {
  std::vector<T>& list;
  std::size_t max_size;

  template <typename Archive>
  void save(Archive& archive) const {
    archive(list);
  }

  template <typename Archive>
  void load(Archive& archive) {
    cereal::size_type n = 0;
    archive(cereal::make_size_tag(n));
    if (n > max_size) throw cereal::Exception("list too long");
    list.resize(static_cast<std::size_t>(n));
    for (T& it : list) archive(it);
  }
};

}  // namespace mangonotch::peering

namespace mangonotch::fleet {

template <typename Archive>
void serialize(Archive& archive, HostRecord& it) {
  archive(it.host, it.zone, it.callers, it.peers, it.link_mbps);
}

template <typename Archive>
void serialize(Archive& archive, TargetLoad& it) {
  archive(it.target_key, it.in_flight);
}

/// Encodes a duration in four bytes, in whole milliseconds, rounded down.
struct CompactDuration {
  base::Duration& duration;

  template <typename Archive>
  void save(Archive& archive) const {
    constexpr std::int64_t kMax = std::numeric_limits<std::uint32_t>::max();
    archive(static_cast<std::uint32_t>(std::clamp(duration.milliseconds(), std::int64_t{0}, kMax)));
  }

  template <typename Archive>
  void load(Archive& archive) {
    std::uint32_t n = 0;
    archive(n);
    duration = base::Duration::Milliseconds(n);
  }
};

/// All of a heartbeat but its lists.
template <typename Archive>
void SerializeStatus(Archive& archive, Heartbeat& it) {
  archive(it.sender, it.incarnation, it.sequence, CompactDuration{it.period}, it.is_leaving,
          it.watches_store, it.has_fresh_catalog, CompactDuration{it.store_service_time},
          it.catalog_sequence, it.newest);
}

}  // namespace mangonotch::fleet

namespace mangonotch::quota {

/// A share from 0 to 1 in two bytes.
struct CompactShare {
  double& share;

  static constexpr double kScale = 65535;

  template <typename Archive>
  void save(Archive& archive) const {
    archive(static_cast<std::uint16_t>(std::lround(std::clamp(share, 0.0, 1.0) * kScale)));
  }

  template <typename Archive>
  void load(Archive& archive) {
    std::uint16_t n = 0;
    archive(n);
    share = n / kScale;
  }
};

template <typename Archive>
void serialize(Archive& archive, TenantUsage& it) {
  archive(it.tenant, it.admitted, it.refused, CompactShare{it.share});
}

template <typename Archive>
void serialize(Archive& archive, TenantShare& it) {
  archive(it.tenant, CompactShare{it.share});
}

template <typename Archive>
void serialize(Archive& archive, UsageReport& it) {
  archive(it.number, peering::BoundedList<TenantUsage>{it.usages, kMaxUsages});
}

template <typename Archive>
void serialize(Archive& archive, ShareUpdate& it) {
  archive(it.report, peering::BoundedList<TenantShare>{it.shares, kMaxShares});
}

}  // namespace mangonotch::quota

namespace mangonotch::peering {
namespace {

using fleet::Heartbeat;

/// The low byte is the format version; it must change with every change of the encoding.
constexpr std::uint32_t kHeartbeatMagic = 0x6d6e6805;
constexpr std::uint32_t kUsageReportMagic = 0x6d6e7101;
constexpr std::uint32_t kShareUpdateMagic = 0x6d6e7301;

struct WireRelayed {
  Heartbeat heartbeat;

  template <typename Archive>
  void serialize(Archive& archive) {
    fleet::SerializeStatus(archive, heartbeat);
  }
};

/// `heartbeat.relayed` is encoded from `relayed`, without the lists of these heartbeats.
struct WireHeartbeat {
  Heartbeat heartbeat;
  std::vector<WireRelayed> relayed{};

  template <typename Archive>
  void serialize(Archive& archive) {
    fleet::SerializeStatus(archive, heartbeat);
    archive(BoundedList<fleet::TargetLoad>{heartbeat.loads, kMaxLoads},
            BoundedList<base::Endpoint>{heartbeat.contacts, kMaxContacts},
            BoundedList<WireRelayed>{relayed, kMaxRelayed});
  }
};

}  // namespace

std::string EncodeHeartbeat(const Heartbeat& heartbeat) {
  WireHeartbeat wire{.heartbeat = heartbeat};
  std::vector<fleet::TargetLoad>& loads = wire.heartbeat.loads;
  std::vector<base::Endpoint>& contacts = wire.heartbeat.contacts;
  if (loads.size() > kMaxLoads) loads.resize(kMaxLoads);
  if (contacts.size() > kMaxContacts) contacts.resize(kMaxContacts);
  for (const Heartbeat& it : heartbeat.relayed) {
    if (wire.relayed.size() < kMaxRelayed) wire.relayed.push_back({it});
  }
  std::string bytes = Encode(kHeartbeatMagic, wire);
  while (bytes.size() > kMaxDatagramBytes && !wire.relayed.empty()) {
    wire.relayed.pop_back();
    bytes = Encode(kHeartbeatMagic, wire);
  }
  return bytes;
}

std::optional<Heartbeat> DecodeHeartbeat(std::string_view bytes) {
  auto wire = Decode<WireHeartbeat>(kHeartbeatMagic, bytes);
  if (!wire) return std::nullopt;
  Heartbeat heartbeat = std::move(wire->heartbeat);
  for (WireRelayed& it : wire->relayed) heartbeat.relayed.push_back(std::move(it.heartbeat));
  return heartbeat;
}

std::string EncodeUsageReport(const quota::UsageReport& report) {
  return Encode(kUsageReportMagic, report);
}

std::optional<quota::UsageReport> DecodeUsageReport(std::string_view bytes) {
  return Decode<quota::UsageReport>(kUsageReportMagic, bytes);
}

std::string EncodeShareUpdate(const quota::ShareUpdate& update) {
  return Encode(kShareUpdateMagic, update);
}

std::optional<quota::ShareUpdate> DecodeShareUpdate(std::string_view bytes) {
  return Decode<quota::ShareUpdate>(kShareUpdateMagic, bytes);
}

}  // namespace mangonotch::peering
