// A line of the ledger: the coordinator's state of one host's slots of one target and class.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "base/instant.h"

namespace mangonotch::shares {

struct LedgerLine {
  /// Total number of slots sent in the reply to heartbeat `sequence`, which the host may have
  /// applied.
  struct SentGrant {
    std::uint64_t sequence = 0;
    std::uint16_t slots = 0;
  };

  /// Total number of slots the host should hold, sent in each reply. A value below MaxHeld() is a
  /// recall.
  std::uint16_t grant = 0;
  /// Last values reported by the host.
  std::uint16_t held = 0;
  std::uint16_t in_use = 0;
  /// Grants sent in replies that `held` does not reflect yet.
  std::vector<SentGrant> sent_grants;
  /// All grants sent so far, and all work under them, have ended by this instant.
  base::Instant expires_at;
  /// An idle slot is not recalled before this instant, so that slots do not move back and forth.
  base::Instant keep_until;

  /// Upper bound on the slots the host may use or have in use now.
  std::uint16_t MaxHeld() const {
    std::uint16_t n = held;
    for (const SentGrant& it : sent_grants) {
      n = std::max(n, it.slots);
    }
    return n;
  }

  std::uint16_t Claim() const { return std::max(grant, MaxHeld()); }

  /// The host has applied the reply to heartbeat `applied` or a later one, and no longer applies
  /// older ones.
  void Acknowledge(std::uint64_t applied) {
    std::erase_if(sent_grants, [&](const SentGrant& it) { return it.sequence <= applied; });
  }

  void RecordSent(std::uint64_t sequence) {
    if (!sent_grants.empty() && sent_grants.back().slots == grant) {
      sent_grants.back().sequence = sequence;
    } else if (grant > 0) {
      sent_grants.push_back({sequence, grant});
    }
  }
};

}  // namespace mangonotch::shares
