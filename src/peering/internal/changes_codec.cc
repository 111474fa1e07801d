// Serialization of catalog changes.
#include <cereal/types/array.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include "peering/codec.h"
#include "peering/internal/archive.h"

namespace mangonotch::catalog {

template <typename Archive>
void serialize(Archive& archive, ReportPosition& it) {
  archive(it.started_at_ms, it.sequence);
}

template <typename Archive>
void serialize(Archive& archive, WeightedService& it) {
  archive(it.service, it.weight);
}

template <typename Archive>
void serialize(Archive& archive, Route& it) {
  archive(it.name, it.host, it.path_prefix, it.is_idempotent, it.max_attempts, it.timeout,
          it.latency_objective, it.priority, it.has_affinity, it.services, it.allowed_regions,
          it.allows_anonymous);
}

template <typename Archive>
void serialize(Archive& archive, Tenant& it) {
  archive(it.name, it.keys, it.priority, it.rate_limit, it.burst, it.allowed_regions);
}

template <typename Archive>
void serialize(Archive& archive, Service& it) {
  archive(it.name, it.health_path, it.max_connections, it.cold_time, it.cold_rate);
}

template <typename Archive>
void serialize(Archive& archive, CallerLimits& it) {
  archive(it.header_bytes, it.body_bytes, it.header_time, it.idle_time);
}

template <typename Archive>
void serialize(Archive& archive, Configuration& it) {
  archive(it.version, it.routes, it.services, it.limits, it.tenants);
}

}  // namespace mangonotch::catalog

namespace mangonotch::peering {
namespace {

/// The low byte is the format version; it must change with every change of the encoding.
constexpr std::uint32_t kChangesMagic = 0x6d6e6306;

/// A target with its remaining cold time in place of an instant, which is valid only on the
/// sender's clock.
struct WireTarget {
  discovery::TargetChange change;
  base::Duration cold_remaining;

  template <typename Archive>
  void serialize(Archive& archive) {
    catalog::Target& target = change.target;
    archive(target.id, target.service, target.address, target.zone, target.slots,
            target.is_draining, target.report, change.revision, change.is_confirmed,
            cold_remaining);
  }
};

/// A removal with the time for which it is still remembered.
struct WireRemoval {
  discovery::TargetRemoval removal;
  base::Duration memory_remaining;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(removal.id, removal.revision, removal.last_report, removal.was_draining,
            memory_remaining);
  }
};

struct WireChanges {
  std::uint64_t sequence = 0;
  bool is_full = false;
  std::uint64_t targets_revision = 0;
  std::vector<WireTarget> targets{};
  std::vector<WireRemoval> removals{};
  std::uint64_t operator_revision = 0;
  bool has_configuration = false;
  catalog::Configuration configuration{};
  std::vector<std::string> evacuated_zones{};
  catalog::StorePosition newest{};

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sequence, is_full, targets_revision, targets, removals, operator_revision,
            has_configuration, configuration, evacuated_zones, newest);
  }
};

/// Zero if `instant` has passed.
base::Duration RemainingUntil(base::Instant instant, base::Instant now) {
  return instant > now ? instant - now : base::Duration();
}

}  // namespace

std::string EncodeChanges(const discovery::CatalogChanges& changes, base::Instant now) {
  WireChanges wire{.sequence = changes.sequence,
                   .is_full = changes.is_full,
                   .targets_revision = changes.targets_revision,
                   .operator_revision = changes.operator_revision,
                   .evacuated_zones = changes.evacuated_zones,
                   .newest = changes.newest};
  if (changes.configuration) {
    wire.has_configuration = true;
    wire.configuration = *changes.configuration;
  }
  for (const discovery::TargetChange& it : changes.targets) {
    wire.targets.push_back({it, RemainingUntil(it.target.cold_until, now)});
  }
  for (const discovery::TargetRemoval& it : changes.removals) {
    wire.removals.push_back({it, RemainingUntil(it.forget_at, now)});
  }
  return Encode(kChangesMagic, wire);
}

std::optional<discovery::CatalogChanges> DecodeChanges(std::string_view bytes, base::Instant now) {
  auto wire = Decode<WireChanges>(kChangesMagic, bytes);
  if (!wire) return std::nullopt;
  discovery::CatalogChanges changes{.sequence = wire->sequence,
                                    .is_full = wire->is_full,
                                    .targets_revision = wire->targets_revision,
                                    .operator_revision = wire->operator_revision,
                                    .evacuated_zones = std::move(wire->evacuated_zones),
                                    .newest = wire->newest};
  if (wire->has_configuration) {
    changes.configuration =
        std::make_shared<const catalog::Configuration>(std::move(wire->configuration));
  }
  for (WireTarget& it : wire->targets) {
    it.change.target.cold_until = now + it.cold_remaining;
    changes.targets.push_back(std::move(it.change));
  }
  for (WireRemoval& it : wire->removals) {
    it.removal.forget_at = now + it.memory_remaining;
    changes.removals.push_back(std::move(it.removal));
  }
  return changes;
}

}  // namespace mangonotch::peering
