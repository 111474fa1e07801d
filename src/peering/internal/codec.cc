// Archives of the messages.
#include "peering/codec.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <sstream>

namespace mangonotch::base {

template <typename Archive>
void serialize(Archive& archive, IpAddress& address) {
  archive(address.bytes, address.is_v4);
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

template <typename Archive>
void serialize(Archive& archive, WeightedService& it) {
  archive(it.service, it.weight);
}

template <typename Archive>
void serialize(Archive& archive, Route& it) {
  archive(it.name, it.host, it.path_prefix, it.is_idempotent, it.max_attempts, it.timeout,
          it.latency_objective, it.priority, it.has_affinity, it.services, it.allowed_regions);
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
  archive(it.version, it.routes, it.services, it.limits);
}

}  // namespace mangonotch::catalog

namespace mangonotch::fleet {

template <typename Archive>
void serialize(Archive& archive, HostRecord& it) {
  archive(it.host, it.zone, it.callers, it.peers);
}

template <typename Archive>
void serialize(Archive& archive, TargetLoad& it) {
  archive(it.target_key, it.in_flight);
}

template <typename Archive>
void serialize(Archive& archive, Heartbeat& it) {
  archive(it.sender, it.incarnation, it.sequence, it.is_leaving, it.targets_revision,
          it.orders_revision, it.loads, it.contacts);
}

}  // namespace mangonotch::fleet

namespace mangonotch::peering {
namespace {

using fleet::Heartbeat;

/// Changes with every change of a message's form.
constexpr std::uint32_t kHeartbeatMagic = 0x6d6e6801;
constexpr std::uint32_t kCatalogMagic = 0x6d6e6301;

/// A target with the rest of its cold time in place of an instant of the sender's clock.
struct TargetOnWire {
  catalog::Target target;
  base::Duration cold_remaining;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(target.id, target.service, target.address, target.zone, target.slots,
            target.is_draining, target.started_at_ms, cold_remaining);
  }
};

struct CatalogOnWire {
  std::uint64_t targets_revision = 0;
  std::uint64_t orders_revision = 0;
  bool has_configuration = false;
  catalog::Configuration configuration{};
  std::vector<TargetOnWire> targets{};
  std::vector<std::string> evacuated_zones{};

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(targets_revision, orders_revision, has_configuration, configuration, targets,
            evacuated_zones);
  }
};

template <typename T>
std::string Encode(std::uint32_t magic, const T& value) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(magic, value);
  }
  return out.str();
}

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

}  // namespace

std::string EncodeHeartbeat(const Heartbeat& heartbeat) {
  Heartbeat bounded = heartbeat;
  if (bounded.loads.size() > kMostLoads) bounded.loads.resize(kMostLoads);
  if (bounded.contacts.size() > kMostContacts) bounded.contacts.resize(kMostContacts);
  return Encode(kHeartbeatMagic, bounded);
}

std::optional<Heartbeat> DecodeHeartbeat(std::string_view bytes) {
  return Decode<Heartbeat>(kHeartbeatMagic, bytes);
}

std::string EncodeCatalog(const discovery::CatalogCopy& copy, base::Instant now) {
  CatalogOnWire wire{.targets_revision = copy.targets_revision,
                     .orders_revision = copy.orders_revision};
  if (copy.catalog.configuration) {
    wire.has_configuration = true;
    wire.configuration = *copy.catalog.configuration;
  }
  for (const catalog::Target& it : copy.catalog.targets) {
    const bool is_cold = it.cold_until > now;
    wire.targets.push_back({it, is_cold ? it.cold_until - now : base::Duration()});
  }
  wire.evacuated_zones.assign(copy.catalog.evacuated_zones.begin(),
                              copy.catalog.evacuated_zones.end());
  return Encode(kCatalogMagic, wire);
}

std::optional<discovery::CatalogCopy> DecodeCatalog(std::string_view bytes, base::Instant now) {
  auto wire = Decode<CatalogOnWire>(kCatalogMagic, bytes);
  if (!wire) return std::nullopt;
  discovery::CatalogCopy copy{.targets_revision = wire->targets_revision,
                              .orders_revision = wire->orders_revision};
  if (wire->has_configuration) {
    copy.catalog.configuration =
        std::make_shared<const catalog::Configuration>(std::move(wire->configuration));
  }
  for (TargetOnWire& it : wire->targets) {
    it.target.cold_until = now + it.cold_remaining;
    copy.catalog.targets.push_back(std::move(it.target));
  }
  copy.catalog.evacuated_zones.insert(wire->evacuated_zones.begin(), wire->evacuated_zones.end());
  return copy;
}

}  // namespace mangonotch::peering
