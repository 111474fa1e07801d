// What the coordinator knows of one host's slots of one target and class.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "base/instant.h"

namespace mangonotch::shares {

struct Line {
  /// A total told in the reply to heartbeat `sequence`, which the host may have applied.
  struct Told {
    std::uint64_t sequence = 0;
    std::uint16_t slots = 0;
  };

  /// Total the host is meant to hold, told in each reply. Below Possible() it is a recall.
  std::uint16_t grant = 0;
  /// Last reported.
  std::uint16_t held = 0;
  std::uint16_t in_use = 0;
  /// Totals told in replies that `held` does not take into account yet.
  std::vector<Told> told;
  /// By then every grant told here has ended, and all work under it.
  base::Instant lapse_at;
  /// An idle slot is not recalled before, so that slots do not move back and forth.
  base::Instant keep_until;

  /// Most slots the host may use or have in use now.
  std::uint16_t Possible() const {
    std::uint16_t n = held;
    for (const Told& it : told) {
      n = std::max(n, it.slots);
    }
    return n;
  }

  std::uint16_t Claim() const { return std::max(grant, Possible()); }

  /// The host applied the reply to `applied` or a later one, and applies no older one any more.
  void Acknowledge(std::uint64_t applied) {
    std::erase_if(told, [&](const Told& it) { return it.sequence <= applied; });
  }

  void Tell(std::uint64_t sequence) {
    if (!told.empty() && told.back().slots == grant) {
      told.back().sequence = sequence;
    } else if (grant > 0) {
      told.push_back({sequence, grant});
    }
  }
};

}  // namespace mangonotch::shares
