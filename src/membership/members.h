// The hosts known to this host, from its settings, the platform's host list, heartbeats and relayed
// messages of coordinators, and which of them count as live.
//
// The settings and the host list only define which hosts belong to the deployment; a host counts as
// live because of its messages. Before any message, seeds count as live for a grace period, so that
// a starting deployment has coordinator candidates.
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

/// An entry of the platform's host list, which lags behind the actual state.
struct HostListEntry {
  base::HostId host;
  std::string peer_address;
  std::string region;
  std::string zone;
  bool leaving = false;
};

/// Reason for refusing a message; each has its own counter.
enum class Refusal : std::uint8_t {
  kNone,
  /// The sender is neither in the settings nor in the host list.
  kUnknownHost,
  /// The peer address or region differs from the one known for the host.
  kMismatch,
  /// The sender's incarnation has been replaced by another one.
  kReplaced,
};

struct HeartbeatResult {
  Refusal refusal = Refusal::kNone;
  /// The sender, if it is known to be the current incarnation at its peer address, so that all
  /// former ones there have ended. The first message of an incarnation is not enough to know this.
  std::optional<HostRef> confirmed_sender;
};

class Members {
 public:
  /// `self` always counts as live. Seeds are the hosts of all regions in the settings, with an
  /// incarnation of 0.
  Members(HostInfo self, std::span<const HostInfo> seeds, base::Instant now);

  void OnHostList(std::span<const HostListEntry> entries);
  /// Handles a message sent by the host itself.
  HeartbeatResult OnHeartbeat(const HostInfo& sender, std::uint64_t sequence, base::Instant now);
  /// Handles the hosts that a coordinator lists in a reply or a summary. Returns the number of
  /// unknown hosts, which are skipped.
  std::size_t OnRelayedHosts(std::span<const HostInfo> hosts, base::Instant now);

  /// Live hosts of a region, including leaving ones, ordered by host.
  std::vector<HostInfo> Live(std::string_view region, base::Instant now) const;
  /// Live hosts of all regions, for relaying.
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
    /// Counts as live until this instant; Never for this host itself.
    base::Instant live_until;
    /// The host list shows the host as leaving.
    bool listed_leaving = false;
    std::uint64_t sequence = 0;
    bool confirmed = false;
    /// Another incarnation that sent a message after the last one of the current incarnation, or 0.
    /// Its first message may be an old one that was delayed; a second one with a higher sequence
    /// shows that it is running.
    base::Incarnation pending_incarnation = 0;
    std::uint64_t pending_sequence = 0;
    /// Replaced incarnations, most recently replaced last.
    std::vector<base::Incarnation> replaced;
  };

  Refusal CheckSender(const Member& member, const HostInfo& sender, base::Instant now) const;
  static bool CanAcceptIncarnation(const Member& member, const HostInfo& sender, base::Instant now);
  static bool WasReplaced(const Member& member, base::Incarnation incarnation);
  static void UpdateIncarnation(Member& member, const HostInfo& info);
  HeartbeatResult OnPendingIncarnation(Member& member, const HostInfo& sender,
                                       std::uint64_t sequence, base::Instant now);
  void AcceptHeartbeat(Member& member, const HostInfo& info, std::uint64_t sequence,
                       base::Instant now);

  base::HostId self_;
  std::map<base::HostId, Member, std::less<>> members_;
};

/// Rank of a host as coordinator of a region (rendezvous hashing); the highest rank comes first.
std::uint64_t CandidateRank(std::string_view region, std::string_view host);

}  // namespace mangonotch::membership
