// Remembers targets that have left while draining, so that a store which is restored from an older
// copy does not bring them back into use.
#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "catalog/catalog.h"
#include "catalog/store_position.h"

namespace mangonotch::discovery {

class LeftTargets {
 public:
  /// A target whose incarnation is not known is not remembered: a later one could not be told from
  /// it.
  void Add(const catalog::Target& target, catalog::StoreRevision revision);
  /// Whether the incarnation has left in an earlier era than that of `revision`, at which it is
  /// listed.
  bool HasLeft(const catalog::Target& target, catalog::StoreRevision revision) const;

 private:
  struct Incarnation {
    std::string id;
    std::int64_t started_at_ms = 0;
    catalog::StoreRevision left_at = 0;
  };

  /// Oldest first.
  std::deque<Incarnation> incarnations_;
};

}  // namespace mangonotch::discovery
