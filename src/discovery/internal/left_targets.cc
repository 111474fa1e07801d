// Bounded memory of incarnations.
#include "discovery/left_targets.h"

#include <algorithm>

namespace mangonotch::discovery {
namespace {

/// A copy of the store is some seconds old; a deployment's targets do not all leave more than once
/// in that time.
constexpr std::size_t kMaxIncarnations = 512;

}  // namespace

void LeftTargets::Add(const catalog::Target& target, catalog::StoreRevision revision) {
  if (target.report.started_at_ms == 0) return;
  incarnations_.push_back(
      {.id = target.id, .started_at_ms = target.report.started_at_ms, .left_at = revision});
  if (incarnations_.size() > kMaxIncarnations) incarnations_.pop_front();
}

bool LeftTargets::HasLeft(const catalog::Target& target, catalog::StoreRevision revision) const {
  const std::uint64_t era = catalog::EraOf(revision);
  return std::any_of(incarnations_.begin(), incarnations_.end(), [&](const Incarnation& it) {
    return it.started_at_ms == target.report.started_at_ms && catalog::EraOf(it.left_at) < era &&
           it.id == target.id;
  });
}

}  // namespace mangonotch::discovery
