// The hosts this host knows, from its settings, the platform's host list, heartbeats and what
// coordinators relay, and which of them count as live.
//
// Settings and the host list only say who belongs to the deployment; that a host lives is shown by
// its messages. Before any message, seeds count as live for a grace period, so that a deployment
// that starts has candidates for its coordinators.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/instant.h"
#include "membership/messages.h"

namespace mangonotch::membership {

/// An entry of the platform's lagging host list.
struct HostListEntry {
  base::HostId host;
  std::string peer_address;
  std::string region;
  std::string zone;
  bool leaving = false;
};

/// Why a message was refused, for a counter each.
enum class Refusal : std::uint8_t {
  kNone,
  /// Neither in the settings nor in the host list.
  kStranger,
  /// From a peer address or region other than the one known for the host.
  kMismatch,
  /// From an incarnation that a newer one has replaced.
  kReplaced,
};

struct Receipt {
  Refusal refusal = Refusal::kNone;
  /// The sender, when it is the present incarnation at its peer address, so that all former ones
  /// there are gone. The first message of an incarnation does not show that yet.
  std::optional<HostRef> attestation;
};

class Members {
 public:
  /// `self` counts as live for ever. Seeds are the hosts of the settings, of all regions, with an
  /// incarnation of 0.
  Members(HostInfo self, std::span<const HostInfo> seeds, base::Instant now);

  void OnHostList(std::span<const HostListEntry> entries);
  /// A message that came from the host itself.
  Receipt OnHeartbeat(const HostInfo& sender, std::uint64_t sequence, base::Instant now);
  /// Hosts that a coordinator names in a reply or a summary. Unknown hosts are passed over; their
  /// number is returned.
  std::size_t OnRelayed(std::span<const HostInfo> hosts, base::Instant now);

  /// Live hosts of a region, leaving ones too, ordered by host.
  std::vector<HostInfo> Live(std::string_view region, base::Instant now) const;
  /// Live hosts of all regions, to relay.
  std::vector<HostInfo> AllLive(base::Instant now) const;
  /// Live hosts of a region that are not leaving, best coordinator first.
  std::vector<HostInfo> Candidates(std::string_view region, base::Instant now) const;
  /// Period between heartbeats in a region: max(500 ms, 25 ms per member).
  base::Duration HeartbeatInterval(std::string_view region, base::Instant now) const;
  bool IsKnown(std::string_view host) const;
  void SetSelf(const HostInfo& self);

 private:
  struct Member {
    HostInfo info;
    /// Counts as live until then; Never for this host itself.
    base::Instant live_until;
    /// In the host list as leaving, while no message of the host says more.
    bool listed_leaving = false;
    std::uint64_t sequence = 0;
    bool attested = false;
    /// Another incarnation heard since the last message of the present one, or 0. Its first message
    /// may be an old one that was delayed; a later one shows that it goes on.
    base::Incarnation challenger = 0;
    std::uint64_t challenger_sequence = 0;
    /// Incarnations that were replaced, newest last.
    std::vector<base::Incarnation> replaced;
  };

  Refusal Check(const Member& member, const HostInfo& sender, base::Instant now) const;
  static bool IsPresent(const Member& member, const HostInfo& sender, base::Instant now);
  static bool WasReplaced(const Member& member, base::Incarnation incarnation);
  static void Replace(Member& member, const HostInfo& info);
  Receipt OnChallenger(Member& member, const HostInfo& sender, std::uint64_t sequence,
                       base::Instant now);
  void Hear(Member& member, const HostInfo& info, std::uint64_t sequence, base::Instant now);

  base::HostId self_;
  std::map<base::HostId, Member, std::less<>> members_;
};

/// Rank of a host as the coordinator of a region; the highest comes first.
std::uint64_t CandidateRank(std::string_view region, std::string_view host);

}  // namespace mangonotch::membership
