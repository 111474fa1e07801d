// What a host has made of a target's report: whether it is in force, and why not. For logs, which
// have to tell which report of a target a host believes, from whom and since when.
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

#include "catalog/catalog.h"
#include "discovery/catalog_changes.h"

namespace mangonotch::discovery {

/// Where this host has a report from.
enum class ReportOrigin : std::uint8_t {
  /// A change that a watch of the store has told.
  kWatch,
  kListing,
  /// Another host.
  kHost,
  /// It was set aside until the removal before it was forgotten.
  kMemory,
};

enum class ReportVerdict : std::uint8_t {
  /// What it says is what this host believes.
  kInForce,
  /// The target has made it before the one that is in force.
  kOutdated,
  /// The target has made it before its removal, and may be live all the same.
  kSetAside,
  /// The target has left, or was removed at a later revision.
  kRemoved,
};

/// Valid only during the call that passes it on.
struct ReportDecision {
  const TargetChange& report;
  ReportOrigin origin = ReportOrigin::kWatch;
  ReportVerdict verdict = ReportVerdict::kInForce;
  /// What this host believes now; null if it does not list the target.
  const catalog::Target* believed = nullptr;
};

/// Called for each report of a watch. Of others, which are many and mostly known, only for those
/// that are not in force, or that change whether a target gets requests.
using ReportObserver = std::function<void(const ReportDecision&)>;

std::string_view NameOf(ReportOrigin origin);
std::string_view NameOf(ReportVerdict verdict);

}  // namespace mangonotch::discovery
