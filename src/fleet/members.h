// Tracks the liveness of the other hosts by their heartbeats and selects hosts for callers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "base/instant.h"
#include "fleet/heartbeat.h"

namespace mangonotch::fleet {

struct MemberTiming {
  /// A host of this region is not considered stopped before this time without a heartbeat; later
  /// if its heartbeats are rare.
  base::Duration min_local_timeout = base::Duration::Milliseconds(1800);
  /// The same for a host of another region.
  base::Duration min_remote_timeout = base::Duration::Milliseconds(4000);
  /// A host counts as possibly alive for this time after its last heartbeat when totals are divided
  /// among all hosts: it may be running but partitioned from this host.
  base::Duration retention = base::Duration::Seconds(20);
  /// How long heartbeats are sent to an address from which none arrive.
  base::Duration contact_retention = base::Duration::Seconds(60);
};

class Members {
 public:
  /// `zones` maps each availability zone to its region.
  Members(HostRecord self, std::map<std::string, std::string, std::less<>> zones,
          const MemberTiming& timing);

  /// Applies a heartbeat and those that its sender passes on. Returns false for this host's own
  /// heartbeat and for one that is not newer than the last one known from its sender.
  bool OnHeartbeat(const Heartbeat& heartbeat, base::Instant now);
  /// Addresses of the hosts of this region whose incarnation was first heard of directly since the
  /// last call. A heartbeat in reply saves a host that has just started the wait for the next one.
  std::vector<base::Endpoint> TakeNewcomers() { return std::exchange(newcomers_, {}); }
  /// Adds or refreshes an address at which a host may be reached.
  void AddContact(const base::Endpoint& address, base::Instant now);
  /// Removes hosts and addresses whose retention time has passed.
  void Expire(base::Instant now);

  /// Addresses to send heartbeats to.
  struct ContactLists {
    /// The known hosts of this region.
    std::vector<base::Endpoint> local;
    /// The known hosts of other regions.
    std::vector<base::Endpoint> remote;
    /// Those of `remote` that pass this host's heartbeats on to their regions: a few live hosts of
    /// each region, or all known ones of a region without a live host. Every host chooses its own,
    /// so that the work is spread over all hosts of a region.
    std::vector<base::Endpoint> relays;
    /// Addresses at which no host is known.
    std::vector<base::Endpoint> unconfirmed;
    /// Number of regions other than this host's in which hosts are known.
    std::size_t remote_regions = 0;
  };
  ContactLists Contacts(base::Instant now) const;
  /// Heartbeats from other regions to pass on to this region: those that came directly and have
  /// not been passed on by another host yet, in turn, at most `max_count`.
  std::vector<Heartbeat> TakeRelayed(std::size_t max_count);
  /// Number of hosts that may be alive, including this one; totals over all hosts are divided
  /// by it.
  std::uint32_t CountPossiblyAlive(base::Instant now) const;
  /// Number of live hosts, including this one.
  std::uint32_t CountLive(base::Instant now) const;
  /// Hashes of the names of the other hosts of this region that may be alive.
  std::vector<std::uint64_t> LocalHostKeys(base::Instant now) const;
  /// Number of requests that the other live hosts together have in flight at each target.
  std::vector<TargetLoad> PeerLoads(base::Instant now) const;
  /// Whether this host should watch the store. Each region has a few watchers: the live hosts with
  /// the highest bandwidth, ties broken by the hash of the name, and further hosts while some of
  /// these cannot reach the store. A watcher sends each change to the whole region, so a watcher on
  /// a slow link would delay all hosts there.
  bool ShouldWatchStore(base::Instant now) const;
  /// The live hosts with the highest bandwidth, this one included, ties broken by the hash of the
  /// name; hosts that are stopping are left out. At most `max_count`.
  std::vector<HostRecord> BestConnected(std::size_t max_count, bool is_leaving,
                                        base::Instant now) const;
  /// Hash of the name of the host with this peer address; nullopt if none is known there.
  std::optional<std::uint64_t> FindHostKey(const base::Endpoint& peers) const;
  /// Since when the store has served another host without an interruption that may have been an
  /// outage, from heartbeats received after `heard_after`: the earliest such instant. Never() if no
  /// live host says so.
  base::Instant StoreServedSince(base::Instant heard_after, base::Instant now) const;
  /// The last heartbeat of a live host with a fresh catalog, preferably of this region; null if
  /// there is none. `avoided` is returned only if there is no other.
  const Heartbeat* FindCatalogSource(base::Incarnation avoided, base::Instant now) const;
  /// The last heartbeat of a live host that has a catalog, from the store or from another host,
  /// preferably of this region; null if there is none. `avoided` is returned only if there is no
  /// other.
  const Heartbeat* FindWithCatalog(base::Incarnation avoided, base::Instant now) const;
  /// The last heartbeat of a live host that knows a change after `applied`, preferably of this
  /// region; null if there is none. `avoided` is returned only if there is no other.
  const Heartbeat* FindAhead(const catalog::StorePosition& applied, base::Incarnation avoided,
                             base::Instant now) const;
  /// The last heartbeat of a live host; null if that incarnation is not known or not live.
  const Heartbeat* FindLive(base::Incarnation incarnation, base::Instant now) const;
  bool IsInOwnRegion(const HostRecord& record) const {
    return RegionOf(record.zone) == RegionOf(self_.zone);
  }

  /// Caller addresses for callers of a region: the live hosts there that are not stopping, or those
  /// of all regions if the region has none. This host is excluded if `is_leaving` is set, unless
  /// there is no other. Returns at least one and at most `max_count` addresses; if there are more,
  /// every host returns another subset that changes only with the hosts, so that all get callers.
  std::vector<base::Endpoint> Resolve(std::string_view region, bool is_leaving,
                                      std::size_t max_count, base::Instant now) const;

  const HostRecord& self() const { return self_; }

 private:
  struct Member {
    Heartbeat last_heartbeat;
    base::Instant received_at;
    /// The host counts as stopped from then on.
    base::Instant live_until;
    /// Hash of the host's name.
    std::uint64_t key = 0;
    /// The host is in this host's region. Kept here, since decisions go through all members.
    bool is_local = false;
    /// The last heartbeat is still to be passed on to this region.
    bool is_relay_due = false;
    /// The incarnation before the one of the last heartbeat; 0 if none is known. Its heartbeats may
    /// still arrive through other hosts.
    base::Incarnation previous_incarnation = 0;
  };
  using MemberMap = std::map<base::HostId, Member>;

  /// Applies a heartbeat that came from its sender or through another host.
  bool Apply(const Heartbeat& heartbeat, bool is_relayed, base::Instant now);
  static bool IsLive(const Member& member, base::Instant now) { return now <= member.live_until; }
  /// The last heartbeat of a live host for which `condition` holds, preferably of this region; null
  /// if there is none. `avoided` is returned only if there is no other. Hosts differ in which of
  /// several they choose.
  template <typename Condition>
  const Heartbeat* FindNearest(base::Incarnation avoided, base::Instant now,
                               Condition condition) const;
  /// Appends the relays of the region with these members.
  void AddRelays(std::span<const Member* const> region, base::Instant now,
                 std::vector<base::Endpoint>& relays) const;
  /// The member's rank for this host by rendezvous hashing.
  std::uint64_t RankOf(const Member& member) const { return base::Mix(self_key_ ^ member.key); }
  std::string_view RegionOf(std::string_view zone) const;

  HostRecord self_;
  /// Hash of this host's name.
  std::uint64_t self_key_;
  std::map<std::string, std::string, std::less<>> zones_;
  MemberTiming timing_;
  /// The other hosts, by name.
  MemberMap members_;
  std::vector<base::Endpoint> newcomers_;
  /// Name of the member that was last passed on, from which the next turn goes on.
  base::HostId last_relayed_;
  /// Peer addresses other than this host's own, each with the time of its last refresh.
  std::vector<std::pair<base::Endpoint, base::Instant>> contacts_;
};

}  // namespace mangonotch::fleet
